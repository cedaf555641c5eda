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
  leases.OnLeaving("b", "b-1", now);
  BOOST_TEST(leases.size() == 1);
  now += kForgetFollowerTime - std::chrono::milliseconds(1);
  leases.Tick(now);
  BOOST_TEST(leases.size() == 1);
  leases.Tick(now + std::chrono::milliseconds(1));
  BOOST_TEST((leases.held_until() == Time::max()));
  static_assert(kForgetFollowerTime > 2 * kCountedTime);
}

// Guards against an owner that goes on without the store beside a process that
// claims the fleet: one that left and starts again, or one that only an earlier
// owner knew. Guards as well against one that stops in each rolling restart.
BOOST_AUTO_TEST_CASE(MostKnownInstancesMustHaveJoined) {
  FollowerLeases leases;
  Time now{std::chrono::seconds(10)};
  leases.Expect({"b", "c", "d", "e"}, now);
  BOOST_TEST((leases.held_until() == Time()));
  const auto join = [&](const std::string& instance) {
    leases.OnContact(instance, instance + "-1", now);
    leases.OnGrant(instance, instance + "-1", now, now);
  };
  join("b");
  BOOST_TEST((leases.held_until() == Time()));
  join("c");
  BOOST_TEST((leases.held_until() == now + kFollowerLease));
  BOOST_TEST(leases.WithoutLease(now) == 2);
  join("d");
  leases.OnLeaving("b", "b-1", now);
  leases.OnGrant("b", "b-1", now, now);
  BOOST_TEST((leases.held_until() == now + kFollowerLease));
  leases.OnLeaving("c", "c-1", now);
  BOOST_TEST((leases.held_until() == Time()));
  // One that has joined must grant in any case.
  leases.OnContact("c", "c-2", now);
  BOOST_TEST((leases.held_until() == Time()));
}

// Guards against an owner that has forgotten a process that its successor is
// told to expect.
BOOST_AUTO_TEST_CASE(ListedInstancesAreForgottenAfterTheirList) {
  FollowerLeases leases;
  Time now{std::chrono::seconds(10)};
  leases.OnContact("b", "b-1", now);
  const std::set<std::string> both{"b", "c"};
  leases.OnContact("c", "c-1", now);
  BOOST_TEST((leases.Listing(now) == both));
  leases.OnListing(both);
  now += kForgetFollowerTime;
  leases.OnContact("b", "b-1", now);
  leases.Tick(now);
  BOOST_TEST(leases.size() == 2);
  const auto next = leases.Listing(now);
  BOOST_TEST((next == std::set<std::string>{"b"}));
  leases.OnListing(next);
  leases.Tick(now);
  BOOST_TEST(leases.size() == 2);
  leases.OnListed(next);
  leases.Tick(now);
  BOOST_TEST(leases.size() == 1);
  // A new process of a listed instance is listed as well.
  leases.OnContact("b", "b-2", now);
  leases.Tick(now + kForgetFollowerTime);
  BOOST_TEST(leases.size() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::lead
