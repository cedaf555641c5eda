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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::upkeep
