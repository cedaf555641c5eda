#ifndef PERMIT_PERMIT_H_
#define PERMIT_PERMIT_H_

#include "permit/agent.h"
#include "permit/record.h"

#endif  // PERMIT_PERMIT_H_
