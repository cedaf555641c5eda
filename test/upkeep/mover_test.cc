#include <boost/test/unit_test.hpp>

#include "upkeep/upkeep.h"

namespace kch::upkeep {
namespace {

constexpr jobs::Resources kMachineSize{32'000, 128'000, 0};

// Three pools of four machines each and a pool that stands by.
struct Site {
  Time now{std::chrono::seconds(100)};
  Mover mover{MoveLimits{}};
  MachineList machines;
  std::map<PoolId, PoolDemand> pools;
  std::map<VmId, VmLoad> loads;
  std::set<MachineId> busy;
  std::set<ZoneId> zones_out;

  Site() {
    for (const char* pool : {"a", "b", "c", "spare"}) {
      const bool standby = std::string(pool) == "spare";
      this->pools[PoolId(pool)] = {.standby = standby};
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
        this->machines, this->busy, this->zones_out, this->pools,
        [this](const VmId& vm) {
          const auto found = this->loads.find(vm);
          return found == this->loads.end() ? std::nullopt
                                            : std::optional(found->second);
        },
        this->now);
    std::vector<OrderMove> orders;
    for (const Effect& effect : this->mover.Take()) {
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
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(MoverTest)

// Replays a queue's turn: it asks more than its pool holds while the other
// pools are idle.
BOOST_AUTO_TEST_CASE(PoolWithABacklogTakesIdleMachines) {
  Site site;
  site.SetBacklog("a", 70);
  const auto orders = site.Tick();
  BOOST_TEST(orders.size() == 3);
  for (const OrderMove& order : orders) {
    BOOST_TEST(order.to.str() == "a");
    BOOST_TEST(site.machines.at(order.machine).pool.str() != "spare");
  }
  // What is on its way counts, so nothing more is taken.
  BOOST_TEST(site.Tick().empty());
}

BOOST_AUTO_TEST_CASE(SmallBacklogMovesNothing) {
  Site site;
  site.SetBacklog("a", 30);
  BOOST_TEST(site.Tick().empty());
}

BOOST_AUTO_TEST_CASE(MachinesWithRunsAndBusyOnesStay) {
  Site site;
  for (auto& [vm, load] : site.loads) {
    load.runs = 1;
  }
  site.loads.at(VmId("vm-b1")).runs = 0;
  site.loads.at(VmId("vm-c2")).runs = 0;
  site.busy.insert(MachineId("c2"));
  for (int i = 0; i < 4; ++i) {
    site.busy.insert(MachineId("spare" + std::to_string(i)));
  }
  site.SetBacklog("a", 60);
  const auto orders = site.Tick();
  BOOST_REQUIRE(orders.size() == 1);
  BOOST_TEST(orders[0].machine.str() == "b1");
}

// Machines of a zone that is out are idle but could start nothing elsewhere.
BOOST_AUTO_TEST_CASE(MachinesOfAZoneThatIsOutStay) {
  Site site;
  for (auto& [id, machine] : site.machines) {
    machine.zone = ZoneId(machine.pool.str() == "b" ? "z1" : "z2");
  }
  site.zones_out.insert(ZoneId("z2"));
  site.SetBacklog("a", 150);
  const auto orders = site.Tick();
  // A pool keeps its last machine.
  BOOST_TEST(orders.size() == 3);
  for (const OrderMove& order : orders) {
    BOOST_TEST(site.machines.at(order.machine).pool.str() == "b");
  }
}

// A machine that stands by is at work as soon as one of another pool, and
// leaves the other pool what it keeps for its own turn.
BOOST_AUTO_TEST_CASE(StandingByMachinesComeBeforeThoseThatPoolsKeep) {
  Site site;
  // Each pool keeps a third of what it has on average, 56 cores: two machines.
  site.SetBacklog("a", 256);
  const auto orders = site.Tick();
  std::map<std::string, int> from;
  for (std::size_t i = 0; i < orders.size(); ++i) {
    const std::string pool = site.machines.at(orders[i].machine).pool.str();
    ++from[pool];
    BOOST_TEST((pool == "spare") == (i >= 4));
  }
  BOOST_TEST(orders.size() == 8);
  BOOST_TEST(from["b"] == 2);
  BOOST_TEST(from["c"] == 2);
  // A deeper backlog takes what the calm pools keep, as far as they are calm.
  Site deeper;
  deeper.SetBacklog("a", 384);
  BOOST_TEST(deeper.Tick().size() == 10);
}

BOOST_AUTO_TEST_CASE(PoolKeepsWhatItNeeds) {
  Site site;
  for (int i = 0; i < 4; ++i) {
    site.busy.insert(MachineId("spare" + std::to_string(i)));
  }
  site.pools[PoolId("b")].used = {48'000, 0, 0};
  site.pools[PoolId("c")].used = {100'000, 0, 0};
  site.SetBacklog("a", 100);
  // Pool b may go down to three machines: 48 of 96 cores would be too many.
  BOOST_TEST(site.Tick().empty());
  site.pools[PoolId("b")].used = {30'000, 0, 0};
  BOOST_TEST(site.Tick().size() == 1);
}

BOOST_AUTO_TEST_CASE(UnansweredOrderIsRepeatedAndARefusedOneEnds) {
  Site site;
  site.SetBacklog("a", 60);
  auto orders = site.Tick();
  BOOST_REQUIRE(orders.size() == 2);
  site.mover.OnOrder(orders[0].machine, OrderAnswer::kUnknown, site.now);
  site.mover.OnOrder(orders[1].machine, OrderAnswer::kBusy, site.now);
  BOOST_TEST(site.mover.moving().size() == 1);
  site.pools[PoolId("a")].waiting = {};
  orders = site.Tick(500);
  BOOST_REQUIRE(orders.size() == 1);
  site.mover.OnOrder(orders[0].machine, OrderAnswer::kDone, site.now);
  site.machines.at(orders[0].machine).pool = PoolId("a");
  site.Tick(500);
  BOOST_TEST(site.mover.moving().empty());
}

// The load pattern: a queue's turn is over and its machines stand idle, while
// the next turn is another queue's. Machines in a pool cost though they are
// idle.
BOOST_AUTO_TEST_CASE(IdleMachinesStandBy) {
  Site site;
  site.pools[PoolId("a")].used = {10'000, 0, 0};
  site.pools[PoolId("c")].used = {100'000, 0, 0};
  BOOST_TEST(site.Tick().empty());
  BOOST_TEST(site.Tick(1000).empty());
  const auto orders = site.Tick(1000);
  // Beside what is used, a third of the average pool stays free: 56 cores.
  std::map<std::string, int> from;
  for (const OrderMove& order : orders) {
    BOOST_TEST(order.to.str() == "spare");
    ++from[site.machines.at(order.machine).pool.str()];
  }
  BOOST_TEST(from["a"] == 1);
  BOOST_TEST(from["b"] == 2);
  BOOST_TEST(from["c"] == 0);
}

BOOST_AUTO_TEST_CASE(MachinesThatWorkedJustNowStay) {
  Site site;
  site.Tick();
  site.loads.at(VmId("vm-b0")).runs = 1;
  site.Tick(1400);
  site.loads.at(VmId("vm-b0")).runs = 0;
  for (const OrderMove& order : site.Tick(200)) {
    BOOST_TEST(order.machine.str() != "b0");
  }
}

BOOST_AUTO_TEST_CASE(NothingStandsByWhileAPoolHasABacklog) {
  Site site;
  site.SetBacklog("b", 30);
  site.Tick();
  BOOST_TEST(site.Tick(2000).empty());
  BOOST_TEST(site.Tick(2000).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::upkeep
