#include "net/settings.h"

#include <popt.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>

namespace kch::net {
namespace {

constexpr int kExitBadSetting = 2;

constexpr int kHelpIndex = 10001;
constexpr int kVersionIndex = 10002;
constexpr int kCheckIndex = 10003;

std::string VariableName(std::string_view flag) {
  std::string name = "KCH_";
  for (const char c : flag) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return name;
}

std::string Range(const Setting& setting) {
  switch (setting.kind) {
    case SettingKind::kNumber:
      return "a whole number from " + std::to_string(setting.min) + " to " +
             std::to_string(setting.max);
    case SettingKind::kSwitch:
      return "on or off";
    case SettingKind::kText:
      break;
  }
  return "text";
}

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [stop, code] = std::from_chars(text.data(), end, value);
  if (code != std::errc() || stop != end) {
    return std::nullopt;
  }
  return value;
}

Result<void> Check(const Setting& setting, const std::string& source) {
  bool valid = true;
  if (setting.kind == SettingKind::kNumber) {
    const auto value = ParseNumber(setting.value);
    valid = value && *value >= setting.min && *value <= setting.max;
  } else if (setting.kind == SettingKind::kSwitch) {
    valid = setting.value == "on" || setting.value == "off";
  } else if (setting.required && setting.value.empty()) {
    return Fail(ErrorKind::kInvalid, "--" + setting.name + " has no value",
                "give --" + setting.name + " or set " +
                    VariableName(setting.name) + " (" + setting.help + ")");
  }
  if (!valid) {
    return Fail(ErrorKind::kInvalid,
                source + " has the value '" + setting.value + "', allowed is " +
                    Range(setting),
                "change it or leave it out");
  }
  return {};
}

using PoptContext =
    std::unique_ptr<std::remove_pointer_t<poptContext>,
                    decltype([](poptContext c) { poptFreeContext(c); })>;

}  // namespace

Setting Text(std::string name, std::string value, std::string help) {
  return Setting{.name = std::move(name),
                 .value = std::move(value),
                 .help = std::move(help)};
}

Setting RequiredText(std::string name, std::string help) {
  return Setting{
      .name = std::move(name), .help = std::move(help), .required = true};
}

Setting Number(std::string name,
               std::int64_t value,
               std::int64_t min,
               std::int64_t max,
               std::string help) {
  return Setting{.name = std::move(name),
                 .kind = SettingKind::kNumber,
                 .value = std::to_string(value),
                 .help = std::move(help),
                 .min = min,
                 .max = max};
}

Setting Switch(std::string name, std::string help) {
  return Setting{.name = std::move(name),
                 .kind = SettingKind::kSwitch,
                 .value = "off",
                 .help = std::move(help)};
}

Result<Settings> Settings::Create(
    std::string program,
    std::vector<Setting> declared,
    const std::vector<std::string>& arguments,
    const std::function<const char*(const char*)>& environment) {
  Settings settings;
  settings.program = std::move(program);
  settings.declared = std::move(declared);

  for (Setting& setting : settings.declared) {
    const std::string variable = VariableName(setting.name);
    if (const char* value = environment(variable.c_str())) {
      setting.value = value;
      if (auto checked = Check(setting, variable); !checked) {
        return tl::make_unexpected(checked.error());
      }
    }
  }

  std::vector<poptOption> options;
  int index = 1;
  for (const Setting& setting : settings.declared) {
    const int kind =
        setting.kind == SettingKind::kSwitch ? POPT_ARG_NONE : POPT_ARG_STRING;
    options.push_back(poptOption{setting.name.c_str(), '\0',
                                 static_cast<unsigned>(kind), nullptr, index++,
                                 nullptr, nullptr});
  }
  for (const auto& [name, value] :
       {std::pair{"help", kHelpIndex}, std::pair{"version", kVersionIndex},
        std::pair{"check-settings", kCheckIndex}}) {
    options.push_back(poptOption{name, '\0', POPT_ARG_NONE, nullptr, value,
                                 nullptr, nullptr});
  }
  options.push_back(POPT_TABLEEND);

  std::vector<const char*> argv{settings.program.c_str()};
  for (const std::string& argument : arguments) {
    argv.push_back(argument.c_str());
  }
  const PoptContext context(poptGetContext(
      nullptr, static_cast<int>(argv.size()), argv.data(), options.data(), 0));
  int found = 0;
  while ((found = poptGetNextOpt(context.get())) > 0) {
    if (found == kHelpIndex) {
      settings.requested = Action::kHelp;
    } else if (found == kVersionIndex) {
      settings.requested = Action::kVersion;
    } else if (found == kCheckIndex) {
      settings.requested = Action::kCheckSettings;
    } else {
      Setting& setting = settings.declared[static_cast<std::size_t>(found) - 1];
      if (setting.kind == SettingKind::kSwitch) {
        setting.value = "on";
      } else {
        const std::unique_ptr<char, decltype(&std::free)> value(
            poptGetOptArg(context.get()), &std::free);
        setting.value = value ? value.get() : "";
      }
      if (auto checked = Check(setting, "--" + setting.name); !checked) {
        return tl::make_unexpected(checked.error());
      }
    }
  }
  if (found < -1) {
    return Fail(ErrorKind::kInvalid,
                std::string(poptBadOption(context.get(), 0)) + ": " +
                    poptStrerror(found),
                "run " + settings.program + " --help for the flags");
  }
  while (const char* rest = poptGetArg(context.get())) {
    settings.rest.emplace_back(rest);
  }
  if (settings.requested == Action::kRun ||
      settings.requested == Action::kCheckSettings) {
    for (const Setting& setting : settings.declared) {
      if (auto checked = Check(setting, "--" + setting.name); !checked) {
        return tl::make_unexpected(checked.error());
      }
    }
  }
  return settings;
}

const Setting& Settings::At(std::string_view name) const {
  const auto found = std::ranges::find(this->declared, name, &Setting::name);
  if (found == this->declared.end()) {
    std::fprintf(stderr, "setting %.*s is not declared\n",
                 static_cast<int>(name.size()), name.data());
    std::abort();
  }
  return *found;
}

const std::string& Settings::text(std::string_view name) const {
  return this->At(name).value;
}

std::int64_t Settings::number(std::string_view name) const {
  return ParseNumber(this->At(name).value).value_or(0);
}

bool Settings::on(std::string_view name) const {
  return this->At(name).value == "on";
}

std::string Settings::Help() const {
  std::string help = "Usage: " + this->program + " [flags]\n\nFlags:\n";
  for (const Setting& setting : this->declared) {
    help += "  --" + setting.name;
    if (setting.kind != SettingKind::kSwitch) {
      help += "=VALUE";
    }
    help += "\n      " + setting.help + "\n      " + Range(setting);
    if (setting.required) {
      help += ", required";
    } else if (!setting.value.empty()) {
      help += ", now '" + setting.value + "'";
    }
    help += "; variable " + VariableName(setting.name) + "\n";
  }
  help +=
      "  --help\n      prints this text\n"
      "  --version\n      prints the version\n"
      "  --check-settings\n      checks all settings and exits\n";
  return help;
}

Settings ParseOrExit(const std::string& program,
                     std::vector<Setting> declared,
                     int argc,
                     char** argv,
                     std::string_view version) {
  const std::vector<std::string> arguments(argv + std::min(argc, 1),
                                           argv + argc);
  auto settings = Settings::Create(
      program, std::move(declared), arguments,
      [](const char* name) -> const char* { return std::getenv(name); });
  if (!settings) {
    std::fprintf(stderr, "%s: %s\n", program.c_str(),
                 settings.error().Text().c_str());
    std::exit(kExitBadSetting);
  }
  switch (settings->action()) {
    case Action::kHelp:
      std::fputs(settings->Help().c_str(), stdout);
      std::exit(0);
    case Action::kVersion:
      std::printf("%s %.*s\n", program.c_str(),
                  static_cast<int>(version.size()), version.data());
      std::exit(0);
    case Action::kCheckSettings:
      std::puts("settings are valid");
      std::exit(0);
    case Action::kRun:
      break;
  }
  return *std::move(settings);
}

}  // namespace kch::net
