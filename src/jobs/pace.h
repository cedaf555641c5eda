#ifndef JOBS_PACE_H_
#define JOBS_PACE_H_

#include <cstdint>
#include <vector>

#include "base/time.h"

namespace kch::jobs {

/*! @brief A serving task's latest tail latency and its bound. */
struct TailLatency {
  std::int64_t measured_ms = 0;
  std::int64_t target_ms = 0;
};

/*! @brief Throttles the backfill tasks of a VM to a share in percent, so that
 * the serving tasks beside them stay within their latency targets. */
struct PaceController {
  // 0 (no work), or kMinSharePercent to kFullSharePercent.
  std::int32_t percent = 100;
  Time changed;  // when `percent` last changed

  /*! @brief Adjusts the share to the tails of a report; true if it changed. It
   * is halved if a tail exceeds kReduceAbovePercent of its target, at most once
   * per kTailWindow, and raised by kRaiseStepPercent if all are below
   * kRaiseBelowPercent and the last change is kRaiseInterval ago. */
  bool Adjust(const std::vector<TailLatency>& tails, Time now);
};

}  // namespace kch::jobs

#endif  // JOBS_PACE_H_
