#include "ctl/command.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <span>

#include "ctl/attempts.h"
#include "ctl/edit.h"

namespace kch::ctl {
namespace {

// Arguments after the words of the command.
using Rest = std::span<const std::string>;

Error BadArgument(std::string_view argument,
                  const std::string& value,
                  std::string_view allowed) {
  return {ErrorKind::kInvalid,
          "argument " + std::string(argument) + " has the value '" + value +
              "', allowed is " + std::string(allowed),
          "correct " + std::string(argument)};
}

// A team, / and the longest request id.
constexpr std::size_t kMaxExplainLength = 1200;
constexpr std::string_view kNameRule =
    "1 to 48 of a-z 0-9 - _, the first a-z or 0-9";
constexpr std::string_view kInstanceRule = "1 to 64 of a-z A-Z 0-9 - _ . :";

bool IsInstanceName(std::string_view text) {
  return !text.empty() && text.size() <= config::kMaxInstanceLength &&
         text.find_first_not_of(config::kInstanceCharacters) ==
             std::string_view::npos;
}

bool IsName(std::string_view text) {
  return !text.empty() && text.size() <= config::kMaxNameLength &&
         text.find_first_not_of(config::kNameCharacters) ==
             std::string_view::npos &&
         text[0] != '-' && text[0] != '_';
}

// Collects the first error while a command's arguments are read.
class Arguments {
 public:
  Arguments(Rest rest, const CommandFlags& flags) : rest(rest), flags(flags) {}

  template <typename Id>
  Id Name(std::size_t index, std::string_view argument) {
    const std::string& value = this->rest[index];
    if (!IsName(value)) {
      this->Keep(BadArgument(argument, value, kNameRule));
    }
    return Id(value);
  }
  // VMs, racks and instances are named by the platform or by settings.
  template <typename Id>
  Id InstanceName(std::size_t index, std::string_view argument) {
    const std::string& value = this->rest[index];
    if (!IsInstanceName(value)) {
      this->Keep(BadArgument(argument, value, kInstanceRule));
    }
    return Id(value);
  }
  template <typename T>
  T Number(std::string_view argument, const std::string& text, T low) {
    T value = 0;
    const char* end = text.data() + text.size();
    const auto [stop, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc() || stop != end || value < low) {
      this->Keep(
          BadArgument(argument, text,
                      "a whole number from " + std::to_string(low) + " to " +
                          std::to_string(std::numeric_limits<T>::max())));
    }
    return value;
  }
  std::vector<FieldValue> Fields(std::size_t first) {
    std::vector<FieldValue> fields;
    for (const std::string& text : this->rest.subspan(first)) {
      const std::size_t equals = text.find('=');
      if (equals == std::string::npos || equals == 0) {
        this->Keep(BadArgument("key=value", text, "a field, = and its value"));
        break;
      }
      FieldValue field{text.substr(0, equals), text.substr(equals + 1)};
      if (std::ranges::find(fields, field.field, &FieldValue::field) !=
          fields.end()) {
        this->Keep(BadArgument("key=value", text, "each field once"));
      }
      fields.push_back(std::move(field));
    }
    return fields;
  }
  void Keep(Error error) {
    if (!this->first) {
      this->first = std::move(error);
    }
  }

  Rest rest;
  const CommandFlags& flags;
  std::optional<Error> first;
};

Command KeyGrant(Arguments& arguments) {
  GrantKey grant{arguments.Name<TeamId>(0, "TEAM"), KeyId(arguments.flags.id)};
  if (!grant.id.empty() && !IsName(grant.id.str())) {
    arguments.Keep(BadArgument("--id", grant.id.str(), kNameRule));
  }
  // The secret is new in every run, so a repeat is not the same change.
  if (!arguments.flags.change_id.empty()) {
    arguments.Keep({ErrorKind::kInvalid,
                    "--change-id has the value '" + arguments.flags.change_id +
                        "', allowed is no value for key grant",
                    "leave --change-id out; after an unknown outcome withdraw "
                    "the key id and grant a new one"});
  }
  return grant;
}

Command KeyWithdraw(Arguments& arguments) {
  return SendChange{config::WithdrawKey{arguments.Name<KeyId>(0, "ID")}};
}

template <ListKind kKind>
Command List(Arguments& /*arguments*/) {
  return ShowList{kKind};
}

Command Help(Arguments& /*arguments*/) {
  return ShowHelp{};
}

// Checks the fields against those of a new object, before anything is sent.
Command Edit(Arguments& arguments,
             EditKind kind,
             std::vector<FieldValue> fields) {
  EditObject edit{kind, arguments.Name<TeamId>(0, "NAME").str(),
                  std::move(fields)};
  if (!arguments.first) {
    if (auto checked = CheckFields(edit); !checked) {
      arguments.Keep(checked.error());
    }
  }
  return edit;
}

Command TeamSet(Arguments& arguments) {
  std::vector<FieldValue> fields;
  if (!arguments.flags.weight.empty()) {
    fields.push_back({"weight", arguments.flags.weight});
  }
  if (!arguments.flags.limit.empty()) {
    fields.push_back({"limit", arguments.flags.limit});
  }
  if (fields.empty()) {
    arguments.Keep({ErrorKind::kInvalid,
                    "--weight and --limit have no value, needed is one or both",
                    "give --weight N, --limit N or both"});
  }
  return Edit(arguments, EditKind::kTeam, std::move(fields));
}

template <EditKind kKind>
Command FieldSet(Arguments& arguments) {
  return Edit(arguments, kKind, arguments.Fields(1));
}

Command TeamRemove(Arguments& arguments) {
  return SendChange{config::RemoveTeam{arguments.Name<TeamId>(0, "NAME")}};
}

Command ProfileRemove(Arguments& arguments) {
  return SendChange{
      config::RemoveProfile{arguments.Name<ProfileId>(0, "NAME")}};
}

Command ProfileShow(Arguments& arguments) {
  return ShowProfile{arguments.Name<ProfileId>(0, "NAME")};
}

template <bool kInService>
Command Zone(Arguments& arguments) {
  return SetZoneService{arguments.Name<ZoneId>(0, "NAME"), kInService};
}

Command InstanceRetire(Arguments& arguments) {
  RetireInstance retire{arguments.InstanceName<InstanceId>(0, "NAME"), {}};
  if (arguments.rest.size() > 1) {
    retire.incarnation =
        arguments.Number<std::uint64_t>("INCARNATION", arguments.rest[1], 1);
  }
  return retire;
}

Command ExplainId(Arguments& arguments) {
  const std::string& id = arguments.rest[0];
  if (id.empty() || id.size() > kMaxExplainLength) {
    arguments.Keep(BadArgument("ID", id.substr(0, 64), "1 to 1200 characters"));
  }
  return Explain{id};
}

template <OrderKind kKind>
Command Order(Arguments& arguments) {
  SendOrder order{.kind = kKind, .reason = arguments.flags.reason};
  if (kKind == OrderKind::kRollout) {
    order.pool = arguments.Name<PoolId>(0, "POOL");
    return order;
  }
  order.vm = arguments.InstanceName<VmId>(0, "VM");
  if (kKind == OrderKind::kMove) {
    order.to = arguments.Name<PoolId>(1, "POOL");
  }
  return order;
}

Command VmAdd(Arguments& arguments) {
  AddVm vm{.pool = arguments.Name<PoolId>(0, "POOL"),
           .id = arguments.InstanceName<VmId>(1, "VM"),
           .address = arguments.rest[2],
           .zone = arguments.Name<ZoneId>(3, "ZONE"),
           .rack = arguments.InstanceName<RackId>(4, "RACK")};
  if (const auto servers = ParseServers("HOST:PORT", vm.address);
      !servers || servers->size() != 1) {
    arguments.Keep(BadArgument("HOST:PORT", vm.address,
                               "one host:port with a port from 1 to 65535"));
  }
  for (const FieldValue& field : arguments.Fields(5)) {
    const bool slots = field.field == "slots";
    std::uint32_t* value = slots                           ? &vm.slots
                           : field.field == "cpus"         ? &vm.cpus
                           : field.field == "memory_mb"    ? &vm.memory_mb
                           : field.field == "accelerators" ? &vm.accelerators
                                                           : nullptr;
    if (value == nullptr) {
      arguments.Keep(BadArgument("key=value", field.field + "=" + field.value,
                                 "slots=, cpus=, memory_mb=, accelerators="));
      break;
    }
    *value = arguments.Number<std::uint32_t>(field.field, field.value,
                                             slots ? 1 : 0);
  }
  return vm;
}

// A command's words, its arguments and what reads them.
struct Form {
  std::string_view words;
  std::string_view arguments;
  std::size_t min;
  std::size_t max;
  Command (*read)(Arguments&);
  std::string_view flags;  // that it takes, separated by spaces
};

constexpr std::size_t kAny = 1000;

constexpr Form kForms[] = {
    {"key grant", "TEAM [--id ID]", 1, 1, KeyGrant, "--id"},
    {"key withdraw", "ID", 1, 1, KeyWithdraw, ""},
    {"key list", "", 0, 0, List<ListKind::kKeys>, ""},
    {"team set", "NAME [--weight N] [--limit N]", 1, 1, TeamSet,
     "--weight --limit"},
    {"team remove", "NAME", 1, 1, TeamRemove, ""},
    {"team list", "", 0, 0, List<ListKind::kTeams>, ""},
    {"profile set", "NAME key=value...", 2, kAny, FieldSet<EditKind::kProfile>,
     ""},
    {"profile remove", "NAME", 1, 1, ProfileRemove, ""},
    {"profile list", "", 0, 0, List<ListKind::kProfiles>, ""},
    {"profile show", "NAME", 1, 1, ProfileShow, ""},
    {"pool set", "NAME [key=value...]", 1, kAny, FieldSet<EditKind::kPool>, ""},
    {"pool list", "", 0, 0, List<ListKind::kPools>, ""},
    {"zone out", "NAME", 1, 1, Zone<false>, ""},
    {"zone in", "NAME", 1, 1, Zone<true>, ""},
    {"zone list", "", 0, 0, List<ListKind::kZones>, ""},
    {"instance list", "", 0, 0, List<ListKind::kInstances>, ""},
    {"instance retire", "NAME [INCARNATION]", 1, 2, InstanceRetire, ""},
    {"status", "", 0, 0, List<ListKind::kStatus>, ""},
    {"explain", "ID", 1, 1, ExplainId, ""},
    {"config", "", 0, 0, List<ListKind::kConfig>, ""},
    {"drain", "VM", 1, 1, Order<OrderKind::kDrain>, "--reason"},
    {"reboot", "VM", 1, 1, Order<OrderKind::kReboot>, "--reason"},
    {"move", "VM POOL", 2, 2, Order<OrderKind::kMove>, "--reason"},
    {"rollout", "POOL", 1, 1, Order<OrderKind::kRollout>, "--reason"},
    {"return", "VM", 1, 1, Order<OrderKind::kReturn>, "--reason"},
    {"vm add",
     "POOL VM HOST:PORT ZONE RACK [slots=] [cpus=] [memory_mb=] "
     "[accelerators=]",
     5, 9, VmAdd, ""},
    {"orders", "", 0, 0, List<ListKind::kOrders>, ""},
    {"help", "", 0, 0, Help, ""},
};

std::size_t WordCount(const Form& form) {
  return form.words.find(' ') == std::string_view::npos ? 1 : 2;
}

std::optional<Error> CheckFlags(const Form& form, const CommandFlags& flags) {
  const std::pair<std::string_view, const std::string&> given[] = {
      {"--id", flags.id},
      {"--weight", flags.weight},
      {"--limit", flags.limit},
      {"--reason", flags.reason}};
  for (const auto& [flag, value] : given) {
    if (!value.empty() && form.flags.find(flag) == std::string_view::npos) {
      return Error{ErrorKind::kInvalid,
                   std::string(flag) + " has the value '" + value +
                       "', allowed is no value for " + std::string(form.words),
                   "leave " + std::string(flag) + " out"};
    }
  }
  if (!flags.change_id.empty() && !IsInstanceName(flags.change_id)) {
    return BadArgument("--change-id", flags.change_id, kInstanceRule);
  }
  return std::nullopt;
}

Error UnknownCommand(const std::vector<std::string>& arguments) {
  std::string text = arguments.empty() ? "" : arguments[0];
  std::string allowed;
  std::string last;
  // A known first word narrows the choice to its commands.
  const std::string group = text + " ";
  const bool known = std::ranges::any_of(
      kForms, [&](const Form& form) { return form.words.starts_with(group); });
  for (const Form& form : kForms) {
    const std::string word(known ? form.words
                                 : form.words.substr(0, form.words.find(' ')));
    if ((known && !word.starts_with(group)) || word == last) {
      continue;
    }
    allowed += (allowed.empty() ? "" : ", ") + word;
    last = word;
  }
  if (known && arguments.size() > 1) {
    text += " " + arguments[1];
  }
  return {ErrorKind::kInvalid,
          "the command is '" + text + "', allowed is " + allowed,
          "run kchctl help for all commands"};
}

}  // namespace

Result<Command> ParseCommand(const std::vector<std::string>& arguments,
                             const CommandFlags& flags) {
  for (const Form& form : kForms) {
    const std::size_t words = WordCount(form);
    if (arguments.size() < words ||
        (words == 1 ? arguments[0] : arguments[0] + " " + arguments[1]) !=
            form.words) {
      continue;
    }
    const Rest rest = Rest(arguments).subspan(words);
    if (rest.size() < form.min || rest.size() > form.max) {
      std::string usage = "kchctl " + std::string(form.words);
      if (!form.arguments.empty()) {
        usage += " " + std::string(form.arguments);
      }
      return Fail(ErrorKind::kInvalid,
                  std::string(form.words) + " has " +
                      std::to_string(rest.size()) +
                      (rest.size() == 1 ? " argument" : " arguments") +
                      ", allowed is " + usage,
                  "give the arguments in this order");
    }
    if (auto error = CheckFlags(form, flags)) {
      return tl::make_unexpected(*std::move(error));
    }
    Arguments reader(rest, flags);
    Command command = form.read(reader);
    if (reader.first) {
      return tl::make_unexpected(*std::move(reader.first));
    }
    return command;
  }
  return tl::make_unexpected(UnknownCommand(arguments));
}

std::string CommandHelp() {
  std::string help = "Commands:\n";
  for (const Form& form : kForms) {
    help += "  kchctl " + std::string(form.words);
    if (!form.arguments.empty()) {
      help += " " + std::string(form.arguments);
    }
    help += "\n";
  }
  help +=
      "Exit codes: 0 done, 1 refused or not found, 2 wrong usage or setting,\n"
      "  3 no server could be reached, 4 outcome unknown or still pending\n";
  return help;
}

bool NeedsEntries(const Command& command) {
  if (const auto* order = std::get_if<SendOrder>(&command)) {
    return order->kind != OrderKind::kRollout;  // to look up the VM's pool
  }
  return !std::holds_alternative<ShowHelp>(command) &&
         !std::holds_alternative<AddVm>(command) &&
         command != Command(ShowList{ListKind::kOrders});
}

bool NeedsMaintain(const Command& command) {
  return std::holds_alternative<SendOrder>(command) ||
         std::holds_alternative<AddVm>(command) ||
         command == Command(ShowList{ListKind::kOrders});
}

}  // namespace kch::ctl
