#include "route/retry.h"

#include <algorithm>

namespace kch::route {

// Time alone refills the budget only up to the floor, so that a system with few
// requests can retry, while retries of a busy one stay a fraction of requests.
double RetryBudget::TokensAt(Time now) const {
  if (this->tokens >= kRetryFloorTokens || now <= this->updated_at) {
    return this->tokens;
  }
  return std::min(kRetryFloorTokens,
                  this->tokens + ToSeconds(now - this->updated_at) *
                                     kRetryFloorTokensPerSecond);
}

void RetryBudget::OnRequest(Time now) {
  this->tokens =
      std::min(kMaxRetryTokens, this->TokensAt(now) + kRetryTokensPerRequest);
  this->updated_at = std::max(this->updated_at, now);
}

bool RetryBudget::CanRetry(Time now) const {
  return this->TokensAt(now) >= 1;
}

bool RetryBudget::TryAcquire(Time now) {
  this->tokens = this->TokensAt(now);
  this->updated_at = std::max(this->updated_at, now);
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

AttemptOutcome WorseOutcome(AttemptOutcome first, AttemptOutcome second) {
  const auto rank = [](AttemptOutcome end) {
    switch (end) {
      case AttemptOutcome::kNotRun:
        return 0;
      case AttemptOutcome::kFailed:
        return 1;
      case AttemptOutcome::kMismatched:
        return 2;
      case AttemptOutcome::kUnknown:
        break;
    }
    return 3;
  };
  return rank(first) < rank(second) ? second : first;
}

RetryDecision DecideRetry(const AttemptFacts& facts, Time now) {
  // A mismatched reply belongs to another task; the task of this attempt may
  // have run.
  const AttemptOutcome worst =
      WorseOutcome(facts.outcome, facts.earlier_outcome);
  if (facts.outcome == AttemptOutcome::kFailed &&
      facts.failed_targets >= kFailedEverywhereTargets) {
    return RetryDecision::kFailedEverywhere;
  }
  // An unrepeatable request is sent again only if no attempt has run and no
  // byte of it may have been sent to a worker. Contradictory facts (it ran, but
  // nothing was sent) are treated as "may have run".
  const bool may_repeat =
      facts.repeatable ||
      (worst == AttemptOutcome::kNotRun && !facts.first_byte_maybe_sent);
  if (may_repeat && facts.budget_available && now < facts.deadline) {
    return RetryDecision::kRetryElsewhere;
  }
  switch (worst) {
    case AttemptOutcome::kNotRun:
      return RetryDecision::kNotRun;
    case AttemptOutcome::kFailed:
      return RetryDecision::kFailed;
    case AttemptOutcome::kUnknown:
    case AttemptOutcome::kMismatched:
      break;
  }
  return RetryDecision::kUnknown;
}

}  // namespace kch::route
