#include "app/entry/http_api.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "app/entry/status.h"
#include "config/config.h"

namespace kch::app {
namespace {

using net::BearerSecret;
using net::ErrorResponse;
using net::HttpReply;
using net::HttpRequest;
using net::HttpResponse;
using net::JsonResponse;
using nlohmann::json;

constexpr std::string_view kRequests = "/v1/requests";
constexpr std::string_view kRequestPrefix = "/v1/requests/";
constexpr std::string_view kAdminPrefix = "/v1/admin/";
constexpr std::string_view kIdCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";

// The HTTP status that matches an outcome. Reasons decide where the caller can
// do something about a request that did not run.
int StatusOf(const engine::Outcome& outcome) {
  using engine::Reason;
  switch (outcome.kind) {
    case engine::OutcomeKind::kDone:
      return 200;
    case engine::OutcomeKind::kFailed:
      return 502;
    case engine::OutcomeKind::kUnknown:
      return outcome.reason == Reason::kNotFound ? 404 : 504;
    case engine::OutcomeKind::kNotRun:
      break;
  }
  switch (outcome.reason) {
    case Reason::kKeyInvalid:
    case Reason::kKeyWithdrawn:
      return 403;
    case Reason::kUnknownProfile:
    case Reason::kUnknownPool:
    case Reason::kUnknownTeam:
      return 404;
    case Reason::kRequestIdMissing:
    case Reason::kNeverFits:
      return 422;
    case Reason::kCancelled:
      return 409;
    default:
      return 503;
  }
}

HttpResponse OutcomeResponse(const engine::Outcome& outcome) {
  json body{{"outcome", NameOf(outcome.kind)},
            {"reason", NameOf(outcome.reason)},
            {"task", outcome.task.str()},
            {"vm", outcome.vm.str()},
            {"retry_after_ms", outcome.retry_after_ms}};
  if (outcome.kind == engine::OutcomeKind::kDone) {
    body["body"] = outcome.body;
  }
  return JsonResponse(StatusOf(outcome), body);
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, code] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (code != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return value;
}

// Reads a header that holds a whole number; absent means 0.
Result<std::int64_t> NumberHeader(const HttpRequest& request,
                                  const std::string& name,
                                  std::int64_t max) {
  const std::string_view text = request.Header(name);
  if (text.empty()) {
    return 0;
  }
  const auto value = ParseNumber(text);
  if (!value || *value < 0 || *value > max) {
    return Fail(ErrorKind::kInvalid,
                "header " + name + " is '" + std::string(text) + "'",
                "send a whole number from 0 to " + std::to_string(max) +
                    ", or leave it out");
  }
  return *value;
}

Result<std::string> RequestIdOf(std::string_view text, std::size_t max) {
  if (text.size() > max ||
      text.find_first_not_of(kIdCharacters) != std::string_view::npos) {
    return Fail(ErrorKind::kInvalid, "the request id is not valid",
                "use 1 to " + std::to_string(max) +
                    " letters, digits or -_.: characters");
  }
  return std::string(text);
}

Result<engine::CallerRequest> ParseRequest(HttpRequest& request,
                                           std::size_t max_id) {
  engine::CallerRequest result;
  result.profile = ProfileId(std::string(request.Header("kch-queue")));
  result.secret = BearerSecret(request);
  auto id = RequestIdOf(request.Header("kch-request"), max_id);
  if (!id) {
    return tl::make_unexpected(id.error());
  }
  result.request_id = *std::move(id);
  const std::string_view repeatable = request.Header("kch-repeatable");
  if (!repeatable.empty() && repeatable != "yes" && repeatable != "no") {
    return Fail(ErrorKind::kInvalid, "header kch-repeatable is not yes or no",
                "send yes, send no, or leave it out for yes");
  }
  result.repeatable = repeatable != "no";
  constexpr std::int64_t max_need = 1'000'000'000;
  const auto deadline =
      NumberHeader(request, "kch-deadline-ms", config::kMaxDeadlineMs);
  const auto cpus = NumberHeader(request, "kch-cpus", max_need);
  const auto memory = NumberHeader(request, "kch-memory-mb", max_need);
  const auto accelerators = NumberHeader(request, "kch-accelerators", max_need);
  for (const auto* number : {&deadline, &cpus, &memory, &accelerators}) {
    if (!*number) {
      return tl::make_unexpected(number->error());
    }
  }
  result.deadline_ms = *deadline;
  result.resources = {static_cast<std::uint32_t>(*cpus),
                      static_cast<std::uint32_t>(*memory),
                      static_cast<std::uint32_t>(*accelerators)};
  result.body = std::move(request.body);
  return result;
}

json Names(const std::vector<InstanceId>& instances) {
  json names = json::array();
  for (const InstanceId& instance : instances) {
    names.push_back(instance.str());
  }
  return names;
}

// Turns each outcome of a change into an answer.
struct ChangeAnswer {
  const engine::ReplyOperator& reply;

  HttpResponse operator()(const config::Accepted& outcome) const {
    return JsonResponse(200, {{"accepted", true},
                              {"revision", outcome.revision},
                              {"in_force", Names(this->reply.in_force)},
                              {"pending", Names(this->reply.pending)}});
  }
  HttpResponse operator()(const config::Conflict& outcome) const {
    json body{{"error", "conflict"},
              {"message", "the object was changed by someone else"},
              {"remedy", "look at the current value and repeat the change"},
              {"revision", outcome.revision},
              {"current", nullptr}};
    if (outcome.current) {
      body["current"] =
          json::parse(config::Encode(*outcome.current), nullptr, false);
    }
    return JsonResponse(409, body);
  }
  HttpResponse operator()(const config::Rejected& outcome) const {
    return ErrorResponse(
        outcome.error.kind == ErrorKind::kUnavailable ? 503 : 400,
        outcome.error);
  }
  HttpResponse operator()(const config::Unknown& outcome) const {
    return ErrorResponse(504, outcome.error);
  }
};

HttpResponse NotFound(const HttpRequest& request) {
  return ErrorResponse(404,
                       {ErrorKind::kNotFound, "there is no " + request.path,
                        "docs/interface.md lists the paths"});
}

}  // namespace

HttpApi::HttpApi(Driver& driver,
                 net::EventLog& events,
                 net::Metrics& metrics,
                 net::PeerBus& bus,
                 net::StoreClient& store,
                 ApiOptions options)
    : driver(driver),
      events(events),
      metrics(metrics),
      bus(bus),
      store(store),
      options(std::move(options)) {}

void HttpApi::Handle(HttpRequest request, const HttpReply& reply) {
  this->metrics.Count("http_requests");
  if (request.path == kRequests && request.method == "POST") {
    this->Submit(std::move(request), reply);
  } else if (request.path.starts_with(kRequestPrefix) &&
             request.method == "GET") {
    this->Fetch(std::move(request), reply);
  } else if (request.path.starts_with(kRequestPrefix) &&
             request.method == "DELETE") {
    this->Cancel(request, reply);
  } else if (request.path == "/health") {
    reply(JsonResponse(200, {{"alive", true}}));
  } else if (request.path == "/ready") {
    const bool ready = this->driver.ready();
    reply(JsonResponse(ready ? 200 : 503, {{"ready", ready}}));
  } else if (request.path == "/metrics") {
    reply({.body = this->MetricsJson()});
  } else if (request.path == "/v1/events") {
    const auto after = ParseNumber(request.Query("since"));
    reply({.body = this->events.Since(static_cast<std::uint64_t>(
               std::max<std::int64_t>(after.value_or(0), 0))),
           .content_type = "application/x-ndjson"});
  } else if (request.path.starts_with(kAdminPrefix)) {
    this->Admin(request, reply);
  } else {
    reply(NotFound(request));
  }
}

std::string HttpApi::MetricsJson() const {
  json body = json::parse(this->metrics.Json());
  const net::PeerBus::Counters peers = this->bus.counters();
  body["peer_messages_sent"] = peers.sent;
  body["peer_bytes_sent"] = peers.sent_bytes;
  body["peer_messages_received"] = peers.received;
  body["peer_bytes_received"] = peers.received_bytes;
  body["peer_messages_dropped"] = peers.dropped;
  body["store_calls"] = this->store.calls();
  return body.dump();
}

void HttpApi::Submit(HttpRequest request, const HttpReply& reply) {
  const bool waits = request.Query("wait") != "0";
  auto parsed = ParseRequest(request, this->options.max_id_length);
  if (!parsed) {
    reply(ErrorResponse(400, parsed.error()));
    return;
  }
  if (!waits && parsed->request_id.empty()) {
    reply(ErrorResponse(
        400, {ErrorKind::kInvalid, "a request that is fetched later has no id",
              "send Kch-Request with an id of your own"}));
    return;
  }
  const auto began = std::chrono::steady_clock::now();
  const std::string id = parsed->request_id;
  auto done = [this, began, waits, reply](const engine::Outcome& outcome) {
    const std::chrono::duration<double, std::milli> took =
        std::chrono::steady_clock::now() - began;
    this->metrics.Delay("request", took.count());
    if (waits) {
      reply(OutcomeResponse(outcome));
    }
  };
  this->driver.Call(*std::move(parsed), std::move(done));
  if (!waits) {
    reply(JsonResponse(202, {{"request", id}}));
  }
}

void HttpApi::Fetch(HttpRequest request, const HttpReply& reply) {
  auto parsed = ParseRequest(request, this->options.max_id_length);
  auto id =
      RequestIdOf(std::string_view(request.path).substr(kRequestPrefix.size()),
                  this->options.max_id_length);
  if (!parsed || !id) {
    reply(ErrorResponse(400, parsed ? id.error() : parsed.error()));
    return;
  }
  parsed->request_id = *std::move(id);
  parsed->attach_only = true;
  this->driver.Call(*std::move(parsed),
                    [reply](const engine::Outcome& outcome) {
                      reply(OutcomeResponse(outcome));
                    });
}

void HttpApi::Cancel(const HttpRequest& request, const HttpReply& reply) {
  auto id =
      RequestIdOf(std::string_view(request.path).substr(kRequestPrefix.size()),
                  this->options.max_id_length);
  if (!id) {
    reply(ErrorResponse(400, id.error()));
    return;
  }
  engine::CancelRequest cancel;
  cancel.profile = ProfileId(std::string(request.Header("kch-queue")));
  cancel.secret = BearerSecret(request);
  cancel.request_id = *std::move(id);
  this->driver.Call(std::move(cancel), [reply](const engine::Outcome& outcome) {
    if (outcome.kind == engine::OutcomeKind::kDone) {
      reply(JsonResponse(202, {{"cancelling", true}}));
    } else {
      reply(OutcomeResponse(outcome));
    }
  });
}

bool HttpApi::IsOperator(const HttpRequest& request) const {
  return config::MatchesHash(BearerSecret(request),
                             this->options.operator_key_sha256);
}

void HttpApi::Admin(const HttpRequest& request, const HttpReply& reply) {
  if (!this->IsOperator(request)) {
    reply(ErrorResponse(
        403, {ErrorKind::kForbidden, "the operators' key is missing or wrong",
              "send Authorization: Bearer <operators' key>"}));
    return;
  }
  const std::string path = request.path.substr(kAdminPrefix.size());
  if (path == "changes" && request.method == "POST") {
    this->Change(request, reply);
  } else if (path == "config" && request.method == "GET") {
    reply({.body = config::Encode(*this->driver.configuration())});
  } else if (path == "status" && request.method == "GET") {
    this->driver.Inspect([reply](const engine::Entry& entry) {
      reply({.body = StatusJson(entry)});
    });
  } else if (path == "explain" && request.method == "GET") {
    this->driver.Inspect([reply, id = std::string(request.Query("id"))](
                             const engine::Entry& entry) {
      reply({.body = ExplainJson(entry, id)});
    });
  } else {
    reply(NotFound(request));
  }
}

void HttpApi::Change(const HttpRequest& request, const HttpReply& reply) {
  constexpr int max_depth = 8;
  int depth = 0;
  const json body = json::parse(
      request.body,
      [&depth](int level, json::parse_event_t /*event*/, json& /*parsed*/) {
        depth = std::max(depth, level);
        return level <= max_depth;
      },
      false);
  if (!body.is_object() || !body.contains("change") || depth > max_depth ||
      !body.value("id", json("")).is_string() ||
      !(body.value("expected_revision", json(0)).is_number_unsigned() ||
        body.value("expected_revision", json(0)) == 0)) {
    reply(ErrorResponse(
        400, {ErrorKind::kInvalid, "the body is not a change",
              "send {\"id\": text, \"change\": {...}} and, if wanted, "
              "\"expected_revision\": N"}));
    return;
  }
  auto change = config::Decode<config::Change>(body["change"].dump());
  if (!change) {
    reply(ErrorResponse(400, change.error()));
    return;
  }
  engine::OperatorChange event;
  event.proposal.change_id = body.value("id", "");
  event.proposal.change = *std::move(change);
  if (body.contains("expected_revision")) {
    event.proposal.expected_revision =
        body["expected_revision"].get<std::uint64_t>();
  }
  this->driver.Call(std::move(event),
                    [reply](const engine::ReplyOperator& answer) {
                      reply(std::visit(ChangeAnswer{answer}, answer.outcome));
                    });
}

}  // namespace kch::app
