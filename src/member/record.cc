#include "member/record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace kch::member {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxNameLength = 64;
constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";
constexpr std::string_view kNameAllowed = "1 to 64 of a-z A-Z 0-9 - _ . :";
static_assert(kMaxNameLength == 64, "kNameAllowed names the length");

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<void> ValidateName(std::string_view field, const std::string& name) {
  if (name.empty() || name.size() > kMaxNameLength ||
      name.find_first_not_of(kNameCharacters) != std::string::npos) {
    return Fail(ErrorKind::kInvalid,
                "field " + std::string(field) + " is " +
                    Dump(Json(name.substr(0, kMaxNameLength))) +
                    "; allowed: " + std::string(kNameAllowed),
                "correct the setting that provides the value");
  }
  return {};
}

Result<void> ValidateMember(const Member& member) {
  if (member.incarnation == 0) {
    return Fail(ErrorKind::kInvalid,
                "field incarnation is 0; allowed: 1 or more",
                "number the starts of the process in ascending order from 1");
  }
  return ValidateName("instance", member.instance.str())
      .and_then([&] { return ValidateName("vm", member.vm.str()); })
      .and_then([&] { return ValidateName("zone", member.zone.str()); })
      .and_then(
          [&] { return ValidateName("peer_address", member.peer_address); })
      .and_then(
          [&] { return ValidateName("http_address", member.http_address); });
}

void AddStopRecord(Record& record,
                   const InstanceId& instance,
                   std::uint64_t incarnation,
                   StopKind kind) {
  const auto found = record.stopped.find(instance);
  if (found != record.stopped.end() &&
      found->second.incarnation >= incarnation) {
    return;
  }
  record.stopped.insert_or_assign(
      instance, Stop{incarnation, kind, record.next_serial++});
  if (record.stopped.size() > kMaxStopRecords) {
    record.stopped.erase(
        std::min_element(record.stopped.begin(), record.stopped.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.serial < b.second.serial;
                         }));
  }
}

tl::unexpected<Error> CorruptRecord(const std::string& what) {
  return Fail(ErrorKind::kCorrupt, "members: " + what,
              "restore the record in the store from a backup, or use an entry "
              "of a newer version");
}

// Reads the fields of a JSON object. HasExactFields() is false if a field was
// missing or had another type, or if the object has fields that were not read.
class ObjectReader {
 public:
  explicit ObjectReader(const Json& json)
      : json(json), valid_so_far(json.is_object()) {}

  template <typename Tag>
  void Read(const char* field, Id<Tag>& id) {
    std::string text;
    this->Read(field, text);
    id = Id<Tag>(std::move(text));
  }
  void Read(const char* field, std::string& text) {
    if (const Json* value = this->Find(field, Json::value_t::string)) {
      text = value->get<std::string>();
    }
  }
  void Read(const char* field, std::uint64_t& number) {
    if (const Json* value = this->Find(field, Json::value_t::number_unsigned)) {
      number = value->get<std::uint64_t>();
    }
  }
  void Read(const char* field, bool& flag) {
    if (const Json* value = this->Find(field, Json::value_t::boolean)) {
      flag = value->get<bool>();
    }
  }
  [[nodiscard]] const Json* ReadArray(const char* field) {
    return this->Find(field, Json::value_t::array);
  }
  [[nodiscard]] bool HasExactFields() const {
    return this->valid_so_far && this->fields_read == this->json.size();
  }

 private:
  const Json* Find(const char* field, Json::value_t type) {
    if (!this->valid_so_far) {
      return nullptr;
    }
    const auto found = this->json.find(field);
    if (found == this->json.end() || found->type() != type) {
      this->valid_so_far = false;
      return nullptr;
    }
    ++this->fields_read;
    return &*found;
  }

  const Json& json;
  bool valid_so_far;
  std::size_t fields_read = 0;
};

}  // namespace

Result<Record> Join(Record record, const Member& member) {
  if (auto valid = ValidateMember(member); !valid) {
    return tl::make_unexpected(valid.error());
  }
  const auto row = record.members.find(member.instance);
  const auto stop = record.stopped.find(member.instance);
  std::uint64_t newest = 0;
  if (row != record.members.end()) {
    // A member with the same incarnation may update its row.
    newest = row->second.incarnation - 1;
  }
  if (stop != record.stopped.end()) {
    newest = std::max(newest, stop->second.incarnation);
  }
  if (member.incarnation <= newest) {
    return Fail(ErrorKind::kConflict,
                "instance " + member.instance.str() + " has incarnation " +
                    std::to_string(member.incarnation) + "; allowed: above " +
                    std::to_string(newest),
                "stop this process; it has been replaced or declared stopped");
  }
  if (row == record.members.end() && record.members.size() >= kMaxMembers) {
    return Fail(ErrorKind::kTooLarge,
                "instance " + member.instance.str() + " would be member " +
                    std::to_string(record.members.size() + 1) +
                    "; allowed: at most " + std::to_string(kMaxMembers),
                "retire instances that have stopped");
  }
  // The row of a later incarnation proves that the earlier ones have stopped.
  record.stopped.erase(member.instance);
  record.members.insert_or_assign(member.instance, member);
  return record;
}

Record Leave(Record record,
             const InstanceId& instance,
             std::uint64_t incarnation) {
  return Remove(std::move(record),
                {instance, incarnation, StopKind::kReleased});
}

Record Remove(Record record, const StopProof& proof) {
  const auto row = record.members.find(proof.instance);
  if (row != record.members.end() &&
      row->second.incarnation <= proof.incarnation) {
    record.members.erase(row);
    AddStopRecord(record, proof.instance, proof.incarnation, proof.kind);
  }
  return record;
}

std::string Encode(const Record& record) {
  Json members = Json::array();
  for (const auto& [id, member] : record.members) {
    members.push_back({{"instance", id.str()},
                       {"incarnation", member.incarnation},
                       {"vm", member.vm.str()},
                       {"zone", member.zone.str()},
                       {"peer_address", member.peer_address},
                       {"http_address", member.http_address},
                       {"draining", member.draining}});
  }
  Json stopped = Json::array();
  for (const auto& [id, stop] : record.stopped) {
    stopped.push_back({{"instance", id.str()},
                       {"incarnation", stop.incarnation},
                       {"kind", NameOf(stop.kind)},
                       {"serial", stop.serial}});
  }
  return Dump({{"members", std::move(members)},
               {"stopped", std::move(stopped)},
               {"next_serial", record.next_serial}});
}

template <>
Result<Record> Decode<Record>(std::string_view text) {
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) {
    return CorruptRecord("not JSON");
  }
  Record record;
  ObjectReader reader(json);
  reader.Read("next_serial", record.next_serial);
  const Json* members = reader.ReadArray("members");
  const Json* stopped = reader.ReadArray("stopped");
  if (!reader.HasExactFields()) {
    return CorruptRecord(
        "must have exactly the fields members, stopped and next_serial");
  }
  for (const Json& item : *members) {
    Member member;
    ObjectReader row(item);
    row.Read("instance", member.instance);
    row.Read("incarnation", member.incarnation);
    row.Read("vm", member.vm);
    row.Read("zone", member.zone);
    row.Read("peer_address", member.peer_address);
    row.Read("http_address", member.http_address);
    row.Read("draining", member.draining);
    if (!row.HasExactFields()) {
      return CorruptRecord(
          "a member lacks a field, or has an invalid or unknown one");
    }
    if (auto valid = ValidateMember(member); !valid) {
      return CorruptRecord(valid.error().message);
    }
    InstanceId id = member.instance;
    if (!record.members.try_emplace(id, std::move(member)).second) {
      return CorruptRecord("duplicate member for instance " + id.str());
    }
  }
  for (const Json& item : *stopped) {
    InstanceId id;
    Stop stop;
    std::string kind;
    ObjectReader row(item);
    row.Read("instance", id);
    row.Read("incarnation", stop.incarnation);
    row.Read("kind", kind);
    row.Read("serial", stop.serial);
    const auto found = FromName<StopKind>(kind);
    if (!row.HasExactFields() || !found ||
        !ValidateName("instance", id.str())) {
      return CorruptRecord(
          "a stop record lacks a field, or has an invalid or unknown one");
    }
    stop.kind = *found;
    if (!record.stopped.try_emplace(id, stop).second) {
      return CorruptRecord("duplicate stop record for instance " + id.str());
    }
  }
  return record;
}

}  // namespace kch::member
