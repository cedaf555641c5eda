#include "retry/response_timeout.h"

#include <algorithm>

namespace kch::retry {
namespace {

// Weights of a new sample and the factor of the deviation, as in RFC 6298.
constexpr int kSmoothedWeight = 8;
constexpr int kDeviationWeight = 4;
constexpr int kDeviationFactor = 4;
// Bounds the arithmetic; `max` is reached before.
constexpr int kMaxDoublings = 10;

}  // namespace

ResponseTimeout::ResponseTimeout(Duration min, Duration max)
    : min(min), max(std::max(min, max)) {}

void ResponseTimeout::OnAnswer(Duration response_time) {
  this->doublings = 0;
  if (!this->measured) {
    this->measured = true;
    this->smoothed = response_time;
    this->deviation = response_time / 2;
    return;
  }
  const Duration error = response_time - this->smoothed;
  this->deviation +=
      (std::chrono::abs(error) - this->deviation) / kDeviationWeight;
  this->smoothed += error / kSmoothedWeight;
}

void ResponseTimeout::OnTimeout(Duration used) {
  if (used >= this->Current()) {
    this->doublings = std::min(this->doublings + 1, kMaxDoublings);
  }
}

Duration ResponseTimeout::Current() const {
  if (!this->measured) {
    return this->max;
  }
  const Duration base =
      std::max(this->min, this->smoothed + kDeviationFactor * this->deviation);
  return std::min(this->max, base * (1 << this->doublings));
}

}  // namespace kch::retry
