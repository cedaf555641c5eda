#include <boost/test/unit_test.hpp>

#include "test/process/callers.h"

namespace kch::test {
namespace {

using load::Outcome;

// Guards against answers that reach another caller or team, against entries
// that do not forward, and against work done for a key that was never granted.
BOOST_AUTO_TEST_CASE(TeamsGetTheirOwnAnswers) {
  Fleet fleet({});
  Callers callers(fleet);
  callers.Start({.team = "blue", .run_ms = 5, .unrepeatable_percent = 30});
  callers.Start({.team = "red", .run_ms = 5, .unrepeatable_percent = 30});
  callers.WaitForDone(50);
  for (std::size_t entry = 0; entry < 3; ++entry) {
    for (const std::string key :
         {"blue.wrong", "red.secret.", "green.secret", "blue"}) {
      const auto result =
          fleet.Submit({.entry = entry, .id = "wrong-key", .key = key});
      BOOST_TEST(result.code == 403);
      BOOST_TEST((load::ParseAnswer(result.body).outcome == Outcome::kNotRun));
    }
  }
  callers.Stop();
  callers.Check();
  for (const Event& event : fleet.Events()) {
    BOOST_TEST(event.echo != "wrong-key");
  }
  const std::size_t done = callers.Count(Outcome::kDone);
  for (const Outcome outcome :
       {Outcome::kFailed, Outcome::kNotRun, Outcome::kUnknown}) {
    BOOST_TEST(callers.Count(outcome) == 0U);
  }
  BOOST_TEST(done >= 150U);
}

}  // namespace
}  // namespace kch::test
