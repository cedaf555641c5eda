#include "jobs/pace.h"

#include <algorithm>

namespace kch::jobs {
namespace {

// A tail covers the last half second, so a change shows after that time.
constexpr auto kMeasureTime = std::chrono::milliseconds(600);
constexpr auto kRaiseInterval = std::chrono::milliseconds(1500);
// Parts of the target, in percent.
constexpr std::int64_t kLowerAbove = 92;
constexpr std::int64_t kRaiseBelow = 65;
constexpr std::int32_t kRaiseStep = 15;
constexpr std::int32_t kSmallestShare = 15;
constexpr std::int32_t kFullShare = 100;

}  // namespace

// Halves on harm and returns slowly, since a task's tail must not stay over its
// target while a lost share only costs progress.
bool Pace::Adjust(const std::vector<Tail>& tails, Time now) {
  std::int64_t worst = 0;
  for (const Tail& tail : tails) {
    if (tail.target_ms > 0) {
      worst = std::max(worst, tail.measured_ms * 100 / tail.target_ms);
    }
  }
  const std::int32_t before = this->percent;
  if (worst > kLowerAbove) {
    if (this->changed == Time() || now - this->changed >= kMeasureTime) {
      this->percent =
          this->percent / 2 < kSmallestShare ? 0 : this->percent / 2;
    }
  } else if (worst < kRaiseBelow && this->percent < kFullShare &&
             now - this->changed >= kRaiseInterval) {
    this->percent = std::min(kFullShare, this->percent + kRaiseStep);
  }
  if (this->percent != before) {
    this->changed = now;
  }
  return this->percent != before;
}

}  // namespace kch::jobs
