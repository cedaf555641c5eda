#include <sys/wait.h>

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <memory>
#include <set>
#include <thread>
#include <tuple>

#include "lead/lead.h"
#include "test/process/breaking_proxy.h"
#include "test/process/fleet.h"
#include "test/process/platform_fleet.h"

// Whole processes of kch-fleet over a stand-in for the users' platform. The
// stand-in checks each start: nothing runs twice, over capacity, out of order
// or without having been handed in.

namespace kch::test {
namespace {

using fake::CallFault;

constexpr std::int64_t kUsPerMs = 1000;

std::string TaskOf(const jobs::JobSpec& job, int index) {
  return jobs::TaskRef{job.id, 0, 0, index}.Name();
}

jobs::JobSpec ChainJob(const std::string& id) {
  jobs::JobSpec job = PlainJob(id, 4, 400);
  job.steps.push_back(job.steps[0]);
  job.steps[1].depends_on = {0};
  return job;
}

jobs::JobSpec LastingJob(const std::string& id) {
  jobs::JobSpec job = PlainJob(id, 3, 200);
  job.steps[0].endless = true;
  job.steps[0].max_unavailable = 1;
  return job;
}

bool AllRun(PlatformFleet& fleet, const jobs::JobSpec& job) {
  for (int i = 0; i < job.steps[0].count; ++i) {
    if (!fleet.Runs(TaskOf(job, i))) {
      return false;
    }
  }
  return true;
}

jobs::JobSpec StartLasting(PlatformFleet& fleet) {
  jobs::JobSpec job = LastingJob("e");
  fleet.Accept(job);
  fleet.WaitFor("the lasting tasks", [&] { return AllRun(fleet, job); });
  return job;
}

std::size_t WaitForSuccessor(PlatformFleet& fleet, std::size_t of) {
  fleet.WaitFor("a successor", [&] {
    const auto owner = fleet.Owner();
    return owner && *owner != of;
  });
  return *fleet.Owner();
}

std::string ValueOf(PlatformFleet& fleet, const std::string& key) {
  return fleet.platform->With(
      [&key](fake::VmModel&, const fake::KeyStore& store) {
        return store.Value(key).value_or("");
      });
}

bool IsCompleted(PlatformFleet& fleet, const std::string& wave) {
  return ValueOf(fleet, "status/wave/" + wave).find("completed") !=
         std::string::npos;
}

// Kills the owner; its successor, once that has taken over.
std::size_t KillOwner(PlatformFleet& fleet) {
  const std::size_t killed = fleet.WaitForOwner();
  fleet.Signal(killed, SIGKILL);
  fleet.WaitForExit(killed);
  const std::size_t successor = WaitForSuccessor(fleet, killed);
  fleet.WaitFor("the takeover", [&] {
    return fleet.Log(successor).find("\"recovered\"") != std::string::npos;
  });
  return successor;
}

// Guards against forms of jobs that are accepted and never served.
BOOST_AUTO_TEST_CASE(EachFormOfJobIsServed) {
  PlatformFleet fleet;
  jobs::JobSpec gang = PlainJob("b", 6, 300);
  gang.steps[0].gang = true;
  jobs::JobSpec timed = PlainJob("c", 2, 200);
  timed.schedule = {
      .first_ms = WallUs() / kUsPerMs + 300, .interval_ms = 400, .times = 3};
  const std::vector<jobs::JobSpec> finite{ChainJob("a"), gang, timed,
                                          PlainJob("d", 5, 200, "advised")};
  const jobs::JobSpec lasting = LastingJob("e");
  for (const jobs::JobSpec& job : finite) {
    fleet.Accept(job);
  }
  fleet.Accept(lasting);
  fleet.WaitFor("the lasting tasks", [&] { return AllRun(fleet, lasting); });
  fleet.WaitForCompleted(finite);
  BOOST_TEST(fleet.StateOf(lasting) == "running");
  fleet.Cancel(lasting);
  fleet.WaitFor("the end of the lasting tasks", [&] {
    return !fleet.Runs(TaskOf(lasting, 0)) && !fleet.Runs(TaskOf(lasting, 1)) &&
           !fleet.Runs(TaskOf(lasting, 2));
  });
  BOOST_TEST(fleet.StateOf(lasting) == "cancelled");
  BOOST_TEST(fleet.starts() == 8 + 6 + 6 + 5 + 3);
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against jobs lost, repeated or interrupted when the owner is killed.
BOOST_AUTO_TEST_CASE(KilledOwnerInterruptsNothing) {
  PlatformFleet fleet;
  const jobs::JobSpec lasting = StartLasting(fleet);
  const jobs::JobSpec chain = ChainJob("a");
  fleet.Accept(chain);
  const std::size_t owner = fleet.WaitForOwner();
  fleet.Signal(owner, SIGKILL);
  fleet.WaitForExit(owner);
  const jobs::JobSpec later = PlainJob("f", 2, 100);
  fleet.Accept(later);
  fleet.WaitForCompleted({chain, later});
  BOOST_TEST(AllRun(fleet, lasting));
  BOOST_TEST(fleet.WaitForOwner() != owner);
  // The tasks that lasted were renewed in time and not started again.
  BOOST_TEST(fleet.starts() == 3 + 8 + 2);
  BOOST_TEST(fleet.Breaches() == "");
}

// A VM lists 500 ends at a time. Guards against tasks that a successor starts
// again because their ends are in no list yet.
BOOST_AUTO_TEST_CASE(EndsBeyondAFullListAreNotRepeated) {
  constexpr int tasks = 600;
  constexpr std::int64_t task_ms = 1500;
  PlatformFleet fleet(3, {.vms = 2, .vm_size = {64'000, 128'000, 0}});
  jobs::JobSpec job = PlainJob("a", tasks, task_ms);
  job.steps[0].need.cpu_m = 100;
  fleet.Accept(job);
  fleet.WaitFor("all starts", [&] { return fleet.starts() == tasks; });
  KillOwner(fleet);
  fleet.WaitForCompleted({job});
  fleet.WaitFor("the acknowledgement of all ends", [&] {
    return fleet.platform->With([](const fake::VmModel& world,
                                   fake::KeyStore&) {
      return std::ranges::all_of(
          world.vms, [](const auto& row) { return row.second->ended.empty(); });
    });
  });
  BOOST_TEST(fleet.starts() == tasks);
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against an owner that resumes after its successor took over and gives
// orders under its old fence.
BOOST_AUTO_TEST_CASE(ResumedOwnerStaysSuperseded) {
  PlatformFleet fleet;
  const jobs::JobSpec lasting = StartLasting(fleet);
  const std::size_t paused = fleet.WaitForOwner();
  fleet.Signal(paused, SIGSTOP);
  const std::size_t successor = WaitForSuccessor(fleet, paused);
  std::vector<jobs::JobSpec> wanted;
  for (const std::string id : {"1", "2", "3"}) {
    wanted.push_back(ChainJob(id));
  }
  for (const jobs::JobSpec& job : wanted) {
    BOOST_TEST(fleet.Submit(successor, job) == 200);
  }
  fleet.Signal(paused, SIGCONT);
  fleet.WaitForCompleted(wanted);
  fleet.WaitFor("the resumed instance to learn of its successor", [&] {
    return fleet.Log(paused).find("owner_lost") != std::string::npos;
  });
  BOOST_TEST(AllRun(fleet, lasting));
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against a second run of a task that has ended: an owner that was
// paused ordered it on a VM that its successor had not reached.
BOOST_AUTO_TEST_CASE(ResumedOwnerRepeatsATask) {
  PlatformFleet fleet(1, {.vms = 2, .addresses = 1});
  const jobs::JobSpec job = PlainJob("a", 1, 3000);
  fleet.Accept(job);
  fleet.WaitFor("the start", [&] { return fleet.starts() == 1; });
  const auto [vm, fence] =
      fleet.platform->With([](const fake::VmModel& world, fake::KeyStore&) {
        const auto row = std::ranges::find_if(world.vms, [](const auto& known) {
          return !known.second->runs.empty();
        });
        return std::pair(row->first, row->second->fence);
      });
  // The owner's next poll of the VM stays open while the owner is paused.
  const auto poll_lost = std::make_shared<std::atomic<bool>>(false);
  fleet.platform->SetFaults(
      [vm = vm, poll_lost](const std::string& call, const std::string&) {
        if (!call.starts_with(vm + "/")) {
          return CallFault::kNone;
        }
        *poll_lost = true;
        return CallFault::kLoseCall;
      });
  fleet.WaitFor("a lost poll", [&] { return poll_lost->load(); });
  fleet.platform->Mute(0, true);
  fleet.Signal(0, SIGSTOP);
  // Longer than the lease that the owner gave the run.
  const std::int64_t until_us = WallUs() + 6'000'000;
  fleet.WaitFor("the end of the run",
                [&] { return !fleet.Runs(TaskOf(job, 0)); });
  // A successor reaches only the VM with the run and records its end.
  fleet.platform->With(
      [vm = vm, fence = fence](fake::VmModel& world, fake::KeyStore& store) {
        store.Put("kch/owner", lead::Encode({.instance = "e9",
                                             .incarnation = "e9-1",
                                             .address = "127.0.0.1:9"}));
        constexpr std::uint64_t later = 1000;
        world.HandlePoll(*world.vms.at(vm), {.recorded_end = 1}, fence + later);
      });
  fleet.WaitFor("the end of the lease", [&] { return WallUs() >= until_us; });
  fleet.Signal(0, SIGCONT);
  fleet.WaitFor("the resumed instance to decide", [&] {
    return fleet.Log(0).find("owner_lease_expired") != std::string::npos;
  });
  const std::int64_t settled_us = WallUs() + 1'500'000;
  fleet.WaitFor("orders", [&] { return WallUs() >= settled_us; });
  fleet.platform->Mute(0, false);
  fleet.WaitFor("the resumed instance to learn of its successor", [&] {
    return fleet.Log(0).find("owner_lost") != std::string::npos;
  });
  BOOST_TEST(fleet.starts() == 1);
  BOOST_TEST(fleet.Breaches() == "");
}

// Takes the store and all other processes away from the owner, which still
// reaches both of its VMs, and acts for a successor that does not reach the VM
// with the job's run: once that should have ended, it starts the task on the
// other one.
void ReplaceCutOwner(PlatformFleet& fleet,
                     std::size_t owner,
                     const jobs::JobSpec& job) {
  const auto [unused, fence] =
      fleet.platform->With([](const fake::VmModel& world, fake::KeyStore&) {
        const bool first = !world.vms.at("vm0")->runs.empty();
        return std::tuple(std::string(first ? "vm1" : "vm0"),
                          world.vms.at(first ? "vm0" : "vm1")->fence);
      });
  fleet.platform->CutOff(owner, true);
  fleet.WaitFor("the end of the ownership", [&] { return !fleet.Owner(); });
  fleet.platform->With([&, unused = unused, fence = fence](
                           fake::VmModel& world, fake::KeyStore& store) {
    store.Put("kch/owner",
              lead::Encode(lead::OwnerRecord{.instance = "e9",
                                             .incarnation = "e9-1",
                                             .address = "127.0.0.1:9"}));
    constexpr std::uint64_t later = 1000;
    world.HandlePoll(*world.vms.at(unused), {}, fence + later);
  });
  // The successor's wait for runs on a VM that it does not reach, under the
  // lease that follows from the default interval of heartbeats.
  const jobs::Limits limits{.lease = std::chrono::milliseconds(4100)};
  const auto wait = limits.recovery_wait +
                    std::chrono::duration_cast<Duration>(
                        limits.lease / jobs::kMinVmClockRate) +
                    limits.stop_grace;
  const std::int64_t until_us = WallUs() + kUsPerMs * ToMs(wait);
  fleet.WaitFor("the end of the lease", [&] { return WallUs() >= until_us; });
  fleet.platform->With([&, unused = unused, fence = fence](fake::VmModel& world,
                                                           fake::KeyStore&) {
    const std::int64_t clock_ms = world.ClockOf(*world.vms.at(unused));
    constexpr std::uint64_t later = 1000;
    world.HandleStart(*world.vms.at(unused),
                      {.task = {job.id, 0, 0, 0},
                       .run = 2,
                       .payload = job.payload,
                       .lease_until_ms = clock_ms + ToMs(limits.lease)},
                      fence + later);
  });
}

// Guards against a task at work twice: an owner that was cut off together with
// some VMs went on renewing their runs, while its successor, which did not
// reach these VMs, started the tasks elsewhere once a lease was over.
BOOST_AUTO_TEST_CASE(OwnerCutOffWithItsVmsRepeatsTasks) {
  PlatformFleet fleet(2, {.vms = 2, .addresses = 2});
  const jobs::JobSpec job = PlainJob("a", 1, 60'000);
  fleet.Accept(job);
  fleet.WaitFor("the start", [&] { return fleet.starts() == 1; });
  const std::size_t cut = fleet.WaitForOwner();
  const std::size_t other = 1 - cut;
  // A process that the owner does not count yet waits for the longest outage
  // after a takeover, which the successor of this test does not.
  fleet.WaitFor("the other process to be counted",
                [&] { return fleet.Counter(cut, "kch_followers") >= 1; });
  // The other process cannot tell the owner of a successor.
  fleet.Signal(other, SIGSTOP);
  ReplaceCutOwner(fleet, cut, job);
  BOOST_TEST(fleet.starts() == 2);
  BOOST_TEST(fleet.Breaches() == "");
  fleet.Signal(other, SIGCONT);
  fleet.platform->CutOff(cut, false);
  fleet.WaitFor("the cut instance to learn of its successor", [&] {
    return fleet.Log(cut).find("owner_lost") != std::string::npos;
  });
}

// Guards against the same of an owner that no process has joined, as the others
// were cut off or started anew: it took itself for the only process, went on
// without the store, and a process that it did not know took over.
BOOST_AUTO_TEST_CASE(OwnerThatNobodyJoinedRepeatsTasks) {
  PlatformFleet fleet(2, {.vms = 2, .addresses = 2});
  const jobs::JobSpec job = PlainJob("a", 1, 60'000);
  fleet.Accept(job);
  fleet.WaitFor("the start", [&] { return fleet.starts() == 1; });
  const std::size_t owner = fleet.WaitForOwner();
  const std::size_t other = 1 - owner;
  fleet.WaitFor("the other process to be listed", [&] {
    const auto record = fleet.platform->With(
        [](const fake::VmModel&, const fake::KeyStore& store) {
          return store.Value("kch/last-owner").value_or("");
        });
    const auto last = lead::DecodeLastOwner(record);
    return last && !last->followers.empty();
  });
  // The owner's next process takes over, and the other one does not hear of it.
  fleet.Signal(other, SIGSTOP);
  fleet.Signal(owner, SIGKILL);
  fleet.WaitForExit(owner);
  fleet.Restart(owner);
  fleet.WaitFor("the takeover", [&] {
    return fleet.Log(owner).find("\"recovered\"") != std::string::npos;
  });
  BOOST_TEST(fleet.starts() == 1);
  ReplaceCutOwner(fleet, owner, job);
  BOOST_TEST(fleet.starts() == 2);
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against tasks that do not run for 20 s after a takeover (LOST): a
// process that lists the owner's record as absent, as its watch was cut, forgot
// that this owner had counted it, and waited for the longest outage.
BOOST_AUTO_TEST_CASE(RecordThatIsListedAsAbsentHoldsWorkBack) {
  PlatformFleet fleet(2, {.vms = 2, .addresses = 2});
  const std::size_t owner = fleet.WaitForOwner();
  const std::size_t other = 1 - owner;
  jobs::JobSpec job = LastingJob("e");
  job.steps[0].count = 1;
  fleet.Accept(job);
  fleet.WaitFor("the task", [&] { return AllRun(fleet, job); });
  fleet.WaitFor("the other process to be counted",
                [&] { return fleet.Counter(owner, "kch_followers") >= 1; });
  fleet.platform->CutOff(other, true);
  fleet.Signal(owner, SIGKILL);
  fleet.WaitForExit(owner);
  fleet.WaitFor("the end of the owner's record", [&] {
    return !fleet.platform->With(
        [](const fake::VmModel&, const fake::KeyStore& store) {
          return store.Value("kch/owner").has_value();
        });
  });
  // The VM of the task does not answer any more.
  fleet.platform->With([&](fake::VmModel& world, fake::KeyStore& store) {
    for (const auto& [id, vm] : world.vms) {
      vm->unresponsive = !vm->runs.empty();
    }
    store.DropHistory();
  });
  fleet.platform->CutOff(other, false);
  fleet.WaitFor("the takeover", [&] {
    return fleet.Log(other).find("\"recovered\"") != std::string::npos;
  });
  BOOST_TEST(fleet.Log(other).find("\"orders_ms\":\"0\"") != std::string::npos);
  const std::int64_t until_us = WallUs() + 8'000'000;
  fleet.WaitFor("the longest lease",
                [&] { return AllRun(fleet, job) || WallUs() >= until_us; });
  BOOST_TEST(AllRun(fleet, job));
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against starts beyond limits, or in a zone that is out of service: an
// owner that has started anew reads the operators' records later than the rest.
BOOST_AUTO_TEST_CASE(OwnerStartsNothingBeforeItHasReadTheLimits) {
  PlatformFleet fleet(1, {.vms = 1, .addresses = 1});
  fleet.platform->With([](fake::VmModel&, fake::KeyStore& store) {
    store.Put("op/evacuate/z1", "{}");
  });
  fleet.WaitFor("the zone to be out", [&] {
    return fleet.Log(0).find("zone_out") != std::string::npos;
  });
  jobs::JobSpec job = PlainJob("1", 1, 60'000);
  job.steps[0].endless = true;
  fleet.Accept(job);
  fleet.Signal(0, SIGKILL);
  fleet.WaitForExit(0);
  constexpr std::int64_t unread_ms = 5000;
  const std::int64_t read_us = WallUs() + unread_ms * kUsPerMs;
  fleet.platform->SetFaults(
      [read_us](const std::string& call, const std::string& prefix) {
        return call == "store/kv-range" && prefix == "op/" && WallUs() < read_us
                   ? CallFault::kRefuse
                   : CallFault::kNone;
      });
  fleet.Restart(0);
  fleet.WaitFor("a takeover", [&] {
    return fleet.Log(0).find("\"recovered\"") != std::string::npos;
  });
  std::this_thread::sleep_for(std::chrono::seconds(1));
  BOOST_TEST(fleet.starts() == 0);
  fleet.platform->With([](fake::VmModel&, fake::KeyStore& store) {
    store.Remove("op/evacuate/z1");
  });
  fleet.WaitFor("its run", [&] { return fleet.starts() == 1; });
}

// Guards against two runs at once beside VMs that nobody reaches: their runs
// take the stop grace to end, and their processes act late (issue 48).
BOOST_AUTO_TEST_CASE(RunsOfCutVmsThatEndLateAreNotRepeated) {
  constexpr std::int64_t stop_grace_ms = 200;
  constexpr std::int64_t late_ms = 500;
  constexpr std::int64_t max_lease_ms = 10'000;
  PlatformFleet fleet(3, {.vms = 4, .max_lease_ms = max_lease_ms}, {},
                      {"--max-lease-ms=" + std::to_string(max_lease_ms),
                       "--stop-grace-ms=" + std::to_string(stop_grace_ms)});
  fleet.platform->With([](fake::VmModel& world, fake::KeyStore&) {
    for (auto& [id, vm] : world.vms) {
      vm->lapse_ms = stop_grace_ms + late_ms;
    }
  });
  const std::size_t owner = *fleet.Owner();
  jobs::JobSpec job = PlainJob("1", 2, 60'000);
  job.steps[0].endless = true;
  fleet.Accept(job);
  fleet.WaitFor("its runs", [&] { return fleet.starts() == 2; });
  fleet.Signal(owner, SIGTERM);
  fleet.WaitForExit(owner);
  fleet.WaitForOwner();
  std::this_thread::sleep_for(std::chrono::seconds(2));
  fleet.platform->With([](fake::VmModel& world, fake::KeyStore&) {
    for (auto& [id, vm] : world.vms) {
      vm->unresponsive = !vm->runs.empty();
    }
  });
  fleet.WaitFor("other runs", [&] { return fleet.starts() == 4; });
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against two runs at once after a queue has led to another pool and
// back: the next owner has started since, and a VM of that pool is silent.
BOOST_AUTO_TEST_CASE(TasksOfAQueueThatLedElsewhereBeforeAStartAreHeldBack) {
  PlatformFleet fleet(1, {.vms = 2, .addresses = 1, .pools = {"p", "p2"}});
  const auto silence = [&fleet](const std::string& silent) {
    fleet.platform->With([&silent](fake::VmModel& world, fake::KeyStore&) {
      for (auto& [id, vm] : world.vms) {
        vm->unresponsive = id == silent;
      }
    });
  };
  const auto lead_to = [&fleet](const std::string& pool) {
    fleet.platform->With([&pool](fake::VmModel& world, fake::KeyStore&) {
      world.config.queues.at(jobs::QueueId("q")).pool = PoolId(pool);
      ++world.config.version;
    });
    fleet.platform->PublishConfig();
  };
  silence("vm0");
  jobs::JobSpec job = PlainJob("1", 1, 60'000);
  job.steps[0].endless = true;
  fleet.Accept(job);
  lead_to("p2");
  fleet.WaitFor("its run", [&] { return fleet.starts() > 0; });
  fleet.Signal(0, SIGKILL);
  fleet.WaitForExit(0);
  silence("vm1");
  lead_to("p");
  fleet.Restart(0);
  fleet.WaitFor("another run", [&] { return fleet.starts() > 1; });
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against an owner that goes on while the store refuses it alone, and
// against its successor starting its work again.
BOOST_AUTO_TEST_CASE(OwnerCutFromTheStoreIsReplaced) {
  PlatformFleet fleet;
  const jobs::JobSpec lasting = StartLasting(fleet);
  const jobs::JobSpec chain = ChainJob("a");
  fleet.Accept(chain);
  const std::size_t cut = fleet.WaitForOwner();
  fleet.platform->CutOff(cut, true);
  const std::size_t successor = WaitForSuccessor(fleet, cut);
  const jobs::JobSpec later = ChainJob("b");
  BOOST_TEST(fleet.Submit(successor, later) == 200);
  constexpr int unavailable = 503;
  BOOST_TEST(fleet.Submit(cut, PlainJob("9", 1, 100)) == unavailable);
  fleet.WaitFor("the end of both jobs", [&] {
    return fleet.starts() >= 3 + 8 + 8 && !fleet.Runs(TaskOf(later, 0));
  });
  fleet.WaitFor("the cut instance to learn of its successor", [&] {
    return fleet.Log(cut).find("owner_lost") != std::string::npos;
  });
  fleet.platform->CutOff(cut, false);
  fleet.WaitForCompleted({chain, later});
  BOOST_TEST(AllRun(fleet, lasting));
  BOOST_TEST(fleet.starts() == 3 + 8 + 8);
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against a fleet without an owner, and accepted jobs that wait for
// good: the claims of all processes and the reads that verify them had no
// answer.
BOOST_AUTO_TEST_CASE(FleetIsClaimedAgainAfterLostClaimsAndReads) {
  PlatformFleet fleet;
  const std::size_t killed = fleet.WaitForOwner();
  fleet.Signal(killed, SIGKILL);
  fleet.WaitForExit(killed);
  constexpr int processes = 2;
  std::atomic<int> claims = 0;
  std::atomic<int> reads = 0;
  fleet.platform->SetFaults(
      [&claims, &reads](const std::string& call, const std::string& body) {
        const bool of_owner = body.find("kch/owner") != std::string::npos;
        if (call == "store/kv-txn" && of_owner && claims < processes) {
          ++claims;
          return CallFault::kLoseCall;
        }
        if (call == "store/kv-range" && of_owner && reads < processes) {
          ++reads;
          return CallFault::kLoseCall;
        }
        return CallFault::kNone;
      });
  fleet.WaitFor("the loss of claims and reads",
                [&] { return claims == processes && reads == processes; });
  const jobs::JobSpec job = ChainJob("a");
  fleet.Accept(job);
  fleet.WaitForCompleted({job});
  fleet.platform->SetFaults({});
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against a job that was accepted and is forgotten when every process
// ends right after the answer.
BOOST_AUTO_TEST_CASE(AcceptedJobsSurviveTheEndOfAllProcesses) {
  PlatformFleet fleet;
  const jobs::JobSpec job = ChainJob("a");
  BOOST_TEST(fleet.Submit(1, job) == 200);
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.Signal(i, SIGKILL);
  }
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.WaitForExit(i);
  }
  for (std::size_t i = 0; i < 3; ++i) {
    fleet.Restart(i);
  }
  fleet.WaitForCompleted({job});
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against a stop that leaves work without an owner or answers falsely.
BOOST_AUTO_TEST_CASE(StoppedOwnerHandsOverAndExits) {
  PlatformFleet fleet;
  const jobs::JobSpec lasting = StartLasting(fleet);
  const std::size_t stopped = fleet.WaitForOwner();
  fleet.Signal(stopped, SIGTERM);
  const std::size_t successor = WaitForSuccessor(fleet, stopped);
  const jobs::JobSpec job = ChainJob("a");
  BOOST_TEST(fleet.Submit(successor, job) == 200);
  const int status = fleet.WaitForExit(stopped);
  BOOST_TEST(WIFEXITED(status));
  BOOST_TEST(WEXITSTATUS(status) == 0);
  fleet.WaitForCompleted({job});
  BOOST_TEST(AllRun(fleet, lasting));
  BOOST_TEST(fleet.starts() == 3 + 8);
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against work that hangs or repeats because one answer was lost. Each
// call to the store and to VMs loses its answer once or takes no effect, from
// the first claim on.
BOOST_AUTO_TEST_CASE(EachLostAnswerIsSurvived) {
  PlatformFleet fleet;
  std::set<std::string> seen;
  fleet.platform->SetFaults(
      [&seen](const std::string& call, const std::string&) {
        // By the call's name, whatever the VM or lease.
        const std::string name =
            call.starts_with("vm") ? call.substr(call.find('/')) : call;
        if (seen.insert(name).second) {
          return CallFault::kLoseAnswer;
        }
        return seen.insert(name + " again").second ? CallFault::kLoseCall
                                                   : CallFault::kNone;
      });
  std::vector<jobs::JobSpec> wanted{ChainJob("a"),
                                    PlainJob("b", 4, 300, "advised")};
  jobs::JobSpec gang = PlainJob("c", 4, 300);
  gang.steps[0].gang = true;
  wanted.push_back(gang);
  const jobs::JobSpec lasting = LastingJob("e");
  for (const jobs::JobSpec& job : wanted) {
    fleet.Accept(job);
  }
  fleet.Accept(lasting);
  fleet.WaitForCompleted(wanted);
  fleet.WaitFor("the lasting tasks", [&] { return AllRun(fleet, lasting); });
  fleet.Cancel(lasting);
  fleet.WaitFor("the end of the lasting tasks",
                [&] { return fleet.StateOf(lasting) == "cancelled"; });
  fleet.platform->SetFaults({});
  BOOST_TEST(seen.contains("store/kv-txn"));
  BOOST_TEST(seen.contains("/run-start"));
  BOOST_TEST(seen.contains("/run-stop"));
  BOOST_TEST(seen.contains("advice/advise"));
  BOOST_TEST(fleet.Breaches() == "");
}

// The store goes down while submissions are in progress: it carries them out,
// resets their connections, and refuses all further calls. Guards against
// telling a caller that its job does not run when it does.
BOOST_AUTO_TEST_CASE(JobsRefusedAsTheStoreGoesDownDoNotRun) {
  constexpr std::size_t instances = 3;
  std::vector<std::unique_ptr<BreakingProxy>> proxies;
  std::atomic<bool> goes_down = false;
  std::set<std::string> submissions;
  PlatformFleet fleet(
      instances, {}, [&proxies, &goes_down](const std::string& store) {
        proxies.push_back(std::make_unique<BreakingProxy>(
            store,
            [&goes_down, broken = false](const std::string& sent) mutable {
              const bool breaks = goes_down && !broken &&
                                  sent.find("kch/in/job/") != std::string::npos;
              broken |= breaks;
              return breaks;
            }));
        return proxies.back()->address();
      });
  // Each instance has a connection that it uses again.
  for (std::size_t i = 0; i < instances; ++i) {
    BOOST_TEST(fleet.Submit(i, PlainJob("a" + std::to_string(i), 1, 100)) ==
               200);
  }
  fleet.platform->SetFaults(
      [&](const std::string& call, const std::string& body) {
        if (!goes_down) {
          return CallFault::kNone;
        }
        // Sent again, a submission is refused.
        const bool first = call == "store/kv-txn" &&
                           body.find("kch/in/job/") != std::string::npos &&
                           submissions.insert(body).second;
        return first || !call.starts_with("store/") ? CallFault::kNone
                                                    : CallFault::kRefuse;
      });
  goes_down = true;
  std::vector<jobs::JobSpec> jobs;
  std::vector<int> answers(instances);
  std::vector<std::thread> callers;
  for (std::size_t i = 0; i < answers.size(); ++i) {
    jobs.push_back(PlainJob("b" + std::to_string(i), 2, 300));
    callers.emplace_back([&fleet, &answers, i, job = jobs.back()] {
      answers[i] = fleet.Submit(i, job);
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  goes_down = false;
  fleet.platform->SetFaults({});
  const std::int64_t until_us = WallUs() + 2'500'000;
  fleet.WaitFor("the jobs that run", [&] { return WallUs() >= until_us; });
  constexpr int unavailable = 503;
  for (std::size_t i = 0; i < jobs.size(); ++i) {
    const std::string state = fleet.StateOf(jobs[i]);
    BOOST_TEST((answers[i] != unavailable || state.empty()),
               jobs[i].id.str() << " was refused and is " << state);
  }
  BOOST_TEST(fleet.Breaches() == "");
}

// A VM's registration lapses and returns, and the erasure of its record is
// carried out after that. Guards against a successor that does not know a VM on
// which tasks run, and starts them elsewhere.
BOOST_AUTO_TEST_CASE(LateErasureOfAVmRecordSparesTheNextRecord) {
  PlatformFleet fleet(1);
  const auto recorded = [&fleet] {
    return fleet.platform->With([](fake::VmModel&, fake::KeyStore& store) {
      return store.Value("kch/vm/vm0").has_value();
    });
  };
  fleet.WaitFor("the VM's record", recorded);
  std::atomic<bool> erasing = false;
  fleet.platform->SetFaults(
      [&erasing](const std::string& call, const std::string& body) {
        const bool erasure =
            call == "store/kv-txn" &&
            body.find(R"("Deletes":["kch/vm/vm0"])") != std::string::npos;
        return erasure && !erasing.exchange(true) ? CallFault::kLate
                                                  : CallFault::kNone;
      });
  fleet.platform->Register("vm0", false);
  fleet.WaitFor("the erasure", [&erasing] { return erasing.load(); });
  fleet.platform->Register("vm0");
  const std::int64_t until_us = WallUs() + 7'000'000;
  fleet.WaitFor("the late erasure", [&] { return WallUs() >= until_us; });
  BOOST_TEST(recorded());
}

// The record of ordered machines gets no answer, is written again, and is then
// carried out late. Guards against a successor that does not know of a machine
// which was ordered last, and orders it as well.
BOOST_AUTO_TEST_CASE(LateRecordOfOrderedMachinesReplacesNoLaterOne) {
  PlatformFleet fleet(1);
  std::atomic<bool> late = false;
  fleet.platform->SetFaults([&late](const std::string& call,
                                    const std::string& body) {
    const bool orders = call == "store/kv-txn" &&
                        body.find(R"("kch/orders")") != std::string::npos;
    return orders && !late.exchange(true) ? CallFault::kLate : CallFault::kNone;
  });
  fleet.platform->RequestWave(1, {"m0", "m1"}, 1);
  fleet.WaitFor("the wave", [&] { return IsCompleted(fleet, "1"); });
  BOOST_TEST(late.load());
  const std::string last = ValueOf(fleet, "kch/orders");
  const std::int64_t until_us = WallUs() + 6'000'000;
  fleet.WaitFor("the late write", [&] { return WallUs() >= until_us; });
  BOOST_TEST(ValueOf(fleet, "kch/orders") == last);
}

// Guards against work that ends, and jobs that are lost, while the store
// refuses or answers nobody.
BOOST_AUTO_TEST_CASE(WorkGoesOnWhileTheStoreIsDown) {
  PlatformFleet fleet;
  const jobs::JobSpec lasting = StartLasting(fleet);
  const jobs::JobSpec chain = ChainJob("a");
  fleet.Accept(chain);
  const auto set_down = [&fleet](bool down) {
    fleet.platform->With(
        [down](fake::VmModel&, fake::KeyStore& store) { store.SetDown(down); });
  };
  // An accepted job that the owner has not seen yet waits for the store.
  fleet.WaitFor("the first step", [&] { return fleet.starts() >= 3 + 4; });
  set_down(true);
  // The second step starts from memory.
  fleet.WaitFor("all starts", [&] { return fleet.starts() >= 3 + 8; });
  constexpr int unavailable = 503;
  BOOST_TEST(fleet.Submit(0, PlainJob("9", 1, 100)) == unavailable);
  // Longer than the leases of runs, so that only renewals keep them.
  const std::int64_t until_us = WallUs() + 5'000'000;
  fleet.WaitFor("the store's return", [&] { return WallUs() >= until_us; });
  BOOST_TEST(AllRun(fleet, lasting));
  set_down(false);
  fleet.WaitForCompleted({chain});
  BOOST_TEST(fleet.starts() == 3 + 8);
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against runs that lapse all over the fleet because their owner gives
// up renewals that the store has carried out and answers within the owner's
// lease.
BOOST_AUTO_TEST_CASE(OwnerWithSlowRenewalsLosesItsLease) {
  PlatformFleet fleet;
  const jobs::JobSpec lasting = StartLasting(fleet);
  const std::size_t owner = fleet.WaitForOwner();
  fleet.platform->SetFaults([](const std::string& call, const std::string&) {
    return call.starts_with("store/kv-keep") ? CallFault::kSlow
                                             : CallFault::kNone;
  });
  const std::int64_t until_us = WallUs() + 8'000'000;
  fleet.WaitFor("several leases", [&] { return WallUs() >= until_us; });
  BOOST_TEST(fleet.Log(owner).find("owner_lease_expired") == std::string::npos);
  BOOST_TEST(fleet.WaitForOwner() == owner);
  const jobs::JobSpec job = PlainJob("a", 2, 200);
  fleet.Accept(job);
  fleet.WaitForCompleted({job});
  BOOST_TEST(AllRun(fleet, lasting));
  BOOST_TEST(fleet.starts() == 3 + 2);
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against a wave that takes more machines than it may, or ends work that
// could have been moved first.
BOOST_AUTO_TEST_CASE(WavesKeepTheirLimit) {
  PlatformFleet fleet(3, {.vms = 4});
  const jobs::JobSpec lasting = StartLasting(fleet);
  fleet.platform->RequestWave(1, {"m0", "m1", "m2", "m3"}, 1);
  fleet.WaitFor("the end of the wave", [&] { return IsCompleted(fleet, "1"); });
  BOOST_TEST(fleet.platform->most_away() == 1);
  fleet.WaitFor("the lasting tasks", [&] { return AllRun(fleet, lasting); });
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against a wave that is stored as completed without machines that the
// operators have named meanwhile: the owner has not observed that yet.
BOOST_AUTO_TEST_CASE(CompletedWaveIsTheOneInTheStore) {
  PlatformFleet fleet(1, {.vms = 2});
  std::atomic<bool> holds_state = true;
  std::atomic<bool> holds_operators = false;
  fleet.platform->SetFaults(
      [&](const std::string& call, const std::string& body) {
        const bool state = call == "store/kv-txn" &&
                           body.find("status/wave/") != std::string::npos;
        const bool operators =
            (call == "store/kv-watch" || call == "store/kv-range") &&
            body.starts_with("op/");
        return (state && holds_state) || (operators && holds_operators)
                   ? CallFault::kRefuse
                   : CallFault::kNone;
      });
  fleet.platform->RequestWave(1, {"m0"}, 1);
  fleet.WaitFor("the upkeep", [&] {
    return fleet.Log(0).find("wave_completed") != std::string::npos;
  });
  holds_operators = true;
  // Ends the watch that waits already.
  fleet.platform->With([](fake::VmModel&, fake::KeyStore& store) {
    store.Put("op/wave/9", "");
  });
  fleet.WaitFor("the last change that is observed", [&] {
    return fleet.Log(0).find("wave_unreadable") != std::string::npos;
  });
  fleet.platform->RequestWave(1, {"m0", "m1"}, 1);
  holds_state = false;
  const std::int64_t until_us = WallUs() + 2'000'000;
  fleet.WaitFor("some writes", [&] {
    BOOST_REQUIRE(!IsCompleted(fleet, "1"));
    return WallUs() >= until_us;
  });
  holds_operators = false;
  fleet.WaitFor("the end of the wave", [&] { return IsCompleted(fleet, "1"); });
  BOOST_TEST(ValueOf(fleet, "kch/wave/1").find("m1") != std::string::npos);
  fleet.WaitFor("the further machine's next VM",
                [&] { return !ValueOf(fleet, "servers/vm1-1").empty(); });
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against a wave that is never stored as completed, and a write every
// 200 ms, because the operators' record of it cannot be read any more.
BOOST_AUTO_TEST_CASE(StateOfAWaveIsStoredBesideAnUnreadableRecord) {
  PlatformFleet fleet(1, {.vms = 2});
  std::atomic<bool> holds_state = true;
  fleet.platform->SetFaults(
      [&](const std::string& call, const std::string& body) {
        return holds_state && call == "store/kv-txn" &&
                       body.find("status/wave/") != std::string::npos
                   ? CallFault::kRefuse
                   : CallFault::kNone;
      });
  fleet.platform->RequestWave(1, {"m0"}, 1);
  fleet.WaitFor("the upkeep", [&] {
    return fleet.Log(0).find("wave_completed") != std::string::npos;
  });
  fleet.platform->With([](fake::VmModel&, fake::KeyStore& store) {
    store.Put("op/wave/1", "{");
  });
  fleet.WaitFor("the record", [&] {
    return fleet.Log(0).find("wave_unreadable") != std::string::npos;
  });
  holds_state = false;
  fleet.WaitFor("the end of the wave", [&] { return IsCompleted(fleet, "1"); });
}

// Guards against a completed wave whose further machines get no upkeep: the
// operators write it anew, or remove it and create it again while no process
// owns the fleet.
BOOST_AUTO_TEST_CASE(WaveThatIsWrittenAnewIsCarriedOut) {
  PlatformFleet fleet(2, {.vms = 3});
  fleet.platform->RequestWave(1, {"m0"}, 1);
  fleet.WaitFor("the first wave", [&] { return IsCompleted(fleet, "1"); });
  fleet.platform->RequestWave(1, {"m0", "m1"}, 1);
  fleet.WaitFor("its further machine", [&] {
    return !ValueOf(fleet, "servers/vm1-1").empty() && IsCompleted(fleet, "1");
  });
  fleet.Signal(fleet.WaitForOwner(), SIGKILL);
  fleet.platform->With([](fake::VmModel&, fake::KeyStore& store) {
    store.Remove("op/wave/1");
    store.Put("status/wave/1", "");
  });
  fleet.platform->RequestWave(1, {"m0", "m1"}, 1);
  fleet.WaitFor("the wave that was created again",
                [&] { return IsCompleted(fleet, "1"); });
  fleet.WaitFor("the machines' next VMs", [&] {
    return !ValueOf(fleet, "servers/vm0-2").empty() &&
           !ValueOf(fleet, "servers/vm1-2").empty();
  });
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against a second run of tasks on a machine that had its upkeep under a
// predecessor: the platform answers a repeated order as done and ends nothing.
BOOST_AUTO_TEST_CASE(RepeatedUpkeepOrderRepeatsNoTask) {
  PlatformFleet fleet(3, {.vms = 2});
  // The record of the wave is never stored, so the successor orders anew.
  fleet.platform->SetFaults([](const std::string& call,
                               const std::string& body) {
    return call == "store/kv-txn" && body.find("kch/wave/") != std::string::npos
               ? CallFault::kRefuse
               : CallFault::kNone;
  });
  fleet.platform->RequestWave(1, {"m0"}, 1, 5);
  fleet.WaitFor("the machine's next VM", [&] {
    return fleet.platform
        ->With([](fake::VmModel&, const fake::KeyStore& store) {
          return store.Value("servers/vm0-1");
        })
        .has_value();
  });
  // All tasks start on that VM, and there is room for them on the other one.
  fleet.platform->Register("vm1", false);
  const std::size_t owner = fleet.WaitForOwner();
  fleet.WaitFor("the removal of the other VM", [&] {
    return fleet.Log(owner).find("vm_removed") != std::string::npos;
  });
  const jobs::JobSpec job = PlainJob("a", 8, 9000);
  fleet.Accept(job);
  fleet.WaitFor("the tasks", [&] { return AllRun(fleet, job); });
  fleet.platform->Register("vm1");
  fleet.Signal(owner, SIGTERM);
  const std::size_t successor = WaitForSuccessor(fleet, owner);
  fleet.WaitFor("the repeated order", [&] {
    return fleet.Log(successor).find("upkeep_order") != std::string::npos;
  });
  fleet.WaitForCompleted({job});
  BOOST_TEST(fleet.starts() == 8);
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against entries of another writer among those of the VMs that end the
// processes that read them, stop them from following the list, or delay a
// takeover.
BOOST_AUTO_TEST_CASE(OddRegistrationsHarmNobody) {
  PlatformFleet fleet;
  const jobs::JobSpec lasting = StartLasting(fleet);
  const auto entry = [](const std::string& address, const std::string& cpu) {
    return R"({"Service": "p", "Zone": "z1", "State": "ready", "Labels": [],)"
           R"("Address": ")" +
           address + R"(", "Capacity": {"Cpu": )" + cpu + R"(, "MemMb": 9}})";
  };
  constexpr std::size_t depth = 300'000;
  const std::vector<std::string> odd{
      std::string(depth, '['),
      std::string(depth, '[') + std::string(depth, ']'),
      entry("127.0.0.1:99999", "1000"),
      entry("127.0.0.1:1", "1e300"),
      entry("127.0.0.1:1", "1e999"),
      entry("", "1000"),
      "\xff\xfe"};
  fleet.platform->With([&odd](fake::VmModel&, fake::KeyStore& store) {
    for (std::size_t i = 0; i < odd.size(); ++i) {
      store.Put("servers/odd" + std::to_string(i), odd[i]);
    }
  });
  fleet.platform->Register("vm0");
  const jobs::JobSpec first = ChainJob("a");
  fleet.Accept(first);
  fleet.WaitForCompleted({first});
  const std::size_t successor = KillOwner(fleet);
  BOOST_TEST(fleet.Log(successor).find("\"silent\":\"0\"") !=
             std::string::npos);
  const jobs::JobSpec second = ChainJob("b");
  fleet.Accept(second);
  fleet.WaitForCompleted({second});
  BOOST_TEST(AllRun(fleet, lasting));
  BOOST_TEST(fleet.starts() == 3 + 8 + 8);
  BOOST_TEST(fleet.Breaches() == "");
}

// More VMs than an owner calls itself.
constexpr std::size_t kManyVms = 100;

// Guards against an owner that calls every VM of a large fleet itself, which
// takes more than a small machine has.
BOOST_AUTO_TEST_CASE(OwnerMakesAllCallsOfALargeFleet) {
  PlatformFleet fleet(4, {.vms = kManyVms, .addresses = 4});
  std::vector<jobs::JobSpec> wanted;
  for (const std::string id : {"1", "2", "3", "4", "5", "6"}) {
    wanted.push_back(PlainJob(id, 40, 300));
    fleet.Accept(wanted.back());
  }
  fleet.WaitForCompleted(wanted);
  const std::size_t owner = fleet.WaitForOwner();
  const double looks = fleet.Counter(owner, "kch_looks_total");
  double relayed = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    relayed += i == owner ? 0 : fleet.Counter(i, "kch_relayed_calls_total");
  }
  BOOST_TEST(looks > 0);
  BOOST_TEST(relayed > looks / 2);
  BOOST_TEST(fleet.Log(owner).find("relay_lost") == std::string::npos);
  BOOST_TEST(fleet.starts() == 6 * 40);
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against a write for each VM when many machines move at once: the other
// calls of a small owner waited behind them.
BOOST_AUTO_TEST_CASE(RecordsOfManyVmsShareTransactions) {
  PlatformFleet fleet(2, {.vms = kManyVms, .addresses = 2});
  const auto stored = [&fleet] {
    return fleet.platform->With(
        [](const fake::VmModel&, const fake::KeyStore& store) {
          int records = 0;
          for (std::size_t i = 0; i < kManyVms; ++i) {
            records += store.Value("kch/vm/vm" + std::to_string(i)) ? 1 : 0;
          }
          return records;
        });
  };
  fleet.WaitFor("the records",
                [&] { return stored() == static_cast<int>(kManyVms); });
  std::atomic<int> writes = 0;
  fleet.platform->SetFaults(
      [&writes](const std::string& call, const std::string& body) {
        writes +=
            call == "store/kv-txn" && body.find("kch/vm/") != std::string::npos;
        return CallFault::kNone;
      });
  for (const bool present : {false, true}) {
    for (std::size_t i = 0; i < kManyVms; ++i) {
      fleet.platform->Register("vm" + std::to_string(i), present);
    }
    fleet.WaitFor("the change of the records", [&] {
      return stored() == (present ? static_cast<int>(kManyVms) : 0);
    });
  }
  BOOST_TEST(writes < static_cast<int>(kManyVms));
  const jobs::JobSpec job = PlainJob("a", 4, 100);
  fleet.Accept(job);
  fleet.WaitForCompleted({job});
  fleet.platform->SetFaults({});
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against runs that end, or start twice, when processes that relay calls
// are killed, paused or stopped while the owner lives.
BOOST_AUTO_TEST_CASE(LostRelaysInterruptNothing) {
  PlatformFleet fleet(4, {.vms = kManyVms, .addresses = 4});
  const jobs::JobSpec lasting = StartLasting(fleet);
  const std::size_t owner = fleet.WaitForOwner();
  std::vector<std::size_t> others;
  for (std::size_t i = 0; i < 4; ++i) {
    if (i != owner) {
      others.push_back(i);
    }
  }
  std::vector<jobs::JobSpec> wanted;
  const auto hand_in = [&](const std::string& id) {
    wanted.push_back(ChainJob(id));
    fleet.Accept(wanted.back());
  };
  hand_in("1");
  fleet.Signal(others[0], SIGKILL);
  fleet.WaitForExit(others[0]);
  hand_in("2");
  fleet.Restart(others[0]);
  fleet.Signal(others[1], SIGSTOP);
  hand_in("3");
  fleet.WaitFor("the owner to pass over the paused relay", [&] {
    return fleet.Log(owner).find("\"reason\":\"silent\"") != std::string::npos;
  });
  fleet.Signal(others[1], SIGCONT);
  fleet.Signal(others[2], SIGTERM);
  hand_in("4");
  fleet.WaitForExit(others[2]);
  fleet.WaitForCompleted(wanted);
  BOOST_TEST(AllRun(fleet, lasting));
  // What lasts was renewed in time and not started again.
  BOOST_TEST(fleet.Log(owner).find("lease_expired") == std::string::npos);
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against an owner that stands still over a job with hours of due times
// in the past and loses the fleet, as all its successors do (review case 4).
BOOST_AUTO_TEST_CASE(ManyDueTimesHoldNobodyUp) {
  PlatformFleet fleet;
  const std::size_t owner = fleet.WaitForOwner();
  constexpr std::int32_t times = 14'400;
  jobs::JobSpec timed = PlainJob("a", 1, 200);
  timed.schedule = {.first_ms = WallUs() / kUsPerMs - 1000LL * times,
                    .interval_ms = 1000,
                    .times = times};
  fleet.Accept(timed);
  const jobs::JobSpec plain = PlainJob("b", 2, 300);
  fleet.Accept(plain);
  fleet.WaitForCompleted({plain});
  BOOST_TEST(fleet.Log(owner).find("\"owner_lost\"") == std::string::npos);
  KillOwner(fleet);
  const jobs::JobSpec later = PlainJob("c", 2, 300);
  fleet.Accept(later);
  fleet.WaitForCompleted({later});
  BOOST_TEST(fleet.StateOf(timed) == "running");
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against a question that cancels a job: what follows a job's id in the
// path of a GET became part of the path of a question to the owner.
BOOST_AUTO_TEST_CASE(NoQuestionCancelsAJob) {
  PlatformFleet fleet;
  const jobs::JobSpec lasting = StartLasting(fleet);
  jobs::JobSpec stray = lasting;
  stray.id = jobs::JobId(lasting.id.str() + "/cancel");
  BOOST_TEST(fleet.StateOf(stray) == "");
  const std::int64_t until_us = WallUs() + kUsPerMs * 1500;
  fleet.WaitFor("a cancel to take effect",
                [&] { return WallUs() >= until_us; });
  BOOST_TEST(fleet.StateOf(lasting) == "running");
  BOOST_TEST(AllRun(fleet, lasting));
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against takeovers that take longer the more jobs have ended, up to
// more than the lease of the runs.
BOOST_AUTO_TEST_CASE(TakeoverReadsEndedJobs) {
  PlatformFleet fleet;
  std::vector<jobs::JobSpec> ended;
  for (int i = 0; i < 12; ++i) {
    ended.push_back(PlainJob("e" + std::to_string(i), 2, 50));
    fleet.Accept(ended.back());
  }
  fleet.WaitForCompleted(ended);
  const jobs::JobSpec lasting = StartLasting(fleet);
  const std::size_t successor = KillOwner(fleet);
  const std::string log = fleet.Log(successor);
  BOOST_TEST(log.find("\"event\":\"takeover_entered\",\"jobs\":\"1\"") !=
             std::string::npos);
  // Their submitters may still ask, at any instance, and hand them in again.
  for (const jobs::JobSpec& job : ended) {
    BOOST_TEST(fleet.StateOf(job) == "completed");
  }
  constexpr int ok = 200;
  BOOST_TEST(fleet.Submit(successor, ended[0]) == ok);
  fleet.Cancel(ended[1]);
  BOOST_TEST(fleet.StateOf(ended[1]) == "completed");
  BOOST_TEST(AllRun(fleet, lasting));
  BOOST_TEST(fleet.starts() == 12 * 2 + 3);
  BOOST_TEST(fleet.Breaches() == "");
}

}  // namespace
}  // namespace kch::test
