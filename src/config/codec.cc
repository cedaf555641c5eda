#include <algorithm>
#include <array>
#include <concepts>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <type_traits>

#include "config/change.h"
#include "config/head.h"
#include "config/limits.h"
#include "config/state.h"

namespace kch::config {
namespace {

using Json = nlohmann::json;

// Values in error messages are truncated to this length.
constexpr std::size_t kMaxShownLength = 64;
constexpr std::size_t kSha256HexLength = 64;
constexpr std::string_view kHexCharacters = "0123456789abcdef";

template <typename T, typename U>
concept MaybeConst = std::same_as<std::remove_const_t<T>, U>;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string Truncated(std::string text) {
  if (text.size() > kMaxShownLength) {
    text.resize(kMaxShownLength);
    text += "...";
  }
  return text;
}

// Constraints of a text field. The value of a `redacted` field is omitted from
// error messages: an operator may have entered a secret instead of its id or
// hash.
struct TextRule {
  std::size_t min_length;
  std::size_t max_length;
  std::string_view characters;
  std::string_view allowed;
  bool alphanumeric_start;
  bool redacted;
};
constexpr TextRule kNameRule{1,
                             kMaxNameLength,
                             kNameCharacters,
                             "1 to 48 of a-z 0-9 - _, first a-z "
                             "or 0-9",
                             true,
                             false};
constexpr TextRule kKeyNameRule{kNameRule.min_length,
                                kNameRule.max_length,
                                kNameRule.characters,
                                kNameRule.allowed,
                                true,
                                true};
constexpr TextRule kTypeNameRule{
    0,     kMaxNameLength, kNameCharacters, "the name of a change type",
    false, false};
constexpr TextRule kInstanceNameRule{1,
                                     kMaxInstanceLength,
                                     kInstanceCharacters,
                                     "1 to 64 of a-z A-Z 0-9 - _ . :",
                                     false,
                                     false};
constexpr TextRule kSha256Rule{kSha256HexLength,
                               kSha256HexLength,
                               kHexCharacters,
                               "64 of 0-9 a-f, the SHA-256 of the secret",
                               false,
                               true};
static_assert(kMaxNameLength == 48 && kMaxInstanceLength == 64,
              "the texts above contain the lengths");

Error FieldError(std::string_view field,
                 const std::string& value,
                 std::string_view allowed) {
  return Error{ErrorKind::kInvalid,
               std::string(field) + " is " + Truncated(value) +
                   "; allowed: " + std::string(allowed),
               "set " + std::string(field) + " to an allowed value"};
}

std::optional<Error> CheckText(std::string_view field,
                               const std::string& text,
                               const TextRule& rule) {
  const bool valid =
      text.size() >= rule.min_length && text.size() <= rule.max_length &&
      text.find_first_not_of(rule.characters) == std::string::npos &&
      !(rule.alphanumeric_start && (text[0] == '-' || text[0] == '_'));
  if (valid) {
    return std::nullopt;
  }
  return FieldError(
      field,
      rule.redacted
          ? "not shown (" + std::to_string(text.size()) + " characters)"
          : Dump(Json(text)),
      rule.allowed);
}

std::string RangeText(std::uint64_t low, std::uint64_t high) {
  return std::to_string(low) + " to " + std::to_string(high);
}

// Field names, types and ranges of each record. The same list is used by the
// visitors below to write, read and check a record.
template <typename V>
void VisitFields(V& visitor, MaybeConst<Team> auto& team) {
  visitor.Text("id", team.id, kNameRule);
  visitor.Number("weight", team.weight, kMinWeight, kMaxWeight);
  visitor.Number("limit", team.limit, 0, kMaxTasks);
}

template <typename V>
void VisitFields(V& visitor, MaybeConst<Profile> auto& profile) {
  visitor.Text("id", profile.id, kNameRule);
  visitor.Text("pool", profile.pool, kNameRule);
  visitor.Flag("open", profile.open);
  visitor.Flag("urgent", profile.urgent);
  visitor.Flag("preemptible", profile.preemptible);
  visitor.Number("capacity", profile.capacity, 0, kMaxTasks);
  visitor.Choice("on_limit_cut", profile.on_limit_cut);
  visitor.Choice("on_drain", profile.on_drain);
  visitor.Number("drain_wait_ms", profile.drain_wait_ms, 0, kMaxDrainWaitMs);
  visitor.Number("task_lease_ms", profile.task_lease_ms, kMinTaskLeaseMs,
                 kMaxTaskLeaseMs);
  visitor.Number("deadline_ms", profile.deadline_ms, kMinDeadlineMs,
                 kMaxDeadlineMs);
}

template <typename V>
void VisitFields(V& visitor, MaybeConst<Pool> auto& pool) {
  visitor.Text("id", pool.id, kNameRule);
  visitor.Flag("spare", pool.spare);
  visitor.Number("max_unavailable", pool.max_unavailable, 0,
                 kMaxUnavailableVms);
  visitor.Number("max_unavailable_per_zone", pool.max_unavailable_per_zone, 0,
                 kMaxUnavailableVms);
  visitor.Number("max_unavailable_per_rack", pool.max_unavailable_per_rack, 0,
                 kMaxUnavailableVms);
}

template <typename V>
void VisitFields(V& visitor, MaybeConst<Zone> auto& zone) {
  visitor.Text("id", zone.id, kNameRule);
  visitor.Flag("in_service", zone.in_service);
}

template <typename V>
void VisitFields(V& visitor, MaybeConst<Key> auto& key) {
  visitor.Text("id", key.id, kKeyNameRule);
  visitor.Text("team", key.team, kNameRule);
  visitor.Text("secret_sha256", key.secret_sha256, kSha256Rule);
}

template <typename V>
void VisitFields(V& visitor, MaybeConst<Retirement> auto& retirement) {
  visitor.Text("instance", retirement.instance, kInstanceNameRule);
  visitor.Number("incarnation", retirement.incarnation, 1,
                 std::numeric_limits<std::uint64_t>::max());
}

template <typename V>
void VisitFields(V& visitor, MaybeConst<PutTeam> auto& change) {
  VisitFields(visitor, change.team);
}
template <typename V>
void VisitFields(V& visitor, MaybeConst<RemoveTeam> auto& change) {
  visitor.Text("id", change.id, kNameRule);
}
template <typename V>
void VisitFields(V& visitor, MaybeConst<PutProfile> auto& change) {
  VisitFields(visitor, change.profile);
}
template <typename V>
void VisitFields(V& visitor, MaybeConst<RemoveProfile> auto& change) {
  visitor.Text("id", change.id, kNameRule);
}
template <typename V>
void VisitFields(V& visitor, MaybeConst<PutPool> auto& change) {
  VisitFields(visitor, change.pool);
}
template <typename V>
void VisitFields(V& visitor, MaybeConst<RemovePool> auto& change) {
  visitor.Text("id", change.id, kNameRule);
}
template <typename V>
void VisitFields(V& visitor, MaybeConst<SetZone> auto& change) {
  VisitFields(visitor, change.zone);
}
template <typename V>
void VisitFields(V& visitor, MaybeConst<RemoveZone> auto& change) {
  visitor.Text("id", change.id, kNameRule);
}
template <typename V>
void VisitFields(V& visitor, MaybeConst<GrantKey> auto& change) {
  VisitFields(visitor, change.key);
}
template <typename V>
void VisitFields(V& visitor, MaybeConst<WithdrawKey> auto& change) {
  visitor.Text("id", change.id, kKeyNameRule);
}
template <typename V>
void VisitFields(V& visitor, MaybeConst<RetireInstance> auto& change) {
  VisitFields(visitor, change.retirement);
}
template <typename V>
void VisitFields(V& visitor, MaybeConst<RemoveRetirement> auto& change) {
  visitor.Text("instance", change.instance, kInstanceNameRule);
}

// Names of the alternatives of Change, in the order of the variant.
constexpr std::array<std::string_view, std::variant_size_v<Change>>
    kChangeTypes{"put_team",       "remove_team",     "put_profile",
                 "remove_profile", "put_pool",        "remove_pool",
                 "set_zone",       "remove_zone",     "grant_key",
                 "withdraw_key",   "retire_instance", "remove_retirement"};

class Writer {
 public:
  explicit Writer(Json& json) : json(json) {}

  template <typename Tag>
  void Text(const char* field, const Id<Tag>& id, const TextRule& /*rule*/) {
    this->json[field] = id.str();
  }
  void Text(const char* field,
            const std::string& text,
            const TextRule& /*rule*/) {
    this->json[field] = text;
  }
  void Flag(const char* field, bool flag) { this->json[field] = flag; }
  template <typename T>
  void Number(const char* field, T number, std::uint64_t, std::uint64_t) {
    this->json[field] = number;
  }
  template <typename E>
  void Choice(const char* field, E choice) {
    this->json[field] = NameOf(choice);
  }

 private:
  Json& json;
};

// Checks the fields of a record and stores the first error.
class Checker {
 public:
  template <typename Tag>
  void Text(const char* field, const Id<Tag>& id, const TextRule& rule) {
    this->RecordError(CheckText(field, id.str(), rule));
  }
  void Text(const char* field, const std::string& text, const TextRule& rule) {
    this->RecordError(CheckText(field, text, rule));
  }
  void Flag(const char* /*field*/, bool /*flag*/) {}
  template <typename T>
  void Number(const char* field,
              T number,
              std::uint64_t low,
              std::uint64_t high) {
    if (number < low || number > high) {
      this->RecordError(
          FieldError(field, std::to_string(number), RangeText(low, high)));
    }
  }
  template <typename E>
  void Choice(const char* field, E choice) {
    if (!FromName<E>(NameOf(choice))) {
      this->RecordError(FieldError(
          field, std::to_string(static_cast<int>(choice)), NamesOf<E>()));
    }
  }
  [[nodiscard]] const std::optional<Error>& error() const {
    return this->first_error;
  }

 private:
  void RecordError(std::optional<Error> error) {
    if (!this->first_error) {
      this->first_error = std::move(error);
    }
  }

  std::optional<Error> first_error;
};

// Reads and checks the fields of a JSON object and stores the first error.
class Reader {
 public:
  explicit Reader(const Json& json) : json(json) {
    if (!json.is_object()) {
      this->RecordError(Error{
          ErrorKind::kInvalid,
          "expected a JSON object, found " + std::string(json.type_name()),
          "write the fields as {\"field\": value}"});
    }
  }

  template <typename Tag>
  void Text(const char* field, Id<Tag>& id, const TextRule& rule) {
    std::string text;
    this->Text(field, text, rule);
    id = Id<Tag>(std::move(text));
  }
  void Text(const char* field, std::string& text, const TextRule& rule) {
    const Json* value = this->ReadField(field);
    if (value == nullptr) {
      return;
    }
    if (!value->is_string()) {
      this->RecordError(FieldError(
          field, rule.redacted ? "not shown, not a string" : Dump(*value),
          rule.allowed));
      return;
    }
    text = value->get<std::string>();
    this->RecordError(CheckText(field, text, rule));
  }
  void Flag(const char* field, bool& flag) {
    const Json* value = this->ReadField(field);
    if (value == nullptr) {
      return;
    }
    if (!value->is_boolean()) {
      this->RecordError(FieldError(field, Dump(*value), "true, false"));
      return;
    }
    flag = value->get<bool>();
  }
  template <typename T>
  void Number(const char* field,
              T& number,
              std::uint64_t low,
              std::uint64_t high) {
    const Json* value = this->ReadField(field);
    if (value == nullptr) {
      return;
    }
    // Negative numbers and fractions have other JSON types.
    if (!value->is_number_unsigned() || value->get<std::uint64_t>() < low ||
        value->get<std::uint64_t>() > high) {
      this->RecordError(FieldError(field, Dump(*value), RangeText(low, high)));
      return;
    }
    number = static_cast<T>(value->get<std::uint64_t>());
  }
  template <typename E>
  void Choice(const char* field, E& choice) {
    const Json* value = this->ReadField(field);
    if (value == nullptr) {
      return;
    }
    const auto found = value->is_string()
                           ? FromName<E>(value->get_ref<const std::string&>())
                           : std::nullopt;
    if (!found) {
      this->RecordError(FieldError(field, Dump(*value), NamesOf<E>()));
      return;
    }
    choice = *found;
  }
  // Returns the list in a field; an empty list on an error.
  const Json& List(const char* field) {
    static const Json empty = Json::array();
    const Json* value = this->ReadField(field);
    if (value == nullptr) {
      return empty;
    }
    if (!value->is_array()) {
      this->RecordError(FieldError(field, Dump(*value), "a list"));
      return empty;
    }
    return *value;
  }

  // Reports fields that have not been read, which are usually misspelt.
  void RejectUnknownFields() {
    if (this->first_error || this->read_count == this->json.size()) {
      return;
    }
    for (const auto& item : this->json.items()) {
      if (!this->read_fields.contains(item.key())) {
        this->RecordError(
            Error{ErrorKind::kInvalid,
                  "unknown field " + Truncated(Dump(Json(item.key()))),
                  "remove it or correct its name"});
      }
    }
  }
  void RecordError(std::optional<Error> error) {
    if (!this->first_error) {
      this->first_error = std::move(error);
    }
  }
  [[nodiscard]] const std::optional<Error>& error() const {
    return this->first_error;
  }

 private:
  const Json* ReadField(const char* field) {
    if (this->first_error) {
      return nullptr;
    }
    const auto found = this->json.find(field);
    if (found == this->json.end()) {
      this->RecordError(Error{ErrorKind::kInvalid,
                              "field " + std::string(field) + " is missing",
                              "add it; every field is required"});
      return nullptr;
    }
    ++this->read_count;
    this->read_fields.insert(field);
    return &*found;
  }

  const Json& json;
  std::optional<Error> first_error;
  std::size_t read_count = 0;
  std::set<std::string_view> read_fields;
};

template <typename T>
Json ToJson(const T& record) {
  Json json = Json::object();
  Writer writer(json);
  VisitFields(writer, record);
  return json;
}

Json ChangeToJson(const Change& change) {
  Json json =
      std::visit([](const auto& inner) { return ToJson(inner); }, change);
  json["type"] = kChangeTypes[change.index()];
  return json;
}

template <std::size_t Index = 0>
std::optional<Change> NewChange(std::string_view type) {
  if constexpr (Index < std::variant_size_v<Change>) {
    if (kChangeTypes[Index] == type) {
      return Change(std::in_place_index<Index>);
    }
    return NewChange<Index + 1>(type);
  } else {
    return std::nullopt;
  }
}

void ReadChange(Reader& reader, Change& change) {
  std::string type;
  reader.Text("type", type, kTypeNameRule);
  if (reader.error()) {
    return;
  }
  auto created = NewChange(type);
  if (!created) {
    std::string allowed;
    for (const std::string_view name : kChangeTypes) {
      allowed += (allowed.empty() ? "" : ", ") + std::string(name);
    }
    reader.RecordError(FieldError("type", type, allowed));
    return;
  }
  change = std::move(*created);
  std::visit([&reader](auto& inner) { VisitFields(reader, inner); }, change);
}

// The parser's message is discarded: it quotes the input, which may contain a
// secret.
Result<Json> Parse(std::string_view text) {
  Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) {
    return Fail(ErrorKind::kInvalid,
                "not JSON (" + std::to_string(text.size()) + " bytes)",
                "send one JSON value, complete and in UTF-8");
  }
  return json;
}

constexpr std::string_view kBaseRecord = "config/base";
constexpr std::uint64_t kMaxRevision = std::numeric_limits<std::int64_t>::max();

// Error for a record written by this library that cannot be decoded.
tl::unexpected<Error> CorruptError(std::string_view record,
                                   const Error& cause) {
  return Fail(ErrorKind::kCorrupt, std::string(record) + ": " + cause.message,
              "restore the record in the store from a backup, or use an entry "
              "of a newer version");
}

template <typename Id, typename T>
Json ObjectsToJson(const std::map<Id, Versioned<T>>& objects) {
  Json list = Json::array();
  for (const auto& [id, object] : objects) {
    Json json = ToJson(object.value);
    json["revision"] = object.revision;
    list.push_back(std::move(json));
  }
  return list;
}

template <typename T>
const auto& IdOf(const T& object) {
  if constexpr (std::same_as<T, Retirement>) {
    return object.instance;
  } else {
    return object.id;
  }
}

template <typename Id, typename T>
void ReadObjects(Reader& reader,
                 const char* field,
                 std::uint64_t max_revision,
                 std::map<Id, Versioned<T>>& objects) {
  objects.clear();
  for (const Json& json : reader.List(field)) {
    Versioned<T> object;
    Reader inner(json);
    VisitFields(inner, object.value);
    inner.Number("revision", object.revision, 0, max_revision);
    inner.RejectUnknownFields();
    reader.RecordError(inner.error());
    Id id = IdOf(object.value);
    const bool added = objects.try_emplace(id, std::move(object)).second;
    if (!added) {
      reader.RecordError(FieldError(field, id.str(), "each id once"));
    }
    if (reader.error()) {
      return;
    }
  }
}

}  // namespace

std::string Encode(const Object& object) {
  return std::visit([](const auto& inner) { return Dump(ToJson(inner)); },
                    object);
}

std::string Encode(const Change& change) {
  return Dump(ChangeToJson(change));
}

template <>
Result<Change> Decode<Change>(std::string_view text) {
  const auto json = Parse(text);
  if (!json) {
    return tl::make_unexpected(json.error());
  }
  Change change;
  Reader reader(*json);
  ReadChange(reader, change);
  reader.RejectUnknownFields();
  if (reader.error()) {
    return tl::make_unexpected(*reader.error());
  }
  return change;
}

Result<void> Validate(const Change& change) {
  Checker checker;
  std::visit([&checker](const auto& inner) { VisitFields(checker, inner); },
             change);
  if (checker.error()) {
    return tl::make_unexpected(*checker.error());
  }
  return {};
}

Result<void> ValidateChangeId(std::string_view id) {
  if (auto error = CheckText("change_id", std::string(id), kInstanceNameRule)) {
    return tl::make_unexpected(std::move(*error));
  }
  return {};
}

std::string Encode(const State& state) {
  Json json = Json::object();
  json["revision"] = state.revision;
  json["teams"] = ObjectsToJson(state.teams);
  json["profiles"] = ObjectsToJson(state.profiles);
  json["pools"] = ObjectsToJson(state.pools);
  json["zones"] = ObjectsToJson(state.zones);
  json["keys"] = ObjectsToJson(state.keys);
  json["retirements"] = ObjectsToJson(state.retirements);
  Json remembered = Json::array();
  for (const RememberedChange& change : state.remembered) {
    remembered.push_back(change.id);
  }
  // The ids belong to consecutive revisions up to the latest, so the revisions
  // are not stored.
  json["remembered"] = std::move(remembered);
  return Dump(json);
}

template <>
Result<State> Decode<State>(std::string_view text) {
  const auto json = Parse(text);
  if (!json) {
    return CorruptError(kBaseRecord, json.error());
  }
  State state;
  Reader reader(*json);
  reader.Number("revision", state.revision, 0, kMaxRevision);
  ReadObjects(reader, "teams", state.revision, state.teams);
  ReadObjects(reader, "profiles", state.revision, state.profiles);
  ReadObjects(reader, "pools", state.revision, state.pools);
  ReadObjects(reader, "zones", state.revision, state.zones);
  ReadObjects(reader, "keys", state.revision, state.keys);
  ReadObjects(reader, "retirements", state.revision, state.retirements);
  const Json& remembered = reader.List("remembered");
  if (remembered.size() >
      std::min<std::uint64_t>(kRememberedChanges, state.revision)) {
    reader.RecordError(FieldError("remembered",
                                  std::to_string(remembered.size()),
                                  "at most one id per revision and 256 ids"));
  }
  if (!reader.error()) {
    std::uint64_t revision = state.revision - remembered.size();
    for (const Json& id : remembered) {
      if (!id.is_string() ||
          CheckText("remembered", id.get_ref<const std::string&>(),
                    kInstanceNameRule)) {
        reader.RecordError(
            FieldError("remembered", Dump(id), kInstanceNameRule.allowed));
        break;
      }
      state.remembered.push_back({++revision, id.get<std::string>()});
    }
  }
  reader.RejectUnknownFields();
  if (!reader.error() && !state.teams.contains(OpenTeam())) {
    reader.RecordError(Error{ErrorKind::kCorrupt, "team open is missing", ""});
  }
  if (reader.error()) {
    return CorruptError(kBaseRecord, *reader.error());
  }
  return state;
}

std::string Encode(const Head& head) {
  Json changes = Json::array();
  for (const LoggedChange& change : head.changes) {
    Json json = ChangeToJson(change.change);
    json["change_id"] = change.id;
    changes.push_back(std::move(json));
  }
  Json json = Json::object();
  json["revision"] = head.revision();
  json["base_revision"] = head.base_revision;
  json["changes"] = std::move(changes);
  return Dump(json);
}

template <>
Result<Head> Decode<Head>(std::string_view text) {
  const auto json = Parse(text);
  if (!json) {
    return CorruptError(kHeadKey, json.error());
  }
  Head head;
  std::uint64_t revision = 0;
  Reader reader(*json);
  reader.Number("revision", revision, 0, kMaxRevision);
  reader.Number("base_revision", head.base_revision, 0, kMaxRevision);
  for (const Json& item : reader.List("changes")) {
    LoggedChange change;
    Reader inner(item);
    inner.Text("change_id", change.id, kInstanceNameRule);
    ReadChange(inner, change.change);
    inner.RejectUnknownFields();
    reader.RecordError(inner.error());
    change.revision = head.revision() + 1;
    head.changes.push_back(std::move(change));
  }
  reader.RejectUnknownFields();
  // Detects a list with missing changes.
  if (!reader.error() && head.revision() != revision) {
    reader.RecordError(FieldError("revision", std::to_string(revision),
                                  "base_revision plus the number of changes"));
  }
  if (reader.error()) {
    return CorruptError(kHeadKey, *reader.error());
  }
  return head;
}

}  // namespace kch::config
