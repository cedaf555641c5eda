#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "test/jobs/fleet_sim.h"

// Jobs of the largest sizes that are accepted. An owner that decides on one for
// longer than its lease loses the fleet, and so do all its successors.

namespace kch::jobs::test {
namespace {

constexpr Resources kVmSize{8000, 100'000, 0};
constexpr int kVms = 4;

// Sanitizers slow the test, not the product.
void CheckLength(double s) {
  BOOST_TEST_MESSAGE("longest pass: " << s << " s");
#if !defined(__SANITIZE_ADDRESS__)
  BOOST_TEST(s < kOwnerLeaseS);
#endif
}

FleetSim& WithVms(FleetSim& sim) {
  for (int i = 0; i < kVms; ++i) {
    sim.AddVm("vm" + std::to_string(i), "p", kVmSize);
  }
  sim.Run(100);
  return sim;
}

// Tasks that occupy nothing all fit at once.
JobSpec ManyTasks(const std::string& id) {
  JobSpec job = SimpleJob(id, "q", kMaxTasksPerJob, 0, 2000);
  job.steps[0].need = {};
  return job;
}

void CheckNobodyIsHeldUp(FleetSim& sim) {
  sim.Submit(SimpleJob("plain", "q", 2, 1000, 300));
  const auto most_starts =
      static_cast<std::int64_t>(sim.limits.max_starts_per_pass);
  double longest_s = 0;
  for (int step = 0; step < 100; ++step) {
    const std::int64_t starts = sim.starts();
    longest_s = std::max(longest_s, ProcessorSeconds([&] { sim.Run(5); }));
    BOOST_TEST(sim.starts() - starts <= most_starts);
  }
  CheckLength(longest_s);
  BOOST_TEST(NameOf(sim.StateOf("plain")) == "completed");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(LargeJobsTest)

BOOST_AUTO_TEST_CASE(ManyTasksAtOnceHoldNobodyUp) {
  FleetSim sim;
  WithVms(sim).Submit(ManyTasks("many"));
  CheckNobodyIsHeldUp(sim);
}

BOOST_AUTO_TEST_CASE(ManyEndlessTasksHoldNobodyUp) {
  FleetSim sim;
  JobSpec job = ManyTasks("many");
  job.steps[0].endless = true;
  WithVms(sim).Submit(job);
  CheckNobodyIsHeldUp(sim);
}

// Machines that are due for upkeep are emptied at every pass.
BOOST_AUTO_TEST_CASE(EvictingManyEndlessTasksHoldsNobodyUp) {
  FleetSim sim;
  JobSpec job = ManyTasks("many");
  job.steps[0].endless = true;
  job.steps[0].max_unavailable = kMaxTasksPerJob;
  WithVms(sim).Submit(job);
  sim.Run(800);
  BOOST_TEST(sim.starts() == kMaxTasksPerJob);
  sim.scheduler->Cordon(VmId("vm0"), true);
  CheckLength(ProcessorSeconds(
      [&] { sim.scheduler->EvictEndless(VmId("vm0"), sim.now); }));
}

// What steps need of the VMs of a pool is looked at whenever machines may move:
// hundreds of rules, as many steps that no VM has room for, and a job for each
// waiting task.
BOOST_AUTO_TEST_CASE(ManyRulesOfPlacementHoldNobodyUp) {
  FleetSim sim;
  for (int i = 0; i < 2000; ++i) {
    sim.AddVm("vm" + std::to_string(i), "p", kVmSize);
  }
  sim.Run(100);
  const auto submit = [&sim](const std::string& id, int tasks, int cpu_m,
                             bool endless) {
    JobSpec job = SimpleJob(id, "q", tasks, cpu_m, 1000);
    job.steps[0].label = endless ? "a" : "absent";
    job.steps[0].endless = endless;
    job.steps[0].max_per_vm = 1;
    sim.Submit(std::move(job));
  };
  for (int i = 0; i < 400; ++i) {
    submit("spread-" + std::to_string(i), 4, 500 + i, true);
    submit("large-" + std::to_string(i), 2, 8001 + i, true);
  }
  sim.Run(100);
  for (int i = 0; i < kMaxTasksPerJob; ++i) {
    submit("waits-" + std::to_string(i), 1, 1000 + i, false);
  }
  std::vector<PlacementNeed> needs;
  CheckLength(ProcessorSeconds(
      [&] { needs = sim.scheduler->PlacementNeedsOf(PoolId("p"), sim.now); }));
  BOOST_TEST(needs.size() > 32U);  // of steps at work, and unplaced ones
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::jobs::test
