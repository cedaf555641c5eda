#ifndef APP_MAINTAIN_TARGETS_H_
#define APP_MAINTAIN_TARGETS_H_

#include <optional>
#include <string>

#include "config/config.h"
#include "maintain/maintain.h"
#include "net/http_client.h"

namespace kch::app {

/*! @brief The platform's list from the answer to `GET /v1/vms`. A VM that is
 * leaving is still up. */
[[nodiscard]] std::optional<maintain::PlatformList> ParseVmList(
    const net::HttpResult& result,
    Time asked_at);

/*! @brief State of an operation from the answer to a call or a read; absent if
 * the answer does not tell. `read`: 404 means that there is no operation. */
[[nodiscard]] std::optional<maintain::OperationState> ParseOperation(
    const net::HttpResult& result,
    bool read);

/*! @brief A worker's report from the answer to `GET /tasks`, with the drain
 * behaviour of each task's profile. */
[[nodiscard]] std::optional<maintain::WorkerReport> ParseTasks(
    const VmId& vm,
    const net::HttpResult& result,
    const config::State& state,
    Time asked_at);

/*! @brief Path and query of the call that starts an operation. */
[[nodiscard]] std::string PathOf(const maintain::PlatformCall& call);

/*! @brief Path of an order to a worker. */
[[nodiscard]] std::string PathOf(const maintain::WorkerCall& call);

}  // namespace kch::app

#endif  // APP_MAINTAIN_TARGETS_H_
