#include "app/fleet/wave_record.h"

#include <nlohmann/json.hpp>

namespace kch::app {

std::string EncodeBegun(const std::set<jobs::MachineId>& begun) {
  nlohmann::json machines = nlohmann::json::array();
  for (const jobs::MachineId& machine : begun) {
    machines.push_back(machine.str());
  }
  return nlohmann::json{{"begun", machines}}.dump();
}

// A machine whose upkeep is forgotten is drained and ordered again, which the
// platform answers without taking it out a second time.
std::set<jobs::MachineId> DecodeBegun(std::string_view text) {
  std::set<jobs::MachineId> begun;
  const auto record = nlohmann::json::parse(text, nullptr, false);
  if (record.is_object()) {
    for (const auto& machine : record.value("begun", nlohmann::json::array())) {
      if (machine.is_string()) {
        begun.insert(jobs::MachineId(machine.get<std::string>()));
      }
    }
  }
  return begun;
}

}  // namespace kch::app
