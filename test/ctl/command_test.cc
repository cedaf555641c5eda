#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "ctl/ctl.h"

namespace kch::ctl {
namespace {

using Words = std::vector<std::string>;

Words Split(const std::string& line) {
  Words words;
  std::size_t begin = 0;
  while (begin < line.size()) {
    const std::size_t end = std::min(line.find(' ', begin), line.size());
    words.push_back(line.substr(begin, end - begin));
    begin = end + 1;
  }
  return words;
}

Result<Command> Parse(const std::string& line, const CommandFlags& flags = {}) {
  return ParseCommand(Split(line), flags);
}

// Guards against a command that is read as another one.
BOOST_AUTO_TEST_CASE(EveryCommandIsRead) {
  const auto list = [](ListKind kind) { return Command(ShowList{kind}); };
  const auto change = [](config::Change inner) {
    return Command(SendChange{std::move(inner)});
  };
  struct Case {
    std::string line;
    Command command;
    CommandFlags flags;
  };
  const TeamId team("stalls");
  const ProfileId profile("booking");
  const std::vector<Case> cases{
      {"key grant stalls", GrantKey{team, {}}},
      {"key grant stalls", GrantKey{team, KeyId("k1")}, {.id = "k1"}},
      {"key withdraw k1", change(config::WithdrawKey{KeyId("k1")})},
      {"key list", list(ListKind::kKeys)},
      {"team set stalls",
       EditObject{EditKind::kTeam, "stalls", {{"weight", "3"}, {"limit", "9"}}},
       {.weight = "3", .limit = "9"}},
      {"team remove stalls", change(config::RemoveTeam{team})},
      {"team list", list(ListKind::kTeams)},
      {"profile set booking pool=sketch open=true",
       EditObject{EditKind::kProfile,
                  "booking",
                  {{"pool", "sketch"}, {"open", "true"}}}},
      {"profile remove booking", change(config::RemoveProfile{profile})},
      {"profile list", list(ListKind::kProfiles)},
      {"profile show booking", ShowProfile{profile}},
      {"pool set sketch", EditObject{EditKind::kPool, "sketch", {}}},
      {"pool list", list(ListKind::kPools)},
      {"zone out suva", SetZoneService{ZoneId("suva"), false}},
      {"zone in suva", SetZoneService{ZoneId("suva"), true}},
      {"zone list", list(ListKind::kZones)},
      {"instance list", list(ListKind::kInstances)},
      {"instance retire Entry.1", RetireInstance{InstanceId("Entry.1"), {}}},
      {"instance retire e1 7", RetireInstance{InstanceId("e1"), 7}},
      {"status", list(ListKind::kStatus)},
      {"explain stalls/r1", Explain{"stalls/r1"}},
      {"config", list(ListKind::kConfig)},
      {"drain v1", SendOrder{.kind = OrderKind::kDrain, .vm = VmId("v1")}},
      {"reboot v1",
       SendOrder{.kind = OrderKind::kReboot, .vm = VmId("v1"), .reason = "fan"},
       {.reason = "fan"}},
      {"move v1 spare",
       SendOrder{
           .kind = OrderKind::kMove, .vm = VmId("v1"), .to = PoolId("spare")}},
      {"rollout sketch",
       SendOrder{.kind = OrderKind::kRollout, .pool = PoolId("sketch")}},
      {"return v1", SendOrder{.kind = OrderKind::kReturn, .vm = VmId("v1")}},
      {"vm add sketch v1 127.0.0.1:80 suva r1 slots=4 memory_mb=131072",
       AddVm{.pool = PoolId("sketch"),
             .id = VmId("v1"),
             .address = "127.0.0.1:80",
             .zone = ZoneId("suva"),
             .rack = RackId("r1"),
             .slots = 4,
             .memory_mb = 131072}},
      {"orders", list(ListKind::kOrders)},
      {"help", ShowHelp{}}};
  for (const Case& item : cases) {
    const auto command = Parse(item.line, item.flags);
    BOOST_TEST_CONTEXT(item.line) {
      BOOST_REQUIRE(command.has_value());
      BOOST_TEST((*command == item.command));
    }
  }
}

// Guards against wrong arguments that are sent, and against errors that do not
// name the argument, the value and what is allowed.
BOOST_AUTO_TEST_CASE(BadArgumentsAreNamed) {
  struct Case {
    std::string line;
    std::vector<std::string> mentions;
    CommandFlags flags;
  };
  const std::vector<Case> cases{
      {"", {"''", "allowed", "key, team"}},
      {"key", {"'key'", "key grant, key withdraw, key list"}},
      {"zone away suva", {"'zone away'", "zone out"}},
      {"explode", {"'explode'", "status", "rollout"}},
      {"key grant", {"key grant", "0 arguments", "TEAM"}},
      {"status now", {"1 argument,", "kchctl status"}},
      {"key grant Stalls", {"TEAM", "'Stalls'", "a-z"}},
      {"key grant stalls", {"--id", "'-x'", "a-z"}, {.id = "-x"}},
      {"key grant stalls", {"--change-id", "'c1'"}, {.change_id = "c1"}},
      {"zone out suva", {"--change-id", "'a b'"}, {.change_id = "a b"}},
      {"zone out suva", {"--weight", "'3'", "zone out"}, {.weight = "3"}},
      {"team set stalls", {"--weight", "--limit"}},
      {"team set stalls", {"--weight", "0", "1 to 10000"}, {.weight = "0"}},
      {"team set stalls", {"--limit", "-1", "0 to"}, {.limit = "-1"}},
      {"profile set booking capacity", {"key=value", "'capacity'"}},
      {"profile set booking size=3", {"size=3", "deadline_ms"}},
      {"profile set booking id=other", {"id=other", "capacity"}},
      {"profile set booking open=yes", {"open", "yes", "true, false"}},
      {"profile set booking on_drain=run", {"on_drain", "run", "throttle"}},
      {"profile set booking capacity=1 capacity=2", {"capacity=2", "once"}},
      {"profile set booking deadline_ms=5", {"deadline_ms", "100 to"}},
      {"pool set sketch max_unavailable=x", {"max_unavailable", "x"}},
      {"instance retire e1 0", {"INCARNATION", "'0'", "from 1"}},
      {"vm add p v 127.0.0.1 z r", {"HOST:PORT", "'127.0.0.1'"}},
      {"vm add p v 127.0.0.1:80 z r slots=0", {"slots", "'0'", "from 1"}},
      {"vm add p v 127.0.0.1:80 z r disks=2", {"disks=2", "memory_mb="}},
  };
  for (const Case& item : cases) {
    const auto command = Parse(item.line, item.flags);
    BOOST_TEST_CONTEXT("command '" << item.line << "'") {
      BOOST_REQUIRE(!command.has_value());
      BOOST_TEST((command.error().kind == ErrorKind::kInvalid));
      BOOST_TEST(!command.error().remedy.empty());
      for (const std::string& mention : item.mentions) {
        BOOST_TEST(command.error().message.find(mention) != std::string::npos,
                   command.error().message << " lacks " << mention);
      }
    }
  }
}

// Guards against a command that asks for servers it does not call.
BOOST_AUTO_TEST_CASE(CommandsNeedTheirServers) {
  const auto needs = [](const std::string& line) {
    const Command command = Parse(line).value();
    return std::pair(NeedsEntries(command), NeedsMaintain(command));
  };
  BOOST_TEST((needs("status") == std::pair(true, false)));
  BOOST_TEST((needs("zone out suva") == std::pair(true, false)));
  BOOST_TEST((needs("orders") == std::pair(false, true)));
  BOOST_TEST((needs("rollout sketch") == std::pair(false, true)));
  BOOST_TEST((needs("drain v1") == std::pair(true, true)));
  BOOST_TEST((needs("help") == std::pair(false, false)));
}

// Guards against a command that works but is missing from the help.
BOOST_AUTO_TEST_CASE(HelpListsCommands) {
  const std::string help = CommandHelp();
  for (const char* line :
       {"key grant TEAM [--id ID]", "orders", "move VM POOL"}) {
    BOOST_TEST(help.find(std::string("kchctl ") + line) != std::string::npos);
  }
}

}  // namespace
}  // namespace kch::ctl
