#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <vector>

#include "retry/retry.h"

namespace kch::retry {
namespace {

using std::chrono::milliseconds;

constexpr auto kMin = milliseconds(120);
constexpr auto kMax = milliseconds(1000);

ResponseTimeout FastService() {
  ResponseTimeout timeout(kMin, kMax);
  for (int i = 0; i < 50; ++i) {
    timeout.OnAnswer(milliseconds(5));
  }
  return timeout;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ResponseTimeoutTest)

BOOST_AUTO_TEST_CASE(UnknownServiceGetsTheLongestTimeout) {
  BOOST_TEST((ResponseTimeout(kMin, kMax).Current() == kMax));
}

BOOST_AUTO_TEST_CASE(FastServiceGetsTheShortestTimeout) {
  BOOST_TEST((FastService().Current() == kMin));
}

// Guards against a service that has become slow being called again and again
// before it can answer.
BOOST_AUTO_TEST_CASE(SlowedServiceIsAwaitedAfterAFewTimeouts) {
  ResponseTimeout timeout = FastService();
  constexpr auto response_time = milliseconds(240);
  int unanswered = 0;
  for (int call = 0; call < 20; ++call) {
    const Duration used = timeout.Current();
    if (used < response_time) {
      ++unanswered;
      timeout.OnTimeout(used);
    } else {
      timeout.OnAnswer(response_time);
    }
  }
  BOOST_TEST(unanswered <= 4);
  BOOST_TEST((timeout.Current() > response_time));
}

// Calls sent together have the same timeout; their losses are one event.
BOOST_AUTO_TEST_CASE(ConcurrentTimeoutsCountOnce) {
  ResponseTimeout timeout = FastService();
  const Duration used = timeout.Current();
  for (int call = 0; call < 10; ++call) {
    timeout.OnTimeout(used);
  }
  BOOST_TEST((timeout.Current() == 2 * kMin));
  timeout.OnAnswer(milliseconds(5));
  BOOST_TEST((timeout.Current() == kMin));
}

BOOST_AUTO_TEST_CASE(TimeoutStaysWithinItsBounds) {
  BOOST_TEST(rc::check([] {
    ResponseTimeout timeout(kMin, kMax);
    const auto times = *rc::gen::container<std::vector<int>>(
        rc::gen::inRange(-1, 5000));  // -1: no answer
    for (const int time : times) {
      if (time < 0) {
        timeout.OnTimeout(timeout.Current());
      } else {
        timeout.OnAnswer(milliseconds(time));
      }
      RC_ASSERT(timeout.Current() >= kMin);
      RC_ASSERT(timeout.Current() <= kMax);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::retry
