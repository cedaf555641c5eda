#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <thread>

#include "test/process/fleet.h"
#include "test/process/platform_fleet.h"

// Random faults, in series and overlapping, against whole processes of
// kch-fleet. Callers keep their connections open until a process is gone. The
// stand-in checks each start; after the faults every accepted job must end and
// every endless task must run.

namespace kch::test {
namespace {

using fake::CallFault;

constexpr std::size_t kInstances = 4;
// Every third seed has a fleet whose owner uses relays.
constexpr std::size_t kFewVms = 8;
constexpr std::size_t kManyVms = 100;
constexpr std::uint64_t kManyVmsInterval = 3;
constexpr std::int64_t kFaultPhaseMs = 14'000;
constexpr std::int64_t kUsPerMs = 1000;

std::int64_t NowMs() {
  return WallUs() / kUsPerMs;
}

class FleetSoak {
 public:
  explicit FleetSoak(std::uint64_t seed)
      : fleet(kInstances,
              {.vms = seed % kManyVmsInterval == 0 ? kManyVms : kFewVms,
               .addresses = kInstances}),
        random(seed) {
    this->fleet.while_waiting = [this] { this->EndDueFaults(NowMs()); };
  }

  void Run() {
    const std::int64_t end_ms = NowMs() + kFaultPhaseMs;
    std::int64_t next_ms = 0;
    while (NowMs() < end_ms) {
      this->EndDueFaults(NowMs());
      if (NowMs() >= next_ms) {
        this->ApplyRandomAction();
        next_ms = NowMs() + this->Draw(50, 700);
      }
      std::this_thread::sleep_for(kPollInterval);
    }
    this->EndDueFaults(end_ms + kFaultPhaseMs);
    for (const jobs::JobSpec& job : this->unaccepted) {
      this->fleet.Accept(job);
      this->accepted.push_back(job);
    }
  }

  void Check() {
    for (const jobs::JobSpec& job : this->accepted) {
      if (!job.Endless()) {
        this->fleet.WaitForCompleted({job});
        continue;
      }
      for (int i = 0; i < job.steps[0].count; ++i) {
        const std::string task = jobs::TaskRef{job.id, 0, 0, i}.Name();
        this->fleet.WaitFor("endless task " + task,
                            [&] { return this->fleet.Runs(task); });
      }
    }
    for (const jobs::JobSpec& job : this->refused) {
      const std::string state = this->fleet.StateOf(job);
      BOOST_TEST(state.empty(), job.id.str() << " was refused, is " << state);
    }
    BOOST_TEST(this->fleet.Breaches() == "");
  }

 private:
  struct Fault {
    std::int64_t until_ms = 0;
    std::function<void()> end;
  };

  int Draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(this->random);
  }

  // The owner more often than the others.
  std::size_t RandomInstance() {
    const auto owner = this->fleet.Owner();
    const auto any = static_cast<std::size_t>(this->Draw(0, kInstances - 1));
    const bool take_owner = this->Draw(0, 1) == 0;
    return owner && take_owner ? *owner : any;
  }

  void ApplyRandomAction() {
    const std::size_t instance = this->RandomInstance();
    switch (this->Draw(0, 11)) {
      case 0:
      case 1:
        this->Pause(instance, this->Draw(300, 6000));
        break;
      case 2:
        this->CutOff(instance, this->Draw(300, 4000));
        break;
      case 3:
        this->Mute(instance, this->Draw(300, 4000));
        break;
      case 4:
        this->fleet.Signal(instance, this->Draw(0, 1) ? SIGKILL : SIGTERM);
        this->fleet.WaitForExit(instance);
        this->fleet.Restart(instance);
        break;
      case 5:
        this->DisturbCalls(this->Draw(1000, 8000));
        break;
      case 6:
        this->TakeStoreDown(this->Draw(100, 3000));
        break;
      case 7:
        this->RestartVm(this->Draw(0, 1500));
        break;
      case 8:
        this->DisturbWrites(this->Draw(500, 3000));
        break;
      default:
        this->HandIn(instance);
        break;
    }
  }

  void AddFault(std::int64_t length_ms, std::function<void()> end) {
    this->faults.push_back({NowMs() + length_ms, std::move(end)});
  }

  void EndDueFaults(std::int64_t now_ms) {
    std::erase_if(this->faults, [now_ms](const Fault& fault) {
      if (fault.until_ms > now_ms) {
        return false;
      }
      fault.end();
      return true;
    });
  }

  void Pause(std::size_t instance, std::int64_t length_ms) {
    if (!this->paused.insert(instance).second) {
      return;
    }
    this->fleet.Signal(instance, SIGSTOP);
    this->AddFault(length_ms, [this, instance] {
      this->fleet.Signal(instance, SIGCONT);
      this->paused.erase(instance);
    });
  }

  // Begins a fault that lasts until the last of those under its name ends.
  void Hold(const std::string& name,
            std::int64_t length_ms,
            const std::function<void(bool)>& set) {
    ++this->held[name];
    set(true);
    this->AddFault(length_ms, [this, name, set] {
      if (--this->held[name] == 0) {
        set(false);
      }
    });
  }

  void CutOff(std::size_t instance, std::int64_t length_ms) {
    this->Hold("cut " + std::to_string(instance), length_ms,
               [this, instance](bool on) {
                 this->fleet.platform->CutOff(instance, on);
               });
  }

  void Mute(std::size_t instance, std::int64_t length_ms) {
    this->Hold("mute " + std::to_string(instance), length_ms,
               [this, instance](bool on) {
                 this->fleet.platform->Mute(instance, on);
               });
  }

  void HoldRule(std::int64_t length_ms, const fake::FaultRule& rule) {
    this->Hold("calls", length_ms, [this, rule](bool on) {
      this->fleet.platform->SetFaults(on ? rule : fake::FaultRule());
    });
  }

  // Part of the calls to VMs get no answer and take effect at once, late or
  // never.
  void DisturbCalls(std::int64_t length_ms) {
    const auto draw = std::make_shared<std::mt19937_64>(this->random());
    const auto rule = [draw](const std::string& call, const std::string&) {
      if (!call.starts_with("vm")) {
        return CallFault::kNone;
      }
      switch (std::uniform_int_distribution<int>(0, 9)(*draw)) {
        case 0:
        case 1:
        case 2:
          return CallFault::kLate;
        case 3:
          return CallFault::kLoseAnswer;
        case 4:
          return CallFault::kLoseCall;
        default:
          return CallFault::kNone;
      }
    };
    this->HoldRule(length_ms, rule);
  }

  // A VM restarts under its id; its registration tells of that only later.
  void RestartVm(std::int64_t untold_ms) {
    const std::string vm = "vm" + std::to_string(this->Draw(0, kFewVms - 1));
    this->fleet.platform->With([&vm](fake::VmModel& world, fake::KeyStore&) {
      world.vms.at(vm)->Restart(world.now);
    });
    this->AddFault(untold_ms,
                   [this, vm] { this->fleet.platform->Register(vm); });
  }

  // Part of the writes to the store get no answer and take effect at once or
  // late.
  void DisturbWrites(std::int64_t length_ms) {
    const auto draw = std::make_shared<std::mt19937_64>(this->random());
    const auto rule = [draw](const std::string& call, const std::string&) {
      if (call != "store/kv-txn") {
        return CallFault::kNone;
      }
      switch (std::uniform_int_distribution<int>(0, 7)(*draw)) {
        case 0:
          return CallFault::kLate;
        case 1:
          return CallFault::kLoseAnswer;
        default:
          return CallFault::kNone;
      }
    };
    this->HoldRule(length_ms, rule);
  }

  void TakeStoreDown(std::int64_t length_ms) {
    this->Hold("store", length_ms, [this](bool on) {
      this->fleet.platform->With(
          [on](fake::VmModel&, fake::KeyStore& store) { store.SetDown(on); });
    });
  }

  void HandIn(std::size_t instance) {
    const std::string id = std::to_string(++this->last_job);
    jobs::JobSpec job = PlainJob(id, this->Draw(1, 6), this->Draw(50, 4000),
                                 this->Draw(0, 3) == 0 ? "advised" : "q");
    if (this->last_job % 8 == 1) {
      job.queue.id = jobs::QueueId("q");
      job.steps[0].endless = true;
      job.steps[0].max_unavailable = 1;
    } else if (this->Draw(0, 2) == 0) {
      job.steps.push_back(job.steps[0]);
      job.steps[1].depends_on = {0};
      job.steps[1].gang = this->Draw(0, 1) == 0;
    }
    constexpr int ok = 200;
    constexpr int unavailable = 503;
    const int code =
        this->paused.contains(instance) ? 0 : this->fleet.Submit(instance, job);
    (code == ok            ? this->accepted
     : code == unavailable ? this->refused
                           : this->unaccepted)
        .push_back(std::move(job));
  }

  PlatformFleet fleet;
  std::mt19937_64 random;
  std::vector<Fault> faults;
  std::map<std::string, int> held;  // faults under way, by name
  std::set<std::size_t> paused;
  std::vector<jobs::JobSpec> accepted;
  std::vector<jobs::JobSpec> refused;     // must not run
  std::vector<jobs::JobSpec> unaccepted;  // without an answer
  int last_job = 0;
};

// Guards against work that is lost or repeated under faults that overlap.
// KCH_SOAK_SEEDS=FIRST-LAST sets the seeds of a long run.
BOOST_AUTO_TEST_CASE(OverlappingFaultsLoseAndRepeatNothing) {
  std::uint64_t first = 2;
  std::uint64_t last = 3;
  if (const char* range = std::getenv("KCH_SOAK_SEEDS")) {
    char* rest = nullptr;
    first = std::strtoull(range, &rest, 10);
    last = *rest == '-' ? std::strtoull(rest + 1, &rest, 10) : first;
    BOOST_REQUIRE_MESSAGE(*rest == '\0' && first > 0 && first <= last,
                          "KCH_SOAK_SEEDS must be FIRST-LAST, not " << range);
  }
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      FleetSoak soak(seed);
      soak.Run();
      soak.Check();
    }
  }
}

}  // namespace
}  // namespace kch::test
