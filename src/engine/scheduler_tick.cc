// Scheduler: reports of workers and peers, configuration changes and periodic
// work.
#include <algorithm>
#include <utility>

#include "engine/scheduler.h"

namespace kch::engine {
namespace {

// A report may lack a task that was started less than this time ago: the start
// may have been in flight when the worker wrote the report.
constexpr Duration kReportGracePeriod = std::chrono::seconds(2);
// Consecutive reports without a task before its connection is aborted.
constexpr int kMaxAbsentReports = 2;
constexpr Duration kRecordReadInterval = std::chrono::seconds(1);
// Longer than a message can wait in a connection before the connection is
// replaced.
constexpr Duration kRefusedRotationInterval = std::chrono::seconds(10);
// Jobs queued for longer at an entry that lost the pool are returned, to be
// submitted to the new owner. While an entry joins, members disagree about the
// owner for less than this time.
constexpr Duration kReturnQueuedAfter = std::chrono::seconds(2);
// Delay of the poll that detects the freed slot of a preempted task of another
// scheduler.
constexpr Duration kPreemptPollInterval = std::chrono::milliseconds(100);
constexpr Duration kLimitCheckInterval = std::chrono::milliseconds(250);

config::OnLimitCut LimitCutPolicy(const config::State& state, const Job& job) {
  const config::Profile* profile = state.Find(job.profile);
  return profile == nullptr ? config::OnLimitCut::kFinish
                            : profile->on_limit_cut;
}

}  // namespace

void Scheduler::OnPool(const PoolId& id,
                       std::uint64_t version,
                       const maintain::PoolRecord& record,
                       Time now) {
  auto& pool = this->pools_by_id[id];
  const bool added = pool == nullptr;
  if (added) {
    pool = std::make_unique<Pool>();
    pool->id = id;
    pool->targets = route::TargetSet(this->context.settings.routing);
  }
  if (version <= pool->version) {
    return;
  }
  pool->version = version;
  pool->record = record;
  pool->behind_since.reset();
  std::erase_if(pool->contacts, [&record](const auto& entry) {
    return !record.vms.contains(entry.first);
  });
  for (const auto& [vm, row] : record.vms) {
    pool->contacts.try_emplace(vm);
  }
  if (added) {
    this->OnConfig(now);
  } else {
    this->UpdateTargets(*pool, now);
  }
  this->context.EmitTrace(
      {.kind = TraceKind::kPoolChanged,
       .pool = id.str(),
       .text = "generation " + std::to_string(record.generation)});
  this->Dispatch(*pool, now);
}

void Scheduler::OnPeerPoolGenerations(const std::vector<PoolSeen>& pools,
                                      Time now) {
  for (const PoolSeen& reported_pool : pools) {
    Pool* pool = this->FindPool(reported_pool.pool);
    if (pool != nullptr && reported_pool.generation > pool->record.generation &&
        !pool->behind_since) {
      pool->behind_since = now;
      pool->next_read = now;
    }
  }
}

void Scheduler::OnPoolReply(const StoreReply& reply) {
  for (const auto& [id, pool] : this->pools_by_id) {
    if (reply.key == maintain::KeyOf(id)) {
      pool->read_pending = false;
    }
  }
}

// Reads the record of a pool that this entry owns, or of which a peer has a
// newer record. A watch can stop delivering updates without an error.
void Scheduler::ReadRecord(Pool& pool, Time now) {
  if (pool.read_pending || now < pool.next_read) {
    return;
  }
  const auto owner = this->context.membership.OwnerOf(pool.id, now);
  if (pool.behind_since || (owner && *owner == this->context.self())) {
    pool.next_read = now + kRecordReadInterval;
    pool.read_pending = true;
    this->context.SendStoreOps(StoreUser::kPools,
                               {StoreGet{maintain::KeyOf(pool.id)}});
  }
}

void Scheduler::UpdateTargets(Pool& pool, Time now) {
  const config::State& state = this->context.state();
  std::vector<route::TargetVm> vms;
  for (const auto& [id, row] : pool.record.vms) {
    vms.push_back({.id = id,
                   .zone = row.zone,
                   .rack = row.rack,
                   .slots = row.slots,
                   .usable = row.state == maintain::VmState::kServing &&
                             !maintain::IsJoining(row) &&
                             state.InService(row.zone) &&
                             !this->context.leaving.contains(id)});
  }
  pool.targets.Update(vms, now);
}

void Scheduler::OnConfig(Time now) {
  const config::State& state = this->context.state();
  for (const auto& [id, team] : state.teams) {
    this->context.Apply(
        this->context.permits.SetLimit({permit::SubjectKind::kTeam, id.str()},
                                       team.value.limit, team.revision, now));
  }
  for (const auto& [id, profile] : state.profiles) {
    if (profile.value.capacity > 0) {
      this->context.Apply(this->context.permits.SetLimit(
          {permit::SubjectKind::kProfile, id.str()}, profile.value.capacity,
          profile.revision, now));
    }
  }
  for (const auto& [id, pool] : this->pools_by_id) {
    for (const auto& [team, value] : state.teams) {
      pool->queue.SetTeamWeight(team, value.value.weight, now);
    }
    this->UpdateTargets(*pool, now);
    this->Dispatch(*pool, now);
  }
  // Checkpoints the tasks in zones out of service that can resume elsewhere.
  for (const auto& [task, job] : this->job_by_task) {
    WorkItem* work = this->FindWorkByJob(job);
    const Pool* pool = this->FindPool(work->job.pool);
    const auto row = pool->record.vms.find(work->attempt->vm);
    const config::Profile* profile = state.Find(work->job.profile);
    if (row != pool->record.vms.end() && profile != nullptr &&
        !state.InService(row->second.zone) && !work->stopping &&
        profile->on_drain == config::OnDrain::kCheckpoint) {
      this->SendTaskOrder(*work, TaskOrder::kCheckpoint);
    }
  }
}

void Scheduler::OnReport(const WorkerReport& report, Time now) {
  for (const auto& [id, pool] : this->pools_by_id) {
    const auto found = pool->contacts.find(report.vm);
    if (found == pool->contacts.end()) {
      continue;
    }
    WorkerContact& contact = found->second;
    contact.poll_pending = false;
    if (!report.reached) {
      ++contact.missed_polls;
      continue;
    }
    contact.missed_polls = 0;
    contact.boot = report.boot;
    pool->targets.OnWorkerReport(
        report.vm, static_cast<std::int64_t>(report.tasks.size()), now);
    std::set<TaskId> present;
    for (const ReportedTask& task : report.tasks) {
      present.insert(task.task);
      const auto ours = this->delegated_tasks.find(task.task);
      if (ours != this->delegated_tasks.end()) {
        ours->second.lease_renewed_at = now;
      }
    }
    for (const TaskId& job : pool->tasks[report.vm]) {
      WorkItem* work = this->FindWorkByJob(job);
      if (present.contains(work->attempt->task)) {
        work->lease_renewed_at = now;
        work->absent_reports = 0;
      } else if (work->state == WorkItemState::kRunning &&
                 now - work->launched_at > kReportGracePeriod &&
                 ++work->absent_reports == kMaxAbsentReports) {
        // The task has ended but its answer has not arrived: the connection, or
        // the message of the peer that runs the task, was lost. An aborted
        // connection ends the attempt as broken, which starts the recovery.
        if (work->permit_source == PermitSource::kPeer) {
          this->Recover(*work, now);
        } else {
          this->context.effects.emplace_back(
              AbortTaskConnection{work->attempt->task});
        }
      }
    }
    this->AccountExternalTasks(*pool, report.vm, report.tasks, now);
    this->Dispatch(*pool, now);
  }
}

void Scheduler::OnPeerUse(const InstanceId& peer,
                          std::vector<TeamUse> use,
                          Time now) {
  auto& previous = this->peer_use[peer];
  if (previous != use) {
    previous = std::move(use);
    this->UpdateExternalUse(now);
  }
}

// Sets, for every pool, the slots that each team uses in pools with a backlog
// at peers.
void Scheduler::UpdateExternalUse(Time now) {
  std::map<TeamId, double> others;
  for (const auto& [peer, use] : this->peer_use) {
    for (const TeamUse& item : use) {
      others[item.team] += static_cast<double>(item.slots);
    }
  }
  for (const auto& [id, pool] : this->pools_by_id) {
    for (const auto& [team, value] : this->context.state().teams) {
      const auto found = others.find(team);
      pool->queue.SetExternalSlots(
          team, found == others.end() ? 0 : found->second, now);
    }
  }
}

std::vector<TeamUse> Scheduler::ContendedUse(Time now) const {
  std::map<TeamId, std::int64_t> use;
  for (const auto& [id, pool] : this->pools_by_id) {
    if (pool->queue.waiting() == 0 || pool->targets.TotalFreeSlots(now) > 0) {
      continue;
    }
    for (const auto& [team, value] : this->context.state().teams) {
      const auto running = pool->queue.Counters(team, now).running;
      if (running > 0) {
        use[team] += running;
      }
    }
  }
  std::vector<TeamUse> result;
  result.reserve(use.size());
  for (const auto& [team, slots] : use) {
    result.push_back({team, slots});
  }
  return result;
}

std::vector<VmUse> Scheduler::LeavingUse() const {
  std::map<VmId, std::int64_t> use;
  for (const auto& [id, pool] : this->pools_by_id) {
    for (const auto& [vm, row] : pool->record.vms) {
      const auto tasks = pool->tasks.find(vm);
      if (row.state != maintain::VmState::kServing &&
          tasks != pool->tasks.end() && !tasks->second.empty()) {
        use[vm] += static_cast<std::int64_t>(tasks->second.size());
      }
    }
  }
  for (const auto& [task, delegated] : this->delegated_tasks) {
    ++use[delegated.attempt.vm];
  }
  std::vector<VmUse> result;
  result.reserve(use.size());
  for (const auto& [vm, tasks] : use) {
    result.push_back({vm, tasks});
  }
  return result;
}

std::vector<PoolSeen> Scheduler::PoolGenerations() const {
  std::vector<PoolSeen> result;
  result.reserve(this->pools_by_id.size());
  for (const auto& [id, pool] : this->pools_by_id) {
    result.push_back({id, pool->record.generation});
  }
  return result;
}

void Scheduler::ProcessClaimResults(Time now) {
  for (const once::ClaimResult& result : this->context.claims.TakeResults()) {
    const auto found = this->job_by_request.find(result.request);
    WorkItem* work = found == this->job_by_request.end()
                         ? nullptr
                         : this->FindWorkByJob(found->second);
    if (work == nullptr || work->state != WorkItemState::kClaiming ||
        work->claim_token != result.token) {
      continue;
    }
    switch (result.outcome) {
      case once::ClaimOutcome::kClaimed:
        work->claimed = true;
        this->Launch(*work, now);
        break;
      case once::ClaimOutcome::kTaken:
        // Another scheduler may have run the job, or may still run it.
        this->EndAttempt(*work, route::TaskOutcome::kCancelled, true, now);
        this->Finish(
            *work,
            {.kind = OutcomeKind::kUnknown, .reason = Reason::kAlreadyClaimed},
            now);
        break;
      case once::ClaimOutcome::kUnavailable:
      case once::ClaimOutcome::kUnknown:
        // The job was not started here, and no other scheduler can hold this
        // token.
        this->EndAttempt(*work, route::TaskOutcome::kCancelled, true, now);
        this->Finish(*work,
                     {.kind = OutcomeKind::kNotRun,
                      .reason = Reason::kStoreUnavailable,
                      .retry_after_ms = 1000},
                     now);
        break;
    }
  }
}

// Tracks since when another live entry owns the pool. The owner accounts
// external tasks, so they are removed from the queue of an entry that lost the
// pool.
void Scheduler::UpdatePoolOwner(Pool& pool, Time now) {
  const auto owner = this->context.membership.OwnerOf(pool.id, now);
  const bool elsewhere = !this->context.settings.split_limits && owner &&
                         *owner != this->context.self() &&
                         this->context.membership.StateOf(*owner, now) ==
                             member::PeerState::kConnected;
  if (!elsewhere) {
    pool.other_owner_since.reset();
    return;
  }
  if (!pool.other_owner_since) {
    pool.other_owner_since = now;
  }
  for (const auto& [vm, tasks] : std::exchange(pool.external_tasks, {})) {
    for (const TaskId& task : tasks) {
      pool.queue.Ended(task, now);
    }
  }
}

// Accounts the tasks of other schedulers in the queue of an owned pool, so that
// shares and preemption cover all tasks in the pool. A job can run for hours
// after the entry that started it lost the pool.
void Scheduler::AccountExternalTasks(Pool& pool,
                                     const VmId& vm,
                                     const std::vector<ReportedTask>& reported,
                                     Time now) {
  // A report may still list a task of this entry that has ended since. The id
  // of a task contains the instance and incarnation that started it.
  const std::string own = "-" + this->context.self().str() + "." +
                          std::to_string(this->context.holder().incarnation) +
                          ".";
  std::vector<const ReportedTask*> others;
  for (const ReportedTask& task : reported) {
    if (!this->job_by_task.contains(task.task) &&
        task.task.str().find(own) == std::string::npos) {
      others.push_back(&task);
    }
  }
  pool.targets.OnForeignTasks(vm, static_cast<std::int64_t>(others.size()));
  if (pool.other_owner_since || this->context.settings.split_limits) {
    return;
  }
  std::set<TaskId> present;
  for (const ReportedTask* task : others) {
    present.insert(task->task);
    const config::Profile* profile = this->context.state().Find(task->profile);
    pool.queue.Started(task->task, task->team,
                       profile != nullptr && profile->preemptible, now);
  }
  for (const TaskId& task : std::exchange(pool.external_tasks[vm], present)) {
    if (!present.contains(task)) {
      pool.queue.Ended(task, now);
    }
  }
}

// Returns a job to the entries that wait for it, which submit it to the owner
// of the pool. Claimed jobs are not returned, since only this entry may start
// them.
void Scheduler::ReturnJob(WorkItem& work, Time now) {
  work.returned_at = now;
  this->Finish(work,
               {.kind = OutcomeKind::kNotRun,
                .reason = Reason::kShuttingDown,
                .body = work.checkpoint},
               now);
}

void Scheduler::ReturnQueuedJobs(Pool& pool, Time now) {
  if (!pool.other_owner_since ||
      now - *pool.other_owner_since < kReturnQueuedAfter ||
      pool.queue.waiting() == 0) {
    return;
  }
  std::vector<WorkItem*> waiting;
  for (const auto& [id, work] : this->work_by_job) {
    if (work->state == WorkItemState::kQueued && work->job.pool == pool.id &&
        !work->claimed && (!work->maybe_sent || !work->checkpoint.empty()) &&
        now - work->enqueued >= kReturnQueuedAfter) {
      waiting.push_back(work.get());
    }
  }
  for (WorkItem* work : waiting) {
    this->ReturnJob(*work, now);
  }
}

void Scheduler::PollTargets(Pool& pool, Time now) {
  const auto owner = this->context.membership.OwnerOf(pool.id, now);
  const bool owned = this->context.settings.split_limits ||
                     (owner && *owner == this->context.self());
  for (auto& [vm, contact] : pool.contacts) {
    const auto row = pool.record.vms.find(vm);
    if (contact.poll_pending || now < contact.next_poll ||
        row == pool.record.vms.end()) {
      continue;
    }
    PollWorker poll{.vm = vm,
                    .address = row->second.address,
                    .lease_ms = ToMs(this->context.settings.longest_lease),
                    .new_connection = contact.missed_polls > 0};
    bool busy = false;
    for (const TaskId& job : pool.tasks[vm]) {
      const WorkItem* work = this->FindWorkByJob(job);
      busy = true;
      if (work->permit_source == PermitSource::kOwn &&
          work->state != WorkItemState::kClaiming) {
        poll.tasks.push_back(work->attempt->task);
      }
    }
    for (const auto& [task, delegated] : this->delegated_tasks) {
      if (delegated.attempt.vm == vm) {
        busy = true;
        poll.tasks.push_back(task);
      }
    }
    if (!owned && !busy) {
      continue;
    }
    const auto others = pool.external_tasks.find(vm);
    busy = busy || pool.queue.waiting() > 0 ||
           (others != pool.external_tasks.end() && !others->second.empty());
    contact.next_poll =
        now + (busy ? this->context.settings.busy_poll_interval
                    : this->context.settings.idle_poll_interval);
    contact.poll_pending = true;
    this->context.effects.emplace_back(std::move(poll));
  }
}

// Checkpoints a task of the team furthest above its share if a team below its
// share has waited too long in a full pool.
void Scheduler::Preempt(Pool& pool, Time now) {
  if (pool.queue.waiting() == 0 || pool.targets.TotalFreeSlots(now) > 0) {
    return;
  }
  // No slot is free, so only the slots in use can be shared now. The remaining
  // slots belong to targets that are ejected, probed or ramped up.
  const auto choice = pool.queue.PickPreemption(
      now, std::min(pool.targets.usable_slots(), pool.queue.running()));
  if (!choice) {
    return;
  }
  WorkItem* work = this->FindWorkByJob(choice->task);
  if (work == nullptr) {
    // The scheduler that started the task receives the checkpoint and returns
    // the job.
    for (const auto& [vm, tasks] : pool.external_tasks) {
      const auto row = pool.record.vms.find(vm);
      if (tasks.contains(choice->task) && row != pool.record.vms.end()) {
        this->context.effects.emplace_back(OrderTask{
            row->second.address, choice->task, TaskOrder::kCheckpoint});
        this->context.EmitTrace({.kind = TraceKind::kTaskPreempted,
                                 .task = choice->task.str(),
                                 .vm = vm.str(),
                                 .team = choice->from.str(),
                                 .pool = pool.id.str(),
                                 .text = "for " + choice->to.str()});
        pool.contacts[vm].next_poll = now + kPreemptPollInterval;
      }
    }
    return;
  }
  if (work->stopping || !work->attempt) {
    return;
  }
  this->SendTaskOrder(*work, TaskOrder::kCheckpoint);
  this->context.EmitTrace({.kind = TraceKind::kTaskPreempted,
                           .request = work->job.request.str(),
                           .task = work->attempt->task.str(),
                           .vm = work->attempt->vm.str(),
                           .team = choice->from.str(),
                           .pool = pool.id.str(),
                           .text = "for " + choice->to.str()});
}

// After a limit was lowered, stops or checkpoints the tasks above it as their
// profile specifies.
void Scheduler::EndExcessTasks(Time now) {
  if (now < this->next_limit_check) {
    return;
  }
  this->next_limit_check = now + kLimitCheckInterval;
  for (const permit::Subject& subject : this->context.permits.Subjects()) {
    std::uint64_t excess = this->context.permits.Excess(subject);
    if (excess == 0) {
      continue;
    }
    for (const auto& [task, job] : this->job_by_task) {
      WorkItem* work = this->FindWorkByJob(job);
      const auto on_cut = LimitCutPolicy(this->context.state(), work->job);
      const bool counts =
          std::ranges::find(work->subjects, subject) != work->subjects.end();
      if (excess == 0 || !counts || on_cut == config::OnLimitCut::kFinish) {
        continue;
      }
      --excess;
      if (!work->stopping && work->state == WorkItemState::kRunning) {
        this->SendTaskOrder(*work, on_cut == config::OnLimitCut::kStop
                                       ? TaskOrder::kStop
                                       : TaskOrder::kCheckpoint);
      }
    }
  }
}

void Scheduler::UpdateDemand(Time now) {
  std::map<permit::Subject, std::uint32_t> demand;
  for (auto entry = this->queued_demand.begin();
       entry != this->queued_demand.end();) {
    if (entry->second > 0) {
      demand[entry->first] = entry->second;
      ++entry;
    } else {
      entry = this->queued_demand.erase(entry);
    }
  }
  for (const auto& [subject, count] : this->sent_demand) {
    demand.try_emplace(subject, 0);
  }
  std::map<permit::Subject, std::uint32_t> next;
  for (auto& [subject, count] : demand) {
    count = std::min(count + this->context.permits.Busy(subject),
                     this->PermitQuota(subject));
    const auto before = this->sent_demand.find(subject);
    if (before == this->sent_demand.end() || before->second != count) {
      this->context.Apply(this->context.permits.SetDemand(subject, count, now));
    }
    if (count > 0) {
      next[subject] = count;
    }
  }
  this->sent_demand = std::move(next);
}

void Scheduler::ExpireResults(Time now) {
  while (!this->result_expiry.empty() &&
         this->result_expiry.begin()->first <= now) {
    const TaskId id = this->result_expiry.begin()->second;
    this->result_expiry.erase(this->result_expiry.begin());
    const WorkItem* work = this->FindWorkByJob(id);
    if (work == nullptr || work->state != WorkItemState::kFinished) {
      continue;  // submitted again after it had ended here
    }
    this->retained_bytes -= work->outcome.body.size();
    const auto request = this->job_by_request.find(work->job.request);
    if (request != this->job_by_request.end() && request->second == id) {
      this->job_by_request.erase(request);
    }
    this->work_by_job.erase(id);
  }
  while (!this->retained_results.empty() &&
         this->FindWorkByJob(this->retained_results.front()) == nullptr) {
    this->retained_results.pop_front();
  }
}

std::optional<Reason> Scheduler::FindRefusal(const TaskId& job) const {
  for (const auto* generation :
       {&this->refused_jobs, &this->previous_refused_jobs}) {
    const auto found = generation->find(job);
    if (found != generation->end()) {
      return found->second;
    }
  }
  return std::nullopt;
}

void Scheduler::Tick(Time now) {
  if (now >= this->next_refused_rotation) {
    this->next_refused_rotation = now + kRefusedRotationInterval;
    this->previous_refused_jobs = std::exchange(this->refused_jobs, {});
  }
  this->context.SendStoreOps(
      StoreUser::kClaims, this->context.claims.Tick(now, this->context.wall_s));
  this->ProcessClaimResults(now);
  this->ProcessAdoptions(now);
  this->CheckRecovering(now);
  std::erase_if(this->expiring_permits, [&](const ExpiringPermits& item) {
    if (now < item.until) {
      return false;
    }
    for (const permit::Subject& subject : item.subjects) {
      this->context.Apply(this->context.permits.ReturnPermit(subject, now));
    }
    return true;
  });
  for (const auto& [id, pool] : this->pools_by_id) {
    this->UpdatePoolOwner(*pool, now);
    this->ReturnQueuedJobs(*pool, now);
    for (const share::QueuedTask& late : pool->queue.Expire(now)) {
      WorkItem* work = this->FindWorkByJob(late.task);
      this->Finish(*work,
                   {.kind = work->maybe_sent ? OutcomeKind::kUnknown
                                             : OutcomeKind::kNotRun,
                    .reason = Reason::kDeadline},
                   now);
    }
    this->Dispatch(*pool, now);
    this->Preempt(*pool, now);
    this->PollTargets(*pool, now);
    this->ReadRecord(*pool, now);
  }
  this->EndExcessTasks(now);
  this->UpdateDemand(now);
  this->ExpireResults(now);
}

}  // namespace kch::engine
