#ifndef JOBS_LIMITS_H_
#define JOBS_LIMITS_H_

#include <chrono>
#include <cstdint>

#include "base/time.h"
#include "jobs/effect.h"

namespace kch::jobs {

/*! @brief Bounds and intervals of scheduling; the first two come from the
 * deployment's settings. */
struct Limits {
  // Lease of everything that runs on a VM. It is shorter than the time after
  // which a silent VM's registration is removed, so that no run outlives it.
  Duration lease = std::chrono::milliseconds(4000);
  // Longest time from an order to stop a run until the run has ended.
  Duration stop_grace = std::chrono::milliseconds(900);

  // A VM answers a look at the latest after this time; half of the lease minus
  // the time that a lost look costs.
  Duration poll_wait = std::chrono::milliseconds(1200);
  // Looks at VMs whose paced and serving tasks have to be watched.
  Duration mixed_poll_wait = std::chrono::milliseconds(400);
  // Pause before a VM that did not answer is asked again.
  Duration poll_retry = std::chrono::milliseconds(250);
  // Time that a new scheduler waits for the reports of all VMs.
  Duration recovery_wait = std::chrono::milliseconds(700);
  // First pause of a VM on which several runs failed; doubles up to the last.
  Duration min_ejection = std::chrono::milliseconds(1500);
  Duration max_ejection = std::chrono::milliseconds(12000);
  // A finished job's state stays readable for this long. The platform's pages
  // ask for 120 s; the rest covers clock differences between instances.
  Duration retention = std::chrono::seconds(150);
  // Changes that arrive within this time share a transaction. It delays what
  // follows an end on the same VM, so it stays far below a task's length.
  Duration write_interval = std::chrono::milliseconds(25);
  // Conditions, writes and erasures in one transaction: the store accepts 32,
  // one is the condition on the owner's record.
  std::size_t max_write_entries = 31;
};

/*! @brief Entries of a transaction: conditions, writes and erasures. */
[[nodiscard]] constexpr std::size_t TransactionEntries(RecordStep step) {
  constexpr std::size_t write = 2;  // a condition and the write or erasure
  constexpr std::size_t end = 5;    // and the erasure of three other records
  return step == RecordStep::kEnd ? end : write;
}
/*! @brief A VM's clock may run this much slower than ours. */
inline constexpr double kMinVmClockRate = 0.98;

}  // namespace kch::jobs

#endif  // JOBS_LIMITS_H_
