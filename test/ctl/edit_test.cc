#include "ctl/edit.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace kch::ctl {
namespace {

using nlohmann::json;

config::State TestState() {
  config::State state;
  state.profiles[ProfileId("booking")] = {{.id = ProfileId("booking"),
                                           .pool = PoolId("sketch"),
                                           .urgent = true,
                                           .capacity = 7},
                                          6};
  state.zones[ZoneId("suva")] = {{ZoneId("suva"), true}, 7};
  return state;
}

Reports InstanceReport(const std::string& state) {
  json row{{"instance", "e1"},
           {"incarnation", 17},
           {"state", state},
           {"zone", "nadi"}};
  return {{{"instances", json::array({row})}}};
}

// Guards against an edit that resets fields it does not name, or that
// overwrites a change made in between.
BOOST_AUTO_TEST_CASE(EditKeepsOtherFields) {
  const auto proposal = ProposeEdit(
      {EditKind::kProfile, "booking", {{"capacity", "9"}, {"urgent", "false"}}},
      TestState());
  BOOST_REQUIRE(proposal.has_value());
  BOOST_TEST((proposal->change ==
              config::Change(config::PutProfile{{.id = ProfileId("booking"),
                                                 .pool = PoolId("sketch"),
                                                 .capacity = 9}})));
  BOOST_TEST(proposal->expected_revision.value() == 6U);
}

// Guards against a misspelt name that creates an object.
BOOST_AUTO_TEST_CASE(NewObjectsNeedTheirMainFields) {
  const config::State state = TestState();
  BOOST_TEST(
      !ProposeEdit({EditKind::kProfile, "bokking", {{"capacity", "9"}}}, state)
           .has_value());
  BOOST_TEST(
      !ProposeEdit({EditKind::kTeam, "stals", {{"weight", "9"}}}, state));
  const auto created = ProposeEdit(
      {EditKind::kTeam, "stalls", {{"weight", "9"}, {"limit", "4"}}}, state);
  BOOST_REQUIRE(created.has_value());
  BOOST_TEST(created->expected_revision.value() == 0U);
  BOOST_TEST(ProposeEdit({EditKind::kPool, "sketch", {}}, state).has_value());
}

// Guards against a misspelt zone that is created while the right one stays in
// service, and against a conflict that delays an emergency.
BOOST_AUTO_TEST_CASE(ZoneMustBeKnown) {
  const config::State state = TestState();
  const Reports reports = InstanceReport("self");
  const auto out = ProposeZone({ZoneId("suva"), false}, state, {});
  BOOST_REQUIRE(out.has_value());
  BOOST_TEST((out->change ==
              config::Change(config::SetZone{{ZoneId("suva"), false}})));
  BOOST_TEST(!out->expected_revision.has_value());
  BOOST_TEST(ProposeZone({ZoneId("nadi"), false}, state, reports).has_value());
  const auto wrong = ProposeZone({ZoneId("nady"), false}, state, reports);
  BOOST_REQUIRE(!wrong.has_value());
  BOOST_TEST(wrong.error().remedy == "known zones are nadi, suva");
}

// Guards against the retirement of an instance that still runs, whose permits
// would then be held twice.
BOOST_AUTO_TEST_CASE(RunningInstanceIsNotRetired) {
  const InstanceId e1("e1");
  for (const char* state : {"self", "connected", "silent"}) {
    const Reports reports = InstanceReport(state);
    BOOST_TEST(!ProposeRetirement({e1, {}}, reports).has_value());
    BOOST_TEST(!ProposeRetirement({e1, 17}, reports).has_value());
    BOOST_TEST(ProposeRetirement({e1, 16}, reports).has_value());
  }
  const auto retired = ProposeRetirement({e1, {}}, InstanceReport("down"));
  BOOST_REQUIRE(retired.has_value());
  BOOST_TEST(
      (retired->change == config::Change(config::RetireInstance{{e1, 17}})));
  BOOST_TEST(!ProposeRetirement({e1, {}}, {}).has_value());
  BOOST_TEST(ProposeRetirement({e1, 3}, {}).has_value());
}

// Guards against a key that entries do not accept, and against a secret that
// is sent.
BOOST_AUTO_TEST_CASE(KeyMatchesItsHash) {
  std::string random(kKeyRandomBytes, '\x7f');
  const NewKey key = MakeKey({TeamId(std::string(48, 't')), {}}, random);
  BOOST_TEST(key.key.id.str().size() == config::kMaxNameLength);
  BOOST_TEST((config::KeyIdOf(key.text) == key.key.id));
  BOOST_TEST(key.key.secret_sha256 == config::HashSecret(key.text));
  BOOST_TEST(config::Validate(config::GrantKey{key.key}).has_value());
  const std::string secret = key.text.substr(key.key.id.str().size() + 1);
  BOOST_TEST(secret.size() == 64U);
  const std::string body =
      EncodeProposal({.change_id = "c1", .change = config::GrantKey{key.key}});
  BOOST_TEST(body.find(secret) == std::string::npos);
  BOOST_TEST(
      (MakeKey({TeamId("t"), KeyId("mine")}, random).key.id == KeyId("mine")));
}

// Guards against bodies that the servers do not read.
BOOST_AUTO_TEST_CASE(BodiesHaveTheInterfacesFields) {
  const json change =
      json::parse(EncodeProposal({.change_id = "c1",
                                  .change = config::RemoveTeam{TeamId("t")},
                                  .expected_revision = 0}));
  BOOST_TEST(change ==
             (json{{"id", "c1"},
                   {"expected_revision", 0},
                   {"change", {{"type", "remove_team"}, {"id", "t"}}}}));
  const json order = json::parse(EncodeOrder({.kind = OrderKind::kMove,
                                              .vm = VmId("v1"),
                                              .pool = PoolId("a"),
                                              .to = PoolId("b")},
                                             "o1"));
  BOOST_TEST(order == (json{{"id", "o1"},
                            {"kind", "move"},
                            {"pool", "a"},
                            {"vm", "v1"},
                            {"to", "b"},
                            {"reason", ""}}));
  const json vm = json::parse(EncodeVm(
      {.pool = PoolId("a"), .id = VmId("v1"), .address = "127.0.0.1:80"}));
  BOOST_TEST(vm.size() == 20U);
  BOOST_TEST(vm["pool"] == "a");
  BOOST_TEST(vm["slots"] == 8);
  BOOST_TEST(EncodeQuery("stalls/r 1&x=\xc3") == "stalls%2fr%201%26x%3d%c3");
}

}  // namespace
}  // namespace kch::ctl
