#include <boost/test/unit_test.hpp>

#include "test/jobs/fleet_sim.h"

// Answers of the store that are lost while their calls are carried out.

namespace kch::jobs::test {
namespace {

constexpr int kVms = 40;
constexpr std::int64_t kVmCores = 8;

// Tasks started within a time, of jobs that arrive steadily and need 0.7 of the
// pool, while a share of the store's answers is lost.
std::int64_t StartsUnderLoad(double lost_share) {
  constexpr std::int64_t warm_up_ms = 2000;
  constexpr std::int64_t measured_ms = 8000;
  constexpr std::int64_t arrival_interval_ms = 15;
  FleetSim sim;
  for (int i = 0; i < kVms; ++i) {
    sim.AddVm("vm" + std::to_string(i), "p", {kVmCores * 1000, 100'000, 0});
  }
  std::int64_t begun = 0;
  for (std::int64_t ms = 0; ms < warm_up_ms + measured_ms;
       ms += arrival_interval_ms) {
    if (ms >= warm_up_ms && begun == 0) {
      begun = sim.starts();
      sim.store.lost_share = lost_share;
    }
    JobSpec job = SimpleJob("j" + std::to_string(ms), "q", 4, 1000, 400);
    job.steps.push_back(job.steps.front());
    job.steps.back().depends_on = {0};
    sim.Submit(std::move(job));
    sim.Run(arrival_interval_ms);
  }
  BOOST_TEST(sim.violations.empty());
  return sim.starts() - begun;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(LostAnswersTest)

// Guards against a lost answer that holds up more than the records of its own
// transaction: other writes, and VMs that report ends of other jobs.
BOOST_AUTO_TEST_CASE(StartsGoOnWhileAnswersOfTheStoreAreLost) {
  const std::int64_t undisturbed = StartsUnderLoad(0);
  const std::int64_t disturbed = StartsUnderLoad(0.35);
  BOOST_TEST(disturbed >= 0.8 * static_cast<double>(undisturbed),
             disturbed << " of " << undisturbed << " starts");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::jobs::test
