#ifndef NET_CLOCK_H_
#define NET_CLOCK_H_

#include <chrono>
#include <cstdint>
#include <ctime>

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

/*! @brief Milliseconds since the machine started, with those in which it was
 * suspended. */
[[nodiscard]] inline std::int64_t BootMs() {
  constexpr std::int64_t ms_per_s = 1000;
  constexpr std::int64_t ns_per_ms = 1'000'000;
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return now.tv_sec * ms_per_s + now.tv_nsec / ns_per_ms;
}

}  // namespace kch::net

#endif  // NET_CLOCK_H_
