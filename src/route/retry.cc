#include "route/retry.h"

#include <algorithm>

namespace kch::route {

// Time alone refills only up to the floor, so that a quiet system can retry
// while a busy one stays at its fraction of requests.
double RetryBudget::Level(Time now) const {
  if (this->tokens >= kRetryFloor || now <= this->at) {
    return this->tokens;
  }
  return std::min(kRetryFloor, this->tokens + ToSeconds(now - this->at) *
                                                  kRetryFloorPerSecond);
}

void RetryBudget::OnRequest(Time now) {
  this->tokens = std::min(kRetryCapacity, this->Level(now) + kRetryFraction);
  this->at = std::max(this->at, now);
}

bool RetryBudget::CanRetry(Time now) const {
  return this->Level(now) >= 1;
}

bool RetryBudget::TryAcquire(Time now) {
  this->tokens = this->Level(now);
  this->at = std::max(this->at, now);
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

AttemptEnd Worse(AttemptEnd first, AttemptEnd second) {
  const auto rank = [](AttemptEnd end) {
    switch (end) {
      case AttemptEnd::kNotRun:
        return 0;
      case AttemptEnd::kFailed:
        return 1;
      case AttemptEnd::kMismatched:
        return 2;
      case AttemptEnd::kUnknown:
        break;
    }
    return 3;
  };
  return rank(first) < rank(second) ? second : first;
}

RetryDecision DecideRetry(const AttemptFacts& facts, Time now) {
  // A mismatched answer belongs to another task; the own one may have run.
  const AttemptEnd worst = Worse(facts.end, facts.earlier);
  if (facts.end == AttemptEnd::kFailed &&
      facts.failed_targets >= kFailedEverywhereTargets) {
    return RetryDecision::kFailedEverywhere;
  }
  // An unrepeatable request goes out again only if no attempt has run and no
  // byte of it may be on its way to a worker. Facts that contradict each other
  // (it ran, but nothing was sent) count as "may have run".
  const bool may_repeat = facts.repeatable || (worst == AttemptEnd::kNotRun &&
                                               !facts.first_byte_maybe_sent);
  if (may_repeat && facts.budget_available && now < facts.deadline) {
    return RetryDecision::kRetryElsewhere;
  }
  switch (worst) {
    case AttemptEnd::kNotRun:
      return RetryDecision::kNotRun;
    case AttemptEnd::kFailed:
      return RetryDecision::kFailed;
    case AttemptEnd::kUnknown:
    case AttemptEnd::kMismatched:
      break;
  }
  return RetryDecision::kUnknown;
}

}  // namespace kch::route
