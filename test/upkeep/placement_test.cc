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
// More than it takes to move what a pool lacks, less than the time after which
// it gives up idle machines.
constexpr std::int64_t kMovesMs = 9000;

jobs::JobSpec EndlessJob(const std::string& id,
                         std::int32_t tasks,
                         std::int64_t cpu_m) {
  jobs::JobSpec job = jobs::test::SimpleJob(id, "p", tasks, cpu_m, kLongTaskMs);
  job.steps[0].endless = true;
  job.steps[0].max_unavailable = 1;
  return job;
}

jobs::JobSpec SpreadJob(std::int32_t tasks) {
  jobs::JobSpec job = EndlessJob("spread", tasks, 100);
  job.steps[0].max_per_vm = 1;
  return job;
}

jobs::JobSpec GangJob(std::int32_t tasks) {
  jobs::JobSpec job = jobs::test::SimpleJob("gang", "p", tasks, 100, 1000);
  job.steps[0].max_per_vm = 1;
  job.steps[0].gang = true;
  return job;
}

jobs::JobSpec LabelledJob(const std::string& label) {
  jobs::JobSpec job = EndlessJob("labelled", 1, 100);
  job.steps[0].label = label;
  return job;
}

void AddMachines(MoverSim& fleet, const std::string& pool, int count) {
  for (int i = 0; i < count; ++i) {
    fleet.AddMachine(pool + "-" + std::to_string(i), PoolId(pool));
  }
}

void AddPools(MoverSim& fleet, int machines, int standby) {
  fleet.AddPool("p", false);
  AddMachines(fleet, "p", machines);
  AddMachines(fleet, "standby", standby);
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
  AddPools(fleet, 20, 10);
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

// Guards against a step that waits for good once the only VM with its label is
// lost, and against a pool that gives the machine it got for it up again.
BOOST_AUTO_TEST_CASE(LabelledStepWhoseVmIsLostKeepsAnother) {
  MoverSim fleet;
  AddPools(fleet, 4, 4);
  fleet.AddMachine("p-big", PoolId("p"), {"big"});
  fleet.AddMachine("standby-big", PoolId("standby"), {"big"});
  fleet.sim.Submit(LabelledJob("big"));
  fleet.Run(1000);
  BOOST_TEST(RunsOf(fleet, "labelled") == 1U);
  fleet.LoseVm("p-big");
  fleet.Run(kRestartMs);
  BOOST_TEST(RunsOf(fleet, "labelled") == 1U);
  const std::int64_t starts = fleet.sim.starts();
  fleet.Run(kPeaksKnownMs);
  BOOST_TEST(RunsOf(fleet, "labelled") == 1U);
  BOOST_TEST(fleet.sim.starts() == starts);
  BOOST_TEST(fleet.machines.at(MachineId("standby-big")).pool.str() == "p");
  BOOST_TEST(fleet.sim.violations.empty());
}

// Guards against a gang that never starts because its pool has fewer VMs than
// it takes, and against more machines than it lacks.
BOOST_AUTO_TEST_CASE(GangGetsTheVmsThatItLacks) {
  MoverSim fleet;
  AddPools(fleet, 4, 10);
  fleet.sim.Submit(GangJob(8));
  fleet.Run(kMovesMs);
  BOOST_TEST(NameOf(fleet.sim.StateOf("gang")) == "completed");
  BOOST_TEST(fleet.move_count == 4U);
  BOOST_TEST(fleet.sim.violations.empty());
}

// Guards against machines that leave other pools for work that they do not
// help: a gang beyond all machines, a label that none has, a task larger than
// each.
BOOST_AUTO_TEST_CASE(WorkThatNoMachineHelpsMovesNone) {
  jobs::JobSpec large = EndlessJob("large", 1, 0);
  large.steps[0].need = {100, MoverSim::kMachineSize.memory_mb + 1, 0};
  for (const jobs::JobSpec& job : {GangJob(30), LabelledJob("absent"), large}) {
    MoverSim fleet;
    AddPools(fleet, 4, 10);
    fleet.AddPool("other", false);
    AddMachines(fleet, "other", 4);
    fleet.sim.Submit(job);
    fleet.Run(kMovesMs);
    BOOST_TEST(fleet.move_count == 0U, job.id.str());
    BOOST_TEST(RunsOf(fleet, job.id.str()) == 0U);
  }
}

// Guards against machines for tasks that the limit of their team keeps waiting.
BOOST_AUTO_TEST_CASE(TasksBeyondTheLimitOfTheirTeamMoveNothing) {
  for (const std::size_t most : {0U, 3U, 6U}) {
    MoverSim fleet;
    fleet.sim.config.teams[TeamId("t")] = {
        .maximum = {static_cast<std::int64_t>(100 * most) + 50, 0, 0}};
    AddPools(fleet, 4, 10);
    jobs::JobSpec job = SpreadJob(12);
    job.team = TeamId("t");
    fleet.sim.Submit(job);
    fleet.Run(kMovesMs);
    BOOST_TEST(RunsOf(fleet, "spread") == most);
    BOOST_TEST(fleet.move_count == (most > 4 ? most - 4 : 0U));
  }
}

// Guards against machines that move for a VM that is silent for a moment, also
// while the pool lacks a VM of another kind for good.
BOOST_AUTO_TEST_CASE(VmThatIsSilentForAMomentMovesNothing) {
  for (const bool lacks_label : {false, true}) {
    MoverSim fleet;
    AddPools(fleet, 12, 10);
    fleet.sim.Submit(SpreadJob(12));
    if (lacks_label) {
      fleet.sim.Submit(LabelledJob("absent"));
    }
    fleet.Run(3000);
    const auto& known = *fleet.sim.scheduler->vms().at(VmId("vm-1"));
    fleet.sim.vms.at("vm-1")->unresponsive = true;
    while (!known.unresponsive) {
      fleet.Tick();
    }
    fleet.Run(300);
    fleet.sim.vms.at("vm-1")->unresponsive = false;
    fleet.Run(3000);
    BOOST_TEST(!known.unresponsive);
    BOOST_TEST(fleet.move_count == 0U);
  }
}

// Guards against a new owner that replaces VMs that have not answered it yet,
// on which the tasks of its predecessor may be at work.
BOOST_AUTO_TEST_CASE(VmsThatATakeoverAwaitsAreNotReplaced) {
  MoverSim fleet;
  AddPools(fleet, 12, 10);
  fleet.sim.Submit(SpreadJob(12));
  fleet.Run(3000);
  fleet.sim.vms.at("vm-1")->unresponsive = true;
  fleet.sim.vms.at("vm-2")->unresponsive = true;
  fleet.Takeover();
  fleet.sim.Submit(GangJob(12));
  fleet.Run(3500);  // less than the lease of the tasks
  fleet.sim.vms.at("vm-1")->unresponsive = false;
  fleet.sim.vms.at("vm-2")->unresponsive = false;
  fleet.Run(kMovesMs);
  BOOST_TEST(fleet.move_count == 0U);
  BOOST_TEST(RunsOf(fleet, "spread") == 12U);
  BOOST_TEST(NameOf(fleet.sim.StateOf("gang")) == "completed");
  BOOST_TEST(fleet.sim.violations.empty());
}

// Guards against an endless task that waits for good because its pool has
// enough free room, but on no single VM.
BOOST_AUTO_TEST_CASE(EndlessTaskThatFitsOnNoPartOfAVmGetsAMachine) {
  MoverSim fleet;
  AddPools(fleet, 3, 4);
  fleet.sim.Submit(EndlessJob("first", 3, 5000));
  fleet.Run(1000);
  fleet.sim.Submit(EndlessJob("second", 1, 4000));
  fleet.Run(kMovesMs);
  BOOST_TEST(RunsOf(fleet, "first") == 3U);
  BOOST_TEST(RunsOf(fleet, "second") == 1U);
  BOOST_TEST(fleet.move_count == 1U);
}

// Guards against a finite task that waits for good behind endless ones, which
// do not go away: on the only VM with its label, or on a part of each VM.
BOOST_AUTO_TEST_CASE(FiniteTaskBehindEndlessOnesGetsAMachine) {
  for (const std::string label : {"big", ""}) {
    MoverSim fleet;
    AddPools(fleet, label.empty() ? 3 : 1, 2);
    if (!label.empty()) {
      fleet.AddMachine("p-big", PoolId("p"), {label});
      fleet.AddMachine("standby-big", PoolId("standby"), {label});
    }
    jobs::JobSpec endless = EndlessJob("endless", label.empty() ? 3 : 1, 5000);
    endless.steps[0].label = label;
    fleet.sim.Submit(endless);
    fleet.Run(1000);
    jobs::JobSpec finite = jobs::test::SimpleJob("finite", "p", 1, 5000, 1000);
    finite.steps[0].label = label;
    fleet.sim.Submit(finite);
    fleet.Run(kMovesMs);
    BOOST_TEST(NameOf(fleet.sim.StateOf("finite")) == "completed");
    BOOST_TEST(fleet.move_count == 1U);
  }
}

// Guards against steps that no machine helps and that hide others from view.
BOOST_AUTO_TEST_CASE(StepsThatNoMachineHelpsHideNoOthers) {
  MoverSim fleet;
  AddPools(fleet, 3, 4);
  fleet.sim.Submit(EndlessJob("first", 3, 5000));
  fleet.Run(1000);
  for (int i = 0; i < 40; ++i) {
    jobs::JobSpec job = LabelledJob("absent");
    job.id = jobs::JobId("absent" + std::to_string(i));
    job.steps[0].need.cpu_m += i;
    fleet.sim.Submit(job);
  }
  fleet.sim.Submit(EndlessJob("second", 1, 4000));
  fleet.Run(3 * kMovesMs);
  BOOST_TEST(RunsOf(fleet, "second") == 1U);
  BOOST_TEST(fleet.move_count == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::upkeep
