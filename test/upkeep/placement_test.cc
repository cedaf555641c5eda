#include <boost/test/unit_test.hpp>

#include "test/upkeep/mover_sim.h"

namespace kch::upkeep {
namespace {

using test::MoverSim;

constexpr std::int64_t kLongTaskMs = 60'000;
// In which an endless task whose VM is lost has to be at work again.
constexpr std::int64_t kRestartMs = 9000;
// After which a pool's peaks are known, so that it gives up idle machines.
constexpr std::int64_t kPeaksKnownMs = 40'000;

jobs::JobSpec SpreadJob(std::int32_t tasks) {
  jobs::JobSpec job =
      jobs::test::SimpleJob("spread", "p", tasks, 100, kLongTaskMs);
  job.steps[0].endless = true;
  job.steps[0].max_per_vm = 1;
  job.steps[0].max_unavailable = 1;
  return job;
}

void AddMachines(MoverSim& fleet, const std::string& pool, int count) {
  for (int i = 0; i < count; ++i) {
    fleet.AddMachine(pool + "-" + std::to_string(i), PoolId(pool));
  }
}

std::size_t RunsOf(const MoverSim& fleet, const std::string& job) {
  std::size_t runs = 0;
  for (const auto& [id, vm] : fleet.sim.vms) {
    for (const auto& [task, run] : vm->runs) {
      runs += task.starts_with(job + ".");
    }
  }
  return runs;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PlacementTest)

// Guards against endless tasks, at most one on a VM, that wait for good in a
// pool with fewer VMs than tasks, most of whose room is free (LOST).
BOOST_AUTO_TEST_CASE(SpreadTasksWhoseVmsAreLostGetOthers) {
  MoverSim fleet;
  fleet.AddPool("p", false);
  AddMachines(fleet, "p", 20);
  AddMachines(fleet, "standby", 10);
  fleet.sim.Submit(SpreadJob(12));
  fleet.Run(kPeaksKnownMs);
  BOOST_TEST(RunsOf(fleet, "spread") == 12U);
  int lost = 0;
  for (int i = 0; i < 20 && lost < 6; ++i) {
    const std::string name = "p-" + std::to_string(i);
    if (fleet.machines.at(MachineId(name)).pool.str() == "p") {
      fleet.LoseVm(name);
      ++lost;
    }
  }
  fleet.Run(kRestartMs);
  BOOST_TEST(RunsOf(fleet, "spread") == 12U);
  BOOST_TEST(fleet.sim.violations.empty());
}

// Guards against endless tasks of steps that share no VM, whose VMs are lost at
// once and which get others only one after another (LOST).
BOOST_AUTO_TEST_CASE(StepsThatShareNoVmGetOthersAtOnce) {
  constexpr int jobs = 30;
  MoverSim fleet;
  fleet.AddPool("p", false);
  AddMachines(fleet, "p", jobs);
  AddMachines(fleet, "standby", 10);
  const auto at_work = [&fleet] {
    std::size_t runs = 0;
    for (int i = 0; i < jobs; ++i) {
      runs += RunsOf(fleet, "large-" + std::to_string(i));
    }
    return runs;
  };
  for (int i = 0; i < jobs; ++i) {
    jobs::JobSpec job = jobs::test::SimpleJob("large-" + std::to_string(i), "p",
                                              1, 7000, kLongTaskMs);
    job.steps[0].endless = true;
    fleet.sim.Submit(job);
  }
  fleet.Run(5000);
  BOOST_TEST(at_work() == 30U);
  for (int i = 0; i < 4; ++i) {
    fleet.LoseVm("p-" + std::to_string(i));
  }
  // Their last runs end with their leases.
  fleet.Run(ToMs(jobs::Limits{}.lease) + kRestartMs);
  BOOST_TEST(at_work() == 30U);
  BOOST_TEST(fleet.sim.violations.empty());
}

// Guards against a pool that gives away the VMs of endless tasks that it may
// not start yet after a takeover, and that then wait for good (LOST).
BOOST_AUTO_TEST_CASE(PoolKeepsVmsForTasksHeldBackAfterATakeover) {
  MoverSim fleet;
  fleet.AddPool("p", false);
  fleet.AddPool("r", false);
  AddMachines(fleet, "p", 18);
  AddMachines(fleet, "r", 4);
  fleet.sim.Submit(SpreadJob(12));
  fleet.Run(5000);
  BOOST_TEST(RunsOf(fleet, "spread") == 12U);
  int lost = 0;
  for (int i = 0; i < 18 && lost < 6; ++i) {
    const MachineId id("p-" + std::to_string(i));
    if (!fleet.sim.vms.at(fleet.machines.at(id).vm.str())->runs.empty()) {
      fleet.LoseVm(id.str());
      ++lost;
    }
  }
  BOOST_TEST(lost == 6);
  fleet.sim.Takeover();
  fleet.sim.Submit(jobs::test::SimpleJob("load", "r", 20, 8000, kLongTaskMs));
  fleet.Run(ToMs(jobs::Limits{}.lease) + kRestartMs);
  BOOST_TEST(RunsOf(fleet, "spread") == 12U);
  BOOST_TEST(fleet.sim.violations.empty());
}

// Guards against a gang too large for the fleet that keeps all idle machines of
// its pool from endless tasks of another one, which wait for good (LOST).
BOOST_AUTO_TEST_CASE(GangTooLargeForTheFleetKeepsNoMachinesFromOthers) {
  MoverSim fleet;
  fleet.AddPool("p", false);
  fleet.AddPool("r", false);
  AddMachines(fleet, "p", 6);
  AddMachines(fleet, "r", 20);
  jobs::JobSpec gang = jobs::test::SimpleJob("gang", "r", 40, 100, 1000);
  gang.steps[0].gang = true;
  gang.steps[0].max_per_vm = 1;
  fleet.sim.Submit(gang);
  fleet.sim.Submit(SpreadJob(6));
  fleet.Run(5000);
  BOOST_TEST(RunsOf(fleet, "spread") == 6U);
  fleet.LoseVm("p-0");
  fleet.LoseVm("p-1");
  fleet.Run(kRestartMs);
  BOOST_TEST(RunsOf(fleet, "spread") == 6U);
  BOOST_TEST(fleet.sim.violations.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::upkeep
