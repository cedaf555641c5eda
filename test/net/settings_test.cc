#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "net/settings.h"

namespace kch::net {
namespace {

Result<Settings> Parse(const std::vector<std::string>& arguments,
                       const std::map<std::string, std::string>& variables) {
  return Settings::Create(
      "kch-test",
      {Number("http-port", 8080, 0, 65535, "port for callers"),
       Text("zone", "z1", "availability zone"), Switch("quiet", "no logs"),
       RequiredText("name", "instance name")},
      arguments, [&](const char* name) -> const char* {
        const auto found = variables.find(name);
        return found == variables.end() ? nullptr : found->second.c_str();
      });
}

// Guards against flags, variables and defaults in the wrong order.
BOOST_AUTO_TEST_CASE(FlagsBeatVariablesBeatDefaults) {
  const auto settings =
      Parse({"--http-port=9", "--name", "a", "--quiet", "rest"},
            {{"KCH_HTTP_PORT", "7"}, {"KCH_ZONE", "z9"}});
  BOOST_REQUIRE(settings.has_value());
  BOOST_TEST(settings->number("http-port") == 9);
  BOOST_TEST(settings->text("zone") == "z9");
  BOOST_TEST(settings->on("quiet"));
  BOOST_TEST(settings->arguments() == std::vector<std::string>{"rest"},
             boost::test_tools::per_element());
}

// Guards against an error that hides the flag, the value, the range or the
// remedy.
BOOST_AUTO_TEST_CASE(ErrorsNameFlagValueAndRange) {
  const auto range = Parse({"--name=a", "--http-port=70000"}, {});
  BOOST_REQUIRE(!range.has_value());
  BOOST_TEST(range.error().Text() ==
             "invalid: --http-port has the value '70000', allowed is a whole "
             "number from 0 to 65535 (change it or leave it out)");
  const auto variable = Parse({"--name=a"}, {{"KCH_HTTP_PORT", "12x"}});
  BOOST_REQUIRE(!variable.has_value());
  BOOST_TEST(variable.error().message.starts_with("KCH_HTTP_PORT has"));
  const auto unknown = Parse({"--name=a", "--htp-port=1"}, {});
  BOOST_REQUIRE(!unknown.has_value());
  BOOST_TEST(unknown.error().message.find("--htp-port") != std::string::npos);
  const auto missing = Parse({}, {});
  BOOST_REQUIRE(!missing.has_value());
  BOOST_TEST(missing.error().remedy.find("KCH_NAME") != std::string::npos);
}

}  // namespace
}  // namespace kch::net
