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

/*! @brief A call to the platform that starts an operation. */
enum class PlatformVerb : std::uint8_t { kDrain, kReboot, kUndrain };

/*! @brief Starts an operation on a VM; a repeat with the same id is a no-op. */
struct PlatformCall {
  PlatformVerb verb = PlatformVerb::kDrain;
  VmId vm;
  std::string operation;
};

/*! @brief Reads the state of a platform operation. */
struct ReadOperation {
  std::string operation;
};

/*! @brief What a worker is asked to do with a task. */
enum class WorkerVerb : std::uint8_t { kCheckpoint, kThrottle, kStop };

/*! @brief A call to a worker about a task. */
struct WorkerCall {
  WorkerVerb verb = WorkerVerb::kCheckpoint;
  VmId vm;
  TaskId task;
};

/*! @brief Next actions for a VM. */
struct NextActions {
  std::optional<PoolRecord> record;  // to be written by CAS
  std::optional<PlatformCall> platform;
  std::optional<ReadOperation> read;
  std::vector<WorkerCall> workers;
  std::string waiting_for;  // for operators: what the VM waits for
};

/*! @brief Id of the platform operation of a VM's current step. */
[[nodiscard]] std::string OperationId(const VmRow& vm, PlatformVerb verb);

/*! @brief Checks that nothing that may still be answered runs on the VM. */
[[nodiscard]] Result<void> CheckQuiet(const PoolRecord& record,
                                      const VmRow& vm,
                                      const Observations& observations,
                                      Time now,
                                      const Limits& limits);

/*! @brief The next action that brings a VM towards the end of its order. */
[[nodiscard]] Result<NextActions> Advance(const PoolRecord& record,
                                          const VmId& vm,
                                          const Observations& observations,
                                          Time now,
                                          const Limits& limits);

/*! @brief Ends an operator's drain: the VM is checked and serves again. */
[[nodiscard]] Result<PoolRecord> ReturnToService(const PoolRecord& record,
                                                 const VmId& vm);

}  // namespace kch::maintain

#endif  // MAINTAIN_ADVANCE_H_
