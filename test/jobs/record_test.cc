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

BOOST_AUTO_TEST_CASE(PoolsOfMovedAndRemovedQueuesAreKept) {
  const QueueId q("q");
  const QueueId gone("gone");
  FleetConfig first;
  first.queues[q].pool = PoolId("a");
  first.queues[gone].pool = PoolId("a");
  FleetConfig second;
  second.queues[q].pool = PoolId("b");
  second.AddEarlierPools(first);
  FleetConfig third;
  third.queues[q].pool = PoolId("a");
  third.AddEarlierPools(second);
  const std::set<PoolId> both{PoolId("a"), PoolId("b")};
  BOOST_TEST((third.earlier_pools.at(q) == both));
  BOOST_TEST(third.earlier_pools.at(gone).size() == 1);
  FleetConfig same = third;
  same.AddEarlierPools(third);
  BOOST_TEST(same.earlier_pools.size() == 2);
  // What is kept of removed queues is bounded.
  for (int i = 0; i < 1000; ++i) {
    first.queues[QueueId(std::to_string(i))].pool = PoolId("a");
  }
  second.AddEarlierPools(first);
  BOOST_TEST(second.earlier_pools.size() == 1);
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

// Guards against a VM that a successor does not know: a record of an earlier
// version does not tell whether the VM may hold a lease by an earlier clock.
BOOST_AUTO_TEST_CASE(VmRecordsOfEarlierVersionsAreRead) {
  const VmRecord record{.facts = {.id = VmId("vm0"),
                                  .pool = PoolId("p"),
                                  .address = "vm0:1",
                                  .boot_ms = 5},
                        .earlier_lease = true};
  const std::string text = EncodeVmRecord(record);
  const auto read = DecodeVmRecord(VmId("vm0"), text);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->facts == record.facts));
  BOOST_TEST(read->earlier_lease);
  const std::string added = R"("earlier_lease":true,)";
  std::string earlier = text;
  BOOST_REQUIRE(text.find(added) != std::string::npos);
  earlier.erase(text.find(added), added.size());
  const auto read_earlier = DecodeVmRecord(VmId("vm0"), earlier);
  BOOST_REQUIRE(read_earlier.has_value());
  BOOST_TEST((read_earlier->facts == record.facts));
  BOOST_TEST(!read_earlier->earlier_lease);
}

// Guards against jobs whose numbers are accepted and overflow later.
BOOST_AUTO_TEST_CASE(AmountsThatCannotBeServedAreRefused) {
  constexpr std::int64_t largest = 1LL
                                   << 53;  // that the platform's pages allow
  const auto accepts = [](const Schedule& schedule) {
    JobSpec spec = SimpleJob("a", "q", 1, 1, 1);
    spec.schedule = schedule;
    return CheckSpec(spec).has_value();
  };
  BOOST_TEST(accepts({.first_ms = 1'800'000'000'000,
                      .interval_ms = 1000,
                      .times = 2'000'000'000}));
  BOOST_TEST(accepts({.first_ms = -largest, .interval_ms = 1, .times = 1}));
  BOOST_TEST(accepts({.first_ms = 0, .interval_ms = largest, .times = 1}));
  BOOST_TEST(!accepts({.first_ms = largest, .interval_ms = 0, .times = 1}));
  BOOST_TEST(!accepts({.first_ms = 0, .interval_ms = largest, .times = 2}));
  BOOST_TEST(!accepts(
      {.first_ms = -largest, .interval_ms = largest, .times = 2'000'000'000}));
  JobSpec spec = SimpleJob("a", "q", 1, 1, 1);
  spec.payload = std::string(4000, 'x');
  BOOST_TEST(CheckSpec(spec).has_value());
  spec.payload = std::string(100'000, 'x');
  BOOST_TEST(!CheckSpec(spec).has_value());
  spec = SimpleJob("a", "q", 1, 1, 1);
  spec.steps.push_back(spec.steps[0]);
  spec.steps[1].depends_on = {0};
  BOOST_TEST(CheckSpec(spec).has_value());
  spec.steps[1].depends_on = {0, 0};
  BOOST_TEST(!CheckSpec(spec).has_value());
  const Resources all{largest, largest, largest};
  const Resources many = all * kMaxTasksPerJob * largest + all;
  BOOST_TEST(all.Within(many));
  const std::vector<StepSpec> steps(256, {.estimate_ms = largest});
  const Duration path = std::chrono::milliseconds(CriticalPathMs(steps));
  BOOST_TEST((path > Duration::zero()));
  const Queue queue{.stretch = 100, .target_ms = largest};
  BOOST_TEST((kLateObjectives * Objective(path, queue) > path));
}

// Guards against a record that the store refuses for its size, so that no end
// of the job is ever stored.
BOOST_AUTO_TEST_CASE(CheckpointsDoNotOutgrowTheRecord) {
  Job job;
  job.spec = SimpleJob("a", "q", 1000, 1, 1);
  for (Task& task : job.OpenOccurrence(0).steps[0].tasks) {
    task.checkpoint = std::string(4000, 'c');
  }
  constexpr std::size_t largest_value = 1 << 20;
  const std::string text = EncodeProgress(job);
  BOOST_TEST(text.size() < largest_value / 2);
  Job read;
  read.spec = job.spec;
  BOOST_REQUIRE(DecodeProgress(text, read).has_value());
  const auto& tasks = read.open.at(0).steps[0].tasks;
  BOOST_TEST(tasks[0].checkpoint.size() == 4000);
  BOOST_TEST(tasks[999].checkpoint.empty());
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

// Guards against a record that grows with the occurrences that have finished,
// and against one of an earlier version that is not understood.
BOOST_AUTO_TEST_CASE(FinishedOccurrencesRoundTrip) {
  Job job;
  job.spec = SimpleJob("a", "q", 2, 1, 1);
  job.spec.schedule = {.first_ms = 5, .interval_ms = 10, .times = 20'000};
  job.finished.Insert(0, 9'998);
  job.finished.Insert(10'000);
  job.OpenOccurrence(9'999).steps[0].tasks[1].run = 2;
  job.OpenOccurrence(10'001);
  const std::string text = EncodeProgress(job);
  BOOST_TEST(text.size() < 200);
  Job read;
  read.spec = job.spec;
  BOOST_REQUIRE(DecodeProgress(text, read).has_value());
  BOOST_TEST(read.finished.size() == 10'000);
  BOOST_TEST(read.first_unopened == 10'001);
  BOOST_TEST(read.open.size() == 1);
  BOOST_TEST(read.open.at(9'999).steps[0].tasks[0].run_floor == 2);
  Job earlier;
  earlier.spec = job.spec;
  BOOST_REQUIRE(
      DecodeProgress(R"({"state":"running","finished":[0,1,3],"open":[)"
                     R"({"number":1,"steps":[{"done":"11","run":1}]},)"
                     R"({"number":2,"steps":[{"done":"10","run":1}]},)"
                     R"({"number":4,"steps":[{"done":"00","run":0}]}]})",
                     earlier)
          .has_value());
  BOOST_TEST(earlier.finished.size() == 3);
  BOOST_TEST(earlier.first_unopened == 4);
  BOOST_TEST(earlier.open.size() == 1);
}

// Guards against a record that makes a process hold more than its job has.
BOOST_AUTO_TEST_CASE(OccurrencesBeyondTheLastAreRefused) {
  for (
      const char* text :
      {R"({"state":"running","finished":[[0,3]],"open":[]})",
       R"({"state":"running","finished":[-1],"open":[]})",
       R"({"state":"running","finished":[[2,1]],"open":[]})",
       R"({"state":"running","finished":[[1]],"open":[]})",
       R"({"state":"running","finished":[4294967296],"open":[]})",
       R"({"state":"running","finished":[],"open":[{"number":3,"steps":[]}]})"}) {
    Job job;
    job.spec = SimpleJob("a", "q", 1, 1, 1);
    job.spec.schedule = {.first_ms = 5, .interval_ms = 10, .times = 3};
    BOOST_TEST(!DecodeProgress(text, job).has_value(), text);
  }
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
