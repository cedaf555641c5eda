#include "fake/platform/store.h"

#include <algorithm>
#include <charconv>
#include <utility>
#include <variant>
#include <vector>

#include "fake/platform/base64.h"

namespace kch::fake {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxValueBytes = 1U << 20U;
constexpr std::size_t kMaxOperations = 64;
constexpr std::int64_t kSecondMs = 1000;
constexpr std::int64_t kMinuteMs = 60'000;
constexpr std::int64_t kAllPercent = 100;
constexpr std::int64_t kDefaultWaitMs = 10'000;
constexpr std::int64_t kMaxWaitMs = 20'000;
constexpr std::string_view kKv = "/v1/kv/";

std::uint64_t ToNumber(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

// "10s", "500ms" or "1m"; anything else is the default.
std::int64_t ToWaitMs(std::string_view text) {
  std::int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc()) {
    return kDefaultWaitMs;
  }
  const std::string_view unit(
      parsed.ptr,
      static_cast<std::size_t>(text.data() + text.size() - parsed.ptr));
  std::int64_t ms = kDefaultWaitMs;
  if (unit == "ms") {
    ms = value;
  } else if (unit == "s") {
    ms = value * kSecondMs;
  } else if (unit == "m") {
    ms = value * kMinuteMs;
  }
  return std::clamp<std::int64_t>(ms, 1, kMaxWaitMs);
}

net::HttpResponse Problem(int status, const std::string& text) {
  return {.status = status, .body = json{{"error", text}}.dump()};
}

// One operation of a transaction after its syntax was checked.
struct Operation {
  std::string verb;
  std::string key;
  std::string value;
  std::uint64_t index = 0;
};

// The operations, or the answer to a malformed transaction.
std::variant<std::vector<Operation>, net::HttpResponse> ParseOperations(
    const std::string& body) {
  const json listed = json::parse(body, nullptr, false);
  if (!listed.is_array() || listed.empty()) {
    return Problem(400, "expected a JSON array of operations");
  }
  if (listed.size() > kMaxOperations) {
    return Problem(413, "too many operations");
  }
  std::vector<Operation> operations;
  for (const json& item : listed) {
    const json kv = item.is_object() ? item.value("KV", json()) : json();
    if (!kv.is_object() || !kv.contains("Verb") || !kv["Verb"].is_string() ||
        !kv.contains("Key") || !kv["Key"].is_string()) {
      return Problem(400, "an operation lacks KV, Verb or Key");
    }
    Operation operation{.verb = kv["Verb"].get<std::string>(),
                        .key = kv["Key"].get<std::string>()};
    const bool writes = operation.verb == "cas" || operation.verb == "set";
    if (!writes && operation.verb != "delete" &&
        operation.verb != "delete-cas") {
      return Problem(400, "the verb must be cas, set, delete or delete-cas");
    }
    if (kv.contains("Index") && kv["Index"].is_number_unsigned()) {
      operation.index = kv["Index"].get<std::uint64_t>();
    }
    if (writes) {
      const json text = kv.value("Value", json());
      const auto value =
          text.is_string() ? FromBase64(text.get<std::string>()) : std::nullopt;
      if (!value) {
        return Problem(400, "Value must be base64");
      }
      if (value->size() > kMaxValueBytes) {
        return Problem(413, "a value is larger than 1 MB");
      }
      operation.value = *value;
    }
    operations.push_back(std::move(operation));
  }
  return operations;
}

}  // namespace

Store::Store(asio::io_context& io, std::uint64_t seed) : io(io), random(seed) {}

void Store::Handle(const net::HttpRequest& request,
                   const net::HttpReply& reply) {
  if (this->faults.down != Outage::kNone) {
    ++this->refused;
    if (this->faults.down == Outage::kRefuse) {
      reply(Problem(503, "the store is down"));
    }
    return;
  }
  if (this->faults.slow_ms > 0) {
    this->Later(this->faults.slow_ms,
                [this, request, reply] { this->Execute(request, reply); });
  } else {
    this->Execute(request, reply);
  }
}

void Store::Execute(const net::HttpRequest& request,
                    const net::HttpReply& reply) {
  net::HttpReply answer = reply;
  if (this->Draw(this->faults.lose_percent)) {
    ++this->lost;
    const auto status = static_cast<int>(this->faults.lose_status);
    answer = [reply, status](const net::HttpResponse&) {
      if (status != 0) {
        reply(Problem(status, "the reply was lost"));
      }
    };
  }
  if (request.method == "GET" && request.path.starts_with(kKv)) {
    this->Read(request, answer);
  } else if (request.method == "PUT" && request.path == "/v1/txn") {
    this->Transact(request, answer);
  } else {
    answer(Problem(405, "use GET /v1/kv/<key> or PUT /v1/txn"));
  }
}

void Store::Read(const net::HttpRequest& request, const net::HttpReply& reply) {
  std::string key = request.path.substr(kKv.size());
  const bool recurse = request.query.contains("recurse");
  const std::uint64_t index = ToNumber(request.Query("index"));
  if (index > 0) {
    ++this->watches_begun;
    this->Wait(std::move(key), recurse, index, ToWaitMs(request.Query("wait")),
               reply);
    return;
  }
  ++this->reads;
  reply(this->View(key, recurse, false));
}

void Store::Wait(std::string key,
                 bool recurse,
                 std::uint64_t index,
                 std::int64_t wait_ms,
                 const net::HttpReply& reply) {
  const auto watch = this->watches.emplace(this->watches.end(), this->io);
  watch->key = std::move(key);
  watch->recurse = recurse;
  watch->index = index;
  watch->reply = reply;
  watch->timer.expires_after(milliseconds(wait_ms));
  watch->timer.async_wait([this, watch](std::error_code error) {
    if (!error) {
      if (this->faults.down != Outage::kHang) {
        watch->reply(this->View(watch->key, watch->recurse, false));
      }
      this->watches.erase(watch);
    }
  });
  this->WakeWatches();
}

void Store::Transact(const net::HttpRequest& request,
                     const net::HttpReply& reply) {
  ++this->writes;
  auto parsed = ParseOperations(request.body);
  if (auto* problem = std::get_if<net::HttpResponse>(&parsed)) {
    reply(std::move(*problem));
    return;
  }
  const auto& operations = std::get<std::vector<Operation>>(parsed);
  json errors = json::array();
  for (std::size_t i = 0; i < operations.size(); ++i) {
    const Operation& operation = operations[i];
    const auto found = this->records.find(operation.key);
    const std::uint64_t current =
        found == this->records.end() ? 0 : found->second.now.index;
    if (operation.verb.ends_with("cas") && operation.index != current) {
      errors.push_back({{"OpIndex", i},
                        {"What", "the index of " + operation.key + " is " +
                                     std::to_string(current)}});
    }
  }
  if (!errors.empty()) {
    ++this->conflicts;
    reply({.status = 409,
           .body = json{{"Results", nullptr}, {"Errors", errors}}.dump()});
    return;
  }
  ++this->last_index;
  json results = json::array();
  for (const Operation& operation : operations) {
    if (operation.verb.starts_with("delete")) {
      this->records.erase(operation.key);
      continue;
    }
    Record& record = this->records[operation.key];
    if (record.now.index != 0) {
      record.before = std::move(record.now);
    }
    record.now = {operation.value, this->last_index};
    this->bytes_written += operation.value.size();
    results.push_back({{"KV",
                        {{"Key", operation.key},
                         {"Value", nullptr},
                         {"ModifyIndex", this->last_index}}}});
  }
  reply({.body = json{{"Results", results}, {"Errors", nullptr}}.dump(),
         .headers = {{"X-Consul-Index", std::to_string(this->last_index)}}});
  this->WakeWatches();
}

void Store::WakeWatches() {
  for (auto watch = this->watches.begin(); watch != this->watches.end();) {
    if (this->IndexOf(watch->key, watch->recurse) <= watch->index) {
      ++watch;
      continue;
    }
    ++this->watches_fired;
    const bool stale = this->Draw(this->faults.watch_stale_percent);
    const net::HttpResponse view =
        this->View(watch->key, watch->recurse, stale);
    if (this->faults.watch_late_ms > 0) {
      this->Later(this->faults.watch_late_ms,
                  [reply = watch->reply, view] { reply(view); });
    } else {
      watch->reply(view);
    }
    watch = this->watches.erase(watch);
  }
}

// A deleted or absent key takes the index of the whole store, so a watch on it
// returns after any write; Consul does the same.
std::uint64_t Store::IndexOf(const std::string& key, bool recurse) const {
  std::uint64_t index = 0;
  for (auto found = this->records.lower_bound(key);
       found != this->records.end() && found->first.starts_with(key); ++found) {
    if (recurse || found->first == key) {
      index = std::max(index, found->second.now.index);
    }
    if (!recurse) {
      break;
    }
  }
  return index == 0 ? this->last_index : index;
}

net::HttpResponse Store::View(const std::string& key,
                              bool recurse,
                              bool stale) const {
  json listed = json::array();
  std::uint64_t index = 0;
  for (auto found = this->records.lower_bound(key);
       found != this->records.end() && found->first.starts_with(key); ++found) {
    if (!recurse && found->first != key) {
      break;
    }
    const Record& record = found->second;
    const Version& version =
        stale && record.before ? *record.before : record.now;
    index = std::max(index, version.index);
    listed.push_back({{"Key", found->first},
                      {"Value", ToBase64(version.value)},
                      {"ModifyIndex", version.index},
                      {"CreateIndex", version.index},
                      {"LockIndex", 0},
                      {"Flags", 0}});
  }
  if (index == 0) {
    index = this->last_index;
  }
  net::HttpResponse response;
  response.status = listed.empty() ? 404 : 200;
  response.body = listed.empty() ? "" : listed.dump();
  response.headers.emplace_back("X-Consul-Index", std::to_string(index));
  return response;
}

void Store::Later(std::int64_t ms, std::function<void()> function) {
  const auto call = this->delayed.emplace(this->delayed.end(), this->io);
  call->function = std::move(function);
  call->timer.expires_after(milliseconds(ms));
  call->timer.async_wait([this, call](std::error_code error) {
    if (!error) {
      const auto function = std::move(call->function);
      this->delayed.erase(call);
      function();
    }
  });
}

void Store::SetFaults(const StoreFaults& next) {
  this->faults = next;
  if (next.down == Outage::kRefuse) {
    for (const Watch& watch : this->watches) {
      watch.reply(Problem(503, "the store is down"));
    }
    this->watches.clear();
  }
}

void Store::DropCalls() {
  this->watches.clear();
  this->delayed.clear();
}

bool Store::Draw(std::int64_t percent) {
  return percent > 0 && std::uniform_int_distribution<std::int64_t>(
                            1, kAllPercent)(this->random) <= percent;
}

json Store::Counters() const {
  return {{"reads", this->reads},
          {"writes", this->writes},
          {"conflicts", this->conflicts},
          {"watches", this->watches_begun},
          {"watches_fired", this->watches_fired},
          {"watches_open", this->watches.size()},
          {"refused", this->refused},
          {"lost", this->lost},
          {"bytes_written", this->bytes_written},
          {"index", this->last_index}};
}

}  // namespace kch::fake
