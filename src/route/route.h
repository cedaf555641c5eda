#ifndef ROUTE_ROUTE_H_
#define ROUTE_ROUTE_H_

#include "route/policy.h"
#include "route/retry.h"
#include "route/target.h"
#include "route/target_set.h"

#endif  // ROUTE_ROUTE_H_
