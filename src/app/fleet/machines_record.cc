#include "app/fleet/machines_record.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "net/net.h"

namespace kch::app {
namespace {

using nlohmann::json;

json Parse(std::string_view text) {
  json record = json::parse(text, nullptr, false);
  if (!record.is_object()) {
    net::LogEvent("machines_unreadable",
                  {{"remedy", "none needed; the next write replaces it"}});
    return json::object();
  }
  return record;
}

std::set<jobs::MachineId> MachinesOf(const json& record) {
  std::set<jobs::MachineId> machines;
  for (const auto& name : record.value("machines", json::array())) {
    if (name.is_string()) {
      machines.insert(jobs::MachineId(name.get<std::string>()));
    }
  }
  return machines;
}

}  // namespace

// Processes of earlier versions read the names alone.
std::string EncodeStarted(const upkeep::StartedMachines& started) {
  json names = json::array();
  for (const jobs::MachineId& machine : started.machines) {
    names.push_back(machine.str());
  }
  return json{{"machines", std::move(names)}, {"created", started.created}}
      .dump();
}

// A machine whose upkeep is forgotten is drained and ordered again, which the
// platform answers without taking it out a second time.
upkeep::StartedMachines DecodeStarted(std::string_view text) {
  const json record = Parse(text);
  const auto created = record.find("created");
  return {MachinesOf(record),
          created != record.end() && created->is_number_unsigned()
              ? created->get<std::uint64_t>()
              : 0};
}

// Processes of earlier versions read the names alone.
std::string EncodeOrders(const upkeep::OrderedMachines& machines) {
  json names = json::array();
  json vms = json::object();
  for (const auto& [machine, vm] : machines) {
    names.push_back(machine.str());
    if (!vm.empty()) {
      vms[machine.str()] = vm.str();
    }
  }
  return json{{"machines", std::move(names)}, {"vms", std::move(vms)}}.dump();
}

upkeep::OrderedMachines DecodeOrders(std::string_view text) {
  const json record = Parse(text);
  upkeep::OrderedMachines machines;
  for (const jobs::MachineId& machine : MachinesOf(record)) {
    machines[machine];
  }
  const auto vms = record.find("vms");
  if (vms != record.end() && vms->is_object()) {
    for (const auto& [name, vm] : vms->items()) {
      const auto known = machines.find(jobs::MachineId(name));
      if (known != machines.end() && vm.is_string()) {
        known->second = VmId(vm.get<std::string>());
      }
    }
  }
  return machines;
}

}  // namespace kch::app
