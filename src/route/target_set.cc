#include "route/target_set.h"

#include <algorithm>
#include <type_traits>
#include <utility>
#include <variant>

namespace kch::route {
namespace {

// Limit on the doublings of a ramp: it exceeds the slots of any VM and keeps
// the shift defined.
constexpr std::int64_t kMaxRampDoublings = 20;

// Ejections after which the duration no longer doubles.
constexpr int kMaxEjectionDoublings = 6;

}  // namespace

// A target that may take the next task.
struct TargetSet::Candidate {
  const Target* target;
  // Compared before free slots; lower is better. Excluded VMs weigh most, then
  // racks, zones, and targets that only the ejection limit keeps in service.
  int penalty;
  std::int64_t free;
};

std::int64_t TargetSet::Running(const Target& target) {
  return std::max<std::int64_t>(
      0, static_cast<std::int64_t>(target.running.size()) + target.correction);
}

std::int64_t TargetSet::RampSlots(const Target& target, Time now) {
  if (!target.ramp_started_at) {
    return target.vm.slots;
  }
  const std::int64_t steps = std::clamp<std::int64_t>(
      (now - *target.ramp_started_at) / kRampStep, 0, kMaxRampDoublings);
  return std::min<std::int64_t>(target.vm.slots, std::int64_t{1} << steps);
}

std::int64_t TargetSet::FreeSlots(const Target& target, Time now) {
  if (!target.vm.usable) {
    return 0;
  }
  const std::int64_t running = Running(target);
  if (target.is_ejected) {
    // One probe at a time, and only after the ejection has ended.
    return target.probe_task.empty() && now >= target.ejected_until &&
                   running < target.vm.slots
               ? 1
               : 0;
  }
  return std::max<std::int64_t>(0, RampSlots(target, now) - running);
}

void TargetSet::DropOldEnds(Target& target, Time now) {
  while (!target.recent_ends.empty() &&
         target.recent_ends.front() < now - kMaxReportLag) {
    target.recent_ends.pop_front();
  }
}

std::size_t TargetSet::EjectionLimit() const {
  const auto usable = static_cast<std::size_t>(
      std::count_if(this->targets.begin(), this->targets.end(),
                    [](const Target& target) { return target.vm.usable; }));
  return usable * kMaxEjectedPercent / 100;
}

std::size_t TargetSet::ejected_count() const {
  return static_cast<std::size_t>(std::count_if(
      this->targets.begin(), this->targets.end(), [](const Target& target) {
        return target.vm.usable && target.is_ejected;
      }));
}

void TargetSet::Update(const std::vector<TargetVm>& vms, Time now) {
  std::vector<Target> next;
  std::unordered_map<VmId, std::size_t> next_index;
  next.reserve(vms.size());
  for (const TargetVm& vm : vms) {
    if (!next_index.try_emplace(vm.id, next.size()).second) {
      continue;
    }
    const auto known = this->index.find(vm.id);
    bool was_usable = false;
    if (known != this->index.end()) {
      next.push_back(std::move(this->targets[known->second]));
      was_usable = next.back().vm.usable;
    } else {
      next.emplace_back();
    }
    Target& target = next.back();
    target.vm = vm;
    target.zone =
        this->zones.try_emplace(vm.zone, this->zones.size()).first->second;
    // No ramp for the VMs of the first list: the pool may already serve under
    // another entry.
    if (vm.usable && !was_usable && this->updated) {
      target.ramp_started_at = now;
      target.failures = 0;
    }
  }
  this->targets = std::move(next);
  this->index = std::move(next_index);
  this->updated = true;
  this->EnforceEjectionLimit(now);
}

// When usable targets are removed, the ejected ones may exceed the limit. Those
// whose ejection ends first are returned to service, with a penalty until a
// task on them succeeds.
void TargetSet::EnforceEjectionLimit(Time now) {
  const std::size_t limit = this->EjectionLimit();
  for (std::size_t out = this->ejected_count(); out > limit; --out) {
    Target* first = nullptr;
    for (Target& target : this->targets) {
      if (target.vm.usable && target.is_ejected &&
          (first == nullptr || target.ejected_until < first->ejected_until)) {
        first = &target;
      }
    }
    first->is_ejected = false;
    first->probe_task = TaskId();
    first->failures = kFailuresToEject;
    first->ramp_started_at = now;
  }
}

std::optional<VmId> TargetSet::Choose(Time now,
                                      const Exclusions& exclusions,
                                      Random& random) const {
  std::vector<Candidate> candidates;
  int min_penalty = 16;
  for (const Target& target : this->targets) {
    const std::int64_t free = FreeSlots(target, now);
    if (free <= 0 || (target.is_ejected && !exclusions.allow_probe)) {
      continue;
    }
    const int penalty = (exclusions.vms.contains(target.vm.id) ? 8 : 0) +
                        (exclusions.racks.contains(target.vm.rack) ? 4 : 0) +
                        (exclusions.zones.contains(target.vm.zone) ? 2 : 0) +
                        (this->options.ejection_enabled && !target.is_ejected &&
                                 target.failures >= kFailuresToEject
                             ? 1
                             : 0);
    // A due probe goes first: with its single free slot the target would not be
    // selected otherwise, and would remain ejected until the pool is full.
    if (target.is_ejected && penalty == 0) {
      return target.vm.id;
    }
    if (target.is_ejected) {
      continue;
    }
    if (penalty < min_penalty) {
      min_penalty = penalty;
      candidates.clear();
    }
    if (penalty == min_penalty) {
      candidates.push_back({&target, penalty, free});
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto draw = [&random](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  const auto most_free = [&]() -> const Candidate& {
    std::int64_t free = 0;
    for (const Candidate& candidate : candidates) {
      free = std::max(free, candidate.free);
    }
    std::vector<std::int64_t> zone_load(this->zones.size());
    for (const Target& target : this->targets) {
      zone_load[target.zone] += Running(target);
    }
    std::vector<const Candidate*> best;
    std::int64_t least_load = 0;
    for (const Candidate& candidate : candidates) {
      if (candidate.free < free) {
        continue;
      }
      const std::int64_t load = zone_load[candidate.target->zone];
      if (best.empty() || load < least_load) {
        best.clear();
        least_load = load;
      }
      if (load == least_load) {
        best.push_back(&candidate);
      }
    }
    return *best[draw(best.size())];
  };
  const Candidate& chosen = std::visit(
      [&](const auto& policy) -> const Candidate& {
        using Policy = std::decay_t<decltype(policy)>;
        if constexpr (std::is_same_v<Policy, MostFreeSlots>) {
          return most_free();
        } else if constexpr (std::is_same_v<Policy, RandomChoice>) {
          return candidates[draw(candidates.size())];
        } else {
          const Candidate& first = candidates[draw(candidates.size())];
          const Candidate& second = candidates[draw(candidates.size())];
          return second.free > first.free ? second : first;
        }
      },
      this->options.policy);
  return chosen.target->vm.id;
}

void TargetSet::Started(const VmId& vm, const TaskId& task, Time now) {
  const auto found = this->index.find(vm);
  if (found == this->index.end()) {
    return;
  }
  Target& target = this->targets[found->second];
  if (!target.running.try_emplace(task, now).second) {
    return;
  }
  if (target.is_ejected && target.probe_task.empty() &&
      now >= target.ejected_until) {
    target.probe_task = task;
  }
}

void TargetSet::Eject(Target& target, Time now) {
  const Duration length = std::min<Duration>(
      kMaxEjection, kFirstEjection * (1 << std::min(target.ejections,
                                                    kMaxEjectionDoublings)));
  target.ejections += 1;
  target.failures = 0;
  target.successes = 0;
  target.is_ejected = true;
  target.ejected_until = now + length;
  target.probe_task = TaskId();
}

void TargetSet::Ended(const VmId& vm,
                      const TaskId& task,
                      TaskOutcome end,
                      Time now) {
  const auto found = this->index.find(vm);
  if (found == this->index.end()) {
    return;
  }
  Target& target = this->targets[found->second];
  if (target.running.erase(task) == 0) {
    return;
  }
  target.recent_ends.push_back(now);
  DropOldEnds(target, now);
  // The ended task is probably one that the worker's report did not count.
  if (target.correction < 0) {
    target.correction += 1;
  }
  const bool probe = !target.probe_task.empty() && target.probe_task == task;
  if (probe) {
    target.probe_task = TaskId();
  }
  if (end == TaskOutcome::kCancelled) {
    return;
  }
  if (end == TaskOutcome::kDone) {
    target.failures = 0;
    target.successes += 1;
    if (probe) {
      target.is_ejected = false;
      target.ramp_started_at = now;
    } else if (!target.is_ejected && target.successes >= kFailuresToEject) {
      // Only consecutive successes reset the ejection duration.
      target.ejections = 0;
    }
    return;
  }
  target.successes = 0;
  if (target.is_ejected) {
    // Tasks started before the ejection give no new evidence.
    if (probe) {
      this->Eject(target, now);
    }
    return;
  }
  target.failures += 1;
  if (this->options.ejection_enabled && target.vm.usable &&
      target.failures >= kFailuresToEject &&
      this->ejected_count() < this->EjectionLimit()) {
    this->Eject(target, now);
  }
}

// The report describes some instant within kMaxReportLag. At that instant at
// least the tasks that ran throughout the lag were running, and at most those
// running now or ended within it. Only a count outside these bounds contradicts
// the count of this set.
void TargetSet::OnWorkerReport(const VmId& vm, std::int64_t running, Time now) {
  const auto found = this->index.find(vm);
  if (found == this->index.end()) {
    return;
  }
  Target& target = this->targets[found->second];
  const Time oldest = now - kMaxReportLag;
  DropOldEnds(target, now);
  const std::int64_t least =
      std::count_if(target.running.begin(), target.running.end(),
                    [&](const auto& task) { return task.second < oldest; });
  const auto most = static_cast<std::int64_t>(target.running.size() +
                                              target.recent_ends.size());
  target.correction = running - std::clamp(running, least, most);
}

// Tasks of other schedulers occupy slots in addition to the tasks counted here.
// With the total of a report alone, recently ended tasks of this set accounted
// for them, and occupied slots were offered as free.
void TargetSet::OnForeignTasks(const VmId& vm, std::int64_t others) {
  const auto found = this->index.find(vm);
  if (found != this->index.end()) {
    Target& target = this->targets[found->second];
    target.correction = std::max(target.correction, others);
  }
}

TargetCounters TargetSet::Counters(const VmId& vm, Time now) const {
  TargetCounters counters;
  const auto found = this->index.find(vm);
  if (found == this->index.end()) {
    return counters;
  }
  const Target& target = this->targets[found->second];
  counters.running = Running(target);
  counters.free = FreeSlots(target, now);
  counters.usable = target.vm.usable;
  if (target.is_ejected) {
    counters.health = now < target.ejected_until ? TargetHealth::kEjected
                                                 : TargetHealth::kProbing;
  }
  return counters;
}

std::int64_t TargetSet::usable_slots() const {
  std::int64_t slots = 0;
  for (const Target& target : this->targets) {
    slots += target.vm.usable ? target.vm.slots : 0;
  }
  return slots;
}

std::int64_t TargetSet::largest_vm_slots() const {
  std::int64_t largest = 0;
  for (const Target& target : this->targets) {
    largest = std::max(largest, target.vm.slots);
  }
  return largest;
}

std::int64_t TargetSet::TotalFreeSlots(Time now) const {
  std::int64_t free = 0;
  for (const Target& target : this->targets) {
    free += FreeSlots(target, now);
  }
  return free;
}

bool TargetSet::IsHealthy(const VmId& vm) const {
  const auto found = this->index.find(vm);
  return found != this->index.end() && this->targets[found->second].vm.usable &&
         !this->targets[found->second].is_ejected;
}

}  // namespace kch::route
