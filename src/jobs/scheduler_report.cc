#include <algorithm>
#include <utility>

#include "jobs/scheduler.h"

// Handles the reports of VMs: running, ended and lost runs. A VM is the
// authority on its runs. The scheduler treats a run as absent only if a report
// that was requested after the answer to the order to start it does not list
// the run.

namespace kch::jobs {
namespace {

// Different jobs whose failures eject a VM, and one that was ejected before and
// has not proved sound since.
constexpr std::size_t kFailedJobsToEject = 2;
constexpr std::size_t kFailedJobsToEjectAgain = 1;
// Doublings after which the ejection time no longer grows.
constexpr std::int32_t kMaxEjectionDoublings = 4;
// Endless tasks have no end that shows that their VM is sound. One that was at
// work for this long shows it once.
constexpr auto kProvingTime = std::chrono::seconds(2);
// Longest wait of the first long poll after a call without an answer.
constexpr auto kPollWaitAfterLoss = std::chrono::milliseconds(100);

}  // namespace

void Scheduler::OnReport(const VmId& id,
                         const VmReport& report,
                         Time sent,
                         Time now) {
  Vm* vm = this->FindVm(id);
  if (vm == nullptr) {
    return;
  }
  const bool other_boot = report.boot_ms != 0 && vm->facts.boot_ms != 0 &&
                          report.boot_ms != vm->facts.boot_ms;
  if (other_boot && sent < vm->added) {
    return;  // the report of an earlier incarnation, which has ended since
  }
  vm->poll_pending = false;
  if (other_boot) {
    // The VM restarted under its id: its clock and the numbers of its ends
    // start again, and it has no runs.
    VmFacts facts = vm->facts;
    facts.boot_ms = report.boot_ms;
    const bool registered = vm->registered;
    this->RestartVm(*vm, facts, now);
    vm = this->FindVm(id);
    vm->registered = registered;
  }
  if (vm->unresponsive) {
    this->EmitLogEvent(
        "vm_answers_again",
        {{"vm", id.str()},
         {"after_ms", std::to_string(ToMs(now - vm->unresponsive_since))}});
  }
  vm->unresponsive = false;
  vm->max_poll_wait *= 2;
  if (vm->max_poll_wait >= this->limits.poll_wait) {
    vm->max_poll_wait = {};
  }
  vm->clock_ms = report.clock_ms;
  vm->clock_at = now;
  vm->clock_known = true;
  vm->clock_doubtful = false;
  // From now on the VM refuses the orders of a predecessor.
  if (!vm->reported) {
    vm->predecessor_lease_end = now + this->LongestLease();
    if (vm->may_hold_earlier_lease) {
      vm->earlier_lease_end = now + this->LongestGrantedLease();
    }
  }
  vm->reported = true;
  ++vm->report_count;
  this->LogOutlivedLease(*vm, report);
  vm->more_ends = report.more_ends;
  vm->ends_known = vm->ends_known || !report.more_ends;
  if (report.more_ends) {
    this->EmitLogEvent("ends_left_out",
                       {{"vm", id.str()},
                        {"listed", std::to_string(report.ended.size())},
                        {"last", std::to_string(report.ended.back().number)},
                        {"runs", std::to_string(vm->runs.size())}});
  }
  this->HandleEnds(*vm, report, now);
  for (const RunningRow& row : report.running) {
    this->HandleRunning(*vm, row, now);
  }
  if (!vm->more_ends) {
    this->RemoveUnlistedOrphans(*vm, vm->report_count);
  }
  this->ReconcileRuns(*vm, sent, now);
  if (!vm->more_ends) {
    this->SettleLateStarts(*vm, sent);
  }
  this->StopLateStarts(*vm, now);
  this->PaceVm(*vm, now);
  this->Acknowledge(*vm, now);
}

void Scheduler::OnLateReport(const VmId& id, const VmReport& report, Time now) {
  Vm* vm = this->FindVm(id);
  if (vm == nullptr || !vm->reported || report.boot_ms != vm->facts.boot_ms) {
    return;
  }
  const std::int64_t handled = vm->handled_end;
  this->HandleEnds(*vm, report, now);
  if (vm->handled_end > handled) {
    this->EmitLogEvent("late_report",
                       {{"vm", id.str()},
                        {"ends", std::to_string(vm->handled_end - handled)}});
    this->Acknowledge(*vm, now);
  }
}

void Scheduler::HandleEnds(Vm& vm, const VmReport& report, Time now) {
  for (const EndedRow& row : report.ended) {
    if (row.number > std::max(vm.recorded_end, vm.handled_end)) {
      this->HandleEnd(vm, report, row, now);
      vm.handled_end = row.number;
    }
  }
}

// Runs at work after the latest lease sent show that it does not bound them.
void Scheduler::LogOutlivedLease(const Vm& vm, const VmReport& report) {
  if (!vm.lease_until_ms || report.running.empty()) {
    return;
  }
  const std::int64_t past_ms = vm.clock_ms - *vm.lease_until_ms;
  if (past_ms <= ToMs(this->limits.stop_grace)) {
    return;
  }
  this->EmitLogEvent("lease_outlived",
                     {{"vm", vm.facts.id.str()},
                      {"runs", std::to_string(report.running.size())},
                      {"first", report.running.front().task},
                      {"past_ms", std::to_string(past_ms)}});
}

void Scheduler::HandleRunning(Vm& vm, const RunningRow& row, Time now) {
  const auto ref = TaskRef::Parse(row.task);
  if (!ref) {
    return;
  }
  this->OpenReported(*ref, now);
  Task* task = this->FindTask(*ref);
  const bool own =
      task != nullptr && task->run == row.run && vm.runs.contains(task);
  if (!own) {
    // The members of a gang have to share a number.
    if (task == nullptr || task->job->Ended() ||
        task->phase != TaskPhase::kWaiting ||
        (row.run < task->run && task->spec().gang)) {
      this->StopOrphan(vm, *ref, row.run, now);
      return;
    }
    // A run of the predecessor, or one that was considered lost. A predecessor
    // that did not know of an earlier run has given a lower number.
    task->run_floor = std::max(task->run_floor, task->run);
    task->run = row.run;
    this->Place(*task, vm);
    task->phase = TaskPhase::kStarting;
    task->pace = Task::kUnknownPace;  // the predecessor may have throttled it
    this->EmitLogEvent("run_adopted", {{"task", row.task},
                                       {"run", std::to_string(row.run)},
                                       {"vm", vm.facts.id.str()}});
  }
  this->MarkStarted(*task->job);
  if (task->phase == TaskPhase::kStarting) {
    if (task->answered_at != Time()) {
      this->EmitLogEvent(
          "start_found",
          {{"task", row.task},
           {"run", std::to_string(row.run)},
           {"vm", vm.facts.id.str()},
           {"lease_left_ms",
            std::to_string(task->lease_until_ms - vm.clock_ms)}});
    }
    task->phase = TaskPhase::kRunning;
    task->answered_at = now;
  }
  task->last_listed = vm.report_count;
  if (!row.checkpoint.empty()) {
    task->checkpoint = row.checkpoint;
  }
  task->percent = row.percent;
  task->gauge = row.gauge;
  if (task->spec().endless && !task->proved_vm && task->Active() &&
      now - task->answered_at >= kProvingTime) {
    task->proved_vm = true;
    this->OnSuccess(vm);
  }
}

// A run has succeeded on the VM, so those that failed there before do not show
// that it is at fault.
void Scheduler::OnSuccess(Vm& vm) {
  this->vm_failures.Clear(vm.facts.id);
  vm.ejections = 0;
}

// Until then, no stop is sent for a start that had no answer. The lease in the
// order says nothing by the clock of a later incarnation, which is given as
// long.
Time Scheduler::BarredAfter(const Task& task, const Vm& vm, Time now) const {
  return task.lease_until_ms == 0
             ? vm.added + this->limits.lease
             : now + std::chrono::milliseconds(task.lease_until_ms -
                                               vm.ClockAt(now));
}

// Decides on the runs that a report does not list, and repeats stops that had
// no answer. If the report leaves ends out, such a run may be among them.
void Scheduler::ReconcileRuns(Vm& vm, Time sent, Time now) {
  const std::vector<Task*> runs(vm.runs.begin(), vm.runs.end());
  for (Task* task : runs) {
    const bool listed = task->last_listed == vm.report_count;
    const bool absent = !listed && !vm.more_ends;
    // The report may be older than an order that was answered after `sent`.
    const bool settled =
        task->answered_at != Time() && task->answered_at < sent;
    switch (task->phase) {
      case TaskPhase::kStarting:
        // The order is lost or late; after a stop the VM refuses it for good.
        // Once its lease has expired, the VM refuses it without a stop, so a
        // stop sent then ends no active task.
        if (settled && !(task->MayStartLate() &&
                         now < this->BarredAfter(*task, vm, now))) {
          this->EmitLogEvent("start_barred",
                             {{"task", task->Ref().Name()},
                              {"run", std::to_string(task->run)},
                              {"vm", vm.facts.id.str()}});
          this->StopTask(*task);
        }
        break;
      case TaskPhase::kRunning:
        if (!listed && vm.more_ends) {
          task->percent = 0;
          task->gauge = 0;
        }
        if (absent && settled) {
          ++this->counter_values.lost;
          this->EmitLogEvent("run_lost", {{"task", task->Ref().Name()},
                                          {"run", std::to_string(task->run)},
                                          {"vm", vm.facts.id.str()},
                                          {"reason", "not_in_report"}});
          this->Requeue(*task);
          task->inferred_end = "not_in_report";
        }
        break;
      case TaskPhase::kStopping:
      case TaskPhase::kDone:
        if (task->resend_stop) {
          if (!listed || this->MayRepeatStop(*task, vm, now)) {
            this->SendStop(*task, vm);
          }
        } else if (absent && settled) {
          if (task->phase == TaskPhase::kDone) {
            this->Release(*task);
          } else {
            this->Requeue(*task);
            task->inferred_end = "stopped";
          }
        }
        break;
      case TaskPhase::kWaiting:
        break;
    }
  }
}

void Scheduler::HandleEnd(Vm& vm,
                          const VmReport& report,
                          const EndedRow& row,
                          Time now) {
  const auto ref = TaskRef::Parse(row.task);
  if (ref) {
    this->OpenReported(*ref, now);
  }
  Task* task = ref ? this->FindTask(*ref) : nullptr;
  if (task == nullptr) {
    // That the task's occurrence is finished may not be stored yet.
    const Job* closed = ref ? this->FindJob(ref->job) : nullptr;
    if (closed != nullptr && closed->finished.Contains(ref->occurrence)) {
      this->AwaitRecord(vm, *closed);
    }
    return;
  }
  Job& job = *task->job;
  this->MarkStarted(job);
  const bool current = task->run == row.run && vm.runs.contains(task);
  if (!current && task->phase == TaskPhase::kWaiting) {
    task->run = std::max(task->run, row.run);
  }
  if (!row.checkpoint.empty() &&
      (current || task->phase == TaskPhase::kWaiting)) {
    task->checkpoint = row.checkpoint;
  }
  if (row.how == RunEnd::kDone) {
    this->vm_failures.OnDone({job.spec.id, task->step});
    this->OnSuccess(vm);
  }
  if (job.Ended() || task->phase == TaskPhase::kDone) {
    if (current) {
      this->Release(*task);
    }
    // The end was handled before but may not be stored yet, and until it is, a
    // successor must find it in the VM's list.
    this->AwaitRecord(vm, job);
    return;
  }
  // Of stopped runs those that others of their step count on.
  if (row.how != RunEnd::kDone &&
      (row.how != RunEnd::kStopped || task->spec().endless)) {
    this->EmitLogEvent("run_ended", {{"task", row.task},
                                     {"run", std::to_string(row.run)},
                                     {"vm", vm.facts.id.str()},
                                     {"how", std::string(NameOf(row.how))}});
  }
  if (row.how == RunEnd::kDone && !task->spec().endless) {
    if (current) {
      this->Release(*task);
    } else {
      this->LogLostRunDone(vm, report, row, *task, now);
      if (task->Placed()) {
        // A run that was considered lost has completed; the current run is not
        // needed.
        this->StopTask(*task);
      }
    }
    this->HandleDone(*task, current, now);
    this->AwaitRecord(vm, job);
    return;
  }
  if (row.how == RunEnd::kFailed) {
    ++this->counter_values.failed;
    this->AttributeFailure(vm, *task, now);
    this->HandleFailure(*task, vm, row.run, now);
    this->AwaitRecord(vm, job);
  }
  if (current) {
    this->Requeue(*task);
  }
}

// Tells whether the VM's lease was over when a run had ended that counted as
// lost. One of a predecessor that no later run has followed was not.
void Scheduler::LogLostRunDone(const Vm& vm,
                               const VmReport& report,
                               const EndedRow& row,
                               const Task& task,
                               Time now) {
  if (task.run == row.run) {
    return;
  }
  this->EmitLogEvent(
      "lost_run_done",
      {{"task", row.task},
       {"run", std::to_string(row.run)},
       {"vm", vm.facts.id.str()},
       {"number", std::to_string(row.number)},
       {"acknowledged", std::to_string(vm.acknowledged_end)},
       {"lease_over_ms", vm.lease_until_ms
                             ? std::to_string(vm.clock_ms - *vm.lease_until_ms)
                             : ""},
       {"expired_beside", std::to_string(std::ranges::count(
                              report.ended, RunEnd::kExpired, &EndedRow::how))},
       {"silent_ms", std::to_string(ToMs(now - vm.unresponsive_since))},
       {"current_run", std::to_string(task.run)},
       {"placed", task.Placed() ? "yes" : "no"}});
}

// Delays the acknowledgement of the VM's ends until the job's current state is
// stored.
void Scheduler::AwaitRecord(Vm& vm, const Job& job) {
  if (job.stored_change < job.change_number) {
    if (vm.awaited_records.empty()) {
      vm.awaited_since = vm.clock_at;
    }
    vm.awaited_records.emplace_back(job.spec.id, job.change_number);
  }
}

// `current`: the current run has ended, not an earlier one.
void Scheduler::HandleDone(Task& task, bool current, Time now) {
  Job& job = *task.job;
  Occurrence& occurrence = job.open.at(task.occurrence);
  Step& step = this->StepOf(task);
  ++this->counter_values.done;
  const auto finish = [&step](Task& done) {
    if (done.phase == TaskPhase::kWaiting) {
      --step.waiting;
    }
    done.phase = TaskPhase::kDone;
    ++step.done;
  };
  if (task.spec().gang) {
    // The end of one member completes all members.
    for (Task& member : step.tasks) {
      if (member.phase != TaskPhase::kDone) {
        if (&member != &task && current) {
          this->Release(member);
        } else if (&member != &task && member.Placed()) {
          this->StopTask(member, "gang_done");
        }
        finish(member);
      }
    }
  } else {
    finish(task);
  }
  this->MarkDirty(job);
  if (step.Complete()) {
    this->CompleteStep(job, occurrence, now);
  }
}

void Scheduler::CompleteStep(Job& job, Occurrence& occurrence, Time now) {
  for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
    this->UpdateReady(job, occurrence, static_cast<std::int32_t>(s));
  }
  if (!occurrence.Complete()) {
    return;
  }
  job.finished.Insert(occurrence.number);
  this->DropAdvice(job, occurrence.number);
  if (job.finished.size() == job.spec.Occurrences()) {
    this->EndJob(job, JobState::kCompleted, now);
  } else {
    this->MarkDirty(job);
  }
}

// Counts an attempt of the task.
void Scheduler::HandleFailure(Task& task,
                              const Vm& vm,
                              std::int64_t run,
                              Time now) {
  Job& job = *task.job;
  task.avoided_vm = vm.facts.id;
  if (task.spec().endless) {
    return;
  }
  std::set<std::int64_t>& failed =
      task.spec().gang ? this->StepOf(task).gang_failed_runs : task.failed_runs;
  failed.insert(run);
  const auto failures = static_cast<std::int32_t>(failed.size());
  this->MarkDirty(job);
  if (failures >= this->QueueOf(job).max_attempts) {
    this->EndJob(job, JobState::kFailed, now);
  }
}

// Counts a failed run against its VM or against its step. A VM on which runs of
// several jobs have failed by its fault is ejected: it receives no starts for
// some time.
void Scheduler::AttributeFailure(Vm& vm, const Task& task, Time now) {
  const VmFailures::StepKey step{task.job->spec.id, task.step};
  const bool has_done =
      this->StepOf(task).done > 0 || task.job->finished.size() > 0;
  const auto not_at_fault =
      this->vm_failures.OnFailure(vm.facts.id, step, has_done, now);
  if (Vm* other = not_at_fault ? this->FindVm(*not_at_fault) : nullptr) {
    this->EndUnfoundedEjection(*other, now);
  }
  if (this->vm_failures.Counts(vm.facts.id, step)) {
    this->EjectIfFailing(vm, task, now);
  }
}

// Called when a step that has failed on the VM has failed on another one, too.
void Scheduler::EndUnfoundedEjection(Vm& vm, Time now) {
  if (vm.ejected_until <= now) {
    return;
  }
  const std::size_t jobs =
      vm.ejections > 1 ? kFailedJobsToEjectAgain : kFailedJobsToEject;
  if (this->vm_failures.FailsJobs(vm.facts.id, jobs)) {
    return;
  }
  this->EmitLogEvent(
      "ejection_ended",
      {{"vm", vm.facts.id.str()},
       {"left_ms", std::to_string(ToMs(vm.ejected_until - now))}});
  // A run may have succeeded there since.
  vm.ejections = std::max(0, vm.ejections - 1);
  vm.ejected_until = now;
}

// If runs fail on most VMs of a pool, the jobs are at fault more likely than
// the VMs, and work that is sound needs some of them.
bool Scheduler::MayEjectMore(const PoolId& id, Time now) const {
  const auto& vms = this->pools.at(id).vms;
  const auto ejected = static_cast<std::size_t>(std::ranges::count_if(
      vms, [now](const auto& row) { return row.second->ejected_until > now; }));
  return ejected < std::max<std::size_t>(1, vms.size() / 2);
}

void Scheduler::EjectIfFailing(Vm& vm, const Task& task, Time now) {
  const std::size_t jobs =
      vm.ejections > 0 ? kFailedJobsToEjectAgain : kFailedJobsToEject;
  if (vm.ejected_until > now ||
      !this->vm_failures.FailsJobs(vm.facts.id, jobs) ||
      !this->MayEjectMore(vm.facts.pool, now)) {
    return;
  }
  const Duration pause =
      std::min(this->limits.max_ejection,
               this->limits.min_ejection *
                   (1 << std::min(vm.ejections, kMaxEjectionDoublings)));
  ++vm.ejections;
  vm.ejected_until = now + pause;
  ++this->counter_values.ejections;
  this->EmitLogEvent("vm_ejected", {{"vm", vm.facts.id.str()},
                                    {"task", task.Ref().Name()},
                                    {"for_ms", std::to_string(ToMs(pause))},
                                    {"times", std::to_string(vm.ejections)}});
}

void Scheduler::StopTask(Task& task, std::string_view reason) {
  Vm* vm = this->FindVm(task.vm);
  if (vm == nullptr || !task.Placed()) {
    return;
  }
  if (!reason.empty()) {
    this->EmitLogEvent("run_stopped", {{"task", task.Ref().Name()},
                                       {"run", std::to_string(task.run)},
                                       {"vm", task.vm.str()},
                                       {"reason", std::string(reason)}});
  }
  task.phase = TaskPhase::kStopping;
  this->SendStop(task, *vm);
}

void Scheduler::SendStop(Task& task, const Vm& vm) {
  task.resend_stop = false;
  task.answered_at = Time();
  this->effects.emplace_back(StopRun{vm.Address(), task.Ref(), task.run});
}

// Other tasks of its step may have become unavailable since the first order. A
// task that must end is stopped all the same.
bool Scheduler::MayRepeatStop(const Task& task, const Vm& vm, Time now) {
  return !task.spec().endless || task.job->Ended() || vm.facts.leaving ||
         this->OthersUnavailable(task, now) <
             std::max(1, task.spec().max_unavailable);
}

void Scheduler::StopOrphan(Vm& vm,
                           const TaskRef& ref,
                           std::int64_t run,
                           Time now) {
  auto orphan = std::ranges::find_if(vm.orphans, [&](const OrphanedRun& known) {
    return known.task == ref && known.run == run;
  });
  if (orphan == vm.orphans.end()) {
    OrphanedRun found{.task = ref, .run = run};
    const Job* job = this->FindJob(ref.job);
    if (job != nullptr) {
      found.team = job->spec.team;
    }
    if (job != nullptr &&
        static_cast<std::size_t>(ref.step) < job->spec.steps.size()) {
      const StepSpec& step =
          job->spec.steps[static_cast<std::size_t>(ref.step)];
      found.occupied = step.Occupies();
      found.team_charge = step.need;
    } else {
      // Of a job that has ended, its steps are not stored.
      found.unknown_size = true;
      vm.unknown_orphan = true;
      this->unknown_orphan_vms.insert(vm.facts.id);
      if (job == nullptr && this->sought_jobs.insert(ref.job).second) {
        this->effects.emplace_back(ReadEndedJob{ref.job});
      }
    }
    vm.used += found.occupied;
    this->in_use[found.team] += found.team_charge;
    this->EmitLogEvent("stray_stopped", {{"task", ref.Name()},
                                         {"run", std::to_string(run)},
                                         {"vm", vm.facts.id.str()}});
    orphan = vm.orphans.insert(vm.orphans.end(), found);
    ++this->orphaned_tasks[ref];
  }
  orphan->last_listed = vm.report_count;
  if (orphan->stop_sent == Time() ||
      now - orphan->stop_sent > this->limits.stop_grace) {
    orphan->stop_sent = now;
    this->effects.emplace_back(StopRun{vm.Address(), ref, run});
  }
}

// An incarnation that follows the one that was ordered knows neither the fence
// nor the stop that barred the run, so it would carry the order out.
void Scheduler::StopLateStarts(Vm& vm, Time now) {
  vm.late_starts_due = false;
  const auto found = this->late_starts.find(vm.facts.id);
  if (found == this->late_starts.end()) {
    return;
  }
  std::vector<TaskRef> erased;
  std::erase_if(found->second, [&](const LateStart& late) {
    const Time latest = late.given_up + this->limits.late_order_time;
    if (now < latest) {
      return false;
    }
    erased.push_back(late.task);
    if (late.earlier_clock) {
      const Time end = latest + this->LongestGrantedLease();
      vm.earlier_lease_end = std::max(vm.earlier_lease_end.value_or(end), end);
    }
    return true;
  });
  for (const TaskRef& ref : erased) {
    const auto held = this->late_start_vms.find(ref);
    if (held != this->late_start_vms.end() &&
        std::ranges::find(found->second, ref, &LateStart::task) ==
            found->second.end()) {
      held->second.erase(vm.facts.id);
      if (held->second.empty()) {
        this->late_start_vms.erase(held);
      }
    }
  }
  if (found->second.empty()) {
    this->late_starts.erase(found);
    return;
  }
  for (LateStart& late : found->second) {
    const Task* task = this->FindTask(late.task);
    const bool placed_here = task != nullptr && task->vm == vm.facts.id &&
                             task->run == late.run && task->Placed();
    vm.late_starts_due |= late.stop_due && !placed_here;
    if (late.stop_due && late.stop_answered == Time() && !placed_here &&
        (late.stop_sent == Time() ||
         now - late.stop_sent > this->limits.stop_grace)) {
      late.stop_sent = now;
      this->effects.emplace_back(StopRun{vm.Address(), late.task, late.run});
    }
  }
}

// Once a report follows the answer to its stop, the VM either lists the run or
// refuses it.
void Scheduler::SettleLateStarts(Vm& vm, Time sent) {
  const auto found = this->late_starts.find(vm.facts.id);
  if (found == this->late_starts.end()) {
    return;
  }
  for (LateStart& late : found->second) {
    if (late.stop_answered != Time() && late.stop_answered < sent) {
      late.stop_due = false;
    }
  }
}

bool Scheduler::HasLateStop(const Vm& vm) const {
  const auto found = this->late_starts.find(vm.facts.id);
  return found != this->late_starts.end() &&
         std::ranges::any_of(found->second, [](const LateStart& late) {
           return late.stop_due && late.stop_sent != Time();
         });
}

// Whether a VM that has restarted may still carry out an order to start the
// task that was sent before.
bool Scheduler::MayRunLate(const Task& task, Time now) {
  if (this->late_start_vms.empty()) {
    return false;
  }
  const auto held = this->late_start_vms.find(task.Ref());
  if (held == this->late_start_vms.end()) {
    return false;
  }
  std::erase_if(held->second, [this, now, &held](const VmId& id) {
    const auto found = this->late_starts.find(id);
    return this->FindVm(id) == nullptr || found == this->late_starts.end() ||
           std::ranges::none_of(found->second, [&](const LateStart& late) {
             return late.stop_due && late.task == held->first &&
                    now < late.given_up + this->limits.late_order_time +
                              this->LongestGrantedLease();
           });
  });
  if (!held->second.empty()) {
    return true;
  }
  this->late_start_vms.erase(held);
  return false;
}

bool Scheduler::HasOrphan(const Task& task) const {
  return !this->orphaned_tasks.empty() &&
         this->orphaned_tasks.contains(task.Ref());
}

// Removes the orphaned runs that the report with this number does not list.
void Scheduler::RemoveUnlistedOrphans(Vm& vm, std::uint64_t listed_in) {
  std::erase_if(vm.orphans, [&](const OrphanedRun& orphan) {
    if (orphan.last_listed == listed_in) {
      return false;
    }
    vm.used -= orphan.occupied;
    this->in_use[orphan.team] -= orphan.team_charge;
    const auto held = this->orphaned_tasks.find(orphan.task);
    if (--held->second == 0) {
      this->orphaned_tasks.erase(held);
    }
    return true;
  });
  vm.unknown_orphan =
      std::ranges::any_of(vm.orphans, &OrphanedRun::unknown_size);
}

void Scheduler::OnStop(const VmId& id,
                       const TaskRef& ref,
                       std::int64_t run,
                       bool answered,
                       Time now) {
  Vm* vm = this->FindVm(id);
  if (vm == nullptr) {
    return;
  }
  if (!answered) {
    this->SetUnresponsive(*vm, "stop", now);
  }
  if (const auto late = this->late_starts.find(id);
      answered && late != this->late_starts.end()) {
    for (LateStart& start : late->second) {
      if (start.task == ref && start.run == run) {
        start.stop_answered = now;
      }
    }
  }
  // Whether the run has ended, or the VM answers again, is told by a report.
  vm->next_poll = std::min(vm->next_poll, now);
  Task* task = this->FindTask(ref);
  if (task == nullptr || task->run != run || !vm->runs.contains(task) ||
      (task->phase != TaskPhase::kStopping &&
       task->phase != TaskPhase::kDone)) {
    return;
  }
  task->resend_stop = !answered;
  if (answered) {
    task->answered_at = now;
  }
}

void Scheduler::OnStart(const VmId& id,
                        const TaskRef& ref,
                        std::int64_t run,
                        StartAnswer answer,
                        std::int64_t clock_ms,
                        Time now) {
  Vm* vm = this->FindVm(id);
  if (answer == StartAnswer::kFenced) {
    this->OnFenced(id);
    return;
  }
  if (vm == nullptr) {
    return;
  }
  Task* task = this->FindTask(ref);
  const bool current = task != nullptr && task->vm == id && task->run == run &&
                       task->phase == TaskPhase::kStarting;
  // An incarnation that follows the one that was read last has accepted the
  // run. It takes the lease in the order for a longer one.
  if (current && clock_ms > 0 && clock_ms < task->ordered_after_ms) {
    vm->earlier_lease_end = now + this->LongestGrantedLease();
    vm->clock_doubtful = true;
  }
  // The answer to another order may come from an earlier incarnation.
  if (current && clock_ms > 0 && clock_ms >= vm->clock_ms) {
    vm->clock_ms = clock_ms;
    vm->clock_at = now;
    vm->clock_known = true;
  }
  if (answer != StartAnswer::kAccepted) {
    const bool may_run =
        answer == StartAnswer::kNoAnswer || answer == StartAnswer::kRelayLost;
    ++(may_run ? this->counter_values.unanswered_starts
               : this->counter_values.refused_starts);
    this->EmitLogEvent("start_refused",
                       {{"task", ref.Name()},
                        {"run", std::to_string(run)},
                        {"vm", id.str()},
                        {"answer", std::string(NameOf(answer))}});
  }
  switch (answer) {
    case StartAnswer::kAccepted:
      if (current) {
        this->MarkStarted(*task->job);
        task->phase = TaskPhase::kRunning;
        task->answered_at = now;
      }
      vm->next_poll = std::min(vm->next_poll, now);
      return;
    case StartAnswer::kNoAnswer:
    case StartAnswer::kRelayLost:
      // A report requested from now on shows whether the task runs. The loss of
      // a relay does not make the VM unresponsive.
      if (current) {
        task->answered_at = now;
      }
      // An order to the incarnation before may still have been open.
      this->late_starts[id].push_back(
          {.task = ref,
           .run = run,
           .given_up = now,
           .earlier_clock =
               vm->earlier_lease_end && now < *vm->earlier_lease_end});
      if (answer == StartAnswer::kNoAnswer) {
        this->SetUnresponsive(*vm, "start", now);
      }
      vm->next_poll = now;
      return;
    case StartAnswer::kNotCarried:
      break;
    case StartAnswer::kNotSent:
      this->SetUnresponsive(*vm, "connect", now);
      break;
    case StartAnswer::kOldRun:
      if (current) {
        // The VM has received later runs than this scheduler has recorded.
        constexpr std::int64_t run_skip = 3;
        task->run += run_skip;
      }
      break;
    case StartAnswer::kExpired:
      vm->clock_doubtful = true;
      vm->next_poll = now;
      break;
    case StartAnswer::kNoRoom:
      vm->refused_until =
          std::max(vm->refused_until, now + this->limits.poll_retry);
      vm->next_poll = now;
      break;
    case StartAnswer::kUnhealthy:
      vm->refused_until =
          std::max(vm->refused_until, now + this->limits.min_ejection);
      break;
    case StartAnswer::kNoPermit:
      if (task == nullptr) {
        break;  // its job has been erased
      }
      if (const auto row = this->advice.find(StepRefOf(*task));
          row != this->advice.end()) {
        row->second.permits.erase(id);
      }
      break;
    case StartAnswer::kInvalid:
      // Other VMs would reject the order as well, so it is not this one's
      // fault.
      if (current) {
        this->HandleFailure(*task, *vm, run, now);
      }
      break;
    case StartAnswer::kOtherVm:
      // The VM's address belongs to another VM, so the VM has terminated.
      this->MarkRunsLost(*vm, "address_reused");
      this->DropVm(id);
      return;
    case StartAnswer::kFenced:
      return;
  }
  if (current) {
    this->Requeue(*task);
    task->inferred_end = NameOf(answer);
  }
}

void Scheduler::OnPollFailed(const VmId& id,
                             bool fenced,
                             bool other_vm,
                             Time now) {
  Vm* vm = this->FindVm(id);
  if (vm == nullptr) {
    return;
  }
  vm->poll_pending = false;
  if (fenced) {
    this->OnFenced(id);
    return;
  }
  if (other_vm) {
    this->MarkRunsLost(*vm, "address_reused");
    this->DropVm(id);
    return;
  }
  // The first lost poll is repeated at once on another connection.
  vm->next_poll = vm->unresponsive ? now + this->limits.poll_retry : now;
  this->SetUnresponsive(*vm, "look", now);
}

// Every further order with this fence would be refused as well.
void Scheduler::OnFenced(const VmId& id) {
  if (!this->superseded) {
    this->superseded = true;
    this->effects.emplace_back(Superseded{id});
  }
}

void Scheduler::SetUnresponsive(Vm& vm, std::string_view unanswered, Time now) {
  vm.max_poll_wait = kPollWaitAfterLoss;
  if (vm.unresponsive) {
    return;
  }
  vm.unresponsive = true;
  // Only an answered poll ends this, and a VM without runs has none due.
  vm.next_poll = std::min(vm.next_poll, now);
  vm.unresponsive_since = now;
  this->EmitLogEvent(
      "vm_silent", {{"vm", vm.facts.id.str()},
                    {"runs", std::to_string(vm.runs.size())},
                    {"unanswered", std::string(unanswered)},
                    {"heard_ms_ago", std::to_string(ToMs(now - vm.clock_at))}});
}

void Scheduler::MarkRunsLost(Vm& vm, std::string_view reason) {
  vm.more_ends = false;
  ++vm.report_count;
  this->RemoveUnlistedOrphans(vm, vm.report_count);
  const std::vector<Task*> runs(vm.runs.begin(), vm.runs.end());
  for (Task* task : runs) {
    ++this->counter_values.lost;
    this->EmitLogEvent("run_lost", {{"task", task->Ref().Name()},
                                    {"run", std::to_string(task->run)},
                                    {"vm", vm.facts.id.str()},
                                    {"reason", std::string(reason)}});
    this->Requeue(*task);
    task->inferred_end = reason;
  }
}

}  // namespace kch::jobs
