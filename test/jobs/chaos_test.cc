#include <boost/test/unit_test.hpp>
#include <random>

#include "test/jobs/fleet_sim.h"

// Random concurrent and successive faults in virtual time. During the faults no
// task may run twice, over capacity, over a team's limit or out of order; after
// them every job must end and every endless task must run.

namespace kch::jobs::test {
namespace {

constexpr int kVms = 8;
constexpr std::int64_t kFaultPhaseMs = 25'000;
constexpr std::int64_t kRecoveryMs = 40'000;

class Chaos {
 public:
  explicit Chaos(std::uint64_t seed, bool late_orders = false)
      : random(seed), late(late_orders) {
    this->sim.config.teams[TeamId("t")] = {.maximum = {20'000, 0, 0}};
    ++this->sim.config.version;
    this->sim.scheduler->SetConfig(this->sim.config, this->sim.now);
    // Each job may run on three of four VMs.
    this->sim.advice.allows = [](const std::string& job,
                                 const std::string& vm) {
      return (job.back() + vm.back()) % 4 != 0;
    };
    for (int i = 0; i < kVms; ++i) {
      this->sim.AddVm(this->NameOf(i), "p", {8000, 100'000, 0},
                      "r" + std::to_string(i / 2));
    }
  }

  void Run() {
    const Time end = this->sim.now + std::chrono::milliseconds(kFaultPhaseMs);
    while (this->sim.now < end) {
      this->ApplyRandomAction();
      if (this->late) {
        this->DelayOrders();
      }
      this->sim.Run(this->Draw(20, 400));
    }
    this->ClearFaults();
    this->sim.Run(kRecoveryMs);
  }

  FleetSim sim;
  std::vector<std::string> endless;
  std::set<std::string> finite;

 private:
  int Draw(int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(this->random);
  }
  static std::string NameOf(int vm) { return "vm" + std::to_string(vm); }
  FakeVm& RandomVm() {
    return *this->sim.vms.at(NameOf(this->Draw(0, kVms - 1)));
  }

  void ApplyRandomAction() {
    switch (this->Draw(0, 16)) {
      case 0:
        this->RandomVm().unresponsive = true;
        break;
      case 1:
      case 2:
        for (auto& [id, vm] : this->sim.vms) {
          vm->unresponsive = false;
        }
        break;
      case 3:
        this->RandomVm().drops_responses = true;
        break;
      case 4:
        for (auto& [id, vm] : this->sim.vms) {
          vm->drops_responses = false;
        }
        break;
      case 5:
        this->sim.store.down = !this->sim.store.down;
        break;
      case 6:
        this->sim.store.drops_responses = !this->sim.store.drops_responses;
        break;
      case 7:
        this->sim.Takeover();
        break;
      case 8:
        this->Reboot(this->RandomVm());
        break;
      case 9:
        this->sim.Deregister(NameOf(this->Draw(0, kVms - 1)));
        break;
      case 10:
        for (int i = 0; i < kVms; ++i) {
          this->sim.Register(NameOf(i));
        }
        break;
      case 11:
        if (!this->finite.empty() && this->Draw(0, 2) == 0) {
          this->sim.Cancel(*this->finite.begin());
          this->finite.erase(this->finite.begin());
        }
        break;
      case 12:
        this->sim.advice.down = !this->sim.advice.down;
        break;
      default:
        this->Submit();
        break;
    }
  }

  // A VM starts to carry out orders late, before or after their lease expires,
  // or without delay again.
  void DelayOrders() {
    this->RandomVm().order_delay_ms =
        this->Draw(0, 1) == 0 ? 0 : this->Draw(1500, 8000);
  }

  // The VM restarts under its id without any earlier state. Its registration
  // tells of that at once or only after it has accepted runs.
  void Reboot(FakeVm& vm) {
    vm.Restart(this->sim.now);
    if (this->Draw(0, 1) == 0) {
      this->sim.Run(this->Draw(20, 400));
    }
    this->sim.Register(vm.facts.id.str());
  }

  void Submit() {
    const std::string id = "job" + std::to_string(++this->last_job);
    const std::string queue = this->Draw(0, 3) == 0 ? "advised" : "q";
    JobSpec job = SimpleJob(id, queue, this->Draw(1, 6), this->Draw(200, 3000),
                            this->Draw(50, 1500));
    job.team = this->Draw(0, 1) == 0 ? TeamId("t") : TeamId();
    if (this->endless.size() < 3 && this->Draw(0, 3) == 0) {
      job.steps[0].endless = true;
      job.steps[0].max_unavailable = 1;
      job.steps[0].max_per_vm = this->Draw(0, 1) == 0 ? 0 : 2;
      job.steps[0].need.cpu_m = 500;
      job.team = TeamId();
      for (int i = 0; i < job.steps[0].count; ++i) {
        this->endless.push_back(id + ".0.0." + std::to_string(i));
      }
    } else {
      for (int s = this->Draw(0, 2); s > 0; --s) {
        job.steps.push_back(job.steps[0]);
        job.steps.back().depends_on = {
            static_cast<std::int32_t>(job.steps.size()) - 2};
      }
      job.steps.back().gang = this->Draw(0, 4) == 0;
      if (this->Draw(0, 4) == 0) {
        job.schedule = {.first_ms = this->sim.WallMs() + this->Draw(0, 2000),
                        .interval_ms = this->Draw(300, 3000),
                        .times = this->Draw(1, 3)};
      }
      this->finite.insert(id);
    }
    this->sim.Submit(job);
  }

  void ClearFaults() {
    this->sim.store.down = false;
    this->sim.store.drops_responses = false;
    this->sim.advice.down = false;
    for (auto& [id, vm] : this->sim.vms) {
      vm->unresponsive = false;
      vm->drops_responses = false;
      vm->order_delay_ms = 0;
      this->sim.Register(id);
    }
  }

  std::mt19937_64 random;
  bool late;
  int last_job = 0;
};

void Check(const Chaos& chaos) {
  for (const std::string& violation : chaos.sim.violations) {
    BOOST_ERROR(violation);
  }
  for (const std::string& job : chaos.finite) {
    const JobState state = chaos.sim.StateOf(job);
    BOOST_TEST((state == JobState::kCompleted), job << " is " << NameOf(state));
  }
  for (const std::string& task : chaos.endless) {
    BOOST_TEST(chaos.sim.Runs(task), task << " does not run");
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ChaosTest)

BOOST_AUTO_TEST_CASE(NothingIsLostOrRepeated) {
  constexpr std::uint64_t seeds = 400;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Chaos chaos(seed);
    chaos.Run();
    BOOST_TEST_CONTEXT("seed " << seed) {
      Check(chaos);
    }
  }
}

// VMs list one end at a time, or two.
BOOST_AUTO_TEST_CASE(EndsThatListsLeaveOutAreNotRepeated) {
  constexpr std::uint64_t seeds = 200;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Chaos chaos(seed);
    chaos.sim.max_listed_ends = 1 + seed % 2;
    chaos.Run();
    BOOST_TEST_CONTEXT("seed " << seed) {
      Check(chaos);
    }
  }
}

BOOST_AUTO_TEST_CASE(OrdersThatAreCarriedOutLateRepeatNothing) {
  constexpr std::uint64_t seeds = 200;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Chaos chaos(seed, true);
    chaos.Run();
    BOOST_TEST_CONTEXT("seed " << seed) {
      Check(chaos);
      for (const std::string& task : chaos.sim.endless_stopped) {
        BOOST_ERROR(task << " was stopped");
      }
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::jobs::test
