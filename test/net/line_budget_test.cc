#include "net/line_budget.h"

#include <boost/test/unit_test.hpp>

namespace kch::net {
namespace {

using std::chrono::milliseconds;

// Lines of each kind that are written in ten seconds of a flood of one kind,
// beside one line a second of another.
struct Flood {
  int frequent = 0;
  int rare = 0;
  std::uint64_t left_out = 0;

  Flood() {
    LineBudget budget(LineBudget::Limits{});
    Time now{std::chrono::seconds(100)};
    for (int ms = 0; ms < 10'000; ++ms) {
      now += milliseconds(1);
      for (int i = 0; i < 2; ++i) {
        this->frequent += budget.Take("step_started", now) ? 1 : 0;
      }
      if (ms % 1000 == 999) {
        this->rare += budget.Take("load", now) ? 1 : 0;
      }
      this->left_out += budget.Report(now);
    }
    now += std::chrono::seconds(1);
    this->left_out += budget.Report(now);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(LineBudgetTest)

// Guards against losing the lines about the process, such as `load` and
// `recovered`, at the peaks for which they are written.
BOOST_AUTO_TEST_CASE(FloodOfOneKindLeavesOutNoOther) {
  const Flood flood;
  BOOST_TEST(flood.rare == 10);
}

BOOST_AUTO_TEST_CASE(LinesAreBoundedAndThoseLeftOutAreCounted) {
  const Flood flood;
  BOOST_TEST(flood.frequent <= 600 + 10 * (300 + 4) + 8);
  BOOST_TEST(flood.frequent >= 10 * 300);
  BOOST_TEST(flood.left_out == 20'000U - static_cast<unsigned>(flood.frequent));
}

// Guards against kinds that are made up at run time.
BOOST_AUTO_TEST_CASE(ManyKindsShareTheRate) {
  LineBudget budget(LineBudget::Limits{});
  const Time now{std::chrono::seconds(100)};
  int written = 0;
  for (int i = 0; i < 5000; ++i) {
    written += budget.Take("kind" + std::to_string(i), now) ? 1 : 0;
  }
  BOOST_TEST(written <= 600 + 128);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::net
