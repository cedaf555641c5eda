#include "app/maintain/http_api.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "app/maintain/requests.h"
#include "app/maintain/status.h"
#include "config/config.h"

namespace kch::app {
namespace {

using net::ErrorResponse;
using net::HttpReply;
using net::HttpRequest;
using net::JsonResponse;

constexpr std::string_view kAdminPrefix = "/v1/admin/";

int StatusOf(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kInvalid:
      return 400;
    case ErrorKind::kForbidden:
      return 403;
    case ErrorKind::kNotFound:
      return 404;
    case ErrorKind::kConflict:
      return 409;
    case ErrorKind::kTooLarge:
      return 413;
    case ErrorKind::kCorrupt:
      return 500;
    case ErrorKind::kUnknownOutcome:
      return 504;
    case ErrorKind::kUnavailable:
      break;
  }
  return 503;
}

net::HttpResponse Answer(const Result<void>& result, const std::string& id) {
  return result ? JsonResponse(200, {{"accepted", true}, {"id", id}})
                : ErrorResponse(StatusOf(result.error().kind), result.error());
}

std::uint64_t ParseSince(std::string_view text) {
  std::uint64_t value = 0;
  const auto [end, code] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return code == std::errc() && end == text.data() + text.size() ? value : 0;
}

net::HttpResponse NotFound(const HttpRequest& request) {
  return ErrorResponse(404,
                       {ErrorKind::kNotFound, "there is no " + request.path,
                        "docs/interface.md lists the paths"});
}

}  // namespace

HttpApi::HttpApi(Driver& driver,
                 net::EventLog& events,
                 net::Metrics& metrics,
                 std::string operator_key_sha256)
    : driver(driver),
      events(events),
      metrics(metrics),
      operator_key_sha256(std::move(operator_key_sha256)) {}

void HttpApi::Handle(const HttpRequest& request, const HttpReply& reply) {
  this->metrics.Count("http_requests");
  if (request.path == "/health") {
    reply(JsonResponse(200, {{"alive", true}}));
  } else if (request.path == "/ready") {
    const bool ready = this->driver.ready();
    reply(JsonResponse(ready ? 200 : 503, {{"ready", ready}}));
  } else if (request.path == "/metrics") {
    reply({.body = this->metrics.Json()});
  } else if (request.path == "/v1/events") {
    reply({.body = this->events.Since(ParseSince(request.Query("since"))),
           .content_type = "application/x-ndjson"});
  } else if (request.path.starts_with(kAdminPrefix)) {
    this->Admin(request, reply);
  } else {
    reply(NotFound(request));
  }
}

void HttpApi::Admin(const HttpRequest& request, const HttpReply& reply) {
  if (!config::MatchesHash(net::BearerSecret(request),
                           this->operator_key_sha256)) {
    reply(ErrorResponse(
        403, {ErrorKind::kForbidden, "the operators' key is missing or wrong",
              "send Authorization: Bearer <operators' key>"}));
    return;
  }
  const std::string path = request.path.substr(kAdminPrefix.size());
  if (path == "status" && request.method == "GET") {
    this->driver.Inspect(
        [reply](const Driver& inner) { reply({.body = StatusJson(inner)}); });
  } else if ((path != "orders" && path != "vms") || request.method != "POST") {
    reply(NotFound(request));
  } else if (!this->driver.ready()) {
    reply(ErrorResponse(
        503, {ErrorKind::kUnavailable, "the configuration is not known yet",
              "send the same call again, or to another maintainer"}));
  } else if (path == "orders") {
    this->Order(request, reply);
  } else {
    this->Register(request, reply);
  }
}

void HttpApi::Order(const HttpRequest& request, const HttpReply& reply) {
  auto order = ParseOrder(request.body);
  if (!order) {
    reply(Answer(tl::unexpected(order.error()), ""));
    return;
  }
  const std::string id = order->id;
  this->driver.Give(*std::move(order), [reply, id](const Result<void>& result) {
    reply(Answer(result, id));
  });
}

void HttpApi::Register(const HttpRequest& request, const HttpReply& reply) {
  auto parsed = ParseRegistration(request.body);
  if (!parsed) {
    reply(Answer(tl::unexpected(parsed.error()), ""));
    return;
  }
  const std::string id = parsed->vm.id.str();
  this->driver.Register(
      std::move(parsed->pool), std::move(parsed->vm),
      [reply, id](const Result<void>& result) { reply(Answer(result, id)); });
}

}  // namespace kch::app
