#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "test/jobs/fleet_sim.h"
#include "upkeep/upkeep.h"

namespace kch::upkeep {
namespace {

constexpr jobs::Resources kMachineSize{32'000, 128'000, 0};

// Three pools of four machines each and a standby pool of four.
struct MoverFixture {
  Time now{std::chrono::seconds(100)};
  Mover mover{MoveLimits{}};
  MachineList machines;
  std::map<PoolId, PoolDemand> pools;
  std::map<VmId, VmLoad> loads;
  std::set<MachineId> busy;
  std::set<ZoneId> excluded_zones;
  std::vector<Effect> effects;  // of the last Tick

  MoverFixture() {
    for (const char* pool : {"a", "b", "c", "spare"}) {
      const bool standby = std::string(pool) == "spare";
      // The peaks are known, and need nothing.
      this->pools[PoolId(pool)] = {.standby = standby,
                                   .peak = jobs::Resources{}};
      for (int i = 0; i < 4; ++i) {
        const std::string name = pool + std::to_string(i);
        const VmId vm(standby ? "" : "vm-" + name);
        this->machines[MachineId(name)] = {.id = MachineId(name),
                                           .pool = PoolId(pool),
                                           .vm = vm,
                                           .capacity = kMachineSize};
        if (!standby) {
          this->loads[vm] = {};
          this->pools[PoolId(pool)].capacity += kMachineSize;
        }
      }
    }
  }

  std::vector<OrderMove> Tick(std::int64_t ms = 50) {
    this->now += std::chrono::milliseconds(ms);
    this->mover.Tick(
        this->machines, this->now, this->busy, this->excluded_zones,
        this->pools,
        [this](const VmId& vm) {
          const auto found = this->loads.find(vm);
          return found == this->loads.end() ? std::nullopt
                                            : std::optional(found->second);
        },
        this->now);
    std::vector<OrderMove> orders;
    this->effects = this->mover.TakeEffects();
    for (const Effect& effect : this->effects) {
      if (const auto* order = std::get_if<OrderMove>(&effect)) {
        orders.push_back(*order);
      }
    }
    return orders;
  }

  void SetBacklog(const char* pool, std::int64_t cores) {
    PoolDemand& demand = this->pools[PoolId(pool)];
    demand.used = demand.capacity;
    demand.waiting = {cores * 1000, 0, 0};
    demand.need = demand.used + demand.waiting;
  }
};

// Tasks of which each VM takes `max_per_vm`.
jobs::PlacementNeed SpreadNeed(std::int64_t tasks,
                               std::int64_t places,
                               std::int32_t max_per_vm = 1) {
  return {.rule = {.task = {100, 100, 0}, .max_per_vm = max_per_vm},
          .tasks = tasks,
          .startable = tasks,
          .places = places};
}

// A backlog that would take several machines moves this one alone.
void CheckOnlyOneMoves(MoverFixture& fixture, const std::string& machine) {
  for (int i = 0; i < 4; ++i) {
    fixture.busy.insert(MachineId("spare" + std::to_string(i)));
  }
  fixture.SetBacklog("a", 60);
  const auto orders = fixture.Tick();
  BOOST_REQUIRE(orders.size() == 1);
  BOOST_TEST(orders[0].machine.str() == machine);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(MoverTest)

// Guards against a queue that waits at its peak, with more demand than its pool
// has capacity, while the other pools are idle.
BOOST_AUTO_TEST_CASE(PoolWithBacklogTakesIdleMachines) {
  MoverFixture fixture;
  fixture.SetBacklog("a", 70);
  const auto orders = fixture.Tick();
  BOOST_TEST(orders.size() == 3);
  for (const OrderMove& order : orders) {
    BOOST_TEST(order.to.str() == "a");
    BOOST_TEST(fixture.machines.at(order.machine).pool.str() != "spare");
  }
  // Machines being moved count as capacity, so no more are taken.
  BOOST_TEST(fixture.Tick().empty());
}

BOOST_AUTO_TEST_CASE(SmallBacklogMovesNothing) {
  MoverFixture fixture;
  fixture.SetBacklog("a", 30);
  BOOST_TEST(fixture.Tick().empty());
}

BOOST_AUTO_TEST_CASE(BusyMachinesAndMachinesWithRunsAreNotMoved) {
  MoverFixture fixture;
  for (auto& [vm, load] : fixture.loads) {
    load.runs = 1;
  }
  fixture.loads.at(VmId("vm-b1")).runs = 0;
  fixture.loads.at(VmId("vm-c2")).runs = 0;
  fixture.busy.insert(MachineId("c2"));
  CheckOnlyOneMoves(fixture, "b1");
}

// Guards against moves that end tasks: after a takeover a VM that has not
// answered yet was taken for idle.
BOOST_AUTO_TEST_CASE(MachinesWhoseRunsAreNotKnownAreNotMoved) {
  MoverFixture fixture;
  for (auto& [vm, load] : fixture.loads) {
    load.runs_known = false;
  }
  fixture.loads.at(VmId("vm-b1")).runs_known = true;
  CheckOnlyOneMoves(fixture, "b1");
}

// Guards against moves of machines in an excluded zone: they are idle, but
// could not start tasks in another pool either.
BOOST_AUTO_TEST_CASE(MachinesInExcludedZonesAreNotMoved) {
  MoverFixture fixture;
  for (auto& [id, machine] : fixture.machines) {
    machine.zone = ZoneId(machine.pool.str() == "b" ? "z1" : "z2");
  }
  fixture.excluded_zones.insert(ZoneId("z2"));
  fixture.SetBacklog("a", 150);
  const auto orders = fixture.Tick();
  // A pool does not give up its last machine.
  BOOST_TEST(orders.size() == 3);
  for (const OrderMove& order : orders) {
    BOOST_TEST(fixture.machines.at(order.machine).pool.str() == "b");
  }
}

// Guards against taking the reserves of other pools while standby machines,
// which are available just as soon, are left.
BOOST_AUTO_TEST_CASE(StandbyMachinesAreTakenBeforeReserves) {
  MoverFixture fixture;
  // Each pool reserves 0.33 of the average capacity of the three pools, 56
  // cores: two machines.
  fixture.SetBacklog("a", 256);
  const auto orders = fixture.Tick();
  std::map<std::string, int> from;
  for (std::size_t i = 0; i < orders.size(); ++i) {
    const std::string pool = fixture.machines.at(orders[i].machine).pool.str();
    ++from[pool];
    BOOST_TEST((pool == "spare") == (i >= 4));
  }
  BOOST_TEST(orders.size() == 8);
  BOOST_TEST(from["b"] == 2);
  BOOST_TEST(from["c"] == 2);
  // A larger backlog takes machines from the reserves too, as long as the
  // utilization of their pools stays low.
  MoverFixture deeper;
  deeper.SetBacklog("a", 384);
  BOOST_TEST(deeper.Tick().size() == 10);
}

BOOST_AUTO_TEST_CASE(PoolRetainsMachinesItNeeds) {
  MoverFixture fixture;
  for (int i = 0; i < 4; ++i) {
    fixture.busy.insert(MachineId("spare" + std::to_string(i)));
  }
  fixture.pools[PoolId("b")].used = {48'000, 0, 0};
  fixture.pools[PoolId("c")].used = {100'000, 0, 0};
  fixture.SetBacklog("a", 100);
  // With three machines left, pool b would use 48 of 96 cores: more than the
  // limit of 0.4.
  BOOST_TEST(fixture.Tick().empty());
  fixture.pools[PoolId("b")].used = {30'000, 0, 0};
  BOOST_TEST(fixture.Tick().size() == 1);
}

BOOST_AUTO_TEST_CASE(UnansweredOrderIsRepeatedAndRefusedOrderIsDropped) {
  MoverFixture fixture;
  fixture.SetBacklog("a", 60);
  auto orders = fixture.Tick();
  BOOST_REQUIRE(orders.size() == 2);
  fixture.mover.OnOrderAnswer(orders[0].machine, OrderAnswer::kUnknown,
                              fixture.now);
  fixture.mover.OnOrderAnswer(orders[1].machine, OrderAnswer::kBusy,
                              fixture.now);
  BOOST_TEST(fixture.mover.moving().size() == 1);
  fixture.pools[PoolId("a")].waiting = {};
  fixture.pools[PoolId("a")].need = {};
  orders = fixture.Tick(500);
  BOOST_REQUIRE(orders.size() == 1);
  fixture.mover.OnOrderAnswer(orders[0].machine, OrderAnswer::kDone,
                              fixture.now);
  fixture.machines.at(orders[0].machine).pool = PoolId("a");
  fixture.Tick(500);
  BOOST_TEST(fixture.mover.moving().empty());
}

// Guards against runs that are started a second time: a move that was carried
// out before is answered as done, and the machine's VM works on.
BOOST_AUTO_TEST_CASE(MoveThatWasDoneBeforeEndsNoVm) {
  MoverFixture fixture;
  fixture.SetBacklog("a", 60);
  for (const OrderMove& order : fixture.Tick()) {
    fixture.mover.OnOrderAnswer(order.machine, OrderAnswer::kDone, fixture.now);
    fixture.machines.at(order.machine).pool = order.to;
  }
  BOOST_TEST(!fixture.mover.moving().empty());
  std::set<VmId> cordoned;
  for (const Effect& effect : fixture.effects) {
    if (const auto* cordon = std::get_if<SetCordon>(&effect)) {
      cordoned.insert(cordon->vm);
    }
  }
  BOOST_TEST(cordoned.size() == 2U);
  for (auto& [id, pool] : fixture.pools) {
    pool.waiting = {};
    pool.need = {};
    pool.peak.reset();
  }
  for (int i = 0; i < 10; ++i) {
    fixture.Tick(500);
    for (const Effect& effect : fixture.effects) {
      BOOST_TEST(!std::holds_alternative<VmTerminated>(effect));
      if (const auto* cordon = std::get_if<SetCordon>(&effect)) {
        BOOST_TEST(!cordon->on);
        cordoned.erase(cordon->vm);
      }
    }
  }
  BOOST_TEST(fixture.mover.moving().empty());
  BOOST_TEST(cordoned.empty());
}

// Guards against a VM that stays closed to tasks for good, and a pool that gets
// a second machine, because one list leaves out a machine that is on its way.
BOOST_AUTO_TEST_CASE(MoveGoesOnWhileAListLeavesItsMachineOut) {
  for (const bool returns : {true, false}) {
    MoverFixture fixture;
    fixture.SetBacklog("a", 60);
    std::set<VmId> cordoned;
    for (const OrderMove& order : fixture.Tick()) {
      fixture.mover.OnOrderAnswer(order.machine, OrderAnswer::kDone,
                                  fixture.now);
      cordoned.insert(order.vm);
    }
    const std::set<MachineId> moving = fixture.mover.moving();
    BOOST_REQUIRE(moving.size() == 2U);
    const MachineList all = fixture.machines;
    for (const MachineId& machine : moving) {
      fixture.machines.erase(machine);
    }
    BOOST_TEST(fixture.Tick(500).empty());
    BOOST_TEST((fixture.mover.moving() == moving));
    if (returns) {
      fixture.machines = all;  // with the VMs of before, in their pools
    }
    for (auto& [id, pool] : fixture.pools) {
      pool.waiting = {};
      pool.need = {};
      pool.peak.reset();
    }
    for (int i = 0; i < (returns ? 30 : 4); ++i) {
      fixture.Tick(500);
      for (const Effect& effect : fixture.effects) {
        if (const auto* cordon = std::get_if<SetCordon>(&effect)) {
          cordoned.erase(cordon->vm);
        }
      }
    }
    BOOST_TEST(fixture.mover.moving().empty());
    BOOST_TEST(cordoned.empty());
  }
}

// Guards against machines that cost money while idle: the peak of their queue
// is over, and the next peak is that of another queue.
BOOST_AUTO_TEST_CASE(IdleMachinesMoveToStandby) {
  MoverFixture fixture;
  fixture.pools[PoolId("a")].used = {10'000, 0, 0};
  fixture.pools[PoolId("c")].used = {100'000, 0, 0};
  BOOST_TEST(fixture.Tick().empty());
  BOOST_TEST(fixture.Tick(1000).empty());
  const auto orders = fixture.Tick(1000);
  // Beside the used capacity, 0.33 of the average capacity of a pool stays
  // free: 56 cores.
  std::map<std::string, int> from;
  for (const OrderMove& order : orders) {
    BOOST_TEST(order.to.str() == "spare");
    ++from[fixture.machines.at(order.machine).pool.str()];
  }
  BOOST_TEST(from["a"] == 1);
  BOOST_TEST(from["b"] == 2);
  BOOST_TEST(from["c"] == 0);
}

BOOST_AUTO_TEST_CASE(RecentlyUsedMachinesAreNotMoved) {
  MoverFixture fixture;
  fixture.Tick();
  fixture.loads.at(VmId("vm-b0")).runs = 1;
  fixture.Tick(1400);
  fixture.loads.at(VmId("vm-b0")).runs = 0;
  for (const OrderMove& order : fixture.Tick(200)) {
    BOOST_TEST(order.machine.str() != "b0");
  }
}

BOOST_AUTO_TEST_CASE(NoMachineMovesToStandbyDuringABacklog) {
  MoverFixture fixture;
  fixture.SetBacklog("b", 30);
  fixture.Tick();
  BOOST_TEST(fixture.Tick(2000).empty());
  BOOST_TEST(fixture.Tick(2000).empty());
}

// Guards against machines that are ordered only once work waits, although more
// arrives than the pool can do.
BOOST_AUTO_TEST_CASE(ForecastNeedIsServedBeforeABacklog) {
  MoverFixture fixture;
  PoolDemand& pool = fixture.pools[PoolId("a")];
  pool.need = pool.capacity + jobs::Resources{70'000, 0, 0};
  BOOST_TEST(fixture.Tick().size() == 3);
  BOOST_TEST(fixture.Tick().empty());
  // A need that goes on to rise is followed.
  pool.need.cpu_m += 40'000;
  BOOST_TEST(fixture.Tick().size() == 1);
}

BOOST_AUTO_TEST_CASE(PoolsKeepWhatTheirForecastNeeds) {
  MoverFixture fixture;
  fixture.busy = {MachineId("spare0"), MachineId("spare1"), MachineId("spare2"),
                  MachineId("spare3")};
  for (const char* pool : {"b", "c"}) {
    fixture.pools[PoolId(pool)].need = {100'000, 0, 0};
  }
  fixture.SetBacklog("a", 150);
  BOOST_TEST(fixture.Tick().empty());
}

// Guards against a pool that is emptied while others have plenty.
BOOST_AUTO_TEST_CASE(DonorsGiveEvenly) {
  MoverFixture fixture;
  fixture.busy = {MachineId("spare0"), MachineId("spare1"), MachineId("spare2"),
                  MachineId("spare3")};
  fixture.SetBacklog("a", 60);
  std::map<std::string, int> from;
  for (const OrderMove& order : fixture.Tick()) {
    ++from[fixture.machines.at(order.machine).pool.str()];
  }
  BOOST_TEST(from["b"] == 1);
  BOOST_TEST(from["c"] == 1);
}

// Guards against a pool that has given up its machines when its peak comes.
BOOST_AUTO_TEST_CASE(MachinesForAPeakStayInTheirPool) {
  MoverFixture fixture;
  fixture.pools[PoolId("a")].peak.reset();
  fixture.pools[PoolId("b")].peak = jobs::Resources{90'000, 0, 0};
  fixture.Tick();
  std::map<std::string, int> from;
  for (const OrderMove& order : fixture.Tick(1600)) {
    ++from[fixture.machines.at(order.machine).pool.str()];
  }
  BOOST_TEST(from["a"] == 0);
  BOOST_TEST(from["b"] == 1);
  BOOST_TEST(from["c"] == 2);
}

// Guards against moves for a VM that is silent for a moment, and against more
// machines than are missing while those that were ordered arrive: the list
// shows them in their pool before their VMs register.
BOOST_AUTO_TEST_CASE(PlacesMissingForASecondAreMadeUpOnce) {
  MoverFixture fixture;
  for (auto& [id, pool] : fixture.pools) {
    pool.peak.reset();
  }
  const PoolId a("a");
  fixture.pools[a].placement = {SpreadNeed(12, 8, 2)};
  BOOST_TEST(fixture.Tick().empty());
  BOOST_TEST(fixture.Tick(950).empty());
  const auto orders = fixture.Tick();
  BOOST_TEST(orders.size() == 2U);
  for (const OrderMove& order : orders) {
    BOOST_TEST(order.to == a);
    fixture.mover.OnOrderAnswer(order.machine, OrderAnswer::kDone, fixture.now);
  }
  BOOST_TEST(fixture.Tick(1500).empty());
  for (const OrderMove& order : orders) {
    fixture.machines.at(order.machine).pool = a;
    fixture.machines.at(order.machine).vm = VmId("new" + order.machine.str());
  }
  BOOST_TEST(fixture.Tick(1000).empty());
  BOOST_TEST(fixture.Tick(1000).empty());
  BOOST_TEST(fixture.mover.moving().empty());
}

// Guards against a pool that gives up, as idle or for the backlog of another
// one, machines whose places its steps need.
BOOST_AUTO_TEST_CASE(PoolsKeepMachinesForTheirSteps) {
  for (const bool backlog : {false, true}) {
    MoverFixture fixture;
    fixture.pools[PoolId("b")].placement = {SpreadNeed(4, 4)};
    fixture.pools[PoolId("c")].placement = {SpreadNeed(3, 4)};
    if (backlog) {
      fixture.SetBacklog("a", 384);
    } else {
      fixture.Tick();
    }
    std::map<std::string, int> from;
    for (const OrderMove& order : fixture.Tick(1600)) {
      ++from[fixture.machines.at(order.machine).pool.str()];
    }
    BOOST_TEST(from["b"] == 0);
    BOOST_TEST(from["c"] == 1);
  }
}

// Guards against an owner that decides for longer than its lease: many idle
// machines leave a pool at once, each weighed against all needs of its steps.
BOOST_AUTO_TEST_CASE(ManyNeedsAndMachinesHoldNobodyUp) {
  MoverFixture fixture;
  PoolDemand& a = fixture.pools[PoolId("a")];
  PoolDemand& b = fixture.pools[PoolId("b")];
  for (int i = 0; i < 2000; ++i) {
    Machine machine = fixture.machines.at(MachineId(i % 2 == 0 ? "a0" : "b0"));
    machine.id = MachineId("more-" + std::to_string(i));
    machine.vm = VmId(machine.id.str());
    fixture.pools[machine.pool].capacity += machine.capacity;
    fixture.loads[machine.vm] = {};
    fixture.machines[machine.id] = machine;
  }
  for (int i = 0; i < 48; ++i) {
    b.placement.push_back(SpreadNeed(10, 1000));
    b.placement.back().rule.task.cpu_m += i;
    a.placement.push_back(SpreadNeed(1000 + 6 * i, 1000));
    a.placement.back().rule.task.cpu_m += i;
  }
  fixture.Tick();
  std::size_t orders = 0;
  const double s =
      jobs::test::ProcessorSeconds([&] { orders = fixture.Tick(1600).size(); });
  BOOST_TEST_MESSAGE(orders << " orders in " << s << " s");
  BOOST_TEST(orders > 500U);
#if !defined(__SANITIZE_ADDRESS__)
  BOOST_TEST(s < jobs::test::kOwnerLeaseS);
#endif
}

// Whatever the load, no pool is left with less than it needs for another one,
// and no more machines move than make up for the deficits.
BOOST_AUTO_TEST_CASE(MovesAreBoundedAndLeaveDonorsTheirNeed) {
  BOOST_TEST(rc::check([] {
    MoverFixture fixture;
    std::int64_t deficit = 0;
    for (const char* name : {"a", "b", "c"}) {
      PoolDemand& pool = fixture.pools[PoolId(name)];
      pool.need.cpu_m = *rc::gen::inRange(0, 300'000);
      pool.peak.reset();
      deficit +=
          std::max<std::int64_t>(0, pool.need.cpu_m - pool.capacity.cpu_m);
    }
    std::map<PoolId, std::int64_t> left;
    for (const auto& [id, pool] : fixture.pools) {
      left[id] = pool.capacity.cpu_m;
    }
    constexpr std::int64_t pools = 3;
    const auto orders = fixture.Tick();
    RC_ASSERT(static_cast<std::int64_t>(orders.size()) <=
              deficit / kMachineSize.cpu_m + pools);
    for (const OrderMove& order : orders) {
      const PoolId& from = fixture.machines.at(order.machine).pool;
      if (!fixture.pools.at(from).standby) {
        left[from] -= kMachineSize.cpu_m;
        RC_ASSERT(left[from] >= fixture.pools.at(from).need.cpu_m);
      }
    }
  }));
}

// Whatever the steps need, no donor is left with fewer places than it needs, no
// more machines move than make up the missing ones, and a gang gets all or
// none.
BOOST_AUTO_TEST_CASE(MovesForStepsAreBoundedAndLeaveDonorsTheirPlaces) {
  BOOST_TEST(rc::check([] {
    MoverFixture fixture;
    for (auto& [id, machine] : fixture.machines) {
      if (*rc::gen::arbitrary<bool>()) {
        machine.labels.insert("l");
      }
      if (*rc::gen::inRange(0, 4) == 0) {
        fixture.busy.insert(id);
      }
    }
    const auto places = [&](const Machine& machine,
                            const jobs::PlacementNeed& need) {
      return need.rule.PlacesOn(machine.capacity, machine.labels, need.tasks);
    };
    for (const char* name : {"a", "b", "c"}) {
      PoolDemand& pool = fixture.pools[PoolId(name)];
      const int needs = *rc::gen::inRange(0, 3);
      for (int i = 0; i < needs; ++i) {
        jobs::PlacementNeed need =
            SpreadNeed(*rc::gen::inRange(1, 20), 0, *rc::gen::inRange(0, 3));
        need.rule.task.cpu_m = *rc::gen::inRange(1, 40'000);
        need.rule.label = *rc::gen::arbitrary<bool>() ? "l" : "";
        need.rule.all_or_none = *rc::gen::arbitrary<bool>();
        for (const auto& [id, machine] : fixture.machines) {
          need.places += machine.pool.str() == name ? places(machine, need) : 0;
        }
        pool.placement.push_back(need);
      }
    }
    fixture.Tick();
    std::map<PoolId, std::vector<const Machine*>> given;
    std::map<PoolId, std::vector<const Machine*>> received;
    // Idle machines move to standby in the same pass.
    for (const OrderMove& order : fixture.Tick(1600)) {
      const Machine& machine = fixture.machines.at(order.machine);
      given[machine.pool].push_back(&machine);
      received[order.to].push_back(&machine);
    }
    for (const auto& [id, pool] : fixture.pools) {
      std::int64_t most_received = pool.standby ? 12 : 0;
      for (const jobs::PlacementNeed& need : pool.placement) {
        std::int64_t lost = 0;
        for (const Machine* machine : given[id]) {
          lost += places(*machine, need);
        }
        // A gang that cannot be placed has no use for its places.
        const bool useless = need.rule.all_or_none && need.places < need.tasks;
        RC_ASSERT(lost == 0 || useless || need.places - lost >= need.tasks);
        std::int64_t gained = 0;
        for (const Machine* machine : received[id]) {
          gained += places(*machine, need);
        }
        RC_ASSERT(received[id].empty() || pool.placement.size() > 1 ||
                  !need.rule.all_or_none || gained >= need.Missing());
        // All machines are of one size, so each that helps offers as much.
        const std::int64_t each = std::max<std::int64_t>(
            1, need.rule.PlacesOn(kMachineSize, {"l"}, need.tasks));
        most_received += (need.Missing() + each - 1) / each;
      }
      RC_ASSERT(std::ssize(received[id]) <= most_received);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::upkeep
