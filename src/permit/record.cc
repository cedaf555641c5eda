#include "permit/record.h"

#include <algorithm>
#include <limits>
#include <nlohmann/json.hpp>
#include <numeric>

namespace kch::permit {
namespace {

constexpr std::string_view kPrefix = "permit/";

tl::unexpected<Error> Corrupt(const std::string& what) {
  return Fail(ErrorKind::kCorrupt, "permit record: " + what,
              "restore the record from an entry's log or delete it while no "
              "entry holds permits");
}

std::optional<std::uint64_t> Number(const nlohmann::json& object,
                                    const char* name,
                                    std::uint64_t bound) {
  const auto found = object.find(name);
  if (found == object.end() || !found->is_number_unsigned() ||
      found->get<std::uint64_t>() > bound) {
    return std::nullopt;
  }
  return found->get<std::uint64_t>();
}

constexpr std::uint64_t kMax32 = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t kMax64 = std::numeric_limits<std::uint64_t>::max();

std::optional<Holding> HoldingOf(const nlohmann::json& item) {
  if (!item.is_object()) {
    return std::nullopt;
  }
  const auto instance = item.find("instance");
  const auto retired = item.find("retired");
  const auto incarnation = Number(item, "incarnation", kMax64);
  const auto count = Number(item, "count", kMax32);
  const auto write = Number(item, "write", kMax64);
  if (instance == item.end() || !instance->is_string() ||
      retired == item.end() || !retired->is_boolean() || !incarnation ||
      !count || !write) {
    return std::nullopt;
  }
  return Holding{{InstanceId(instance->get<std::string>()), *incarnation},
                 static_cast<std::uint32_t>(*count),
                 retired->get<bool>(),
                 *write};
}

}  // namespace

std::string KeyOf(const Subject& subject) {
  std::string key(kPrefix);
  key += NameOf(subject.kind);
  key += '/';
  key += subject.name;
  return key;
}

std::optional<Subject> SubjectOf(std::string_view key) {
  if (!key.starts_with(kPrefix)) {
    return std::nullopt;
  }
  key.remove_prefix(kPrefix.size());
  const auto slash = key.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto kind = FromName<SubjectKind>(key.substr(0, slash));
  if (!kind) {
    return std::nullopt;
  }
  return Subject{*kind, std::string(key.substr(slash + 1))};
}

std::uint64_t Record::Sum() const {
  return std::accumulate(this->holdings.begin(), this->holdings.end(),
                         std::uint64_t{0},
                         [](std::uint64_t sum, const Holding& holding) {
                           return sum + holding.count;
                         });
}

const Holding* Record::Find(const Holder& holder) const {
  const auto found =
      std::find_if(this->holdings.begin(), this->holdings.end(),
                   [&](const Holding& item) { return item.holder == holder; });
  return found == this->holdings.end() ? nullptr : &*found;
}

Holding* Record::Find(const Holder& holder) {
  const auto found =
      std::find_if(this->holdings.begin(), this->holdings.end(),
                   [&](const Holding& item) { return item.holder == holder; });
  return found == this->holdings.end() ? nullptr : &*found;
}

std::string Encode(const Record& record) {
  auto holdings = nlohmann::json::array();
  for (const Holding& holding : record.holdings) {
    holdings.push_back({{"instance", holding.holder.instance.str()},
                        {"incarnation", holding.holder.incarnation},
                        {"count", holding.count},
                        {"retired", holding.retired},
                        {"write", holding.write_number}});
  }
  const nlohmann::json json = {{"cap", record.cap},
                               {"cap_revision", record.cap_revision},
                               {"holdings", std::move(holdings)}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

template <>
Result<Record> Decode<Record>(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) {
    return Corrupt("not a JSON object");
  }
  const auto cap = Number(json, "cap", kMax32);
  const auto cap_revision = Number(json, "cap_revision", kMax64);
  const auto holdings = json.find("holdings");
  if (!cap || !cap_revision || holdings == json.end() ||
      !holdings->is_array()) {
    return Corrupt("cap, cap_revision or holdings is missing or out of range");
  }
  Record record{static_cast<std::uint32_t>(*cap), *cap_revision, {}};
  for (const auto& item : *holdings) {
    auto holding = HoldingOf(item);
    if (!holding) {
      return Corrupt("a holding is incomplete or out of range");
    }
    if (record.Find(holding->holder) != nullptr) {
      return Corrupt("two holdings of one holder");
    }
    record.holdings.push_back(std::move(*holding));
  }
  if (record.Sum() > record.cap) {
    return Corrupt("the sum of counts exceeds the cap");
  }
  return record;
}

}  // namespace kch::permit
