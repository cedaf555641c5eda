#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "upkeep/upkeep.h"

namespace kch::upkeep {
namespace {

constexpr std::int64_t kStepMs = 100;
constexpr jobs::Resources kBusy{90'000, 0, 0};
constexpr jobs::Resources kCalm{2'000, 0, 0};
constexpr jobs::Resources kThreshold{30'000, 100'000, 0};

struct TurnOrderFixture {
  Time now{std::chrono::seconds(100)};
  TurnOrder order{std::chrono::milliseconds(2000)};
  std::vector<std::string> pools{"a", "b", "c"};

  void Run(std::int64_t ms, const std::string& busy) {
    for (std::int64_t passed = 0; passed < ms; passed += kStepMs) {
      std::map<PoolId, jobs::Resources> arriving;
      for (const std::string& pool : this->pools) {
        arriving[PoolId(pool)] = pool == busy ? kBusy : kCalm;
      }
      this->order.Observe(arriving, kThreshold, this->now);
      this->now += std::chrono::milliseconds(kStepMs);
    }
  }
  bool Is(const std::string& pool, TurnState state) const {
    return this->order.StateOf(PoolId(pool), this->now) == state;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(TurnOrderTest)

BOOST_AUTO_TEST_CASE(PoolsAreForecastInTheOrderOfTheirTurns) {
  TurnOrderFixture fixture;
  fixture.Run(2000, "");
  BOOST_TEST(fixture.Is("a", TurnState::kUnknown));
  fixture.Run(4000, "a");
  BOOST_TEST(fixture.Is("a", TurnState::kRunning));
  // The others have not had their first turn.
  fixture.Run(4000, "b");
  BOOST_TEST(fixture.Is("a", TurnState::kAway));
  BOOST_TEST(fixture.Is("c", TurnState::kUnknown));
  fixture.Run(1500, "c");
  BOOST_TEST(fixture.Is("a", TurnState::kAway));
  fixture.Run(1000, "c");
  BOOST_TEST(fixture.Is("a", TurnState::kDue));
  BOOST_TEST(fixture.Is("b", TurnState::kAway));
  BOOST_TEST((fixture.order.LastPeak(PoolId("a")) == kBusy));
  fixture.Run(1500, "c");
  fixture.Run(2500, "a");
  BOOST_TEST(fixture.Is("b", TurnState::kDue));
  BOOST_TEST(fixture.Is("c", TurnState::kAway));
}

// Guards against pools that wait for one that has no turns.
BOOST_AUTO_TEST_CASE(PoolsWithoutTurnsAreLeftOut) {
  TurnOrderFixture fixture;
  for (int cycle = 0; cycle < 2; ++cycle) {
    fixture.Run(4000, "a");
    fixture.Run(4000, "b");
  }
  fixture.Run(2500, "a");
  BOOST_TEST(fixture.Is("b", TurnState::kDue));
  BOOST_TEST(fixture.Is("c", TurnState::kUnknown));
}

// Guards against machines that leave although turns do not rotate.
BOOST_AUTO_TEST_CASE(TurnsOutOfOrderAreNotForecast) {
  TurnOrderFixture fixture;
  for (const char* busy : {"a", "b", "c"}) {
    fixture.Run(4000, busy);
  }
  BOOST_TEST(fixture.Is("b", TurnState::kAway));
  for (const char* busy : {"", "b", "", "b", ""}) {
    fixture.Run(4000, busy);
  }
  BOOST_TEST(fixture.Is("b", TurnState::kUnknown));
}

// Guards against a forecast that is kept after its turn did not come.
BOOST_AUTO_TEST_CASE(ATurnThatDoesNotComeIsNotExpectedForLong) {
  TurnOrderFixture fixture;
  for (const char* busy : {"a", "b", "c"}) {
    fixture.Run(4000, busy);
  }
  BOOST_TEST(fixture.Is("a", TurnState::kDue));
  fixture.Run(4000, "");
  BOOST_TEST(fixture.Is("a", TurnState::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::upkeep
