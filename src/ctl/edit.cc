#include "ctl/edit.h"

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <optional>
#include <set>

#include "ctl/json_view.h"

namespace kch::ctl {
namespace {

using nlohmann::json;

constexpr std::string_view kDigits = "0123456789abcdef";
constexpr std::size_t kIdBytes = 4;  // of a key id that is made up
// Characters that a query holds without an escape.
constexpr std::string_view kPlain =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.~";

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, value);
  if (code != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

// A value that does not fit the field's type stays a text, which the decoder
// refuses with the allowed values.
json ValueOf(const json& present, const std::string& text) {
  if (present.is_boolean() && (text == "true" || text == "false")) {
    return text == "true";
  }
  if (present.is_number()) {
    if (const auto number = ParseNumber(text)) {
      return *number;
    }
  }
  return text;
}

Error UnknownField(const json& object, const FieldValue& field) {
  std::string allowed;
  for (const auto& item : object.items()) {
    if (item.key() != "id") {
      allowed += (allowed.empty() ? "" : ", ") + item.key();
    }
  }
  return {ErrorKind::kInvalid,
          "argument " + field.field + "=" + field.value +
              " names no field, allowed is " + allowed,
          "correct the name of the field"};
}

// Sets fields of an object's JSON and reads it as a change.
Result<config::Change> Change(EditKind kind,
                              const config::Object& present,
                              const std::vector<FieldValue>& fields) {
  json object = json::parse(config::Encode(present));
  for (const FieldValue& field : fields) {
    if (field.field == "id" || !object.contains(field.field)) {
      return tl::make_unexpected(UnknownField(object, field));
    }
    object[field.field] = ValueOf(object[field.field], field.value);
  }
  object["type"] = "put_" + std::string(NameOf(kind));
  return config::Decode<config::Change>(
      object.dump(-1, ' ', false, json::error_handler_t::replace));
}

config::Object NewObject(const EditObject& edit) {
  switch (edit.kind) {
    case EditKind::kTeam:
      return config::Team{.id = TeamId(edit.name)};
    case EditKind::kProfile:
      return config::Profile{.id = ProfileId(edit.name)};
    case EditKind::kPool:
      break;
  }
  return config::Pool{.id = PoolId(edit.name)};
}

bool Sets(const EditObject& edit, std::string_view field) {
  return std::ranges::find(edit.fields, field, &FieldValue::field) !=
         edit.fields.end();
}

// The change type that puts an object of this kind, to look the object up.
config::Change Put(const config::Object& object) {
  if (const auto* team = std::get_if<config::Team>(&object)) {
    return config::PutTeam{*team};
  }
  if (const auto* profile = std::get_if<config::Profile>(&object)) {
    return config::PutProfile{*profile};
  }
  return config::PutPool{std::get<config::Pool>(object)};
}

}  // namespace

Result<void> CheckFields(const EditObject& edit) {
  config::Object object = NewObject(edit);
  // A profile without a pool is complete once its present value is known.
  if (auto* profile = std::get_if<config::Profile>(&object)) {
    profile->pool = PoolId("any");
  }
  const auto change = Change(edit.kind, object, edit.fields);
  if (change) {
    return {};
  }
  Error error = change.error();
  // The decoder's message starts with the field, which here is a flag.
  if (edit.kind == EditKind::kTeam) {
    error.message = "--" + error.message;
  }
  return tl::make_unexpected(error);
}

Result<config::Proposal> ProposeEdit(const EditObject& edit,
                                     const config::State& state) {
  config::Object object = NewObject(edit);
  const config::Subject subject = config::SubjectOf(state, Put(object));
  if (subject.object) {
    object = *subject.object;
  } else if (edit.kind == EditKind::kProfile && !Sets(edit, "pool")) {
    return Fail(ErrorKind::kNotFound,
                "profile " + edit.name + " does not exist",
                "correct NAME, or give pool=POOL to create it");
  } else if (edit.kind == EditKind::kTeam &&
             !(Sets(edit, "weight") && Sets(edit, "limit"))) {
    return Fail(ErrorKind::kNotFound, "team " + edit.name + " does not exist",
                "correct NAME, or give --weight and --limit to create it");
  }
  auto change = Change(edit.kind, object, edit.fields);
  if (!change) {
    return tl::make_unexpected(change.error());
  }
  return config::Proposal{.change = *std::move(change),
                          .expected_revision = subject.revision};
}

Result<config::Proposal> ProposeZone(const SetZoneService& zone,
                                     const config::State& state,
                                     const Reports& reports) {
  // A misspelt zone would be created and the right one would stay in service.
  std::set<std::string> known;
  for (const auto& [id, value] : state.zones) {
    known.insert(id.str());
  }
  for (const json& report : reports) {
    for (const json& instance : Member(report, "instances")) {
      known.insert(TextOf(Member(instance, "zone")));
    }
    for (const json& pool : Member(report, "pools")) {
      for (const json& vm : Member(pool, "vms")) {
        known.insert(TextOf(Member(vm, "zone")));
      }
    }
  }
  known.erase("");
  if (!known.contains(zone.id.str())) {
    std::string names;
    for (const std::string& name : known) {
      names += (names.empty() ? "" : ", ") + name;
    }
    return Fail(
        ErrorKind::kNotFound,
        "zone " + zone.id.str() +
            " is not configured and no VM or instance is in it",
        names.empty() ? "no zone is known yet" : "known zones are " + names);
  }
  // No expected revision: in an emergency the order counts, whoever was there
  // before.
  return config::Proposal{
      .change = config::SetZone{config::Zone{zone.id, zone.in_service}}};
}

Result<config::Proposal> ProposeRetirement(const RetireInstance& retire,
                                           const Reports& reports) {
  std::uint64_t newest = 0;
  std::uint64_t running = 0;
  std::string state;
  for (const json& report : reports) {
    for (const json& row : Member(report, "instances")) {
      if (TextOf(Member(row, "instance")) != retire.id.str()) {
        continue;
      }
      const auto incarnation =
          static_cast<std::uint64_t>(NumberOf(Member(row, "incarnation")));
      newest = std::max(newest, incarnation);
      if (TextOf(Member(row, "state")) != "down" && incarnation > running) {
        running = incarnation;
        state = TextOf(Member(row, "state"));
      }
    }
  }
  if (newest == 0 && !retire.incarnation) {
    return Fail(ErrorKind::kNotFound,
                "no entry lists instance " + retire.id.str(),
                "correct NAME, or give the INCARNATION that has stopped");
  }
  const std::uint64_t incarnation = retire.incarnation.value_or(newest);
  // Permits of a retired instance are given away, which would break the limits
  // of teams if it still ran.
  if (running != 0 && running <= incarnation) {
    return Fail(ErrorKind::kConflict,
                "instance " + retire.id.str() + " incarnation " +
                    std::to_string(running) + " still runs (" + state + ")",
                "stop it first; it then leaves by itself or is seen down");
  }
  return config::Proposal{.change = config::RetireInstance{
                              config::Retirement{retire.id, incarnation}}};
}

std::string Hex(std::string_view bytes) {
  std::string hex;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    hex += kDigits[byte >> 4U];
    hex += kDigits[byte & 15U];
  }
  return hex;
}

NewKey MakeKey(const GrantKey& grant, std::string_view random) {
  NewKey result;
  result.key.team = grant.team;
  result.key.id = grant.id;
  if (grant.id.empty()) {
    const std::string suffix = "-" + Hex(random.substr(0, kIdBytes));
    result.key.id = KeyId(
        grant.team.str().substr(0, config::kMaxNameLength - suffix.size()) +
        suffix);
  }
  result.text = result.key.id.str() + config::kSecretSeparator +
                Hex(random.substr(kIdBytes));
  result.key.secret_sha256 = config::HashSecret(result.text);
  return result;
}

std::string EncodeQuery(std::string_view text) {
  std::string result;
  for (const char c : text) {
    if (kPlain.find(c) != std::string_view::npos) {
      result += c;
    } else {
      result += "%" + Hex(std::string_view(&c, 1));
    }
  }
  return result;
}

std::string EncodeProposal(const config::Proposal& proposal) {
  json body{{"id", proposal.change_id},
            {"change", json::parse(config::Encode(proposal.change))}};
  if (proposal.expected_revision) {
    body["expected_revision"] = *proposal.expected_revision;
  }
  return body.dump();
}

std::string EncodeOrder(const SendOrder& order, const std::string& id) {
  return json{{"id", id},
              {"kind", NameOf(order.kind)},
              {"pool", order.pool.str()},
              {"vm", order.vm.str()},
              {"to", order.to.str()},
              {"reason", order.reason}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string EncodeVm(const AddVm& vm) {
  // The record's decoder wants every field of a row, those of a new VM too.
  return json{{"pool", vm.pool.str()},
              {"id", vm.id.str()},
              {"address", vm.address},
              {"zone", vm.zone.str()},
              {"rack", vm.rack.str()},
              {"slots", vm.slots},
              {"cpus", vm.cpus},
              {"memory_mb", vm.memory_mb},
              {"accelerators", vm.accelerators},
              {"state", "serving"},
              {"purpose", "reboot"},
              {"to", ""},
              {"operation", ""},
              {"step", 0},
              {"since", 0},
              {"since_s", 0},
              {"boot", ""},
              {"maintained_s", 0},
              {"epoch", 0},
              {"reason", ""}}
      .dump();
}

}  // namespace kch::ctl
