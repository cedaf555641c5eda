#ifndef NET_SETTINGS_H_
#define NET_SETTINGS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace kch::net {

/*! @brief What a setting's value must look like. */
enum class SettingKind : std::uint8_t {
  kText,    // any text
  kNumber,  // whole number between min and max
  kSwitch,  // on or off; as a flag it takes no value
};

/*! @brief Declares one flag and its environment variable `KCH_<FLAG>`. */
struct Setting {
  std::string name;  // flag without dashes, for example "http-port"
  SettingKind kind = SettingKind::kText;
  std::string value;  // default
  std::string help;
  std::int64_t min = 0;
  std::int64_t max = 0;
  bool required = false;
};

/*! @brief A text setting. */
[[nodiscard]] Setting Text(std::string name,
                           std::string value,
                           std::string help);
/*! @brief A text setting without a default. */
[[nodiscard]] Setting RequiredText(std::string name, std::string help);
/*! @brief A whole number from min to max. */
[[nodiscard]] Setting Number(std::string name,
                             std::int64_t value,
                             std::int64_t min,
                             std::int64_t max,
                             std::string help);
/*! @brief A setting that is off unless given. */
[[nodiscard]] Setting Switch(std::string name, std::string help);

/*! @brief What the command line asks a program to do. */
enum class Action : std::uint8_t {
  kRun,
  kHelp,
  kVersion,
  kCheckSettings,
};

/*! @brief Checked values of a program's settings. */
class Settings {
 public:
  /*! @brief Reads flags, then environment variables, then defaults. */
  [[nodiscard]] static Result<Settings> Create(
      std::string program,
      std::vector<Setting> declared,
      const std::vector<std::string>& arguments,
      const std::function<const char*(const char*)>& environment);

  /*! @brief Value of a text setting. */
  [[nodiscard]] const std::string& text(std::string_view name) const;
  /*! @brief Value of a number setting. */
  [[nodiscard]] std::int64_t number(std::string_view name) const;
  /*! @brief Whether a switch is on. */
  [[nodiscard]] bool on(std::string_view name) const;
  /*! @brief Arguments that are not flags. */
  [[nodiscard]] const std::vector<std::string>& arguments() const {
    return this->rest;
  }
  /*! @brief What the command line asks for. */
  [[nodiscard]] Action action() const { return this->requested; }
  /*! @brief Usage text with every flag, its range and its variable. */
  [[nodiscard]] std::string Help() const;

 private:
  Settings() = default;
  [[nodiscard]] const Setting& At(std::string_view name) const;

  std::string program;
  std::vector<Setting> declared;
  std::vector<std::string> rest;
  Action requested = Action::kRun;
};

/*! @brief Program entry: answers --help, --version and --check-settings,
 * exits 2 on a bad setting, else returns the settings. */
[[nodiscard]] Settings ParseOrExit(const std::string& program,
                                   std::vector<Setting> declared,
                                   int argc,
                                   char** argv,
                                   std::string_view version);

}  // namespace kch::net

#endif  // NET_SETTINGS_H_
