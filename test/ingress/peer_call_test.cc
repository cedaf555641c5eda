#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "ingress/ingress.h"

// Calls with arbitrary methods, hosts, paths and keys, at the front and at the
// port for other instances.

namespace kch::ingress {
namespace {

// Texts of parts that mean something in paths, and of arbitrary bytes.
rc::Gen<std::string> AnyPath() {
  const auto part = rc::gen::oneOf(
      rc::gen::element<std::string>("/", "/a/", "/v1/jobs/", "/v1/queues/",
                                    "/cancel", "cancel", "/metrics", "..",
                                    "%2f", "5c0e7a21d94b36f8", "job-1", "?"),
      rc::gen::arbitrary<std::string>());
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(part),
                      [](const std::vector<std::string>& parts) {
                        std::string path;
                        for (const std::string& text : parts) {
                          path += text;
                        }
                        return path;
                      });
}

rc::Gen<std::string> AnyMethod() {
  return rc::gen::element<std::string>("GET", "POST", "DELETE", "PUT", "HEAD",
                                       "get", "");
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PeerCallTest)

// Guards against a question about a job that cancels it: the path was taken for
// an order whatever its method, and an id from a caller ended like one.
BOOST_AUTO_TEST_CASE(OnlyAnOrderCancels) {
  BOOST_TEST(rc::check([] {
    const std::string method = *AnyMethod();
    const std::string path = *AnyPath();
    const auto call = ParsePeerCall(method, path);
    if (!call) {
      return;
    }
    switch (call->verb) {
      case PeerVerb::kMetrics:
        RC_ASSERT(method == "GET");
        RC_ASSERT(path == "/metrics");
        break;
      case PeerVerb::kState:
        RC_ASSERT(method == "GET");
        RC_ASSERT(jobs::IsJobId(call->job.str()));
        RC_ASSERT(path == StatePath(call->job));
        break;
      case PeerVerb::kCancel:
        RC_ASSERT(method == "POST");
        RC_ASSERT(jobs::IsJobId(call->job.str()));
        RC_ASSERT(path == CancelPath(call->job));
        break;
      case PeerVerb::kPending:
        RC_ASSERT(method == "GET");
        RC_ASSERT(path == PendingPath(call->queue));
        break;
    }
  }));
  const jobs::JobId job("5c0e7a21d94b36f8");
  BOOST_TEST(ParsePeerCall("GET", StatePath(job))->job == job);
  BOOST_TEST(ParsePeerCall("POST", CancelPath(job))->job == job);
  BOOST_TEST(!ParsePeerCall("GET", CancelPath(job)).has_value());
  BOOST_TEST(!ParsePeerCall("POST", StatePath(job)).has_value());
}

// Guards against keys and paths that are built from what a caller sent.
BOOST_AUTO_TEST_CASE(AdmittedIdsArePlain) {
  Config config;
  config.routes = {{.queue = jobs::QueueId("q"),
                    .host = "h.example",
                    .prefix = "/a",
                    .open = true}};
  config.fleet.queues[jobs::QueueId("q")] = {.id = jobs::QueueId("q")};
  const Directory directory(config);
  BOOST_TEST(rc::check([&directory] {
    const Call call{.method = *AnyMethod(),
                    .host = *rc::gen::element<std::string>("h.example", "x"),
                    .path = "/a" + *AnyPath(),
                    .key = *rc::gen::arbitrary<std::string>()};
    const auto admitted = directory.Admit(call);
    RC_ASSERT(!admitted || admitted->verb == Verb::kPending ||
              jobs::IsJobId(admitted->job.str()));
  }));
  const auto refused = [&directory](const char* method) {
    return StatusOf(
        directory.Admit({method, "h.example", "/a1/cancel", ""}).error());
  };
  BOOST_TEST(refused("GET") == 410);
  BOOST_TEST(refused("DELETE") == 410);
  BOOST_TEST(refused("POST") == 400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::ingress
