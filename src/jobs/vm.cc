#include "jobs/vm.h"

#include <algorithm>

namespace kch::jobs {
namespace {

// Leases that a successor reckons with last longer by what a clock that is 2%
// slow is behind its estimate; Limits::vm_lateness covers this part.
constexpr auto kMaxClockLead = std::chrono::milliseconds(100);

}  // namespace

Duration EndOfRuns(Duration lease, const Limits& limits) {
  return std::chrono::duration_cast<Duration>(lease / kMinVmClockRate) +
         limits.stop_grace + limits.vm_lateness;
}

Destination Vm::Address() const {
  return {this->facts.id, this->facts.address};
}

Resources Vm::Free() const {
  return this->facts.capacity - this->used;
}

std::int64_t Vm::FreeShare() const {
  constexpr std::int64_t scale = 10'000;
  const auto share = [](std::int64_t part, std::int64_t whole) {
    return whole <= 0 ? scale : part * scale / whole;
  };
  const Resources free = this->Free();
  return std::min(share(free.cpu_m, this->facts.capacity.cpu_m),
                  share(free.memory_mb, this->facts.capacity.memory_mb));
}

std::int64_t Vm::ClockAt(Time now) const {
  return this->clock_ms + ToMs(now - this->clock_at);
}

std::int64_t Vm::EarliestClockAt(Time now) const {
  return this->clock_ms +
         static_cast<std::int64_t>(
             static_cast<double>(ToMs(now - this->clock_at)) * kMinVmClockRate);
}

std::int64_t Vm::LeaseClockAt(Time now) const {
  return std::min(this->ClockAt(now),
                  this->EarliestClockAt(now) + ToMs(kMaxClockLead));
}

std::optional<Time> Vm::LeaseEnd(const Limits& limits) const {
  // An unset bound is less than any time.
  std::optional<Time> end =
      std::max(this->predecessor_lease_end, this->earlier_lease_end);
  if (this->lease_until_ms) {
    // The clock was read before its answer arrived, so this is no too early.
    const Time sent_end =
        this->clock_at + EndOfRuns(std::chrono::milliseconds(
                                       *this->lease_until_ms - this->clock_ms),
                                   limits);
    end = std::max(end, std::optional(sent_end));
  }
  return end;
}

}  // namespace kch::jobs
