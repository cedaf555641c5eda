#include <boost/test/unit_test.hpp>

#include "fake/vms/vm_model.h"

// The checks of the stand-in have to see the faults that they are for.

namespace kch::fake {
namespace {

struct Fixture {
  VmModel world;
  std::vector<FakeVm*> vms;

  Fixture() {
    for (const std::string id : {"vm0", "vm1"}) {
      this->vms.push_back(&this->world.Add(id, "p", {4000, 8000, 0}, "r1"));
    }
    jobs::JobSpec job{.id = jobs::JobId("a"), .payload = "x"};
    job.queue.id = jobs::QueueId("q");
    job.team = TeamId("t");
    job.steps = {{.count = 3, .need = {1500, 100, 0}, .estimate_ms = 100},
                 {.count = 1, .need = {1000, 100, 0}, .depends_on = {0}}};
    this->world.submitted[job.id] = job;
  }

  jobs::StartAnswer Start(std::size_t vm,
                          int step,
                          int index,
                          std::int64_t run = 1,
                          std::uint64_t fence = 1) {
    return this->world.HandleStart(
        *this->vms[vm],
        {.task = {jobs::JobId("a"), 0, step, index},
         .run = run,
         .payload = "x",
         .lease_until_ms = this->world.ClockOf(*this->vms[vm]) + 10'000},
        fence);
  }
  [[nodiscard]] std::string Breach() const {
    return this->world.violations.empty() ? "" : this->world.violations.back();
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(VmsTest, Fixture)

BOOST_AUTO_TEST_CASE(SeesATaskThatRunsTwice) {
  this->Start(0, 0, 0);
  BOOST_TEST(this->Breach() == "");
  this->Start(1, 0, 0, 2);
  BOOST_TEST(this->Breach() == "twice: a.0.0.0 on vm1");
}

BOOST_AUTO_TEST_CASE(SeesAStartOverCapacity) {
  this->Start(0, 0, 0);
  this->Start(0, 0, 1);
  BOOST_TEST(this->Breach() == "");
  this->Start(0, 0, 2);
  BOOST_TEST(this->Breach() == "capacity: a.0.0.2 on vm0");
}

BOOST_AUTO_TEST_CASE(SeesAStartOutOfOrder) {
  this->Start(0, 1, 0);
  BOOST_TEST(this->Breach() == "order: a.0.1.0 on vm0");
}

BOOST_AUTO_TEST_CASE(SeesAStartOverATeamsLimit) {
  this->world.config.teams[TeamId("t")] = {.maximum = {2000, 0, 0}};
  this->Start(0, 0, 0);
  this->Start(1, 0, 1);
  BOOST_TEST(this->Breach() == "team limit: a.0.0.1 on vm1");
}

BOOST_AUTO_TEST_CASE(SeesAStartAfterARecordedEnd) {
  this->Start(0, 0, 0);
  this->world.now += std::chrono::milliseconds(100);
  this->world.RunTasks(100);
  BOOST_TEST(this->vms[0]->ended.size() == 1U);
  this->world.HandlePoll(*this->vms[0], {.recorded_end = 1}, 1);
  this->Start(1, 0, 0, 2);
  BOOST_TEST(this->Breach() == "repeated: a.0.0.0 on vm1");
}

BOOST_AUTO_TEST_CASE(SeesAStartThatNobodyAskedFor) {
  this->world.submitted.at(jobs::JobId("a")).payload = "y";
  BOOST_TEST((this->Start(0, 0, 0) == jobs::StartAnswer::kInvalid));
  BOOST_TEST(this->Breach() == "unknown: a.0.0.0 on vm0");
}

// A higher fence shuts out lower ones; a stop shuts out its run and earlier
// ones; a lease ends everything on its VM.
BOOST_AUTO_TEST_CASE(RefusesOrdersOfThePast) {
  BOOST_TEST((this->Start(0, 0, 0, 1, 5) == jobs::StartAnswer::kAccepted));
  BOOST_TEST((this->Start(0, 0, 1, 1, 4) == jobs::StartAnswer::kFenced));
  this->world.HandleStop(*this->vms[1],
                         {.task = {jobs::JobId("a"), 0, 0, 1}, .run = 3}, 5);
  BOOST_TEST((this->Start(1, 0, 1, 3, 5) == jobs::StartAnswer::kOldRun));
  this->world.submitted.at(jobs::JobId("a")).steps[0].estimate_ms = 60'000;
  BOOST_TEST((this->Start(1, 0, 1, 4, 5) == jobs::StartAnswer::kAccepted));
  this->world.now += std::chrono::seconds(11);
  this->world.RunTasks(11'000);
  BOOST_TEST((this->vms[1]->ended.back().how == jobs::RunEnd::kExpired));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::fake
