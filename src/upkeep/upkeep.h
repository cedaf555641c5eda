#ifndef UPKEEP_UPKEEP_H_
#define UPKEEP_UPKEEP_H_

#include "upkeep/planner.h"

#endif  // UPKEEP_UPKEEP_H_
