// Measures src/route in virtual time with fixed seeds: work done and work
// failed by policy, with and without ejection, while a worker fails all tasks.

#include "route/route.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace kch::route {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(1000)};
constexpr double kRun = 0.1;    // mean seconds of a task
constexpr int kRounds = 20000;  // per measured operation

struct Setup {
  std::size_t vms;
  std::int64_t slots;
  std::size_t failing;  // of the first rack on
  double load;          // offered, as a part of the healthy slots
  bool retry;
};

struct Figures {
  std::int64_t requests = 0;
  std::int64_t done = 0;
  std::int64_t failed = 0;
  std::int64_t refused = 0;  // no free slot
  std::int64_t attempts_on_failing = 0;
  std::int64_t retries = 0;
  double spread = 0;  // mean of (most - least) running over healthy targets
};

struct Attempt {
  Time at;
  std::uint64_t order;
  bool arrival;
  TaskId task;
  VmId vm;
  std::vector<VmId> failed_on;
  bool operator>(const Attempt& other) const {
    return std::pair(this->at, this->order) > std::pair(other.at, other.order);
  }
};

Figures Simulate(const Setup& setup, const TargetOptions& options) {
  std::mt19937_64 random(3);
  TargetSet set(options);
  RetryBudget budget;
  std::vector<TargetVm> vms;
  for (std::size_t i = 0; i < setup.vms; ++i) {
    vms.push_back({VmId("vm" + std::to_string(i)),
                   ZoneId("z" + std::to_string(i / 4 % 3)),
                   RackId("r" + std::to_string(i / 4)), setup.slots, true});
  }
  set.Update(vms, kStart);
  const auto fails = [&](const VmId& vm) {
    return std::stoul(vm.str().substr(2)) < setup.failing;
  };
  const double rate = setup.load *
                      static_cast<double>(setup.vms - setup.failing) *
                      static_cast<double>(setup.slots) / kRun;
  const auto exponential = [&](double mean) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        std::exponential_distribution<>(1 / mean)(random)));
  };
  std::priority_queue<Attempt, std::vector<Attempt>, std::greater<>> events;
  std::uint64_t order = 0;
  Figures figures;
  std::int64_t samples = 0;
  const auto start = [&](Time now, std::vector<VmId> failed_on) {
    Exclusions exclusions;
    for (const VmId& vm : failed_on) {
      const auto& known = vms[std::stoul(vm.str().substr(2))];
      exclusions.vms.insert(vm);
      exclusions.racks.insert(known.rack);
      exclusions.zones.insert(known.zone);
    }
    const auto vm = set.Choose(now, exclusions, random);
    if (!vm) {
      return false;
    }
    order += 1;
    const TaskId task(std::to_string(order));
    set.Started(*vm, task, now);
    // A failing worker answers at once, so it always looks the freest.
    const Duration run =
        fails(*vm) ? Duration(milliseconds(1)) : exponential(kRun);
    figures.attempts_on_failing += fails(*vm) ? 1 : 0;
    events.push({now + run, order, false, task, *vm, std::move(failed_on)});
    return true;
  };
  events.push({kStart, 0, true, {}, {}, {}});
  const Time end = kStart + seconds(120);
  while (!events.empty() && events.top().at < end) {
    Attempt event = events.top();
    events.pop();
    const Time now = event.at;
    if (event.arrival) {
      figures.requests += 1;
      budget.OnRequest(now);
      figures.refused += start(now, {}) ? 0 : 1;
      order += 1;
      events.push({now + exponential(1 / rate), order, true, {}, {}, {}});
      std::int64_t least = setup.slots;
      std::int64_t most = 0;
      for (const TargetVm& vm : vms) {
        if (!fails(vm.id)) {
          const std::int64_t running = set.Counters(vm.id, now).running;
          least = std::min(least, running);
          most = std::max(most, running);
        }
      }
      figures.spread += static_cast<double>(most - least);
      samples += 1;
      continue;
    }
    if (!fails(event.vm)) {
      set.Ended(event.vm, event.task, TaskOutcome::kDone, now);
      figures.done += 1;
      continue;
    }
    set.Ended(event.vm, event.task, TaskOutcome::kFailed, now);
    event.failed_on.push_back(event.vm);
    AttemptFacts facts;
    facts.outcome = AttemptOutcome::kFailed;
    facts.repeatable = true;
    facts.failed_targets = static_cast<int>(event.failed_on.size());
    facts.budget_available = setup.retry && budget.CanRetry(now);
    facts.deadline = now + seconds(1);
    if (DecideRetry(facts, now) == RetryDecision::kRetryElsewhere &&
        budget.TryAcquire(now) && start(now, event.failed_on)) {
      figures.retries += 1;
    } else {
      figures.failed += 1;
    }
  }
  figures.spread /= static_cast<double>(std::max<std::int64_t>(samples, 1));
  return figures;
}

void Measure(const char* name, const Setup& setup) {
  std::printf("%s\n", name);
  std::printf("  %-14s %-9s %9s %9s %9s %9s %9s %8s\n", "policy", "ejection",
              "done", "failed", "no slot", "retries", "on bad", "spread");
  const std::vector<std::pair<const char*, SelectionPolicy>> policies{
      {"most free", MostFreeSlots{}},
      {"random", RandomChoice{}},
      {"two choices", PowerOfTwoChoices{}}};
  for (const bool eject : {false, true}) {
    for (const auto& [policy_name, policy] : policies) {
      const Figures figures = Simulate(setup, {policy, eject});
      const auto percent = [&](std::int64_t count) {
        return 100.0 * static_cast<double>(count) /
               static_cast<double>(figures.requests);
      };
      std::printf("  %-14s %-9s %8.2f%% %8.2f%% %8.2f%% %8.2f%% %9lld %8.2f\n",
                  policy_name, eject ? "on" : "off", percent(figures.done),
                  percent(figures.failed), percent(figures.refused),
                  percent(figures.retries),
                  static_cast<long long>(figures.attempts_on_failing),
                  figures.spread);
    }
  }
}

void MeasureCost(std::size_t vms) {
  TargetSet set;
  std::vector<TargetVm> list;
  for (std::size_t i = 0; i < vms; ++i) {
    list.push_back({VmId("vm" + std::to_string(i)),
                    ZoneId("z" + std::to_string(i % 6)),
                    RackId("r" + std::to_string(i / 4)), 8, true});
  }
  set.Update(list, kStart);
  Random random(3);
  std::vector<std::pair<VmId, TaskId>> running;
  const auto began = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    const Time now = kStart + milliseconds(i);
    const TaskId task(std::to_string(i));
    const auto vm = set.Choose(now, {}, random);
    set.Started(*vm, task, now);
    running.emplace_back(*vm, task);
    if (running.size() > 4 * vms) {
      const auto& [old_vm, old_task] = running[running.size() - 4 * vms - 1];
      set.Ended(old_vm, old_task, TaskOutcome::kDone, now);
    }
  }
  const double ns = std::chrono::duration<double, std::nano>(
                        std::chrono::steady_clock::now() - began)
                        .count();
  std::printf("Choose + Started + Ended, %3zu targets: %8.0f ns\n", vms,
              ns / kRounds);
}

}  // namespace
}  // namespace kch::route

int main() {
  using kch::route::Measure;
  Measure("12 VMs of 8 slots, 1 fails everything, load 70%, no retries",
          {12, 8, 1, 0.7, false});
  Measure("12 VMs of 8 slots, 1 fails everything, load 70%, retries",
          {12, 8, 1, 0.7, true});
  Measure("12 VMs of 8 slots, a rack of 4 fails everything, load 70%, retries",
          {12, 8, 4, 0.7, true});
  Measure("12 VMs of 8 slots, none fails, load 90%", {12, 8, 0, 0.9, true});
  kch::route::MeasureCost(12);
  kch::route::MeasureCost(424);
  return 0;
}
