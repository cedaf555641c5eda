#ifndef MAINTAIN_ADVANCE_H_
#define MAINTAIN_ADVANCE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/id.h"
#include "base/time.h"
#include "maintain/observations.h"
#include "maintain/record.h"

namespace kch::maintain {

/*! @brief Kind of a platform operation on a VM. */
enum class PlatformVerb : std::uint8_t { kDrain, kReboot, kUndrain };

/*! @brief Starts a platform operation on a VM; a repeat with the same id is a
 * no-op. */
struct PlatformCall {
  PlatformVerb verb = PlatformVerb::kDrain;
  VmId vm;
  std::string operation;
};

/*! @brief Reads the state of a platform operation. */
struct ReadOperation {
  std::string operation;
};

/*! @brief Action of a worker on a task. */
enum class WorkerVerb : std::uint8_t { kCheckpoint, kThrottle, kStop };

/*! @brief Requests an action on a task from a worker. */
struct WorkerCall {
  WorkerVerb verb = WorkerVerb::kCheckpoint;
  VmId vm;
  TaskId task;
};

/*! @brief Next actions for a VM. */
struct NextActions {
  std::optional<PoolRecord> record;  // next version, to be written by CAS
  std::optional<PlatformCall> platform;
  std::optional<ReadOperation> read;
  std::vector<WorkerCall> workers;
  std::string waiting_for;  // for operators: condition that the VM waits for
};

/*! @brief Id of the platform operation for the current step of a VM. */
[[nodiscard]] std::string OperationId(const VmRow& vm, PlatformVerb verb);

/*! @brief Checks that no task runs on the VM whose result an entry may still
 * use. Fails with kConflict if tasks run, and with kUnavailable if that cannot
 * be ruled out yet.
 *
 * A VM is quiet if no task runs, none can still start, and every entry has
 * applied the reservation or has been unresponsive until all leases of its
 * tasks have expired. */
[[nodiscard]] Result<void> CheckQuiet(const PoolRecord& record,
                                      const VmRow& vm,
                                      const Observations& observations,
                                      Time now,
                                      const Limits& limits);

/*! @brief The next actions towards the end of a VM's maintenance; none for a
 * serving VM. Fails with kNotFound if the record lacks the VM. */
[[nodiscard]] Result<NextActions> Advance(const PoolRecord& record,
                                          const VmId& vm,
                                          const Observations& observations,
                                          Time now,
                                          const Limits& limits);

/*! @brief Ends an operator's drain: the VM enters the state kChecking and then
 * serves again. Fails with kConflict unless the drain is complete. */
[[nodiscard]] Result<PoolRecord> ReturnToService(const PoolRecord& record,
                                                 const VmId& vm);

}  // namespace kch::maintain

#endif  // MAINTAIN_ADVANCE_H_
