#include "jobs/vm_failures.h"

#include <chrono>
#include <iterator>

namespace kch::jobs {
namespace {

// Long enough that a step that fails everywhere is still known for that when it
// returns to a VM after the longest ejection (Limits::max_ejection).
constexpr auto kMemory = std::chrono::seconds(60);

}  // namespace

std::optional<VmId> VmFailures::OnFailure(const VmId& vm,
                                          const StepKey& step,
                                          bool has_done,
                                          Time now) {
  this->RemoveOld(now);
  StepFailures& failures = this->steps[step];
  failures.has_done = failures.has_done || has_done;
  const auto [row, added] = failures.by_vm.insert_or_assign(vm, Failure{now});
  if (!added) {
    return std::nullopt;
  }
  this->steps_by_vm[vm].insert(step);
  this->expiries.push_back({now, step, vm});
  constexpr std::size_t second = 2;
  if (failures.has_done || failures.by_vm.size() != second) {
    return std::nullopt;
  }
  const auto first = failures.by_vm.begin();
  const auto& earlier = first == row ? *std::next(first) : *first;
  return earlier.second.cleared ? std::nullopt : std::optional(earlier.first);
}

void VmFailures::OnDone(const StepKey& step) {
  if (const auto found = this->steps.find(step); found != this->steps.end()) {
    found->second.has_done = true;
  }
}

void VmFailures::Clear(const VmId& vm) {
  const auto found = this->steps_by_vm.find(vm);
  if (found == this->steps_by_vm.end()) {
    return;
  }
  for (const StepKey& step : found->second) {
    this->steps.at(step).by_vm.at(vm).cleared = true;
  }
}

bool VmFailures::Counts(const VmId& vm, const StepKey& step) const {
  const auto found = this->steps.find(step);
  if (found == this->steps.end()) {
    return false;
  }
  const StepFailures& failures = found->second;
  const auto row = failures.by_vm.find(vm);
  return row != failures.by_vm.end() && !row->second.cleared &&
         (failures.has_done || failures.by_vm.size() == 1);
}

bool VmFailures::FailsJobs(const VmId& vm, std::size_t jobs) const {
  const auto found = this->steps_by_vm.find(vm);
  if (found == this->steps_by_vm.end()) {
    return false;
  }
  std::set<JobId> failed;
  for (const StepKey& step : found->second) {
    if (this->Counts(vm, step)) {
      failed.insert(step.job);
    }
    if (failed.size() >= jobs) {
      return true;
    }
  }
  return false;
}

void VmFailures::RemoveOld(Time now) {
  while (!this->expiries.empty() && now - this->expiries.front().at > kMemory) {
    const Expiry due = this->expiries.front();
    this->expiries.pop_front();
    const auto step = this->steps.find(due.step);
    if (step->second.by_vm.at(due.vm).at > due.at) {
      this->expiries.push_back({now, due.step, due.vm});
      continue;
    }
    step->second.by_vm.erase(due.vm);
    if (step->second.by_vm.empty()) {
      this->steps.erase(step);
    }
    const auto on_vm = this->steps_by_vm.find(due.vm);
    on_vm->second.erase(due.step);
    if (on_vm->second.empty()) {
      this->steps_by_vm.erase(on_vm);
    }
  }
}

}  // namespace kch::jobs
