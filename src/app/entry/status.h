#ifndef APP_ENTRY_STATUS_H_
#define APP_ENTRY_STATUS_H_

#include <string>

#include "engine/engine.h"

namespace kch::app {

/*! @brief Instances, pools, VMs, teams and permits as this entry sees them, as
 * JSON. Control thread only. */
[[nodiscard]] std::string StatusJson(const engine::Entry& entry);

/*! @brief Why a request, task or VM is where it is, as JSON. Control thread
 * only. */
[[nodiscard]] std::string ExplainJson(const engine::Entry& entry,
                                      const std::string& id);

}  // namespace kch::app

#endif  // APP_ENTRY_STATUS_H_
