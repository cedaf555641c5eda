#ifndef UPKEEP_EFFECT_H_
#define UPKEEP_EFFECT_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "upkeep/machine.h"

namespace kch::upkeep {

/*! @brief Reads the platform's machine list. */
struct ReadMachines {};
/*! @brief Stops (`on`) or resumes the placement of new tasks on a VM. */
struct SetCordon {
  VmId vm;
  bool on = true;
};
/*! @brief Moves long-running tasks off a VM as far as their disruption budgets
 * allow. */
struct Evict {
  VmId vm;
};
/*! @brief Orders the platform to take a machine down for a wave's upkeep. */
struct OrderUpkeep {
  MachineId machine;
  WaveId wave;
  VmId vm{};  // that the machine runs, as far as known
};
/*! @brief Orders the platform to move a machine to another pool. */
struct OrderMove {
  MachineId machine;
  PoolId to;
  VmId vm{};  // that the machine runs, as far as known
};
/*! @brief Persists the machines that may have been ordered within the handover
 * period. */
struct StoreOrderedMachines {
  OrderedMachines machines;
};
/*! @brief A VM has ended with its machine's order, and with it all tasks on it.
 */
struct VmTerminated {
  VmId vm;
};
/*! @brief Persists the machines of a wave whose upkeep has started. */
struct SaveWave {
  WaveId wave;
  StartedMachines started;
  bool completed = false;
  // Revision of the operators' record that this follows from. The wave is not
  // stored as completed if they have written it anew since.
  std::uint64_t observed_revision = 0;
};
/*! @brief Writes one line of the structured log. */
struct LogEvent {
  std::string_view event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};
/*! @brief The platform fenced an order: a newer instance is the owner. */
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
