#ifndef UPKEEP_UPKEEP_H_
#define UPKEEP_UPKEEP_H_

#include "upkeep/absence.h"
#include "upkeep/effect.h"
#include "upkeep/fleet_forecast.h"
#include "upkeep/machine.h"
#include "upkeep/mover.h"
#include "upkeep/order_gate.h"
#include "upkeep/ordered_vms.h"
#include "upkeep/planner.h"
#include "upkeep/pool_forecast.h"
#include "upkeep/turn_order.h"

#endif  // UPKEEP_UPKEEP_H_
