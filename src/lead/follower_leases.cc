#include "lead/follower_leases.h"

#include <algorithm>

namespace kch::lead {

// A new process of the instance has granted nothing yet.
void FollowerLeases::OnContact(const std::string& instance,
                               const std::string& incarnation,
                               Time now) {
  Follower& follower = this->followers[instance];
  if (follower.incarnation != incarnation) {
    follower = {.incarnation = incarnation, .listed = follower.listed};
  }
  follower.contacted_at = now;
}

void FollowerLeases::Expect(const std::set<std::string>& instances, Time now) {
  for (const std::string& instance : instances) {
    Follower& follower = this->followers[instance];
    follower.contacted_at = std::max(follower.contacted_at, now);
    follower.listed = true;
  }
}

void FollowerLeases::OnLeaving(const std::string& instance,
                               const std::string& incarnation,
                               Time now) {
  const auto found = this->followers.find(instance);
  if (found != this->followers.end() &&
      found->second.incarnation == incarnation) {
    found->second = {.contacted_at = now, .listed = found->second.listed};
  }
}

void FollowerLeases::OnGrant(const std::string& instance,
                             const std::string& incarnation,
                             Time requested_at,
                             Time now) {
  const auto found = this->followers.find(instance);
  if (found != this->followers.end() && requested_at <= now &&
      found->second.incarnation == incarnation) {
    found->second.granted_until =
        std::max(found->second.granted_until, requested_at + kFollowerLease);
  }
}

void FollowerLeases::Tick(Time now) {
  std::erase_if(this->followers, [now](const auto& row) {
    return !row.second.listed &&
           now - row.second.contacted_at >= kForgetFollowerTime;
  });
}

std::set<std::string> FollowerLeases::Listing(Time now) const {
  std::set<std::string> instances;
  for (const auto& [instance, follower] : this->followers) {
    if (now - follower.contacted_at < kForgetFollowerTime) {
      instances.insert(instance);
    }
  }
  return instances;
}

void FollowerLeases::OnListing(const std::set<std::string>& instances) {
  for (auto& [instance, follower] : this->followers) {
    follower.listed = follower.listed || instances.contains(instance);
  }
}

void FollowerLeases::OnListed(const std::set<std::string>& instances) {
  for (auto& [instance, follower] : this->followers) {
    follower.listed = instances.contains(instance);
  }
}

std::size_t FollowerLeases::WithoutLease(Time now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      this->followers,
      [now](const auto& row) { return row.second.granted_until <= now; }));
}

// An instance that has not joined, as it starts anew or is cut off, claims once
// the store answers it. Those that have joined see the owner's record go before
// and grant nothing more, unless they are cut off with the owner, which most
// instances are not.
Time FollowerLeases::held_until() const {
  Time until = Time::max();
  std::size_t joined = 1;  // the owner
  for (const auto& [instance, follower] : this->followers) {
    if (!follower.incarnation.empty()) {
      ++joined;
      until = std::min(until, follower.granted_until);
    }
  }
  const std::size_t known = this->followers.size() + 1;
  return 2 * joined > known ? until : Time();
}

}  // namespace kch::lead
