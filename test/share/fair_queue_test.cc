#include <rapidcheck.h>
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "share/share.h"

namespace kch::share {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(1000)};

TeamId Team(std::int64_t number) {
  return TeamId("t" + std::to_string(number));
}

TaskId Task(std::int64_t number) {
  return TaskId("k" + std::to_string(number));
}

QueuedTask MakeTask(std::int64_t task,
                    std::int64_t team,
                    Time now,
                    bool urgent = false,
                    Time deadline = Time::max()) {
  return {Task(task), Team(team), ProfileId("p"), urgent, now, deadline};
}

Eligibility All(const QueuedTask& /*waiting*/) {
  return Eligibility::kEligible;
}

struct Load {
  double weight;
  Duration run;
};

// Keeps every team backlogged on a full pool and returns its slot-seconds.
std::vector<double> RunBacklog(const std::vector<Load>& teams,
                               std::int64_t slots,
                               Duration length) {
  FairQueue queue;
  std::int64_t next = 0;
  const auto push = [&](std::size_t team, Time now) {
    queue.Push(MakeTask(next++, static_cast<std::int64_t>(team), now), now);
  };
  for (std::size_t team = 0; team < teams.size(); ++team) {
    queue.SetTeamWeight(Team(static_cast<std::int64_t>(team)),
                        teams[team].weight, kStart);
    for (std::int64_t i = 0; i <= slots; ++i) {
      push(team, kStart);
    }
  }
  using End = std::pair<Time, TaskId>;
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  Time now = kStart;
  while (now < kStart + length) {
    while (static_cast<std::int64_t>(ends.size()) < slots) {
      const auto popped = queue.Pop(now, All);
      const auto team =
          static_cast<std::size_t>(std::stoll(popped->team.str().substr(1)));
      queue.Started(popped->task, popped->team, false, now);
      ends.emplace(now + teams[team].run, popped->task);
      push(team, now);
    }
    now = ends.top().first;
    queue.Ended(ends.top().second, now);
    ends.pop();
  }
  std::vector<double> used;
  for (std::size_t team = 0; team < teams.size(); ++team) {
    used.push_back(queue.Counters(Team(static_cast<std::int64_t>(team)), now)
                       .slot_seconds);
  }
  return used;
}

// Guards against shares that follow task counts or declared sizes. Under
// backlog each team's slot-seconds differ from the share of its weight by at
// most 2 * (its slots + 1) times the longest run.
BOOST_AUTO_TEST_CASE(SlotSecondsApproachWeights) {
  BOOST_TEST(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(2, 7);
    const auto slots = *rc::gen::inRange<std::int64_t>(4, 40);
    std::vector<Load> teams;
    double weights = 0;
    Duration longest{0};
    for (std::size_t i = 0; i < count; ++i) {
      teams.push_back({static_cast<double>(*rc::gen::inRange(1, 9)),
                       milliseconds(*rc::gen::inRange(5, 400))});
      weights += teams.back().weight;
      longest = std::max(longest, teams.back().run);
    }
    const auto used = RunBacklog(teams, slots, seconds(40));
    double total = 0;
    for (const double seconds : used) {
      total += seconds;
    }
    for (std::size_t i = 0; i < count; ++i) {
      const double part = teams[i].weight / weights;
      const double bound =
          2 * (part * static_cast<double>(slots) + 1) * ToSeconds(longest);
      RC_ASSERT(std::abs(used[i] - part * total) <= bound);
    }
  }));
}

// Reference model of the queue: linear searches over a list.
struct Oracle {
  struct Run {
    TeamId team;
    Time started;
    bool preemptible;
    bool chosen = false;
  };
  std::vector<QueuedTask> waiting;  // in order of arrival
  std::map<TaskId, Run> running;
  std::map<TeamId, double> used;

  static auto Rank(const QueuedTask& waiting) {
    return std::tuple(!waiting.urgent, waiting.deadline);
  }
  const QueuedTask* BestEligible(const TeamId& team,
                                 Time now,
                                 auto blocked) const {
    const QueuedTask* best = nullptr;
    for (const QueuedTask& candidate : this->waiting) {
      if (candidate.team == team && candidate.deadline > now &&
          !blocked(candidate) &&
          (best == nullptr || Rank(candidate) < Rank(*best))) {
        best = &candidate;
      }
    }
    return best;
  }
  bool Erase(const TaskId& task) {
    return std::erase_if(this->waiting, [&](const QueuedTask& candidate) {
             return candidate.task == task;
           }) > 0;
  }
};

// Guards against lost, duplicated, expired or ineligible tasks, a wrong order
// within a team, wrong charges, and preemption of tasks that must not stop.
BOOST_AUTO_TEST_CASE(RandomOperationsMatchOracle) {
  BOOST_TEST(rc::check([] {
    FairQueue queue;
    Oracle oracle;
    Time now = kStart;
    const auto steps = *rc::gen::container<std::vector<std::uint32_t>>(
        200, rc::gen::arbitrary<std::uint32_t>());
    for (const std::uint32_t step : steps) {
      const std::uint32_t draw = step / 8;
      const std::int64_t task = draw % 40;
      const std::int64_t team = task % 4;
      switch (step % 8) {
        case 0:
        case 1: {
          QueuedTask job = MakeTask(
              task, team, now, draw % 3 == 0,
              draw % 5 == 0 ? Time::max() : now + milliseconds(draw % 7 * 500));
          job.profile = ProfileId(task % 3 == 0 ? "p" : "q");
          const bool known =
              oracle.running.contains(job.task) ||
              std::any_of(
                  oracle.waiting.begin(), oracle.waiting.end(),
                  [&](const QueuedTask& w) { return w.task == job.task; });
          RC_ASSERT(queue.Push(job, now) == !known);
          if (!known) {
            oracle.waiting.push_back(job);
          }
          break;
        }
        case 2:
        case 3: {
          const auto blocked = [&](const QueuedTask& w) {
            return w.team == Team(draw % 5) ||
                   (w.profile == ProfileId("p") && draw % 2 == 0) ||
                   w.task == Task(draw % 11);
          };
          const auto eligible = [&](const QueuedTask& w) {
            if (w.team == Team(draw % 5)) {
              return Eligibility::kTeamBlocked;
            }
            if (w.profile == ProfileId("p") && draw % 2 == 0) {
              return Eligibility::kProfileBlocked;
            }
            return w.task == Task(draw % 11) ? Eligibility::kTaskBlocked
                                             : Eligibility::kEligible;
          };
          const auto popped = queue.Pop(now, eligible);
          if (!popped) {
            for (std::int64_t other = 0; other < 4; ++other) {
              RC_ASSERT(oracle.BestEligible(Team(other), now, blocked) ==
                        nullptr);
            }
            break;
          }
          const QueuedTask* best =
              oracle.BestEligible(popped->team, now, blocked);
          RC_ASSERT(best != nullptr);
          RC_ASSERT(best->task == popped->task);
          oracle.Erase(popped->task);
          RC_ASSERT(
              queue.Started(popped->task, popped->team, draw % 2 == 0, now));
          oracle.running[popped->task] = {popped->team, now, draw % 2 == 0};
          break;
        }
        case 4: {
          const auto run = oracle.running.find(Task(task));
          RC_ASSERT(queue.Ended(Task(task), now) ==
                    (run != oracle.running.end()));
          if (run != oracle.running.end()) {
            oracle.used[run->second.team] +=
                ToSeconds(now - run->second.started);
            oracle.running.erase(run);
          }
          break;
        }
        case 5:
          RC_ASSERT(queue.Cancel(Task(task), now).has_value() ==
                    oracle.Erase(Task(task)));
          break;
        case 6: {
          now += milliseconds(draw % 900);
          for (const QueuedTask& expired : queue.Expire(now)) {
            RC_ASSERT(expired.deadline <= now);
            RC_ASSERT(oracle.Erase(expired.task));
          }
          for (const QueuedTask& left : oracle.waiting) {
            RC_ASSERT(left.deadline > now);
          }
          break;
        }
        default: {
          const std::int64_t slots = 1 + draw % 6;
          const auto pick = queue.PickPreemption(now, slots);
          if (!pick) {
            break;
          }
          RC_ASSERT(std::ssize(oracle.running) >= slots);
          auto& run = oracle.running.at(pick->task);
          RC_ASSERT(run.team == pick->from);
          RC_ASSERT(run.preemptible);
          RC_ASSERT(!run.chosen);
          run.chosen = true;
          RC_ASSERT(pick->from != pick->to);
          RC_ASSERT(std::any_of(
              oracle.waiting.begin(), oracle.waiting.end(),
              [&](const QueuedTask& w) {
                return w.team == pick->to &&
                       w.enqueued + (w.urgent ? kUrgentPreemptionDelay
                                              : kPreemptionDelay) <=
                           now;
              }));
        }
      }
      RC_ASSERT(queue.waiting() == std::ssize(oracle.waiting));
      RC_ASSERT(queue.running() == std::ssize(oracle.running));
    }
    for (const auto& [task, run] : oracle.running) {
      oracle.used[run.team] += ToSeconds(now - run.started);
    }
    for (std::int64_t team = 0; team < 4; ++team) {
      RC_ASSERT(std::abs(queue.Counters(Team(team), now).slot_seconds -
                         oracle.used[Team(team)]) < 1e-6);
    }
  }));
}

// Serves `count` tasks of 100 ms on one slot; returns how many were of `team`.
std::int64_t Serve(FairQueue& queue, std::int64_t team, int count, Time& now) {
  std::int64_t served = 0;
  for (int i = 0; i < count; ++i) {
    const auto popped = queue.Pop(now, All);
    served += popped->team == Team(team) ? 1 : 0;
    queue.Started(popped->task, popped->team, false, now);
    now += milliseconds(100);
    queue.Ended(popped->task, now);
  }
  return served;
}

// Guards against a team that accumulates credit while idle and then starves
// others.
BOOST_AUTO_TEST_CASE(IdleTimeGivesNoCreditBeyondTheBurst) {
  FairQueue queue;
  Time now = kStart;
  for (int i = 0; i < 2000; ++i) {
    queue.Push(MakeTask(i, 0, now), now);
  }
  Serve(queue, 0, 1000, now);
  for (int i = 2000; i < 3000; ++i) {
    queue.Push(MakeTask(i, 1, now), now);
  }
  // Its share is 50 of 100 tasks. The burst of 2 s covers 20 tasks, half of
  // which are part of its share in any case.
  const std::int64_t served = Serve(queue, 1, 100, now);
  BOOST_TEST(served >= 50);
  BOOST_TEST(served <= 62);
}

// Guards against charging a team for slots that no other team waited for.
BOOST_AUTO_TEST_CASE(UncontendedSlotsAreNotChargedLater) {
  FairQueue queue;
  Time now = kStart;
  for (int i = 0; i < 8; ++i) {
    queue.Started(Task(i), Team(0), false, now);
  }
  now += seconds(3600);
  for (int i = 0; i < 8; ++i) {
    queue.Ended(Task(i), now);
  }
  for (int i = 100; i < 300; ++i) {
    queue.Push(MakeTask(i, (i + 1) % 2, now), now);
  }
  const std::int64_t served = Serve(queue, 0, 100, now);
  BOOST_TEST(served >= 38);
  BOOST_TEST(served <= 62);
}

// Guards against a team at its upper limit that accumulates credit for the
// slots that others use meanwhile, and then takes the whole pool.
BOOST_AUTO_TEST_CASE(BlockedTeamAccumulatesNoCredit) {
  FairQueue queue;
  Time now = kStart;
  for (int i = 0; i < 4000; ++i) {
    queue.Push(MakeTask(i, i % 2, now), now);
  }
  for (int i = 0; i < 1000; ++i) {
    const auto popped = queue.Pop(now, [](const QueuedTask& waiting) {
      return waiting.team == Team(1) ? Eligibility::kTeamBlocked
                                     : Eligibility::kEligible;
    });
    queue.Started(popped->task, popped->team, false, now);
    now += milliseconds(100);
    queue.Ended(popped->task, now);
  }
  BOOST_TEST(Serve(queue, 1, 100, now) <= 62);
}

// Guards against use of other contended pools that is not charged to a team.
BOOST_AUTO_TEST_CASE(ContendedUseInOtherPoolsLowersTheShare) {
  FairQueue queue;
  Time now = kStart;
  for (int i = 0; i < 2000; ++i) {
    queue.Push(MakeTask(i, i % 2, now), now);
  }
  queue.SetExternalSlots(Team(1), 0.5, now);
  // Slot use n0 + n1 = 1 with n0 = n1 + 0.5 leaves team 1 a quarter.
  const std::int64_t served = Serve(queue, 1, 400, now);
  BOOST_TEST(served >= 90);
  BOOST_TEST(served <= 110);
}

// Guards against a Pop that checks every task of a blocked team.
BOOST_AUTO_TEST_CASE(BlockedTeamCostsOneCheck) {
  FairQueue queue;
  for (int i = 0; i < 10000; ++i) {
    queue.Push(MakeTask(i, i % 2, kStart), kStart);
  }
  int checks = 0;
  const auto popped = queue.Pop(kStart, [&](const QueuedTask& waiting) {
    checks += 1;
    return waiting.team == Team(0) ? Eligibility::kTeamBlocked
                                   : Eligibility::kEligible;
  });
  BOOST_TEST(popped->team == Team(1));
  BOOST_TEST(checks <= 2);
}

// Guards against preemption before the delay has passed, in a pool with a free
// slot, or for a team at its share; and against a slot lost to a third team.
BOOST_AUTO_TEST_CASE(PreemptionServesTheWaitingTeam) {
  FairQueue queue;
  Time now = kStart;
  for (int i = 0; i < 8; ++i) {
    queue.Started(Task(i), Team(0), i != 7, now + milliseconds(i));
  }
  queue.Push(MakeTask(100, 1, now), now);
  queue.Push(MakeTask(101, 0, now), now);
  BOOST_TEST(
      !queue.PickPreemption(now + kPreemptionDelay - milliseconds(1), 8));
  now += kPreemptionDelay;
  BOOST_TEST(!queue.PickPreemption(now, 9));
  BOOST_TEST(!queue.PickPreemption(now, 8, [](const QueuedTask& /*waiting*/) {
    return Eligibility::kTeamBlocked;
  }));
  const auto pick = queue.PickPreemption(now, 8);
  BOOST_REQUIRE(pick.has_value());
  BOOST_TEST(pick->task == Task(6));
  BOOST_TEST(pick->from == Team(0));
  BOOST_TEST(pick->to == Team(1));
  // One slot covers the team's only task.
  BOOST_TEST(!queue.PickPreemption(now, 8));
  queue.Push(MakeTask(102, 2, now, true), now);
  queue.Ended(pick->task, now);
  BOOST_TEST(queue.Pop(now, All)->task == Task(100));
  queue.Started(Task(100), Team(1), false, now);
  // Urgent tasks have a preemption delay of their own.
  now += kUrgentPreemptionDelay;
  BOOST_TEST((queue.PickPreemption(now, 8)->to == Team(2)));
}

// Guards against preemption because of the rounding of shares or a deficit that
// has just arisen, and against preemption of tasks that must not stop.
BOOST_AUTO_TEST_CASE(PreemptionRequiresALastingDeficitAndAPreemptibleTask) {
  FairQueue queue;
  Time now = kStart;
  for (int i = 0; i < 4; ++i) {
    queue.Started(Task(i), Team(0), false, now);
    queue.Started(Task(10 + i), Team(1), true, now);
  }
  for (int i = 0; i < 3; ++i) {
    queue.Started(Task(20 + i), Team(2), true, now);
    queue.Push(MakeTask(50 + i, i, now), now);
    queue.Push(MakeTask(60 + i, i, now), now);
  }
  // Of 11 slots, team 2 has 3 and is entitled to 3.67.
  now += kPreemptionDelay;
  BOOST_TEST(!queue.PickPreemption(now, 11));
  queue.Ended(Task(20), now);
  queue.Started(Task(4), Team(0), false, now);
  BOOST_TEST(!queue.PickPreemption(now, 11));
  now += kPreemptionDelay;
  // Team 0 is further above its share, but none of its tasks is preemptible.
  const auto pick = queue.PickPreemption(now, 11);
  BOOST_REQUIRE(pick.has_value());
  BOOST_TEST(pick->from == Team(1));
  BOOST_TEST(pick->to == Team(2));
}

// Guards against two teams, each entitled to half a slot, that continually
// preempt each other.
BOOST_AUTO_TEST_CASE(TeamsAlternateOnlyAfterAMinimumLead) {
  FairQueue queue;
  Time now = kStart;
  queue.Started(Task(0), Team(0), true, now);
  queue.Push(MakeTask(1, 1, now), now);
  int preemptions = 0;
  for (int i = 0; i < 600; ++i) {
    now += milliseconds(500);
    if (const auto pick = queue.PickPreemption(now, 1)) {
      preemptions += 1;
      queue.Ended(pick->task, now);
      QueuedTask again{pick->task, pick->from, ProfileId("p"), false, now};
      queue.Push(again, now);
      const auto popped = queue.Pop(now, All);
      queue.Started(popped->task, popped->team, true, now);
    }
  }
  BOOST_TEST(preemptions >= 10);
  BOOST_TEST(preemptions <= 40);
  const double first = queue.Counters(Team(0), now).slot_seconds;
  const double second = queue.Counters(Team(1), now).slot_seconds;
  BOOST_TEST(std::abs(first - second) <= 2 * kTurnLeadSlotSeconds);
}

// Guards against requests rejected on arrival because of a wrong estimate: the
// estimate is compared with the actual wait.
BOOST_AUTO_TEST_CASE(ExpectedWaitMatchesTheActualWait) {
  FairQueue queue;
  Time now = kStart;
  BOOST_TEST((queue.ExpectedWait(Team(0), 1, now) == Duration::zero()));
  for (int i = 0; i < 400; ++i) {
    queue.Push(MakeTask(i, i % 2, now), now);
  }
  Serve(queue, 0, 100, now);
  // 150 of its own tasks wait, each of 100 ms on half of the slot.
  const double expected = ToSeconds(queue.ExpectedWait(Team(0), 1, now));
  queue.Push(MakeTask(1000, 0, now), now);
  const Time arrived = now;
  std::optional<Time> begun;
  while (!begun) {
    const auto popped = queue.Pop(now, All);
    if (popped->task == Task(1000)) {
      begun = now;
    }
    queue.Started(popped->task, popped->team, false, now);
    now += milliseconds(100);
    queue.Ended(popped->task, now);
  }
  const double actual = ToSeconds(*begun - arrived);
  BOOST_TEST(expected >= 0.8 * actual);
  BOOST_TEST(expected <= 1.2 * actual);
  BOOST_TEST((queue.ExpectedWait(Team(0), 0, now) == kMaxExpectedWait));
}

}  // namespace
}  // namespace kch::share
