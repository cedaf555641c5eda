#ifndef JOBS_LIMITS_H_
#define JOBS_LIMITS_H_

#include <chrono>
#include <cstdint>

#include "base/time.h"
#include "jobs/effect.h"

namespace kch::jobs {

/*! @brief Bounds and intervals of scheduling; the first three come from the
 * deployment's settings. */
struct Limits {
  // Lease of everything that runs on a VM. It is shorter than the time after
  // which an unresponsive VM's registration is removed, so that no run outlives
  // it.
  Duration lease = std::chrono::milliseconds(4000);
  // Longest lease that a VM grants, whatever an order asks for.
  Duration max_lease = std::chrono::milliseconds(6000);
  // Longest time from an order to stop a run until the run has ended.
  Duration stop_grace = std::chrono::milliseconds(900);
  // A VM's process that is not scheduled in time ends its runs this much later
  // than its lease and the stop grace require.
  Duration vm_lateness = std::chrono::milliseconds(800);

  // A VM answers a poll at the latest after this time: half of the lease minus
  // the time that a lost poll costs, so that a lease outlasts one lost poll.
  Duration poll_wait = std::chrono::milliseconds(1200);
  // The same for VMs on which serving and backfill tasks run beside each other,
  // so that the backfill tasks are throttled in time.
  Duration mixed_poll_wait = std::chrono::milliseconds(400);
  // An order without an answer may be carried out within this time.
  Duration late_order_time = std::chrono::seconds(30);
  // Pause before a VM that did not answer is polled again.
  Duration poll_retry = std::chrono::milliseconds(250);
  // Longest time that a new scheduler waits for the reports of all VMs before
  // it starts tasks; Scheduler::BeginRecovery may extend it.
  Duration recovery_wait = std::chrono::milliseconds(700);
  // Ejection time of a VM on which runs of several jobs failed by its fault
  // (kFailedJobsToEject); doubles from the minimum up to the maximum. A VM that
  // refuses a start because it is unhealthy is left out for the minimum.
  Duration min_ejection = std::chrono::milliseconds(1500);
  Duration max_ejection = std::chrono::milliseconds(12000);
  // A finished job's state stays readable for this long. The platform's
  // documentation requires 120 s; the rest covers clock differences between
  // instances.
  Duration retention = std::chrono::seconds(150);
  // Changes that arrive within this time share a transaction. Until an end is
  // stored, its VM is polled only to renew the lease, which delays what follows
  // on the same VM, so this time stays far below a task's length.
  Duration write_interval = std::chrono::milliseconds(25);
  // Conditions, writes and erasures in one transaction: the store accepts 32,
  // one is the condition on the owner's record.
  std::size_t max_write_entries = 31;
  // Bytes of the records in one transaction; a larger record is written alone.
  std::size_t max_write_bytes = 512 << 10;
  // Starts in a pool in one planning pass, which bounds how long it takes; a
  // gang starts as a whole. The next pass follows within milliseconds.
  std::uint64_t max_starts_per_pass = 256;
  // Endless tasks that one call stops to empty a VM; the next one follows with
  // the next pass over the machines.
  std::size_t max_evictions = 64;
};

/*! @brief Local time after which all runs on a VM have ended, from a moment at
 * which its lease lasts for `lease` of its clock. */
[[nodiscard]] Duration EndOfRuns(Duration lease, const Limits& limits);

/*! @brief Entries of a transaction: conditions, writes and erasures. */
[[nodiscard]] constexpr std::size_t TransactionEntries(RecordStep step) {
  constexpr std::size_t write = 2;  // a condition and the write or erasure
  constexpr std::size_t end = 5;    // and the erasure of three other records
  return step == RecordStep::kEnd ? end : write;
}
/*! @brief Lowest rate of a VM's clock relative to the local clock. */
inline constexpr double kMinVmClockRate = 0.98;

}  // namespace kch::jobs

#endif  // JOBS_LIMITS_H_
