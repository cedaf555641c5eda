#include <boost/test/unit_test.hpp>

#include "upkeep/upkeep.h"

namespace kch::upkeep {
namespace {

constexpr std::int64_t kStepMs = 50;

// Machines of one pool in virtual time: an ordered machine is down for 2 s and
// then runs another VM.
struct PlannerFixture {
  Time now{std::chrono::seconds(100)};
  Planner planner{Limits{}, now};
  std::map<MachineId, Machine> machines;
  std::map<VmId, VmLoad> loads;
  std::map<MachineId, Time> away_until;
  std::map<MachineId, int> orders;
  std::size_t max_unavailable = 0;
  bool completed = false;
  std::size_t started_at_completion = 0;
  bool drops_answers = false;
  bool drops_saves = false;
  std::set<MachineId> unlisted;  // up, and left out of the list
  std::map<MachineId, OrderAnswer> refusals;
  std::set<VmId> cordoned;
  int saves = 0;
  std::uint64_t created = 1;  // revision of the wave's creation

  PlannerFixture(int count, double use) {
    for (int i = 0; i < count; ++i) {
      this->AddMachine(std::to_string(i), use);
    }
  }

  void AddMachine(const std::string& name, double use) {
    const VmId vm("vm" + name);
    this->machines[MachineId("m" + name)] = {
        .id = MachineId("m" + name), .pool = PoolId("p"), .vm = vm};
    this->loads[vm] = {.runs = 0, .pool_utilization_without = use};
  }

  void Order(int count, int max_unavailable_machines, int seconds) {
    WaveOrder wave{.id = WaveId("1"),
                   .created = this->created,
                   .max_unavailable = max_unavailable_machines,
                   .duration = std::chrono::seconds(seconds)};
    for (int i = 0; i < count; ++i) {
      wave.machines.insert(MachineId("m" + std::to_string(i)));
    }
    this->planner.SetWave({wave, this->now}, this->now);
  }

  std::vector<Machine> List() const {
    std::vector<Machine> list;
    for (const auto& [id, machine] : this->machines) {
      if (!this->unlisted.contains(id)) {
        list.push_back(machine);
      }
    }
    return list;
  }

  void Perform(const Effect& effect) {
    if (std::holds_alternative<ReadMachines>(effect)) {
      this->planner.OnMachineList(this->List(), this->now);
    } else if (const auto* order = std::get_if<OrderUpkeep>(&effect)) {
      if (const auto refusal = this->refusals.find(order->machine);
          refusal != this->refusals.end()) {
        this->planner.OnOrderAnswer(order->machine, order->wave,
                                    refusal->second, this->now);
        return;
      }
      Machine& machine = this->machines.at(order->machine);
      if (++this->orders[order->machine] == 1) {
        machine.state = MachineState::kUpkeep;
        this->away_until[order->machine] = this->now + std::chrono::seconds(2);
      }
      this->planner.OnOrderAnswer(
          order->machine, order->wave,
          this->drops_answers ? OrderAnswer::kUnknown : OrderAnswer::kDone,
          this->now);
    } else if (const auto* saved = std::get_if<SaveWave>(&effect)) {
      ++this->saves;
      this->completed = saved->completed;
      if (saved->completed) {
        this->started_at_completion = saved->started.machines.size();
      }
      if (!this->drops_saves) {
        this->planner.OnWaveSaved(saved->wave, true, this->now);
      }
    } else if (const auto* cordon = std::get_if<SetCordon>(&effect)) {
      if (cordon->on) {
        this->cordoned.insert(cordon->vm);
      } else {
        this->cordoned.erase(cordon->vm);
      }
    }
  }

  // An order of a predecessor, unless one of the planner came first, which
  // fences it.
  void CarryOutLate(const char* id, std::int64_t upkeep_ms = 2000) {
    const MachineId machine(id);
    if (this->orders.contains(machine)) {
      return;
    }
    this->orders[machine] = 1;
    this->machines.at(machine).state = MachineState::kUpkeep;
    this->away_until[machine] =
        this->now + std::chrono::milliseconds(upkeep_ms);
  }

  void Run(std::int64_t ms) {
    const Time end = this->now + std::chrono::milliseconds(ms);
    while (this->now < end) {
      this->now += std::chrono::milliseconds(kStepMs);
      std::size_t away = 0;
      for (auto& [id, until] : this->away_until) {
        Machine& machine = this->machines.at(id);
        if (this->now < until) {
          ++away;
        } else if (machine.state == MachineState::kUpkeep) {
          machine.state = MachineState::kUp;
          machine.vm = VmId(machine.vm.str() + "x");
        }
      }
      this->max_unavailable = std::max(this->max_unavailable, away);
      this->planner.Tick(this->now, [this](const VmId& vm) {
        const auto found = this->loads.find(vm);
        return found == this->loads.end() ? std::nullopt
                                          : std::optional(found->second);
      });
      for (const Effect& effect : this->planner.TakeEffects()) {
        this->Perform(effect);
      }
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(PlannerTest)

BOOST_AUTO_TEST_CASE(MaintainsAllMachinesWithinTheLimit) {
  PlannerFixture fixture(12, 0.1);
  fixture.Order(12, 3, 40);
  fixture.Run(20'000);
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.started_at_completion == 12);
  BOOST_TEST(fixture.max_unavailable == 3);
}

// Guards against a wave that is completed without its newest machines: it names
// them before the list of machines is read again.
BOOST_AUTO_TEST_CASE(MachinesAddedSinceTheLastListAreMaintained) {
  PlannerFixture fixture(3, 0.1);
  fixture.Run(100);  // the list has been read
  fixture.AddMachine("3", 0.1);
  fixture.Order(4, 2, 40);
  fixture.Run(15'000);
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.started_at_completion == 4);
}

// Guards against a wave that waits for a machine that has left for good.
BOOST_AUTO_TEST_CASE(MachinesThatHaveLeftHoldNoWaveUp) {
  PlannerFixture fixture(3, 0.1);
  fixture.Run(100);
  fixture.machines.erase(MachineId("m2"));
  fixture.Order(3, 2, 40);
  fixture.Run(15'000);
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.started_at_completion == 2);
}

// Guards against a wave that is completed, or stays so, without machines that
// its record names only since it was written anew.
BOOST_AUTO_TEST_CASE(MachinesOfAWaveThatIsWrittenAnewAreMaintained) {
  for (const int before_ms : {100, 15'000}) {
    PlannerFixture fixture(3, 0.1);
    fixture.Order(3, 2, 40);
    fixture.Run(before_ms);
    BOOST_TEST(fixture.completed == (before_ms == 15'000));
    fixture.AddMachine("3", 0.1);
    fixture.Order(4, 2, 40);
    fixture.Run(50);
    BOOST_TEST(!fixture.completed);
    fixture.Run(15'000);
    BOOST_TEST(fixture.completed);
    BOOST_TEST(fixture.started_at_completion == 4);
  }
}

// Guards against upkeep of a machine that a wave names no longer, and against a
// VM that stays closed to new tasks after it.
BOOST_AUTO_TEST_CASE(MachinesThatAWaveNamesNoLongerAreReleased) {
  PlannerFixture fixture(3, 0.1);
  fixture.loads.at(VmId("vm2")).runs = 1;
  fixture.Order(3, 3, 40);
  fixture.Run(1000);
  BOOST_TEST(fixture.cordoned.contains(VmId("vm2")));
  fixture.Order(2, 3, 40);
  fixture.Run(50);
  BOOST_TEST(!fixture.cordoned.contains(VmId("vm2")));
  fixture.loads.at(VmId("vm2")).runs = 0;
  fixture.Run(15'000);
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.started_at_completion == 2);
  BOOST_TEST(!fixture.orders.contains(MachineId("m2")));
}

// Guards against a wave that is completed without upkeep because an earlier one
// had its number: the operators removed that one and created it again, in view
// of this process or before its takeover.
BOOST_AUTO_TEST_CASE(WaveThatIsCreatedAgainStartsAnew) {
  for (const bool successor : {false, true}) {
    PlannerFixture fixture(3, 0.1);
    if (successor) {
      fixture.planner.SetStarted(WaveId("1"),
                                 {{MachineId("m0"), MachineId("m1")}, 1});
    } else {
      fixture.Order(3, 2, 40);
      fixture.Run(15'000);
      BOOST_REQUIRE(fixture.completed);
      fixture.orders.clear();
    }
    fixture.created = 2;
    fixture.Order(3, 2, 40);
    fixture.Run(100);
    BOOST_TEST(!fixture.completed);
    fixture.Run(15'000);
    BOOST_TEST(fixture.completed);
    BOOST_TEST(fixture.orders.size() == 3);
  }
}

// Guards against exceeding the limit of a wave that is created again while a
// machine is down for the earlier one and still listed as up.
BOOST_AUTO_TEST_CASE(WaveThatIsCreatedAgainKeepsItsLimit) {
  for (const bool removal_seen : {false, true}) {
    PlannerFixture fixture(3, 0.1);
    fixture.Run(100);
    fixture.Order(3, 1, 40);
    fixture.Run(150);
    BOOST_REQUIRE(fixture.orders.size() == 1);
    // The other machines are preferred from now on.
    fixture.loads.at(VmId("vm0")).pool_utilization_without = 0.3;
    if (removal_seen) {
      fixture.planner.RemoveWave(WaveId("1"), fixture.now);
    }
    fixture.created = 2;
    fixture.Order(3, 1, 40);
    fixture.Run(20'000);
    BOOST_TEST(fixture.completed);
    BOOST_TEST(fixture.max_unavailable == 1);
  }
}

// Guards against a successor that maintains machines twice: the record of an
// earlier version does not tell when the wave was created.
BOOST_AUTO_TEST_CASE(RecordOfAnEarlierVersionHolds) {
  PlannerFixture fixture(3, 0.1);
  fixture.planner.SetStarted(WaveId("1"), {{MachineId("m0")}, 0});
  fixture.Order(3, 2, 40);
  fixture.Run(15'000);
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.orders.size() == 2);
}

// Guards against exceeding the limit of a wave: its record is observed again,
// as after each gap of the watch, while a machine is down for its upkeep.
BOOST_AUTO_TEST_CASE(WaveThatIsObservedAgainKeepsItsLimit) {
  PlannerFixture fixture(3, 0.1);
  fixture.Run(1900);
  fixture.Order(3, 1, 40);
  while (fixture.now < Time(std::chrono::seconds(120))) {
    fixture.Run(100);
    fixture.Order(3, 1, 40);
  }
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.max_unavailable == 1);
}

// Guards against machines that join a wave and find its time over, and against
// a time that starts anew with each listing of the store.
BOOST_AUTO_TEST_CASE(TimeOfAWaveStartsWithItsContent) {
  const Time first{std::chrono::seconds(100)};
  const Time second = first + std::chrono::seconds(50);
  WaveOrder order{.id = WaveId("1"),
                  .machines = {MachineId("m0")},
                  .duration = std::chrono::seconds(30)};
  ObservedWave wave;
  wave.Observe(order, 7, first);
  wave.Observe(order, 8, second);
  BOOST_TEST((wave.since == first));
  BOOST_TEST(wave.revision == 8);
  order.machines.insert(MachineId("m1"));
  wave.Observe(order, 9, second);
  BOOST_TEST((wave.since == second));
  BOOST_TEST(wave.order.machines.size() == 2);
}

// Guards against a wave without machines that stays under way for good.
BOOST_AUTO_TEST_CASE(WaveThatNamesNoMachineAnyLongerIsCompleted) {
  PlannerFixture fixture(2, 0.95);
  fixture.Order(2, 1, 60);
  fixture.Run(500);
  fixture.Order(0, 1, 60);
  fixture.Run(500);
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.orders.empty());
}

// Guards against a wave that is completed without a machine that one list left
// out: its pages are read one after the other while machines join and leave.
BOOST_AUTO_TEST_CASE(MachineThatOneListLeavesOutIsMaintained) {
  for (const std::size_t runs : {0U, 1U}) {
    PlannerFixture fixture(3, 0.1);
    fixture.loads.at(VmId("vm2")).runs = runs;
    fixture.Order(3, runs == 0 ? 1 : 3, 40);  // it is due, or drains
    fixture.Run(2200);
    fixture.unlisted.insert(MachineId("m2"));
    fixture.Run(600);
    fixture.unlisted.clear();
    fixture.loads.at(VmId("vm2")).runs = 0;
    fixture.Run(20'000);
    BOOST_TEST_CONTEXT("runs " << runs) {
      BOOST_TEST(fixture.completed);
      BOOST_TEST(fixture.started_at_completion == 3);
    }
  }
}

// Guards against a wave that stays completed when a machine returns that has
// been away from the list for long, as a zone without power is.
BOOST_AUTO_TEST_CASE(MachineThatReturnsToTheListReopensItsWave) {
  for (const std::size_t runs : {0U, 1U}) {
    PlannerFixture fixture(3, 0.1);
    VmLoad& load = fixture.loads.at(VmId("vm2"));
    load.runs = runs;
    fixture.Order(3, runs == 0 ? 1 : 3, 40);  // it is due, or drains
    fixture.Run(2200);
    fixture.unlisted.insert(MachineId("m2"));
    fixture.Run(10'000);
    BOOST_TEST_CONTEXT("runs " << runs) {
      BOOST_TEST(fixture.completed);
      BOOST_TEST(fixture.started_at_completion == 2);
      BOOST_TEST(!fixture.cordoned.contains(VmId("vm2")));
      fixture.unlisted.clear();
      load.runs = 1;
      fixture.Run(2100);
      BOOST_TEST(!fixture.completed);
      load.runs = 0;
      fixture.Run(10'000);
      BOOST_TEST(fixture.completed);
      BOOST_TEST(fixture.started_at_completion == 3);
    }
  }
}

// Guards against exceeding the limit of a wave: a machine that is down for its
// upkeep is left out of a list.
BOOST_AUTO_TEST_CASE(MachineThatIsDownAndNotListedCounts) {
  PlannerFixture fixture(2, 0.1);
  fixture.Run(1900);  // a list is read soon after the order
  fixture.Order(2, 1, 40);
  fixture.Run(100);
  BOOST_REQUIRE(fixture.orders.size() == 1);
  fixture.unlisted.insert(fixture.orders.begin()->first);
  fixture.Run(800);
  fixture.unlisted.clear();
  fixture.Run(15'000);
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.max_unavailable == 1);
}

// Guards against a wave that is completed without a machine whose order was
// refused: the platform may not know the machine yet, or not its wave.
BOOST_AUTO_TEST_CASE(RefusedMachineIsOrderedAgain) {
  for (const OrderAnswer answer :
       {OrderAnswer::kNotInWave, OrderAnswer::kNoMachine}) {
    PlannerFixture fixture(3, 0.1);
    fixture.refusals[MachineId("m1")] = answer;
    fixture.Order(3, 1, 40);
    fixture.Run(12'000);
    BOOST_TEST_CONTEXT(NameOf(answer)) {
      BOOST_TEST(!fixture.completed);
      BOOST_TEST(fixture.orders.size() == 2);  // the others do not wait
      fixture.refusals.clear();
      fixture.Run(20'000);
      BOOST_TEST(fixture.completed);
      BOOST_TEST(fixture.started_at_completion == 3);
      BOOST_TEST(fixture.max_unavailable == 1);
    }
  }
}

// Guards against a wave that waits for a machine that the platform refuses
// because it has left.
BOOST_AUTO_TEST_CASE(RefusedMachineThatHasLeftHoldsNoWaveUp) {
  PlannerFixture fixture(3, 0.1);
  fixture.refusals[MachineId("m1")] = OrderAnswer::kNoMachine;
  fixture.Order(3, 3, 40);
  fixture.Run(500);
  fixture.unlisted.insert(MachineId("m1"));
  fixture.Run(8000);
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.started_at_completion == 2);
}

// Guards against upkeep that overloads a busy pool although the wave is not
// urgent yet, and against waves that are never completed because of it.
BOOST_AUTO_TEST_CASE(BusyPoolWaitsUntilWaveIsUrgent) {
  PlannerFixture fixture(4, 0.95);
  fixture.Order(4, 2, 30);
  fixture.Run(10'000);
  BOOST_TEST(fixture.orders.empty());
  fixture.Run(20'000);
  BOOST_TEST(fixture.completed);
}

BOOST_AUTO_TEST_CASE(MachineWithLongRunningTasksIsNotOrdered) {
  PlannerFixture fixture(1, 0.1);
  fixture.loads.at(VmId("vm0")) = {.runs = 2, .long_running = 1};
  fixture.Order(1, 1, 5);
  fixture.Run(10'000);
  BOOST_TEST(fixture.orders.empty());
  BOOST_TEST(!fixture.completed);
  fixture.loads.at(VmId("vm0")) = {.runs = 1, .long_running = 0};
  fixture.Run(1000);
  BOOST_TEST(fixture.completed);
}

// Guards against an upkeep that ends tasks of a VM that has not answered yet
// after a takeover, and so seems empty.
BOOST_AUTO_TEST_CASE(MachineWhoseRunsAreNotKnownIsNotOrdered) {
  PlannerFixture fixture(2, 0.1);
  fixture.loads.at(VmId("vm0")).runs_known = false;
  fixture.Order(2, 2, 8);
  fixture.Run(9000);
  BOOST_TEST(!fixture.orders.contains(MachineId("m0")));
  BOOST_TEST(fixture.orders.at(MachineId("m1")) == 1);
  fixture.loads.at(VmId("vm0")).runs_known = true;
  fixture.Run(500);
  BOOST_TEST(fixture.orders.at(MachineId("m0")) == 1);
}

// Guards against exceeding the limit of a wave: an order without an answer may
// be carried out at any time, so its machine counts as unavailable and the
// order is repeated.
BOOST_AUTO_TEST_CASE(UnansweredOrdersCountAsUnavailable) {
  PlannerFixture fixture(6, 0.1);
  fixture.drops_answers = true;
  fixture.Order(6, 2, 60);
  fixture.Run(5000);
  BOOST_TEST(fixture.orders.size() == 2);
  BOOST_TEST(!fixture.completed);
  fixture.drops_answers = false;
  fixture.Run(15'000);
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.max_unavailable <= 2);
}

BOOST_AUTO_TEST_CASE(SuccessorWaitsAndSkipsStartedMachines) {
  PlannerFixture fixture(4, 0.1);
  fixture.planner = Planner(Limits{}, fixture.now + std::chrono::seconds(3));
  fixture.planner.SetStarted(WaveId("1"), {{MachineId("m0"), MachineId("m1")}});
  fixture.Order(4, 4, 30);
  fixture.Run(2900);
  BOOST_TEST(fixture.orders.empty());
  fixture.Run(5000);
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.orders.size() == 2);
  BOOST_TEST(fixture.started_at_completion == 4);
}

// Guards against exceeding the limit of a wave: an order of a killed
// predecessor that had no answer is carried out seconds later, while the
// successor has taken another machine of the wave.
BOOST_AUTO_TEST_CASE(LateOrderOfAPredecessorKeepsTheLimit) {
  for (int late_ms = 100; late_ms < 12'000; late_ms += 300) {
    for (const std::size_t runs : {0U, 2U}) {
      PlannerFixture fixture(4, 0.1);
      fixture.planner =
          Planner(Limits{}, fixture.now + std::chrono::seconds(3));
      // By itself the last one to be taken.
      fixture.loads.at(VmId("vm2")) = {.runs = runs,
                                       .pool_utilization_without = 0.6};
      fixture.planner.SetPredecessorOrders({{MachineId("m2"), VmId("vm2")}},
                                           fixture.now);
      fixture.Order(4, 1, 60);
      fixture.Run(late_ms);
      fixture.CarryOutLate("m2");
      fixture.loads.at(VmId("vm2")).runs = 0;
      fixture.Run(25'000);
      BOOST_TEST_CONTEXT("late by " << late_ms << " ms, runs " << runs) {
        BOOST_TEST(fixture.max_unavailable == 1);
        BOOST_TEST(fixture.completed);
        BOOST_TEST(fixture.orders.size() == 4);
      }
    }
  }
}

// The same if the predecessor may have ordered more machines than a wave takes
// out at a time: one still down is counted while the others are ordered.
BOOST_AUTO_TEST_CASE(LateOrderOfAPredecessorIsCountedBesideItsOthers) {
  PlannerFixture fixture(4, 0.1);
  fixture.planner = Planner(Limits{}, fixture.now + std::chrono::seconds(3));
  fixture.planner.SetPredecessorOrders({{MachineId("m1"), VmId("earlier")},
                                        {MachineId("m2"), VmId("vm2")},
                                        {MachineId("m3"), VmId("vm3")}},
                                       fixture.now);
  fixture.Order(4, 2, 60);
  fixture.Run(2000);
  fixture.CarryOutLate("m3", 4000);
  fixture.Run(30'000);
  BOOST_TEST(fixture.max_unavailable == 2);
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.orders.size() == 4);
}

// Guards against exceeding the limit of a wave: a machine whose upkeep is
// recorded as started is still down when the successor takes further ones.
BOOST_AUTO_TEST_CASE(StartedMachineCountsWhileItIsDown) {
  PlannerFixture fixture(3, 0.1);
  fixture.planner = Planner(Limits{}, fixture.now + std::chrono::seconds(3));
  fixture.planner.SetStarted(WaveId("1"), {{MachineId("m0")}});
  fixture.CarryOutLate("m0", 6000);
  fixture.Order(3, 1, 60);
  fixture.Run(20'000);
  BOOST_TEST(fixture.max_unavailable == 1);
  BOOST_TEST(fixture.completed);
}

// Guards against a wave that stands still for a machine that a predecessor may
// have ordered and that does not come back: others go on within the limit, and
// all once no order of the predecessor can be carried out any more.
BOOST_AUTO_TEST_CASE(MachineOfAPredecessorHoldsItsWaveForALimitedTime) {
  for (const int max_unavailable : {1, 2}) {
    PlannerFixture fixture(4, 0.1);
    fixture.planner = Planner(Limits{}, fixture.now + std::chrono::seconds(3));
    fixture.planner.SetPredecessorOrders({{MachineId("m0"), VmId("vm0")}},
                                         fixture.now);
    fixture.machines.at(MachineId("m0")).state = MachineState::kDown;
    fixture.Order(4, max_unavailable, 90);
    fixture.Run(30'000);
    BOOST_TEST(fixture.orders.size() == (max_unavailable == 1 ? 0U : 3U));
    fixture.Run(20'000);
    BOOST_TEST(fixture.orders.size() == 3);
  }
}

BOOST_AUTO_TEST_CASE(RemovedMachineDoesNotBlockItsWave) {
  PlannerFixture fixture(3, 0.1);
  fixture.machines.erase(MachineId("m2"));
  fixture.Order(3, 1, 30);
  fixture.Run(15'000);
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.started_at_completion == 2);
}

// Guards against a stale list that ends the upkeep of a machine early: in
// hunt-ab3d-19, a machine had been moved before, so a list read before the
// order showed it as up with another VM, and one machine more than the wave
// allows went down.
BOOST_AUTO_TEST_CASE(ListReadBeforeAnOrderIsIgnored) {
  Time now{std::chrono::seconds(100)};
  Planner planner{Limits{}, now};
  const auto machine = [](const char* id, const char* vm) {
    return Machine{.id = MachineId(id), .pool = PoolId("p"), .vm = VmId(vm)};
  };
  const auto tick = [&](std::int64_t ms) {
    now += std::chrono::milliseconds(ms);
    planner.Tick(now, [](const VmId&) { return VmLoad{}; });
    std::vector<std::string> actions;
    for (const Effect& effect : planner.TakeEffects()) {
      if (const auto* order = std::get_if<OrderUpkeep>(&effect)) {
        actions.push_back(order->machine.str());
      } else if (std::holds_alternative<ReadMachines>(effect)) {
        actions.emplace_back("read");
      }
    }
    return actions;
  };
  planner.SetWave({{.id = WaveId("1"),
                    .machines = {MachineId("m0"), MachineId("m1")},
                    .max_unavailable = 1,
                    .duration = std::chrono::seconds(30)},
                   now},
                  now);
  BOOST_TEST(tick(50) == std::vector<std::string>{"read"});
  planner.OnMachineList({machine("m0", "old"), machine("m1", "b")}, now);
  tick(50);
  // The next read starts before the order is answered.
  BOOST_TEST(tick(2000) == (std::vector<std::string>{"read", "m0"}));
  planner.OnOrderAnswer(MachineId("m0"), WaveId("1"), OrderAnswer::kDone, now);
  now += std::chrono::milliseconds(50);
  planner.OnMachineList({machine("m0", "moved"), machine("m1", "b")}, now);
  BOOST_TEST(tick(50).empty());
  BOOST_TEST(tick(50).empty());
  BOOST_TEST(tick(2000) == std::vector<std::string>{"read"});
  planner.OnMachineList({machine("m0", "new"), machine("m1", "b")}, now);
  tick(50);
  BOOST_TEST(tick(50) == std::vector<std::string>{"m1"});
}

// Guards against runs that are started a second time: an order that was carried
// out under a predecessor is answered as done, and the VM that the machine runs
// since then works on.
BOOST_AUTO_TEST_CASE(OrderThatWasDoneBeforeEndsNoVm) {
  Time now{std::chrono::seconds(100)};
  Planner planner{Limits{}, now};
  const Machine machine{
      .id = MachineId("m0"), .pool = PoolId("p"), .vm = VmId("new")};
  bool answered = false;
  bool terminated = false;
  bool cordoned = false;
  bool completed = false;
  planner.SetWave({{.id = WaveId("1"),
                    .machines = {machine.id},
                    .max_unavailable = 1,
                    .duration = std::chrono::seconds(30)},
                   now},
                  now);
  for (int i = 0; i < 100; ++i) {
    now += std::chrono::milliseconds(kStepMs);
    planner.Tick(now, [](const VmId&) { return VmLoad{}; });
    for (const Effect& effect : planner.TakeEffects()) {
      if (std::holds_alternative<ReadMachines>(effect)) {
        planner.OnMachineList({machine}, now);
      } else if (const auto* order = std::get_if<OrderUpkeep>(&effect)) {
        answered = true;
        planner.OnOrderAnswer(order->machine, order->wave, OrderAnswer::kDone,
                              now);
      } else if (const auto* cordon = std::get_if<SetCordon>(&effect)) {
        cordoned = cordon->on;
      } else if (const auto* saved = std::get_if<SaveWave>(&effect)) {
        completed = saved->completed;
        planner.OnWaveSaved(saved->wave, true, now);
      }
      terminated |= std::holds_alternative<VmTerminated>(effect);
    }
  }
  BOOST_TEST(answered);
  BOOST_TEST(completed);
  BOOST_TEST(!terminated);
  BOOST_TEST(!cordoned);
}

// Guards against tasks that wait for the end of a lease although their VM has
// ended with its machine's order: one list leaves the machine out.
BOOST_AUTO_TEST_CASE(EndOfAVmIsNotedAfterAListThatLeavesItOut) {
  OrderedVms vms;
  const MachineId id("m0");
  const Machine down{
      .id = id, .pool = PoolId("p"), .state = MachineState::kUpkeep};
  const Time start{std::chrono::seconds(100)};
  const auto later = [&](std::int64_t ms) {
    return start + std::chrono::milliseconds(ms);
  };
  vms.Add(id, VmId("vm0"), start);
  BOOST_TEST(vms.TakeEnded({}, later(100)).empty());
  BOOST_TEST((vms.TakeEnded({{id, down}}, later(600)) ==
              std::vector<VmId>{VmId("vm0")}));
  // A machine that has left is forgotten.
  vms.Add(id, VmId("vm1"), later(700));
  BOOST_TEST(vms.TakeEnded({}, later(800)).empty());
  BOOST_TEST(vms.TakeEnded({}, later(1800)).empty());
  BOOST_TEST(vms.TakeEnded({{id, down}}, later(2000)).empty());
}

// Guards against a list that is read without a pause while its service is away:
// the end of a VM with runs is awaited.
BOOST_AUTO_TEST_CASE(FailedReadsOfAnAwaitedListKeepTheirInterval) {
  Time now{std::chrono::seconds(100)};
  Planner planner{Limits{}, now};
  planner.SetPredecessorOrders({{MachineId("m0"), VmId("vm0")}}, now);
  int reads = 0;
  for (int i = 0; i < 40; ++i) {
    planner.Tick(now, [](const VmId&) { return VmLoad{.runs = 1}; });
    for (const Effect& effect : planner.TakeEffects()) {
      if (std::holds_alternative<ReadMachines>(effect)) {
        ++reads;
        planner.OnMachineListFailed(now);
      }
    }
    now += std::chrono::milliseconds(kStepMs);
  }
  // Every 500 ms in two seconds.
  BOOST_TEST(reads == 4);
}

// Guards against a record without a wave's number: a write fails after its wave
// was removed, while a machine is down for it.
BOOST_AUTO_TEST_CASE(RecordOfARemovedWaveIsNotWrittenAgain) {
  PlannerFixture fixture(2, 0.1);
  fixture.Order(2, 1, 30);
  fixture.Run(200);
  BOOST_REQUIRE(fixture.orders.size() == 1);
  fixture.planner.RemoveWave(WaveId("1"), fixture.now);
  const int before = fixture.saves;
  fixture.planner.OnWaveSaved(WaveId("1"), false, fixture.now);
  fixture.Run(5000);
  BOOST_TEST(fixture.saves == before);
  BOOST_TEST(fixture.planner.claimed().empty());
}

// Guards against writes of one wave that meet each other in the store: each
// expects the revision of the one before.
BOOST_AUTO_TEST_CASE(RecordOfAWaveIsWrittenOnceAtATime) {
  PlannerFixture fixture(3, 0.1);
  fixture.Order(3, 3, 30);
  fixture.drops_saves = true;
  fixture.Run(800);
  BOOST_TEST(fixture.saves == 1);  // under way
  BOOST_TEST(fixture.orders.size() == 3);
  fixture.drops_saves = false;
  fixture.planner.OnWaveSaved(WaveId("1"), true, fixture.now);
  fixture.Run(100);
  BOOST_TEST(fixture.saves == 2);  // all that has changed
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.started_at_completion == 3);
}

// Guards against a successor that drains a machine again because the record of
// its upkeep was lost.
BOOST_AUTO_TEST_CASE(RecordOfAWaveIsRepeatedUntilItIsStored) {
  PlannerFixture fixture(1, 0.1);
  const WaveId wave("1");
  fixture.Order(1, 1, 30);
  fixture.Run(6000);
  BOOST_REQUIRE(fixture.completed);
  fixture.completed = false;
  fixture.started_at_completion = 0;
  fixture.planner.OnWaveSaved(wave, false, fixture.now);
  fixture.Run(1000);
  BOOST_TEST(fixture.completed);
  BOOST_TEST(fixture.started_at_completion == 1);
  fixture.completed = false;
  fixture.planner.OnWaveSaved(wave, true, fixture.now);
  fixture.Run(1000);
  BOOST_TEST(!fixture.completed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::upkeep
