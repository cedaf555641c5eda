#include "upkeep/pool_forecast.h"

#include <algorithm>
#include <cmath>

namespace kch::upkeep {
namespace {

// Bounds of the windows over which the rate of arrivals is measured.
constexpr Duration kMinWindow = std::chrono::milliseconds(300);
constexpr Duration kMaxWindow = std::chrono::milliseconds(1200);
// Fewer jobs tell nothing about a rate.
constexpr std::int64_t kMinJobs = 3;
// Time in which a backlog should be worked off.
constexpr Duration kCatchUpTime = std::chrono::milliseconds(1500);
// Peaks that recur within this time find their machines in the pool.
constexpr Duration kPeakMemory = std::chrono::seconds(30);
constexpr Duration kPeakInterval = std::chrono::seconds(1);

using jobs::Resources;

Resources Larger(const Resources& left, const Resources& right) {
  return {std::max(left.cpu_m, right.cpu_m),
          std::max(left.memory_mb, right.memory_mb),
          std::max(left.gpus, right.gpus)};
}

std::int64_t Scale(std::int64_t amount, double factor) {
  return static_cast<std::int64_t>(factor * static_cast<double>(amount));
}

}  // namespace

// Work is resources times time, so work per time is what it occupies. Short
// windows follow a rise, long ones have the smaller error; the one that proves
// the highest rate counts.
Resources PoolForecast::ArrivingWork(Time now) const {
  const Sample& newest = this->samples.back();
  Resources highest;
  for (const Sample& oldest : this->samples) {
    const Duration window = now - oldest.at;
    const std::int64_t count = newest.arrived.jobs - oldest.arrived.jobs;
    if (window < kMinWindow || count < kMinJobs) {
      break;
    }
    const double per_ms = (1 - 1 / std::sqrt(static_cast<double>(count))) /
                          static_cast<double>(ToMs(window));
    const Resources work =
        newest.arrived.resource_ms - oldest.arrived.resource_ms;
    highest = Larger(highest,
                     {Scale(work.cpu_m, per_ms), Scale(work.memory_mb, per_ms),
                      Scale(work.gpus, per_ms)});
  }
  return highest;
}

void PoolForecast::Observe(const jobs::Scheduler::Demand& demand, Time now) {
  this->samples.push_back({now, demand.arrived});
  while (this->samples.size() > 1 &&
         now - this->samples.front().at > kMaxWindow) {
    this->samples.pop_front();
  }
  this->last_arriving = this->ArrivingWork(now);
  const Resources steady = demand.endless + this->last_arriving;
  const Resources& waiting = demand.waiting_ms;
  const double per_ms = 1.0 / static_cast<double>(ToMs(kCatchUpTime));
  this->last_need =
      Larger(steady, demand.used) + Resources{Scale(waiting.cpu_m, per_ms),
                                              Scale(waiting.memory_mb, per_ms),
                                              Scale(waiting.gpus, per_ms)};
  if (this->peaks.empty() || now - this->peaks.back().begins >= kPeakInterval) {
    this->peaks.push_back({now, steady});
  } else {
    this->peaks.back().need = Larger(this->peaks.back().need, steady);
  }
  while (now - this->peaks.front().begins > kPeakMemory) {
    this->peaks.pop_front();
  }
}

std::optional<Resources> PoolForecast::Peak(Time now) const {
  if (now - this->start < kPeakMemory) {
    return std::nullopt;
  }
  Resources peak;
  for (const SecondPeak& second : this->peaks) {
    peak = Larger(peak, second.need);
  }
  return peak;
}

}  // namespace kch::upkeep
