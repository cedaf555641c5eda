#ifndef APP_FLEET_MACHINES_RECORD_H_
#define APP_FLEET_MACHINES_RECORD_H_

#include <set>
#include <string>
#include <string_view>

#include "upkeep/upkeep.h"

namespace kch::app {

/*! @brief A record that names machines: those of a wave whose upkeep has begun,
 * or those ordered lately. */
[[nodiscard]] std::string EncodeMachines(
    const std::set<jobs::MachineId>& machines);
/*! @brief Reads it; unreadable records name no machine. */
[[nodiscard]] std::set<jobs::MachineId> DecodeMachines(std::string_view text);

}  // namespace kch::app

#endif  // APP_FLEET_MACHINES_RECORD_H_
