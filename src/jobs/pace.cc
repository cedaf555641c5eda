#include "jobs/pace.h"

#include <algorithm>

namespace kch::jobs {
namespace {

// A tail latency covers the last half second, so the effect of a change is
// measurable only after that time.
constexpr auto kTailWindow = std::chrono::milliseconds(600);
constexpr auto kRaiseInterval = std::chrono::milliseconds(1500);
// Parts of the target, in percent.
constexpr std::int64_t kReduceAbovePercent = 92;
constexpr std::int64_t kRaiseBelowPercent = 65;
constexpr std::int32_t kRaiseStepPercent = 15;
constexpr std::int32_t kMinSharePercent = 15;
constexpr std::int32_t kFullSharePercent = 100;

}  // namespace

// Multiplicative decrease and additive increase: a tail latency must not stay
// over its target, while a lower share only slows down the backfill tasks.
bool PaceController::Adjust(const std::vector<TailLatency>& tails, Time now) {
  std::int64_t worst = 0;
  for (const TailLatency& tail : tails) {
    if (tail.target_ms > 0) {
      worst = std::max(worst, tail.measured_ms * 100 / tail.target_ms);
    }
  }
  const std::int32_t before = this->percent;
  if (worst > kReduceAbovePercent) {
    if (this->changed == Time() || now - this->changed >= kTailWindow) {
      this->percent =
          this->percent / 2 < kMinSharePercent ? 0 : this->percent / 2;
    }
  } else if (worst < kRaiseBelowPercent && this->percent < kFullSharePercent &&
             now - this->changed >= kRaiseInterval) {
    this->percent =
        std::min(kFullSharePercent, this->percent + kRaiseStepPercent);
  }
  if (this->percent != before) {
    this->changed = now;
  }
  return this->percent != before;
}

}  // namespace kch::jobs
