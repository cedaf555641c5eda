#include "fake/fleet/key_store.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "fake/platform/base64.h"

namespace kch::fake {
namespace {

using net::HttpReply;
using net::HttpRequest;
using nlohmann::json;

// Items of one page of a list.
constexpr std::size_t kPageItems = 50;
// Conditions, puts and erasures of one transaction.
constexpr std::size_t kMostEntries = 32;

constexpr int kBadRequest = 400;
constexpr int kForbidden = 403;
constexpr int kNotFound = 404;
constexpr int kGone = 410;
constexpr int kConflict = 412;
constexpr int kUnavailable = 503;

json RowOf(const std::string& key,
           const std::string& value,
           std::uint64_t revision,
           std::uint64_t created,
           std::uint64_t lease) {
  return {{"Key", key},
          {"Value", ToBase64(value)},
          {"Revision", revision},
          {"Created", created},
          {"Lease", lease}};
}

std::uint64_t NumberIn(std::string_view text) {
  return text.empty() ? 0 : std::stoull(std::string(text));
}

bool IsPlatforms(const std::string& key) {
  return key.starts_with("op/") || key.starts_with("servers/");
}

}  // namespace

void KeyStore::Write(const std::string& key,
                     const std::string& value,
                     std::uint64_t lease) {
  Record& record = this->records[key];
  record.value = value;
  record.revision = this->revision;
  record.lease = lease;
  if (record.created == 0) {
    record.created = this->revision;
  }
  this->history.push_back(
      {this->revision, key,
       RowOf(key, value, record.revision, record.created, lease)});
}

void KeyStore::Erase(const std::string& key) {
  if (this->records.erase(key) > 0) {
    this->history.push_back(
        {this->revision,
         key,
         {{"Key", key}, {"Revision", this->revision}, {"Removed", true}}});
  }
}

void KeyStore::Put(const std::string& key, const std::string& value) {
  ++this->revision;
  this->Write(key, value, 0);
}

void KeyStore::Remove(const std::string& key) {
  ++this->revision;
  this->Erase(key);
}

std::optional<std::string> KeyStore::Value(const std::string& key) const {
  const auto found = this->records.find(key);
  return found == this->records.end() ? std::nullopt
                                      : std::optional(found->second.value);
}

void KeyStore::Handle(const std::string& call,
                      const HttpRequest& request,
                      const HttpReply& reply,
                      Time now) {
  constexpr std::string_view keep = "kv-keep/";
  constexpr std::string_view end = "kv-lease-end/";
  if (this->is_down) {
    reply({.status = kUnavailable});
  } else if (call == "kv-key") {
    this->Get(request, reply);
  } else if (call == "kv-range") {
    this->List(request, reply);
  } else if (call == "kv-watch") {
    this->watches.push_back({.prefix = std::string(request.Query("Prefix")),
                             .after = NumberIn(request.Query("After")),
                             .until = now + std::chrono::milliseconds(NumberIn(
                                                request.Query("WaitMs"))),
                             .reply = reply});
    this->Tick(now);
  } else if (call == "kv-txn") {
    this->Transact(request, reply);
    this->Tick(now);
  } else if (call == "kv-lease") {
    const auto ttl_ms =
        json::parse(request.body).at("TtlMs").get<std::int64_t>();
    const Duration ttl = std::chrono::milliseconds(ttl_ms);
    this->leases[++this->last_lease] = {ttl, now + ttl};
    reply(
        {.body = json{{"Lease", this->last_lease}, {"TtlMs", ttl_ms}}.dump()});
  } else if (call.starts_with(keep)) {
    const auto lease =
        this->leases.find(NumberIn(std::string_view(call).substr(keep.size())));
    if (lease == this->leases.end()) {
      reply({.status = kNotFound});
      return;
    }
    lease->second.ends = now + lease->second.ttl;
    reply({.body = "{}"});
  } else if (call.starts_with(end)) {
    const auto lease =
        this->leases.find(NumberIn(std::string_view(call).substr(end.size())));
    if (lease == this->leases.end()) {
      reply({.status = kNotFound});
      return;
    }
    lease->second.ends = now;
    this->Tick(now);
    reply({.body = "{}"});
  } else {
    reply({.status = kNotFound});
  }
}

void KeyStore::Get(const HttpRequest& request, const HttpReply& reply) const {
  const std::string key(request.Query("Key"));
  const auto found = this->records.find(key);
  if (found == this->records.end()) {
    reply({.status = kNotFound});
    return;
  }
  const Record& record = found->second;
  json body =
      RowOf(key, record.value, record.revision, record.created, record.lease);
  body["StoreRevision"] = this->revision;
  reply({.body = body.dump()});
}

void KeyStore::List(const HttpRequest& request, const HttpReply& reply) const {
  const std::string prefix(request.Query("Prefix"));
  const std::string after(request.Query("After"));
  json items = json::array();
  bool more = false;
  for (auto row = this->records.lower_bound(prefix);
       row != this->records.end() && row->first.starts_with(prefix); ++row) {
    if (!after.empty() && row->first <= after) {
      continue;
    }
    if (items.size() == kPageItems) {
      more = true;
      break;
    }
    items.push_back(RowOf(row->first, row->second.value, row->second.revision,
                          row->second.created, row->second.lease));
  }
  reply({.body = json{{"items", items},
                      {"HasMore", more},
                      {"StoreRevision", this->revision}}
                     .dump()});
}

void KeyStore::Transact(const HttpRequest& request, const HttpReply& reply) {
  const json body = json::parse(request.body);
  const json conditions = body.value("ExpectedRev", json::array());
  const json puts = body.value("Puts", json::array());
  const json erasures = body.value("Deletes", json::array());
  if (conditions.size() + puts.size() + erasures.size() > kMostEntries) {
    reply({.status = kBadRequest});
    return;
  }
  bool holds = true;
  json items = json::array();
  for (const json& condition : conditions) {
    const std::string key = condition.at("Key");
    const auto record = this->records.find(key);
    const bool exists = record != this->records.end();
    holds = holds && condition.at("Revision").get<std::uint64_t>() ==
                         (exists ? record->second.revision : 0);
    if (exists) {
      items.push_back(RowOf(key, record->second.value, record->second.revision,
                            record->second.created, record->second.lease));
    }
  }
  if (!holds) {
    reply({.status = kConflict, .body = json{{"items", items}}.dump()});
    return;
  }
  for (const json& put : puts) {
    const std::uint64_t lease = put.value("Lease", std::uint64_t{0});
    if (lease != 0 && !this->leases.contains(lease)) {
      reply({.status = kNotFound});
      return;
    }
    if (IsPlatforms(put.at("Key"))) {
      reply({.status = kForbidden});
      return;
    }
  }
  ++this->revision;
  for (const json& put : puts) {
    this->Write(put.at("Key"),
                FromBase64(put.at("Value").get<std::string>()).value_or(""),
                put.value("Lease", std::uint64_t{0}));
  }
  for (const json& key : erasures) {
    this->Erase(key);
  }
  reply({.body = json{{"Revision", this->revision}}.dump()});
}

std::uint64_t KeyStore::CreatedAt(const std::string& key) const {
  const auto found = this->records.find(key);
  return found == this->records.end() ? 0 : found->second.created;
}

void KeyStore::DropHistory() {
  this->history.clear();
  this->history_from = this->revision;
}

bool KeyStore::AnswerWatch(const Watch& watch, Time now) const {
  if (watch.after < this->history_from) {
    watch.reply({.status = kGone});
    return true;
  }
  json events = json::array();
  auto event = std::ranges::upper_bound(this->history, watch.after, {},
                                        &Event::revision);
  for (; event != this->history.end(); ++event) {
    if (event->key.starts_with(watch.prefix)) {
      events.push_back(event->row);
    }
  }
  if (events.empty() && now < watch.until) {
    return false;
  }
  watch.reply(
      {.body =
           json{{"events", events}, {"StoreRevision", this->revision}}.dump()});
  return true;
}

void KeyStore::SetDown(bool down) {
  this->is_down = down;
  this->cut_off.splice(this->cut_off.end(), this->watches);
}

void KeyStore::DropCalls() {
  this->watches.clear();
  this->cut_off.clear();
}

void KeyStore::Tick(Time now) {
  if (this->is_down) {
    return;
  }
  for (auto lease = this->leases.begin(); lease != this->leases.end();) {
    if (now < lease->second.ends) {
      ++lease;
      continue;
    }
    std::vector<std::string> keys;
    for (const auto& [key, record] : this->records) {
      if (record.lease == lease->first) {
        keys.push_back(key);
      }
    }
    for (const std::string& key : keys) {
      this->Remove(key);
    }
    lease = this->leases.erase(lease);
  }
  std::erase_if(this->watches, [this, now](const Watch& watch) {
    return this->AnswerWatch(watch, now);
  });
}

}  // namespace kch::fake
