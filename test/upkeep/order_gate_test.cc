#include <boost/test/unit_test.hpp>

#include "upkeep/upkeep.h"

namespace kch::upkeep {
namespace {

constexpr auto kHandover = std::chrono::milliseconds(3000);
constexpr auto kLateOrderTime = std::chrono::seconds(30);

struct OrderGateFixture {
  Time now{std::chrono::seconds(100)};
  OrderGate gate{kHandover, kLateOrderTime};
  OrderedMachines stored;
  std::vector<std::string> sent;
  bool store_down = false;
  int writes = 0;

  static Order Move(const char* machine) {
    return OrderMove{MachineId(machine), PoolId("p")};
  }
  // Performs the effects of the gate until there are no more.
  void Run(std::int64_t ms) {
    this->now += std::chrono::milliseconds(ms);
    this->gate.Tick(this->now);
    for (auto effects = this->gate.TakeEffects(); !effects.empty();
         effects = this->gate.TakeEffects()) {
      for (const Effect& effect : effects) {
        if (const auto* store = std::get_if<StoreOrderedMachines>(&effect)) {
          ++this->writes;
          if (!this->store_down) {
            this->stored = store->machines;
          }
          this->gate.OnStored(!this->store_down, this->now);
        } else if (const auto* move = std::get_if<OrderMove>(&effect)) {
          BOOST_TEST(this->stored.contains(move->machine));
          this->sent.push_back(move->machine.str());
        }
      }
      this->gate.Tick(this->now);
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(OrderGateTest)

// Guards against an order that is sent before its machine is persisted: a
// successor could not take it into account.
BOOST_AUTO_TEST_CASE(MachinesArePersistedBeforeTheyAreOrdered) {
  OrderGateFixture fixture;
  fixture.gate.Add(OrderGateFixture::Move("a"));
  fixture.gate.Add(OrderGateFixture::Move("b"));
  fixture.store_down = true;
  fixture.Run(50);
  BOOST_TEST(fixture.sent.empty());
  fixture.store_down = false;
  fixture.Run(150);
  BOOST_TEST(fixture.sent.size() == 2U);
  BOOST_TEST(fixture.writes == 2);
}

BOOST_AUTO_TEST_CASE(MachinesStayPersistedForTheHandoverPeriod) {
  OrderGateFixture fixture;
  fixture.gate.Add(OrderGateFixture::Move("a"));
  fixture.Run(50);
  fixture.gate.Add(OrderGateFixture::Move("b"));
  fixture.Run(2000);
  BOOST_TEST(fixture.stored.size() == 2U);
  fixture.gate.Add(OrderGateFixture::Move("c"));
  fixture.Run(1500);
  BOOST_TEST(!fixture.stored.contains(MachineId("a")));
  BOOST_TEST(fixture.stored.contains(MachineId("b")));
}

// Guards against a second successor that does not learn of an order that the
// first of three owners gave without an answer and that is still carried out.
BOOST_AUTO_TEST_CASE(MachinesOfAPredecessorStayPersistedWhileOrdersMayBeLate) {
  OrderGateFixture fixture;
  fixture.gate.SetPredecessorMachines({{MachineId("a"), VmId("vm")}},
                                      fixture.now);
  fixture.Run(12'000);
  fixture.gate.Add(OrderGateFixture::Move("b"));
  fixture.Run(50);
  BOOST_TEST(fixture.stored.contains(MachineId("a")));
  BOOST_TEST(fixture.gate.BlockedMachines(fixture.now).empty());
  fixture.Run(22'000);
  fixture.gate.Add(OrderGateFixture::Move("c"));
  fixture.Run(50);
  BOOST_TEST(!fixture.stored.contains(MachineId("a")));
}

// Guards against a takeover that blocks the orders of all machines: in
// inc-e66e, no machine was moved for 3 s while the demand of a queue rose. Only
// the machines that the predecessor persisted are blocked.
BOOST_AUTO_TEST_CASE(OnlyMachinesOfThePredecessorAreBlocked) {
  OrderGateFixture fixture;
  fixture.gate.SetPredecessorMachines({{MachineId("a"), VmId()}}, fixture.now);
  BOOST_TEST(fixture.gate.BlockedMachines(fixture.now).size() == 1U);
  fixture.gate.Add(OrderGateFixture::Move("a"));
  fixture.gate.Add(OrderGateFixture::Move("b"));
  fixture.Run(50);
  BOOST_TEST(fixture.sent == std::vector<std::string>{"b"});
  fixture.Run(2900);
  BOOST_TEST(fixture.sent.size() == 1U);
  fixture.Run(100);
  BOOST_TEST(fixture.sent.back() == "a");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::upkeep
