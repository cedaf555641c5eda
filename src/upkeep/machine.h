#ifndef UPKEEP_MACHINE_H_
#define UPKEEP_MACHINE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include "base/base.h"
#include "jobs/model.h"

namespace kch::upkeep {

using jobs::MachineId;
using jobs::WaveId;

/*! @brief What a machine does according to the platform's list. */
enum class MachineState : std::uint8_t { kUp, kMoving, kUpkeep, kDown };

/*! @brief A machine of the platform's list. */
struct Machine {
  MachineId id;
  PoolId pool;
  MachineState state = MachineState::kUp;
  VmId vm;  // its present incarnation; empty if it runs none
  ZoneId zone;
  jobs::Resources capacity;
};

using MachineList = std::map<MachineId, Machine>;

/*! @brief What runs on a VM, and how full its pool is. */
struct VmLoad {
  std::size_t runs = 0;
  std::size_t long_running = 0;  // of these: tasks that others depend on
  bool responsive = true;
  double pool_utilization_without =
      0;  // used and wanted over capacity, without it
};

using VmLoadLookup = std::function<std::optional<VmLoad>(const VmId&)>;

/*! @brief How the platform answered an order. */
enum class OrderAnswer : std::uint8_t {
  kDone,
  kFenced,
  kBusy,         // the machine is not up, or leaving
  kNotInWave,    // the wave does not name the machine
  kNoMachine,    // or the pool takes no such machine
  kRateLimited,  // too many calls; not done
  kUnknown,      // no answer; it may still be carried out
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
