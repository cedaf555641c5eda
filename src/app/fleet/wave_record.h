#ifndef APP_FLEET_WAVE_RECORD_H_
#define APP_FLEET_WAVE_RECORD_H_

#include <set>
#include <string>
#include <string_view>

#include "upkeep/upkeep.h"

namespace kch::app {

/*! @brief The record of the machines of a wave whose upkeep has begun. */
[[nodiscard]] std::string EncodeBegun(const std::set<jobs::MachineId>& begun);
/*! @brief Reads it; unreadable records name no machine. */
[[nodiscard]] std::set<jobs::MachineId> DecodeBegun(std::string_view text);

}  // namespace kch::app

#endif  // APP_FLEET_WAVE_RECORD_H_
