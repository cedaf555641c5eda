#include "engine/scheduler.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace kch::engine {
namespace {

// After this time without a reply the store counts as down, and starts are
// delegated to peers that hold permits instead of requesting a transfer.
constexpr Duration kStoreDownAfter = std::chrono::seconds(1);
constexpr std::int64_t kMinRetryAfterMs = 100;
constexpr Duration kStaleSubmitWindow = std::chrono::seconds(1);

permit::Subject TeamSubject(const TeamId& team) {
  return {permit::SubjectKind::kTeam, team.str()};
}

permit::Subject ProfileSubject(const ProfileId& profile) {
  return {permit::SubjectKind::kProfile, profile.str()};
}

bool Fits(const Resources& resources, const maintain::VmRow& vm) {
  return resources.cpus <= vm.cpus && resources.memory_mb <= vm.memory_mb &&
         resources.accelerators <= vm.accelerators;
}

bool FitsAny(const Resources& resources, const maintain::PoolRecord& record) {
  return record.vms.empty() ||
         std::ranges::any_of(record.vms, [&resources](const auto& entry) {
           return Fits(resources, entry.second);
         });
}

}  // namespace

Pool* Scheduler::FindPool(const PoolId& id) {
  const auto found = this->pools_by_id.find(id);
  return found == this->pools_by_id.end() ? nullptr : found->second.get();
}

WorkItem* Scheduler::FindWorkByJob(const TaskId& job) {
  const auto found = this->work_by_job.find(job);
  return found == this->work_by_job.end() ? nullptr : found->second.get();
}

WorkItem* Scheduler::FindWorkByTask(const TaskId& task) {
  const auto found = this->job_by_task.find(task);
  return found == this->job_by_task.end() ? nullptr
                                          : this->FindWorkByJob(found->second);
}

const WorkItem* Scheduler::Find(const std::string& id) const {
  auto found = this->work_by_job.find(TaskId(id));
  if (found == this->work_by_job.end()) {
    const auto request = this->job_by_request.find(RequestId(id));
    if (request == this->job_by_request.end()) {
      return nullptr;
    }
    found = this->work_by_job.find(request->second);
  }
  return found == this->work_by_job.end() ? nullptr : found->second.get();
}

std::vector<permit::Subject> Scheduler::SubjectsOf(const Job& job) const {
  std::vector<permit::Subject> subjects{TeamSubject(job.team)};
  const config::Profile* profile = this->context.state().Find(job.profile);
  if (profile != nullptr && profile->capacity > 0) {
    subjects.push_back(ProfileSubject(job.profile));
  }
  return subjects;
}

// True if the job was checked against a configuration that this entry has not
// applied yet. That configuration may have granted the job's key.
bool Scheduler::KeyPending(const Job& job) const {
  return job.config_revision > this->context.state().revision;
}

std::optional<Reason> Scheduler::InvalidReason(const Job& job) const {
  const config::State& state = this->context.state();
  const config::Profile* profile = state.Find(job.profile);
  if (profile == nullptr) {
    return Reason::kUnknownProfile;
  }
  if (state.Find(job.team) == nullptr) {
    return Reason::kUnknownTeam;
  }
  if (job.key.empty()) {
    return profile->open ? std::nullopt : std::optional(Reason::kKeyWithdrawn);
  }
  // A key that was withdrawn and granted again under its old id has another
  // revision.
  const auto key = state.keys.find(job.key);
  if (key == state.keys.end() || key->second.revision != job.key_revision ||
      key->second.value.team != job.team) {
    return Reason::kKeyWithdrawn;
  }
  return std::nullopt;
}

// Maximum number of permits this entry may use: unbounded, except in the
// baseline that splits limits evenly over the members.
std::uint32_t Scheduler::PermitQuota(const permit::Subject& subject) const {
  const std::size_t members = this->context.membership.record().members.size();
  if (!this->context.settings.split_limits || members == 0) {
    return std::numeric_limits<std::uint32_t>::max();
  }
  const config::State& state = this->context.state();
  std::uint32_t limit = 0;
  if (subject.kind == permit::SubjectKind::kTeam) {
    const config::Team* team = state.Find(TeamId(subject.name));
    limit = team == nullptr ? 0 : team->limit;
  } else {
    const config::Profile* profile = state.Find(ProfileId(subject.name));
    limit = profile == nullptr ? 0 : profile->capacity;
  }
  return std::max<std::uint32_t>(1, limit / members);
}

bool Scheduler::HasPermits(const Job& job) const {
  return std::ranges::all_of(this->SubjectsOf(job), [this](const auto& s) {
    return this->context.permits.CanAcquire(s) &&
           (!this->context.settings.split_limits ||
            this->context.permits.Busy(s) < this->PermitQuota(s));
  });
}

// Returns a peer that can start a job using its own idle permits while the
// store is down and cannot transfer them.
std::optional<InstanceId> Scheduler::DelegateFor(const Job& job,
                                                 Time now) const {
  const auto& contact = this->context.store_contact;
  if (contact && now - *contact < kStoreDownAfter) {
    return std::nullopt;
  }
  const auto subjects = this->SubjectsOf(job);
  for (const auto& entry : this->context.peer_idle_permits) {
    const InstanceId& peer = entry.first;
    const auto& idle = entry.second;
    if (this->context.membership.StateOf(peer, now) !=
        member::PeerState::kConnected) {
      continue;
    }
    const bool enough = std::ranges::all_of(subjects, [&](const auto& s) {
      const auto found = idle.find(s);
      return found != idle.end() && found->second > 0;
    });
    if (enough) {
      return peer;
    }
  }
  return std::nullopt;
}

share::Eligibility Scheduler::CheckEligibility(const WorkItem& work,
                                               Time now) const {
  if (this->KeyPending(work.job) || now < work.not_before) {
    return share::Eligibility::kTaskBlocked;
  }
  if (this->HasPermits(work.job) || this->DelegateFor(work.job, now)) {
    return share::Eligibility::kEligible;
  }
  return this->context.permits.CanAcquire(TeamSubject(work.job.team))
             ? share::Eligibility::kProfileBlocked
             : share::Eligibility::kTeamBlocked;
}

void Scheduler::OnSubmit(const InstanceId& from, Submit submit, Time now) {
  Job& job = submit.job;
  const Listener listener{from, job.id};
  const auto refuse = [&](OutcomeKind kind, Reason reason,
                          std::int64_t retry_after_ms) {
    // During a shutdown the sender routes the request elsewhere and does not
    // resubmit it here.
    if (reason != Reason::kShuttingDown) {
      this->refused_jobs.emplace(job.id, reason);
    }
    this->context.Send(from, JobOutcome{job.id,
                                        {.kind = kind,
                                         .reason = reason,
                                         .retry_after_ms = retry_after_ms}});
  };
  if (const auto reason = this->FindRefusal(job.id)) {
    refuse(job.attach_only ? OutcomeKind::kUnknown : OutcomeKind::kNotRun,
           *reason, kMinRetryAfterMs);
    return;
  }
  WorkItem* existing = this->FindWorkByJob(job.id);
  if (existing == nullptr && !job.request.empty()) {
    const auto found = this->job_by_request.find(job.request);
    existing = found == this->job_by_request.end()
                   ? nullptr
                   : this->FindWorkByJob(found->second);
  }
  if (existing != nullptr && existing->answered_not_run.contains(listener)) {
    return;  // delayed copy of an answered submission
  }
  const bool runs_again = existing != nullptr && !job.attach_only &&
                          !existing->listeners.contains(listener) &&
                          existing->state == WorkItemState::kFinished &&
                          existing->outcome.kind == OutcomeKind::kNotRun;
  // The sender still regards this scheduler as the owner of the pool. A
  // resubmission that was in flight when the job was returned must not run the
  // job here as well.
  const bool returned =
      existing != nullptr && existing->returned_at && !job.attach_only;
  if (returned && now - *existing->returned_at < kStaleSubmitWindow) {
    return;
  }
  if (existing != nullptr && !runs_again && !returned) {
    existing->listeners.insert(listener);
    // Only this listener gets a reply: each answer to a returned job causes a
    // submission, so answers to all listeners would multiply without bound.
    this->NotifyListener(*existing, listener);
    return;
  }
  if (job.attach_only) {
    refuse(OutcomeKind::kUnknown, Reason::kNotFound, 0);
    return;
  }
  if (this->context.stopping) {
    refuse(OutcomeKind::kNotRun, Reason::kShuttingDown, 0);
    return;
  }
  if (const auto reason = this->InvalidReason(job);
      reason && !this->KeyPending(job)) {
    refuse(OutcomeKind::kNotRun, *reason, 0);
    return;
  }
  Pool* pool = this->FindPool(job.pool);
  if (pool == nullptr) {
    refuse(OutcomeKind::kNotRun, Reason::kUnknownPool, kMinRetryAfterMs);
    return;
  }
  if (!FitsAny(job.resources, pool->record)) {
    refuse(OutcomeKind::kNotRun, Reason::kNeverFits, 0);
    return;
  }
  const Time deadline = now + std::chrono::milliseconds(submit.deadline_ms);
  const bool continues = !submit.checkpoint.empty();
  const Duration wait =
      continues || pool->targets.TotalFreeSlots(now) > 0
          ? Duration(0)
          : pool->queue.ExpectedWait(
                this->context.settings.fifo ? TeamId() : job.team,
                pool->targets.usable_slots(), now);
  if (!continues &&
      (now + wait > deadline ||
       pool->queue.waiting() >= this->context.settings.max_waiting)) {
    refuse(OutcomeKind::kNotRun, Reason::kQueueFull,
           std::max(kMinRetryAfterMs, ToMs(now + wait - deadline)));
    return;
  }

  auto work = std::make_unique<WorkItem>();
  work->listeners.insert(listener);
  work->enqueued = now;
  work->deadline = deadline;
  work->exclusions.allow_probe = job.repeatable;
  if (!submit.checkpoint.empty()) {
    work->checkpoint = std::move(submit.checkpoint);
    work->maybe_sent = true;
    work->worst_end = route::AttemptOutcome::kUnknown;
    work->deadline = Time::max();
  }
  if (runs_again) {
    work->claimed = existing->claimed;
    work->claim_token = existing->claim_token;
    work->answered_not_run = existing->answered_not_run;
    work->answered_not_run.insert(existing->listeners.begin(),
                                  existing->listeners.end());
  }
  work->job = std::move(job);
  if (!work->job.request.empty()) {
    this->job_by_request[work->job.request] = work->job.id;
  }
  pool->retries.OnRequest(now);
  this->context.EmitTrace({.kind = TraceKind::kRequestQueued,
                           .request = work->job.request.str(),
                           .task = work->job.id.str(),
                           .team = work->job.team.str(),
                           .pool = work->job.pool.str()});
  WorkItem& added = *work;
  this->work_by_job[added.job.id] = std::move(work);
  this->Enqueue(*pool, added, now);
  this->Dispatch(*pool, now);
}

void Scheduler::OnCancel(const InstanceId& from,
                         const CancelJob& cancel,
                         Time now) {
  WorkItem* work = this->FindWorkByJob(cancel.job);
  if (work == nullptr) {
    const auto found = this->job_by_request.find(cancel.request);
    work = found == this->job_by_request.end()
               ? nullptr
               : this->FindWorkByJob(found->second);
  }
  if (work == nullptr || work->state == WorkItemState::kFinished) {
    return;
  }
  // Other entries still wait for the job, so only this listener is removed.
  if (!cancel.job.empty() && work->listeners.size() > 1) {
    work->listeners.erase({from, cancel.job});
    this->context.Send(from, JobOutcome{cancel.job,
                                        {.kind = OutcomeKind::kUnknown,
                                         .reason = Reason::kCancelled}});
    return;
  }
  if (work->state == WorkItemState::kQueued) {
    this->Finish(*work,
                 {.kind = work->maybe_sent ? OutcomeKind::kUnknown
                                           : OutcomeKind::kNotRun,
                  .reason = Reason::kCancelled},
                 now);
    return;
  }
  work->cancelled = true;
  if (work->state != WorkItemState::kClaiming) {
    this->SendTaskOrder(*work, TaskOrder::kStop);
  }
}

void Scheduler::Enqueue(Pool& pool, WorkItem& work, Time now) {
  const config::Profile* profile = this->context.state().Find(work.job.profile);
  work.state = WorkItemState::kQueued;
  work.queued_subjects = this->SubjectsOf(work.job);
  for (const permit::Subject& subject : work.queued_subjects) {
    ++this->queued_demand[subject];
  }
  if (this->context.settings.fifo) {
    // Jobs of one team and one profile with equal deadlines are served in order
    // of arrival; Dispatch checks the deadlines.
    pool.queue.Push({.task = work.job.id, .enqueued = work.enqueued}, now);
    return;
  }
  pool.queue.Push({.task = work.job.id,
                   .team = work.job.team,
                   .profile = work.job.profile,
                   .urgent = profile != nullptr && profile->urgent,
                   .enqueued = work.enqueued,
                   .deadline = work.deadline},
                  now);
}

void Scheduler::RemoveQueuedDemand(const WorkItem& work) {
  for (const permit::Subject& subject : work.queued_subjects) {
    --this->queued_demand[subject];
  }
}

// True if the configuration and the pool's record are recent enough for a
// start.
bool Scheduler::HasRecentState(const Pool& pool, Time now) const {
  return this->context.Fresh(now) &&
         !(pool.behind_since &&
           now - *pool.behind_since > member::kMaxContactAge);
}

// During a shutdown only claimed jobs start: no other entry may run them, so
// they would otherwise end as unknown.
bool Scheduler::MayStart(const WorkItem& work,
                         const Pool& pool,
                         Time now) const {
  return (!this->context.stopping || work.claimed) &&
         this->HasRecentState(pool, now);
}

bool Scheduler::HasClaimedQueuedJobs() const {
  return std::ranges::any_of(this->work_by_job, [](const auto& row) {
    return row.second->state == WorkItemState::kQueued && row.second->claimed;
  });
}

// Starts queued jobs on free slots. Conditions that may have changed since a
// job arrived are checked again: freshness, key, team and permits. VMs that are
// leaving or in a zone out of service are unusable in the pool's targets.
void Scheduler::Dispatch(Pool& pool, Time now) {
  if (!this->HasRecentState(pool, now)) {
    return;
  }
  std::vector<std::pair<TaskId, Reason>> rejected;
  const auto eligible = [&](const share::QueuedTask& waiting) {
    const WorkItem& work = *this->work_by_job.at(waiting.task);
    if (!this->MayStart(work, pool, now)) {
      return share::Eligibility::kTaskBlocked;
    }
    if (this->context.settings.fifo) {
      if (now > work.deadline) {
        rejected.emplace_back(waiting.task, Reason::kDeadline);
      }
      return now <= work.deadline && !this->InvalidReason(work.job) &&
                     this->HasPermits(work.job)
                 ? share::Eligibility::kEligible
                 : share::Eligibility::kTaskBlocked;
    }
    if (!this->KeyPending(work.job)) {
      if (const auto reason = this->InvalidReason(work.job)) {
        rejected.emplace_back(waiting.task, *reason);
        return share::Eligibility::kTaskBlocked;
      }
    }
    return this->CheckEligibility(work, now);
  };
  while (pool.targets.TotalFreeSlots(now) > 0) {
    const auto next = pool.queue.Pop(now, eligible);
    if (!next) {
      break;
    }
    WorkItem& work = *this->work_by_job.at(next->task);
    const auto vm =
        pool.targets.Choose(now, work.exclusions, this->context.random);
    if (!vm || !this->Place(pool, work, *vm, now)) {
      pool.queue.Push(*next, now);
      break;
    }
  }
  for (const auto& [task, reason] : rejected) {
    WorkItem* work = this->FindWorkByJob(task);
    if (work != nullptr && work->state == WorkItemState::kQueued) {
      this->Finish(*work,
                   {.kind = work->maybe_sent ? OutcomeKind::kUnknown
                                             : OutcomeKind::kNotRun,
                    .reason = reason},
                   now);
    }
  }
}

// Reserves permits and a slot for a job, then claims its request id or starts
// it.
bool Scheduler::Place(Pool& pool, WorkItem& work, const VmId& vm, Time now) {
  const config::Profile* profile = this->context.state().Find(work.job.profile);
  Attempt attempt{
      .task = TaskId(work.job.id.str() + "-" + this->context.self().str() +
                     "." + std::to_string(this->context.holder().incarnation) +
                     "." + std::to_string(++this->last_attempt)),
      .vm = vm,
      .address = pool.record.vms.at(vm).address,
      .lease_ms = std::min<std::int64_t>(
          profile->task_lease_ms, ToMs(this->context.settings.longest_lease)),
      .holder = this->context.holder()};
  const auto subjects = this->SubjectsOf(work.job);
  const bool own =
      subjects.size() == 1
          ? this->context.permits.TryAcquire(subjects[0])
          : this->context.permits.TryAcquireBoth(subjects[0], subjects[1]);
  if (own) {
    work.permit_source = PermitSource::kOwn;
    work.subjects = subjects;
  } else {
    const auto peer = this->DelegateFor(work.job, now);
    if (!peer) {
      return false;
    }
    work.permit_source = PermitSource::kPeer;
    work.delegate = *peer;
    attempt.holder = {*peer, this->context.incarnations[*peer]};
    for (const permit::Subject& subject : subjects) {
      --this->context.peer_idle_permits[*peer][subject];
    }
  }
  this->RemoveQueuedDemand(work);
  work.attempt = attempt;
  work.stopping = false;
  work.absent_reports = 0;
  this->job_by_task[attempt.task] = work.job.id;
  pool.targets.Started(vm, work.job.id, now);
  const bool fifo = this->context.settings.fifo;
  pool.queue.Started(work.job.id, fifo ? TeamId() : work.job.team,
                     profile->preemptible && !fifo, now);
  pool.tasks[vm].insert(work.job.id);
  if (work.job.repeatable || work.claimed) {
    this->Launch(work, now);
    return true;
  }
  work.state = WorkItemState::kClaiming;
  work.claim_token = attempt.task.str();
  this->context.SendStoreOps(
      StoreUser::kClaims,
      this->context.claims.Claim(work.job.request, work.claim_token, now,
                                 this->context.wall_s));
  return true;
}

// Sends the start. Time may have passed since the job was placed, so the start
// conditions are checked again.
void Scheduler::Launch(WorkItem& work, Time now) {
  if (work.cancelled) {
    this->EndAttempt(work, route::TaskOutcome::kCancelled, true, now);
    this->Finish(work,
                 {.kind = OutcomeKind::kNotRun, .reason = Reason::kCancelled},
                 now);
    return;
  }
  const Pool* pool = this->FindPool(work.job.pool);
  const bool usable = pool->targets.Counters(work.attempt->vm, now).usable;
  if (!this->MayStart(work, *pool, now) || this->InvalidReason(work.job) ||
      !usable) {
    this->CancelPlacement(work, now);
    return;
  }
  work.state = WorkItemState::kRunning;
  work.launched_at = now;
  work.lease_renewed_at = now;
  if (work.permit_source == PermitSource::kPeer) {
    this->context.Send(work.delegate,
                       Delegate{work.job, *work.attempt, work.checkpoint});
  } else {
    this->context.effects.emplace_back(
        StartTask{*work.attempt, work.job, work.checkpoint,
                  now + this->context.settings.start_validity});
  }
  this->context.EmitTrace(
      {.kind = TraceKind::kTaskStarted,
       .request = work.job.request.str(),
       .task = work.attempt->task.str(),
       .vm = work.attempt->vm.str(),
       .team = work.job.team.str(),
       .zone = pool->record.vms.at(work.attempt->vm).zone.str(),
       .pool = work.job.pool.str()});
  this->NotifyListeners(work);
}

// Returns a placed, unsent job to the queue. If the job can no longer
// start at all, the next dispatch refuses it.
void Scheduler::CancelPlacement(WorkItem& work, Time now) {
  this->EndAttempt(work, route::TaskOutcome::kCancelled, true, now);
  this->Requeue(work, now);
}

// Returns a job to the queue, or to its sender during a shutdown unless the job
// is claimed.
void Scheduler::Requeue(WorkItem& work, Time now) {
  if (this->context.stopping && !work.claimed) {
    this->Finish(
        work,
        {.kind = work.maybe_sent ? OutcomeKind::kUnknown : OutcomeKind::kNotRun,
         .reason = Reason::kShuttingDown},
        now);
    return;
  }
  Pool* pool = this->FindPool(work.job.pool);
  this->Enqueue(*pool, work, now);
}

// Sends the current status of the job to all listeners.
void Scheduler::NotifyListeners(const WorkItem& work) {
  for (const Listener& listener : work.listeners) {
    this->NotifyListener(work, listener);
  }
}

void Scheduler::NotifyListener(const WorkItem& work, const Listener& listener) {
  const auto& [instance, id] = listener;
  if (work.state == WorkItemState::kFinished) {
    this->context.Send(instance, JobOutcome{id, work.outcome});
  } else if (work.state == WorkItemState::kRunning && work.attempt) {
    this->context.Send(instance, Started{id, *work.attempt});
  }
}

void Scheduler::Finish(WorkItem& work, Outcome outcome, Time now) {
  if (work.state == WorkItemState::kQueued) {
    this->RemoveQueuedDemand(work);
    this->FindPool(work.job.pool)->queue.Cancel(work.job.id, now);
  }
  work.state = WorkItemState::kFinished;
  work.outcome = std::move(outcome);
  work.job.body.clear();
  work.job.body.shrink_to_fit();
  work.checkpoint.clear();
  this->NotifyListeners(work);
  const Settings& settings = this->context.settings;
  this->result_expiry.emplace(
      now + (work.job.request.empty() ? settings.anonymous_result_ttl
                                      : settings.result_ttl),
      work.job.id);
  this->retained_bytes += work.outcome.body.size();
  this->retained_results.push_back(work.job.id);
  while (this->retained_bytes > settings.max_retained_result_bytes &&
         this->retained_results.size() > 1) {
    WorkItem* oldest = this->FindWorkByJob(this->retained_results.front());
    this->retained_results.pop_front();
    if (oldest != nullptr && !oldest->outcome.body.empty()) {
      // Without its body the answer would be incomplete, so the outcome becomes
      // unknown.
      this->retained_bytes -= oldest->outcome.body.size();
      oldest->outcome = {.kind = OutcomeKind::kUnknown,
                         .reason = Reason::kNotFound};
    }
  }
}

void Scheduler::Stop(Time now) {
  std::vector<WorkItem*> waiting;
  for (const auto& [id, work] : this->work_by_job) {
    if (work->state == WorkItemState::kQueued && !work->claimed) {
      waiting.push_back(work.get());
    }
  }
  for (WorkItem* work : waiting) {
    this->Finish(*work,
                 {.kind = work->maybe_sent ? OutcomeKind::kUnknown
                                           : OutcomeKind::kNotRun,
                  .reason = Reason::kShuttingDown},
                 now);
  }
}

}  // namespace kch::engine
