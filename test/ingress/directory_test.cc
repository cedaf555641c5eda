#include <boost/test/unit_test.hpp>

#include "ingress/ingress.h"

namespace kch::ingress {
namespace {

Config TwoQueues() {
  Config config;
  config.version = 3;
  config.routes = {
      {.queue = jobs::QueueId("wide"), .host = "h.example", .prefix = "/a/"},
      {.queue = jobs::QueueId("narrow"),
       .host = "h.example",
       .prefix = "/a/b/",
       .open = true}};
  for (const Route& route : config.routes) {
    config.fleet.queues[route.queue] = {.id = route.queue, .pool = PoolId("p")};
  }
  config.teams_by_key["key"] = TeamId("team");
  return config;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(DirectoryTest)

BOOST_AUTO_TEST_CASE(LongestPrefixOfTheHostWins) {
  const Directory directory(TwoQueues());
  BOOST_TEST(directory.Find("h.example", "/a/x")->queue.str() == "wide");
  BOOST_TEST(directory.Find("h.example:80", "/a/b/x")->queue.str() == "narrow");
  BOOST_TEST(directory.Find("other.example", "/a/x") == nullptr);
  BOOST_TEST(directory.Find("h.example", "/c/x") == nullptr);
}

BOOST_AUTO_TEST_CASE(AdmitsByKeyUnlessTheQueueIsOpen) {
  const Directory directory(TwoQueues());
  const auto admitted =
      directory.Admit({"POST", "h.example", "/a/job1", "key"});
  BOOST_REQUIRE(admitted.has_value());
  BOOST_TEST(admitted->team.str() == "team");
  BOOST_TEST(admitted->job.str() == "job1");
  BOOST_TEST((admitted->verb == Verb::kSubmit));
  const auto unknown = directory.Admit({"POST", "h.example", "/a/job1", "x"});
  BOOST_REQUIRE(!unknown.has_value());
  BOOST_TEST(StatusOf(unknown.error()) == 401);
  const auto open = directory.Admit({"GET", "h.example", "/a/b/job1", ""});
  BOOST_REQUIRE(open.has_value());
  BOOST_TEST(open->team.empty());
}

BOOST_AUTO_TEST_CASE(DistinguishesTheVerbs) {
  const Directory directory(TwoQueues());
  const auto verb = [&directory](const char* method, const char* path) {
    return directory.Admit({method, "h.example", path, "key"})->verb;
  };
  BOOST_TEST((verb("GET", "/a/") == Verb::kPending));
  BOOST_TEST((verb("GET", "/a/1") == Verb::kState));
  BOOST_TEST((verb("DELETE", "/a/1") == Verb::kCancel));
  const auto bad = directory.Admit({"PUT", "h.example", "/a/1", "key"});
  BOOST_REQUIRE(!bad.has_value());
  BOOST_TEST(StatusOf(bad.error()) == 405);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::ingress
