#include <algorithm>
#include <optional>
#include <utility>

#include "jobs/scheduler.h"

// Selection of the waiting tasks to start and of their VMs.

namespace kch::jobs {
namespace {

constexpr auto kWaitsLogInterval = std::chrono::seconds(1);
// An endless task that waits for longer is told of.
constexpr auto kLongWait = std::chrono::seconds(2);
// VMs of a pool whose clocks are read in one pass.
constexpr std::size_t kMaxClockReads = 16;

}  // namespace

bool Scheduler::Usable(const Vm& vm, Time now) const {
  return !vm.cordoned && this->Available(vm, now);
}

// While an endless task waits, no other task of its step may be evicted from a
// VM that is being emptied. So if there is no other VM, the task is placed on a
// cordoned one. Only VMs that still run an endless task qualify: these are not
// ordered down before that task has left as well.
bool Scheduler::UsableForEndless(const Vm& vm, Time now) const {
  return this->Available(vm, now) &&
         std::ranges::any_of(vm.runs, [](const Task* task) {
           return task->spec().endless && task->phase == TaskPhase::kRunning;
         });
}

bool Scheduler::Available(const Vm& vm, Time now) const {
  return vm.registered && vm.recorded && vm.reported && vm.clock_known &&
         !vm.clock_doubtful && !vm.unresponsive && !vm.unknown_orphan &&
         !vm.late_starts_due && !vm.facts.leaving && vm.ejected_until <= now &&
         vm.refused_until <= now &&
         !this->unavailable_zones.contains(vm.facts.zone);
}

bool Scheduler::WithinTeamLimit(const Job& job, const Resources& more) const {
  const auto found = this->config.teams.find(job.spec.team);
  if (found == this->config.teams.end()) {
    return true;
  }
  const Resources& most = found->second.maximum;
  Resources total = more;
  total += this->unattributed_use;
  for (const auto* amounts :
       {&this->in_use, &this->unreported_use, &this->unknown_use}) {
    if (const auto amount = amounts->find(job.spec.team);
        amount != amounts->end()) {
      total += amount->second;
    }
  }
  const auto within = [](std::int64_t amount, std::int64_t limit) {
    return limit == 0 || amount <= limit;
  };
  return within(total.cpu_m, most.cpu_m) &&
         within(total.memory_mb, most.memory_mb) &&
         within(total.gpus, most.gpus);
}

// Inherited tasks that no VM has reported may run on VMs of their pools that
// have not reported. Up to the capacity of these VMs they count against the
// limits of their teams.
void Scheduler::EstimateUnreportedUse() {
  this->unreported_use.clear();
  if (this->unreached_pools.empty()) {
    return;
  }
  std::map<PoolId, std::map<TeamId, Resources>> wanted;
  for (const auto& [id, pool] : this->pools) {
    for (const StepRef& step_ref : pool.ready) {
      const Job& job = *step_ref.job;
      if (!job.inherited) {
        continue;
      }
      for (const PoolId& may_run : this->PoolsOf(job)) {
        if (this->unreached_pools.contains(may_run)) {
          wanted[may_run][job.spec.team] +=
              step_ref.spec().need * step_ref.progress().waiting;
        }
      }
    }
  }
  for (const auto& [id, by_team] : wanted) {
    Resources room;
    for (const auto& [vm_id, vm] : this->pools.at(id).vms) {
      if (!vm->reported) {
        room += vm->facts.capacity;
      }
    }
    for (const auto& [team, need] : by_team) {
      this->unreported_use[team] += {std::min(need.cpu_m, room.cpu_m),
                                     std::min(need.memory_mb, room.memory_mb),
                                     std::min(need.gpus, room.gpus)};
    }
  }
}

// Orphaned runs of unknown size may use all that is left of their VM. They
// count against the limit of their team or, while that is not known, of every
// team.
void Scheduler::EstimateUnknownUse() {
  this->unknown_use.clear();
  this->unattributed_use = {};
  std::erase_if(this->unknown_orphan_vms, [this](const VmId& id) {
    const Vm* vm = this->FindVm(id);
    return vm == nullptr || !vm->unknown_orphan;
  });
  if (this->unknown_orphan_vms.empty()) {
    this->sought_jobs.clear();
  }
  for (const VmId& id : this->unknown_orphan_vms) {
    const Vm& vm = *this->FindVm(id);
    std::set<TeamId> teams;
    for (const OrphanedRun& orphan : vm.orphans) {
      if (orphan.unknown_size) {
        teams.insert(orphan.team);
      }
    }
    const Resources left = vm.Free();
    if (teams.contains(TeamId())) {
      this->unattributed_use += left;
      continue;
    }
    for (const TeamId& team : teams) {
      this->unknown_use[team] += left;
    }
  }
}

// Whether tasks of inherited jobs may be at work on VMs of the pool that have
// not answered this scheduler, or have ended on VMs that have not listed all
// ends.
bool Scheduler::MayRunInherited(const Pool& pool, Time now) const {
  return pool.unreached_at &&
         std::ranges::any_of(pool.vms, [&](const auto& row) {
           return !this->RunsKnown(*row.second, *pool.unreached_at, now);
         });
}

void Scheduler::UpdateUnreachedPools(Time now) {
  this->unreached_pools.clear();
  for (const auto& [id, pool] : this->pools) {
    if (this->MayRunInherited(pool, now)) {
      this->unreached_pools.insert(id);
    }
  }
}

// Pools where a predecessor may have started tasks of a job: a configuration
// may have led its queue to another pool since.
std::set<PoolId> Scheduler::PoolsOf(const Job& job) const {
  const QueueId& queue = job.spec.queue.id;
  const auto earlier = this->config.earlier_pools.find(queue);
  std::set<PoolId> found;
  if (earlier != this->config.earlier_pools.end()) {
    found = earlier->second;
  }
  found.insert({this->QueueOf(job).pool, job.spec.queue.pool});
  return found;
}

// Whether tasks of the job may be at work on VMs that have not answered this
// scheduler.
bool Scheduler::HeldBack(const Job& job) const {
  return job.inherited && !this->unreached_pools.empty() &&
         std::ranges::any_of(this->PoolsOf(job), [this](const PoolId& pool) {
           return this->unreached_pools.contains(pool);
         });
}

void Scheduler::Plan(Time now,
                     std::int64_t wall_ms,
                     std::optional<std::size_t> max_starts) {
  if (this->in_recovery || this->superseded) {
    return;
  }
  this->UpdateUnreachedPools(now);
  this->EstimateUnreportedUse();
  this->EstimateUnknownUse();
  this->OpenAllDue(wall_ms);
  this->LogWaitingEndless(now);
  this->advice_request.reset();
  std::vector<Pool*> planned;
  for (auto& [id, pool] : this->pools) {
    if (!pool.ready.empty() && !pool.vms.empty()) {
      planned.push_back(&pool);
    }
  }
  // Each pool gets an equal share of what those before it have left. If that is
  // a single start, it goes to the first, so the pools take turns.
  if (max_starts.value_or(0) > 0 && !planned.empty()) {
    const std::uint64_t first = this->bounded_passes++ % planned.size();
    std::rotate(planned.begin(),
                planned.begin() + static_cast<std::ptrdiff_t>(first),
                planned.end());
  }
  std::uint64_t left =
      max_starts.value_or(planned.size() * this->limits.max_starts_per_pass);
  for (std::size_t i = 0; i < planned.size() && left > 0; ++i) {
    const std::uint64_t pools = planned.size() - i;
    const std::uint64_t before = this->counter_values.starts;
    this->PlanPool(
        *planned[i],
        std::min(this->limits.max_starts_per_pass, (left + pools - 1) / pools),
        now);
    left -= std::min(left, this->counter_values.starts - before);
  }
  this->SendAdviceRequest();
}

// An endless task has to run all the time, so why one waits for long is told
// from the state of its pool.
void Scheduler::LogWaitingEndless(Time now) {
  if (now < this->next_waits_log) {
    return;
  }
  this->next_waits_log = now + kWaitsLogInterval;
  std::map<StepKey, Time> waits;
  for (const auto& [id, pool] : this->pools) {
    std::int32_t tasks = 0;
    bool held_back = false;
    Duration longest{};
    for (const StepRef& step_ref : pool.ready) {
      if (!step_ref.spec().endless) {
        continue;
      }
      const StepKey key{step_ref.job->spec.id, step_ref.occurrence,
                        step_ref.step};
      const auto known = this->endless_waits.find(key);
      const Time since =
          known == this->endless_waits.end() ? now : known->second;
      waits.emplace(key, since);
      if (now - since >= kLongWait) {
        tasks += step_ref.progress().waiting;
        held_back = held_back || this->HeldBack(*step_ref.job);
        longest = std::max(longest, now - since);
      }
    }
    if (tasks == 0) {
      continue;
    }
    std::int64_t missing = 0;
    for (const PlacementNeed& need : this->PlacementNeedsOf(id, now)) {
      missing = std::max(missing, need.Missing());
    }
    const auto& vms = pool.vms;
    const auto count = [&vms](const auto& holds) {
      return std::to_string(std::ranges::count_if(
          vms, [&holds](const auto& row) { return holds(*row.second); }));
    };
    this->EmitLogEvent(
        "endless_waits",
        {{"pool", id.str()},
         {"tasks", std::to_string(tasks)},
         {"longest_ms", std::to_string(ToMs(longest))},
         {"held_back", held_back ? "yes" : "no"},
         {"places_missing", std::to_string(missing)},
         {"vms", std::to_string(pool.vms.size())},
         {"usable",
          count([this, now](const Vm& vm) { return this->Usable(vm, now); })},
         {"silent", count([](const Vm& vm) { return vm.unresponsive; })},
         {"unrecorded", count([](const Vm& vm) { return !vm.recorded; })},
         {"unreported", count([](const Vm& vm) { return !vm.reported; })}});
  }
  this->endless_waits = std::move(waits);
}

// VMs that have room for the smallest need of the waiting tasks. In a full pool
// these are few, which bounds the cost of a pass however long the backlog is.
std::vector<Scheduler::Candidate> Scheduler::VmsWithRoom(
    const Pool& pool,
    const Resources& smallest_need,
    Time now) const {
  std::vector<Candidate> room;
  for (const auto& [id, vm] : pool.vms) {
    if (!smallest_need.Within(vm->Free())) {
      continue;
    }
    const bool usable = this->Usable(*vm, now);
    if (usable || this->UsableForEndless(*vm, now)) {
      room.push_back({vm, usable});
    }
  }
  return room;
}

std::vector<Scheduler::QueuedWork> Scheduler::QueuedWorkOf(const PoolId& id,
                                                           Time now) const {
  std::map<std::pair<QueueId, TeamId>, Resources> sums;
  const auto found = this->pools.find(id);
  if (found == this->pools.end()) {
    return {};
  }
  for (const StepRef& step_ref : found->second.ready) {
    const Job& job = *step_ref.job;
    const StepSpec& spec = step_ref.spec();
    const Occurrence& occurrence = job.open.at(step_ref.occurrence);
    if (spec.endless || RankStep(job, occurrence, this->QueueOf(job),
                                 job.DueAt(step_ref.occurrence), now)
                                .timeliness == Timeliness::kMissed) {
      continue;
    }
    Resources& sum = sums[{job.spec.queue.id, job.spec.team}];
    sum += spec.Occupies() * spec.estimate_ms * step_ref.progress().waiting;
    for (std::size_t later = static_cast<std::size_t>(step_ref.step) + 1;
         later < job.spec.steps.size(); ++later) {
      const StepSpec& next = job.spec.steps[later];
      if (std::ranges::find(next.depends_on, step_ref.step) !=
          next.depends_on.end()) {
        sum += next.Occupies() * next.estimate_ms * next.count;
      }
    }
  }
  std::vector<QueuedWork> rows;
  rows.reserve(sums.size());
  for (const auto& [key, resource_ms] : sums) {
    rows.push_back({key.first, key.second, resource_ms});
  }
  return rows;
}

// A VM that has been idle for long is asked for its clock before it is given
// anything: by the last reading, its lease would be short or over.
void Scheduler::ReadOldClocks(std::vector<Candidate>& room, Time now) const {
  std::size_t reads = 0;
  std::erase_if(room, [&](const Candidate& candidate) {
    Vm& vm = *candidate.vm;
    if (vm.ClockAt(now) - vm.LeaseClockAt(now) <=
        ToMs(this->limits.lease) / 2) {
      return false;
    }
    if (!vm.poll_pending && ++reads <= kMaxClockReads) {
      vm.next_poll = std::min(vm.next_poll, now);
    }
    return true;
  });
}

void Scheduler::PlanPool(Pool& pool, std::uint64_t max_starts, Time now) {
  CandidateSet room;
  room.smallest_need = pool.ready.begin()->spec().Occupies();
  for (const StepRef& step_ref : pool.ready) {
    const Resources need = step_ref.spec().Occupies();
    room.smallest_need = {
        std::min(room.smallest_need.cpu_m, need.cpu_m),
        std::min(room.smallest_need.memory_mb, need.memory_mb),
        std::min(room.smallest_need.gpus, need.gpus)};
  }
  room.vms = this->VmsWithRoom(pool, room.smallest_need, now);
  this->ReadOldClocks(room.vms, now);
  if (room.vms.empty()) {
    return;
  }
  std::vector<RankedStep> order;
  order.reserve(pool.ready.size());
  for (const StepRef& step_ref : pool.ready) {
    const Job& job = *step_ref.job;
    if (this->HeldBack(job)) {
      continue;
    }
    order.push_back(
        {RankStep(job, job.open.at(step_ref.occurrence), this->QueueOf(job),
                  job.DueAt(step_ref.occurrence), now),
         step_ref});
  }
  // Most of a backlog is not reached, so a heap replaces a full sort.
  const auto later = [](const RankedStep& left, const RankedStep& right) {
    if (left.rank != right.rank) {
      return right.rank < left.rank;
    }
    return right.step_ref.job->spec.id < left.step_ref.job->spec.id;
  };
  std::ranges::make_heap(order, later);
  const std::uint64_t last_start = this->counter_values.starts + max_starts;
  // The need of a task for which no VM had room; larger tasks are skipped.
  std::optional<Resources> too_large;
  while (!order.empty() && !room.vms.empty() &&
         this->counter_values.starts < last_start) {
    std::ranges::pop_heap(order, later);
    const RankedStep ranked = order.back();
    order.pop_back();
    const StepSpec& step = ranked.step_ref.spec();
    if (too_large && too_large->Within(step.Occupies())) {
      continue;
    }
    const std::uint64_t starts = this->counter_values.starts;
    const bool placed =
        step.gang ? this->PlanGang(ranked, pool, room, now)
                  : this->PlanStep(ranked, pool, room, last_start, now);
    if (this->counter_values.starts != starts) {
      std::erase_if(room.vms, [&room](const Candidate& candidate) {
        return !room.smallest_need.Within(candidate.vm->Free());
      });
    }
    const bool plain = step.label.empty() && step.max_per_vm == 0 &&
                       !step.gang &&
                       !this->QueueOf(*ranked.step_ref.job).advised;
    if (!placed && plain &&
        this->WithinTeamLimit(*ranked.step_ref.job, step.need)) {
      too_large = step.Occupies();
    }
  }
}

// Starts as many waiting tasks as fit, until `last_start` have been started;
// false if a task was not placed for want of room.
bool Scheduler::PlanStep(const RankedStep& ranked,
                         Pool& pool,
                         const CandidateSet& room,
                         std::uint64_t last_start,
                         Time now) {
  const StepRef& step_ref = ranked.step_ref;
  Step& step = step_ref.progress();
  std::string started;
  std::int64_t last_run = 0;
  bool all = true;
  for (Task& task : step.tasks) {
    // An orphaned run is at work until its VM no longer lists it.
    if (task.phase != TaskPhase::kWaiting || this->HasOrphan(task) ||
        this->MayRunLate(task, now)) {
      continue;
    }
    if (this->counter_values.starts >= last_start) {
      break;
    }
    const bool within = this->WithinTeamLimit(*step_ref.job, task.spec().need);
    Vm* vm = within ? this->ChooseVm(task, room, now) : nullptr;
    if (vm == nullptr) {
      all = false;
      if (within) {
        this->PrepareAdviceRequest(ranked, pool, now);
      }
      break;
    }
    this->Start(task, *vm, std::max(task.run, task.run_floor) + 1, now);
    last_run = std::max(last_run, task.run);
    started += (started.empty() ? "" : " ") + std::to_string(task.index) + "@" +
               vm->facts.id.str();
  }
  if (!started.empty()) {
    this->EmitLogEvent(
        "step_started",
        {{"job", step_ref.job->spec.id.str()},
         {"step", std::to_string(step_ref.occurrence) + "." +
                      std::to_string(step_ref.step)},
         {"pool", this->QueueOf(*step_ref.job).pool.str()},
         {"tasks", started},
         {"left", std::to_string(step.waiting)},
         {"run", std::to_string(last_run)},
         {"inherited", step_ref.job->inherited ? "yes" : "no"},
         {"age_ms", std::to_string(ToMs(now - step_ref.job->arrived))},
         {"config", std::to_string(this->config.version)}});
  }
  return all;
}

// Starts all tasks of a gang or none; on one rack where the step requires or
// prefers that and a rack has room.
bool Scheduler::PlanGang(const RankedStep& ranked,
                         Pool& pool,
                         const CandidateSet& candidates,
                         Time now) {
  const StepRef& step_ref = ranked.step_ref;
  Step& step = step_ref.progress();
  const bool at_work =
      std::ranges::any_of(step.tasks, [this, now](const Task& task) {
        return this->HasOrphan(task) || this->MayRunLate(task, now);
      });
  if (at_work || step.waiting != static_cast<std::int32_t>(step.tasks.size())) {
    return true;  // members of an earlier run have not ended yet
  }
  const bool advised = this->QueueOf(*step_ref.job).advised;
  const StepSpec& spec = step_ref.spec();
  Resources total;
  std::int64_t run = 0;
  std::string checkpoint;
  for (const Task& task : step.tasks) {
    total += spec.need;
    run = std::max({run, task.run, task.run_floor});
    // The checkpoint of any member is valid for all.
    checkpoint = std::max(checkpoint, task.checkpoint);
  }
  if (!this->WithinTeamLimit(*step_ref.job, total)) {
    return false;
  }
  std::vector<std::pair<Vm*, std::int32_t>> room;
  std::map<RackId, std::int32_t> by_rack;
  std::int32_t everywhere = 0;
  for (const auto& [vm, usable] : candidates.vms) {
    if (!usable || !vm->facts.HasLabel(spec.label) ||
        (advised && this->PermitOf(step_ref, vm->facts.id, now) == nullptr)) {
      continue;
    }
    Resources free = vm->Free();
    std::int32_t fits = 0;
    while (spec.Occupies().Within(free) && fits < spec.count &&
           (spec.max_per_vm == 0 || fits < spec.max_per_vm)) {
      free -= spec.Occupies();
      ++fits;
    }
    room.emplace_back(vm, fits);
    by_rack[vm->facts.rack] += fits;
    everywhere += fits;
  }
  if (everywhere < spec.count) {
    this->PrepareAdviceRequest(ranked, pool, now);
    return false;
  }
  std::optional<RackId> rack;
  if (spec.single_rack || !spec.preferred_rack.empty()) {
    for (const auto& [id, fits] : by_rack) {
      if (fits >= spec.count && (!rack || id == spec.preferred_rack)) {
        rack = id;
      }
    }
  }
  auto member = step.tasks.begin();
  for (auto& [vm, fits] : room) {
    if (rack && vm->facts.rack != *rack) {
      continue;
    }
    for (; fits > 0 && member != step.tasks.end(); --fits, ++member) {
      member->checkpoint = checkpoint;
      this->Start(*member, *vm, run + 1, now);
    }
  }
  this->EmitLogEvent("gang_started", {{"job", step_ref.job->spec.id.str()},
                                      {"step", std::to_string(step_ref.step)},
                                      {"run", std::to_string(run + 1)},
                                      {"tasks", std::to_string(spec.count)}});
  return true;
}

// Tasks of a step that are placed on a VM.
std::int32_t Scheduler::TasksOn(const Vm& vm, const StepRef& step_ref) {
  return static_cast<std::int32_t>(
      std::ranges::count_if(vm.runs, [&step_ref](const Task* task) {
        return task->job == step_ref.job && task->step == step_ref.step &&
               task->occurrence == step_ref.occurrence;
      }));
}

// Best fit: the VM with the least free capacity that fits the task. Demand
// moves between pools, and only idle machines can be moved to another pool or
// to standby. Endless tasks of a step are spread according to
// `max_unavailable`, so that a VM can be emptied, or fail, at once. Serving and
// backfill tasks interfere with each other and are placed on separate VMs where
// possible.
Vm* Scheduler::ChooseVm(const Task& task, const CandidateSet& room, Time now) {
  const StepSpec& spec = task.spec();
  const StepRef step_ref = StepRefOf(task);
  const bool advised = this->QueueOf(*task.job).advised;
  const auto score = [&](const Vm& vm) {
    std::int32_t conflicts = 0;
    std::int32_t siblings = 0;
    if (spec.endless || spec.backfill || spec.target_ms > 0) {
      for (const Task* other : vm.runs) {
        const StepSpec& beside = other->spec();
        siblings += &beside == &spec;
        conflicts += (spec.backfill && beside.target_ms > 0) ||
                     (spec.target_ms > 0 && beside.backfill);
      }
    }
    const bool other_rack =
        !spec.preferred_rack.empty() && vm.facts.rack != spec.preferred_rack;
    // After a failure, a VM that has just completed a run shows best whether
    // the task or the first VM was at fault.
    const bool doubtful = !task.failed_runs.empty() &&
                          (vm.facts.id == task.avoided_vm ||
                           this->vm_failures.FailsJobs(vm.facts.id, 1));
    const bool crowded =
        spec.endless && siblings >= std::max(1, spec.max_unavailable);
    return std::tuple(vm.cordoned, doubtful, vm.facts.id == task.avoided_vm,
                      other_rack, conflicts, crowded, vm.FreeShare());
  };
  Vm* best = nullptr;
  std::optional<decltype(score(*best))> best_score;
  for (const auto& [vm, usable] : room.vms) {
    if ((!usable && !spec.endless) || !spec.Occupies().Within(vm->Free()) ||
        !vm->facts.HasLabel(spec.label) ||
        (advised && this->PermitOf(step_ref, vm->facts.id, now) == nullptr)) {
      continue;
    }
    if (spec.max_per_vm > 0) {
      if (TasksOn(*vm, step_ref) >= spec.max_per_vm) {
        continue;
      }
    }
    const auto present = score(*vm);
    if (!best_score || present < *best_score) {
      best = vm;
      best_score = present;
    }
  }
  return best;
}

// A run that follows one whose end no VM has listed rests on what was inferred.
void Scheduler::LogInferredEnd(const Task& task, const Vm& next, Time now) {
  const Vm* before = this->FindVm(task.vm);
  const auto lease_end =
      before == nullptr ? std::nullopt : this->LeaseEnd(*before);
  this->EmitLogEvent("run_follows",
                     {{"task", task.Ref().Name()},
                      {"run", std::to_string(task.run)},
                      {"vm", task.vm.str()},
                      {"inferred", std::string(task.inferred_end)},
                      {"lease_over_ms",
                       lease_end ? std::to_string(ToMs(now - *lease_end)) : ""},
                      {"next_vm", next.facts.id.str()}});
}

void Scheduler::Start(Task& task, Vm& vm, std::int64_t run, Time now) {
  if (!task.inferred_end.empty()) {
    this->LogInferredEnd(task, vm, now);
  }
  task.run = run;
  this->Place(task, vm);
  task.phase = TaskPhase::kStarting;
  ++this->counter_values.starts;
  std::string permit;
  if (this->QueueOf(*task.job).advised) {
    permit = *this->PermitOf(StepRefOf(task), vm.facts.id, now);
  }
  const std::int64_t until = vm.LeaseClockAt(now) + ToMs(this->limits.lease);
  vm.lease_until_ms = std::max(vm.lease_until_ms, std::optional(until));
  task.lease_until_ms = until;
  task.ordered_after_ms = vm.EarliestClockAt(now);
  this->effects.emplace_back(StartRun{vm.Address(), task.Ref(), run,
                                      task.job->spec.payload, until,
                                      task.checkpoint, std::move(permit)});
}

}  // namespace kch::jobs
