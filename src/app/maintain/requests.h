#ifndef APP_MAINTAIN_REQUESTS_H_
#define APP_MAINTAIN_REQUESTS_H_

#include <string_view>

#include "base/error.h"
#include "maintain/maintain.h"

namespace kch::app {

/*! @brief Reads the body of `POST /v1/admin/orders`. */
[[nodiscard]] Result<maintain::Order> ParseOrder(std::string_view body);

/*! @brief A VM to be listed in a pool. */
struct VmRegistration {
  PoolId pool;
  maintain::VmRow vm;
};

/*! @brief Reads the body of `POST /v1/admin/vms`. */
[[nodiscard]] Result<VmRegistration> ParseRegistration(std::string_view body);

}  // namespace kch::app

#endif  // APP_MAINTAIN_REQUESTS_H_
