#ifndef MAINTAIN_OBSERVATIONS_H_
#define MAINTAIN_OBSERVATIONS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/id.h"
#include "base/time.h"

namespace kch::maintain {

/*! @brief How a drain treats a task, from the task's profile. */
enum class DrainBehaviour : std::uint8_t {
  kWait,        // wait up to TaskReport::bound, then checkpoint
  kCheckpoint,  // checkpoint at once
  kThrottle,    // throttle at once, checkpoint after TaskReport::bound
};

/*! @brief A task in a worker's report. */
struct TaskReport {
  TaskId id;
  DrainBehaviour behaviour = DrainBehaviour::kCheckpoint;
  // Time until the checkpoint, from Profile::drain_wait_ms.
  Duration bound = std::chrono::seconds(60);
};

/*! @brief Latest report of a worker, and since when the worker is idle. */
struct WorkerObservation {
  std::string boot;  // boot id; differs after each boot
  std::vector<TaskReport> tasks;
  Time requested_at;  // when the latest report was requested
  Time idle_since;    // first of the consecutive reports without a task
};

/*! @brief An entry's report about one pool. */
struct EntryPoolReport {
  std::uint64_t generation = 0;  // of the pool record in use by the entry
  std::map<VmId, std::uint32_t> running;  // tasks, including starts in flight
};

/*! @brief An entry that is live or not proven stopped. */
struct EntryObservation {
  Time last_contact_at;
  std::map<PoolId, EntryPoolReport> pool_reports;
};

/*! @brief State of a platform operation. */
enum class OperationState : std::uint8_t {
  kNotFound,
  kRunning,
  kDone,
  kFailed,
};

/*! @brief A VM in the platform's list. */
struct PlatformVm {
  bool up = true;
};

/*! @brief When a reservation of a VM was first observed. */
struct ReservationObservation {
  std::string operation;  // of the reservation
  Time observed_at;
};

/*! @brief State observed by a maintainer; all instants are of its own clock. */
struct Observations {
  std::optional<Time> entries_at;  // when the entries were requested
  std::map<InstanceId, EntryObservation> entries;
  std::map<VmId, WorkerObservation> workers;
  std::map<std::string, OperationState> operations;
  std::map<VmId, PlatformVm> platform_vms;
  std::optional<Time> platform_vms_at;  // when `platform_vms` was requested
  std::map<VmId, ReservationObservation> observed_reservations;
  std::int64_t wall_s = 0;  // wall clock of the latest Tick
};

/*! @brief Limits on the age of observations and on waiting; all from settings.
 */
struct Limits {
  // Longest lease of a task at a worker.
  Duration max_lease = std::chrono::seconds(30);
  // Time within which a start takes effect after an entry has sent it.
  Duration start_validity = std::chrono::milliseconds(500);
  // Age up to which a worker report is used.
  Duration max_report_age = std::chrono::seconds(2);
  // Age up to which the lists of VMs and of entries are used.
  Duration max_list_age = std::chrono::seconds(10);
  // Time without a report after which an entry counts as unresponsive.
  Duration entry_timeout = std::chrono::seconds(2);
  // Time between the checkpoint of a task and its stop.
  Duration checkpoint_grace = std::chrono::seconds(30);
};

/*! @brief Records a worker's report. A gap between reports of more than
 * `max_report_age`, a task or a new boot ends the idle period. */
void RecordWorkerReport(Observations& observations,
                        const VmId& vm,
                        std::string boot,
                        std::vector<TaskReport> tasks,
                        Time requested_at,
                        const Limits& limits);

/*! @brief True if the latest list of the platform lacks the VM or reports it as
 * down; false without a list. */
[[nodiscard]] bool IsLost(const Observations& observations, const VmId& vm);

}  // namespace kch::maintain

#endif  // MAINTAIN_OBSERVATIONS_H_
