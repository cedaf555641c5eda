#include "lead/handover.h"

#include <algorithm>

namespace kch::lead {

void HandoverPolicy::OnTerm(bool follows_handover, Time now) {
  this->overloaded_since.reset();
  this->not_before = follows_handover ? now + kHandoverRetry : now;
}

void HandoverPolicy::OnLoad(const OwnerLoad& load, Time now) {
  if (std::max(load.decisions, load.calls) < kOverload) {
    this->overloaded_since.reset();
  } else if (!this->overloaded_since) {
    this->overloaded_since = now;
  }
}

bool HandoverPolicy::Due(double largest_follower, Time now) const {
  return this->overloaded_since &&
         now - *this->overloaded_since >= kOverloadTime &&
         now >= this->not_before &&
         largest_follower >= kLargerFactor * this->cores;
}

}  // namespace kch::lead
