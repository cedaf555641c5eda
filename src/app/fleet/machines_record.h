#ifndef APP_FLEET_MACHINES_RECORD_H_
#define APP_FLEET_MACHINES_RECORD_H_

#include <string>
#include <string_view>

#include "upkeep/upkeep.h"

namespace kch::app {

/*! @brief A record that names the machines of a wave whose upkeep has begun. */
[[nodiscard]] std::string EncodeStarted(const upkeep::StartedMachines& started);
/*! @brief Reads it, also as earlier versions wrote it, without the wave's
 * creation; unreadable records name no machine. */
[[nodiscard]] upkeep::StartedMachines DecodeStarted(std::string_view text);

/*! @brief A record of the machines that may have been ordered lately, and of
 * their VMs at that time. */
[[nodiscard]] std::string EncodeOrders(const upkeep::OrderedMachines& machines);
/*! @brief Reads it, also as earlier versions wrote it, without VMs. */
[[nodiscard]] upkeep::OrderedMachines DecodeOrders(std::string_view text);

}  // namespace kch::app

#endif  // APP_FLEET_MACHINES_RECORD_H_
