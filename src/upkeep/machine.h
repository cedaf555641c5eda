#ifndef UPKEEP_MACHINE_H_
#define UPKEEP_MACHINE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "base/base.h"
#include "jobs/model.h"

namespace kch::upkeep {

using jobs::MachineId;
using jobs::WaveId;

/*! @brief State of a machine in the platform's list. */
enum class MachineState : std::uint8_t { kUp, kMoving, kUpkeep, kDown };

/*! @brief A machine in the platform's list. */
struct Machine {
  MachineId id;
  PoolId pool;
  MachineState state = MachineState::kUp;
  VmId vm;  // VM that the machine runs at present; empty if none
  ZoneId zone;
  jobs::Resources capacity;
  std::set<std::string> labels;  // of each VM that it runs
};

/*! @brief The platform's machine list by id. */
using MachineList = std::map<MachineId, Machine>;

/*! @brief Machines and the VMs that they ran when they were ordered; an empty
 * VM stands for none or one that is not known. */
using OrderedMachines = std::map<MachineId, VmId>;

/*! @brief Machines of a wave whose upkeep has started. */
struct StartedMachines {
  std::set<MachineId> machines;
  // Revision at which the wave was created; 0: unknown. One that the operators
  // remove and create again under its number is another wave.
  std::uint64_t created = 0;
};

/*! @brief Load of a VM, and utilization of its pool without the VM. */
struct VmLoad {
  std::size_t runs = 0;  // task runs on the VM
  // Of `runs`: tasks that run until their job is cancelled and that others
  // depend on.
  std::size_t long_running = 0;
  bool responsive = true;
  // False while it may run tasks that it has not reported yet.
  bool runs_known = true;
  // (used + waiting) / usable capacity of the pool without this VM. The VM's
  // own use stays counted. Well above 1 if no capacity remains.
  double pool_utilization_without = 0;
};

/*! @brief Load of a VM; absent if the VM is unknown. */
using VmLoadLookup = std::function<std::optional<VmLoad>(const VmId&)>;

/*! @brief The platform's answer to an order. */
enum class OrderAnswer : std::uint8_t {
  kDone,
  kFenced,  // the sender is no longer the owner
  // The machine is not up or is about to go down. Planner and Mover assume that
  // the order was not carried out.
  kBusy,
  kNotInWave,    // the wave does not name the machine
  kNoMachine,    // no such machine, or the pool does not accept it
  kRateLimited,  // too many calls; the order was not carried out
  kUnknown,      // no answer; the order may still be carried out
};

}  // namespace kch::upkeep

template <>
struct kch::NameTable<kch::upkeep::MachineState> {
  static constexpr std::
      array<std::pair<kch::upkeep::MachineState, std::string_view>, 4>
          kEntries{{{kch::upkeep::MachineState::kUp, "up"},
                    {kch::upkeep::MachineState::kMoving, "moving"},
                    {kch::upkeep::MachineState::kUpkeep, "upkeep"},
                    {kch::upkeep::MachineState::kDown, "down"}}};
};

template <>
struct kch::NameTable<kch::upkeep::OrderAnswer> {
  static constexpr std::
      array<std::pair<kch::upkeep::OrderAnswer, std::string_view>, 7>
          kEntries{{{kch::upkeep::OrderAnswer::kDone, "done"},
                    {kch::upkeep::OrderAnswer::kFenced, "fenced"},
                    {kch::upkeep::OrderAnswer::kBusy, "busy"},
                    {kch::upkeep::OrderAnswer::kNotInWave, "not_in_wave"},
                    {kch::upkeep::OrderAnswer::kNoMachine, "no_machine"},
                    {kch::upkeep::OrderAnswer::kRateLimited, "later"},
                    {kch::upkeep::OrderAnswer::kUnknown, "unknown"}}};
};

#endif  // UPKEEP_MACHINE_H_
