#include "net/log.h"

#include <boost/test/unit_test.hpp>

namespace kch::net {

BOOST_AUTO_TEST_SUITE(LogTest)

// Guards against a process that ends for what another one has sent: a line
// quotes an unreadable answer, whose bytes are no UTF-8.
BOOST_AUTO_TEST_CASE(TextThatIsNoUtf8IsLogged) {
  const std::string text = "an answer is unreadable: \"\xff\"";
  StartLog("\xfe");
  BOOST_CHECK_NO_THROW(Log(LogLevel::kWarning, text));
  StartEventLog("\xfe");
  BOOST_CHECK_NO_THROW(Log(LogLevel::kWarning, text));
  BOOST_CHECK_NO_THROW(LogEvent("unreadable", {{"error", text}}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::net
