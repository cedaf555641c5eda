#ifndef UPKEEP_POOL_FORECAST_H_
#define UPKEEP_POOL_FORECAST_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "base/base.h"
#include "jobs/jobs.h"

namespace kch::upkeep {

/*! @brief Forecasts what a pool will occupy from the work that arrives.
 *
 * Answers a load that rises within a fraction of a second to several times its
 * mean, stays for seconds, falls and comes back: machines take longer to arrive
 * than such a rise takes to fill the pool, so they are ordered when the work
 * arrives, not when it waits, and are retained until the next rise. */
class PoolForecast {
 public:
  /*! @brief `start` is when the first observation can have been made. */
  explicit PoolForecast(Time start) : start(start) {}

  /*! @brief Takes in a pool's state. Called periodically. */
  void Observe(const jobs::Scheduler::Demand& demand, Time now);
  /*! @brief What the pool has to hold soon: endless tasks, the work that
   * arrives if it continues as within the last second, less one standard
   * deviation, and what it takes to catch up with the waiting work. */
  [[nodiscard]] const jobs::Resources& need() const { return this->last_need; }
  /*! @brief The work that arrives, as far as `need` counts it. */
  [[nodiscard]] const jobs::Resources& arriving() const {
    return this->last_arriving;
  }
  /*! @brief Highest need without a backlog within the memory of the forecast;
   * nothing while that has
   * not been observed for long enough to know it. */
  [[nodiscard]] std::optional<jobs::Resources> Peak(Time now) const;

 private:
  struct Sample {
    Time at;
    jobs::ArrivedWork arrived;
  };
  struct SecondPeak {
    Time begins;
    jobs::Resources need;
  };

  [[nodiscard]] jobs::Resources ArrivingWork(Time now) const;

  Time start;
  std::deque<Sample> samples;    // oldest first
  std::deque<SecondPeak> peaks;  // by second, oldest first
  jobs::Resources last_need;
  jobs::Resources last_arriving;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_POOL_FORECAST_H_
