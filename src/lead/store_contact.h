#ifndef LEAD_STORE_CONTACT_H_
#define LEAD_STORE_CONTACT_H_

#include <chrono>

#include "base/time.h"

namespace kch::lead {

/*! @brief Time within which the registrations of VMs return that lapsed while
 * the store was away, counted from its return. */
inline constexpr Duration kRegistrationReturn = std::chrono::milliseconds(2200);

/*! @brief Tells how long a takeover waits for registrations that lapsed in an
 * outage of the store. */
class StoreContact {
 public:
  /*! @brief The store has stopped or started to answer this process's watch. */
  void OnReachable(bool reachable, Time now);
  /*! @brief Time by which registrations are back for a takeover whose claim the
   * store has answered at `claimed`; Time() if it was never away. */
  [[nodiscard]] Time RegistrationsBackBy(Time claimed) const;

 private:
  bool away = false;
  Time regained;
};

}  // namespace kch::lead

#endif  // LEAD_STORE_CONTACT_H_
