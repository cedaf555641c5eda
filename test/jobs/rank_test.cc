#include <boost/test/unit_test.hpp>

#include "test/jobs/fleet_sim.h"

// The order under overload: jobs that can still meet their objective rank
// before jobs that cannot.

namespace kch::jobs::test {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};

// Of a job of two tasks, of which one has started if it has begun.
Rank RankOf(std::int64_t estimate_ms, std::int64_t age_ms, bool begun = false) {
  Job job;
  job.spec = SimpleJob("a", "q", 2, 1000, estimate_ms);
  Occurrence& occurrence = job.OpenOccurrence(0);
  occurrence.steps[0].waiting -= begun ? 1 : 0;
  return RankStep(job, occurrence, job.spec.queue,
                  kNow - std::chrono::milliseconds(age_ms), kNow);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RankTest)

// Objective of a job of 1 s here: 1.6 times 1 s and 0.6 s more.
BOOST_AUTO_TEST_CASE(TimelinessFollowsTheObjective) {
  BOOST_TEST((RankOf(1000, 0, true).timeliness == Timeliness::kOnTime));
  BOOST_TEST((RankOf(1000, 1200, true).timeliness == Timeliness::kOnTime));
  BOOST_TEST((RankOf(1000, 1300, true).timeliness == Timeliness::kLate));
  BOOST_TEST((RankOf(1000, 5600, true).timeliness == Timeliness::kLate));
  BOOST_TEST((RankOf(1000, 5700, true).timeliness == Timeliness::kMissed));
}

// Guards against jobs that begin at their last moment, are late by the delays
// of their steps, and have taken the room of others.
BOOST_AUTO_TEST_CASE(JobsThatHaveNotBegunAllowForDelays) {
  BOOST_TEST((RankOf(1000, 1000).timeliness == Timeliness::kOnTime));
  BOOST_TEST((RankOf(1000, 1100).timeliness == Timeliness::kLate));
  BOOST_TEST((RankOf(1000, 5400).timeliness == Timeliness::kLate));
  BOOST_TEST((RankOf(1000, 5500).timeliness == Timeliness::kMissed));
}

BOOST_AUTO_TEST_CASE(BegunJobsGoBeforeOthersOfTheirTimeliness) {
  BOOST_TEST((RankOf(1000, 100, true) < RankOf(1000, 900)));
  BOOST_TEST((RankOf(1000, 900) < RankOf(1000, 1300, true)));
}

BOOST_AUTO_TEST_CASE(OnTimeTheLeastSlackGoesFirst) {
  BOOST_TEST((RankOf(1000, 800) < RankOf(1000, 100)));
  BOOST_TEST((RankOf(1000, 1200, true) < RankOf(1000, 1300, true)));
  BOOST_TEST((RankOf(1000, 1000) < RankOf(1000, 1100)));
}

BOOST_AUTO_TEST_CASE(LateTheShortestGoesFirst) {
  BOOST_TEST((RankOf(500, 2000) < RankOf(1500, 3500)));
}

BOOST_AUTO_TEST_CASE(PriorityGoesBeforeAll) {
  Job urgent;
  urgent.spec = SimpleJob("a", "q", 1, 1000, 1000);
  urgent.spec.queue.priority = 0;
  const Rank first =
      RankStep(urgent, urgent.OpenOccurrence(0), urgent.spec.queue,
               kNow - std::chrono::seconds(60), kNow);
  Job other;
  other.spec = SimpleJob("b", "q", 1, 1000, 1000);
  other.spec.queue.priority = 1;
  BOOST_TEST((first < RankStep(other, other.OpenOccurrence(0), other.spec.queue,
                               kNow, kNow)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::jobs::test
