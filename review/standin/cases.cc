#include "cases.h"

#include <atomic>
#include <chrono>
#include <csignal>

namespace review {
namespace {

constexpr Amounts kMinion{8000, 64000};

Job MakeJob(const std::string& digits,
            int count,
            std::int64_t cpu,
            std::int64_t length_ms,
            const std::string& spec = "work") {
  Json steps = Json::array();
  steps.push_back({{"Count", count},
                   {"Cpu", cpu},
                   {"MemMb", 100},
                   {"EstimateMs", length_ms}});
  return {.id = std::string(16 - digits.size(), '0') + digits,
          .tenant = "team",
          .route = "queue",
          .spec = spec,
          .steps = std::move(steps)};
}

// One in each zone and rack in turn, of equal size.
void AddMinions(World& world, int count) {
  for (int i = 0; i < count; ++i) {
    world.AddMinion("minion" + std::to_string(i), "pool",
                    "z" + std::to_string(i % 3), "r" + std::to_string(i / 4),
                    kMinion);
  }
}

std::string TaskOf(const Job& job, int index) {
  return job.id + ".0.0." + std::to_string(index);
}

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::size_t NotThe(std::size_t number) {
  return number == 0 ? 1 : 0;
}

void Accept(Fleet& fleet, std::size_t number, const Job& job) {
  Fleet::Need(
      "acceptance of " + job.id,
      [&] { return fleet.Submit(number, job) == 200; }, 8000);
}

void PlainConfig(World& world, std::int64_t maximum_cpu, int max_attempts = 3) {
  world.SetConfig({{.name = "team",
                    .key = "team-key",
                    .maximum = {maximum_cpu, 0}}},
                  {{.name = "queue",
                    .service = "pool",
                    .max_attempts = max_attempts}});
  world.Publish();
}

// A job with two due times, 20 s apart. Its tasks of the first are at work when
// the process in charge ends; four of them end before its successor is there.
void EndOwnerDuringTimedJob(int signal) {
  World& world = TheWorld();
  AddMinions(world, 8);
  PlainConfig(world, 0);
  Fleet fleet(world, 3);
  const std::size_t owner = fleet.WaitForOwner();
  const std::size_t other = NotThe(owner);
  Job job = MakeJob("a1", 4, 1000, 2000);
  job.steps.push_back(job.steps[0]);
  job.steps[1]["EstimateMs"] = 6000;
  Fleet::Need(
      "acceptance of the timed job",
      [&] {
        return fleet.Submit(other, job,
                            {{"FirstRunMs", UnixMs() + 500},
                             {"IntervalMs", 20000},
                             {"RepeatCount", 2}}) == 200;
      },
      8000);
  Fleet::Need("its first tasks", [&] { return world.RunningOf(job.id) == 8; },
              8000);
  Fleet::Sleep(1000);
  if (signal != 0) {
    fleet.Signal(owner, signal);
  }
  Fleet::Sleep(14000);
  fleet.RecordLogs({"owner_gained", "recovered", "stray_stopped",
                    "run_adopted", "step_started"});
}

}  // namespace

void KillDuringTimedJob(bool trouble) {
  EndOwnerDuringTimedJob(trouble ? SIGKILL : 0);
}

void StopDuringTimedJob(bool trouble) {
  EndOwnerDuringTimedJob(trouble ? SIGTERM : 0);
}

void RestartUnderId(bool trouble) {
  World& world = TheWorld();
  // The first heartbeat comes well within the interval of heartbeats.
  world.first_beat_ms = 500;
  AddMinions(world, 8);
  PlainConfig(world, 0);
  Fleet fleet(world, 3);
  const std::size_t owner = fleet.WaitForOwner();
  const Job before = MakeJob("a1", 2, 1000, 300);
  Accept(fleet, NotThe(owner), before);
  Fleet::Need(
      "the first job",
      [&] { return fleet.State(NotThe(owner), before) == "completed"; }, 8000);
  Fleet::Sleep(500);
  if (trouble) {
    world.Crash("minion0");
    Fleet::Sleep(1000);
    world.Restart("minion0");
  }
  Fleet::Sleep(100);
  const Job job = MakeJob("b2", 1, 1500, 4000);
  Accept(fleet, NotThe(owner), job);
  Fleet::Need("the task", [&] { return world.StartsOf(TaskOf(job, 0)) > 0; },
              8000);
  Fleet::WaitFor(
      [&] { return fleet.State(NotThe(owner), job) == "completed"; }, 12000);
  fleet.RecordLogs({"vm_restarted", "run_lost", "step_started", "run_adopted",
                    "stray_stopped", "vm_silent"});
}

void StopDuringCancel(bool trouble) {
  World& world = TheWorld();
  world.stop_takes_ms = 850;  // StopGraceMs is 900
  AddMinions(world, 4);
  PlainConfig(world, 8000);
  Fleet fleet(world, 3);
  const std::size_t owner = fleet.WaitForOwner();
  const std::size_t other = NotThe(owner);
  const Job first = MakeJob("a1", 8, 1000, 60000);
  Accept(fleet, other, first);
  Fleet::Need("the first job's tasks",
              [&] { return world.RunningOf(first.id) == 8; }, 8000);
  const Job second = MakeJob("b2", 8, 1000, 3000);
  Accept(fleet, other, second);
  Fleet::Sleep(600);
  Fleet::Need("the cancelling",
              [&] { return fleet.Cancel(other, first) == 200; }, 4000);
  Fleet::Sleep(100);
  if (trouble) {
    fleet.Signal(owner, SIGTERM);
  }
  Fleet::WaitFor(
      [&] { return fleet.State(other, second) == "completed"; }, 15000);
  fleet.RecordLogs({"owner_gained", "recovered", "stray_stopped",
                    "step_started", "stopping"});
}

void ManyOccurrences(bool trouble) {
  World& world = TheWorld();
  AddMinions(world, 4);
  PlainConfig(world, 0);
  Fleet fleet(world, 3);
  const std::size_t owner = fleet.WaitForOwner();
  const std::size_t other = NotThe(owner);
  const Job timed = MakeJob("a1", 1, 1000, 200);
  const std::int64_t now_ms = UnixMs();
  const int times = trouble ? 14400 : 3;
  Fleet::Need(
      "acceptance of the timed job",
      [&] {
        return fleet.Submit(other, timed,
                            {{"FirstRunMs", now_ms - 1000LL * times},
                             {"IntervalMs", 1000},
                             {"RepeatCount", times}}) == 200;
      },
      8000);
  const Job plain = MakeJob("b2", 2, 1000, 500);
  Accept(fleet, other, plain);
  // The rule is judged from finish_s after the end of the traffic.
  Fleet::Sleep(14000);
  std::int64_t idle_since = world.NowMs();
  const auto end = world.NowMs() + 40000;
  std::string state;
  while (world.NowMs() < end && state != "completed") {
    state = fleet.State(other, plain);
    const auto [used, all] = world.CpuInUse();
    if (world.RunningOf(plain.id) > 0 || 2 * used >= all) {
      idle_since = world.NowMs();
    }
    if (world.NowMs() - idle_since > 3000) {
      world.Breach("LOST", "job " + plain.id + " was accepted, is shown as '" +
                               state + "' and has had nothing running for 3 s "
                               "with " + std::to_string(used) + " of " +
                               std::to_string(all) + " Cpu in use");
      idle_since = world.NowMs();
    }
    Fleet::Sleep(100);
  }
  world.Note("job " + plain.id + " is shown as '" + state + "', " +
             std::to_string(world.StartedOf(plain.id)) + " of its tasks have "
             "started; of job " + timed.id + " " +
             std::to_string(world.StartedOf(timed.id)));
  fleet.RecordLogs({"owner_gained", "owner_lost", "owner_lease_expired",
                    "recovered"});
}

void StartWithoutConfig(bool trouble) {
  World& world = TheWorld();
  AddMinions(world, 4);
  PlainConfig(world, 4000);
  Fleet fleet(world, 1);
  fleet.WaitForOwner();
  const Job job = MakeJob("a1", 16, 1000, 8000);
  Accept(fleet, 0, job);
  Fleet::Need("the tasks within the limit",
              [&] { return world.RunningOf(job.id) == 4; }, 8000);
  Fleet::Sleep(500);
  int silent = trouble ? 1 : 0;
  fleet.Kill(0);
  world.store_fault = [&](std::size_t, const std::string& call,
                          const kch::net::HttpRequest& request) {
    if (silent > 0 && call == "kv-range" && request.Query("Prefix") == "op/") {
      --silent;
      world.Note("the connection that asks for op/ is silent from now on");
      return StoreFault::kSilent;
    }
    return StoreFault::kNone;
  };
  fleet.Start(0);
  fleet.WaitForOwner();
  Fleet::Sleep(4000);
  fleet.RecordLogs({"owner_gained", "recovered", "step_started", "config",
                    "run_adopted"});
}

void RejectedDuringSubmit(bool trouble) {
  World& world = TheWorld();
  AddMinions(world, 4);
  PlainConfig(world, 0);
  Fleet fleet(world, 4);
  const std::size_t owner = fleet.WaitForOwner();
  const std::size_t front = NotThe(owner);
  const Job before = MakeJob("a1", 1, 1000, 300);
  Accept(fleet, front, before);
  Fleet::Need("the first job",
              [&] { return fleet.State(front, before) == "completed"; }, 8000);
  Fleet::Sleep(300);
  const Job job = MakeJob("b2", 2, 1000, 1000);
  std::int64_t rejected_since = -1;
  world.store_fault = [&](std::size_t caller, const std::string& call,
                          const kch::net::HttpRequest& request) {
    constexpr std::int64_t rejected_ms = 3000;
    if (!trouble || caller != front) {
      return StoreFault::kNone;
    }
    if (rejected_since >= 0) {
      return world.NowMs() - rejected_since < rejected_ms ? StoreFault::kRefuse
                                                          : StoreFault::kNone;
    }
    if (call == "kv-txn" &&
        request.body.find(job.id) != std::string::npos) {
      rejected_since = world.NowMs();
      world.Note("the store turns edge-" + std::to_string(front) +
                 " away: it resets its connections, and answers 503 for " +
                 std::to_string(rejected_ms) + " ms; the call in progress is "
                 "carried out");
      return StoreFault::kReset;
    }
    return StoreFault::kNone;
  };
  const int answer = fleet.Submit(front, job);
  Fleet::WaitFor([&] { return world.StartedOf(job.id) == 2; }, 6000);
  if ((answer == 503 || answer == 429) && world.StartedOf(job.id) > 0) {
    world.Breach("REFUSED", std::to_string(world.StartedOf(job.id)) +
                                " tasks of job " + job.id +
                                " have started; its only attempt was answered "
                                "with " + std::to_string(answer));
  }
  Fleet::Sleep(1500);
  fleet.RecordLogs({"submit", "job_seen", "step_started", "store_lost"});
}

void OutageWithLapse(bool trouble) {
  World& world = TheWorld();
  AddMinions(world, 8);
  PlainConfig(world, 0);
  Fleet fleet(world, 3);
  const std::size_t owner = fleet.WaitForOwner();
  const std::size_t other = NotThe(owner);
  std::atomic<std::int64_t> owner_watch_ms = 0;
  std::int64_t lost_from = -1;
  std::int64_t lost_until = -1;
  int writes = 0;
  world.store_fault = [&](std::size_t caller, const std::string& call,
                          const kch::net::HttpRequest& request) {
    if (caller == owner && call == "kv-watch" &&
        request.Query("Prefix") == "kch/owner") {
      owner_watch_ms = world.NowMs();
    }
    const std::int64_t now = world.NowMs();
    if (call != "kv-txn") {
      return StoreFault::kNone;
    }
    if (lost_from == 0 && caller == owner &&
        request.body.find("kch/last-owner") != std::string::npos) {
      lost_from = now;
      lost_until = now + 560;
      world.Note("from now on every third write gets no answer and is carried "
                 "out 3 s later, for 560 ms");
    } else if (now < lost_until && ++writes % 3 == 0) {
      return StoreFault::kLate;
    }
    return StoreFault::kNone;
  };
  Fleet::Sleep(2500);
  const auto next_watch = [&] {
    const std::int64_t last = owner_watch_ms;
    Fleet::Need("a watch of the owner's record",
                [&] { return owner_watch_ms != last; }, 5000);
    return owner_watch_ms.load();
  };
  // The last heartbeats of six minions come 1.4 s before the outage, those of
  // two just before it, so that only the entries of the six run out in it.
  const auto is_late = [](const std::string& id) {
    return id != "minion6" && id != "minion7";
  };
  const std::int64_t first_watch = next_watch();
  for (int i = 0; i < 8; ++i) {
    const std::string id = "minion" + std::to_string(i);
    world.SetNextBeat(id, first_watch + (is_late(id) ? 900 : 700));
  }
  Fleet::Sleep(500);
  std::vector<Job> jobs;
  for (int i = 100; i < 260; ++i) {
    jobs.push_back(MakeJob("c" + std::to_string(i), 1, 250, 3000));
    Accept(fleet, other, jobs.back());
  }
  // The times at which the process in charge asks the store again after the
  // outage follow from its last watches before it: it sees the changes of the
  // owner's record 0.75 s after the store's return, those of op/ 0.3 s later.
  next_watch();
  Fleet::Sleep(100);
  world.Publish();
  Fleet::Sleep(200);
  if (trouble) {
    world.StoreDown();
    Fleet::Sleep(3250);  // at most 4.5 s
    lost_from = 0;
    world.StoreBack([&](const std::string& id) {
      return is_late(id) ? 1400 : 50;  // about two seconds at most
    });
  }
  Fleet::Sleep(9000);
  fleet.RecordLogs({"owner_gained", "owner_lost", "recovered", "vm_removed",
                    "takeover_read", "store_regained"});
}

void StrayGet(bool trouble) {
  World& world = TheWorld();
  AddMinions(world, 4);
  world.SetConfig({{.name = "team", .key = "team-key", .maximum = {}},
                   {.name = "others", .key = "others-key", .maximum = {}}},
                  {{.name = "queue", .service = "pool"}});
  world.Publish();
  Fleet fleet(world, 3);
  const std::size_t owner = fleet.WaitForOwner();
  const std::size_t other = NotThe(owner);
  const Job job = MakeJob("a1", 2, 1000, 3000);
  Accept(fleet, other, job);
  Fleet::Sleep(500);
  Job stray = job;
  stray.tenant = "others";
  stray.id = job.id + "/cancel";
  if (trouble) {
    world.Note("GET of PREFIX + ID + /cancel by another tenant: " + fleet.State(other, stray));
  }
  Fleet::Sleep(4500);
  const std::string state = fleet.State(other, job);
  if (state != "completed") {
    world.Breach("LOST", "job " + job.id + " is shown as " + state);
  }
}

void LateUpkeep(bool trouble) {
  World& world = TheWorld();
  std::vector<std::string> machines;
  for (int i = 0; i < 4; ++i) {
    machines.push_back("m-minion" + std::to_string(i));
  }
  AddMinions(world, 4);
  PlainConfig(world, 0);
  Fleet fleet(world, 3);
  std::size_t owner = fleet.WaitForOwner();
  bool late = false;
  world.late_upkeep =
      [&](const std::string&) -> std::optional<std::int64_t> {
    if (!trouble || late) {
      return std::nullopt;
    }
    late = true;
    return 5800;  // 2 to 12 s
  };
  Fleet::Sleep(3500);
  world.RequestWave(1, machines, 1, 40);
  if (trouble) {
    Fleet::Need("an order for upkeep", [&] { return late; }, 15000);
    owner = fleet.Owner();
    fleet.Kill(owner);
  }
  Fleet::Sleep(2500);
  Accept(fleet, NotThe(owner), MakeJob("a1", 1, 1000, 9000));
  Fleet::WaitFor([&] { return world.UpkeepsBegun() >= 4; }, 40000);
  Fleet::Sleep(1000);
  fleet.RecordLogs({"owner_gained", "recovered", "upkeep_drain",
                    "upkeep_order", "wave_completed"});
}

}  // namespace review
