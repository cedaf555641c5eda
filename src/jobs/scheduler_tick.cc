#include <algorithm>
#include <utility>

#include "jobs/record.h"
#include "jobs/scheduler.h"

// Polls of VMs, leases, record writes and the erasure of ended jobs.

namespace kch::jobs {
namespace {

// Pause after the store refused a write.
constexpr auto kWriteRetry = std::chrono::milliseconds(100);
// Most pending transactions; further changes are batched into the next one.
// Those whose answers are lost stay pending for their timeout, and the others
// have to suffice meanwhile.
constexpr std::size_t kMaxWrites = 16;
// Bounds of the interval between polls of a VM with ends whose records are not
// stored yet. It grows with the time that the records take, so that an outage
// of the store does not multiply the polls.
constexpr auto kMinAwaitPollInterval = std::chrono::milliseconds(100);
constexpr auto kMaxAwaitPollInterval = std::chrono::milliseconds(400);
// A VM cannot restart and run a task within this time after its last answer.
constexpr auto kFreshReportAge = std::chrono::milliseconds(250);
// Interval of polls while a stopped run has not ended.
constexpr auto kStopPollInterval = std::chrono::milliseconds(60);
// Longest time between polls of a VM without runs, or without answers, that may
// carry out a late start. If it has restarted, it refuses none until it is
// polled, and its next heartbeat may come later.
constexpr auto kLateStartPollInterval = std::chrono::milliseconds(250);
// VMs that a takeover has not reached and that are told of by name.
constexpr std::size_t kMaxUnreachedLogged = 20;
// Time to the next poll of a VM without runs.
constexpr auto kIdlePollInterval = std::chrono::hours(24);

RecordStep StepFor(const Job& job) {
  return job.erasing   ? RecordStep::kErase
         : job.Ended() ? RecordStep::kEnd
                       : RecordStep::kProgress;
}

std::string RecordOf(const Job& job, RecordStep step) {
  switch (step) {
    case RecordStep::kProgress:
      return EncodeProgress(job);
    case RecordStep::kEnd:
      return EncodeEnded(job);
    case RecordStep::kErase:
      return "";
  }
  return "";
}

}  // namespace

// A run that a predecessor started on an unresponsive VM ends with its lease.
// This scheduler does not have that lease, so the longest one serves as the
// bound.
Duration Scheduler::LongestLease() const {
  return EndOfRuns(this->limits.lease, this->limits);
}

// A VM whose clock has started anew takes a lease by its earlier clock for one
// that is far ahead, and cuts it to the longest that it grants.
Duration Scheduler::LongestGrantedLease() const {
  return EndOfRuns(this->limits.max_lease, this->limits);
}

// Runs that a predecessor may have started end by this time on a VM that was
// not reached at `reached`.
Time Scheduler::InheritedRunsEnd(const Vm& vm, Time reached) const {
  return std::max(reached, this->predecessor_end) +
         (vm.may_hold_earlier_lease ? this->LongestGrantedLease()
                                    : this->LongestLease());
}

// `reached`: when a VM that has not answered could last have been reached. One
// that has left ends out lists them in its next answers; if it falls silent,
// its ends are awaited no longer than the leases that it may hold.
bool Scheduler::RunsKnown(const Vm& vm, Time reached, Time now) const {
  if (!vm.reported) {
    return now >= this->InheritedRunsEnd(vm, reached);
  }
  if (vm.ends_known || !vm.unresponsive) {
    return vm.ends_known;
  }
  const Time predecessors_lease_end = vm.clock_at + this->LongestLease();
  return now >=
         std::max(predecessors_lease_end, this->LeaseEnd(vm).value_or(Time()));
}

// A start that reaches a later incarnation late raises the lease there, also if
// it is refused, unless the lease has ended before.
std::optional<Time> Scheduler::LeaseEnd(const Vm& vm) const {
  const std::optional<Time> end = vm.LeaseEnd(this->limits);
  const auto found = this->late_starts.find(vm.facts.id);
  if (!end || found == this->late_starts.end()) {
    return end;
  }
  Time raised = *end;
  Time latest;
  for (const LateStart& late : found->second) {
    if (late.earlier_clock) {
      raised += this->LongestGrantedLease();
      latest = std::max(latest, late.given_up + this->limits.late_order_time);
    }
  }
  return std::max(*end, std::min(raised, latest + this->LongestGrantedLease()));
}

bool Scheduler::MayHoldEarlierLease(const Vm& vm, Time now) const {
  if (!vm.reported && vm.may_hold_earlier_lease) {
    return true;
  }
  if (vm.earlier_lease_end && now < *vm.earlier_lease_end) {
    return true;
  }
  const auto found = this->late_starts.find(vm.facts.id);
  return found != this->late_starts.end() &&
         std::ranges::any_of(found->second, [&](const LateStart& late) {
           return late.earlier_clock && now < late.given_up +
                                                  this->limits.late_order_time +
                                                  this->LongestGrantedLease();
         });
}

// Whether orders to start runs that had no answer may still be carried out.
bool Scheduler::MayStartLate(const Vm& vm, Time now) const {
  const auto found = this->late_starts.find(vm.facts.id);
  return found != this->late_starts.end() &&
         std::ranges::any_of(found->second, [&](const LateStart& late) {
           return now < late.given_up + this->limits.late_order_time;
         });
}

void Scheduler::SetPredecessorEnd(Time end) {
  this->predecessor_end = this->predecessor_end == Time()
                              ? end
                              : std::min(this->predecessor_end, end);
}

// Occurrences that are due are opened before the first report: the predecessor
// may have started their tasks, of which the store has no record yet.
void Scheduler::BeginRecovery(Time now, std::int64_t wall_ms, Time not_before) {
  for (auto row = this->ended_vms.begin(); row != this->ended_vms.end();) {
    if (row->second.registered) {
      ++row;
    } else {
      this->effects.emplace_back(EraseEndedVmRecord{row->first});
      row = this->ended_vms.erase(row);
    }
  }
  this->in_recovery = true;
  this->recovery_began = now;
  this->recovery_wall_ms = wall_ms;
  this->OpenAllDue(wall_ms);
  this->recovery_not_before = not_before;
  this->recovery_ends = std::max(not_before, now + this->limits.recovery_wait);
  for (auto& [id, vm] : this->fleet) {
    vm->next_poll = now;
  }
}

void Scheduler::FinishRecovery(Time now) {
  std::size_t unresponsive = 0;
  for (auto& [id, vm] : this->fleet) {
    if (!vm->reported) {
      if (++unresponsive <= kMaxUnreachedLogged) {
        this->EmitLogEvent("vm_unreached",
                           {{"vm", id.str()},
                            {"pool", vm->facts.pool.str()},
                            {"zone", vm->facts.zone.str()},
                            {"registered", vm->registered ? "yes" : "no"}});
      }
    }
    if (!vm->ends_known) {
      this->pools[vm->facts.pool].unreached_at = now;
    }
  }
  this->in_recovery = false;
  this->UpdateUnreachedPools(now);
  this->EmitLogEvent("recovered", {{"jobs", std::to_string(this->jobs.size())},
                                   {"vms", std::to_string(this->fleet.size())},
                                   {"silent", std::to_string(unresponsive)}});
}

void Scheduler::Tick(Time now, std::int64_t /*wall_ms*/) {
  if (this->superseded) {
    return;
  }
  if (this->in_recovery) {
    const bool complete = std::ranges::all_of(
        this->fleet, [](const auto& row) { return row.second->reported; });
    if ((complete && now >= this->recovery_not_before) ||
        now >= this->recovery_ends) {
      this->FinishRecovery(now);
    }
  }
  this->PollVms(now);
  this->EraseExpiredJobs(now);
  this->WriteChanges(now);
}

void Scheduler::PollVms(Time now) {
  std::vector<VmId> gone;
  for (auto& [id, vm] : this->fleet) {
    const bool earlier_lease = this->MayHoldEarlierLease(*vm, now);
    if (vm->registered &&
        (!vm->record_sent || vm->record_earlier_lease != earlier_lease)) {
      vm->record_sent = true;
      vm->record_earlier_lease = earlier_lease;
      this->effects.emplace_back(PersistVm{{vm->facts, earlier_lease}});
    }
    if (vm->unresponsive || !vm->registered) {
      const auto lease_end = this->LeaseEnd(*vm);
      const bool expired = !lease_end || now >= *lease_end;
      if (expired && vm->unresponsive) {
        this->MarkRunsLost(*vm, "lease_expired");
      }
      if (!vm->registered && this->RunsKnown(*vm, now) && vm->Settled()) {
        gone.push_back(id);
        continue;
      }
    }
    if (!vm->poll_pending && this->PollDue(*vm, now)) {
      this->SendPoll(*vm, now);
    }
  }
  for (const VmId& id : gone) {
    this->DropVm(id);
  }
}

// A poll returns unrecorded ends again at once, so a VM that has some is polled
// at intervals: for the ends that follow, and to renew its lease.
bool Scheduler::PollDue(const Vm& vm, Time now) const {
  const Duration passed = now - vm.poll_sent;
  if (!vm.awaited_records.empty()) {
    return passed >= std::clamp<Duration>(now - vm.awaited_since,
                                          kMinAwaitPollInterval,
                                          kMaxAwaitPollInterval);
  }
  return now >= vm.next_poll ||
         ((vm.unresponsive || vm.runs.empty()) &&
          passed >= kLateStartPollInterval && this->MayStartLate(vm, now));
}

void Scheduler::SendPoll(Vm& vm, Time now) {
  // A VM that has restarted under its id restarts the numbers of its ends, and
  // an old number would acknowledge ends that were never received. So
  // acknowledgements are sent only shortly after an answer of the VM, while it
  // is still the same incarnation.
  const bool fresh = now - vm.clock_at <= kFreshReportAge;
  PollVm poll{.to = vm.Address(), .recorded_end = fresh ? vm.recorded_end : 0};
  if (vm.unresponsive) {
    // No renewal: it may or may not arrive, and would postpone the time after
    // which the runs may start elsewhere.
  } else if ((!vm.runs.empty() || !vm.orphans.empty()) && vm.clock_known) {
    poll.lease_until_ms = vm.LeaseClockAt(now) + ToMs(this->limits.lease);
    vm.lease_until_ms = std::max(vm.lease_until_ms, poll.lease_until_ms);
    const bool unsettled =
        !vm.awaited_records.empty() || !vm.orphans.empty() || vm.more_ends ||
        this->HasLateStop(vm) ||
        (!fresh && vm.acknowledged_end < vm.recorded_end) ||
        std::ranges::any_of(vm.runs, [](const Task* task) {
          return task->phase == TaskPhase::kStopping ||
                 task->phase == TaskPhase::kDone ||
                 (task->phase == TaskPhase::kStarting &&
                  task->answered_at != Time() && !task->MayStartLate());
        });
    poll.wait_ms = unsettled  ? 0
                   : vm.mixed ? ToMs(this->limits.mixed_poll_wait)
                              : ToMs(this->limits.poll_wait);
    if (vm.max_poll_wait > Duration::zero()) {
      poll.wait_ms = std::min(poll.wait_ms, ToMs(vm.max_poll_wait));
    }
    for (const Task* task : vm.runs) {
      if (task->MayStartLate()) {
        const std::int64_t left_ms =
            ToMs(this->BarredAfter(*task, vm, now) - now);
        poll.wait_ms =
            std::min(poll.wait_ms, std::max(left_ms, ToMs(kStopPollInterval)));
      }
    }
  }
  vm.acknowledged_end = std::max(vm.acknowledged_end, poll.recorded_end);
  vm.poll_pending = true;
  vm.poll_sent = now;
  vm.next_poll = now + kIdlePollInterval;
  this->effects.emplace_back(std::move(poll));
}

// Ends are acknowledged with the next poll, once their records are stored.
void Scheduler::Acknowledge(Vm& vm, Time now) {
  std::erase_if(vm.awaited_records, [this](const auto& wanted) {
    const Job* job = this->FindJob(wanted.first);
    return job == nullptr || job->stored_change >= wanted.second;
  });
  if (!vm.awaited_records.empty()) {
    return;
  }
  vm.recorded_end = std::max(vm.recorded_end, vm.handled_end);
  if (vm.poll_pending) {
    return;
  }
  const bool has_new_end =
      vm.recorded_end > vm.acknowledged_end || vm.more_ends;
  const bool late_stop = this->HasLateStop(vm);
  if (!vm.runs.empty() || !vm.orphans.empty() || has_new_end || late_stop) {
    const bool unsettled = !vm.orphans.empty() || late_stop ||
                           std::ranges::any_of(vm.runs, [](const Task* task) {
                             return task->phase == TaskPhase::kStopping ||
                                    task->phase == TaskPhase::kDone;
                           });
    vm.next_poll =
        std::min(vm.next_poll, unsettled ? now + kStopPollInterval : now);
  }
}

void Scheduler::PaceVm(Vm& vm, Time now) {
  std::vector<TailLatency> tails;
  std::vector<Task*> backfill_tasks;
  for (Task* task : vm.runs) {
    if (task->phase != TaskPhase::kRunning) {
      continue;
    }
    if (task->spec().target_ms > 0) {
      tails.push_back({task->gauge, task->spec().target_ms});
    } else if (task->spec().backfill) {
      backfill_tasks.push_back(task);
    }
  }
  vm.mixed = !tails.empty() && !backfill_tasks.empty();
  if (!vm.mixed) {
    vm.pace = {};
  } else if (vm.pace.Adjust(tails, now)) {
    this->EmitLogEvent("vm_paced",
                       {{"vm", vm.facts.id.str()},
                        {"percent", std::to_string(vm.pace.percent)},
                        {"fills", std::to_string(backfill_tasks.size())}});
  }
  for (Task* task : backfill_tasks) {
    if (task->pace != vm.pace.percent) {
      task->pace = vm.pace.percent;
      this->effects.emplace_back(
          PaceRun{vm.Address(), task->Ref(), task->run, task->pace});
    }
  }
}

void Scheduler::OnPace(const VmId& id,
                       const TaskRef& ref,
                       std::int64_t run,
                       bool answered) {
  Vm* vm = this->FindVm(id);
  Task* task = this->FindTask(ref);
  if (vm != nullptr && task != nullptr && task->run == run &&
      vm->runs.contains(task) && !answered) {
    task->pace = Task::kUnknownPace;
  }
}

// One write per job is pending at a time, so the expected revision of its
// record is known except after a lost answer; the conflict of the next write
// then returns it. Such jobs share no transaction with others, which the
// conflict would delay as well.
void Scheduler::WriteChanges(Time now) {
  if (now < this->write_retry) {
    return;
  }
  if (now < this->last_write_at + this->limits.write_interval) {
    return;
  }
  while (!this->dirty.empty() && this->writes.size() < kMaxWrites) {
    this->last_write_at = now;
    WriteRecords write{.id = ++this->last_write};
    std::vector<JobId> included;
    std::optional<bool> revision_unknown;  // of all jobs included
    std::size_t entries = 0;
    std::size_t bytes = 0;
    for (auto it = this->dirty.begin();
         it != this->dirty.end() && bytes < this->limits.max_write_bytes &&
         entries + TransactionEntries(RecordStep::kEnd) <=
             this->limits.max_write_entries;) {
      Job* job = this->FindJob(*it);
      if (job == nullptr) {
        it = this->dirty.erase(it);
        continue;
      }
      if (job->writing_change != 0 ||
          revision_unknown.value_or(job->revision_unknown) !=
              job->revision_unknown) {
        ++it;
        continue;
      }
      revision_unknown = job->revision_unknown;
      job->writing_change = job->change_number;
      const RecordStep step = StepFor(*job);
      entries += TransactionEntries(step);
      write.records.push_back(
          {job->spec.id, job->revision, RecordOf(*job, step), step});
      bytes += write.records.back().value.size();
      included.push_back(job->spec.id);
      it = this->dirty.erase(it);
    }
    if (included.empty()) {
      return;
    }
    this->writes.emplace(write.id, std::move(included));
    this->effects.emplace_back(std::move(write));
  }
}

std::optional<Time> Scheduler::NextWrite() const {
  if (this->dirty.empty() || this->writes.size() >= kMaxWrites) {
    return std::nullopt;
  }
  return std::max(this->write_retry,
                  this->last_write_at + this->limits.write_interval);
}

void Scheduler::OnWritten(std::uint64_t id,
                          const WriteResult& result,
                          Time now) {
  const auto found = this->writes.find(id);
  if (found == this->writes.end()) {
    return;
  }
  const std::vector<JobId> included = std::move(found->second);
  this->writes.erase(found);
  for (const auto& [job_id, revision] : result.revisions) {
    if (Job* job = this->FindJob(job_id)) {
      job->revision = revision;
    }
  }
  const bool written = result.answer == WriteAnswer::kWritten;
  if (result.answer == WriteAnswer::kUnavailable) {
    this->write_retry = now + kWriteRetry;
  }
  for (const JobId& job_id : included) {
    Job* job = this->FindJob(job_id);
    if (job == nullptr) {
      continue;
    }
    if (written && job->erasing) {
      this->jobs.erase(job_id);
      continue;
    }
    if (written) {
      job->stored_change = std::max(job->stored_change, job->writing_change);
      job->revision = result.revision;
    }
    job->writing_change = 0;
    job->revision_unknown = result.answer == WriteAnswer::kUnknown;
    if (!written || job->change_number > job->stored_change) {
      this->dirty.insert(job_id);
    }
  }
  if (written) {
    for (auto& [vm_id, vm] : this->fleet) {
      if (!vm->awaited_records.empty()) {
        this->Acknowledge(*vm, now);
      }
    }
  }
}

// Iterates over the tasks, which are fewer than all runs of the fleet.
bool Scheduler::HasRuns(Occurrence& occurrence) {
  for (Step& step : occurrence.steps) {
    for (Task& task : step.tasks) {
      const Vm* vm = this->FindVm(task.vm);
      if (vm != nullptr && vm->runs.contains(&task)) {
        return true;
      }
    }
  }
  return false;
}

bool Scheduler::HasRuns(Job& job) {
  return std::ranges::any_of(
      job.open, [this](auto& row) { return this->HasRuns(row.second); });
}

// Ended jobs are erased from the store and memory after the retention, in which
// their submitters can query them.
void Scheduler::EraseExpiredJobs(Time now) {
  while (!this->ended_jobs.empty() &&
         now - this->ended_jobs.front().first >= this->limits.retention) {
    const JobId id = this->ended_jobs.front().second;
    this->ended_jobs.pop_front();
    Job* job = this->FindJob(id);
    if (job == nullptr || job->erasing) {
      continue;
    }
    if (this->HasRuns(*job)) {
      this->ended_jobs.emplace_back(now, id);
      return;
    }
    job->erasing = true;
    this->MarkDirty(*job);
  }
}

}  // namespace kch::jobs
