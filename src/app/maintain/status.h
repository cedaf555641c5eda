#ifndef APP_MAINTAIN_STATUS_H_
#define APP_MAINTAIN_STATUS_H_

#include <string>

#include "app/maintain/driver.h"

namespace kch::app {

/*! @brief Pools, VMs, what each waits for, orders, budgets and entries as JSON.
 * Control thread only. */
[[nodiscard]] std::string StatusJson(const Driver& driver);

}  // namespace kch::app

#endif  // APP_MAINTAIN_STATUS_H_
