#ifndef ONCE_ONCE_H_
#define ONCE_ONCE_H_

#include "once/bucket.h"
#include "once/claim_registry.h"

#endif  // ONCE_ONCE_H_
