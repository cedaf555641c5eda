#include <algorithm>
#include <utility>

#include "jobs/scheduler.h"

// What steps need of the VMs of their pool beside capacity: enough different
// ones, and such that have their label and room for a whole task.

namespace kch::jobs {
namespace {

// Bounds of the work of a pass. Rules beyond them count by their size alone,
// and unplaced steps take turns, each longer than the time for which a pool has
// to lack places before it receives machines.
constexpr std::size_t kMaxRules = 32;
constexpr std::size_t kMaxUnplacedSteps = 16;
constexpr auto kUnplacedTurn = std::chrono::seconds(4);

PlacementRule RuleOf(const StepSpec& spec) {
  return {.label = spec.label,
          .task = spec.Occupies(),
          .max_per_vm = spec.max_per_vm,
          .all_or_none = spec.gang};
}

// Different steps may share a VM, so of equal rules the largest step counts.
template <typename Tasks>
void AddTasks(Tasks& tasks,
              const StepSpec& spec,
              std::int64_t count,
              std::int64_t startable) {
  const PlacementRule rule = RuleOf(spec);
  if (tasks.size() < kMaxRules || tasks.contains(rule)) {
    auto& most = tasks[rule];
    most.tasks = std::max(most.tasks, count);
    most.startable = std::max(most.startable, startable);
  }
}

}  // namespace

// Waiting tasks of a step that may run as far as the limit of its team goes.
std::int64_t Scheduler::MayStart(const StepRef& step_ref) const {
  const Job& job = *step_ref.job;
  const StepSpec& spec = step_ref.spec();
  std::int64_t most = step_ref.progress().waiting;
  if (this->HeldBack(job)) {
    return 0;
  }
  if (this->WithinTeamLimit(job, spec.need * most)) {
    return most;
  }
  if (spec.gang) {
    return 0;
  }
  std::int64_t least = 0;
  while (least < most) {
    const std::int64_t middle = (least + most + 1) / 2;
    if (this->WithinTeamLimit(job, spec.need * middle)) {
      least = middle;
    } else {
      most = middle - 1;
    }
  }
  return least;
}

// All tasks of an endless step are to be at work at the same time, those that
// are placed included: their VM may be lost.
void Scheduler::AddEndlessPlacement(const Pool& pool,
                                    PlacementTasks& tasks) const {
  std::set<const Step*> seen;
  const auto add = [&](const StepRef& step_ref) {
    const StepSpec& spec = step_ref.spec();
    const Step& step = step_ref.progress();
    if (!spec.endless || (spec.max_per_vm == 0 && spec.label.empty()) ||
        !seen.insert(&step).second) {
      return;
    }
    const std::int64_t count = std::ssize(step.tasks) - step.done;
    AddTasks(tasks, spec, count,
             count - step.waiting + this->MayStart(step_ref));
  };
  for (const auto& [id, vm] : pool.vms) {
    if (vm->endless_used == Resources{}) {
      continue;
    }
    for (const Task* task : vm->runs) {
      if (task->spec().endless) {
        add(StepRefOf(*task));
      }
    }
  }
  for (const StepRef& step_ref : pool.ready) {
    add(step_ref);
  }
}

// Finite tasks wait for room, so it is enough that one of them, or all of a
// gang, would fit if no other finite task ran.
void Scheduler::AddFinitePlacement(const Pool& pool,
                                   PlacementTasks& tasks) const {
  Resources largest;
  for (const auto& [id, vm] : pool.vms) {
    const Resources room = vm->facts.capacity - vm->endless_used;
    largest = {std::max(largest.cpu_m, room.cpu_m),
               std::max(largest.memory_mb, room.memory_mb),
               std::max(largest.gpus, room.gpus)};
  }
  for (const StepRef& step_ref : pool.ready) {
    const StepSpec& spec = step_ref.spec();
    const bool bounded =
        !spec.label.empty() || spec.gang || !spec.Occupies().Within(largest);
    if (!spec.endless && bounded && !this->HeldBack(*step_ref.job) &&
        this->WithinTeamLimit(*step_ref.job,
                              spec.gang ? spec.need * spec.count : spec.need)) {
      const std::int64_t count = spec.gang ? spec.count : 1;
      AddTasks(tasks, spec, count, count);
    }
  }
}

// Endless tasks do not go away, so what waits needs room that is free now.
std::optional<PlacementNeed> Scheduler::UnplacedNeed(const StepRef& step_ref,
                                                     const Pool& pool,
                                                     std::int64_t tasks,
                                                     Time now) const {
  const StepSpec& spec = step_ref.spec();
  PlacementNeed need{.rule = RuleOf(spec),
                     .tasks = tasks,
                     .startable = tasks,
                     .exclusive = true};
  for (const auto& [id, vm] : pool.vms) {
    if (need.Missing() == 0) {
      return std::nullopt;
    }
    if (this->Usable(*vm, now)) {
      const std::int32_t beside =
          spec.max_per_vm == 0 ? 0 : TasksOn(*vm, step_ref);
      need.places += need.rule.PlacesOn(vm->Free(), vm->facts.labels,
                                        need.Missing(), beside);
    }
  }
  return need.Missing() > 0 ? std::optional(need) : std::nullopt;
}

std::vector<PlacementNeed> Scheduler::PlacementNeedsOf(const PoolId& id,
                                                       Time now) const {
  std::vector<PlacementNeed> needs;
  const auto found = this->pools.find(id);
  if (found == this->pools.end()) {
    return needs;
  }
  const Pool& pool = found->second;
  const bool unreached = this->unreached_pools.contains(id);
  const auto add_needs = [&](const PlacementTasks& tasks, bool endless) {
    for (const auto& [rule, counts] : tasks) {
      PlacementNeed need{
          .rule = rule, .tasks = counts.tasks, .startable = counts.startable};
      for (const auto& [vm_id, vm] : pool.vms) {
        // After a takeover, VMs have a moment to answer before they are missed.
        const bool awaited = unreached && vm->registered && !vm->reported;
        if (awaited || this->Usable(*vm, now)) {
          const Resources& whole = vm->facts.capacity;
          need.places +=
              rule.PlacesOn(endless ? whole : whole - vm->endless_used,
                            vm->facts.labels, counts.tasks);
        }
      }
      needs.push_back(std::move(need));
    }
  };
  PlacementTasks endless;
  this->AddEndlessPlacement(pool, endless);
  add_needs(endless, true);
  PlacementTasks finite;
  this->AddFinitePlacement(pool, finite);
  add_needs(finite, false);
  std::vector<std::pair<StepRef, std::int64_t>> waiting;
  for (const StepRef& step_ref : pool.ready) {
    const std::int64_t may_start =
        step_ref.spec().endless ? this->MayStart(step_ref) : 0;
    if (may_start > 0) {
      waiting.emplace_back(step_ref, may_start);
    }
  }
  // Steps that no machine helps must not hide others for good.
  const std::size_t groups =
      (waiting.size() + kMaxUnplacedSteps - 1) / kMaxUnplacedSteps;
  const auto turns =
      static_cast<std::size_t>(now.time_since_epoch() / kUnplacedTurn);
  const std::size_t first =
      groups == 0 ? 0 : turns % groups * kMaxUnplacedSteps;
  const std::size_t last = std::min(first + kMaxUnplacedSteps, waiting.size());
  for (std::size_t i = first; i < last; ++i) {
    const auto& [step_ref, may_start] = waiting[i];
    if (auto need = this->UnplacedNeed(step_ref, pool, may_start, now)) {
      needs.push_back(*std::move(need));
    }
  }
  return needs;
}

}  // namespace kch::jobs
