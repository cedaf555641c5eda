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

/*! @brief What a drain does to a task, from the task's profile. */
enum class DrainBehaviour : std::uint8_t {
  kWait,        // up to the bound, then checkpoint
  kCheckpoint,  // at once
  kThrottle,    // at once, then checkpoint after the bound
};

/*! @brief A task in a worker's report. */
struct TaskReport {
  TaskId id;
  DrainBehaviour behaviour = DrainBehaviour::kCheckpoint;
  Duration bound = std::chrono::seconds(60);
};

/*! @brief A worker's own report and how long it has been idle. */
struct WorkerObservation {
  std::string boot;  // differs after each boot
  std::vector<TaskReport> tasks;
  Time requested_at;  // when the observer asked for the latest report
  Time idle_since;    // first of the unbroken reports without a task
};

/*! @brief An entry's word about one pool. */
struct EntryPoolReport {
  std::uint64_t generation = 0;           // of the pool record that it follows
  std::map<VmId, std::uint32_t> running;  // includes starts in flight
};

/*! @brief An entry that is not proven stopped. */
struct EntryObservation {
  Time last_contact_at;
  std::map<PoolId, EntryPoolReport> pool_reports;
};

/*! @brief State of an operation at the platform. */
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

/*! @brief When the observer first saw a reservation of a VM. */
struct ReservationObservation {
  std::string operation;  // of the reservation
  Time observed_at;
};

/*! @brief What a maintainer has gathered; all instants are its own clock's. */
struct Observations {
  std::optional<Time> entries_at;  // when the observer asked for the entries
  std::map<InstanceId, EntryObservation> entries;
  std::map<VmId, WorkerObservation> workers;
  std::map<std::string, OperationState> operations;
  std::map<VmId, PlatformVm> platform_vms;
  std::optional<Time> platform_vms_at;  // when the observer asked for the list
  std::map<VmId, ReservationObservation> observed_reservations;
  std::int64_t wall_s = 0;
};

/*! @brief Periods that decide about facts; all from settings. */
struct Limits {
  Duration max_lease = std::chrono::seconds(30);
  Duration start_validity = std::chrono::milliseconds(500);
  Duration max_report_age = std::chrono::seconds(2);
  Duration max_list_age = std::chrono::seconds(10);
  Duration entry_timeout = std::chrono::seconds(2);
  Duration checkpoint_grace = std::chrono::seconds(30);
};

/*! @brief Enters a worker's report; a gap, a task or a boot ends idleness. */
void RecordWorkerReport(Observations& observations,
                        const VmId& vm,
                        std::string boot,
                        std::vector<TaskReport> tasks,
                        Time requested_at,
                        const Limits& limits);

/*! @brief True if the latest list from the platform lacks the VM or shows it
 * as down. */
[[nodiscard]] bool IsLost(const Observations& observations, const VmId& vm);

}  // namespace kch::maintain

#endif  // MAINTAIN_OBSERVATIONS_H_
