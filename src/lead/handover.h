#ifndef LEAD_HANDOVER_H_
#define LEAD_HANDOVER_H_

#include <chrono>
#include <optional>

#include "base/time.h"

namespace kch::lead {

/*! @brief An owner is overloaded while its decisions or its calls take at least
 * this share of the time. What arrives meanwhile waits. */
inline constexpr double kOverload = 0.5;
/*! @brief An owner that has been overloaded for this long hands the fleet over.
 * A takeover causes a shorter peak of work. */
inline constexpr Duration kOverloadTime = std::chrono::seconds(3);
/*! @brief The fleet is handed over only to a process with at least this many
 * times the CPU cores, since a takeover stops all starts for about two seconds.
 */
inline constexpr double kLargerFactor = 2;
/*! @brief An owner that follows a handover keeps the fleet for this long, since
 * the larger process may be unable to claim it. */
inline constexpr Duration kHandoverRetry = std::chrono::seconds(20);

/*! @brief Shares of an interval in which threads of the owner did not wait. */
struct OwnerLoad {
  double decisions = 0;
  double calls = 0;
};

/*! @brief Decides when an owner that cannot keep up with its fleet hands it
 * over to a larger process. */
class HandoverPolicy {
 public:
  /*! @brief `cores` is the processor time that this process may use. */
  explicit HandoverPolicy(double cores) : cores(cores) {}
  /*! @brief This process has gained the fleet; `follows_handover`: the owner
   * before has handed it over. */
  void OnTerm(bool follows_handover, Time now);
  /*! @brief The load of the interval that ends now. */
  void OnLoad(const OwnerLoad& load, Time now);
  /*! @brief `largest_follower` is the number of CPU cores of the largest
   * process that follows this owner and could claim the fleet. */
  [[nodiscard]] bool Due(double largest_follower, Time now) const;

 private:
  double cores;
  std::optional<Time> overloaded_since;  // end of the first such interval
  Time not_before;
};

}  // namespace kch::lead

#endif  // LEAD_HANDOVER_H_
