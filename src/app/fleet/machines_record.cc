#include "app/fleet/machines_record.h"

#include <nlohmann/json.hpp>

#include "net/net.h"

namespace kch::app {

std::string EncodeMachines(const std::set<jobs::MachineId>& machines) {
  nlohmann::json names = nlohmann::json::array();
  for (const jobs::MachineId& machine : machines) {
    names.push_back(machine.str());
  }
  return nlohmann::json{{"machines", names}}.dump();
}

// A machine whose upkeep is forgotten is drained and ordered again, which the
// platform answers without taking it out a second time.
std::set<jobs::MachineId> DecodeMachines(std::string_view text) {
  std::set<jobs::MachineId> machines;
  const auto record = nlohmann::json::parse(text, nullptr, false);
  if (!record.is_object()) {
    net::LogEvent("machines_unreadable",
                  {{"remedy", "none needed; the next write replaces it"}});
    return machines;
  }
  for (const auto& name : record.value("machines", nlohmann::json::array())) {
    if (name.is_string()) {
      machines.insert(jobs::MachineId(name.get<std::string>()));
    }
  }
  return machines;
}

}  // namespace kch::app
