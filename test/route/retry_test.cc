#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <vector>

#include "route/route.h"

namespace kch::route {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(1000)};

// Guards against a wrong decision for any combination of facts; all
// combinations are tested.
BOOST_AUTO_TEST_CASE(EveryCombinationOfFactsGivesAValidDecision) {
  const std::vector<AttemptOutcome> ends{
      AttemptOutcome::kNotRun, AttemptOutcome::kFailed,
      AttemptOutcome::kUnknown, AttemptOutcome::kMismatched};
  int retries = 0;
  for (const AttemptOutcome end : ends) {
    for (const AttemptOutcome earlier : ends) {
      for (int bits = 0; bits < 16; ++bits) {
        for (int failed = 0; failed <= 4; ++failed) {
          AttemptFacts facts;
          facts.outcome = end;
          facts.earlier_outcome = earlier;
          facts.repeatable = (bits & 1) != 0;
          facts.first_byte_maybe_sent = (bits & 2) != 0;
          facts.budget_available = (bits & 4) != 0;
          facts.deadline = kStart + seconds((bits & 8) != 0 ? 1 : 0);
          facts.failed_targets = failed;
          const RetryDecision decision = DecideRetry(facts, kStart);
          const bool never_ran = end == AttemptOutcome::kNotRun &&
                                 earlier == AttemptOutcome::kNotRun;
          const bool maybe_ran = end == AttemptOutcome::kUnknown ||
                                 end == AttemptOutcome::kMismatched ||
                                 earlier == AttemptOutcome::kUnknown ||
                                 earlier == AttemptOutcome::kMismatched;
          switch (decision) {
            case RetryDecision::kRetryElsewhere:
              retries += 1;
              BOOST_TEST((facts.repeatable ||
                          (never_ran && !facts.first_byte_maybe_sent)));
              BOOST_TEST(facts.budget_available);
              BOOST_TEST((kStart < facts.deadline));
              BOOST_TEST(!(end == AttemptOutcome::kFailed && failed >= 3));
              break;
            case RetryDecision::kNotRun:
              BOOST_TEST(never_ran);
              break;
            case RetryDecision::kFailed:
              BOOST_TEST(!never_ran);
              BOOST_TEST(!maybe_ran);
              break;
            case RetryDecision::kUnknown:
              BOOST_TEST(maybe_ran);
              break;
            case RetryDecision::kFailedEverywhere:
              BOOST_TEST(failed >= 3);
              break;
          }
        }
      }
    }
  }
  BOOST_TEST(retries > 0);
}

// Guards against giving up on requests that are repeatable or certainly did not
// run.
BOOST_AUTO_TEST_CASE(RequestsThatMayRunAgainAreRetried) {
  AttemptFacts facts;
  facts.budget_available = true;
  facts.deadline = kStart + seconds(1);
  facts.outcome = AttemptOutcome::kNotRun;
  facts.first_byte_maybe_sent = false;
  BOOST_TEST((DecideRetry(facts, kStart) == RetryDecision::kRetryElsewhere));
  facts.repeatable = true;
  facts.first_byte_maybe_sent = true;
  for (const auto& [end, name] : NameTable<AttemptOutcome>::kEntries) {
    facts.outcome = end;
    BOOST_TEST((DecideRetry(facts, kStart) == RetryDecision::kRetryElsewhere),
               name);
  }
}

// Guards against retries that multiply the load: they never exceed a tenth of
// the requests plus the initial tokens and the refill with time.
BOOST_AUTO_TEST_CASE(RetriesStayWithinTheBudget) {
  BOOST_TEST(rc::check([] {
    RetryBudget budget;
    Time now = kStart;
    double requests = 0;
    double retries = 0;
    const auto steps = *rc::gen::container<std::vector<std::uint16_t>>(
        500, rc::gen::arbitrary<std::uint16_t>());
    for (const std::uint16_t step : steps) {
      now += milliseconds(step / 8 % 50);
      if (step % 8 < 3) {
        budget.OnRequest(now);
        requests += 1;
      } else {
        const bool available = budget.CanRetry(now);
        RC_ASSERT(budget.TryAcquire(now) == available);
        retries += available ? 1 : 0;
      }
      RC_ASSERT(retries <=
                kRetryTokensPerRequest * requests + kRetryFloorTokens +
                    kRetryFloorTokensPerSecond * ToSeconds(now - kStart) +
                    1e-6);
    }
  }));
}

// Guards against a system with few requests that can never retry, and against
// unbounded credit after a long time without retries.
BOOST_AUTO_TEST_CASE(BudgetRefillsToItsFloorAndStopsAtItsCapacity) {
  RetryBudget budget;
  Time now = kStart;
  while (budget.TryAcquire(now)) {
  }
  now += seconds(3600);
  int retries = 0;
  while (budget.TryAcquire(now)) {
    retries += 1;
  }
  BOOST_TEST(retries == 3);
  for (int i = 0; i < 100000; ++i) {
    budget.OnRequest(now);
  }
  retries = 0;
  while (budget.TryAcquire(now)) {
    retries += 1;
  }
  BOOST_TEST(retries == 50);
}

}  // namespace
}  // namespace kch::route
