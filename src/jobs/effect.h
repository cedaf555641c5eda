#ifndef JOBS_EFFECT_H_
#define JOBS_EFFECT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "jobs/model.h"

namespace kch::jobs {

/*! @brief The VM that an order goes to. */
struct Destination {
  VmId vm;
  std::string address;
};

/*! @brief Orders a VM to start a run. */
struct StartRun {
  Destination to;
  TaskRef task;
  std::int64_t run = 0;
  std::string payload;
  std::int64_t lease_until_ms = 0;  // lease, on the VM's clock
  std::string checkpoint;           // empty: from the beginning
  std::string permit;               // of the advice service; empty: not needed
};

/*! @brief Orders a VM to stop a run, and to refuse the order to start it if
 * that arrives later. */
struct StopRun {
  Destination to;
  TaskRef task;
  std::int64_t run = 0;
};

/*! @brief Throttles a backfill run to a share of its work. */
struct PaceRun {
  Destination to;
  TaskRef task;
  std::int64_t run = 0;
  std::int32_t percent = 100;  // share; 0: no work; 100: unthrottled
};

/*! @brief Requests a VM's report and renews its lease. */
struct PollVm {
  Destination to;
  std::optional<std::int64_t> lease_until_ms;  // unset: no renewal
  // Acknowledges the ends up to this number, which are stored; 0: none.
  std::int64_t recorded_end = 0;
  // Long poll: answered when a run ends or after this time; 0: at once.
  std::int64_t wait_ms = 0;
};

/*! @brief Requests permits from the advice service for a step on some VMs. */
struct RequestAdvice {
  JobId job;
  std::int32_t occurrence = 0;
  std::int32_t step = 0;
  std::vector<VmId> vms;
};

/*! @brief What a write does to a job's records. */
enum class RecordStep : std::uint8_t {
  kProgress,  // writes its progress
  kEnd,       // replaces all its records by one with its final state
  kErase,     // erases the record of the final state
};

/*! @brief Writes of one job's records. */
struct RecordWrite {
  JobId job;
  std::uint64_t expected = 0;  // revision of the present record; 0: absent
  std::string value;           // unused if erased
  RecordStep step = RecordStep::kProgress;
};

/*! @brief Writes progress records, all or none, if this scheduler still owns
 * the fleet. */
struct WriteRecords {
  std::uint64_t id = 0;
  std::vector<RecordWrite> records;
};

/*! @brief Persists a VM's record; tasks start there only once it is stored,
 * which Scheduler::OnVmPersisted confirms. The VM can run on after its
 * registration was removed, and a successor then finds it by this record. */
struct PersistVm {
  VmRecord record;
};
/*! @brief Erases the record that PersistVm stored. */
struct EraseVmRecord {
  VmId vm;
};

/*! @brief Persists that a VM has ended by an order. Its registration remains
 * until some heartbeats are missing, and without this record a successor would
 * wait for a report of the VM. */
struct PersistEndedVm {
  VmId vm;
  std::int64_t boot_ms = 0;  // as in VmFacts
};
/*! @brief Erases the record that PersistEndedVm stored. */
struct EraseEndedVmRecord {
  VmId vm;
};

/*! @brief Reads the record of a job that may have ended under a predecessor;
 * Scheduler::AddEnded takes it. */
struct ReadEndedJob {
  JobId job;
};

/*! @brief A VM refused an order for its fence: another scheduler has taken
 * over, and no further orders may be sent. */
struct Superseded {
  VmId refused_by;
};

/*! @brief A decision to log. */
struct LogEvent {
  std::string_view event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};

using Effect = std::variant<StartRun,
                            StopRun,
                            PaceRun,
                            PollVm,
                            RequestAdvice,
                            WriteRecords,
                            PersistVm,
                            EraseVmRecord,
                            PersistEndedVm,
                            EraseEndedVmRecord,
                            ReadEndedJob,
                            Superseded,
                            LogEvent>;

/*! @brief Outcome of a WriteRecords. */
enum class WriteAnswer : std::uint8_t {
  kWritten,
  kConflict,     // a record had another revision; nothing was written
  kUnknown,      // the write may still take effect
  kUnavailable,  // no effect
};

/*! @brief A write's outcome with the revisions that the store reported. */
struct WriteResult {
  WriteAnswer answer = WriteAnswer::kUnavailable;
  std::uint64_t revision = 0;  // of every record written
  // On a conflict: the revisions in force; 0 for an absent record.
  std::vector<std::pair<JobId, std::uint64_t>> revisions;
};

}  // namespace kch::jobs

#endif  // JOBS_EFFECT_H_
