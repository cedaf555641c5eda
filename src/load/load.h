#ifndef LOAD_LOAD_H_
#define LOAD_LOAD_H_

#include "load/delays.h"
#include "load/ledger.h"
#include "load/plan.h"

#endif  // LOAD_LOAD_H_
