#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <future>

#include "test/process/callers.h"

namespace kch::test {
namespace {

using load::Outcome;
using nlohmann::json;

bool HasZone(const json& config, const std::string& zone) {
  return std::ranges::any_of(
      config["zones"], [&](const json& row) { return row["id"] == zone; });
}

// Every entry must come to have the zone.
void WaitForZone(Fleet& fleet, const std::string& zone) {
  for (std::size_t i = 0; i < fleet.options().entries; ++i) {
    fleet.WaitFor(zone + " at entry " + std::to_string(i), [&] {
      const json config = fleet.Report(i, "config");
      return !config.is_null() && HasZone(config, zone);
    });
  }
}

// Guards against a fleet that stops when the store does, against unrepeatable
// requests that run without a claim, and against false answers to operators.
BOOST_AUTO_TEST_CASE(WorkGoesOnWhileStoreIsDown) {
  Fleet fleet({});
  Callers callers(fleet);
  callers.Start({.team = "blue"});
  callers.Start({.team = "red"});
  callers.WaitForDone(30);
  for (const std::string outage : {"refuse", "hang"}) {
    fleet.FaultPlatform({{"down", outage}});
    for (std::size_t entry = 0; entry < 3; ++entry) {
      const std::string id = outage + "-" + std::to_string(entry);
      const auto answer = load::ParseAnswer(
          fleet.Submit({.entry = entry, .id = id, .repeatable = false}).body);
      BOOST_TEST((answer.outcome == Outcome::kNotRun), NameOf(answer.outcome));
      BOOST_TEST(answer.reason == "store_unavailable");
    }
    const std::string zone = "z-" + outage;
    const auto refused = fleet.Change(0, SetZone(zone, true), zone);
    BOOST_TEST((refused.code == 503 || refused.code == 504),
               refused.code << " " << refused.body << refused.error);
    callers.WaitForDone(50);
    fleet.FaultPlatform({{"clear", true}});
    // The same id finds out and makes the change if it did not take effect.
    fleet.WaitFor("the change after the outage", [&] {
      return fleet.Change(0, SetZone(zone, true), zone).code == 200;
    });
    WaitForZone(fleet, zone);
    fleet.WaitFor("a claim after the outage", [&] {
      const auto answer = load::ParseAnswer(
          fleet.Submit({.id = "after-" + outage, .repeatable = false}).body);
      return answer.outcome == Outcome::kDone;
    });
  }
  callers.Stop();
  callers.Check();
  for (const Event& event : fleet.Events()) {
    BOOST_TEST(!event.echo.starts_with("refuse-"), event.echo << " ran");
    BOOST_TEST(!event.echo.starts_with("hang-"), event.echo << " ran");
  }
}

// Guards against a slow store that stops work or loses changes.
BOOST_AUTO_TEST_CASE(WorkGoesOnWhileStoreIsSlow) {
  Fleet fleet({});
  fleet.FaultPlatform({{"slow_ms", 400}});
  Callers callers(fleet);
  callers.Start({.team = "blue", .unrepeatable_percent = 20});
  callers.Start({.team = "red"});
  callers.WaitForDone(30);
  for (int i = 0; i < 3; ++i) {
    const std::string zone = "slow-" + std::to_string(i);
    fleet.WaitFor("an accepted change", [&] {
      return fleet
                 .Change(static_cast<std::size_t>(i), SetZone(zone, true), zone)
                 .code == 200;
    });
    WaitForZone(fleet, zone);
  }
  callers.Stop();
  callers.Check();
}

// Guards against writes that took effect but whose reply was lost: they must
// not be made twice, forgotten, or reported as refused.
BOOST_AUTO_TEST_CASE(LostRepliesLoseNothing) {
  Fleet fleet({});
  Callers callers(fleet);
  callers.Start({.team = "blue", .unrepeatable_percent = 30});
  callers.Start({.team = "red", .unrepeatable_percent = 30});
  callers.WaitForDone(20);
  fleet.FaultPlatform({{"lose_percent", 30}, {"lose_status", 500}});
  for (int i = 0; i < 12; ++i) {
    const std::string zone = "lost-" + std::to_string(i);
    const auto entry = static_cast<std::size_t>(i) % 3;
    bool accepted = false;
    fleet.WaitFor("an accepted change", [&] {
      const auto result = fleet.Change(entry, SetZone(zone, true), zone);
      accepted = result.code == 200;
      BOOST_TEST((accepted || result.code == 503 || result.code == 504),
                 result.code << " " << result.body << result.error);
      return accepted;
    });
  }
  callers.WaitForDone(30);
  fleet.FaultPlatform({{"clear", true}});
  for (int i = 0; i < 12; ++i) {
    WaitForZone(fleet, "lost-" + std::to_string(i));
  }
  // Each change was made once: the revision counts them.
  json last = fleet.Report(0, "config");
  const std::uint64_t before = last["revision"];
  BOOST_TEST(fleet.Accept(1, SetZone("last", true)) == before + 1);
  callers.Stop();
  callers.Check();
}

// Guards against operators who overwrite each other's changes unseen.
BOOST_AUTO_TEST_CASE(OneOfTwoRacingOperatorsWins) {
  Fleet fleet({});
  for (int round = 0; round < 20; ++round) {
    const json config = fleet.Report(0, "config");
    json revision;
    for (const json& team : config["teams"]) {
      if (team["id"] == "blue") {
        revision = team["revision"];
      }
    }
    std::vector<std::future<net::HttpResult>> pending;
    for (std::size_t i = 0; i < 2; ++i) {
      pending.push_back(std::async(std::launch::async, [&, i] {
        return fleet.Change(i, PutTeam("blue", 10 * round + 2 + i, 100),
                            std::to_string(round) + "-" + std::to_string(i),
                            revision);
      }));
    }
    std::vector<net::HttpResult> results;
    results.reserve(pending.size());
    for (auto& result : pending) {
      results.push_back(result.get());
    }
    const std::size_t winner = results[0].code == 200 ? 0 : 1;
    const net::HttpResult& won = results[winner];
    const net::HttpResult& lost = results[1 - winner];
    BOOST_REQUIRE_MESSAGE(
        won.code == 200 && lost.code == 409,
        won.code << " " << won.body << ", " << lost.code << " " << lost.body);
    const json conflict = json::parse(lost.body);
    BOOST_TEST(conflict["current"]["weight"].get<std::size_t>() ==
               10 * round + 2 + winner);
    BOOST_TEST((conflict["revision"] == json::parse(won.body)["revision"]));
    fleet.WaitFor("the winner's change at entry 0", [&] {
      return fleet.Report(0, "config")["revision"] >=
             json::parse(won.body)["revision"];
    });
  }
}

}  // namespace
}  // namespace kch::test
