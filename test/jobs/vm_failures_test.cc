#include <boost/test/unit_test.hpp>
#include <chrono>

#include "jobs/jobs.h"

namespace kch::jobs {
namespace {

using std::chrono::seconds;

const VmId kVm0("vm0");
const VmId kVm1("vm1");
const VmId kVm2("vm2");
const Time kStart{seconds(1000)};

VmFailures::StepKey StepOf(const std::string& job) {
  return {JobId(job), 0};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(VmFailuresTest)

BOOST_AUTO_TEST_CASE(JobsThatFailOnOneVmCountAgainstIt) {
  VmFailures failures;
  BOOST_TEST(!failures.OnFailure(kVm0, StepOf("a"), false, kStart));
  BOOST_TEST(!failures.OnFailure(kVm0, StepOf("a"), false, kStart));
  BOOST_TEST(failures.FailsJobs(kVm0, 1));
  BOOST_TEST(!failures.FailsJobs(kVm0, 2));  // one job, however often
  BOOST_TEST(!failures.OnFailure(kVm0, {JobId("a"), 1}, false, kStart));
  BOOST_TEST(!failures.FailsJobs(kVm0, 2));  // another step of it
  BOOST_TEST(!failures.OnFailure(kVm0, StepOf("b"), false, kStart));
  BOOST_TEST(failures.FailsJobs(kVm0, 2));
  BOOST_TEST(!failures.FailsJobs(kVm1, 1));
}

BOOST_AUTO_TEST_CASE(StepsThatFailOnSeveralVmsCountAgainstNone) {
  VmFailures failures;
  failures.OnFailure(kVm0, StepOf("a"), false, kStart);
  const auto not_at_fault =
      failures.OnFailure(kVm1, StepOf("a"), false, kStart);
  BOOST_TEST((not_at_fault == kVm0));
  BOOST_TEST(!failures.FailsJobs(kVm0, 1));
  BOOST_TEST(!failures.Counts(kVm1, StepOf("a")));
  BOOST_TEST(!failures.OnFailure(kVm2, StepOf("a"), false, kStart));
  BOOST_TEST(!failures.Counts(kVm2, StepOf("a")));
}

// Guards against two broken VMs that are not found, as a job fails on both.
BOOST_AUTO_TEST_CASE(FailuresOfAStepWithATaskThatIsDoneCount) {
  VmFailures failures;
  failures.OnFailure(kVm0, StepOf("a"), false, kStart);
  failures.OnFailure(kVm1, StepOf("a"), false, kStart);
  failures.OnDone(StepOf("a"));
  BOOST_TEST(failures.Counts(kVm0, StepOf("a")));
  BOOST_TEST(failures.Counts(kVm1, StepOf("a")));
  BOOST_TEST(!failures.OnFailure(kVm0, StepOf("b"), true, kStart));
  BOOST_TEST(!failures.OnFailure(kVm1, StepOf("b"), true, kStart));
  BOOST_TEST(failures.FailsJobs(kVm0, 2));
  BOOST_TEST(failures.FailsJobs(kVm1, 2));
}

BOOST_AUTO_TEST_CASE(ASoundVmIsClearedOfEarlierFailuresOnly) {
  VmFailures failures;
  failures.OnFailure(kVm0, StepOf("a"), false, kStart);
  failures.Clear(kVm0);
  BOOST_TEST(!failures.Counts(kVm0, StepOf("a")));
  // The step still is one that has failed there.
  BOOST_TEST(!failures.OnFailure(kVm1, StepOf("a"), false, kStart));
  BOOST_TEST(!failures.Counts(kVm1, StepOf("a")));
  failures.OnFailure(kVm0, StepOf("b"), false, kStart);
  BOOST_TEST(failures.FailsJobs(kVm0, 1));
}

// Guards against memory that grows with every failure, and against endless
// tasks that fail once in a while and count as failing everywhere.
BOOST_AUTO_TEST_CASE(FailuresAreForgotten) {
  VmFailures failures;
  failures.OnFailure(kVm0, StepOf("a"), false, kStart);
  failures.OnFailure(kVm0, StepOf("b"), false, kStart);
  failures.OnFailure(kVm0, StepOf("b"), false, kStart + seconds(50));
  failures.OnFailure(kVm1, StepOf("a"), false, kStart + seconds(70));
  BOOST_TEST(failures.Counts(kVm1, StepOf("a")));
  BOOST_TEST(!failures.Counts(kVm0, StepOf("a")));
  BOOST_TEST(failures.Counts(kVm0, StepOf("b")));
  failures.OnFailure(kVm2, StepOf("c"), false, kStart + seconds(200));
  BOOST_TEST(!failures.FailsJobs(kVm0, 1));
  BOOST_TEST(!failures.FailsJobs(kVm1, 1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::jobs
