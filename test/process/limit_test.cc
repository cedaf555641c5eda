#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "test/process/callers.h"

namespace kch::test {
namespace {

constexpr std::int64_t kInForceUs = 4'000'000;

// A limit that operators set, and when.
struct LimitChange {
  std::int64_t proposed_us = 0;
  std::int64_t accepted_us = 0;
  int limit = 0;
};

// The most that may run at a time: the limit in force, or one that was replaced
// too recently for all entries to know.
int AllowedAt(const std::vector<LimitChange>& changes, std::int64_t at_us) {
  int allowed = 0;
  for (std::size_t i = 0; i < changes.size(); ++i) {
    const bool replaced = i + 1 < changes.size() &&
                          at_us > changes[i + 1].accepted_us + kInForceUs;
    if (!replaced && changes[i].proposed_us <= at_us) {
      allowed = std::max(allowed, changes[i].limit);
    }
  }
  return allowed;
}

// Guards against a team that has more running over the fleet than its limit,
// because entries count apart or a lowered limit is applied late.
BOOST_AUTO_TEST_CASE(LimitHoldsWhileItChanges) {
  Fleet fleet({.team_limit = 6});
  std::vector<LimitChange> changes{{.limit = 6}};
  Callers callers(fleet);
  callers.Start({.team = "blue", .callers_per_entry = 8});
  callers.Start({.team = "red", .callers_per_entry = 2});
  callers.WaitForDone(20);
  for (const int limit : {2, 9, 4, 1, 12}) {
    const std::int64_t proposed_us = WallUs();
    fleet.Accept(static_cast<std::size_t>(limit) % 3,
                 PutTeam("blue", 1, limit));
    changes.push_back({proposed_us, WallUs(), limit});
    fleet.WaitFor("starts under the new limit", [&] {
      const std::vector<Event> events = fleet.Events();
      return std::ranges::count_if(events, [&](const Event& event) {
               return event.start && event.team == "blue" &&
                      event.wall_us > changes.back().accepted_us + kInForceUs;
             }) >= 10;
    });
  }
  callers.Stop();
  callers.Check();
  int running = 0;
  int most = 0;
  for (const Event& event : fleet.Events()) {
    if (event.team != "blue") {
      continue;
    }
    running += event.start ? 1 : -1;
    most = std::max(most, running);
    const int allowed = AllowedAt(changes, event.wall_us);
    BOOST_TEST(
        (!event.start || running <= allowed),
        event.echo << " started as number " << running << " of " << allowed);
  }
  BOOST_TEST(most >= 9);  // the limit, not the load, was what bound it
}

}  // namespace
}  // namespace kch::test
