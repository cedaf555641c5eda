#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "net/net.h"

namespace kch::net {
namespace {

std::unique_ptr<HttpClient> MakeClient() {
  return HttpClient::Create({}).value();
}

std::string Url(const HttpServer& server, const std::string& path) {
  return "http://127.0.0.1:" + std::to_string(server.port()) + path;
}

// Guards against losing parts of a request between client and handler.
BOOST_AUTO_TEST_CASE(RequestArrivesWhole) {
  const auto server =
      HttpServer::Create({}, [](const HttpRequest& request,
                                const HttpReply& reply) {
        reply({.status = 201,
               .body = request.method + " " + request.path + " " +
                       std::string(request.Query("a")) + " " +
                       std::string(request.Header("kch-team")) + " " +
                       request.body,
               .headers = {{"Kch-Task", "t1"}}});
      }).value();
  const auto client = MakeClient();
  const HttpResult result =
      client->SendAndWait({.method = "POST",
                           .url = Url(*server, "/run?a=b%20c/d"),
                           .headers = {{"Kch-Team", "north"}},
                           .body = "payload"});
  BOOST_TEST((result.status == CallStatus::kAnswered));
  BOOST_TEST(result.code == 201);
  BOOST_TEST(result.body == "POST /run b c/d north payload");
  BOOST_TEST(result.Header("kch-task") == "t1");
}

// Guards against calling a request that never left "maybe sent", which would
// turn a safe retry into an unknown outcome.
BOOST_AUTO_TEST_CASE(RefusedConnectionIsNotSent) {
  std::string url;
  {
    const auto server =
        HttpServer::Create({}, [](const HttpRequest&, const HttpReply&) {
        }).value();
    url = Url(*server, "/");
  }
  const HttpResult result = MakeClient()->SendAndWait({.url = url});
  BOOST_TEST((result.status == CallStatus::kNotSent));
}

// Guards against reporting "not sent" after the request reached the server.
BOOST_AUTO_TEST_CASE(UnansweredRequestIsBroken) {
  std::vector<HttpReply> held;
  const auto server =
      HttpServer::Create({}, [&held](const HttpRequest&, HttpReply reply) {
        held.push_back(std::move(reply));
      }).value();
  const HttpResult result = MakeClient()->SendAndWait(
      {.method = "POST", .url = Url(*server, "/run"), .timeout_ms = 200});
  BOOST_TEST((result.status == CallStatus::kBroken));
}

// Guards against a start that leaves after the checks made for it are stale.
BOOST_AUTO_TEST_CASE(ExpiredCallIsNotSent) {
  bool reached = false;
  const auto server =
      HttpServer::Create({}, [&reached](const HttpRequest&,
                                        const HttpReply& reply) {
        reached = true;
        reply({});
      }).value();
  const Time past =
      std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()) -
      std::chrono::seconds(1);
  const HttpResult result = MakeClient()->SendAndWait(
      {.url = Url(*server, "/"), .valid_until = past});
  BOOST_TEST((result.status == CallStatus::kNotSent));
  BOOST_TEST(!reached);
}

// Guards against a body over the limit reaching a handler.
BOOST_AUTO_TEST_CASE(OversizedBodyIsRefused) {
  bool reached = false;
  const auto server =
      HttpServer::Create({.max_body_bytes = 100}, [&reached](
                                                      const HttpRequest&,
                                                      const HttpReply& reply) {
        reached = true;
        reply({});
      }).value();
  const HttpResult result =
      MakeClient()->SendAndWait({.method = "POST",
                                 .url = Url(*server, "/"),
                                 .body = std::string(1000, 'x')});
  BOOST_TEST(!result.Success());
  BOOST_TEST(!reached);
}

}  // namespace
}  // namespace kch::net
