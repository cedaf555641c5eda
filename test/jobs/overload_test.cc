#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "test/jobs/fleet_sim.h"

// More work than a pool can do, in jobs of two steps.

namespace kch::jobs::test {
namespace {

using std::chrono::milliseconds;

constexpr Resources kVmSize{8000, 100'000, 0};
constexpr int kVms = 4;
constexpr std::int64_t kTickMs = 25;
constexpr std::int64_t kLoadMs = 8000;
constexpr std::int64_t kTaskMs = 400;
// Two steps of 400 ms at a stretch of 1.6, and 600 ms.
constexpr auto kObjective = milliseconds(1880);

struct Outcome {
  int jobs = 0;
  int on_time = 0;
};

// A job of two steps of six tasks has 4.8 core-seconds; the pool has 32 cores.
Outcome Overload(double jobs_per_s) {
  FleetSim sim;
  for (int i = 0; i < kVms; ++i) {
    sim.AddVm("vm" + std::to_string(i), "p", kVmSize);
  }
  sim.Run(500);
  std::map<std::string, Time> submitted;
  std::map<std::string, Time> ended;
  double due = 0;
  for (std::int64_t passed = 0; passed < 3 * kLoadMs; passed += kTickMs) {
    due += passed < kLoadMs ? jobs_per_s * kTickMs / 1000 : 0;
    for (; due >= 1; due -= 1) {
      const std::string id = "j" + std::to_string(submitted.size());
      JobSpec job = SimpleJob(id, "q", 6, 1000, kTaskMs);
      job.steps.push_back(job.steps.front());
      job.steps.back().depends_on = {0};
      submitted[id] = sim.now;
      sim.Submit(std::move(job));
    }
    sim.Run(kTickMs);
    for (const auto& [id, at] : submitted) {
      if (!ended.contains(id) && sim.StateOf(id) == JobState::kCompleted) {
        ended[id] = sim.now;
      }
    }
  }
  BOOST_TEST(sim.violations.empty());
  BOOST_TEST(ended.size() == submitted.size());
  Outcome outcome{.jobs = static_cast<int>(submitted.size())};
  for (const auto& [id, at] : ended) {
    outcome.on_time += at - submitted.at(id) <= kObjective;
  }
  return outcome;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(OverloadTest)

// Guards against jobs that are begun and then wait for room for their second
// step while other jobs are begun: under twice the load that a pool can take,
// half of the jobs can end on time.
BOOST_AUTO_TEST_CASE(BegunJobsAreCompletedBeforeOthersBegin) {
  const Outcome outcome = Overload(13.3);
  BOOST_TEST(outcome.on_time >= 0.8 * outcome.jobs / 2,
             outcome.on_time << " of " << outcome.jobs << " jobs on time");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::jobs::test
