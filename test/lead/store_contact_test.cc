#include <boost/test/unit_test.hpp>

#include "lead/lead.h"

namespace kch::lead {

BOOST_AUTO_TEST_SUITE(StoreContactTest)

// Guards against a takeover that does not wait for VMs whose registrations
// lapsed, since the store answered its claim before its watch was repeated.
BOOST_AUTO_TEST_CASE(TakeoverWaitsForRegistrationsAfterAnOutage) {
  const Time start{std::chrono::seconds(10)};
  const auto at = [start](int ms) {
    return start + std::chrono::milliseconds(ms);
  };
  StoreContact contact;
  BOOST_TEST((contact.RegistrationsBackBy(start) == Time()));
  contact.OnReachable(true, start);
  BOOST_TEST((contact.RegistrationsBackBy(start) == Time()));
  contact.OnReachable(false, at(100));
  BOOST_TEST((contact.RegistrationsBackBy(at(3000)) ==
              at(3000) + kRegistrationReturn));
  contact.OnReachable(true, at(3800));
  BOOST_TEST((contact.RegistrationsBackBy(at(3000)) ==
              at(3800) + kRegistrationReturn));
  // The wait of an outage that is long over is over, too.
  BOOST_TEST((contact.RegistrationsBackBy(at(60'000)) < at(60'000)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::lead
