#ifndef MAINTAIN_FACTS_H_
#define MAINTAIN_FACTS_H_

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
struct TaskFact {
  TaskId id;
  DrainBehaviour behaviour = DrainBehaviour::kCheckpoint;
  Duration bound = std::chrono::seconds(60);
};

/*! @brief A worker's own report and how long it has been idle. */
struct WorkerFact {
  std::string boot;  // differs after each boot
  std::vector<TaskFact> tasks;
  Time asked_at;    // when the observer asked for the latest report
  Time idle_since;  // first of the unbroken reports without a task
};

/*! @brief An entry's word about one pool. */
struct EntryWord {
  std::uint64_t generation = 0;           // of the pool record that it follows
  std::map<VmId, std::uint32_t> running;  // includes starts in flight
};

/*! @brief An entry that is not proven stopped. */
struct EntryFact {
  Time heard_at;
  std::map<PoolId, EntryWord> words;
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
struct StateWatch {
  std::string operation;  // of the reservation
  Time seen_at;
};

/*! @brief What a maintainer has gathered; all instants are its own clock's. */
struct Facts {
  std::optional<Time> entries_at;  // when the observer asked for the entries
  std::map<InstanceId, EntryFact> entries;
  std::map<VmId, WorkerFact> workers;
  std::map<std::string, OperationState> operations;
  std::map<VmId, PlatformVm> listed;
  std::optional<Time> listed_at;  // when the observer asked for the list
  std::map<VmId, StateWatch> watches;
  std::int64_t wall_s = 0;
};

/*! @brief Periods that decide about facts; all from settings. */
struct Limits {
  Duration longest_lease = std::chrono::seconds(30);
  Duration start_validity = std::chrono::milliseconds(500);
  Duration report_age = std::chrono::seconds(2);
  Duration list_age = std::chrono::seconds(10);
  Duration entry_silent = std::chrono::seconds(2);
  Duration checkpoint_grace = std::chrono::seconds(30);
};

/*! @brief Enters a worker's report; a gap, a task or a boot ends idleness. */
void NoteWorker(Facts& facts,
                const VmId& vm,
                std::string boot,
                std::vector<TaskFact> tasks,
                Time asked_at,
                const Limits& limits);

/*! @brief True if the latest list from the platform lacks the VM or shows it
 * as down. */
[[nodiscard]] bool IsLost(const Facts& facts, const VmId& vm);

}  // namespace kch::maintain

#endif  // MAINTAIN_FACTS_H_
