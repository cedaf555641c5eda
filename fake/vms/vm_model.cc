#include "fake/vms/vm_model.h"

#include <algorithm>
#include <utility>

namespace kch::fake {
namespace {

using jobs::RunEnd;
using jobs::StartAnswer;

constexpr std::int64_t kClockOffsetMs = 5000;
// Time for which a member of a gang waits for the others.
constexpr std::int64_t kGangWaitMs = 3000;

std::string StepName(const jobs::RequestAdvice& advice_request) {
  return advice_request.job.str() + "." +
         std::to_string(advice_request.occurrence) + "." +
         std::to_string(advice_request.step);
}

// Once a higher fence has been received, lower ones are refused for good.
bool AcceptFence(FakeVm& vm, std::uint64_t sender_fence) {
  if (sender_fence < vm.fence) {
    return false;
  }
  vm.fence = sender_fence;
  return true;
}

}  // namespace

void FakeVm::Restart(Time now) {
  this->runs.clear();
  this->ended.clear();
  this->repeated_ends.clear();
  this->refused_runs.clear();
  this->fence = 0;
  this->lease_until_ms = 0;
  this->last_number = 0;
  this->lapsed_end = 0;
  this->clock_offset_ms = -static_cast<std::int64_t>(
      static_cast<double>(ToMs(now.time_since_epoch())) * this->clock_rate);
  ++this->facts.boot_ms;
}

std::int64_t FakeAdvice::DelayMs(
    const jobs::RequestAdvice& advice_request) const {
  return this->decision_ms +
         this->per_vm_ms * static_cast<std::int64_t>(advice_request.vms.size());
}

VmModel::VmModel() {
  jobs::Queue queue{.id = jobs::QueueId("q"),
                    .pool = PoolId("p"),
                    .max_attempts = 2,
                    .stretch = 1.6,
                    .target_ms = 600};
  this->config.version = 1;
  this->config.queues[queue.id] = queue;
  queue.id = jobs::QueueId("advised");
  queue.advised = true;
  this->config.queues[queue.id] = queue;
}

FakeVm& VmModel::Add(const std::string& id,
                     const std::string& pool,
                     jobs::Resources capacity,
                     const std::string& rack) {
  auto vm = std::make_unique<FakeVm>();
  vm->facts = {.id = VmId(id),
               .pool = PoolId(pool),
               .address = id + ":1",
               .zone = ZoneId("z1"),
               .rack = RackId(rack),
               .labels = {"a", rack},
               .capacity = capacity,
               .boot_ms = 1};
  vm->clock_offset_ms = kClockOffsetMs;
  return *(this->vms[id] = std::move(vm));
}

std::int64_t VmModel::ClockOf(const FakeVm& vm) const {
  const auto elapsed_ms =
      static_cast<double>(ToMs(this->now.time_since_epoch()));
  return static_cast<std::int64_t>(elapsed_ms * vm.clock_rate) +
         vm.clock_offset_ms;
}

void VmModel::End(FakeVm& vm, const std::string& task, RunEnd how) {
  const auto found = vm.runs.find(task);
  vm.ended.push_back({.number = ++vm.last_number,
                      .task = task,
                      .run = found->second.run,
                      .how = how});
  this->Note(vm, task, found->second.run, "end " + std::string(NameOf(how)));
  vm.refused_runs[task] = std::max(vm.refused_runs[task], found->second.run);
  if (how == RunEnd::kDone) {
    this->ever_done.insert(task);
  }
  if (how == RunEnd::kStopped && found->second.endless) {
    this->endless_stopped.push_back(task);
  }
  vm.runs.erase(found);
}

void VmModel::Note(const FakeVm& vm,
                   const std::string& task,
                   std::int64_t run,
                   const std::string& event) {
  this->run_history[task].push_back(
      "at " + std::to_string(ToMs(this->now.time_since_epoch())) + " " +
      vm.facts.id.str() + " (clock " + std::to_string(this->ClockOf(vm)) +
      ", lease until " + std::to_string(vm.lease_until_ms) + ", boot " +
      std::to_string(vm.facts.boot_ms) + ", fence " + std::to_string(vm.fence) +
      ") run " + std::to_string(run) + ": " + event);
}

void VmModel::RunTasks(std::int64_t ms) {
  for (auto& [id, vm] : this->vms) {
    const std::int64_t clock = this->ClockOf(*vm);
    std::vector<std::pair<std::string, RunEnd>> ends;
    for (auto& [name, run] : vm->runs) {
      if (!run.gang || this->GangAssembled(run)) {
        run.remaining_ms -= ms;
      } else {
        run.waited_ms += ms;
      }
      if (clock >= vm->lease_until_ms + vm->lapse_ms) {
        ends.emplace_back(name, RunEnd::kExpired);
      } else if (run.stopping && clock >= run.stops_at_ms) {
        ends.emplace_back(name, RunEnd::kStopped);
      } else if (run.fails || vm->fails_all) {
        ends.emplace_back(name, RunEnd::kFailed);
      } else if (run.waited_ms >= kGangWaitMs) {
        ends.emplace_back(name, RunEnd::kAlone);
      } else if (!run.endless && run.remaining_ms <= 0) {
        ends.emplace_back(name, RunEnd::kDone);
      }
    }
    for (const auto& [name, how] : ends) {
      this->End(*vm, name, how);
    }
    if (clock >= vm->lease_until_ms) {
      vm->lapsed_end = vm->last_number;
    }
  }
}

bool VmModel::GangAssembled(const VmRun& run) const {
  const std::int32_t count = this->submitted.at(run.task.job)
                                 .steps[static_cast<std::size_t>(run.task.step)]
                                 .count;
  for (std::int32_t i = 0; i < count; ++i) {
    jobs::TaskRef member = run.task;
    member.index = i;
    const std::string name = member.Name();
    if (!this->ever_done.contains(name) &&
        std::ranges::none_of(this->vms, [&](const auto& row) {
          const auto found = row.second->runs.find(name);
          return found != row.second->runs.end() &&
                 found->second.run == run.run;
        })) {
      return false;
    }
  }
  return true;
}

void VmModel::CheckStart(const FakeVm& vm, const VmRun& run) {
  const std::string name = run.task.Name();
  const auto violation = [&](const std::string& rule) {
    this->violations.push_back(rule + ": " + name + " on " + vm.facts.id.str());
  };
  jobs::Resources used = run.occupied;
  for (const auto& [other, row] : vm.runs) {
    used += row.occupied;
  }
  if (!used.Within(vm.facts.capacity)) {
    violation("capacity");
  }
  jobs::Resources team = run.need;
  for (const auto& [id, other] : this->vms) {
    if (other->runs.contains(name)) {
      violation("twice");
    }
    for (const jobs::EndedRow& row : other->ended) {
      if (row.task == name && row.how == RunEnd::kDone &&
          row.number > other->lapsed_end) {
        other->repeated_ends.insert(row.number);
      }
    }
    for (const auto& [task, row] : other->runs) {
      if (row.team == run.team) {
        team += row.need;
      }
    }
  }
  if (this->done.contains(name)) {
    violation("repeated");
  }
  const auto limit = this->config.teams.find(run.team);
  if (limit != this->config.teams.end() && limit->second.maximum.cpu_m > 0 &&
      team.cpu_m > limit->second.maximum.cpu_m) {
    violation("team limit");
  }
  const jobs::JobSpec& spec = this->submitted.at(run.task.job);
  for (const std::int32_t before :
       spec.steps[static_cast<std::size_t>(run.task.step)].depends_on) {
    const jobs::StepSpec& earlier =
        spec.steps[static_cast<std::size_t>(before)];
    std::int32_t ended = 0;
    for (std::int32_t i = 0; i < earlier.count; ++i) {
      ended += this->ever_done.contains(
          jobs::TaskRef{run.task.job, run.task.occurrence, before, i}.Name());
    }
    // The end of one member completes all members of a gang.
    if (ended < (earlier.gang ? 1 : earlier.count)) {
      violation("order");
    }
  }
}

bool VmModel::HasValidPermit(const FakeVm& vm,
                             const jobs::StartRun& order) const {
  const jobs::QueueId& queue = this->submitted.at(order.task.job).queue.id;
  if (!this->config.queues.at(queue).advised) {
    return true;
  }
  const auto permit = this->advice.permits.find(order.permit);
  return permit != this->advice.permits.end() &&
         order.task.Name().starts_with(permit->second.step + ".") &&
         permit->second.vm == vm.facts.id.str() &&
         permit->second.boot_ms == vm.facts.boot_ms &&
         permit->second.valid_until > this->now;
}

void VmModel::ExtendLease(FakeVm& vm, std::int64_t until_ms) const {
  vm.lease_until_ms =
      std::max(vm.lease_until_ms,
               std::min(until_ms, this->ClockOf(vm) + this->max_lease_ms));
}

StartAnswer VmModel::HandleStart(FakeVm& vm,
                                 const jobs::StartRun& order,
                                 std::uint64_t sender_fence) {
  if (!AcceptFence(vm, sender_fence)) {
    return StartAnswer::kFenced;
  }
  const std::string name = order.task.Name();
  if (order.lease_until_ms <= this->ClockOf(vm)) {
    return StartAnswer::kExpired;
  }
  this->ExtendLease(vm, order.lease_until_ms);
  if (vm.runs.contains(name) && vm.runs.at(name).run == order.run) {
    return StartAnswer::kAccepted;
  }
  if (vm.refused_runs.contains(name) && order.run <= vm.refused_runs.at(name)) {
    return StartAnswer::kOldRun;
  }
  const auto job = this->submitted.find(order.task.job);
  if (job == this->submitted.end() || job->second.payload != order.payload) {
    this->violations.push_back("unknown: " + name + " on " + vm.facts.id.str());
    return StartAnswer::kInvalid;
  }
  if (!this->HasValidPermit(vm, order)) {
    ++this->advice.refused_starts;
    return StartAnswer::kNoPermit;
  }
  const jobs::JobSpec& spec = job->second;
  const jobs::StepSpec& step =
      spec.steps[static_cast<std::size_t>(order.task.step)];
  VmRun run{.task = order.task,
            .run = order.run,
            .remaining_ms = step.estimate_ms,
            .endless = step.endless,
            .gang = step.gang,
            .fails = spec.payload == "fails",
            .occupied = step.Occupies(),
            .need = step.need,
            .team = spec.team};
  this->Note(vm, name, order.run,
             "start from " + std::to_string(sender_fence) + " until " +
                 std::to_string(order.lease_until_ms));
  this->CheckStart(vm, run);
  ++this->start_count;
  vm.runs.emplace(name, run);
  return StartAnswer::kAccepted;
}

bool VmModel::HandleStop(FakeVm& vm,
                         const jobs::StopRun& order,
                         std::uint64_t sender_fence) {
  if (!AcceptFence(vm, sender_fence)) {
    return false;
  }
  const std::string name = order.task.Name();
  this->Note(vm, name, order.run, "stop from " + std::to_string(sender_fence));
  vm.refused_runs[name] = std::max(vm.refused_runs[name], order.run);
  const auto run = vm.runs.find(name);
  if (run != vm.runs.end() && run->second.run == order.run &&
      !run->second.stopping) {
    run->second.stopping = true;
    run->second.stops_at_ms = this->ClockOf(vm) + vm.stop_ms;
  }
  return true;
}

bool VmModel::HandlePace(FakeVm& vm,
                         const jobs::PaceRun& order,
                         std::uint64_t sender_fence) {
  if (!AcceptFence(vm, sender_fence)) {
    return false;
  }
  const auto run = vm.runs.find(order.task.Name());
  if (run != vm.runs.end()) {
    run->second.percent = order.percent;
  }
  return true;
}

bool VmModel::HandlePoll(FakeVm& vm,
                         const jobs::PollVm& poll,
                         std::uint64_t sender_fence) {
  if (!AcceptFence(vm, sender_fence)) {
    return false;
  }
  if (poll.lease_until_ms) {
    this->ExtendLease(vm, *poll.lease_until_ms);
  }
  while (!vm.ended.empty() && vm.ended.front().number <= poll.recorded_end) {
    if (vm.repeated_ends.contains(vm.ended.front().number)) {
      this->Note(vm, vm.ended.front().task, vm.ended.front().run,
                 "end acknowledged by " + std::to_string(sender_fence));
      this->violations.push_back("repeated before its end was acknowledged: " +
                                 vm.ended.front().task);
    }
    if (vm.ended.front().how == RunEnd::kDone) {
      this->done.insert(vm.ended.front().task);
    }
    vm.ended.pop_front();
  }
  return true;
}

jobs::VmReport VmModel::ReportOf(const FakeVm& vm) const {
  jobs::VmReport report{.clock_ms = this->ClockOf(vm),
                        .boot_ms = vm.facts.boot_ms};
  for (const auto& [name, run] : vm.runs) {
    const jobs::StepSpec& step =
        this->submitted.at(run.task.job)
            .steps[static_cast<std::size_t>(run.task.step)];
    report.running.push_back(
        {.task = name,
         .run = run.run,
         .percent = run.percent,
         .gauge = step.target_ms > 0 ? vm.tail_ms : step.need.cpu_m});
  }
  const std::size_t listed = std::min(vm.ended.size(), this->max_listed_ends);
  report.ended.assign(vm.ended.begin(),
                      vm.ended.begin() + static_cast<std::ptrdiff_t>(listed));
  report.more_ends = listed == this->max_listed_ends;
  return report;
}

std::map<VmId, std::string> VmModel::Advise(
    const jobs::RequestAdvice& advice_request) {
  std::map<VmId, std::string> permits;
  for (const VmId& id : advice_request.vms) {
    const auto vm = this->vms.find(id.str());
    if (vm != this->vms.end() &&
        this->advice.allows(advice_request.job.str(), id.str())) {
      const std::string token = std::to_string(this->advice.permits.size() + 1);
      this->advice.permits[token] = {
          StepName(advice_request), id.str(), vm->second->facts.boot_ms,
          this->now + std::chrono::milliseconds(this->advice.valid_ms)};
      permits[id] = token;
    }
  }
  return permits;
}

bool VmModel::Runs(const std::string& task) const {
  return std::ranges::any_of(this->vms, [&task](const auto& row) {
    return row.second->runs.contains(task);
  });
}

}  // namespace kch::fake
