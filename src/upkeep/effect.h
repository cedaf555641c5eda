#ifndef UPKEEP_EFFECT_H_
#define UPKEEP_EFFECT_H_

#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "upkeep/machine.h"

namespace kch::upkeep {

struct ReadMachines {};
/*! @brief No new tasks on a VM, or again. */
struct SetCordon {
  VmId vm;
  bool on = true;
};
/*! @brief Moves tasks that never end off a VM as far as budgets allow. */
struct Evict {
  VmId vm;
};
struct OrderUpkeep {
  MachineId machine;
  WaveId wave;
};
struct OrderMove {
  MachineId machine;
  PoolId to;
};
/*! @brief Stores which machines may have been ordered lately. */
struct StoreOrderedMachines {
  std::set<MachineId> machines;
};
/*! @brief A VM ends by an order; everything on it has ended. */
struct VmTerminated {
  VmId vm;
};
/*! @brief Stores which machines of a wave have begun. */
struct SaveWave {
  WaveId wave;
  std::set<MachineId> started;
  bool completed = false;
};
struct LogEvent {
  std::string_view event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};
struct Superseded {};

using Effect = std::variant<ReadMachines,
                            SetCordon,
                            Evict,
                            OrderUpkeep,
                            OrderMove,
                            StoreOrderedMachines,
                            VmTerminated,
                            SaveWave,
                            LogEvent,
                            Superseded>;

}  // namespace kch::upkeep

#endif  // UPKEEP_EFFECT_H_
