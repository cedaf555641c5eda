#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "fleet_sim.h"

namespace kch::maintain {
namespace {

// Guards against exceeded budgets, VMs in two pools, reboots under running
// tasks, repeated reboots and orders that are never completed, with several
// Maintainers that are killed and paused, and a faulty store and platform.
BOOST_AUTO_TEST_CASE(InvariantsHoldUnderFaults) {
  int reboots = 0;
  int moves = 0;
  int losses = 0;
  BOOST_TEST(rc::check([&](std::uint64_t seed) {
    FleetSim sim(seed);
    sim.Run(std::chrono::seconds(90), std::chrono::seconds(900));
    reboots += sim.reboots;
    moves += sim.moves;
    losses += sim.losses;
    if (!sim.failure.empty()) {
      RC_FAIL(sim.failure);
    }
  }));
  // The property would hold trivially if nothing happened.
  BOOST_TEST(reboots > 100);
  BOOST_TEST(moves > 20);
  BOOST_TEST(losses > 50);
}

}  // namespace
}  // namespace kch::maintain
