#include <boost/test/unit_test.hpp>

#include "upkeep/upkeep.h"

namespace kch::upkeep {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kJobCores = 20;
constexpr std::int64_t kPerCore = 1000;
constexpr std::int64_t kJobMs = 1000;

// Jobs of 20 cores for a second each arrive evenly.
struct Arrivals {
  Time now{seconds(100)};
  PoolForecast forecast{now};
  jobs::ArrivedWork arrived;
  jobs::Resources endless;
  double due = 0;

  void Run(std::int64_t ms, double jobs_per_s) {
    constexpr std::int64_t step_ms = 25;
    for (std::int64_t passed = 0; passed < ms; passed += step_ms) {
      this->now += milliseconds(step_ms);
      for (this->due += jobs_per_s * step_ms / 1000; this->due >= 1;
           this->due -= 1) {
        ++this->arrived.jobs;
        this->arrived.resource_ms.cpu_m += kJobCores * 1000 * kJobMs;
      }
      this->forecast.Observe(
          {.endless = this->endless, .arrived = this->arrived}, this->now);
    }
  }
  double Cores() const {
    return static_cast<double>(this->forecast.need().cpu_m) / 1000;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(PoolForecastTest)

// Guards against machines that are ordered only when work waits: a turn of a
// queue lasts 4.5 s, and a machine takes 2 s to arrive.
BOOST_AUTO_TEST_CASE(RiseIsForecastWithinASecond) {
  Arrivals arrivals;
  arrivals.Run(3000, 4);
  const double quiet = arrivals.Cores();
  BOOST_TEST(quiet <= 4 * kJobCores);
  arrivals.Run(800, 80);
  BOOST_TEST(arrivals.Cores() >= 0.6 * 80 * kJobCores);
  BOOST_TEST(arrivals.Cores() <= 80 * kJobCores);
  arrivals.Run(1500, 4);
  BOOST_TEST(arrivals.Cores() <= 1.1 * quiet);
}

BOOST_AUTO_TEST_CASE(FewJobsAreNoRate) {
  Arrivals arrivals;
  arrivals.Run(5000, 1);
  BOOST_TEST(arrivals.Cores() == 0);
}

BOOST_AUTO_TEST_CASE(EndlessTasksAreNeeded) {
  Arrivals arrivals;
  arrivals.endless = {64'000, 0, 0};
  arrivals.Run(100, 0);
  BOOST_TEST(arrivals.Cores() == 64);
}

// Guards against giving up a pool's machines before its first peak was seen,
// and between two peaks.
BOOST_AUTO_TEST_CASE(PeakIsKnownAfterItsMemoryAndKeptForIt) {
  Arrivals arrivals;
  arrivals.Run(10'000, 4);
  BOOST_TEST(!arrivals.forecast.Peak(arrivals.now));
  arrivals.Run(4500, 80);
  arrivals.Run(20'000, 4);
  const auto peak = arrivals.forecast.Peak(arrivals.now);
  BOOST_REQUIRE(peak.has_value());
  BOOST_TEST(peak->cpu_m >= kPerCore * 60 * kJobCores);
  arrivals.Run(31'000, 4);
  BOOST_TEST(arrivals.forecast.Peak(arrivals.now)->cpu_m <=
             kPerCore * 5 * kJobCores);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::upkeep
