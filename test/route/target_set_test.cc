#include "route/route.h"

#include <rapidcheck.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kch::route {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(1000)};

VmId Vm(std::size_t number) {
  return VmId("v" + std::to_string(number));
}

TaskId Task(std::size_t number) {
  return TaskId("k" + std::to_string(number));
}

// VMs in three zones, two VMs to a rack.
std::vector<TargetVm> Pool(std::size_t count, std::int64_t slots) {
  std::vector<TargetVm> vms;
  for (std::size_t i = 0; i < count; ++i) {
    vms.push_back({Vm(i), ZoneId("z" + std::to_string(i % 3)),
                   RackId("r" + std::to_string(i % 3) + std::to_string(i / 6)),
                   slots, true});
  }
  return vms;
}

void Run(TargetSet& set, std::size_t vm, TaskOutcome end, int count, Time now) {
  for (int i = 0; i < count; ++i) {
    const TaskId task("run" + std::to_string(i));
    set.Started(Vm(vm), task, now);
    set.Ended(Vm(vm), task, end, now);
  }
}

// Guards against concentrating work on one target or zone.
BOOST_AUTO_TEST_CASE(WorkSpreadsOverTargetsAndZones) {
  TargetSet set;
  set.Update(Pool(6, 8), kStart);
  Random random(1);
  std::set<std::size_t> zones;
  for (std::size_t i = 0; i < 24; ++i) {
    const auto vm = set.Choose(kStart, {}, random);
    set.Started(*vm, Task(i), kStart);
    if (i < 3) {
      zones.insert(std::stoul(vm->str().substr(1)) % 3);
    }
  }
  BOOST_TEST(zones.size() == 3U);
  for (std::size_t vm = 0; vm < 6; ++vm) {
    BOOST_TEST(set.Counters(Vm(vm), kStart).running == 4);
  }
}

// Guards against a worker that fails all tasks and still receives work, and
// against a second probe before the result of the first.
BOOST_AUTO_TEST_CASE(FailingTargetIsEjectedAndProbedWithOneTask) {
  TargetSet set;
  set.Update(Pool(6, 8), kStart);
  Random random(1);
  Run(set, 0, TaskOutcome::kFailed, kFailuresToEject - 1, kStart);
  Run(set, 0, TaskOutcome::kDone, 1, kStart);
  Run(set, 0, TaskOutcome::kFailed, kFailuresToEject - 1, kStart);
  BOOST_TEST(set.IsHealthy(Vm(0)));
  Run(set, 0, TaskOutcome::kFailed, 1, kStart);
  BOOST_TEST(!set.IsHealthy(Vm(0)));
  Time now = kStart;
  Duration length = kFirstEjection;
  for (int round = 0; round < 8; ++round) {
    BOOST_TEST(
        (*set.Choose(now + length - milliseconds(1), {}, random) != Vm(0)));
    now += length;
    Exclusions unrepeatable;
    unrepeatable.allow_probe = false;
    BOOST_TEST((*set.Choose(now, unrepeatable, random) != Vm(0)));
    BOOST_REQUIRE((*set.Choose(now, {}, random) == Vm(0)));
    set.Started(Vm(0), Task(1), now);
    BOOST_TEST((*set.Choose(now, {}, random) != Vm(0)));
    set.Ended(Vm(0), Task(1), TaskOutcome::kFailed, now);
    length = std::min<Duration>(2 * length, kMaxEjection);
  }
  now += length;
  set.Started(Vm(0), Task(2), now);
  set.Ended(Vm(0), Task(2), TaskOutcome::kDone, now);
  BOOST_TEST(set.IsHealthy(Vm(0)));
  BOOST_TEST(set.Counters(Vm(0), now).free == 1);
  BOOST_TEST(set.Counters(Vm(0), now + seconds(2)).free == 4);
  BOOST_TEST(set.Counters(Vm(0), now + seconds(9)).free == 8);
  // Only recovery resets the duration of ejections.
  Run(set, 0, TaskOutcome::kDone, kFailuresToEject, now);
  Run(set, 0, TaskOutcome::kFailed, kFailuresToEject, now);
  BOOST_TEST((*set.Choose(now + kFirstEjection, {}, random) == Vm(0)));
}

// Guards against a cancelled probe that leaves the target ejected forever.
BOOST_AUTO_TEST_CASE(CancelledProbeIsRepeated) {
  TargetSet set;
  set.Update(Pool(6, 8), kStart);
  Random random(1);
  Run(set, 0, TaskOutcome::kUnknown, kFailuresToEject, kStart);
  const Time now = kStart + kFirstEjection;
  set.Started(Vm(0), Task(1), now);
  set.Ended(Vm(0), Task(1), TaskOutcome::kCancelled, now);
  BOOST_TEST((*set.Choose(now, {}, random) == Vm(0)));
}

// Guards against ejecting most of a pool when the jobs cause the failures, also
// when usable targets are removed after the ejections.
BOOST_AUTO_TEST_CASE(AtMostThirtyPercentAreEjected) {
  TargetSet set;
  auto vms = Pool(10, 8);
  set.Update(vms, kStart);
  for (std::size_t vm = 0; vm < 10; ++vm) {
    Run(set, vm, TaskOutcome::kFailed, 2 * kFailuresToEject, kStart);
  }
  BOOST_TEST(set.ejected_count() == 3U);
  for (std::size_t vm = 5; vm < 10; ++vm) {
    vms[vm].usable = false;
  }
  set.Update(vms, kStart);
  BOOST_TEST(set.ejected_count() == 1U);
  // Targets that the limit kept from being ejected are selected after the
  // others, which have one slot each because they have just returned.
  set.Update(Pool(11, 8), kStart);
  Random random(1);
  for (std::size_t i = 0; i < 6; ++i) {
    const auto vm = set.Choose(kStart, {}, random);
    BOOST_TEST((std::stoul(vm->str().substr(1)) >= 5));
    set.Started(*vm, Task(i), kStart);
  }
  BOOST_TEST((std::stoul(set.Choose(kStart, {}, random)->str().substr(1)) < 5));
}

// Guards against a burst of work on a returning zone, and against a ramp of the
// whole pool when another entry takes it over.
BOOST_AUTO_TEST_CASE(ReturningTargetsRampUp) {
  TargetSet set;
  auto vms = Pool(3, 8);
  set.Update(vms, kStart);
  BOOST_TEST(set.Counters(Vm(0), kStart).free == 8);
  vms[0].usable = false;
  set.Update(vms, kStart);
  BOOST_TEST(set.Counters(Vm(0), kStart).free == 0);
  vms[0].usable = true;
  vms.push_back({Vm(9), ZoneId("z9"), RackId("r9"), 8, true});
  set.Update(vms, kStart);
  for (const std::size_t vm : {0, 9}) {
    BOOST_TEST(set.Counters(Vm(vm), kStart).free == 1);
    BOOST_TEST(set.Counters(Vm(vm), kStart + seconds(1)).free == 2);
    BOOST_TEST(set.Counters(Vm(vm), kStart + seconds(3)).free == 8);
  }
  // An unchanged list does not restart the ramp.
  set.Update(vms, kStart + seconds(3));
  BOOST_TEST(set.Counters(Vm(0), kStart + seconds(3)).free == 8);
}

// Guards against a retry in the rack or zone of the failure while another one
// has a free slot, and against no retry when only excluded targets remain.
BOOST_AUTO_TEST_CASE(ExclusionsAreAvoidedFirst) {
  TargetSet set;
  set.Update(Pool(4, 1), kStart);  // v0 and v3 share a rack
  Random random(1);
  Exclusions first;
  first.vms = {Vm(0)};
  first.racks = {RackId("r00")};
  first.zones = {ZoneId("z0")};
  for (const auto& order : std::vector<std::set<VmId>>{
           {Vm(1), Vm(2)}, {Vm(1), Vm(2)}, {Vm(3)}, {Vm(0)}}) {
    const auto vm = set.Choose(kStart, first, random);
    BOOST_REQUIRE(vm.has_value());
    BOOST_TEST(order.contains(*vm));
    set.Started(*vm, TaskId(vm->str()), kStart);
  }
  BOOST_TEST(!set.Choose(kStart, first, random).has_value());
}

// Guards against reports that override newer local counts, and against counts
// that omit tasks of another scheduler or include tasks that the worker lost.
BOOST_AUTO_TEST_CASE(ReportsCorrectOnlyCountsOutsideTheirBounds) {
  TargetSet set;
  set.Update(Pool(1, 8), kStart);
  const auto running = [&] { return set.Counters(Vm(0), kStart).running; };
  Time now = kStart;
  set.Started(Vm(0), Task(1), now);
  set.Started(Vm(0), Task(2), now);
  set.OnWorkerReport(Vm(0), 0, now);  // from before the starts
  BOOST_TEST(running() == 2);
  now += kMaxReportLag + milliseconds(1);
  set.Ended(Vm(0), Task(1), TaskOutcome::kDone, now);
  set.OnWorkerReport(Vm(0), 2, now);  // from before the end
  BOOST_TEST(running() == 1);
  set.OnWorkerReport(Vm(0), 4, now);  // two tasks of another scheduler
  BOOST_TEST(running() == 3);
  now += kMaxReportLag + milliseconds(1);
  set.OnWorkerReport(Vm(0), 0, now);  // the worker lost task 2
  BOOST_TEST(running() == 0);
  set.Ended(Vm(0), Task(2), TaskOutcome::kUnknown, now);
  BOOST_TEST(running() == 0);
  set.Started(Vm(0), Task(3), now);
  BOOST_TEST(running() == 1);
}

// Guards against corrections by accurate reports: a true count of any instant
// within the lag changes nothing, whatever started and ended around it.
BOOST_AUTO_TEST_CASE(TrueReportsOfAnyAgeChangeNothing) {
  BOOST_TEST(rc::check([] {
    TargetSet set;
    set.Update(Pool(1, 1000), kStart);
    Time now = kStart;
    std::map<Time, std::int64_t> history{{now, 0}};
    std::set<TaskId> live;
    std::size_t next = 0;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        100, rc::gen::arbitrary<std::uint32_t>());
    for (const std::uint32_t step : steps) {
      now += milliseconds(1 + step / 4 % 300);
      if (step % 4 < 2) {
        live.insert(Task(next));
        set.Started(Vm(0), Task(next++), now);
      } else if (step % 4 == 2 && !live.empty()) {
        set.Ended(Vm(0), *live.begin(), TaskOutcome::kDone, now);
        live.erase(live.begin());
      }
      const auto count = static_cast<std::int64_t>(live.size());
      history[now] = count;
      const Time reported_at = std::max(
          kStart, now - milliseconds(step / 1200 % ToMs(kMaxReportLag)));
      set.OnWorkerReport(
          Vm(0), std::prev(history.upper_bound(reported_at))->second, now);
      RC_ASSERT(set.Counters(Vm(0), now).running == count);
    }
  }));
}

// Guards against selecting an unusable, full or ejected target, against more
// ejections than allowed, a second probe, and running counts that drift.
BOOST_AUTO_TEST_CASE(RandomOperationsPreserveInvariants) {
  BOOST_TEST(rc::check([] {
    TargetOptions options;
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        options.policy = RandomChoice{};
        break;
      case 1:
        options.policy = PowerOfTwoChoices{};
        break;
      default:
        break;
    }
    TargetSet set(options);
    auto vms = Pool(12, 3);
    set.Update(vms, kStart);
    Random random(7);
    Time now = kStart;
    std::map<TaskId, VmId> live;
    std::size_t next = 0;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        300, rc::gen::arbitrary<std::uint32_t>());
    for (const std::uint32_t step : steps) {
      const std::uint32_t draw = step / 8;
      if (step % 8 < 4) {
        Exclusions exclusions;
        exclusions.allow_probe = draw % 2 == 0;
        exclusions.zones = {ZoneId("z" + std::to_string(draw % 5))};
        const auto vm = set.Choose(now, exclusions, random);
        if (!vm) {
          for (const TargetVm& other : vms) {
            const auto counters = set.Counters(other.id, now);
            RC_ASSERT(counters.free == 0 ||
                      counters.health != TargetHealth::kServing);
          }
          continue;
        }
        const TargetCounters counters = set.Counters(*vm, now);
        RC_ASSERT(counters.usable);
        RC_ASSERT(counters.free > 0);
        RC_ASSERT(counters.running < 3);
        RC_ASSERT(counters.health == TargetHealth::kServing ||
                  (counters.health == TargetHealth::kProbing &&
                   exclusions.allow_probe));
        set.Started(*vm, Task(next), now);
        live[Task(next++)] = *vm;
        if (counters.health == TargetHealth::kProbing) {
          RC_ASSERT(set.Counters(*vm, now).free == 0);
        }
      } else if (step % 8 < 7) {
        now += milliseconds(draw % 400);
        if (!live.empty()) {
          const auto [task, vm] = *live.begin();
          // Half of the targets fail nearly all tasks.
          const bool bad = vm.str().back() % 2 == 0 && draw % 16 != 0;
          set.Ended(vm, task, bad ? TaskOutcome::kFailed : TaskOutcome::kDone,
                    now);
          live.erase(task);
        }
      } else {
        TargetVm& vm = vms[draw % vms.size()];
        vm.usable = !vm.usable;
        set.Update(vms, now);
      }
      const auto usable = static_cast<std::size_t>(
          std::count_if(vms.begin(), vms.end(),
                        [](const TargetVm& vm) { return vm.usable; }));
      RC_ASSERT(set.ejected_count() * 100 <= usable * kMaxEjectedPercent);
      for (const TargetVm& vm : vms) {
        RC_ASSERT(set.Counters(vm.id, now).running ==
                  std::count_if(live.begin(), live.end(), [&](const auto& run) {
                    return run.second == vm.id;
                  }));
      }
    }
  }));
}

}  // namespace
}  // namespace kch::route
