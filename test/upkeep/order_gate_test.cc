#include <boost/test/unit_test.hpp>

#include "upkeep/upkeep.h"

namespace kch::upkeep {
namespace {

constexpr auto kHandover = std::chrono::milliseconds(3000);

struct Site {
  Time now{std::chrono::seconds(100)};
  OrderGate gate{kHandover};
  std::set<MachineId> stored;
  std::vector<std::string> given;
  bool store_down = false;
  int writes = 0;

  static Order Move(const char* machine) {
    return OrderMove{MachineId(machine), PoolId("p")};
  }
  // Performs what the gate decides until it decides nothing more.
  void Run(std::int64_t ms) {
    this->now += std::chrono::milliseconds(ms);
    this->gate.Tick(this->now);
    for (auto effects = this->gate.Take(); !effects.empty();
         effects = this->gate.Take()) {
      for (const Effect& effect : effects) {
        if (const auto* store = std::get_if<StoreOrders>(&effect)) {
          ++this->writes;
          if (!this->store_down) {
            this->stored = store->machines;
          }
          this->gate.OnStored(!this->store_down, this->now);
        } else if (const auto* move = std::get_if<OrderMove>(&effect)) {
          BOOST_TEST(this->stored.contains(move->machine));
          this->given.push_back(move->machine.str());
        }
      }
      this->gate.Tick(this->now);
    }
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(OrderGateTest)

// Guards against an order that a successor cannot know of.
BOOST_AUTO_TEST_CASE(MachinesAreNamedBeforeTheyAreOrdered) {
  Site site;
  site.gate.Add(Site::Move("a"));
  site.gate.Add(Site::Move("b"));
  site.store_down = true;
  site.Run(50);
  BOOST_TEST(site.given.empty());
  site.store_down = false;
  site.Run(150);
  BOOST_TEST(site.given.size() == 2U);
  BOOST_TEST(site.writes == 2);
}

BOOST_AUTO_TEST_CASE(MachinesStayNamedForTheHandover) {
  Site site;
  site.gate.Add(Site::Move("a"));
  site.Run(50);
  site.gate.Add(Site::Move("b"));
  site.Run(2000);
  BOOST_TEST(site.stored.size() == 2U);
  site.gate.Add(Site::Move("c"));
  site.Run(1500);
  BOOST_TEST(!site.stored.contains(MachineId("a")));
  BOOST_TEST(site.stored.contains(MachineId("b")));
}

// inc-e66e: no machine was moved for 3 s after a takeover, in which a queue's
// turn began. Only the machines that the predecessor named have to wait.
BOOST_AUTO_TEST_CASE(OnlyThePredecessorsMachinesWait) {
  Site site;
  site.gate.Inherit({MachineId("a")}, site.now);
  BOOST_TEST(site.gate.Held(site.now).size() == 1U);
  site.gate.Add(Site::Move("a"));
  site.gate.Add(Site::Move("b"));
  site.Run(50);
  BOOST_TEST(site.given == std::vector<std::string>{"b"});
  site.Run(2900);
  BOOST_TEST(site.given.size() == 1U);
  site.Run(100);
  BOOST_TEST(site.given.back() == "a");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::upkeep
