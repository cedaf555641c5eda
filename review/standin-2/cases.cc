#include "review/standin-2/cases.h"

#include <algorithm>
#include <chrono>
#include <thread>

namespace review {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::this_thread::sleep_for;

constexpr int kCouldNotRun = 2;

// Waits until a condition on the platform holds.
template <typename F>
bool WaitFor(Platform& platform, int ms, const F& holds) {
  for (int waited = 0; waited < ms; waited += 10) {
    if (platform.With(holds)) {
      return true;
    }
    sleep_for(milliseconds(10));
  }
  return false;
}

std::string JobBody(const std::string& spec, int count, int cpu, int mem_mb,
                    int estimate_ms) {
  return json{{"Spec", spec},
              {"Steps",
               {{{"Count", count},
                 {"Cpu", cpu},
                 {"MemMb", mem_mb},
                 {"EstimateMs", estimate_ms}}}}}
      .dump();
}

// Asks until the job has ended; the last state that was shown.
std::string AwaitEnd(const std::string& front, const std::string& path,
                     int seconds, Record& record) {
  std::string state;
  for (int i = 0; i < seconds * 2; ++i) {
    const Answer answer = CallFront(front, "GET", path, "", record);
    if (answer.status == 200) {
      state = json::parse(answer.body).value("State", "");
      if (state == "completed" || state == "failed" || state == "cancelled") {
        break;
      }
    }
    sleep_for(milliseconds(500));
  }
  return state;
}

int Judge(Platform& platform, Record& record) {
  return platform.With([&record](Platform& p) {
    record.Line(std::to_string(p.starts) + " starts, " +
                std::to_string(p.breaks.size()) + " breaks of the rule");
    return p.breaks.empty() ? 0 : 1;
  });
}

}  // namespace

// 600 tasks of a job run on one VM, 4 s each; a longer task takes part of
// another VM. The process that owns the fleet is
// killed as they are about to end, so that no one takes note of their ends until
// another process has taken over.
int PlayEnds(Setting& setting) {
  Record& record = setting.record;
  const Options options{.vms = 3};
  Platform platform(options, record);
  PublishConfig(platform, options, 3);
  Processes processes(3, setting.program, setting.logs, platform.address(),
                      options, record);
  if (!processes.WaitUntilReady(10)) {
    return kCouldNotRun;
  }
  sleep_for(milliseconds(4000));  // an owner has taken over
  const std::size_t owner = processes.Owner(platform);
  if (owner == processes.size()) {
    return kCouldNotRun;
  }
  const std::size_t other = (owner + 1) % processes.size();
  constexpr int tasks = 600;
  const std::string path = "/q/00000000000000a1";
  const Answer accepted =
      CallFront(processes.Front(other), "POST", path,
                JobBody("ms=4000", tasks, 100, 150, 4000), record);
  if (accepted.status != 200 ||
      !WaitFor(platform, 3500, [](Platform& p) { return p.starts >= tasks; })) {
    record.Line("the tasks did not start in time");
    return kCouldNotRun;
  }
  if (CallFront(processes.Front(other), "POST", "/q/00000000000000a2",
                JobBody("ms=30000", 1, 30000, 4000, 30000), record)
          .status != 200) {
    return kCouldNotRun;
  }
  if (setting.trouble) {
    const std::int64_t due_ms =
        platform.With([](Platform& p) { return p.first_start_ms; }) + 3800;
    sleep_for(milliseconds(
        std::max<std::int64_t>(0, due_ms - record.ElapsedMs())));
    processes.Kill(owner);
    sleep_for(milliseconds(3000));  // the machine is dark for 3 s
    processes.Start(owner);
  }
  const std::string state =
      AwaitEnd(processes.Front(other), path, 20, record);
  sleep_for(milliseconds(1500));
  if (state != "completed") {
    record.Line("the job is shown as '" + state + "'");
  }
  return Judge(platform, record);
}

// The machine of the owner is lost for good while the store is slow, and the
// store is down for some seconds while the others try to take over.
int PlayClaim(Setting& setting) {
  Record& record = setting.record;
  const Options options{.vms = 3};
  Platform platform(options, record);
  PublishConfig(platform, options, 3);
  Processes processes(6, setting.program, setting.logs, platform.address(),
                      options, record);
  if (!processes.WaitUntilReady(10)) {
    return kCouldNotRun;
  }
  sleep_for(milliseconds(4000));
  const std::size_t owner = processes.Owner(platform);
  if (owner == processes.size()) {
    return kCouldNotRun;
  }
  const std::size_t other = (owner + 1) % processes.size();
  if (setting.trouble) {
    platform.With([&](Platform& p) {
      p.store_time = milliseconds(360);
      record.Line("store   is slow: 360 ms an answer");
    });
    sleep_for(milliseconds(1000));
    processes.Kill(owner);
    if (!WaitFor(platform, 4000, [](Platform& p) {
          return !p.store.Value("kch/owner").has_value();
        })) {
      return kCouldNotRun;
    }
    record.Line("store   the owner's record is gone");
    sleep_for(milliseconds(600));
    platform.With([&](Platform& p) {
      p.SetStoreSilent(true);
      p.store_time = milliseconds(4);
      record.Line("store   is down, silent");
    });
    sleep_for(milliseconds(4500));
    platform.With([&](Platform& p) {
      p.SetStoreSilent(false);
      record.Line("store   is back, 4 ms an answer");
    });
  } else {
    processes.Kill(owner);
    sleep_for(milliseconds(6000));
  }
  sleep_for(milliseconds(12000));  // RecoveryS
  const std::string path = "/q/00000000000000c1";
  const Answer accepted = CallFront(processes.Front(other), "POST", path,
                                    JobBody("ms=500", 3, 1000, 500, 500),
                                    record);
  if (accepted.status != 200) {
    return kCouldNotRun;
  }
  const std::string state = AwaitEnd(processes.Front(other), path, 20, record);
  record.Line("the job is shown as '" + state + "' after 20 s");
  const auto owned = platform.With(
      [](Platform& p) { return p.store.Value("kch/owner").has_value(); });
  record.Line(owned ? "a process owns the fleet" : "no process owns the fleet");
  if (state != "completed") {
    platform.With([](Platform& p) {
      p.breaks.push_back(
          "LOST: an accepted job has had nothing running for 3 s");
    });
  }
  return Judge(platform, record);
}

// Two of 84 jobs that last can never be done. Later, others that can are handed
// in.
int PlayEject(Setting& setting) {
  Record& record = setting.record;
  const Options options{.vms = 9, .max_attempts = 3};
  Platform platform(options, record);
  PublishConfig(platform, options, 3);
  Processes processes(3, setting.program, setting.logs, platform.address(),
                      options, record);
  if (!processes.WaitUntilReady(10)) {
    return kCouldNotRun;
  }
  sleep_for(milliseconds(4000));
  const auto body = [](const std::string& spec) {
    return json{{"Spec", spec},
                {"Steps",
                 {{{"Count", 1},
                   {"Cpu", 500},
                   {"MemMb", 256},
                   {"EstimateMs", 500},
                   {"LongRunning", true}}}}}
        .dump();
  };
  const auto id = [](int number) {
    std::string text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
  };
  constexpr int jobs = 84;
  for (int i = 0; i < jobs; ++i) {
    const bool hopeless = setting.trouble && (i == 20 || i == 60);
    if (CallFront(processes.Front(0), "POST", "/q/" + id(i),
                  body(hopeless ? "fail=150 lasts" : "lasts"), record)
            .status != 200) {
      return kCouldNotRun;
    }
    sleep_for(milliseconds(20));
  }
  sleep_for(milliseconds(25000));
  std::map<std::string, std::int64_t> accepted;
  constexpr int later_jobs = 12;
  for (int i = 0; i < later_jobs; ++i) {
    const std::string job = id(1000 + i);
    if (CallFront(processes.Front(1), "POST", "/q/" + job, body("lasts"),
                  record)
            .status != 200) {
      return kCouldNotRun;
    }
    accepted[job] = record.ElapsedMs();
    sleep_for(milliseconds(2000));
  }
  sleep_for(milliseconds(13000));
  platform.With([&](Platform& p) {
    for (const auto& [job, at] : accepted) {
      const auto start = p.first_start.find(job);
      const std::int64_t waited =
          (start == p.first_start.end() ? record.ElapsedMs() : start->second) -
          at;
      record.Line("job " + job + " waited " + std::to_string(waited) +
                  " ms for its first start");
      if (waited > 3000) {
        const std::string text = "LOST: " + job + " had nothing running for " +
                                 std::to_string(waited) + " ms";
        p.breaks.push_back(text);
        record.Line(text);
      }
    }
  });
  return Judge(platform, record);
}

// One of 20 orders to start a task gets no answer and is carried out later. Its
// VM has crashed meanwhile and is back under its id.
int PlayLate(Setting& setting) {
  Record& record = setting.record;
  const Options options{.vms = 8};
  Platform platform(options, record);
  PublishConfig(platform, options, 3);
  Processes processes(3, setting.program, setting.logs, platform.address(),
                      options, record);
  if (!processes.WaitUntilReady(10)) {
    return kCouldNotRun;
  }
  sleep_for(milliseconds(4000));
  const std::string late_job = "00000000000000d3";
  const std::string late_task = late_job + ".0.0.0";
  std::string late_vm;  // used on the platform's thread, as what follows
  bool crashed = false;
  if (setting.trouble) {
    platform.With([&](Platform& p) {
      p.intercept = [&](Vm& vm, const std::string& call,
                        const kch::net::HttpRequest& request,
                        const kch::net::HttpReply&) {
        if (call != "run-start" || !late_vm.empty() ||
            json::parse(request.body).at("Task") != late_task) {
          return false;
        }
        late_vm = vm.id;
        record.Line("late    the order to start " + late_task + " on " + vm.id +
                    " gets no answer");
        platform.After(3600, [&, request] {
          record.Line("late    it is carried out now");
          platform.Execute(late_vm, request,
                           [](const kch::net::HttpResponse&) {});
        });
        return true;
      };
      p.on_start = [&](Vm& vm, const std::string& task, std::int64_t run) {
        if (task != late_task || run == 1 || crashed || vm.id == late_vm) {
          return;
        }
        // The task runs elsewhere. Its first VM is down for 1 s.
        crashed = true;
        platform.After(1000, [&] { platform.Crash(platform.vms.at(late_vm)); });
        platform.After(2000, [&] {
          platform.Restart(platform.vms.at(late_vm), 1400);
        });
      };
    });
  }
  const auto submit = [&](const std::string& job, const std::string& body) {
    return CallFront(processes.Front(0), "POST", "/q/" + job, body, record)
               .status == 200;
  };
  // 17 short tasks; then one of 0.9 s, the one whose order is late beside it,
  // and one that takes most of another VM, where the late one goes next.
  bool accepted = submit("00000000000000d1", JobBody("ms=400", 17, 3000, 500, 400));
  sleep_for(milliseconds(1200));
  accepted = accepted &&
             submit("00000000000000d2", JobBody("ms=900", 1, 2000, 500, 900)) &&
             submit(late_job, JobBody("ms=8000", 1, 1000, 500, 8000)) &&
             submit("00000000000000d4",
                    JobBody("ms=12000", 1, 62500, 500, 12000));
  if (!accepted) {
    return kCouldNotRun;
  }
  const std::string state =
      AwaitEnd(processes.Front(0), "/q/" + late_job, 25, record);
  record.Line("the job is shown as '" + state + "'");
  sleep_for(milliseconds(1500));
  if (setting.trouble && !platform.With([&](Platform&) { return crashed; })) {
    record.Line("the task did not start on another VM");
    return kCouldNotRun;
  }
  return Judge(platform, record);
}

}  // namespace review
