#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <iostream>
#include <random>
#include <string>

#include "test/engine/fleet.h"

namespace kch::engine::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 4;
constexpr int kVms = 6;
constexpr int kDefaultSeeds = 30;
constexpr int kStepsPerSeed = 150;

// Injects random faults and changes, of which several can be active at a time.
class Chaos {
 public:
  explicit Chaos(std::uint64_t seed)
      : fleet({.seed = seed,
               .entries = kEntries,
               .vms = kVms,
               .drop = 0.02,
               .duplicate = 0.02,
               .lose_reply = 0.1}),
        random(seed) {
    this->fleet.Configure(8, 8);
  }

  void Step() {
    this->SubmitSome();
    switch (this->Draw(14)) {
      case 0:
        this->fleet.Kill(this->Entry());
        break;
      case 1:
      case 2:
        this->RestartOne();
        break;
      case 3:
        this->fleet.Pause(this->Entry());
        break;
      case 4:
        this->ResumeAll();
        break;
      case 5:
        this->fleet.SetStoreDown(true);
        break;
      case 6:
      case 7:
        this->fleet.SetStoreDown(false);
        break;
      case 8:
        this->fleet.SetPartitioned(this->Entry(), this->Entry(),
                                   this->Draw(2) == 0);
        break;
      case 9:
        this->Propose(config::SetZone{
            {ZoneId("z" + std::to_string(this->Draw(3))), this->Draw(3) != 0}});
        break;
      case 10:
        this->Propose(config::PutTeam{
            {.id = TeamId(this->Draw(2) == 0 ? "a" : "b"),
             .weight = 1,
             .limit = static_cast<std::uint32_t>(2 + this->Draw(8))}});
        break;
      case 11:
        this->fleet.worker(this->Draw(kVms)).fault =
            static_cast<WorkerFault>(this->Draw(4));
        break;
      case 12:
        this->fleet.SetVmState(this->Draw(kVms),
                               this->Draw(2) == 0
                                   ? maintain::VmState::kServing
                                   : maintain::VmState::kDraining);
        break;
      case 13:
        this->fleet.Shutdown(this->Entry());
        break;
    }
    this->fleet.Run(milliseconds(this->Draw(600)));
  }

  // Ends all faults, after which every caller must receive an answer.
  void RepairAll() {
    this->ResumeAll();
    this->fleet.SetStoreDown(false);
    for (int i = 0; i < kEntries; ++i) {
      if (!this->fleet.alive(i)) {
        this->fleet.Restart(i);
      }
      for (int other = 0; other < kEntries; ++other) {
        this->fleet.SetPartitioned(i, other, false);
      }
    }
    for (int vm = 0; vm < kVms; ++vm) {
      this->fleet.worker(vm).fault = WorkerFault::kNone;
      this->fleet.SetVmState(vm, maintain::VmState::kServing);
    }
    this->fleet.Run(seconds(5));
    // A preempted job may wait for as long as every zone is out of service.
    for (int entry = 0; entry < kEntries; ++entry) {
      for (int zone = 0; zone < 3 && this->fleet.alive(entry); ++zone) {
        this->fleet.Change(
            entry, config::SetZone{{ZoneId("z" + std::to_string(zone)), true}});
      }
    }
  }

  Fleet fleet;

 private:
  int Draw(int count) {
    return std::uniform_int_distribution<>(0, count - 1)(this->random);
  }
  int Entry() { return this->Draw(kEntries); }

  void SubmitSome() {
    for (int i = this->Draw(6); i > 0; --i) {
      const bool named = this->Draw(3) == 0;
      this->fleet.Submit(
          this->Entry(), this->Draw(2) == 0 ? "a" : "b",
          milliseconds(50 + this->Draw(1500)),
          named ? "r" + std::to_string(this->Draw(60)) : std::string(), !named,
          this->Draw(3) == 0 ? "night" : "q", 10'000);
    }
  }

  void Propose(config::Change change) {
    const int entry = this->Entry();
    if (this->fleet.alive(entry)) {
      this->fleet.Change(entry, std::move(change));
    }
  }

  void RestartOne() {
    for (int i = 0; i < kEntries; ++i) {
      if (!this->fleet.alive(i)) {
        this->fleet.Restart(i);
        return;
      }
    }
  }

  void ResumeAll() {
    for (int i = 0; i < kEntries; ++i) {
      this->fleet.Resume(i);
    }
  }

  std::mt19937_64 random;
};

// Guards against violations of the invariants that Fleet checks when faults
// coincide and recur. KCH_CHAOS_SEED and KCH_CHAOS_SEEDS select other runs,
// KCH_CHAOS_TRACE=1 prints their timeline.
BOOST_AUTO_TEST_CASE(InvariantsHoldUnderCombinedFaults) {
  const char* first = std::getenv("KCH_CHAOS_SEED");
  const char* count = std::getenv("KCH_CHAOS_SEEDS");
  const std::uint64_t begin = first != nullptr ? std::stoull(first) : 1;
  const std::uint64_t seeds =
      count != nullptr ? std::stoull(count) : kDefaultSeeds;
  std::uint64_t steps = 0;
  std::uint64_t starts = 0;
  std::map<std::string, int> outcomes;
  for (std::uint64_t seed = begin; seed < begin + seeds; ++seed) {
    Chaos chaos(seed);
    chaos.fleet.trace =
        std::getenv("KCH_CHAOS_TRACE") != nullptr ? &std::cerr : nullptr;
    for (int i = 0; i < kStepsPerSeed && chaos.fleet.violation.empty(); ++i) {
      chaos.Step();
    }
    chaos.RepairAll();
    const bool answered = chaos.fleet.RunUntil(
        [&] { return chaos.fleet.Unanswered() == 0; }, seconds(120));
    BOOST_TEST(chaos.fleet.violation == "");
    BOOST_TEST(answered, "seed " << seed << ": " << chaos.fleet.Unanswered()
                                 << " callers without an answer");
    steps += chaos.fleet.steps;
    starts += chaos.fleet.starts;
    for (const auto& [outcome, number] : chaos.fleet.Outcomes()) {
      outcomes[outcome] += number;
    }
  }
  BOOST_TEST_MESSAGE(steps << " steps, " << starts << " starts");
  for (const auto& [outcome, number] : outcomes) {
    BOOST_TEST_MESSAGE(outcome << ": " << number);
  }
  // Runs with few starts would cover too little.
  BOOST_TEST(starts > 50 * seeds);
}

}  // namespace
}  // namespace kch::engine::test
