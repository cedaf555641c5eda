#ifndef JOBS_VM_H_
#define JOBS_VM_H_

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "jobs/effect.h"
#include "jobs/job.h"
#include "jobs/limits.h"
#include "jobs/pace.h"

namespace kch::jobs {

/*! @brief A run that a VM reports and the scheduler does not need. It occupies
 * its VM until it has stopped. */
struct OrphanedRun {
  TaskRef task;
  std::int64_t run = 0;
  Resources occupied;
  Resources team_charge;  // against the limit of its team
  TeamId team;            // empty: unknown
  bool unknown_size = false;
  Time stop_sent;
  std::uint64_t last_listed = 0;  // latest report that listed it
};

/*! @brief A scheduler's state of one incarnation of a VM. */
struct Vm {
  VmFacts facts;
  bool registered = true;  // its registration is in the store
  // Its VM record for successors: write requested, and confirmed.
  bool record_sent = false;
  bool recorded = false;
  bool record_earlier_lease = false;  // as in the record sent last
  bool earlier_record = false;        // one of an earlier incarnation is stored
  Time added;
  Resources used;                     // by placed tasks
  Resources endless_used;             // the part of endless tasks
  std::set<Task*, TaskRefLess> runs;  // placed tasks
  std::vector<OrphanedRun> orphans;
  // An orphaned run of unknown size occupies the VM, so its free capacity is
  // unknown.
  bool unknown_orphan = false;
  // Until it has received stops for orders to an earlier incarnation, it may
  // carry these out in addition to what is placed on it.
  bool late_starts_due = false;

  // The VM's clock as last read, and when the answer arrived.
  std::int64_t clock_ms = 0;
  Time clock_at;
  bool clock_known = false;
  bool clock_doubtful = false;  // it refused an order as expired
  // Latest lease sent by this incarnation's clock, answered or not.
  std::optional<std::int64_t> lease_until_ms;
  // By then leases end that a predecessor has sent by this incarnation's clock;
  // set by the first report, after which the VM refuses a predecessor's orders.
  std::optional<Time> predecessor_lease_end;
  // By then leases end that were sent by an earlier incarnation's clock.
  std::optional<Time> earlier_lease_end;
  // A predecessor may have sent such a lease; decided by the first report.
  bool may_hold_earlier_lease = false;
  // A predecessor, or this scheduler to an earlier incarnation, may have sent
  // orders, which a later incarnation may still carry out.
  bool earlier_orders = false;

  bool reported = false;  // has answered this scheduler
  // Its latest report may have left ends out, of runs that it does not list as
  // running any more.
  bool more_ends = false;
  bool ends_known = false;  // a report to this scheduler has left none out
  std::uint64_t report_count = 0;
  std::int64_t recorded_end = 0;  // ends up to this one are recorded
  // Latest number sent in a poll, answered or not.
  std::int64_t acknowledged_end = 0;
  // Ends are acknowledged once the records of these jobs are stored: job and
  // change number.
  std::vector<std::pair<JobId, std::uint64_t>> awaited_records;
  Time awaited_since;            // when `awaited_records` was last empty
  std::int64_t handled_end = 0;  // latest end processed, perhaps not recorded

  bool poll_pending = false;
  Time poll_sent;
  Time next_poll;
  bool unresponsive = false;  // the last order or poll had no answer
  Time unresponsive_since;
  // Bounds the wait of a long poll after an order or poll had no answer, since
  // the ends that a lost answer lists are received only with the next one.
  // Doubles with each report; zero: no bound.
  Duration max_poll_wait{};

  // Ejection of a VM on which runs fail by its fault, see VmFailures.
  std::int32_t ejections = 0;  // since a run last succeeded there
  Time ejected_until;
  // It has refused a start for want of room or as unhealthy.
  Time refused_until;

  bool mixed = false;   // serving and backfill tasks run beside each other
  PaceController pace;  // of the backfill tasks

  bool cordoned = false;  // due for maintenance or a move: no new starts

  /*! @brief True if nothing runs on it, and it has listed all ends and they are
   * recorded, so that a successor need not ask it. */
  [[nodiscard]] bool Settled() const {
    return this->runs.empty() && this->orphans.empty() &&
           this->awaited_records.empty() && !this->more_ends;
  }
  [[nodiscard]] Destination Address() const;
  [[nodiscard]] Resources Free() const;
  /*! @brief Free part of the scarcer of processor and memory, in 1/10,000. */
  [[nodiscard]] std::int64_t FreeShare() const;
  /*! @brief Estimate of the VM's clock at a local time, ahead of it by at most
   * 2% of the time since it was read (kMinVmClockRate). */
  [[nodiscard]] std::int64_t ClockAt(Time now) const;
  /*! @brief The least that the VM's clock can show at a local time. */
  [[nodiscard]] std::int64_t EarliestClockAt(Time now) const;
  /*! @brief The clock from which leases are counted: the estimate, but ahead of
   * the VM's clock by at most kMaxClockLead, however long ago it was read. */
  [[nodiscard]] std::int64_t LeaseClockAt(Time now) const;
  /*! @brief Local time by which every lease has expired that this scheduler, a
   * predecessor or an earlier incarnation's clock gave, and the runs have
   * ended, see EndOfRuns; unset if there can be none. */
  [[nodiscard]] std::optional<Time> LeaseEnd(const Limits& limits) const;
};

}  // namespace kch::jobs

#endif  // JOBS_VM_H_
