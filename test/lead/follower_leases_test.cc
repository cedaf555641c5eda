#include <boost/test/unit_test.hpp>

#include "lead/lead.h"

namespace kch::lead {

BOOST_AUTO_TEST_SUITE(FollowerLeasesTest)

// Guards against an owner that goes on under leases of processes that no longer
// exist, or without that of one that relies on being counted.
BOOST_AUTO_TEST_CASE(AllCountedFollowersMustGrant) {
  FollowerLeases leases;
  Time now{std::chrono::seconds(10)};
  BOOST_TEST((leases.held_until() == Time::max()));
  leases.OnGrant("b", "b-1", now, now);
  BOOST_TEST(leases.size() == 0);
  leases.OnContact("b", "b-1", now);
  BOOST_TEST((leases.held_until() == Time()));
  leases.OnGrant("b", "b-1", now + std::chrono::milliseconds(1), now);
  BOOST_TEST((leases.held_until() == Time()));
  leases.OnGrant("b", "b-1", now, now);
  BOOST_TEST((leases.held_until() == now + kFollowerLease));
  // An answer that arrives late shortens nothing.
  leases.OnGrant("b", "b-1", now - std::chrono::milliseconds(300), now);
  BOOST_TEST((leases.held_until() == now + kFollowerLease));
  BOOST_TEST(leases.WithoutLease(now) == 0);
  // A new process of the instance.
  leases.OnContact("b", "b-2", now);
  BOOST_TEST((leases.held_until() == Time()));
  BOOST_TEST(leases.WithoutLease(now) == 1);
  leases.OnLeaving("b", "b-1");
  BOOST_TEST(leases.size() == 1);
  now += kForgetFollowerTime - std::chrono::milliseconds(1);
  leases.Tick(now);
  BOOST_TEST(leases.size() == 1);
  leases.Tick(now + std::chrono::milliseconds(1));
  BOOST_TEST((leases.held_until() == Time::max()));
  static_assert(kForgetFollowerTime > 2 * kCountedTime);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::lead
