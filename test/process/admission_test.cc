#include <boost/test/unit_test.hpp>
#include <chrono>
#include <csignal>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "test/process/platform_fleet.h"

// Jobs that arrive while far more is asked than the fleet can do, as whole
// processes of kch-fleet over a stand-in for the users' platform.

namespace kch::test {
namespace {

using fake::CallFault;

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

// Jobs that together need several times as long as they are of use.
struct Flood {
  std::vector<jobs::JobSpec> accepted;
  std::vector<jobs::JobSpec> rejected;

  // Hands jobs in at an instance until some are rejected there.
  void HandIn(PlatformFleet& fleet, std::size_t instance) {
    constexpr int max_jobs = 300;
    constexpr auto pause = std::chrono::milliseconds(20);
    for (int i = 0; i < max_jobs && this->rejected.size() < 3; ++i) {
      const jobs::JobSpec job = PlainJob("f" + std::to_string(i), 16, 500);
      const int code = fleet.Submit(instance, job);
      BOOST_TEST((code == kOk || code == kTooMany), code);
      (code == kOk ? this->accepted : this->rejected).push_back(job);
      std::this_thread::sleep_for(pause);
    }
  }
  std::int64_t tasks() const {
    std::int64_t sum = 0;
    for (const jobs::JobSpec& job : this->accepted) {
      sum += job.steps[0].count;
    }
    return sum;
  }
};

// The first write of the job "late" is carried out seconds later, without an
// answer; the others are lost.
void CarryOutSubmissionLate(PlatformFleet& fleet) {
  fleet.platform->SetFaults(
      [writes = 0](const std::string& call, const std::string& body) mutable {
        if (call != "store/kv-txn" ||
            body.find(R"("Puts":[{"Key":"kch/in/job/000000000000late")") ==
                std::string::npos) {
          return CallFault::kNone;
        }
        return writes++ == 0 ? CallFault::kLate : CallFault::kLoseCall;
      });
}

// Guards against jobs that are accepted and done long after they are of use,
// and against a rejected job that runs.
BOOST_AUTO_TEST_CASE(RejectedJobsDoNotRunUntilTheyReturn) {
  PlatformFleet fleet;
  Flood flood;
  flood.HandIn(fleet, 0);
  BOOST_REQUIRE(flood.rejected.size() == 3U);
  const net::HttpResult answer = fleet.Offer(0, flood.rejected[0]);
  BOOST_TEST(answer.code == kTooMany);
  BOOST_TEST(std::stoi(std::string(answer.Header("retry-after"))) >= 2);
  fleet.WaitForCompleted(flood.accepted);
  BOOST_TEST(fleet.starts() == flood.tasks());
  for (const jobs::JobSpec& job : flood.rejected) {
    BOOST_TEST(fleet.StateOf(job) == "");
  }
  // The load has gone, so they are welcome.
  for (const jobs::JobSpec& job : flood.rejected) {
    fleet.Accept(job);
  }
  fleet.WaitForCompleted(flood.rejected);
  BOOST_TEST(fleet.Breaches() == "");
}

// Guards against rejections by a report that was left behind by the last
// overload.
BOOST_AUTO_TEST_CASE(RestartedInstanceIgnoresOldReports) {
  PlatformFleet fleet;
  const std::size_t owner = fleet.WaitForOwner();
  const std::size_t restarted = owner == 0 ? 1 : 0;
  fleet.platform->With([](fake::VmModel&, fake::KeyStore& store) {
    store.Put("kch/load",
              R"({"queues":{"q":{"wait_ms":60000,"teams":{"":60000}}}})");
  });
  fleet.Signal(restarted, SIGKILL);
  fleet.WaitForExit(restarted);
  fleet.Restart(restarted);
  constexpr int jobs = 10;
  for (int i = 0; i < jobs; ++i) {
    const jobs::JobSpec job = PlainJob("g" + std::to_string(i), 1, 100);
    BOOST_TEST(fleet.Submit(restarted, job) == kOk);
  }
}

// Guards against a rejection that is not true: the write of an earlier attempt,
// whose answer was lost, is carried out after it.
BOOST_AUTO_TEST_CASE(RejectedJobIsNotStoredByAnEarlierAttempt) {
  PlatformFleet fleet;
  const jobs::JobSpec job = PlainJob("late", 2, 300);
  CarryOutSubmissionLate(fleet);
  auto attempt =
      std::async(std::launch::async, [&] { return fleet.Submit(1, job); });
  Flood flood;
  flood.HandIn(fleet, 2);
  BOOST_REQUIRE(flood.rejected.size() == 3U);
  BOOST_TEST(fleet.Submit(2, job) == kTooMany);
  BOOST_TEST(attempt.get() != kOk);
  fleet.WaitForCompleted(flood.accepted);
  BOOST_TEST(fleet.starts() == flood.tasks());
  BOOST_TEST(fleet.StateOf(job) == "");
}

// Guards against a cancelled job that runs: its submission had no answer, the
// cancellation finds no job, and the submission's write is carried out later.
BOOST_AUTO_TEST_CASE(CancelledJobIsNotStoredByAnEarlierAttempt) {
  PlatformFleet fleet;
  const jobs::JobSpec job = PlainJob("late", 2, 300);
  CarryOutSubmissionLate(fleet);
  auto attempt =
      std::async(std::launch::async, [&] { return fleet.Submit(1, job); });
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  BOOST_TEST(fleet.CancelAt(2, job) == kGone);
  BOOST_TEST(attempt.get() != kOk);
  // Until the write has been carried out.
  std::this_thread::sleep_for(std::chrono::seconds(7));
  BOOST_TEST(fleet.starts() == 0);
  BOOST_TEST(fleet.StateOf(job) == "");
  fleet.platform->SetFaults(nullptr);
  BOOST_TEST(fleet.Submit(2, job) == kUnavailable);
}

}  // namespace
}  // namespace kch::test
