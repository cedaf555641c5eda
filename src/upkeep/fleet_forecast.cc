#include "upkeep/fleet_forecast.h"

#include <algorithm>

namespace kch::upkeep {
namespace {

using jobs::Resources;

// Machines are ordered this much earlier than they take to arrive.
constexpr auto kTurnMargin = std::chrono::milliseconds(500);
// Arriving work that makes a turn, as a share of an average pool. What is less
// fits into the reserve that each pool keeps anyway.
constexpr double kTurnShare = 0.33;

}  // namespace

FleetForecast::FleetForecast(Duration move_duration, Time start)
    : start(start), turns(move_duration + kTurnMargin) {}

std::map<PoolId, PoolDemand> FleetForecast::Observe(
    const std::map<PoolId, PoolState>& pools,
    Time now) {
  std::map<PoolId, Resources> arriving;
  Resources total;
  for (const auto& [id, state] : pools) {
    PoolForecast& forecast =
        this->forecasts.try_emplace(id, this->start).first->second;
    forecast.Observe(state.demand, now);
    if (!state.standby) {
      arriving[id] = forecast.arriving();
      total += state.demand.capacity;
    }
  }
  const double share = kTurnShare / static_cast<double>(std::max<std::size_t>(
                                        1, arriving.size()));
  const auto scale = [share](std::int64_t amount) {
    return static_cast<std::int64_t>(share * static_cast<double>(amount));
  };
  this->turns.Observe(arriving, {scale(total.cpu_m), scale(total.memory_mb), 0},
                      now);
  std::map<PoolId, PoolDemand> demands;
  for (const auto& [id, state] : pools) {
    const PoolForecast& forecast = this->forecasts.at(id);
    PoolDemand& demand = demands[id];
    demand = {.capacity = state.demand.capacity,
              .used = state.demand.used,
              .waiting = state.demand.waiting,
              .standby = state.standby,
              .need = forecast.need(),
              .peak = forecast.Peak(now),
              .placement = state.placement};
    const Resources turn = this->turns.LastPeak(id) + state.demand.endless;
    switch (this->turns.StateOf(id, now)) {
      case TurnState::kUnknown:
      case TurnState::kRunning:
        break;
      case TurnState::kAway:
        // What its turn has left over is done first.
        if (state.demand.waiting == Resources{}) {
          demand.peak = Resources{};
        }
        break;
      case TurnState::kDue:
        demand.expected = turn;
        demand.peak = turn;
        break;
    }
  }
  return demands;
}

}  // namespace kch::upkeep
