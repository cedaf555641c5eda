#include <boost/test/unit_test.hpp>

#include "lead/lead.h"

namespace kch::lead {
namespace {

BOOST_AUTO_TEST_SUITE(SuspensionTest)

// Guards against a suspension that goes unnoticed or a pause that passes for
// one.
BOOST_AUTO_TEST_CASE(OnlyTimeThatTheSteadyClockOmitsIsASuspension) {
  using std::chrono::milliseconds;
  SuspensionDetector detector;
  Time now{std::chrono::seconds(10)};
  BOOST_TEST(!detector.Observe(now, 500'000));
  BOOST_TEST(!detector.Observe(now += milliseconds(50), 500'050));
  BOOST_TEST(!detector.Observe(now += milliseconds(4000), 504'050));
  BOOST_TEST(!detector.Observe(now += milliseconds(50), 504'800));
  BOOST_TEST(detector.Observe(now += milliseconds(50), 505'551));
  BOOST_TEST(!detector.Observe(now += milliseconds(50), 505'601));
  BOOST_TEST(detector.Observe(now, 510'000));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace kch::lead
