#include "config/config.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

namespace kch::config {
namespace {

const std::string kSecret = "key-a.c29tZSByYW5kb20gdGV4dA";

State WithKey() {
  State state;
  Profile queue{ProfileId("queue"), PoolId("pool")};
  Profile open{ProfileId("walk-in"), PoolId("pool"), true};
  for (const Change& change : std::vector<Change>{
           PutTeam{{TeamId("team"), 1, 5}}, PutPool{{PoolId("pool")}},
           PutProfile{queue}, PutProfile{open},
           GrantKey{{KeyId("key-a"), TeamId("team"), HashSecret(kSecret)}}}) {
    BOOST_REQUIRE(Apply(state, change).has_value());
  }
  return state;
}

// Guards against work that is attributed to a team other than that of its key,
// and against a withdrawn key that is still accepted.
BOOST_AUTO_TEST_CASE(KeyDecidesTheTeam) {
  State state = WithKey();
  const ProfileId queue("queue");
  BOOST_TEST(*Authorize(state, kSecret, queue) == TeamId("team"));
  BOOST_TEST(*Authorize(state, "", ProfileId("walk-in")) == OpenTeam());
  BOOST_TEST(!Authorize(state, "", queue).has_value());
  BOOST_TEST(!Authorize(state, "key-a.", queue).has_value());
  BOOST_TEST(!Authorize(state, kSecret + "x", queue).has_value());
  BOOST_TEST(!Authorize(state, "key-b.c29tZSByYW5kb20gdGV4dA", queue));
  BOOST_TEST(!Authorize(state, kSecret, ProfileId("none")).has_value());
  BOOST_TEST(!Authorize(state, "key-a." + std::string(1'000, 'x'), queue));
  BOOST_REQUIRE(Apply(state, WithdrawKey{KeyId("key-a")}).has_value());
  BOOST_TEST(!Authorize(state, kSecret, queue).has_value());
}

// Guards against a secret in an error message, including when it is entered in
// place of its id, its hash or a request.
BOOST_AUTO_TEST_CASE(ErrorsShowNoSecret) {
  const State state = WithKey();
  std::vector<std::string> texts;
  for (const std::string& sent :
       {std::string("key-a.SECRET"), std::string("SECRET"),
        "SECRET" + std::string(300, 'x')}) {
    texts.push_back(Authorize(state, sent, ProfileId("queue")).error().Text());
  }
  for (
      const char* text :
      {R"({"type":"grant_key","id":"a.SECRET","team":"t","secret_sha256":""})",
       R"({"type":"grant_key","id":"a","team":"t","secret_sha256":"SECRET"})",
       R"({"type":"grant_key","id":"a","team":"t","secret_sha256":["SECRET"]})",
       R"({"type":"withdraw_key","id":"a.SECRET"})",
       R"({"type":"grant_key","id":"a","team":"t","secret_sha256":"SECRET)"}) {
    texts.push_back(Decode<Change>(text).error().Text());
  }
  texts.push_back(Validate(GrantKey{{KeyId("a.SECRET"), TeamId("t"), "SECRET"}})
                      .error()
                      .Text());
  for (const std::string& text : texts) {
    BOOST_TEST(text.find("SECRET") == std::string::npos, text);
  }
}

// Guards against an invalid value that is accepted, or rejected without the
// field, the value, the allowed range and the remedy.
BOOST_AUTO_TEST_CASE(InvalidFieldsAreReported) {
  const auto error = [](const char* text) {
    const auto change = Decode<Change>(text);
    return change ? std::string("accepted") : change.error().Text();
  };
  BOOST_TEST(
      error(R"({"type":"put_team","id":"a","weight":0,"limit":1})") ==
      "invalid: weight is 0; allowed: 1 to 10000 (set weight to an allowed "
      "value)");
  const std::vector<std::pair<const char*, const char*>> cases{
      {R"({"type":"put_team","id":"a","weight":1.5,"limit":1})",
       "weight is 1.5"},
      {R"({"type":"put_team","id":"a","weight":1,"limit":-1})", "limit is -1"},
      {R"({"type":"put_team","id":"a","weight":1,"limit":1000001})",
       "limit is 1000001; allowed: 0 to 1000000"},
      {R"({"type":"put_team","id":"A b","weight":1,"limit":1})",
       "id is \"A b\""},
      {R"({"type":"put_team","id":"","weight":1,"limit":1})", "id is \"\""},
      {R"({"type":"put_team","id":"-a","weight":1,"limit":1})", "id is \"-a\""},
      {R"({"type":"put_team","id":"a","weight":1})", "field limit is missing"},
      {R"({"type":"put_team","id":"a","weight":1,"limit":1,"limt":2})",
       "unknown field \"limt\""},
      {R"({"type":"put_tem","id":"a"})", "type is put_tem; allowed: put_team"},
      {R"({"type":"set_zone","id":"a","in_service":1})",
       "in_service is 1; allowed: true, false"},
      {R"({"type":"retire_instance","instance":"a","incarnation":0})",
       "incarnation is 0"},
      {R"([1])", "expected a JSON object"},
      {"{\"type\":\"put_team\",\"id\":\"\xff\",\"weight\":1,\"limit\":1}",
       "not JSON"}};
  for (const auto& [text, expected] : cases) {
    BOOST_TEST(error(text).find(expected) != std::string::npos, error(text));
  }
}

// Guards against references to objects that do not exist.
BOOST_AUTO_TEST_CASE(RejectsDanglingReferences) {
  State state = WithKey();
  const State before = state;
  Profile dangling{ProfileId("stray"), PoolId("none")};
  for (const Change& change : std::vector<Change>{
           RemoveTeam{TeamId("team")}, RemoveTeam{OpenTeam()},
           RemovePool{PoolId("pool")}, RemoveZone{ZoneId("none")},
           PutProfile{dangling},
           GrantKey{{KeyId("b"), TeamId("none"), HashSecret("b.x")}},
           GrantKey{{KeyId("b"), OpenTeam(), HashSecret("b.x")}},
           GrantKey{{KeyId("key-a"), TeamId("team"), HashSecret("b.x")}},
           PutTeam{{TeamId("a"), 0, 1}}}) {
    BOOST_TEST(!Apply(state, change).has_value(), Encode(change));
    BOOST_TEST((state == before));
  }
  BOOST_TEST(!state.InService(ZoneId("z")) == false);
  BOOST_REQUIRE(Apply(state, SetZone{{ZoneId("z"), false}}).has_value());
  BOOST_TEST(!state.InService(ZoneId("z")));
}

// Guards against a full configuration that exceeds the maximum record size of
// the store, which would block every later change.
BOOST_AUTO_TEST_CASE(FullConfigurationFitsTheStore) {
  const auto name = [](std::size_t index, std::size_t length) {
    std::string text = std::to_string(index);
    return text.insert(0, length - text.size(), 'n');
  };
  State state;
  state.revision = 2'000'000'000;
  const auto apply = [&](const Change& change, std::size_t index) {
    const auto done =
        Apply(state, LoggedChange{state.revision + 1,
                                  name(index, kMaxInstanceLength), change});
    BOOST_REQUIRE(done.has_value());
  };
  for (std::size_t i = 1; i < kMaxTeams; ++i) {
    apply(PutTeam{{TeamId(name(i, 48)), kMaxWeight, kMaxTasks}}, i);
  }
  for (std::size_t i = 0; i < kMaxPools; ++i) {
    apply(PutPool{{PoolId(name(i, 48)), false, 10'000, 10'000, 10'000}}, i);
  }
  for (std::size_t i = 0; i < kMaxZones; ++i) {
    apply(SetZone{{ZoneId(name(i, 48)), false}}, i);
  }
  for (std::size_t i = 0; i < kMaxProfiles; ++i) {
    apply(PutProfile{{ProfileId(name(i, 48)), PoolId(name(1, 48)), false, false,
                      false, kMaxTasks, OnLimitCut::kCheckpoint,
                      OnDrain::kCheckpoint, kMaxDrainWaitMs, kMaxTaskLeaseMs,
                      kMaxDeadlineMs}},
          i);
  }
  for (std::size_t i = 0; i < kMaxRetirements; ++i) {
    apply(RetireInstance{{InstanceId(name(i, 64)), ~std::uint64_t{0}}}, i);
  }
  for (std::size_t i = 0; i < kMaxKeys; ++i) {
    apply(GrantKey{{KeyId(name(i, 48)), TeamId(name(1, 48)), HashSecret("")}},
          i);
  }
  BOOST_TEST(Encode(state).size() <= kMaxBaseBytes);
  const auto extra = Apply(
      state, GrantKey{{KeyId("one"), TeamId(name(1, 48)), HashSecret("")}});
  BOOST_REQUIRE(!extra.has_value());
  BOOST_TEST((extra.error().kind == ErrorKind::kTooLarge));
  BOOST_TEST((*Decode<State>(Encode(state)) == state));
}

// Guards against a field that is lost or altered by encoding and decoding.
BOOST_AUTO_TEST_CASE(ChangesAndHeadsRoundTrip) {
  BOOST_TEST(rc::check([] {
    const auto number = [](std::uint32_t low, std::uint32_t high) {
      return *rc::gen::inRange<std::uint32_t>(low, high + 1);
    };
    const auto name = [] {
      return *rc::gen::nonEmpty(rc::gen::container<std::string>(
          rc::gen::elementOf(std::string("az09"))));
    };
    const auto id = name().substr(0, kMaxNameLength);
    const auto flag = *rc::gen::arbitrary<bool>();
    const std::vector<Change> changes{
        PutTeam{{TeamId(id), number(1, kMaxWeight), number(0, kMaxTasks)}},
        RemoveTeam{TeamId(id)},
        PutProfile{{ProfileId(id), PoolId(id), flag, !flag, flag,
                    number(0, kMaxTasks), static_cast<OnLimitCut>(number(0, 2)),
                    static_cast<OnDrain>(number(0, 2)),
                    number(0, kMaxDrainWaitMs),
                    number(kMinTaskLeaseMs, kMaxTaskLeaseMs),
                    number(kMinDeadlineMs, kMaxDeadlineMs)}},
        RemoveProfile{ProfileId(id)},
        PutPool{{PoolId(id), flag, number(0, 9), number(0, 9), number(0, 9)}},
        RemovePool{PoolId(id)},
        SetZone{{ZoneId(id), flag}},
        RemoveZone{ZoneId(id)},
        GrantKey{{KeyId(id), TeamId(id), HashSecret(id)}},
        WithdrawKey{KeyId(id)},
        RetireInstance{
            {InstanceId(id), 1 + *rc::gen::arbitrary<std::uint32_t>()}},
        RemoveRetirement{InstanceId(id)}};
    RC_ASSERT(changes.size() == std::variant_size_v<Change>);
    Head head;
    head.base_revision = number(0, 1'000'000);
    for (const Change& change : changes) {
      RC_ASSERT(Validate(change).has_value());
      RC_ASSERT(*Decode<Change>(Encode(change)) == change);
      head.changes.push_back({head.revision() + 1, id, change});
    }
    RC_ASSERT(*Decode<Head>(Encode(head)) == head);
    // A list with a missing change is rejected.
    std::string text = Encode(head);
    const auto count = "\"revision\":" + std::to_string(head.revision());
    text.replace(text.rfind(count), count.size(),
                 "\"revision\":" + std::to_string(head.revision() + 1));
    RC_ASSERT(!Decode<Head>(text).has_value());
  }));
}

}  // namespace
}  // namespace kch::config
