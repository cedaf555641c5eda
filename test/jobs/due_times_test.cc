#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>
#include <string>

#include "jobs/due_times.h"
#include "test/jobs/fleet_sim.h"

// Jobs with many due times, in the past or faster than their pool can do the
// work.

namespace kch::jobs::test {
namespace {

constexpr Resources kVmSize{8000, 100'000, 0};
constexpr std::int64_t kStartMs = 1'000'000;  // Unix time of the first due time
constexpr std::int64_t kIntervalMs = 1000;
constexpr std::int64_t kTaskMs = 200;

Job TimedJob(std::int32_t times, std::int32_t tasks = 1) {
  Job job;
  job.spec = SimpleJob("a", "q", tasks, 1000, kTaskMs);
  job.spec.schedule = {
      .first_ms = kStartMs, .interval_ms = kIntervalMs, .times = times};
  return job;
}

// Unix time just after this many occurrences are due.
constexpr std::int64_t AfterDue(std::int32_t occurrences) {
  return kStartMs + (occurrences - 1) * kIntervalMs + 1;
}

void Begin(Job& job, std::int32_t number) {
  job.open.at(number).steps[0].waiting = 0;
}

void Finish(Job& job, std::int32_t number) {
  job.open.erase(number);
  job.finished.Insert(number);
}

// A fleet of four VMs, and a job whose due times are in the past.
struct Backlog {
  explicit Backlog(std::int32_t times) {
    for (int i = 0; i < 4; ++i) {
      this->sim.AddVm("vm" + std::to_string(i), "p", kVmSize);
    }
    this->sim.Run(100);
    JobSpec job = SimpleJob("timed", "q", 1, 1000, kTaskMs);
    job.accepted_ms = this->sim.WallMs();
    job.schedule = {.first_ms = job.accepted_ms - kIntervalMs * times,
                    .interval_ms = kIntervalMs,
                    .times = times};
    this->sim.Submit(std::move(job));
  }
  FleetSim sim;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(DueTimesTest)

// Guards against work and memory for each due time of a job.
BOOST_AUTO_TEST_CASE(OnlySomeDueOccurrencesOpen) {
  const OccurrenceLimits limits;
  Job job = TimedJob(2'000'000'000);
  const auto numbers = OccurrencesToOpen(job, 0, AfterDue(1'500'000'000));
  BOOST_REQUIRE(numbers.size() == limits.max_waiting_late);
  BOOST_TEST(numbers.front() == 0);
  BOOST_TEST(numbers.back() ==
             static_cast<std::int32_t>(limits.max_waiting_late) - 1);
  for (const std::int32_t number : numbers) {
    job.OpenOccurrence(number);
  }
  BOOST_TEST(OccurrencesToOpen(job, 0, AfterDue(1'500'000'000)).empty());
  Begin(job, 3);
  Finish(job, 5);
  const auto more = OccurrencesToOpen(job, 0, AfterDue(1'500'000'000));
  BOOST_REQUIRE(more.size() == 2);
  BOOST_TEST(more.front() == numbers.back() + 1);
}

BOOST_AUTO_TEST_CASE(NothingOpensBeforeItIsDue) {
  Job job = TimedJob(5);
  BOOST_TEST(OccurrencesToOpen(job, 5000, kStartMs - 1).empty());
  BOOST_TEST(OccurrencesToOpen(job, 5000, kStartMs).size() == 1);
  BOOST_TEST(OccurrencesToOpen(job, 5000, AfterDue(3)).size() == 3);
  BOOST_TEST(OccurrencesToOpen(job, 5000, AfterDue(90)).size() == 5);
  job.spec.schedule.interval_ms = 0;
  BOOST_TEST(OccurrencesToOpen(job, 5000, kStartMs).size() == 5);
}

// Load: a job that is hours behind. Guards against occurrences that could be on
// time and wait for all those that no longer can.
BOOST_AUTO_TEST_CASE(OccurrencesOfUseOpenBeforeABacklog) {
  const OccurrenceLimits limits;
  constexpr std::int32_t due = 14'400;
  constexpr std::int64_t useful_ms = 2500;
  Job job = TimedJob(20'000);
  const auto numbers = OccurrencesToOpen(job, useful_ms, AfterDue(due));
  BOOST_REQUIRE(numbers.size() == limits.max_waiting_late);
  BOOST_TEST(numbers[0] == due - 3);
  BOOST_TEST(numbers[2] == due - 1);
  BOOST_TEST(numbers[3] == 0);
  for (const std::int32_t number : numbers) {
    job.OpenOccurrence(number);
  }
  // None has begun when the next one is due.
  BOOST_TEST((OccurrencesToOpen(job, useful_ms, AfterDue(due + 1)) ==
              std::vector<std::int32_t>{due}));
}

// Load: due times faster than the pool for days, with pauses. Guards against a
// record that grows with every pause.
BOOST_AUTO_TEST_CASE(RangesOfFinishedOccurrencesAreJoined) {
  const OccurrenceLimits limits;
  Job job = TimedJob(1'000'000);
  for (std::size_t i = 0; i <= limits.max_finished_ranges; ++i) {
    job.finished.Insert(static_cast<std::int32_t>(10 * i + 5));
  }
  const auto numbers = OccurrencesToOpen(job, 2500, AfterDue(10'000));
  BOOST_REQUIRE(!numbers.empty());
  BOOST_TEST(numbers.front() == 0);
  BOOST_TEST(numbers.back() < 100);
}

// Occurrences may overlap: those at work do not count as waiting, up to the
// tasks that a job may have.
BOOST_AUTO_TEST_CASE(OccurrencesAtWorkDoNotHoldBackOthers) {
  Job job = TimedJob(1000, kMaxTasksPerJob / 100);
  std::int32_t open = 0;
  for (;;) {
    const auto numbers = OccurrencesToOpen(job, 0, AfterDue(1000));
    if (numbers.empty()) {
      break;
    }
    for (const std::int32_t number : numbers) {
      job.OpenOccurrence(number);
      Begin(job, number);
      ++open;
    }
  }
  BOOST_TEST(open == 100);
  Job wide = TimedJob(1000, kMaxTasksPerJob);
  BOOST_TEST(OccurrencesToOpen(wide, 0, AfterDue(1000)).size() == 1);
  Job long_job = TimedJob(1000);
  long_job.spec.steps.resize(128, long_job.spec.steps[0]);
  BOOST_TEST(OccurrencesToOpen(long_job, 0, AfterDue(1000)).size() == 2);
}

BOOST_AUTO_TEST_CASE(RangesAgreeWithASet) {
  BOOST_TEST(rc::check(
      [](const std::vector<std::pair<std::uint8_t, std::uint8_t>>& rows) {
        NumberRanges ranges;
        std::set<std::int32_t> numbers;
        for (const auto& [first, length] : rows) {
          const std::int32_t last = first + length % 7;
          ranges.Insert(first, last);
          for (std::int32_t number = first; number <= last; ++number) {
            numbers.insert(number);
          }
        }
        RC_ASSERT(ranges.size() == static_cast<std::int64_t>(numbers.size()));
        for (std::int32_t number = 0; number < 300; ++number) {
          RC_ASSERT(ranges.Contains(number) == numbers.contains(number));
          std::int32_t absent = number;
          while (numbers.contains(absent)) {
            ++absent;
          }
          RC_ASSERT(ranges.FirstAbsent(number) == absent);
        }
        std::int32_t before = -2;
        for (const auto& [first, last] : ranges.ranges()) {
          RC_ASSERT(first > before + 1);
          before = last;
        }
      }));
}

// Guards against an owner that stands still over a job with many due times and
// loses the fleet, as all its successors do (review case 4).
BOOST_AUTO_TEST_CASE(JobWithManyDueTimesHoldsNobodyUp) {
  Backlog backlog(14'400);
  FleetSim& sim = backlog.sim;
  sim.Submit(SimpleJob("plain", "q", 2, 1000, 500));
  for (int pass = 0; pass < 20; ++pass) {
    const double s = ProcessorSeconds([&] { sim.Run(5); });
    BOOST_REQUIRE_MESSAGE(s < kOwnerLeaseS, "a pass took " << s << " s");
  }
  BOOST_TEST(sim.Completes("plain", 2000));
  BOOST_TEST(ProcessorSeconds([&] { sim.Takeover(); }) < kOwnerLeaseS);
  sim.Submit(SimpleJob("later", "q", 2, 1000, 500));
  BOOST_TEST(sim.Completes("later", 4000));
  BOOST_TEST(sim.violations.empty());
}

// Guards against records that grow with the due times that have passed.
BOOST_AUTO_TEST_CASE(BacklogIsDoneAndItsRecordStaysSmall) {
  constexpr std::int32_t times = 3000;
  Backlog backlog(times);
  FleetSim& sim = backlog.sim;
  std::size_t longest = 0;
  const bool ended = sim.RunUntil(
      [&] {
        const auto record = sim.store.records.find(JobId("timed"));
        if (record != sim.store.records.end()) {
          longest = std::max(longest, record->second.value.size());
        }
        return sim.StateOf("timed") == JobState::kCompleted;
      },
      60'000);
  BOOST_TEST(ended);
  BOOST_TEST(sim.starts() == times);
  // 32 cores run as many occurrences at once, and as many wait.
  constexpr std::size_t bytes_per_occurrence = 80;
  BOOST_TEST(longest < 64 * bytes_per_occurrence);
  BOOST_TEST(sim.violations.empty());
}

// Ends and runs of a backlog that are not stored are known only to their VMs,
// and the successor has not opened all these occurrences.
BOOST_AUTO_TEST_CASE(TakeoverKnowsTasksOfABacklog) {
  Backlog backlog(600);
  FleetSim& sim = backlog.sim;
  sim.Run(1000);
  sim.store.down = true;
  sim.Run(1000);
  sim.store.down = false;
  sim.Takeover();
  BOOST_TEST(sim.Completes("timed", 20'000));
  BOOST_TEST(sim.starts() == 600);
  for (const std::string& violation : sim.violations) {
    BOOST_ERROR(violation);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::jobs::test
