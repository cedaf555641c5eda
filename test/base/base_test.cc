#include "base/base.h"

#include <boost/test/unit_test.hpp>

namespace kch {
namespace {

// Guards against errors that reach a person without their remedy.
BOOST_AUTO_TEST_CASE(ErrorTextNamesKindAndRemedy) {
  const Error error{ErrorKind::kConflict, "team a has revision 7",
                    "read it again and repeat the change"};
  BOOST_TEST(error.Text() ==
             "conflict: team a has revision 7 (read it again and repeat the "
             "change)");
}

// Guards against a name table that lost an enumerator.
BOOST_AUTO_TEST_CASE(NamesRoundTrip) {
  for (const auto& [status, name] : NameTable<StoreStatus>::kEntries) {
    BOOST_TEST(NameOf(status) == name);
    BOOST_TEST((FromName<StoreStatus>(name) == status));
  }
  BOOST_TEST(!FromName<StoreStatus>("none").has_value());
  BOOST_TEST(NamesOf<StoreStatus>() == "ok, conflict, unknown, unavailable");
}

}  // namespace
}  // namespace kch
