#include <boost/test/unit_test.hpp>

#include "test/jobs/fleet_sim.h"

namespace kch::jobs::test {

BOOST_AUTO_TEST_SUITE(RecordTest)

BOOST_AUTO_TEST_CASE(TaskNamesRoundTrip) {
  const TaskRef ref{JobId("5c0e7a21d94b36f8"), 2, 1, 17};
  BOOST_TEST(ref.Name() == "5c0e7a21d94b36f8.2.1.17");
  BOOST_TEST((TaskRef::Parse(ref.Name()) == ref));
  for (const char* bad :
       {"", "a", "a.1.2", "a.1.2.x", "a.1.2.3.4", ".1.2.3", "a.1.-2.3"}) {
    BOOST_TEST(!TaskRef::Parse(bad).has_value());
  }
}

BOOST_AUTO_TEST_CASE(SpecRoundTrips) {
  JobSpec spec = SimpleJob("a", "q", 3, 1500, 700);
  spec.team = TeamId("t");
  spec.schedule = {.first_ms = 5, .interval_ms = 6, .times = 7};
  spec.steps.push_back({.count = 2,
                        .need = {1, 2, 3},
                        .estimate_ms = 9,
                        .depends_on = {0},
                        .label = "gpu",
                        .preferred_rack = RackId("r1"),
                        .max_per_vm = 1,
                        .writes_checkpoints = true,
                        .gang = true,
                        .single_rack = true,
                        .speculative = true,
                        .endless = true,
                        .backfill = true,
                        .image = "i",
                        .target_ms = 40,
                        .max_unavailable = 2});
  const auto read = DecodeSpec(spec.id, EncodeSpec(spec));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(EncodeSpec(*read) == EncodeSpec(spec));
  BOOST_TEST(read->queue.pool.str() == "p");
  BOOST_TEST(read->steps[1].max_unavailable == 2);
}

BOOST_AUTO_TEST_CASE(MalformedSpecsAreRefusedWithARemedy) {
  JobSpec spec = SimpleJob("a", "q", 0, 1, 1);
  BOOST_TEST(!CheckSpec(spec).has_value());
  spec.steps[0].count = 1;
  spec.steps[0].depends_on = {0};
  BOOST_TEST(!CheckSpec(spec).has_value());
  spec.steps[0].depends_on.clear();
  BOOST_TEST(CheckSpec(spec).has_value());
  spec.id = JobId("a.b");
  BOOST_TEST(!CheckSpec(spec).error().remedy.empty());
}

BOOST_AUTO_TEST_CASE(ProgressRoundTrips) {
  Job job;
  job.spec = SimpleJob("a", "q", 3, 1, 1);
  job.state = JobState::kRunning;
  Step& step = job.OpenOccurrence(0).steps[0];
  step.tasks[1].phase = TaskPhase::kDone;
  step.tasks[0].run = 4;
  step.tasks[0].failed_runs = {1, 3};
  step.tasks[2].checkpoint = "c";
  Job read;
  read.spec = job.spec;
  BOOST_REQUIRE(DecodeProgress(EncodeProgress(job), read).has_value());
  const Step& back = read.open.at(0).steps[0];
  BOOST_TEST(back.done == 1);
  BOOST_TEST(back.waiting == 2);
  BOOST_TEST((back.tasks[0].failed_runs == std::set<std::int64_t>{1, 3}));
  BOOST_TEST(back.tasks[2].run_floor == 4);
  BOOST_TEST(back.tasks[2].checkpoint == "c");
  Job other;
  other.spec = SimpleJob("a", "q", 4, 1, 1);
  BOOST_TEST(!DecodeProgress(EncodeProgress(job), other).has_value());
}

// Guards against a wrong or missing final state in the answer to a submitter.
BOOST_AUTO_TEST_CASE(EndOfAJobRoundTrips) {
  Job job;
  job.spec = SimpleJob("a", "q", 1, 1, 1);
  job.spec.team = TeamId("t");
  job.state = JobState::kFailed;
  const auto view = DecodeEnded(EncodeEnded(job));
  BOOST_REQUIRE(view.has_value());
  BOOST_TEST((view->state == JobState::kFailed));
  BOOST_TEST(view->team == TeamId("t"));
  BOOST_TEST(view->queue == job.spec.queue.id);
  BOOST_TEST(!DecodeEnded("{}").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::jobs::test
