// Scheduler: end, recovery, adoption and delegation of attempts.
#include <algorithm>
#include <utility>

#include "engine/scheduler.h"

namespace kch::engine {
namespace {

// A refusal for lack of slots means that another scheduler uses the target.
// Until the next report the target would appear free again.
constexpr Duration kRefusalDelay = std::chrono::milliseconds(50);
constexpr Duration kMaxRefusalDelay = std::chrono::seconds(1);
constexpr std::string_view kSlotsFull = "slots_full";
constexpr Duration kAttachInterval = std::chrono::milliseconds(500);

bool Contains(const std::vector<permit::Subject>& subjects,
              const permit::Subject& subject) {
  return std::ranges::find(subjects, subject) != subjects.end();
}

}  // namespace

// Ends the attempt in progress. `ended` means that the task is known not to run
// any more; otherwise its permits stay in use until its lease has expired.
void Scheduler::EndAttempt(WorkItem& work,
                           route::TaskOutcome end,
                           bool ended,
                           Time now) {
  const Attempt& attempt = *work.attempt;
  if (Pool* pool = this->FindPool(work.job.pool)) {
    pool->targets.Ended(attempt.vm, work.job.id, end, now);
    pool->queue.Ended(work.job.id, now);
    pool->tasks[attempt.vm].erase(work.job.id);
  }
  this->job_by_task.erase(attempt.task);
  if (ended) {
    for (const permit::Subject& subject : work.subjects) {
      this->context.Apply(this->context.permits.ReturnPermit(subject, now));
    }
  } else if (!work.subjects.empty()) {
    const Time until = std::max(now, work.lease_renewed_at) +
                       std::chrono::milliseconds(attempt.lease_ms) +
                       this->context.settings.lease_margin;
    this->expiring_permits.push_back({until, work.subjects});
  }
  work.subjects.clear();
  work.permit_source = PermitSource::kNone;
  work.attach_pending = false;
  this->context.EmitTrace({.kind = TraceKind::kTaskEnded,
                           .request = work.job.request.str(),
                           .task = attempt.task.str(),
                           .vm = attempt.vm.str(),
                           .team = work.job.team.str(),
                           .pool = work.job.pool.str(),
                           .text = std::string(NameOf(end))});
}

void Scheduler::OnAttemptEnded(AttemptResult result, Time now) {
  WorkItem* work = this->FindWorkByTask(result.task);
  if (work == nullptr) {
    this->EndDelegatedTask(std::move(result), now);
    return;
  }
  Pool* pool = this->FindPool(work->job.pool);
  const VmId vm = work->attempt->vm;
  const bool healthy = pool->targets.IsHealthy(vm);
  switch (result.status) {
    case AttemptStatus::kDone:
      this->EndAttempt(*work, route::TaskOutcome::kDone, true, now);
      this->Finish(*work,
                   {.kind = OutcomeKind::kDone,
                    .body = std::move(result.body),
                    .task = result.task,
                    .vm = vm},
                   now);
      break;
    case AttemptStatus::kFailed:
      this->EndAttempt(*work,
                       work->stopping ? route::TaskOutcome::kCancelled
                                      : route::TaskOutcome::kFailed,
                       true, now);
      work->maybe_sent = true;
      if (healthy && !work->stopping) {
        work->failed_vms.insert(vm);
      }
      this->RetryOrFinish(*work, route::AttemptOutcome::kFailed,
                          Reason::kWorkerFailed, now);
      break;
    case AttemptStatus::kRefused:
      this->EndAttempt(*work,
                       result.detail == kSlotsFull
                           ? route::TaskOutcome::kCancelled
                           : route::TaskOutcome::kRefused,
                       true, now);
      pool->contacts[vm].next_poll = now;
      if (work->cancelled) {
        this->RetryOrFinish(*work, route::AttemptOutcome::kNotRun,
                            Reason::kTargetsRefused, now);
        break;
      }
      // The deadline bounds the retries of a job that has not run.
      work->not_before =
          now + std::min(kMaxRefusalDelay, kRefusalDelay * ++work->refusals);
      this->Requeue(*work, now);
      break;
    case AttemptStatus::kCheckpointed:
      this->EndAttempt(*work, route::TaskOutcome::kCancelled, true, now);
      work->checkpoint = std::move(result.detail);
      // The job has run in part, so it can no longer end as not run. It met its
      // deadline, which bounds only the start.
      work->maybe_sent = true;
      work->worst_end = route::AttemptOutcome::kUnknown;
      work->deadline = Time::max();
      if (work->cancelled) {
        this->Finish(
            *work, {.kind = OutcomeKind::kFailed, .reason = Reason::kCancelled},
            now);
      } else if (pool->other_owner_since && !work->claimed) {
        this->ReturnJob(*work, now);
      } else {
        this->Requeue(*work, now);
      }
      break;
    case AttemptStatus::kNotSent:
      this->EndAttempt(*work, route::TaskOutcome::kUnknown, true, now);
      this->RetryOrFinish(*work, route::AttemptOutcome::kNotRun,
                          Reason::kTargetsRefused, now);
      break;
    case AttemptStatus::kExpired:
      this->CancelPlacement(*work, now);
      break;
    case AttemptStatus::kBroken:
    case AttemptStatus::kMismatched:
      work->maybe_sent = true;
      this->Recover(*work, now);
      break;
    case AttemptStatus::kNotKnown:
      work->maybe_sent = true;
      this->EndAttempt(*work, route::TaskOutcome::kUnknown, false, now);
      this->RetryOrFinish(*work, route::AttemptOutcome::kUnknown,
                          Reason::kWorkerSilent, now);
      break;
  }
  this->Dispatch(*pool, now);
}

// Queries the worker for the end of the task over a new connection: a
// connection can stall while new ones work, and the worker retains results.
void Scheduler::Recover(WorkItem& work, Time now) {
  work.attach_pending = false;
  work.next_attach =
      work.state == WorkItemState::kRecovering ? now + kAttachInterval : now;
  work.state = WorkItemState::kRecovering;
}

void Scheduler::CheckRecovering(Time now) {
  std::vector<WorkItem*> lost;
  for (const auto& [task, job] : this->job_by_task) {
    WorkItem* work = this->FindWorkByJob(job);
    const bool recovering = work->state == WorkItemState::kRecovering;
    // A connection that waits for the end of a task may never deliver it. If
    // the target answers no poll either, only the expiry of the lease shows
    // that the task has ended.
    if (!recovering &&
        (work->state != WorkItemState::kRunning || !this->Unreachable(*work))) {
      continue;
    }
    const Time lease_end = work->lease_renewed_at +
                           std::chrono::milliseconds(work->attempt->lease_ms) +
                           this->context.settings.lease_margin;
    if (now >= lease_end) {
      lost.push_back(work);
    } else if (recovering && !work->attach_pending &&
               now >= work->next_attach) {
      work->attach_pending = true;
      this->context.effects.emplace_back(AttachTask{*work->attempt});
    }
  }
  for (WorkItem* work : lost) {
    if (work->attach_pending || work->state == WorkItemState::kRunning) {
      this->context.effects.emplace_back(
          AbortTaskConnection{work->attempt->task});
    }
    // The worker stopped the task when its lease expired.
    work->maybe_sent = true;
    this->EndAttempt(*work, route::TaskOutcome::kUnknown, true, now);
    this->RetryOrFinish(*work, route::AttemptOutcome::kUnknown,
                        Reason::kWorkerSilent, now);
  }
}

// True if the target of a task has not answered several consecutive polls. A
// single poll may be lost, or be answered late when this entry resumes after a
// pause.
bool Scheduler::Unreachable(const WorkItem& work) {
  constexpr int min_missed_polls = 2;
  const Pool* pool = this->FindPool(work.job.pool);
  if (pool == nullptr) {
    return false;
  }
  const auto contact = pool->contacts.find(work.attempt->vm);
  return contact != pool->contacts.end() &&
         contact->second.missed_polls >= min_missed_polls;
}

// Retries a job elsewhere or finishes it.
void Scheduler::RetryOrFinish(WorkItem& work,
                              route::AttemptOutcome end,
                              Reason reason,
                              Time now) {
  Pool* pool = this->FindPool(work.job.pool);
  const VmId vm = work.attempt->vm;
  route::AttemptFacts facts{
      .outcome = end,
      .earlier_outcome = work.worst_end,
      .repeatable = work.job.repeatable,
      .first_byte_maybe_sent = work.maybe_sent,
      .failed_targets = static_cast<int>(work.failed_vms.size()),
      .budget_available = pool->retries.CanRetry(now) && !work.cancelled &&
                          !this->context.stopping,
      .deadline = work.deadline};
  const route::RetryDecision decision = route::DecideRetry(facts, now);
  work.worst_end = route::WorseOutcome(work.worst_end, end);
  if (work.cancelled) {
    reason = Reason::kCancelled;
  }
  const auto finish = [&](OutcomeKind kind, Reason why) {
    this->Finish(
        work,
        {.kind = kind, .reason = why, .task = work.attempt->task, .vm = vm},
        now);
  };
  switch (decision) {
    case route::RetryDecision::kRetryElsewhere: {
      pool->retries.TryAcquire(now);
      work.exclusions.vms.insert(vm);
      const auto row = pool->record.vms.find(vm);
      if (row != pool->record.vms.end()) {
        work.exclusions.racks.insert(row->second.rack);
        work.exclusions.zones.insert(row->second.zone);
      }
      this->Requeue(work, now);
      break;
    }
    case route::RetryDecision::kFailed:
      finish(OutcomeKind::kFailed, reason);
      break;
    case route::RetryDecision::kNotRun:
      // During a shutdown the sender submits the request to another scheduler.
      finish(OutcomeKind::kNotRun,
             this->context.stopping ? Reason::kShuttingDown : reason);
      break;
    case route::RetryDecision::kUnknown:
      finish(OutcomeKind::kUnknown, reason);
      break;
    case route::RetryDecision::kFailedEverywhere:
      finish(OutcomeKind::kFailed, Reason::kFailedEverywhere);
      break;
  }
}

void Scheduler::Adopt(const Job& job,
                      const Attempt& attempt,
                      Time deadline,
                      Time now) {
  Pool* pool = this->FindPool(job.pool);
  // This entry may have finished the job before another scheduler accepted it.
  const WorkItem* existing = this->FindWorkByJob(job.id);
  if (pool == nullptr ||
      (existing != nullptr && existing->state != WorkItemState::kFinished)) {
    return;
  }
  // Several callers of this entry may wait for one task.
  if (WorkItem* followed = this->FindWorkByTask(attempt.task)) {
    followed->listeners.insert({this->context.self(), job.id});
    return;
  }
  auto owned = std::make_unique<WorkItem>();
  WorkItem& work = *owned;
  work.job = job;
  work.listeners.insert({this->context.self(), job.id});
  work.enqueued = now;
  work.deadline = deadline;
  work.attempt = attempt;
  work.maybe_sent = true;
  work.claimed = true;
  work.permit_source = PermitSource::kAdopting;
  work.state = WorkItemState::kRecovering;
  work.launched_at = now;
  work.lease_renewed_at = now;
  work.next_attach = now;
  this->work_by_job[job.id] = std::move(owned);
  if (!job.request.empty()) {
    this->job_by_request[job.request] = job.id;
  }
  this->job_by_task[attempt.task] = job.id;
  pool->targets.Started(attempt.vm, job.id, now);
  pool->queue.Started(job.id, job.team, false, now);
  pool->tasks[attempt.vm].insert(job.id);
  for (const permit::Subject& subject : this->SubjectsOf(job)) {
    this->context.Apply(
        this->context.permits.Adopt(subject, attempt.holder, 1, now));
  }
  this->context.EmitTrace({.kind = TraceKind::kTaskAdopted,
                           .request = job.request.str(),
                           .task = attempt.task.str(),
                           .vm = attempt.vm.str(),
                           .team = job.team.str(),
                           .pool = job.pool.str(),
                           .text = "from " + attempt.holder.instance.str()});
}

// Assigns adopted permits to the tasks they were requested for. Until then the
// lease of such a task is not renewed: the permit still belongs to a holder
// that may release it when the lease known to that holder expires.
void Scheduler::ProcessAdoptions(Time now) {
  for (const permit::Adopted& adopted :
       std::exchange(this->context.adopted, {})) {
    std::uint32_t left = adopted.count;
    for (const auto& [task, job] : this->job_by_task) {
      WorkItem* work = this->FindWorkByJob(job);
      const auto needed = this->SubjectsOf(work->job);
      const bool waits = work->permit_source == PermitSource::kAdopting &&
                         work->attempt->holder == adopted.from &&
                         Contains(needed, adopted.subject) &&
                         !Contains(work->subjects, adopted.subject);
      if (left == 0 || !waits) {
        continue;
      }
      --left;
      work->subjects.push_back(adopted.subject);
      if (work->subjects.size() == needed.size()) {
        work->permit_source = PermitSource::kOwn;
      }
    }
    for (; left > 0; --left) {
      // The task has ended in the meantime.
      this->context.Apply(
          this->context.permits.ReturnPermit(adopted.subject, now));
    }
  }
  for (const permit::AdoptionFailed& failed :
       std::exchange(this->context.adopt_failed, {})) {
    for (const auto& [task, job] : this->job_by_task) {
      WorkItem* work = this->FindWorkByJob(job);
      if (work->permit_source == PermitSource::kAdopting && !work->stopping &&
          work->attempt->holder == failed.from) {
        this->SendTaskOrder(*work, TaskOrder::kStop);
      }
    }
  }
}

void Scheduler::OnDelegate(const InstanceId& from, Delegate order, Time now) {
  const TaskId task = order.attempt.task;
  const auto refuse = [&](AttemptStatus status, std::string detail) {
    this->context.Send(from, DelegateEnd{{.task = task,
                                          .status = status,
                                          .detail = std::move(detail)}});
  };
  if (this->delegated_tasks.contains(task)) {
    return;
  }
  Pool* pool = this->FindPool(order.job.pool);
  if (pool == nullptr || this->context.stopping ||
      !this->HasRecentState(*pool, now) || this->InvalidReason(order.job) ||
      !pool->targets.Counters(order.attempt.vm, now).usable) {
    refuse(AttemptStatus::kExpired, "the delegate may not start the task");
    return;
  }
  const auto subjects = this->SubjectsOf(order.job);
  const bool taken =
      subjects.size() == 1
          ? this->context.permits.TryAcquire(subjects[0])
          : this->context.permits.TryAcquireBoth(subjects[0], subjects[1]);
  if (!taken) {
    refuse(AttemptStatus::kExpired, "the delegate has no permit");
    return;
  }
  this->delegated_tasks[task] = {from, order.attempt, order.job.pool, subjects,
                                 now};
  this->context.effects.emplace_back(StartTask{
      order.attempt, std::move(order.job), std::move(order.checkpoint),
      now + this->context.settings.start_validity});
}

void Scheduler::EndDelegatedTask(AttemptResult result, Time now) {
  const auto found = this->delegated_tasks.find(result.task);
  if (found == this->delegated_tasks.end()) {
    return;
  }
  const DelegatedTask& task = found->second;
  const bool ended = result.status != AttemptStatus::kBroken &&
                     result.status != AttemptStatus::kMismatched &&
                     result.status != AttemptStatus::kNotKnown;
  if (ended) {
    for (const permit::Subject& subject : task.subjects) {
      this->context.Apply(this->context.permits.ReturnPermit(subject, now));
    }
  } else {
    // The scheduler queries the worker itself, and the lease is no longer
    // renewed.
    this->expiring_permits.push_back(
        {std::max(now, task.lease_renewed_at) +
             std::chrono::milliseconds(task.attempt.lease_ms) +
             this->context.settings.lease_margin,
         task.subjects});
  }
  this->context.Send(task.scheduler, DelegateEnd{std::move(result)});
  this->delegated_tasks.erase(found);
}

void Scheduler::OnPeerDown(const InstanceId& peer, Time now) {
  for (const auto& [task, job] : this->job_by_task) {
    WorkItem* work = this->FindWorkByJob(job);
    if (work->permit_source != PermitSource::kPeer || work->delegate != peer) {
      continue;
    }
    work->permit_source = PermitSource::kAdopting;
    for (const permit::Subject& subject : this->SubjectsOf(work->job)) {
      this->context.Apply(
          this->context.permits.Adopt(subject, work->attempt->holder, 1, now));
    }
    this->Recover(*work, now);
  }
}

void Scheduler::SendTaskOrder(WorkItem& work, TaskOrder order) {
  work.stopping = true;
  this->context.effects.emplace_back(
      OrderTask{work.attempt->address, work.attempt->task, order});
}

}  // namespace kch::engine
