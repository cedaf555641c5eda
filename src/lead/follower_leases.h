#ifndef LEAD_FOLLOWER_LEASES_H_
#define LEAD_FOLLOWER_LEASES_H_

#include <map>
#include <set>
#include <string>

#include "base/base.h"

namespace kch::lead {

/*! @brief A follower that grants a lease does not claim the fleet for this
 * long. The owner counts it from its request, the follower from its grant. */
inline constexpr Duration kFollowerLease = std::chrono::milliseconds(1000);
/*! @brief Interval between requests for leases while renewals fail. */
inline constexpr Duration kFollowerLeaseInterval =
    std::chrono::milliseconds(250);
/*! @brief A follower relies on being counted by an owner for this long after
 * the owner's last message. */
inline constexpr Duration kCountedTime = std::chrono::seconds(20);
/*! @brief An owner counts a follower for this long after its last message to
 * it; longer than kCountedTime and the transport of the message. */
inline constexpr Duration kForgetFollowerTime = std::chrono::seconds(60);

/*! @brief The leases that the other processes grant to the fleet's owner.
 *
 * While the store answers nobody, no process can claim the fleet, and its owner
 * should go on. It cannot tell this from being cut off by itself, unless every
 * process that might claim promises not to. */
class FollowerLeases {
 public:
  /*! @brief A message is sent to a follower, which relies on being counted from
   * then on. */
  void OnContact(const std::string& instance,
                 const std::string& incarnation,
                 Time now);
  /*! @brief Instances that earlier owners knew. Each may run and claim the
   * fleet without having been contacted in this term. */
  void Expect(const std::set<std::string>& instances, Time now);
  /*! @brief A follower shuts down. Its instance may start again, as a process
   * that has granted nothing. */
  void OnLeaving(const std::string& instance,
                 const std::string& incarnation,
                 Time now);
  /*! @brief A follower has granted the request that was sent at this time; one
   * in the future is ignored. */
  void OnGrant(const std::string& instance,
               const std::string& incarnation,
               Time requested_at,
               Time now);
  /*! @brief Forgets followers without contact for kForgetFollowerTime that no
   * stored list names. */
  void Tick(Time now);
  /*! @brief Instances that a successor has to expect. */
  [[nodiscard]] std::set<std::string> Listing(Time now) const;
  /*! @brief A list of instances is being stored for successors. Those that it
   * names are counted until a later list without them is stored. */
  void OnListing(const std::set<std::string>& instances);
  /*! @brief The list is stored. */
  void OnListed(const std::set<std::string>& instances);
  /*! @brief Time until which the owner may go on: until the first lease of a
   * follower that has joined ends, and only while most of all known instances,
   * the owner included, have joined. Time::max() if none is known. */
  [[nodiscard]] Time held_until() const;
  /*! @brief Number of followers without a lease, joined or not. */
  [[nodiscard]] std::size_t WithoutLease(Time now) const;
  [[nodiscard]] std::size_t size() const { return this->followers.size(); }

 private:
  struct Follower {
    std::string incarnation;  // empty: it has not joined, or has left
    Time contacted_at;
    Time granted_until;
    bool listed = false;  // a stored list may name it
  };
  std::map<std::string, Follower> followers;  // by instance
};

}  // namespace kch::lead

#endif  // LEAD_FOLLOWER_LEASES_H_
