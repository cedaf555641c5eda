#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "test/process/fleet_soak.h"

namespace kch::test {
namespace {

// Plays the seeds from `first` to `last`, or those that the environment names
// as FIRST-LAST.
void Soak(const char* variable,
          std::uint64_t first,
          std::uint64_t last,
          FleetSoak::Profile (*profile)(std::uint64_t seed)) {
  if (const char* range = std::getenv(variable)) {
    char* rest = nullptr;
    first = std::strtoull(range, &rest, 10);
    last = *rest == '-' ? std::strtoull(rest + 1, &rest, 10) : first;
    BOOST_REQUIRE_MESSAGE(*rest == '\0' && first > 0 && first <= last,
                          variable << " must be FIRST-LAST, not " << range);
  }
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      FleetSoak soak(seed, profile(seed));
      soak.Run();
      soak.Check();
    }
  }
}

// Guards against work that is lost or repeated under faults that overlap.
// KCH_SOAK_SEEDS=FIRST-LAST sets the seeds of a long run.
BOOST_AUTO_TEST_CASE(OverlappingFaultsLoseAndRepeatNothing) {
  Soak("KCH_SOAK_SEEDS", 2, 3, &FleetSoak::OverlappingFaults);
}

// Guards against two runs of a task at once when the fleet changes hands beside
// VMs that some processes do not reach (issue 48).
// KCH_HANDOVER_SEEDS=FIRST-LAST sets the seeds of a long run.
BOOST_AUTO_TEST_CASE(HandOversRepeatNothing) {
  Soak("KCH_HANDOVER_SEEDS", 1, 1, &FleetSoak::HandOvers);
}

// Guards against two runs of a task at once when an earlier owner owns the
// fleet again while its runs go on and configurations move queues (issue 54).
// KCH_RETURN_SEEDS=FIRST-LAST sets the seeds of a long run.
BOOST_AUTO_TEST_CASE(ReturningOwnersRepeatNothing) {
  Soak("KCH_RETURN_SEEDS", 1, 1, &FleetSoak::ReturningOwners);
}

}  // namespace
}  // namespace kch::test
