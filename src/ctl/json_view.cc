#include "ctl/json_view.h"

#include <array>
#include <cstdio>

namespace kch::ctl {

using nlohmann::json;

const json& Member(const json& object, std::string_view name) {
  static const json null;
  if (!object.is_object()) {
    return null;
  }
  const auto found = object.find(name);
  return found == object.end() ? null : *found;
}

std::string TextOf(const json& value) {
  return value.is_string() ? value.get<std::string>() : std::string();
}

double NumberOf(const json& value) {
  return value.is_number() ? value.get<double>() : 0;
}

std::string Printable(std::string_view text) {
  // Names and reasons come from other processes; control characters could
  // change what a terminal shows.
  std::string result;
  for (const char c : text) {
    result += c >= ' ' && c <= '~' ? c : '?';
  }
  return result;
}

std::string CellOf(const json& value) {
  if (value.is_null() || (value.is_string() && TextOf(value).empty())) {
    return "-";
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  if (value.is_number_float()) {
    std::array<char, 40> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%.2f", value.get<double>());
    return buffer.data();
  }
  if (value.is_string()) {
    return Printable(TextOf(value));
  }
  if (value.is_array()) {
    std::string list;
    for (const json& item : value) {
      list += (list.empty() ? "" : " ") + CellOf(item);
    }
    return list.empty() ? "-" : list;
  }
  return Printable(value.dump(-1, ' ', false, json::error_handler_t::replace));
}

}  // namespace kch::ctl
