#include "net/store_client.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <variant>

#include "net/base64.h"

namespace kch::net {
namespace {

using nlohmann::json;

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kOperationTimeoutMs = 2000;
constexpr int kWatchSeconds = 10;
constexpr int kWatchRetryMs = 200;
// Longer than the store holds a watch, so that a silent connection ends.
constexpr int kWatchTimeoutMs = 12'000;

// Reads the answer to a GET of one key. Anything but a well-formed answer is
// an unavailable store.
StoreReply ParseRead(const std::string& key, const HttpResult& result) {
  StoreReply reply{.key = key};
  if (result.status != CallStatus::kAnswered) {
    return reply;
  }
  if (result.code == kNotFound) {
    reply.status = StoreStatus::kOk;
    return reply;
  }
  if (result.code != kOk) {
    return reply;
  }
  const json answer = json::parse(result.body, nullptr, false);
  if (!answer.is_array() || answer.size() != 1 || !answer[0].is_object()) {
    return reply;
  }
  const json& row = answer[0];
  const auto value = row.find("Value");
  const auto index = row.find("ModifyIndex");
  if (value == row.end() || !value->is_string() || index == row.end() ||
      !index->is_number_unsigned()) {
    return reply;
  }
  reply.value = FromBase64(value->get<std::string>());
  if (reply.value) {
    reply.version = index->get<std::uint64_t>();
    reply.status = StoreStatus::kOk;
  }
  return reply;
}

// A server error may come from a write that took effect.
StoreReply ParseWrite(const std::string& key, const HttpResult& result) {
  StoreReply reply{
      .key = key, .is_write = true, .status = StoreStatus::kUnknown};
  if (result.status == CallStatus::kNotSent) {
    reply.status = StoreStatus::kUnavailable;
  } else if (result.status == CallStatus::kAnswered &&
             result.code == kConflict) {
    reply.status = StoreStatus::kConflict;
  } else if (result.status == CallStatus::kAnswered && result.code == kOk) {
    const json answer = json::parse(result.body, nullptr, false);
    const json::json_pointer path("/Results/0/KV/ModifyIndex");
    if (answer.is_object() && answer.contains(path) &&
        answer[path].is_number_unsigned()) {
      reply.version = answer[path].get<std::uint64_t>();
      reply.status = StoreStatus::kOk;
    }
  }
  return reply;
}

}  // namespace

// One watch: each answer leads to the next blocking read.
struct StoreClient::WatchLoop : std::enable_shared_from_this<WatchLoop> {
  HttpClient& client;
  std::string base;
  std::string key;
  OnReply on_change;
  std::shared_ptr<std::atomic<std::uint64_t>> counted;
  std::uint64_t index = 0;
  std::uint64_t version = 0;

  WatchLoop(HttpClient& client,
            std::string base,
            std::string key,
            OnReply on_change,
            std::shared_ptr<std::atomic<std::uint64_t>> counted)
      : client(client),
        base(std::move(base)),
        key(std::move(key)),
        on_change(std::move(on_change)),
        counted(std::move(counted)) {}

  void Next(bool failed) {
    ++*this->counted;
    HttpCall call{.url = this->base + "/v1/kv/" + this->key +
                         "?index=" + std::to_string(this->index) +
                         "&wait=" + std::to_string(kWatchSeconds) + "s",
                  .timeout_ms = kWatchTimeoutMs,
                  .new_connection = failed};
    this->client.Send(std::move(call), [self = this->shared_from_this()](
                                           const HttpResult& result) {
      self->OnAnswer(result);
    });
  }

  void OnAnswer(const HttpResult& result) {
    StoreReply reply = ParseRead(this->key, result);
    if (reply.status != StoreStatus::kOk) {
      this->Later();
      return;
    }
    // An index that goes back means that the store was restored; a watch then
    // starts over, as the interface's documentation asks.
    std::uint64_t next = 0;
    try {
      next = std::stoull(std::string(result.Header("x-consul-index")));
    } catch (const std::exception&) {
      next = 0;
    }
    this->index = next < this->index ? 0 : next;
    if (reply.version != this->version) {
      this->version = reply.version;
      this->on_change(std::move(reply));
    }
    if (this->index == 0) {
      this->Later();  // without an index the read would not block
      return;
    }
    this->Next(false);
  }

  void Later() {
    this->client.Delay(kWatchRetryMs,
                       [self = this->shared_from_this()] { self->Next(true); });
  }
};

StoreClient::StoreClient(HttpClient& client, const std::string& address)
    : client(client),
      base("http://" + address),
      counted(std::make_shared<std::atomic<std::uint64_t>>(0)) {}

void StoreClient::Send(const StoreOp& operation, OnReply on_reply) {
  ++*this->counted;
  if (const auto* get = std::get_if<StoreGet>(&operation)) {
    this->client.Send(
        {.url = this->base + "/v1/kv/" + get->key,
         .timeout_ms = kOperationTimeoutMs},
        [key = get->key, on_reply = std::move(on_reply)](
            const HttpResult& result) { on_reply(ParseRead(key, result)); });
    return;
  }
  const auto& cas = std::get<StoreCas>(operation);
  const json body = json::array({{{"KV",
                                   {{"Verb", "cas"},
                                    {"Key", cas.key},
                                    {"Value", ToBase64(cas.value)},
                                    {"Index", cas.version}}}}});
  // A new connection: libcurl may send a request twice on a reused one, and
  // the second would meet the first one's version as a conflict.
  this->client.Send(
      {.method = "PUT",
       .url = this->base + "/v1/txn",
       .body = body.dump(),
       .timeout_ms = kOperationTimeoutMs,
       .new_connection = true},
      [key = cas.key, on_reply = std::move(on_reply)](
          const HttpResult& result) { on_reply(ParseWrite(key, result)); });
}

void StoreClient::Watch(const std::string& key, OnReply on_change) {
  std::make_shared<WatchLoop>(this->client, this->base, key,
                              std::move(on_change), this->counted)
      ->Next(false);
}

}  // namespace kch::net
