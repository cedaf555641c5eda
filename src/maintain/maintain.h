#ifndef MAINTAIN_MAINTAIN_H_
#define MAINTAIN_MAINTAIN_H_

#include "maintain/advance.h"
#include "maintain/budget.h"
#include "maintain/changes.h"
#include "maintain/maintainer.h"
#include "maintain/moves.h"
#include "maintain/observations.h"
#include "maintain/record.h"
#include "maintain/registration.h"
#include "maintain/rollout.h"
#include "maintain/sizes.h"

#endif  // MAINTAIN_MAINTAIN_H_
