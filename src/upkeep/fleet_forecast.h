#ifndef UPKEEP_FLEET_FORECAST_H_
#define UPKEEP_FLEET_FORECAST_H_

#include <map>
#include <vector>

#include "upkeep/mover.h"
#include "upkeep/pool_forecast.h"
#include "upkeep/turn_order.h"

namespace kch::upkeep {

/*! @brief Forecasts what each pool has to hold, for the Mover. */
class FleetForecast {
 public:
  /*! @brief State of a pool at present. */
  struct PoolState {
    jobs::Scheduler::Demand demand;
    bool standby = false;  // the machines of the pool are powered off
    std::vector<jobs::PlacementNeed> placement;
  };

  /*! @brief `start` is when the first observation can have been made; machines
   * that move are unavailable for `move_duration`. */
  FleetForecast(Duration move_duration, Time start);

  /*! @brief Takes in the state of all pools and returns their demand with its
   * forecast. Called periodically. */
  [[nodiscard]] std::map<PoolId, PoolDemand> Observe(
      const std::map<PoolId, PoolState>& pools,
      Time now);

 private:
  Time start;
  TurnOrder turns;
  std::map<PoolId, PoolForecast> forecasts;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_FLEET_FORECAST_H_
