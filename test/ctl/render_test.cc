#include "ctl/render.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace kch::ctl {
namespace {

using nlohmann::json;

config::State TestState() {
  config::State state;
  state.revision = 9;
  state.teams[config::OpenTeam()] = {{config::OpenTeam(), 1, 64}, 0};
  state.teams[TeamId("stalls")] = {{TeamId("stalls"), 3, 40}, 4};
  state.pools[PoolId("sketch")] = {{.id = PoolId("sketch")}, 5};
  state.profiles[ProfileId("booking")] = {
      {.id = ProfileId("booking"), .pool = PoolId("sketch"), .capacity = 7}, 6};
  state.zones[ZoneId("suva")] = {{ZoneId("suva"), false}, 7};
  state.keys[KeyId("k1")] = {{KeyId("k1"), TeamId("stalls"), "ab"}, 8};
  return state;
}

json Report(const std::string& instance, int running, double share) {
  json vm{{"vm", "v1"}, {"zone", "nadi"}, {"running", running}};
  json team{{"running", running}, {"waiting", 2}, {"share", share}};
  json pool{
      {"pool", "sketch"},         {"scheduler", "e1"},          {"slots", 8},
      {"free", 8 - running},      {"running", running},         {"waiting", 2},
      {"vms", json::array({vm})}, {"teams", {{"stalls", team}}}};
  json limit{{"kind", "team"}, {"name", "stalls"}, {"excess", running}};
  json row{{"instance", "e1"}, {"incarnation", 17}, {"state", "connected"},
           {"zone", "suva"},   {"revision", 9},     {"draining", false}};
  json other{{"instance", "e2"}, {"incarnation", 5}, {"state", "down"},
             {"zone", "nadi"},   {"revision", 8},    {"draining", true}};
  return {{"instance", instance},
          {"pools", json::array({pool})},
          {"limits", json::array({limit})},
          {"instances", json::array({row, other})}};
}

// Guards against columns that do not line up, and against terminal control
// characters from other processes.
BOOST_AUTO_TEST_CASE(TablesAreAlignedAscii) {
  BOOST_TEST(Table({{"NAME", "N"}, {"a", "5"}, {"longer", "10"}}) ==
             "NAME     N\na        5\nlonger  10\n");
  BOOST_TEST(CellOf(json("\x1b[2J\xc3\xa9")) == "?[2J??");
  BOOST_TEST(CellOf(json("")) == "-");
  BOOST_TEST(CellOf(json(0.256)) == "0.26");
}

// Guards against counts from an entry that does not schedule the pool, and
// against limits' excess that is added up over entries.
BOOST_AUTO_TEST_CASE(TeamsAreSummedOverEntries) {
  const Reports reports{Report("e2", 1, 0.9), Report("e1", 4, 0.25)};
  BOOST_TEST(RenderTeams(TestState(), reports) ==
             "TEAM    WEIGHT  LIMIT  RUNNING  WAITING  SHARE  EXCESS\n"
             "open         1     64        0        0      -       0\n"
             "stalls       3     40        5        4    25%       4\n");
  BOOST_TEST(RenderPools(TestState(), reports) ==
             "POOL    SPARE  MAX_OUT  PER_ZONE  PER_RACK  VMS  SLOTS  FREE  "
             "RUNNING  WAITING  SCHEDULER\n"
             "sketch  no           1         1         1    1      8     4  "
             "      4        2  e1\n");
  BOOST_TEST(MissingReports(reports).empty());
  BOOST_TEST(MissingReports({Report("e2", 1, 0.9)}).size() == 1U);
  BOOST_TEST(DistinctReports({reports[0], reports[1], reports[0]}).size() ==
             2U);
}

// Guards against lists that lose objects or their values.
BOOST_AUTO_TEST_CASE(ConfigurationIsRendered) {
  const config::State state = TestState();
  BOOST_TEST(RenderKeys(state) ==
             "KEY  TEAM    REVISION\n"
             "k1   stalls         8\n");
  BOOST_TEST(RenderZones(state, {Report("e1", 4, 1)}) ==
             "ZONE  IN_SERVICE  CONFIGURED  INSTANCES  VMS  RUNNING\n"
             "nadi  yes         no                  1    1        4\n"
             "suva  no          yes                 1    0        0\n");
  BOOST_TEST(
      RenderInstances({Report("e1", 4, 1)}) ==
      "INSTANCE  STATE      REVISION  DRAINING  VM  ZONE  INCARNATION\n"
      "e1        connected         9  no         -  suva           17\n"
      "e2        down              8  yes        -  nadi            5\n");
  const auto profile = RenderProfile(state, ProfileId("booking"));
  BOOST_REQUIRE(profile.has_value());
  BOOST_TEST(profile->find("capacity       7\n") != std::string::npos);
  BOOST_TEST(profile->find("revision       6\n") != std::string::npos);
  BOOST_TEST(!RenderProfile(state, ProfileId("none")).has_value());
  const std::string all = RenderConfig(state);
  for (const char* part : {"revision 9\n", "stalls", "booking", "sketch",
                           "suva", "k1", "RETIRED"}) {
    BOOST_TEST(all.find(part) != std::string::npos, part);
  }
  BOOST_TEST(all.find("ab") == std::string::npos);
}

// Guards against a report of another form that ends the program.
BOOST_AUTO_TEST_CASE(UnknownFormsAreRendered) {
  for (const json& odd :
       {json(nullptr), json(3), json::array({1, "x"}), json{{"pools", 5}},
        json{{"pools", {{"a", 1}}}, {"instances", "x"}, {"limits", {1}}}}) {
    const Reports reports{odd};
    BOOST_TEST(!RenderStatus(reports).empty());
    BOOST_TEST(!RenderTeams(TestState(), reports).empty());
    BOOST_TEST(!RenderZones(TestState(), reports).empty());
    BOOST_TEST(!RenderJson(odd).empty());
    BOOST_TEST(!ForceOf(odd).has_value());
  }
}

// Guards against a finished copy of a request that hides the running one.
BOOST_AUTO_TEST_CASE(ExplainPrefersUnfinishedWork) {
  const json finished{{"entry", "a:1"}, {"request", {{"state", "finished"}}}};
  const json running{{"entry", "b:1"}, {"request", {{"state", "running"}}}};
  const auto text = RenderExplain("t/r", {finished, running});
  BOOST_REQUIRE(text.has_value());
  BOOST_TEST(*text == "state  running\n");
  const auto vm = RenderExplain(
      "v1", {{{"entry", "a:1"},
              {"vm", {{"vm", "v1"}, {"pool", "sketch"}, {"running", 2}}}}});
  BOOST_REQUIRE(vm.has_value());
  BOOST_TEST(vm->starts_with("pool  sketch\nvm    v1\n\nENTRY"));
  const auto none = RenderExplain("v2", {json{{"found", false}}});
  BOOST_TEST((none.error().kind == ErrorKind::kNotFound));
}

// Guards against an unknown answer of a maintainer that is not shown.
BOOST_AUTO_TEST_CASE(AnyJsonIsRendered) {
  BOOST_TEST(
      RenderJson(
          json{{"pool", "sketch"},
               {"orders", json::array({{{"vm", "v1"}, {"purpose", "drain"}}})},
               {"names", {"a", "b"}}}) ==
      "names  a b\n"
      "pool   sketch\n"
      "orders:\n"
      "  VM  PURPOSE\n"
      "  v1  drain\n");
}

// Guards against a wait that ends while an instance, even one that is down,
// has not reported the revision.
BOOST_AUTO_TEST_CASE(PendingInstancesAreNamed) {
  const auto answered = ForceOf(json{{"accepted", true},
                                     {"revision", 9U},
                                     {"in_force", {"e1"}},
                                     {"pending", json::array()}});
  BOOST_REQUIRE(answered.has_value());
  BOOST_TEST(RenderForce(*answered) ==
             "accepted as revision 9\nin force  e1\npending   -\n");
  BOOST_TEST(RenderForce(ForceIn(Report("e1", 0, 0), 9)) ==
             "accepted as revision 9\nin force  e1\npending   e2\n");
  BOOST_TEST(!ForceOf(json{{"revision", 9U}}).has_value());
}

// Guards against a conflict that does not show the newer value.
BOOST_AUTO_TEST_CASE(RefusalsAreShown) {
  BOOST_TEST(RenderRefusal(409, R"({"error":"conflict","message":"changed",
                 "remedy":"look","revision":5,"current":{"weight":3}})") ==
             "refused (conflict): changed; look\nvalue at revision 5:\n"
             "  weight  3\n");
  BOOST_TEST(RenderRefusal(409, R"({"error":"conflict","message":"changed",
                 "remedy":"","revision":0,"current":null})") ==
             "refused (conflict): changed\nthere is no such object now\n");
  BOOST_TEST(RenderRefusal(503, "") == "refused: status 503\n");
}

}  // namespace
}  // namespace kch::ctl
