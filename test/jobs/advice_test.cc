#include <boost/test/unit_test.hpp>

#include "test/jobs/fleet_sim.h"

namespace kch::jobs::test {
namespace {

constexpr Resources kVmSize{8000, 100'000, 0};

void AddVms(FleetSim& sim, int count) {
  for (int i = 0; i < count; ++i) {
    sim.AddVm("vm" + std::to_string(i), "p", kVmSize);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AdviceTest)

// Guards against starts on VMs that the policy of a queue does not allow, and
// against jobs that wait for permits that were never requested.
BOOST_AUTO_TEST_CASE(TasksRunWhereTheServiceAllows) {
  FleetSim sim;
  AddVms(sim, 40);
  sim.advice.allows = [](const std::string&, const std::string& vm) {
    return vm == "vm7" || vm == "vm39";
  };
  JobSpec job = SimpleJob("a", "advised", 12, 1000, 300);
  job.steps.push_back(job.steps[0]);
  job.steps[1].depends_on = {0};
  sim.Submit(job);
  BOOST_TEST(sim.Completes("a", 3000));
  BOOST_TEST(sim.starts() == 24);
  BOOST_TEST(sim.advice.refused_starts == 0);
  BOOST_TEST(sim.violations.size() == 0U);
}

// The service handles one request of an instance at a time. Further ones are
// queued there, and refused once 32 are queued.
BOOST_AUTO_TEST_CASE(OneAdviceRequestIsPendingAtATime) {
  FleetSim sim;
  AddVms(sim, 12);
  for (int i = 0; i < 60; ++i) {
    sim.Submit(SimpleJob("job" + std::to_string(i), "advised", 1, 500, 200));
  }
  BOOST_TEST(sim.RunUntil(
      [&] { return sim.scheduler->counters().completed_jobs == 60; }, 9000));
  BOOST_TEST(sim.advice.max_open_requests == 1);
  BOOST_TEST(sim.advice.request_count == 60);
}

// A full pool with a long queue: permits for VMs without room would expire
// before they are used.
BOOST_AUTO_TEST_CASE(NoAdviceIsRequestedWhileAPoolIsFull) {
  FleetSim sim;
  AddVms(sim, 2);
  sim.Submit(SimpleJob("full", "q", 16, 1000, 4000));
  sim.Run(200);
  for (int i = 0; i < 20; ++i) {
    sim.Submit(SimpleJob("job" + std::to_string(i), "advised", 1, 500, 200));
  }
  sim.Run(3000);
  BOOST_TEST(sim.advice.request_count == 0);
  BOOST_TEST(sim.RunUntil(
      [&] { return sim.scheduler->counters().completed_jobs == 21; }, 6000));
}

// Guards against starts with an expired permit, or with one for an earlier
// incarnation of the VM.
BOOST_AUTO_TEST_CASE(PermitsEndWithTheirTimeAndTheirVm) {
  FleetSim sim;
  AddVms(sim, 2);
  sim.advice.valid_ms = 600;
  // Sixteen tasks run at once, so the last start long after the first permit.
  sim.Submit(SimpleJob("a", "advised", 40, 1000, 500));
  sim.Run(250);
  FakeVm& vm = *sim.vms.at("vm0");
  vm.Restart(sim.now);
  sim.Register("vm0");
  BOOST_TEST(sim.Completes("a", 9000));
  BOOST_TEST(sim.advice.refused_starts == 0);
  BOOST_TEST(sim.advice.request_count >= 3);
  BOOST_TEST(sim.violations.size() == 0U);
}

// Guards against jobs that never start after an unanswered request.
BOOST_AUTO_TEST_CASE(AdviceRequestsAreRepeatedUntilAnswered) {
  FleetSim sim;
  AddVms(sim, 2);
  sim.advice.down = true;
  sim.Submit(SimpleJob("a", "advised", 2, 1000, 200));
  sim.Run(2000);
  BOOST_TEST(sim.advice.request_count <= 7);
  sim.advice.down = false;
  BOOST_TEST(sim.Completes("a", 1000));
}

BOOST_AUTO_TEST_CASE(GangsWaitForEnoughPermits) {
  FleetSim sim;
  AddVms(sim, 40);
  sim.advice.allows = [](const std::string&, const std::string& vm) {
    return vm == "vm1" || vm == "vm38";
  };
  JobSpec job = SimpleJob("a", "advised", 10, 1000, 300);
  job.steps[0].gang = true;
  sim.Submit(job);
  BOOST_TEST(sim.Completes("a", 3000));
  BOOST_TEST(sim.starts() == 10);
  BOOST_TEST(sim.advice.refused_starts == 0);
}

// A VM's refusal may arrive after its job was erased; the scheduler used to
// read the missing task's job.
BOOST_AUTO_TEST_CASE(RefusalForAnUnknownJobIsIgnored) {
  FleetSim sim;
  AddVms(sim, 1);
  sim.scheduler->OnStart(VmId("vm0"), {JobId("gone"), 0, 0, 0}, 1,
                         StartAnswer::kNoPermit, 0, sim.now);
  BOOST_TEST(sim.scheduler->counters().refused_starts == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::jobs::test
