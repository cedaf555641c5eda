#include "admit/waits.h"

#include <chrono>
#include <map>

namespace kch::admit {
namespace {

using jobs::Resources;

Duration TimeFor(const Resources& resource_ms, const Resources& capacity) {
  constexpr double max_ms = 3'600'000;
  const double ms = jobs::DominantShare(resource_ms, capacity);
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::min(ms, max_ms)));
}

Resources Share(const Resources& whole, double share) {
  const auto scale = [share](std::int64_t amount) {
    return static_cast<std::int64_t>(share * static_cast<double>(amount));
  };
  return {scale(whole.cpu_m), scale(whole.memory_mb), scale(whole.gpus)};
}

}  // namespace

void AddWaits(const PoolBacklog& pool, LoadReport& report) {
  if (pool.capacity.cpu_m <= 0 || pool.capacity.memory_mb <= 0) {
    return;
  }
  std::map<jobs::QueueId, std::int32_t> queues;
  for (const TeamBacklog& row : pool.teams) {
    queues[row.queue] = row.priority;
  }
  for (const auto& [queue, priority] : queues) {
    Resources ahead;
    std::map<TeamId, Resources> by_team;
    std::map<TeamId, double> weights;
    double weight_sum = 0;
    for (const TeamBacklog& row : pool.teams) {
      if (row.priority > priority) {
        continue;
      }
      ahead += row.resource_ms;
      by_team[row.team] += row.resource_ms;
      if (weights.emplace(row.team, row.weight).second) {
        weight_sum += row.weight;
      }
    }
    QueueLoad load{.wait = TimeFor(ahead, pool.capacity), .team_waits = {}};
    if (load.wait < kReportedWait) {
      continue;
    }
    for (const auto& [team, work] : by_team) {
      load.team_waits[team] =
          TimeFor(work, Share(pool.capacity, weights.at(team) / weight_sum));
    }
    report.queues[queue] = std::move(load);
  }
}

}  // namespace kch::admit
