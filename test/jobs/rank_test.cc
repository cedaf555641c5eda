#include <boost/test/unit_test.hpp>

#include "test/jobs/fleet_sim.h"

// The order under overload: jobs that can still meet their objective rank
// before jobs that cannot.

namespace kch::jobs::test {
namespace {

constexpr Time kNow{std::chrono::seconds(100)};

Rank RankOf(std::int64_t estimate_ms, std::int64_t age_ms) {
  Job job;
  job.spec = SimpleJob("a", "q", 1, 1000, estimate_ms);
  const Occurrence& occurrence = job.OpenOccurrence(0);
  return RankStep(job, occurrence, job.spec.queue,
                  kNow - std::chrono::milliseconds(age_ms), kNow);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RankTest)

// Objective of a job of 1 s here: 1.6 times 1 s and 0.6 s more.
BOOST_AUTO_TEST_CASE(TimelinessFollowsTheObjective) {
  BOOST_TEST((RankOf(1000, 0).timeliness == Timeliness::kOnTime));
  BOOST_TEST((RankOf(1000, 1200).timeliness == Timeliness::kOnTime));
  BOOST_TEST((RankOf(1000, 1300).timeliness == Timeliness::kLate));
  BOOST_TEST((RankOf(1000, 5700).timeliness == Timeliness::kMissed));
}

BOOST_AUTO_TEST_CASE(OnTimeTheLeastSlackGoesFirst) {
  BOOST_TEST((RankOf(1000, 800) < RankOf(1000, 100)));
  BOOST_TEST((RankOf(1000, 1200) < RankOf(1000, 1300)));
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
