#include <sys/wait.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <mutex>

#include "permit/permit.h"
#include "test/process/callers.h"

namespace kch::test {
namespace {

using load::Outcome;
using nlohmann::json;

constexpr std::int64_t kSecondUs = 1'000'000;
// The design promises "a few seconds"; this is the bound that is tested.
constexpr std::int64_t kInForceUs = 4 * kSecondUs;

bool HasStartAfter(Fleet& fleet, const std::string& team, std::int64_t after) {
  const std::vector<Event> events = fleet.Events();
  return std::ranges::any_of(events, [&](const Event& event) {
    return event.start && event.team == team && event.wall_us > after;
  });
}

// Guards against requests lost or run twice when the scheduler of their pool
// dies, and against tasks that end because nobody renews their leases.
BOOST_AUTO_TEST_CASE(KilledSchedulerLosesNothing) {
  std::mutex mutex;  // outlives the client thread that fills the results
  std::vector<net::HttpResult> long_results;
  Fleet fleet({.task_lease_ms = 10'000, .longest_lease_ms = 10'000});
  const std::size_t scheduler = fleet.Scheduler();
  Callers callers(fleet);
  callers.Start({.team = "blue", .unrepeatable_percent = 50});
  callers.Start({.team = "red", .run_ms = 20, .unrepeatable_percent = 50});
  // Outlasts its lease by far, so it ends well only if the lease is renewed.
  for (std::size_t entry = 0; entry < 3; ++entry) {
    if (entry != scheduler) {
      fleet.Send({.entry = entry,
                  .id = "long-" + std::to_string(entry),
                  .run_ms = 25'000},
                 [&](net::HttpResult result) {
                   const std::lock_guard lock(mutex);
                   long_results.push_back(std::move(result));
                 });
    }
  }
  fleet.WaitFor("starts of the long tasks", [&] {
    const std::vector<Event> events = fleet.Events();
    return std::ranges::count_if(events, [](const Event& event) {
             return event.start && event.echo.starts_with("long-");
           }) == 2;
  });
  callers.WaitForDone(30);

  callers.Avoid(scheduler);
  fleet.Signal(scheduler, SIGKILL);
  const int status = fleet.WaitForExit(scheduler);
  BOOST_TEST(WIFSIGNALED(status));
  fleet.RemoveEntryVm(scheduler);
  callers.WaitForDone(30);
  fleet.WaitFor("answers to the long tasks", [&] {
    const std::lock_guard lock(mutex);
    return long_results.size() == 2;
  });
  callers.Stop();
  callers.Check({scheduler});
  for (const net::HttpResult& result : long_results) {
    BOOST_TEST((load::ParseAnswer(result.body).outcome == Outcome::kDone),
               result.body);
  }
  int starts = 0;
  for (const Event& event : fleet.Events()) {
    if (event.echo.starts_with("long-")) {
      starts += event.start ? 1 : 0;
      BOOST_TEST((event.start || event.outcome == "done"), event.outcome);
    }
  }
  BOOST_TEST(starts == 2);
}

// Guards against an entry that resumes after a pause and starts work under a
// configuration that operators have replaced meanwhile.
BOOST_AUTO_TEST_CASE(ResumedEntryKeepsToNewConfiguration) {
  Fleet fleet({.targets = 3});
  const std::size_t paused = fleet.Scheduler();
  const std::size_t other = (paused + 1) % 3;
  Callers callers(fleet);
  // More than the slots, so that the paused scheduler has a queue of both.
  callers.Start({.team = "red", .callers_per_entry = 8});
  callers.Start({.team = "blue", .callers_per_entry = 6});
  callers.WaitForDone(20);

  fleet.Signal(paused, SIGSTOP);
  fleet.Accept(other, {{"type", "withdraw_key"}, {"id", "red"}});
  const std::int64_t withdrawn_us = WallUs();
  fleet.Accept(other, SetZone("z2", false));
  const std::int64_t left_us = WallUs();
  // Resumed only after the bound: any start from the old state then counts.
  fleet.WaitFor("starts at the other entries", [&] {
    return HasStartAfter(fleet, "blue", left_us + kInForceUs);
  });
  fleet.Signal(paused, SIGCONT);
  fleet.WaitFor("starts of the resumed entry's callers", [&] {
    return fleet.Report(paused, "status").value("fresh", false);
  });
  callers.WaitForDone(20);
  callers.Stop();
  callers.Check();

  std::size_t late = 0;
  for (const Event& event : fleet.Events()) {
    if (!event.start) {
      continue;
    }
    if (event.wall_us > withdrawn_us + kInForceUs) {
      ++late;
      BOOST_TEST(event.team != "red", "started " << event.echo << " "
                                                 << event.wall_us - withdrawn_us
                                                 << " us after withdrawal");
    }
    if (event.wall_us > left_us + kInForceUs) {
      BOOST_TEST(event.target != 1U, "started " << event.echo << " "
                                                << event.wall_us - left_us
                                                << " us after the zone left");
    }
  }
  BOOST_TEST(late > 0U);
}

// Guards against a shutdown that breaks connections, answers falsely or keeps
// permits that nobody can use any more.
BOOST_AUTO_TEST_CASE(StoppedEntryInterruptsNothing) {
  Fleet fleet({});
  const std::size_t stopped = fleet.Scheduler();
  Callers callers(fleet);
  callers.Start({.team = "blue", .unrepeatable_percent = 30});
  callers.Start({.team = "red", .run_ms = 400, .unrepeatable_percent = 30});
  callers.WaitForDone(30);

  fleet.Signal(stopped, SIGTERM);
  // Plays the load balancer, which stops sending once the probe fails.
  fleet.WaitFor("the probe of the stopped entry to fail", [&] {
    return !fleet.Call("GET", fleet.entry_address(stopped), "/ready").Success();
  });
  callers.Avoid(stopped);
  const int status = fleet.WaitForExit(stopped);
  BOOST_TEST(WIFEXITED(status));
  BOOST_TEST(WEXITSTATUS(status) == 0);
  callers.WaitForDone(30);
  callers.Stop();
  callers.Check();
  BOOST_TEST(callers.Count(Outcome::kFailed) == 0U);
  BOOST_TEST(callers.Count(Outcome::kUnknown) == 0U);

  const std::string name = "e" + std::to_string(stopped);
  for (const std::string team : {"blue", "red"}) {
    const auto record =
        permit::Decode<permit::Record>(fleet.Record("permit/team/" + team));
    BOOST_REQUIRE(record.has_value());
    for (const permit::Holding& holding : record->holdings) {
      BOOST_TEST((holding.holder.instance.str() != name || holding.count == 0),
                 name << " keeps " << holding.count << " permits of " << team);
    }
  }
}

}  // namespace
}  // namespace kch::test
