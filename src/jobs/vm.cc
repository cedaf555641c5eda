#include "jobs/vm.h"

#include <cmath>

namespace kch::jobs {

Destination Vm::Address() const {
  return {this->facts.id, this->facts.address};
}

Resources Vm::Free() const {
  return this->facts.capacity - this->used;
}

std::int64_t Vm::ClockAt(Time now) const {
  return this->clock_ms + ToMs(now - this->clock_at);
}

std::optional<Time> Vm::LeaseEnd(const Limits& limits) const {
  if (!this->clock_known) {
    return std::nullopt;
  }
  // The clock was read before its answer arrived and may be slow, so the lease
  // ends no later than this. A stop at its end takes the stop's grace.
  const double left_ms = static_cast<double>(this->until_ms - this->clock_ms);
  const auto left = std::chrono::milliseconds(
      static_cast<std::int64_t>(std::ceil(left_ms / kSlowestVmClock)));
  return this->clock_at + left + limits.stop_grace;
}

}  // namespace kch::jobs
