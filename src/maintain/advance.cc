#include "maintain/advance.h"

#include <algorithm>
#include <utility>

#include "maintain/moves.h"

namespace kch::maintain {
namespace {

tl::unexpected<Error> NotQuiet(ErrorKind kind, std::string message) {
  return Fail(kind, std::move(message), "wait; the drain continues by itself");
}

// Starts the operation of the current step or learns its state. Reading first
// keeps a maintainer that takes over from acting on what it has not seen.
Advice Operate(const VmRow& vm, PlatformVerb verb, const Facts& facts) {
  Advice advice;
  const std::string operation = OperationId(vm, verb);
  const auto found = facts.operations.find(operation);
  if (found != facts.operations.end() &&
      found->second == OperationState::kNotFound) {
    advice.platform = PlatformCall{verb, vm.id, operation};
  } else {
    advice.read = ReadOperation{operation};
  }
  advice.waiting = "operation " + operation;
  return advice;
}

std::optional<OperationState> StateOf(const VmRow& vm,
                                      PlatformVerb verb,
                                      const Facts& facts) {
  const auto found = facts.operations.find(OperationId(vm, verb));
  if (found == facts.operations.end()) {
    return std::nullopt;
  }
  return found->second;
}

Advice Enter(const PoolRecord& record, const VmId& vm, VmState state) {
  Advice advice;
  advice.record = record;
  EnterState(*advice.record, vm, state);
  return advice;
}

// Profiles bound how long a task may hold up a drain: after the bound it is
// checkpointed, and stopped if the checkpoint does not end it in time.
std::vector<WorkerCall> WorkerCalls(const VmRow& vm,
                                    const Facts& facts,
                                    Time now,
                                    const Limits& limits) {
  std::vector<WorkerCall> calls;
  const auto worker = facts.workers.find(vm.id);
  if (worker == facts.workers.end() ||
      now - worker->second.asked_at > limits.report_age) {
    return calls;
  }
  // The wall clock of the reservation is in the record, so that the bound does
  // not start again with each maintainer.
  const Duration drained = std::chrono::seconds(
      std::max<std::int64_t>(0, facts.wall_s - vm.since_s));
  // A maintainer that has just started may have read an old record; a stop on a
  // VM that serves again would interrupt a request. A checkpoint loses nothing.
  const auto watch = facts.watches.find(vm.id);
  const bool observed = watch != facts.watches.end() &&
                        watch->second.operation == vm.operation &&
                        now - watch->second.seen_at >= limits.report_age;
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

Advice AdvanceDraining(const PoolRecord& record,
                       const VmRow& vm,
                       const Facts& facts,
                       Time now,
                       const Limits& limits) {
  const auto drain = StateOf(vm, PlatformVerb::kDrain, facts);
  if (drain == OperationState::kFailed) {
    return Enter(record, vm.id, VmState::kDraining);
  }
  Advice advice;
  if (drain != OperationState::kDone) {
    advice = Operate(vm, PlatformVerb::kDrain, facts);
  } else if (const auto quiet = CheckQuiet(record, vm, facts, now, limits);
             quiet) {
    return Enter(record, vm.id, VmState::kQuiet);
  } else {
    advice.waiting = quiet.error().message;
  }
  advice.workers = WorkerCalls(vm, facts, now, limits);
  return advice;
}

Advice AdvanceQuiet(const PoolRecord& record,
                    const VmRow& vm,
                    const Facts& facts,
                    Time now,
                    const Limits& limits) {
  Advice advice;
  const auto quiet = CheckQuiet(record, vm, facts, now, limits);
  if (!quiet) {
    if (quiet.error().kind == ErrorKind::kConflict) {
      return Enter(record, vm.id, VmState::kDraining);
    }
    advice.waiting = quiet.error().message;
    return advice;
  }
  switch (vm.purpose) {
    case Purpose::kDrain:
      advice.waiting = "an operator's order to return";
      return advice;
    case Purpose::kMove: {
      auto next = Forward(record, vm.id, vm.to, facts, now, limits);
      if (next) {
        advice.record = *std::move(next);
      } else {
        advice.waiting = next.error().message;
      }
      return advice;
    }
    case Purpose::kReboot:
      break;
  }
  advice = Enter(record, vm.id, VmState::kRebooting);
  advice.record->vms.at(vm.id).boot = facts.workers.at(vm.id).boot;
  return advice;
}

Advice AdvanceRebooting(const PoolRecord& record,
                        const VmRow& vm,
                        const Facts& facts,
                        Time now,
                        const Limits& limits) {
  const auto reboot = StateOf(vm, PlatformVerb::kReboot, facts);
  if (reboot == OperationState::kDone) {
    return Enter(record, vm.id, VmState::kChecking);
  }
  if (reboot == OperationState::kFailed) {
    return Enter(record, vm.id, VmState::kRebooting);
  }
  Advice advice = Operate(vm, PlatformVerb::kReboot, facts);
  if (advice.platform) {
    // The record may have been written long before this call.
    if (const auto quiet = CheckQuiet(record, vm, facts, now, limits); !quiet) {
      advice.platform.reset();
      advice.waiting = quiet.error().message;
      // The step cannot go back, since another maintainer's call may be on its
      // way; a task that has started against the rules is ended instead.
      advice.workers = WorkerCalls(vm, facts, now, limits);
    }
  }
  return advice;
}

Advice AdvanceChecking(const PoolRecord& record,
                       const VmRow& vm,
                       const Facts& facts,
                       Time now,
                       const Limits& limits) {
  Advice advice;
  const auto worker = facts.workers.find(vm.id);
  if (worker == facts.workers.end() ||
      now - worker->second.asked_at > limits.report_age) {
    advice.waiting = "a report of the worker";
    return advice;
  }
  if (vm.purpose == Purpose::kReboot && worker->second.boot == vm.boot) {
    advice.waiting = "a report of the worker after its boot";
    return advice;
  }
  const auto undrain = StateOf(vm, PlatformVerb::kUndrain, facts);
  if (undrain == OperationState::kFailed) {
    return Enter(record, vm.id, VmState::kChecking);
  }
  if (undrain != OperationState::kDone) {
    return Operate(vm, PlatformVerb::kUndrain, facts);
  }
  if (!facts.listed_at || now - *facts.listed_at > limits.list_age ||
      IsLost(facts, vm.id)) {
    advice.waiting = "the platform to list the VM as up";
    return advice;
  }
  advice = Enter(record, vm.id, VmState::kServing);
  VmRow& row = advice.record->vms.at(vm.id);
  if (row.purpose == Purpose::kReboot) {
    // A wall clock that is behind must not make the VM due again at once.
    row.maintained_s = std::max(facts.wall_s, record.rollout_s);
  }
  row.purpose = Purpose::kReboot;
  row.to = PoolId();
  row.reason.clear();
  row.boot.clear();
  advice.record->ledger.erase(vm.id);
  return advice;
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
                        const Facts& facts,
                        Time now,
                        const Limits& limits) {
  const auto worker = facts.workers.find(vm.id);
  if (worker == facts.workers.end() ||
      now - worker->second.asked_at > limits.report_age) {
    return NotQuiet(ErrorKind::kUnavailable,
                    "no recent report of the worker on VM " + vm.id.str());
  }
  if (!worker->second.tasks.empty()) {
    return NotQuiet(ErrorKind::kConflict, "tasks run on VM " + vm.id.str());
  }
  // A start of an entry that has just stopped may still arrive.
  if (worker->second.asked_at - worker->second.idle_since <
      limits.start_validity) {
    return NotQuiet(ErrorKind::kUnavailable,
                    "VM " + vm.id.str() + " has only just become idle");
  }
  const auto watch = facts.watches.find(vm.id);
  if (watch == facts.watches.end() || watch->second.operation != vm.operation) {
    return NotQuiet(ErrorKind::kUnavailable,
                    "the drain of VM " + vm.id.str() + " was not observed");
  }
  if (!facts.entries_at || now - *facts.entries_at > limits.list_age) {
    return NotQuiet(ErrorKind::kUnavailable, "the entries are not known");
  }
  for (const auto& [instance, entry] : facts.entries) {
    const auto word = entry.words.find(record.pool);
    const bool has_seen =
        word != entry.words.end() && word->second.generation >= vm.since;
    std::uint32_t running = 0;
    if (has_seen) {
      const auto count = word->second.running.find(vm.id);
      running = count == word->second.running.end() ? 0 : count->second;
      if (running == 0) {
        continue;
      }
    }
    if (now - entry.heard_at <= limits.entry_silent) {
      return NotQuiet(
          running > 0 ? ErrorKind::kConflict : ErrorKind::kUnavailable,
          running > 0
              ? "entry " + instance.str() + " runs tasks on VM " + vm.id.str()
              : "entry " + instance.str() + " has not seen the drain of VM " +
                    vm.id.str());
    }
    // Whatever a silent entry sent last has started by the end of the start's
    // validity and has ended at the worker by the end of its lease.
    const Time from = std::max(
        {entry.heard_at, watch->second.seen_at, worker->second.idle_since});
    if (worker->second.asked_at - from <
        limits.longest_lease + limits.start_validity) {
      return NotQuiet(ErrorKind::kUnavailable,
                      "entry " + instance.str() + " is silent");
    }
  }
  return {};
}

Result<Advice> Advance(const PoolRecord& record,
                       const VmId& vm,
                       const Facts& facts,
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
      return Enter(record, vm, VmState::kDraining);
    case VmState::kDraining:
      return AdvanceDraining(record, row, facts, now, limits);
    case VmState::kQuiet:
      return AdvanceQuiet(record, row, facts, now, limits);
    case VmState::kRebooting:
      return AdvanceRebooting(record, row, facts, now, limits);
    case VmState::kChecking:
      return AdvanceChecking(record, row, facts, now, limits);
  }
  return Advice{};
}

Result<PoolRecord> Return(const PoolRecord& record, const VmId& vm) {
  const auto found = record.vms.find(vm);
  if (found == record.vms.end()) {
    return Fail(ErrorKind::kNotFound,
                "pool " + record.pool.str() + " has no VM " + vm.str(),
                "name the pool that lists the VM");
  }
  // Earlier, a late drain call could reach the platform after the undrain.
  if (found->second.purpose != Purpose::kDrain ||
      found->second.state != VmState::kQuiet) {
    return Fail(ErrorKind::kConflict,
                "VM " + vm.str() + " is not held by a completed drain",
                "repeat the order once the drain has completed");
  }
  PoolRecord next = record;
  EnterState(next, vm, VmState::kChecking);
  return next;
}

}  // namespace kch::maintain
