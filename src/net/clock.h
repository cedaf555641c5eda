#ifndef NET_CLOCK_H_
#define NET_CLOCK_H_

#include <chrono>
#include <cstdint>

#include "base/time.h"

namespace kch::net {

/*! @brief This process's monotonic clock. */
[[nodiscard]] inline Time Now() {
  return std::chrono::time_point_cast<Duration>(
      std::chrono::steady_clock::now());
}

/*! @brief Unix time in milliseconds. */
[[nodiscard]] inline std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace kch::net

#endif  // NET_CLOCK_H_
