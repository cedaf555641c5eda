#include "maintain/advance.h"

#include <algorithm>
#include <utility>

#include "maintain/moves.h"

namespace kch::maintain {
namespace {

tl::unexpected<Error> NotQuiet(ErrorKind kind, std::string message) {
  return Fail(kind, std::move(message),
              "wait; the drain continues automatically");
}

// Reads the state of the operation for the current step, and starts the
// operation if the platform has none. Reading first prevents a maintainer that
// takes over from acting without the operation's current state.
NextActions StartOrReadOperation(const VmRow& vm,
                                 PlatformVerb verb,
                                 const Observations& observations) {
  NextActions actions;
  const std::string operation = OperationId(vm, verb);
  const auto found = observations.operations.find(operation);
  if (found != observations.operations.end() &&
      found->second == OperationState::kNotFound) {
    actions.platform = PlatformCall{verb, vm.id, operation};
  } else {
    actions.read = ReadOperation{operation};
  }
  actions.waiting_for = "operation " + operation;
  return actions;
}

std::optional<OperationState> StateOf(const VmRow& vm,
                                      PlatformVerb verb,
                                      const Observations& observations) {
  const auto found = observations.operations.find(OperationId(vm, verb));
  if (found == observations.operations.end()) {
    return std::nullopt;
  }
  return found->second;
}

NextActions TransitionTo(const PoolRecord& record,
                         const VmId& vm,
                         VmState state) {
  NextActions actions;
  actions.record = record;
  EnterState(*actions.record, vm, state);
  return actions;
}

// Profiles bound how long a task may delay a drain: after the bound, the task
// is checkpointed, and stopped if the checkpoint does not end it within the
// grace period.
std::vector<WorkerCall> WorkerCalls(const VmRow& vm,
                                    const Observations& observations,
                                    Time now,
                                    const Limits& limits) {
  std::vector<WorkerCall> calls;
  const auto worker = observations.workers.find(vm.id);
  if (worker == observations.workers.end() ||
      now - worker->second.requested_at > limits.max_report_age) {
    return calls;
  }
  // The record contains the wall clock of the reservation, so that the bound
  // does not start again with each maintainer.
  const Duration drained = std::chrono::seconds(
      std::max<std::int64_t>(0, observations.wall_s - vm.since_s));
  // A maintainer that has just started may have read an old record; a stop on a
  // VM that serves again would interrupt a request. A checkpoint loses no work.
  const auto reservation = observations.observed_reservations.find(vm.id);
  const bool observed =
      reservation != observations.observed_reservations.end() &&
      reservation->second.operation == vm.operation &&
      now - reservation->second.observed_at >= limits.max_report_age;
  for (const auto& task : worker->second.tasks) {
    const Duration checkpoint_at = task.behaviour == DrainBehaviour::kCheckpoint
                                       ? Duration::zero()
                                       : task.bound;
    if (drained >= checkpoint_at + limits.checkpoint_grace && observed) {
      calls.push_back({WorkerVerb::kStop, vm.id, task.id});
    } else if (drained >= checkpoint_at) {
      calls.push_back({WorkerVerb::kCheckpoint, vm.id, task.id});
    } else if (task.behaviour == DrainBehaviour::kThrottle) {
      calls.push_back({WorkerVerb::kThrottle, vm.id, task.id});
    }
  }
  return calls;
}

NextActions AdvanceDraining(const PoolRecord& record,
                            const VmRow& vm,
                            const Observations& observations,
                            Time now,
                            const Limits& limits) {
  const auto drain = StateOf(vm, PlatformVerb::kDrain, observations);
  if (drain == OperationState::kFailed) {
    return TransitionTo(record, vm.id, VmState::kDraining);
  }
  NextActions actions;
  if (drain != OperationState::kDone) {
    actions = StartOrReadOperation(vm, PlatformVerb::kDrain, observations);
  } else if (const auto quiet =
                 CheckQuiet(record, vm, observations, now, limits);
             quiet) {
    return TransitionTo(record, vm.id, VmState::kQuiet);
  } else {
    actions.waiting_for = quiet.error().message;
  }
  actions.workers = WorkerCalls(vm, observations, now, limits);
  return actions;
}

NextActions AdvanceQuiet(const PoolRecord& record,
                         const VmRow& vm,
                         const Observations& observations,
                         Time now,
                         const Limits& limits) {
  NextActions actions;
  const auto quiet = CheckQuiet(record, vm, observations, now, limits);
  if (!quiet) {
    if (quiet.error().kind == ErrorKind::kConflict) {
      return TransitionTo(record, vm.id, VmState::kDraining);
    }
    actions.waiting_for = quiet.error().message;
    return actions;
  }
  switch (vm.purpose) {
    case Purpose::kDrain:
      actions.waiting_for = "an operator's return order";
      return actions;
    case Purpose::kMove: {
      auto next = Forward(record, vm.id, vm.to, observations, now, limits);
      if (next) {
        actions.record = *std::move(next);
      } else {
        actions.waiting_for = next.error().message;
      }
      return actions;
    }
    case Purpose::kReboot:
      break;
  }
  actions = TransitionTo(record, vm.id, VmState::kRebooting);
  actions.record->vms.at(vm.id).boot = observations.workers.at(vm.id).boot;
  return actions;
}

NextActions AdvanceRebooting(const PoolRecord& record,
                             const VmRow& vm,
                             const Observations& observations,
                             Time now,
                             const Limits& limits) {
  const auto reboot = StateOf(vm, PlatformVerb::kReboot, observations);
  if (reboot == OperationState::kDone) {
    return TransitionTo(record, vm.id, VmState::kChecking);
  }
  if (reboot == OperationState::kFailed) {
    return TransitionTo(record, vm.id, VmState::kRebooting);
  }
  NextActions actions =
      StartOrReadOperation(vm, PlatformVerb::kReboot, observations);
  if (actions.platform) {
    // The record may have been written long before this call, so tasks may have
    // started since.
    if (const auto quiet = CheckQuiet(record, vm, observations, now, limits);
        !quiet) {
      actions.platform.reset();
      actions.waiting_for = quiet.error().message;
      // The step cannot be reverted, since a call of another maintainer may be
      // in flight; a task that should not have started is ended instead.
      actions.workers = WorkerCalls(vm, observations, now, limits);
    }
  }
  return actions;
}

NextActions AdvanceChecking(const PoolRecord& record,
                            const VmRow& vm,
                            const Observations& observations,
                            Time now,
                            const Limits& limits) {
  NextActions actions;
  const auto worker = observations.workers.find(vm.id);
  if (worker == observations.workers.end() ||
      now - worker->second.requested_at > limits.max_report_age) {
    actions.waiting_for = "a report of the worker";
    return actions;
  }
  if (vm.purpose == Purpose::kReboot && worker->second.boot == vm.boot) {
    actions.waiting_for = "a report of the worker after its boot";
    return actions;
  }
  const auto undrain = StateOf(vm, PlatformVerb::kUndrain, observations);
  if (undrain == OperationState::kFailed) {
    return TransitionTo(record, vm.id, VmState::kChecking);
  }
  if (undrain != OperationState::kDone) {
    return StartOrReadOperation(vm, PlatformVerb::kUndrain, observations);
  }
  if (!observations.platform_vms_at ||
      now - *observations.platform_vms_at > limits.max_list_age ||
      IsLost(observations, vm.id)) {
    actions.waiting_for = "the platform to list the VM as up";
    return actions;
  }
  actions = TransitionTo(record, vm.id, VmState::kServing);
  VmRow& row = actions.record->vms.at(vm.id);
  if (row.purpose == Purpose::kReboot) {
    // With a wall clock that lags, the VM must not be due again at once.
    row.maintained_s = std::max(observations.wall_s, record.rollout_s);
  }
  row.purpose = Purpose::kReboot;
  row.to = PoolId();
  row.reason.clear();
  row.boot.clear();
  actions.record->ledger.erase(vm.id);
  return actions;
}

}  // namespace

std::string OperationId(const VmRow& vm, PlatformVerb verb) {
  const char* name = verb == PlatformVerb::kDrain    ? ".drain"
                     : verb == PlatformVerb::kReboot ? ".reboot"
                                                     : ".undrain";
  return vm.operation + "." + std::to_string(vm.step) + name;
}

Result<void> CheckQuiet(const PoolRecord& record,
                        const VmRow& vm,
                        const Observations& observations,
                        Time now,
                        const Limits& limits) {
  const auto worker = observations.workers.find(vm.id);
  if (worker == observations.workers.end() ||
      now - worker->second.requested_at > limits.max_report_age) {
    return NotQuiet(ErrorKind::kUnavailable,
                    "no recent report of the worker on VM " + vm.id.str());
  }
  if (!worker->second.tasks.empty()) {
    return NotQuiet(ErrorKind::kConflict, "tasks run on VM " + vm.id.str());
  }
  // A start sent by an entry that has just stopped may still arrive.
  if (worker->second.requested_at - worker->second.idle_since <
      limits.start_validity) {
    return NotQuiet(ErrorKind::kUnavailable,
                    "VM " + vm.id.str() + " has only just become idle");
  }
  const auto reservation = observations.observed_reservations.find(vm.id);
  if (reservation == observations.observed_reservations.end() ||
      reservation->second.operation != vm.operation) {
    return NotQuiet(ErrorKind::kUnavailable,
                    "the drain of VM " + vm.id.str() + " was not observed");
  }
  if (!observations.entries_at ||
      now - *observations.entries_at > limits.max_list_age) {
    return NotQuiet(ErrorKind::kUnavailable,
                    "the list of entries is missing or too old");
  }
  for (const auto& [instance, entry] : observations.entries) {
    const auto report = entry.pool_reports.find(record.pool);
    const bool has_observed = report != entry.pool_reports.end() &&
                              report->second.generation >= vm.since;
    std::uint32_t running = 0;
    if (has_observed) {
      const auto count = report->second.running.find(vm.id);
      running = count == report->second.running.end() ? 0 : count->second;
      if (running == 0) {
        continue;
      }
    }
    if (now - entry.last_contact_at <= limits.entry_timeout) {
      return NotQuiet(
          running > 0 ? ErrorKind::kConflict : ErrorKind::kUnavailable,
          running > 0
              ? "entry " + instance.str() + " runs tasks on VM " + vm.id.str()
              : "entry " + instance.str() +
                    " has not observed the drain of VM " + vm.id.str());
    }
    // The last start sent by an unresponsive entry takes effect within the
    // validity of starts, and the worker ends the task when its lease expires.
    const Time from =
        std::max({entry.last_contact_at, reservation->second.observed_at,
                  worker->second.idle_since});
    if (worker->second.requested_at - from <
        limits.max_lease + limits.start_validity) {
      return NotQuiet(ErrorKind::kUnavailable,
                      "entry " + instance.str() + " is unresponsive");
    }
  }
  return {};
}

Result<NextActions> Advance(const PoolRecord& record,
                            const VmId& vm,
                            const Observations& observations,
                            Time now,
                            const Limits& limits) {
  const auto found = record.vms.find(vm);
  if (found == record.vms.end()) {
    return Fail(ErrorKind::kNotFound,
                "pool " + record.pool.str() + " has no VM " + vm.str(),
                "name the pool that lists the VM");
  }
  const VmRow& row = found->second;
  switch (row.state) {
    case VmState::kServing:
      break;
    case VmState::kReserved:
      return TransitionTo(record, vm, VmState::kDraining);
    case VmState::kDraining:
      return AdvanceDraining(record, row, observations, now, limits);
    case VmState::kQuiet:
      return AdvanceQuiet(record, row, observations, now, limits);
    case VmState::kRebooting:
      return AdvanceRebooting(record, row, observations, now, limits);
    case VmState::kChecking:
      return AdvanceChecking(record, row, observations, now, limits);
  }
  return NextActions{};
}

Result<PoolRecord> ReturnToService(const PoolRecord& record, const VmId& vm) {
  const auto found = record.vms.find(vm);
  if (found == record.vms.end()) {
    return Fail(ErrorKind::kNotFound,
                "pool " + record.pool.str() + " has no VM " + vm.str(),
                "name the pool that lists the VM");
  }
  // Before the drain is complete, a late drain call could reach the platform
  // after the undrain.
  if (found->second.purpose != Purpose::kDrain ||
      found->second.state != VmState::kQuiet) {
    return Fail(ErrorKind::kConflict,
                "VM " + vm.str() + " is not held by a completed drain",
                "repeat the order when the drain is complete");
  }
  PoolRecord next = record;
  EnterState(next, vm, VmState::kChecking);
  return next;
}

}  // namespace kch::maintain
