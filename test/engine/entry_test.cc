#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "test/engine/fleet.h"

namespace kch::engine::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

void SubmitMany(Fleet& fleet, int count, Duration run) {
  for (int i = 0; i < count; ++i) {
    fleet.Submit(i % 3, i % 2 == 0 ? "a" : "b", run);
  }
}

bool AllAnswered(const Fleet& fleet) {
  return fleet.Unanswered() == 0;
}

// Guards against a request that is lost between entries.
BOOST_AUTO_TEST_CASE(EveryRequestIsAnswered) {
  Fleet fleet({.seed = 1});
  fleet.Configure(20, 20);
  SubmitMany(fleet, 100, milliseconds(50));
  BOOST_TEST(fleet.RunUntil([&] { return AllAnswered(fleet); }, seconds(20)));
  BOOST_TEST(fleet.Outcomes()["done"] == 100);
  BOOST_TEST(fleet.violation == "");
}

// Guards against an unknown outcome for a change that is proposed before the
// entry has read its own row among the members.
BOOST_AUTO_TEST_CASE(ChangeBeforeJoinIsAccepted) {
  Fleet fleet({.seed = 4});
  const std::size_t change =
      fleet.Change(0, config::SetZone{{ZoneId("z0"), true}});
  BOOST_TEST(fleet.RunUntil([&] { return fleet.changes[change].has_value(); },
                            seconds(5)));
  BOOST_TEST(
      std::holds_alternative<config::Accepted>(fleet.changes[change]->outcome));
}

// Guards against losing the tasks of a scheduler that is killed: the entries of
// the callers adopt the tasks and query the workers.
BOOST_AUTO_TEST_CASE(TasksSurviveSchedulerFailure) {
  Fleet fleet({.seed = 2});
  fleet.Configure(20, 20);
  const int scheduler = fleet.SchedulerAccordingTo(0);
  const int other = (scheduler + 1) % 3;
  for (int i = 0; i < 10; ++i) {
    fleet.Submit(other, "a", seconds(5));
  }
  fleet.Run(seconds(1));
  BOOST_TEST(fleet.starts == 10U);
  fleet.Kill(scheduler);
  BOOST_TEST(fleet.RunUntil([&] { return AllAnswered(fleet); }, seconds(20)));
  BOOST_TEST(fleet.Outcomes()["done"] == 10);
  BOOST_TEST(fleet.starts == 10U);
  BOOST_TEST(fleet.violation == "");
}

// Guards against requests that stall while the store is down.
BOOST_AUTO_TEST_CASE(RequestsCompleteDuringStoreOutage) {
  Fleet fleet({.seed = 3});
  fleet.Configure(20, 20);
  SubmitMany(fleet, 20, milliseconds(50));
  fleet.Run(seconds(1));
  fleet.SetStoreDown(true);
  fleet.Run(seconds(5));
  SubmitMany(fleet, 60, milliseconds(50));
  BOOST_TEST(fleet.RunUntil([&] { return AllAnswered(fleet); }, seconds(20)));
  BOOST_TEST(fleet.Outcomes()["done"] == 80);
  BOOST_TEST(fleet.violation == "");
}

// Guards against a start by an entry that was paused during a change (I3, I5).
BOOST_AUTO_TEST_CASE(PausedEntryStartsNoOutdatedTask) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet({.seed = seed});
    fleet.Configure(20, 20);
    for (int i = 0; i < 60; ++i) {
      fleet.Submit(i % 3, "a", milliseconds(400));
    }
    fleet.Run(milliseconds(200));
    const int paused = static_cast<int>(seed % 3);
    fleet.Pause(paused);
    const int writer = (paused + 1) % 3;
    fleet.Change(writer, config::WithdrawKey{KeyId("ka")});
    fleet.Change(writer, config::SetZone{{ZoneId("z1"), false}});
    fleet.Run(seconds(8));
    fleet.SetStoreDown(true);
    fleet.Resume(paused);
    fleet.Run(seconds(30));
    BOOST_TEST(fleet.violation == "");
  }
}

// Guards against a shutdown that interrupts a request (I10).
BOOST_AUTO_TEST_CASE(ShutdownAnswersAllRequests) {
  Fleet fleet({.seed = 5});
  fleet.Configure(20, 20);
  for (int entry = 0; entry < 3; ++entry) {
    SubmitMany(fleet, 60, milliseconds(300));
    fleet.Run(milliseconds(200));
    fleet.Shutdown(entry);
    BOOST_TEST(fleet.RunUntil([&] { return AllAnswered(fleet); }, seconds(30)));
    BOOST_TEST(
        fleet.RunUntil([&] { return !fleet.alive(entry); }, seconds(30)));
    fleet.Restart(entry);
    fleet.Run(seconds(3));
  }
  BOOST_TEST(fleet.Outcomes()["done"] == 180);
  BOOST_TEST(fleet.violation == "");
}

// Guards against unknown outcomes when a scheduler stops while it claims the
// ids of unrepeatable requests: it returned them as not run, but no other entry
// may run a claimed request. Found by process.StoppedEntryInterruptsNothing.
BOOST_AUTO_TEST_CASE(ShutdownRunsClaimedJobs) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Fleet fleet({.seed = seed});
    fleet.Configure(20, 20);
    const int scheduler = fleet.SchedulerAccordingTo(0);
    for (int i = 0; i < 60; ++i) {
      fleet.Submit((scheduler + 1 + i % 2) % 3, "a", milliseconds(30),
                   "r" + std::to_string(i), false);
      fleet.Run(milliseconds(5));
      if (i == 30) {
        fleet.Shutdown(scheduler);
      }
    }
    BOOST_TEST(fleet.RunUntil([&] { return AllAnswered(fleet); }, seconds(30)));
    BOOST_TEST(fleet.Outcomes()["done"] == 60, "seed " << seed);
    BOOST_TEST(
        fleet.RunUntil([&] { return !fleet.alive(scheduler); }, seconds(30)));
    BOOST_TEST(fleet.violation == "");
  }
}

// Guards against callers that wait forever when a target stops answering on old
// and new connections. Found by process.DamagedConnectionsGiveNoFalseAnswers.
BOOST_AUTO_TEST_CASE(TasksOfUnresponsiveTargetEndWithTheirLease) {
  Fleet fleet({.seed = 6});
  fleet.Configure(40, 40);
  for (int i = 0; i < 40; ++i) {
    fleet.Submit(i % 3, "a", seconds(4), "r" + std::to_string(i), i % 2 == 0);
  }
  fleet.Run(seconds(1));
  const auto lost = fleet.worker(0).Running();
  BOOST_TEST(lost > 0);
  fleet.worker(0).fault = WorkerFault::kUnresponsive;
  // The lease of 10 s and its margin; then repeatable requests run elsewhere.
  BOOST_TEST(fleet.RunUntil([&] { return AllAnswered(fleet); }, seconds(22)));
  BOOST_TEST(fleet.Outcomes()["done"] + fleet.Outcomes()["unknown"] == 40);
  BOOST_TEST(fleet.Outcomes()["unknown"] <= lost);
  BOOST_TEST(fleet.violation == "");
}

// Guards against a second run of an unrepeatable request (I8): the scheduler
// that ran it was killed and its state lost, and the caller submits the request
// again.
BOOST_AUTO_TEST_CASE(UnrepeatableRunsAtMostOnce) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet({.seed = seed, .lose_reply = 0.2});
    // More than the permits that the killed scheduler retains.
    fleet.Configure(60, 60);
    const int scheduler = fleet.SchedulerAccordingTo(0);
    const auto submit_all = [&](int entry) {
      for (int i = 0; i < 20; ++i) {
        fleet.Submit(entry, "a", milliseconds(300), "r" + std::to_string(i),
                     false);
      }
    };
    submit_all(scheduler);
    fleet.Run(milliseconds(seed * 20));
    fleet.Kill(scheduler);
    submit_all((scheduler + 1) % 3);
    fleet.Run(seconds(4));
    submit_all((scheduler + 2) % 3);
    BOOST_TEST(fleet.RunUntil([&] { return AllAnswered(fleet); }, seconds(40)));
    BOOST_TEST(fleet.violation == "");
  }
}

// Guards against a connection that never delivers the end of a task that has
// ended.
BOOST_AUTO_TEST_CASE(UnresponsiveConnectionIsReplaced) {
  Fleet fleet({.seed = 7});
  fleet.Configure(20, 20);
  for (int vm = 0; vm < 6; ++vm) {
    fleet.worker(vm).fault = WorkerFault::kDropResults;
  }
  SubmitMany(fleet, 10, milliseconds(100));
  BOOST_TEST(fleet.RunUntil([&] { return AllAnswered(fleet); }, seconds(15)));
  BOOST_TEST(fleet.Outcomes()["done"] == 10);
  BOOST_TEST(fleet.violation == "");
}

// Guards against sending all work to a worker that fails every task
// immediately.
BOOST_AUTO_TEST_CASE(FailingWorkerIsEjected) {
  Fleet fleet({.seed = 8});
  fleet.Configure(100, 100);
  fleet.worker(0).fault = WorkerFault::kFailAll;
  for (int round = 0; round < 50; ++round) {
    SubmitMany(fleet, 6, milliseconds(100));
    fleet.Run(milliseconds(100));
  }
  fleet.RunUntil([&] { return AllAnswered(fleet); }, seconds(10));
  BOOST_TEST(fleet.Outcomes()["done"] > 290);
  BOOST_TEST(fleet.violation == "");
}

// Guards against a limit that is exceeded while permits are transferred (I4):
// all load is on one team with a small limit and the schedulers change.
BOOST_AUTO_TEST_CASE(LimitHoldsWhileSchedulersChange) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Fleet fleet({.seed = seed, .drop = 0.05, .duplicate = 0.05});
    fleet.Configure(5, 5);
    for (int i = 0; i < 100; ++i) {
      fleet.Submit(i % 3, "a", milliseconds(500));
    }
    fleet.Run(seconds(1));
    const int victim = static_cast<int>(seed % 3);
    fleet.Kill(victim);
    fleet.Run(seconds(4));
    fleet.Restart(victim);
    fleet.Run(seconds(30));
    BOOST_TEST(fleet.violation == "");
  }
}

// Guards against a false "not run" for a job that was preempted after its
// deadline, which bounds only the start: it continues from its checkpoint (I7).
BOOST_AUTO_TEST_CASE(PreemptedJobContinuesAfterItsDeadline) {
  Fleet fleet({.seed = 7});
  fleet.Configure(40, 40);
  fleet.Run(seconds(2));
  for (int i = 0; i < 24; ++i) {
    fleet.Submit(i % 3, "a", seconds(20), "", true, "night", 3'000);
  }
  fleet.Run(seconds(6));
  for (int i = 0; i < 12; ++i) {
    fleet.Submit(i % 3, "b", seconds(4));
  }
  BOOST_TEST(fleet.RunUntil([&] { return AllAnswered(fleet); }, seconds(90)));
  BOOST_TEST(fleet.starts > 36U);  // some were preempted
  BOOST_TEST(fleet.Outcomes()["done"] == 36);
  BOOST_TEST(fleet.violation == "");
}

// Guards against a new owner of a pool that accounts for neither the tasks nor
// the queue of the previous owner: a team below its share would wait for their
// end.
BOOST_AUTO_TEST_CASE(NewOwnerPreemptsTasksOfPreviousOwner) {
  Fleet fleet({.seed = 8});
  fleet.Configure(40, 40);
  fleet.Run(seconds(2));
  const int owner = fleet.SchedulerAccordingTo(0);
  const int other = (owner + 1) % 3;
  fleet.Kill(owner);
  fleet.Run(seconds(4));
  BOOST_TEST_REQUIRE(fleet.SchedulerAccordingTo(other) != owner);
  for (int i = 0; i < 30; ++i) {
    fleet.Submit(other, "a", seconds(40), "", true, "night", 600'000);
  }
  fleet.Run(seconds(2));
  BOOST_TEST(fleet.Running("a") == 24);
  fleet.Restart(owner);
  BOOST_TEST_REQUIRE(fleet.RunUntil(
      [&] { return fleet.SchedulerAccordingTo(other) == owner; }, seconds(10)));
  fleet.Run(seconds(4));
  const std::size_t first = fleet.callers.size();
  for (int i = 0; i < 4; ++i) {
    fleet.Submit(other, "b", seconds(1));
  }
  BOOST_TEST(fleet.RunUntil(
      [&] {
        return std::all_of(fleet.callers.begin() + first, fleet.callers.end(),
                           [](const Caller& c) { return c.outcome; });
      },
      seconds(6)));
  BOOST_TEST(fleet.RunUntil([&] { return AllAnswered(fleet); }, seconds(200)));
  BOOST_TEST(fleet.Outcomes()["done"] == 34);
  BOOST_TEST(fleet.violation == "");
}

}  // namespace
}  // namespace kch::engine::test
