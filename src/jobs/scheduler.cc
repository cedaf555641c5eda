#include "jobs/scheduler.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "jobs/due_times.h"
#include "jobs/record.h"

namespace kch::jobs {
namespace {

// Time in which a pool can be given more machines. What tasks do later does not
// count as demand now.
constexpr std::int64_t kHorizonMs = 2000;

}  // namespace

Scheduler::Scheduler(const Limits& limits) : limits(limits) {}

bool Scheduler::StepRef::operator<(const StepRef& other) const {
  return std::tie(this->job->spec.id, this->occurrence, this->step) <
         std::tie(other.job->spec.id, other.occurrence, other.step);
}

const StepSpec& Scheduler::StepRef::spec() const {
  return this->job->spec.steps[static_cast<std::size_t>(this->step)];
}

Step& Scheduler::StepRef::progress() const {
  return this->job->open.at(this->occurrence)
      .steps[static_cast<std::size_t>(this->step)];
}

void Scheduler::EmitLogEvent(
    std::string_view event,
    std::vector<std::pair<std::string_view, std::string>> fields) {
  this->effects.emplace_back(LogEvent{event, std::move(fields)});
}

Vm* Scheduler::FindVm(const VmId& id) {
  const auto found = this->fleet.find(id);
  return found == this->fleet.end() ? nullptr : found->second.get();
}

Job* Scheduler::FindJob(const JobId& id) {
  const auto found = this->jobs.find(id);
  return found == this->jobs.end() ? nullptr : found->second.get();
}

Task* Scheduler::FindTask(const TaskRef& ref) {
  Job* job = this->FindJob(ref.job);
  if (job == nullptr) {
    return nullptr;
  }
  const auto found = job->open.find(ref.occurrence);
  if (found == job->open.end()) {
    return nullptr;
  }
  auto& steps = found->second.steps;
  if (static_cast<std::size_t>(ref.step) >= steps.size()) {
    return nullptr;
  }
  auto& tasks = steps[static_cast<std::size_t>(ref.step)].tasks;
  return static_cast<std::size_t>(ref.index) >= tasks.size()
             ? nullptr
             : &tasks[static_cast<std::size_t>(ref.index)];
}

Scheduler::StepRef Scheduler::StepRefOf(const Task& task) {
  return {task.job, task.occurrence, task.step};
}

Step& Scheduler::StepOf(const Task& task) {
  return StepRefOf(task).progress();
}

// Jobs of a queue that was removed from the configuration keep the queue's
// settings at their acceptance.
const Queue& Scheduler::QueueOf(const Job& job) const {
  const auto found = this->config.queues.find(job.spec.queue.id);
  return found == this->config.queues.end() ? job.spec.queue : found->second;
}

Scheduler::Pool& Scheduler::PoolOf(const Job& job) {
  return this->pools[this->QueueOf(job).pool];
}

void Scheduler::SetConfig(const FleetConfig& next, Time /*now*/) {
  if (next.version < this->config.version) {
    return;
  }
  this->config = next;
  // A queue may have moved to another pool.
  for (auto& [id, pool] : this->pools) {
    pool.ready.clear();
  }
  for (auto& [id, job] : this->jobs) {
    this->UpdateAllReady(*job);
  }
}

void Scheduler::SetUnavailableZones(std::set<ZoneId> zones) {
  this->unavailable_zones = std::move(zones);
}

void Scheduler::SetVm(const VmFacts& facts, Time now) {
  if (const auto ended = this->ended_vms.find(facts.id);
      ended != this->ended_vms.end()) {
    if (ended->second.boot_ms == facts.boot_ms) {
      ended->second.registered = true;
      return;
    }
    this->ended_vms.erase(ended);
    this->effects.emplace_back(EraseEndedVmRecord{facts.id});
  }
  Vm* vm = this->FindVm(facts.id);
  if (vm != nullptr && vm->facts.boot_ms != facts.boot_ms &&
      facts.boot_ms != 0 && vm->facts.boot_ms != 0) {
    // The VM's reports may overtake its registration, which still describes
    // an earlier incarnation then.
    if (facts.boot_ms > vm->facts.boot_ms) {
      this->RestartVm(*vm, facts, now);
    }
    return;
  }
  if (vm == nullptr) {
    vm = this->fleet.emplace(facts.id, std::make_unique<Vm>())
             .first->second.get();
    vm->added = now;
    vm->next_poll = now;
    if (const auto late = this->late_starts.find(facts.id);
        late != this->late_starts.end()) {
      for (LateStart& start : late->second) {
        start.stop_due = true;
        start.stop_sent = Time();
        start.stop_answered = Time();
        start.earlier_clock = true;
        this->late_start_vms[start.task].insert(facts.id);
      }
    }
    this->EmitLogEvent("vm_added", {{"vm", facts.id.str()},
                                    {"pool", facts.pool.str()},
                                    {"zone", facts.zone.str()},
                                    {"address", facts.address}});
  } else if (vm->facts.pool != facts.pool) {
    this->pools[vm->facts.pool].vms.erase(facts.id);
  }
  const bool starts_leaving = facts.leaving && !vm->facts.leaving;
  vm->facts = facts;
  vm->registered = true;
  this->pools[facts.pool].vms[facts.id] = vm;
  if (starts_leaving) {
    this->EmitLogEvent(
        "vm_leaving",
        {{"vm", facts.id.str()}, {"runs", std::to_string(vm->runs.size())}});
    // Finite tasks may end while the VM drains; endless tasks have to start
    // elsewhere.
    const std::vector<Task*> runs(vm->runs.begin(), vm->runs.end());
    for (Task* task : runs) {
      if (task->spec().endless) {
        this->StopTask(*task, "vm_leaving");
      }
    }
  }
}

// Every run of the earlier incarnation has ended. A run that it never listed
// may be one of the new incarnation: that has received no fence and carries out
// what reaches it. Such a run stays where it is until a report of the new
// incarnation tells. If its order to start has no answer yet, the order may
// still be in transit, so a stop makes the VM refuse the run; that of an
// endless task is awaited first, see BarredAfter.
void Scheduler::RestartVm(Vm& vm, const VmFacts& facts, Time now) {
  struct Unlisted {
    Task* task = nullptr;
    bool accepted = false;
    bool starting = false;
    Time answered_at;
  };
  std::vector<Unlisted> unlisted;
  for (Task* task : vm.runs) {
    if (task->last_listed == 0 && task->Placed()) {
      unlisted.push_back({.task = task,
                          .accepted = task->phase == TaskPhase::kRunning,
                          .starting = task->phase == TaskPhase::kStarting,
                          .answered_at = task->answered_at});
    }
  }
  const VmFacts next = facts;
  // Orders to the earlier incarnation may have reached this one.
  const bool unknown_orders = !vm.reported;
  const bool ordered =
      unknown_orders || vm.earlier_orders || vm.lease_until_ms.has_value();
  // The next record replaces this one, without a time in which there is none.
  const bool earlier_record = vm.record_sent || vm.earlier_record;
  const bool cordoned = vm.cordoned;  // who cordoned it looks at its id
  vm.record_sent = false;
  vm.earlier_record = false;
  this->EmitLogEvent(
      "vm_restarted",
      {{"vm", next.id.str()},
       {"boot_ms", std::to_string(next.boot_ms)},
       {"runs", std::to_string(vm.runs.size())},
       {"unlisted", std::to_string(unlisted.size())},
       {"heard_ms_ago", std::to_string(ToMs(now - vm.clock_at))}});
  for (const Unlisted& run : unlisted) {
    this->Requeue(*run.task);
  }
  this->MarkRunsLost(vm, "vm_restarted");
  this->DropVm(next.id);
  this->SetVm(next, now);
  Vm& restarted = *this->FindVm(next.id);
  restarted.earlier_record = earlier_record;
  restarted.cordoned = cordoned;
  restarted.may_hold_earlier_lease = unknown_orders;
  restarted.earlier_orders = ordered;
  if (ordered) {
    restarted.earlier_lease_end = now + this->LongestGrantedLease();
  }
  for (const Unlisted& run : unlisted) {
    Task& task = *run.task;
    this->Place(task, restarted);
    if (run.accepted && !task.job->Ended()) {
      task.phase = TaskPhase::kRunning;
      task.answered_at = run.answered_at;
    } else if (run.starting && task.spec().endless && !task.job->Ended()) {
      // A stop could end it at work, see BarredAfter.
      task.phase = TaskPhase::kStarting;
      task.answered_at = run.answered_at;
      task.lease_until_ms = 0;
    } else {
      task.phase = TaskPhase::kStarting;
      this->StopTask(task, "vm_restarted");
    }
  }
  this->StopLateStarts(restarted, now);
}

void Scheduler::SetEndedVm(const VmId& id, std::int64_t boot_ms) {
  const Vm* vm = this->FindVm(id);
  const bool registered = vm != nullptr && vm->facts.boot_ms == boot_ms;
  this->ended_vms[id] = {.boot_ms = boot_ms, .registered = registered};
  if (registered) {
    this->DropVm(id);
  }
}

void Scheduler::RemoveVm(const VmId& id, Time now) {
  if (this->ended_vms.erase(id) > 0) {
    this->effects.emplace_back(EraseEndedVmRecord{id});
  }
  Vm* vm = this->FindVm(id);
  if (vm == nullptr) {
    return;
  }
  vm->registered = false;
  this->EmitLogEvent("vm_removed", {{"vm", id.str()},
                                    {"runs", std::to_string(vm->runs.size())}});
  // A VM that has not listed all may run tasks of the predecessor, or have run
  // them.
  if (vm->ends_known && vm->Settled()) {
    this->DropVm(id);
  } else {
    vm->next_poll = now;
  }
}

void Scheduler::SetPersistedVm(const VmRecord& record, Time now) {
  const VmFacts& facts = record.facts;
  if (this->ended_vms.contains(facts.id)) {
    this->effects.emplace_back(EraseVmRecord{facts.id});
    return;
  }
  Vm* vm = this->FindVm(facts.id);
  if (vm == nullptr) {
    this->SetVm(facts, now);
    vm = this->FindVm(facts.id);
    vm->registered = false;
  }
  vm->record_sent = true;
  vm->recorded = true;
  vm->record_earlier_lease = record.earlier_lease;
  vm->earlier_orders = true;
  // The predecessor may not have noticed that the VM has restarted.
  vm->may_hold_earlier_lease =
      record.earlier_lease || facts.boot_ms != vm->facts.boot_ms;
}

void Scheduler::OnVmPersisted(const VmId& id) {
  if (Vm* vm = this->FindVm(id)) {
    vm->recorded = true;
  }
}

void Scheduler::DropVm(const VmId& id) {
  const auto found = this->fleet.find(id);
  if (found == this->fleet.end()) {
    return;
  }
  if (found->second->record_sent || found->second->earlier_record) {
    this->effects.emplace_back(EraseVmRecord{id});
  }
  const Vm& vm = *found->second;
  this->EmitLogEvent("vm_dropped",
                     {{"vm", id.str()},
                      {"registered", vm.registered ? "yes" : "no"},
                      {"reported", vm.reported ? "yes" : "no"},
                      {"settled", vm.Settled() ? "yes" : "no"}});
  this->pools[vm.facts.pool].vms.erase(id);
  this->DropAdvice(id);
  this->vm_failures.Clear(id);
  this->fleet.erase(found);
}

void Scheduler::Cordon(const VmId& id, bool on) {
  if (Vm* vm = this->FindVm(id)) {
    vm->cordoned = on;
  }
}

// A VM that does not answer may have lost its tasks long before their lease
// expires.
bool Scheduler::Active(const Task& task, Time now) const {
  const auto vm = this->fleet.find(task.vm);
  return task.Active() && vm != this->fleet.end() &&
         !vm->second->unresponsive &&
         now - vm->second->clock_at <= 2 * this->limits.poll_wait;
}

std::int32_t Scheduler::Unavailable(const Step& step, Time now) const {
  return static_cast<std::int32_t>(std::ranges::count_if(
      step.tasks,
      [this, now](const Task& task) { return !this->Active(task, now); }));
}

std::int32_t Scheduler::OthersUnavailable(const Task& task, Time now) {
  return this->Unavailable(this->StepOf(task), now) -
         (this->Active(task, now) ? 0 : 1);
}

void Scheduler::EvictEndless(const VmId& id, Time now) {
  Vm* vm = this->FindVm(id);
  if (vm == nullptr || vm->unresponsive) {
    return;
  }
  const std::vector<Task*> runs(vm->runs.begin(), vm->runs.end());
  std::map<const Step*, std::int32_t> unavailable;
  std::size_t evicted = 0;
  for (Task* task : runs) {
    if (evicted >= this->limits.max_evictions) {
      break;
    }
    if (task->phase != TaskPhase::kRunning || !task->spec().endless) {
      continue;
    }
    const Step& step = this->StepOf(*task);
    const auto [count, added] = unavailable.try_emplace(&step);
    if (added) {
      count->second = this->Unavailable(step, now);
    }
    // The report that the task itself is active may arrive late, so only the
    // other tasks count.
    const bool active = this->Active(*task, now);
    const std::int32_t away = count->second - (active ? 0 : 1);
    const std::int32_t max_unavailable =
        std::max(1, task->spec().max_unavailable);
    if (away >= max_unavailable) {
      continue;
    }
    const Pool& pool = this->PoolOf(*task->job);
    if (this->HeldBack(*task->job)) {
      continue;  // it could not start elsewhere
    }
    const Resources need = task->spec().Occupies();
    const Vm* target =
        this->ChooseVm(*task, {need, this->VmsWithRoom(pool, need, now)}, now);
    if (target != nullptr && !target->cordoned) {
      this->EmitLogEvent("run_evicted",
                         {{"task", task->Ref().Name()},
                          {"vm", id.str()},
                          {"away", std::to_string(away)},
                          {"may_miss", std::to_string(max_unavailable)}});
      this->StopTask(*task);
      ++evicted;
      count->second += active ? 1 : 0;
    }
  }
}

void Scheduler::EndVm(const VmId& id) {
  if (Vm* vm = this->FindVm(id)) {
    this->MarkRunsLost(*vm, "ended_by_order");
    this->ended_vms[id] = {.boot_ms = vm->facts.boot_ms};
    this->effects.emplace_back(PersistEndedVm{id, vm->facts.boot_ms});
    this->DropVm(id);
  }
}

Scheduler::Demand Scheduler::DemandOf(const PoolId& id, Time now) const {
  Demand demand;
  const auto found = this->pools.find(id);
  if (found == this->pools.end()) {
    return demand;
  }
  for (const auto& [vm_id, vm] : found->second.vms) {
    demand.used += vm->used;
    demand.endless += vm->endless_used;
    if (this->Usable(*vm, now)) {
      demand.capacity += vm->facts.capacity;
    }
  }
  for (const StepRef& step_ref : found->second.ready) {
    const StepSpec& spec = step_ref.spec();
    const Resources waiting = spec.Occupies() * step_ref.progress().waiting;
    demand.waiting += waiting;
    if (spec.endless) {
      demand.endless += waiting;
    } else {
      demand.waiting_ms += waiting * std::min(spec.estimate_ms, kHorizonMs);
    }
  }
  demand.arrived = found->second.arrived;
  return demand;
}

double Scheduler::UtilizationWithout(const Vm& vm,
                                     const Demand& demand,
                                     Time now) const {
  Resources capacity = demand.capacity;
  if (this->Usable(vm, now)) {
    capacity -= vm.facts.capacity;
  }
  // A pool that loses its last VM counts as full, whatever its demand.
  constexpr double full = 10;
  return capacity.cpu_m <= 0 || capacity.memory_mb <= 0
             ? full
             : DominantShare(demand.used + demand.waiting, capacity);
}

void Scheduler::AddJob(JobSpec spec,
                       std::string_view progress,
                       std::uint64_t revision,
                       bool inherited,
                       Time arrived,
                       Time now) {
  const JobId id = spec.id;
  if (this->jobs.contains(id)) {
    return;
  }
  auto owned = std::make_unique<Job>();
  Job& job = *owned;
  job.spec = std::move(spec);
  job.inherited = inherited;
  job.arrived = arrived;
  job.revision = revision;
  if (!progress.empty()) {
    if (auto entered = DecodeProgress(progress, job); !entered) {
      // Running the job from the beginning could repeat finished tasks.
      this->EmitLogEvent("job_skipped", {{"job", id.str()},
                                         {"error", entered.error().Text()}});
      return;
    }
    job.has_started = true;
  }
  this->jobs.emplace(id, std::move(owned));
  if (!inherited) {
    this->EmitLogEvent("job_seen", {{"job", id.str()},
                                    {"queue", job.spec.queue.id.str()},
                                    {"team", job.spec.team.str()}});
  }
  if (job.spec.schedule.times > 0) {
    this->scheduled.insert(id);
  } else {
    if (!inherited) {
      this->CountArrival(job);
    }
    if (!job.has_started) {
      ++this->pending[job.spec.queue.id];
    }
    if (job.open.empty()) {
      job.OpenOccurrence(0);
    }
  }
  this->UpdateAllReady(job);
  if (this->early_cancels.erase(id) > 0) {
    this->CancelJob(id, now);
  }
}

// Endless tasks occupy a pool for as long as they are placed and so have no
// work that could be summed up. Of longer tasks, only the part counts in which
// the pool can be given more machines.
void Scheduler::CountArrival(const Job& job) {
  if (job.spec.Endless()) {
    return;
  }
  ArrivedWork& arrived = this->PoolOf(job).arrived;
  ++arrived.jobs;
  for (const StepSpec& step : job.spec.steps) {
    arrived.resource_ms +=
        step.Occupies() * (step.count * std::min(step.estimate_ms, kHorizonMs));
  }
}

// The job can be queried until its record is erased.
void Scheduler::AddEnded(const JobId& id,
                         const JobView& view,
                         std::uint64_t revision,
                         Time now) {
  const auto [row, added] = this->jobs.try_emplace(id);
  if (!added) {
    return;
  }
  row->second = std::make_unique<Job>();
  Job& job = *row->second;
  job.spec.id = id;
  job.spec.team = view.team;
  job.spec.queue.id = view.queue;
  job.state = view.state;
  job.revision = revision;
  this->ended_jobs.emplace_back(now, id);
  for (const VmId& vm_id : this->unknown_orphan_vms) {
    Vm* vm = this->FindVm(vm_id);
    if (vm == nullptr) {
      continue;
    }
    for (OrphanedRun& orphan : vm->orphans) {
      if (orphan.unknown_size && orphan.task.job == id) {
        orphan.team = view.team;
      }
    }
  }
}

void Scheduler::CancelJob(const JobId& id, Time now) {
  Job* job = this->FindJob(id);
  if (job == nullptr) {
    this->early_cancels.insert(id);
    return;
  }
  if (!job->Ended()) {
    this->EndJob(*job, JobState::kCancelled, now);
  }
}

void Scheduler::OpenOccurrence(Job& job, std::int32_t number) {
  const Occurrence& occurrence = job.OpenOccurrence(number);
  this->CountArrival(job);
  this->UpdateReady(job, occurrence);
}

// Finished occurrences are closed here and not when their last task ends, since
// callers may still refer to that task.
void Scheduler::OpenDue(Job& job, std::int64_t wall_ms) {
  for (auto row = job.open.begin(); row != job.open.end();) {
    const bool closed =
        job.finished.Contains(row->first) && !this->HasRuns(row->second);
    row = closed ? job.open.erase(row) : std::next(row);
  }
  const Duration critical_path =
      std::chrono::milliseconds(job.CriticalPathMs());
  const Duration useful =
      kLateObjectives * Objective(job, this->QueueOf(job)) - critical_path;
  for (const std::int32_t number : OccurrencesToOpen(
           job, std::max<std::int64_t>(0, ToMs(useful)), wall_ms)) {
    this->OpenOccurrence(job, number);
  }
}

void Scheduler::OpenAllDue(std::int64_t wall_ms) {
  for (auto id = this->scheduled.begin(); id != this->scheduled.end();) {
    Job& job = *this->jobs.at(*id);
    this->OpenDue(job, wall_ms);
    id = job.AllOpened() ? this->scheduled.erase(id) : std::next(id);
  }
}

Scheduler::DueOccurrences Scheduler::CountDue(std::int64_t wall_ms) const {
  DueOccurrences count;
  for (const JobId& id : this->scheduled) {
    const Job& job = *this->jobs.at(id);
    const auto open = std::ranges::count_if(job.open, [&job](const auto& row) {
      return !job.finished.Contains(row.first);
    });
    count.open += open;
    count.held += std::max<std::int64_t>(
        0, job.spec.DueBy(wall_ms) - job.finished.size() - open);
  }
  return count;
}

// A predecessor may have started tasks of an occurrence that is not open here
// yet, or, if its wall clock is ahead, not even due. Only the VM knows of them
// until their ends are recorded.
void Scheduler::OpenReported(const TaskRef& ref, Time now) {
  constexpr std::int64_t max_clock_difference_ms = 10'000;
  Job* job = this->FindJob(ref.job);
  if (job == nullptr || job->Ended() || !this->scheduled.contains(ref.job) ||
      ref.occurrence >= job->spec.Occurrences()) {
    return;
  }
  const std::int64_t wall_ms =
      this->recovery_wall_ms + ToMs(now - this->recovery_began);
  const std::int64_t due_ms = job->spec.DueMs(ref.occurrence);
  if (job->FirstUnopened(ref.occurrence) == ref.occurrence &&
      due_ms <= wall_ms + max_clock_difference_ms) {
    this->EmitLogEvent("occurrence_reported",
                       {{"task", ref.Name()},
                        {"due_in_ms", std::to_string(due_ms - wall_ms)}});
    this->OpenOccurrence(*job, ref.occurrence);
  }
}

void Scheduler::UpdateReady(Job& job,
                            const Occurrence& occurrence,
                            std::int32_t step) {
  const StepRef step_ref{&job, occurrence.number, step};
  auto& ready = this->PoolOf(job).ready;
  if (!job.Ended() &&
      occurrence.steps[static_cast<std::size_t>(step)].waiting > 0 &&
      job.Ready(occurrence, step)) {
    ready.insert(step_ref);
  } else {
    ready.erase(step_ref);
  }
}

void Scheduler::UpdateReady(Job& job, const Occurrence& occurrence) {
  for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
    this->UpdateReady(job, occurrence, static_cast<std::int32_t>(s));
  }
}

void Scheduler::UpdateAllReady(Job& job) {
  for (const auto& [number, occurrence] : job.open) {
    this->UpdateReady(job, occurrence);
  }
}

void Scheduler::MarkStarted(Job& job) {
  if (job.has_started) {
    return;
  }
  job.has_started = true;
  if (job.spec.schedule.times == 0) {
    --this->pending[job.spec.queue.id];
  }
  if (job.state == JobState::kQueued) {
    job.state = JobState::kRunning;
  }
}

void Scheduler::Place(Task& task, Vm& vm) {
  task.vm = vm.facts.id;
  task.inferred_end = {};
  task.answered_at = Time();
  task.last_listed = 0;
  task.proved_vm = false;
  vm.runs.insert(&task);
  vm.used += task.spec().Occupies();
  if (task.spec().endless) {
    vm.endless_used += task.spec().Occupies();
  }
  this->in_use[task.job->spec.team] += task.spec().need;
  Step& step = this->StepOf(task);
  --step.waiting;
  this->UpdateReady(*task.job, task.job->open.at(task.occurrence), task.step);
}

void Scheduler::Release(Task& task) {
  if (Vm* vm = this->FindVm(task.vm); vm != nullptr && vm->runs.erase(&task)) {
    vm->used -= task.spec().Occupies();
    if (task.spec().endless) {
      vm->endless_used -= task.spec().Occupies();
    }
    this->in_use[task.job->spec.team] -= task.spec().need;
  }
}

void Scheduler::Requeue(Task& task) {
  this->Release(task);
  if (task.phase == TaskPhase::kDone) {
    return;  // the ended run was no longer needed
  }
  if (task.phase != TaskPhase::kWaiting) {
    task.phase = TaskPhase::kWaiting;
    ++this->StepOf(task).waiting;
  }
  task.answered_at = Time();
  task.resend_stop = false;
  task.percent = 0;
  task.pace = 100;
  this->UpdateReady(*task.job, task.job->open.at(task.occurrence), task.step);
}

void Scheduler::MarkDirty(Job& job) {
  ++job.change_number;
  this->dirty.insert(job.spec.id);
}

void Scheduler::EndJob(Job& job, JobState state, Time now) {
  if (!job.has_started && job.spec.schedule.times == 0) {
    --this->pending[job.spec.queue.id];
    job.has_started = true;
  }
  job.state = state;
  this->ended_jobs.emplace_back(now, job.spec.id);
  this->scheduled.erase(job.spec.id);
  std::size_t stopped = 0;
  for (auto& [number, occurrence] : job.open) {
    for (Step& step : occurrence.steps) {
      for (Task& task : step.tasks) {
        if (task.phase == TaskPhase::kStarting ||
            task.phase == TaskPhase::kRunning) {
          this->StopTask(task);
          ++stopped;
        }
      }
    }
  }
  this->UpdateAllReady(job);
  this->DropAdvice(job, std::nullopt);
  this->MarkDirty(job);
  switch (state) {
    case JobState::kCompleted:
      ++this->counter_values.completed_jobs;
      break;
    case JobState::kFailed:
      ++this->counter_values.failed_jobs;
      break;
    default:
      ++this->counter_values.cancelled_jobs;
      break;
  }
  this->EmitLogEvent("job_ended",
                     {{"job", job.spec.id.str()},
                      {"state", std::string(NameOf(state))},
                      {"stopped_runs", std::to_string(stopped)},
                      {"age_ms", std::to_string(ToMs(now - job.arrived))}});
}

std::optional<JobView> Scheduler::View(const JobId& id) const {
  const auto found = this->jobs.find(id);
  if (found == this->jobs.end()) {
    return std::nullopt;
  }
  const Job& job = *found->second;
  JobView view{job.state, job.spec.team, job.spec.queue.id};
  // An end is reported only once it is stored, so that no successor contradicts
  // it.
  if (job.Ended() && job.stored_change != job.change_number) {
    view.state = JobState::kRunning;
  }
  return view;
}

std::int64_t Scheduler::Pending(const QueueId& queue) const {
  const auto found = this->pending.find(queue);
  return found == this->pending.end() ? 0 : found->second;
}

std::vector<Effect> Scheduler::TakeEffects() {
  return std::exchange(this->effects, {});
}

}  // namespace kch::jobs
