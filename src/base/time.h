#ifndef BASE_TIME_H_
#define BASE_TIME_H_

#include <chrono>
#include <cstdint>

namespace kch {

/*! @brief Resolution of every duration in the decision libraries. */
using Duration = std::chrono::microseconds;

/*! @brief Instant on one process's monotonic clock; never sent to another. */
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/*! @brief Length in milliseconds, for messages and counters. */
[[nodiscard]] constexpr std::int64_t ToMs(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

/*! @brief Length in seconds with a fraction. */
[[nodiscard]] constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace kch

#endif  // BASE_TIME_H_
