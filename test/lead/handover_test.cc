#include <boost/test/unit_test.hpp>

#include "lead/lead.h"

namespace kch::lead {
namespace {

constexpr double kCores = 0.12;
constexpr OwnerLoad kBusy{.decisions = 0.7, .calls = 0.2};
constexpr OwnerLoad kIdle{.decisions = 0.1, .calls = 0.1};

struct Fixture {
  Time now{std::chrono::seconds(10)};
  HandoverPolicy policy{kCores};

  void Seconds(int seconds, const OwnerLoad& load) {
    for (int i = 0; i < seconds; ++i) {
      this->now += std::chrono::seconds(1);
      this->policy.OnLoad(load, this->now);
    }
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(HandoverTest, Fixture)

// Guards against a small process that keeps a fleet which exceeds its machine
// while larger ones follow it: accepted jobs did not run for the rest of a day.
BOOST_AUTO_TEST_CASE(OverloadedOwnerHandsTheFleetToALargerProcess) {
  policy.OnTerm(false, now);
  Seconds(3, kBusy);
  BOOST_TEST(!policy.Due(0.5, now));
  Seconds(1, {.decisions = 0.2, .calls = 0.9});
  BOOST_TEST(policy.Due(0.5, now));
}

BOOST_AUTO_TEST_CASE(OwnerThatKeepsUpStays) {
  policy.OnTerm(false, now);
  Seconds(60, kIdle);
  BOOST_TEST(!policy.Due(0.5, now));
  for (int i = 0; i < 10; ++i) {
    Seconds(3, kBusy);
    Seconds(1, kIdle);
    BOOST_TEST(!policy.Due(0.5, now));
  }
}

// Guards against takeovers in turn where no process is large enough.
BOOST_AUTO_TEST_CASE(FleetStaysWhereNoProcessIsMuchLarger) {
  policy.OnTerm(false, now);
  Seconds(60, kBusy);
  BOOST_TEST(!policy.Due(0, now));
  BOOST_TEST(!policy.Due(kCores, now));
  BOOST_TEST(!policy.Due(0.2, now));
  BOOST_TEST(policy.Due(0.25, now));
}

// Guards against takeovers in turn where a larger process cannot claim.
BOOST_AUTO_TEST_CASE(OwnerAfterAHandoverKeepsTheFleetForAWhile) {
  policy.OnTerm(true, now);
  Seconds(19, kBusy);
  BOOST_TEST(!policy.Due(0.5, now));
  Seconds(1, kBusy);
  BOOST_TEST(policy.Due(0.5, now));
  policy.OnTerm(false, now);
  BOOST_TEST(!policy.Due(0.5, now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::lead
