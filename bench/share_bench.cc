// Measures src/share in virtual time with fixed seeds: closeness to shares and
// the longest wait against plain FIFO, and the cost of each operation.

#include "share/share.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace kch::share {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(1000)};
constexpr int kRounds = 5000;  // per measured operation
constexpr int kBurst = 4000;   // cancellations

TeamId Team(std::size_t number) {
  return TeamId("team-" + std::to_string(number));
}

Eligibility All(const QueuedTask& /*waiting*/) {
  return Eligibility::kEligible;
}

struct Load {
  double weight;
  double rate;  // tasks a second
  double run;   // mean seconds, exponential
  double start = 0;
};

struct Scenario {
  const char* name;
  std::int64_t slots;
  double length;  // seconds
  std::vector<Load> teams;
};

struct Figures {
  double error = 0;         // mean |used - fair| over fair, backlogged teams
  double worst_error = 0;   // largest of them
  double longest_wait = 0;  // of a team that asks for no more than its share
  double light_wait = 0;    // of one that asks for at most half of it
  std::int64_t preemptions = 0;
};

enum class Kind : std::uint8_t { kArrive, kEnd, kTick };

struct Event {
  Time at;
  std::uint64_t order;
  Kind kind;
  std::size_t team;
  TaskId task;
  bool operator>(const Event& other) const {
    return std::pair(this->at, this->order) > std::pair(other.at, other.order);
  }
};

struct Run {
  std::size_t team;
  Time arrived;
  Duration left;
  Time started;
  bool running = false;
  std::uint64_t end = 0;  // order of its end event; older ones are void
};

Duration Seconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

// Max-min fair slots for the offered load of each team.
std::vector<double> FairSlots(const Scenario& scenario) {
  std::vector<double> fair(scenario.teams.size(), 0);
  std::vector<bool> done(scenario.teams.size(), false);
  auto left = static_cast<double>(scenario.slots);
  for (bool changed = true; changed;) {
    changed = false;
    double weights = 0;
    for (std::size_t i = 0; i < fair.size(); ++i) {
      weights += done[i] ? 0 : scenario.teams[i].weight;
    }
    const double level = left;
    for (std::size_t i = 0; i < fair.size(); ++i) {
      const Load& team = scenario.teams[i];
      const double demand = team.rate * team.run;
      if (!done[i] && demand <= level * team.weight / weights) {
        fair[i] = demand;
        left -= demand;
        done[i] = true;
        changed = true;
      }
    }
    if (!changed) {
      for (std::size_t i = 0; i < fair.size(); ++i) {
        if (!done[i]) {
          fair[i] = left * scenario.teams[i].weight / weights;
        }
      }
    }
  }
  return fair;
}

Figures Simulate(const Scenario& scenario, bool fifo, bool preempt) {
  std::mt19937_64 random(11);
  FairQueue queue;
  std::deque<std::pair<TaskId, std::size_t>> line;
  std::vector<Run> runs;
  std::vector<double> used(scenario.teams.size(), 0);
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  std::uint64_t order = 0;
  const std::vector<double> fair = FairSlots(scenario);
  Figures figures;
  const auto post = [&](Time at, Kind kind, std::size_t team, TaskId task) {
    events.push({at, ++order, kind, team, std::move(task)});
    return order;
  };
  const auto gap = [&](double rate) {
    return Seconds(std::exponential_distribution<>(rate)(random));
  };
  for (std::size_t i = 0; i < scenario.teams.size(); ++i) {
    const Load& team = scenario.teams[i];
    queue.SetTeamWeight(Team(i), team.weight, kStart);
    post(kStart + Seconds(team.start) + gap(team.rate), Kind::kArrive, i, {});
  }
  post(kStart, Kind::kTick, 0, {});
  std::int64_t busy = 0;
  Time now = kStart;
  const Time end = kStart + Seconds(scenario.length);
  double weights = 0;
  for (const Load& team : scenario.teams) {
    weights += team.weight;
  }
  const auto wait = [&](const Run& run) {
    const Load& team = scenario.teams[run.team];
    const double demand = team.rate * team.run;
    const double waited = ToSeconds(now - run.arrived);
    if (demand <= fair[run.team] + 1e-9) {
      figures.longest_wait = std::max(figures.longest_wait, waited);
    }
    if (demand <=
        static_cast<double>(scenario.slots) * team.weight / weights / 2) {
      figures.light_wait = std::max(figures.light_wait, waited);
    }
  };
  const auto fill = [&] {
    while (busy < scenario.slots) {
      std::optional<TaskId> task;
      if (fifo) {
        if (!line.empty()) {
          task = line.front().first;
          line.pop_front();
        }
      } else if (auto popped = queue.Pop(now, All)) {
        task = popped->task;
      }
      if (!task) {
        return;
      }
      Run& run = runs[std::stoul(task->str())];
      wait(run);
      queue.Started(*task, Team(run.team), true, now);
      run.running = true;
      run.started = now;
      run.end = post(now + run.left, Kind::kEnd, run.team, *task);
      busy += 1;
    }
  };
  const auto stop = [&](const TaskId& task) {
    Run& run = runs[std::stoul(task.str())];
    queue.Ended(task, now);
    run.running = false;
    run.left -= now - run.started;
    used[run.team] += ToSeconds(now - run.started);
    busy -= 1;
  };
  const auto enqueue = [&](const TaskId& task, std::size_t team) {
    if (fifo) {
      line.emplace_back(task, team);
    } else {
      queue.Push({task, Team(team), ProfileId("p"), false, now}, now);
    }
  };
  while (!events.empty() && events.top().at < end) {
    const Event event = events.top();
    events.pop();
    now = event.at;
    switch (event.kind) {
      case Kind::kArrive: {
        const Load& team = scenario.teams[event.team];
        const TaskId task(std::to_string(runs.size()));
        runs.push_back({event.team, now, gap(1 / team.run), now});
        enqueue(task, event.team);
        post(now + gap(team.rate), Kind::kArrive, event.team, {});
        break;
      }
      case Kind::kEnd: {
        const Run& run = runs[std::stoul(event.task.str())];
        if (run.running && run.end == event.order) {
          stop(event.task);
        }
        break;
      }
      case Kind::kTick:
        while (preempt) {
          const auto pick = queue.PickPreemption(now, scenario.slots);
          if (!pick) {
            break;
          }
          figures.preemptions += 1;
          stop(pick->task);
          runs[std::stoul(pick->task.str())].arrived = now;
          const std::size_t team = runs[std::stoul(pick->task.str())].team;
          enqueue(pick->task, team);
          fill();
        }
        post(now + milliseconds(100), Kind::kTick, 0, {});
        break;
    }
    fill();
  }
  now = end;
  for (Run& run : runs) {
    if (run.running) {
      used[run.team] += ToSeconds(now - run.started);
    } else if (run.left > Duration::zero()) {
      wait(run);  // still waiting at the end
    }
  }
  int backlogged = 0;
  for (std::size_t i = 0; i < used.size(); ++i) {
    const Load& team = scenario.teams[i];
    if (team.rate * team.run <= fair[i] + 1e-9) {
      continue;
    }
    const double target = fair[i] * (scenario.length - team.start);
    const double error = std::abs(used[i] - target) / target;
    figures.error += error;
    figures.worst_error = std::max(figures.worst_error, error);
    backlogged += 1;
  }
  figures.error /= std::max(backlogged, 1);
  return figures;
}

void MeasureShares() {
  std::vector<Scenario> scenarios;
  // One team submits ten times what the others do.
  scenarios.push_back({"6 teams, 1 greedy",
                       64,
                       600,
                       {{1, 2000, 0.2},
                        {1, 200, 0.2},
                        {1, 200, 0.2},
                        {2, 400, 0.2},
                        {1, 10, 0.2},
                        {1, 5, 0.2}}});
  // The run times differ by a factor of 400; the long tasks hold the pool.
  scenarios.push_back({"6 teams, long tasks",
                       64,
                       3600,
                       {{1, 4, 60},
                        {1, 300, 0.15},
                        {2, 40, 2},
                        {1, 40, 1},
                        {1, 2, 1},
                        {1, 1, 0.5}}});
  // A pool full of long tasks when another team arrives.
  scenarios.push_back(
      {"late team, 10 min", 64, 1200, {{1, 2, 600}, {1, 20, 0.5, 60}}});
  Scenario many{"280 teams", 512, 100, {}};
  for (std::size_t i = 0; i < 280; ++i) {
    const double weight = 1.0 + static_cast<double>(i % 4);
    const double load = i < 10 ? 60 : (i % 3 == 0 ? 0.3 : 6);
    many.teams.push_back({weight, load / 0.5, 0.5});
  }
  scenarios.push_back(many);
  std::printf(
      "Share error of backlogged teams; longest wait of teams that ask for at "
      "most their share (wait) or half of it (light)\n");
  std::printf("%-20s %-17s %10s %10s %11s %11s %11s\n", "scenario", "queue",
              "mean error", "max error", "wait", "light", "preemptions");
  for (const Scenario& scenario : scenarios) {
    struct Variant {
      const char* name;
      bool fifo;
      bool preempt;
    };
    for (const Variant& variant :
         {Variant{"fifo", true, false}, Variant{"fair", false, false},
          Variant{"fair, preemption", false, true}}) {
      const Figures figures = Simulate(scenario, variant.fifo, variant.preempt);
      std::printf("%-20s %-17s %9.1f%% %9.1f%% %9.2f s %9.2f s %11lld\n",
                  scenario.name, variant.name, 100 * figures.error,
                  100 * figures.worst_error, figures.longest_wait,
                  figures.light_wait,
                  static_cast<long long>(figures.preemptions));
    }
  }
}

class Stopwatch {
 public:
  // Mean nanoseconds over `count` operations since the last call.
  double Lap(int count) {
    const auto now = std::chrono::steady_clock::now();
    const double ns =
        std::chrono::duration<double, std::nano>(now - this->last).count();
    this->last = std::chrono::steady_clock::now();
    return ns / count;
  }

 private:
  std::chrono::steady_clock::time_point last = std::chrono::steady_clock::now();
};

void MeasureCost(std::size_t teams, int waiting) {
  FairQueue queue;
  std::mt19937_64 random(5);
  Time now = kStart;
  std::vector<QueuedTask> jobs;
  jobs.reserve(2 * static_cast<std::size_t>(waiting));
  for (int i = 0; i < 2 * waiting; ++i) {
    jobs.push_back({TaskId("task-" + std::to_string(i)), Team(random() % teams),
                    ProfileId("profile-" + std::to_string(random() % 3)),
                    random() % 10 == 0, now,
                    now + milliseconds(10000 + random() % 20000)});
  }
  const auto print = [](const char* name, double ns) {
    std::printf("  %-46s %10.0f ns\n", name, ns);
  };
  std::printf("Cost per operation, %zu teams, %d waiting\n", teams, waiting);
  Stopwatch watch;
  for (int i = 0; i < waiting; ++i) {
    queue.Push(jobs[static_cast<std::size_t>(i)], now);
  }
  print("Push", watch.Lap(waiting));
  std::vector<std::pair<TaskId, TeamId>> running;
  watch.Lap(1);
  for (int i = 0; i < kRounds; ++i) {
    now += milliseconds(1);
    const auto popped = queue.Pop(now, All);
    queue.Started(popped->task, popped->team, true, now);
    if (running.size() >= 512) {
      queue.Ended(running[static_cast<std::size_t>(i) % 512].first, now);
      running[static_cast<std::size_t>(i) % 512] = {popped->task, popped->team};
    } else {
      running.emplace_back(popped->task, popped->team);
    }
    queue.Push(jobs[static_cast<std::size_t>(waiting) +
                    static_cast<std::size_t>(i % waiting)],
               now);
  }
  print("Pop + Started + Ended + Push", watch.Lap(kRounds));
  // Every team but one is at its limit.
  const TeamId open = Team(teams - 1);
  const auto one_team = [&](const QueuedTask& job) {
    return job.team == open ? Eligibility::kEligible
                            : Eligibility::kTeamBlocked;
  };
  int found = 0;
  watch.Lap(1);
  for (int i = 0; i < kRounds; ++i) {
    if (auto popped = queue.Pop(now, one_team)) {
      found += 1;
      queue.Push(*popped, now);
    }
  }
  print("Pop + Push, all teams but one blocked", watch.Lap(kRounds));
  const auto one_profile = [&](const QueuedTask& job) {
    return job.profile.str() == "profile-2" ? Eligibility::kEligible
                                            : Eligibility::kProfileBlocked;
  };
  watch.Lap(1);
  for (int i = 0; i < kRounds; ++i) {
    if (auto popped = queue.Pop(now, one_profile)) {
      found += 1;
      queue.Push(*popped, now);
    }
  }
  print("Pop + Push, two of three profiles blocked", watch.Lap(kRounds));
  Duration sum{0};
  watch.Lap(1);
  for (int i = 0; i < kRounds; ++i) {
    sum += queue.ExpectedWait(Team(random() % teams), 512, now);
  }
  print("ExpectedWait", watch.Lap(kRounds));
  int picked = 0;
  watch.Lap(1);
  for (int i = 0; i < 200; ++i) {
    picked += queue.PickPreemption(now, 512) ? 1 : 0;
  }
  print("PickPreemption", watch.Lap(200));
  std::vector<TaskId> burst;
  for (const QueuedTask& job : jobs) {
    if (burst.size() < kBurst) {
      burst.push_back(job.task);
    }
  }
  std::shuffle(burst.begin(), burst.end(), random);
  watch.Lap(1);
  for (const TaskId& task : burst) {
    found += queue.Cancel(task, now) ? 1 : 0;
  }
  print("Cancel, per task of a burst of 4000", watch.Lap(kBurst));
  now += seconds(60);
  const auto left = static_cast<int>(queue.waiting());
  watch.Lap(1);
  found += static_cast<int>(queue.Expire(now).size());
  print("Expire, per expired task", watch.Lap(std::max(left, 1)));
  std::printf("  (checks: %d found, %d picked, %lld ms expected in all)\n",
              found, picked, static_cast<long long>(ToMs(sum)));
}

}  // namespace
}  // namespace kch::share

int main() {
  kch::share::MeasureShares();
  kch::share::MeasureCost(280, 10000);
  kch::share::MeasureCost(280, 100000);
  kch::share::MeasureCost(6, 10000);
  return 0;
}
