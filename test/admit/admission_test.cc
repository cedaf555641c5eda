#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "admit/admit.h"

namespace kch::admit {
namespace {

using jobs::QueueId;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kTaskMs = 1000;

// A job of one step; its objective is 2,200 ms, and it is of use up to 6,600.
jobs::JobSpec Job(const std::string& team) {
  jobs::JobSpec job;
  job.id = jobs::JobId("0a");
  job.queue = {.id = QueueId("q"),
               .pool = PoolId("p"),
               .stretch = 1.6,
               .target_ms = 600};
  job.team = TeamId(team);
  job.steps.push_back(
      {.count = 4, .need = {1000, 100, 0}, .estimate_ms = kTaskMs});
  return job;
}

TeamBacklog Backlog(const std::string& team, std::int64_t core_s) {
  return {.queue = QueueId("q"),
          .team = TeamId(team),
          .resource_ms = {core_s * 1000 * 1000, 0, 0}};
}

// A pool of 10 cores.
LoadReport Report(std::vector<TeamBacklog> teams) {
  LoadReport report;
  AddWaits({.capacity = {10'000, 100'000, 0}, .teams = std::move(teams)},
           report);
  return report;
}

struct Fixture {
  Time now{seconds(100)};
  Admission admission;

  void Load(std::vector<TeamBacklog> teams) {
    this->admission.OnReport(Report(std::move(teams)), this->now);
  }
  std::optional<Rejection> Check(const std::string& team) {
    return this->admission.Check(Job(team), this->now);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(AdmissionTest)

BOOST_AUTO_TEST_CASE(JobsAreAcceptedWithoutAReport) {
  Fixture fixture;
  BOOST_TEST(!fixture.Check("a"));
}

// Guards against a job that is accepted and answered long after it is of use.
BOOST_AUTO_TEST_CASE(JobThatWouldEndTooLateIsRejectedAtOnce) {
  Fixture fixture;
  fixture.Load({Backlog("a", 80)});
  const auto rejection = fixture.Check("a");
  BOOST_REQUIRE(rejection.has_value());
  BOOST_TEST(ToMs(rejection->wait) == 8000);
  // Work of 8 s has to shrink to 1.2 s before the job would be on time.
  BOOST_TEST(rejection->retry_after_s == 7);
}

BOOST_AUTO_TEST_CASE(JobThatIsLateButOfUseIsAccepted) {
  Fixture fixture;
  fixture.Load({Backlog("a", 50)});
  BOOST_TEST(!fixture.Check("a"));
}

// Guards against one team's flood that turns away the jobs of others.
BOOST_AUTO_TEST_CASE(OnlyTheTeamOfAFloodIsRejected) {
  Fixture fixture;
  fixture.Load({Backlog("flood", 200), Backlog("b", 2), Backlog("c", 1)});
  BOOST_TEST(fixture.Check("flood").has_value());
  BOOST_TEST(!fixture.Check("b"));
  BOOST_TEST(!fixture.Check("new"));
}

BOOST_AUTO_TEST_CASE(WorkOfLowerPriorityDoesNotCount) {
  TeamBacklog later = Backlog("a", 200);
  later.queue = QueueId("later");
  later.priority = 1;
  const LoadReport report = Report({later, Backlog("a", 10)});
  BOOST_TEST(ToMs(report.queues.at(QueueId("q")).wait) == 1000);
  BOOST_TEST(ToMs(report.queues.at(QueueId("later")).wait) == 21'000);
}

// Guards against decisions on what was true some time ago, as after the loss of
// the owner or of the store.
BOOST_AUTO_TEST_CASE(OldReportsAreNotUsed) {
  Fixture fixture;
  fixture.Load({Backlog("a", 200)});
  fixture.now += kMaxReportAge;
  BOOST_TEST(fixture.Check("a").has_value());
  fixture.now += milliseconds(1);
  BOOST_TEST(!fixture.Check("a"));
}

BOOST_AUTO_TEST_CASE(EndlessAndScheduledJobsAreAccepted) {
  Fixture fixture;
  fixture.Load({Backlog("a", 200)});
  jobs::JobSpec endless = Job("a");
  endless.steps[0].endless = true;
  BOOST_TEST(!fixture.admission.Check(endless, fixture.now));
  jobs::JobSpec scheduled = Job("a");
  scheduled.schedule.times = 2;
  BOOST_TEST(!fixture.admission.Check(scheduled, fixture.now));
}

// Guards against callers who all come back at once, and against a later one who
// is sent ahead of an earlier one.
BOOST_AUTO_TEST_CASE(CallersReturnInTheOrderOfTheirRejections) {
  Fixture fixture;
  fixture.Load({Backlog("a", 100)});
  int last = 0;
  std::map<int, int> returns;
  for (int caller = 0; caller < 100; ++caller) {
    const int retry_after_s = fixture.Check("a")->retry_after_s;
    BOOST_TEST(retry_after_s >= last);
    last = retry_after_s;
    ++returns[retry_after_s];
  }
  BOOST_TEST(returns.size() >= 5U);
}

BOOST_AUTO_TEST_CASE(PoolWithoutCapacityIsLeftOut) {
  LoadReport report;
  AddWaits({.capacity = {}, .teams = {Backlog("a", 100)}}, report);
  BOOST_TEST(report.queues.empty());
}

BOOST_AUTO_TEST_CASE(ReportsSurviveTheStore) {
  const LoadReport report = Report({Backlog("a", 80), Backlog("b", 1)});
  const auto decoded = DecodeLoadReport(Encode(report));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((*decoded == report));
  for (const char* broken :
       {"", "[]", R"({"queues": 3})", R"({"queues": {"q": {}}})",
        R"({"queues": {"q": {"wait_ms": "1", "teams": {}}}})"}) {
    BOOST_TEST(!DecodeLoadReport(broken).has_value(), broken);
  }
}

// Whatever the load, a rejected job could not have ended in time to be of use,
// and its caller is asked to come back within the bounds.
BOOST_AUTO_TEST_CASE(RejectedJobsCouldNotBeServed) {
  BOOST_TEST(rc::check([] {
    Fixture fixture;
    std::vector<TeamBacklog> teams;
    for (const char* team : {"a", "b", "c"}) {
      teams.push_back(Backlog(team, *rc::gen::inRange(0, 300)));
    }
    fixture.Load(teams);
    for (const TeamBacklog& row : teams) {
      const auto rejection = fixture.Check(row.team.str());
      if (!rejection) {
        continue;
      }
      RC_ASSERT(ToMs(rejection->wait) + kTaskMs > 6600);
      RC_ASSERT(rejection->retry_after_s >= 1);
      RC_ASSERT(rejection->retry_after_s <= 30);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::admit
