#ifndef LEAD_SUSPENSION_H_
#define LEAD_SUSPENSION_H_

#include <cstdint>
#include <optional>

#include "base/base.h"

namespace kch::lead {

/*! @brief A gap between two observations that exceeds the time on the steady
 * clock by more than this is a suspension of the machine. */
inline constexpr Duration kMinSuspension = std::chrono::milliseconds(700);

/*! @brief Detects that the machine was suspended, a time that the steady clock
 * does not count. */
class SuspensionDetector {
 public:
  /*! @brief True if the machine was suspended since the last observation.
   * `boot_ms` is a clock that counts suspensions, in ms. */
  [[nodiscard]] bool Observe(Time now, std::int64_t boot_ms);

 private:
  struct Observation {
    Time at;
    std::int64_t boot_ms = 0;
  };
  std::optional<Observation> last;
};

}  // namespace kch::lead

#endif  // LEAD_SUSPENSION_H_
