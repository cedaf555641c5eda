#include <stdlib.h>
#include <sys/wait.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <sstream>

#include "test/process/fleet.h"

namespace kch::test {
namespace {

struct Binary {
  std::string name;
  std::vector<std::string> required;
  std::string flag;  // a setting
  std::string bad;   // a value out of its range
  std::string range;
  bool is_switch = false;  // set by its variable only
};

const std::vector<Binary>& Binaries() {
  static const std::vector<Binary> binaries{
      {"kch-entry",
       {"--name=a", "--vm=b", "--zone=c", "--store=h:1", "--platform=h:1"},
       "http-port",
       "70000",
       "0 to 65535"},
      {"kch-maintain",
       {"--name=a", "--store=h:1", "--platform=h:1"},
       "http-port",
       "70000",
       "0 to 65535"},
      {"kch-fleet",
       {"--name=a", "--store=h:1", "--callers=h:1", "--readiness=h:1",
        "--peers=h:1", "--bus=h:1", "--machines=h:1"},
       "max-lease-ms",
       "10",
       "1000 to 3600000"},
      {"kchctl", {"status"}, "timeout-ms", "1", "100 to 600000"},
      {"kch-load",
       {"--entries=h:1", "--keys=a=b", "--queues=q"},
       "unrepeatable-percent",
       "101",
       "0 to 100"},
      {"kch-timeline", {}, "json", "maybe", "on or off", true},
      {"kch-fake-platform", {}, "port", "x", "0 to 65535"},
      {"kch-fake-worker", {}, "targets", "0", "1 to 20000"}};
  return binaries;
}

// Name of the environment variable of a flag.
std::string VariableOf(const std::string& flag) {
  std::string name = "KCH_";
  for (const char c : flag) {
    name += c == '-' ? '_' : static_cast<char>(std::toupper(c));
  }
  return name;
}

struct Run {
  int code = -1;
  std::string output;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

Run RunToEnd(const std::string& binary,
             const std::vector<std::string>& flags,
             const std::filesystem::path& output) {
  std::vector<std::string> arguments{BinaryPath(binary)};
  arguments.insert(arguments.end(), flags.begin(), flags.end());
  int status = 0;
  const pid_t pid = Spawn(arguments, output.string());
  waitpid(pid, &status, 0);
  std::ostringstream text;
  text << std::ifstream(output).rdbuf();
  return {WIFEXITED(status) ? WEXITSTATUS(status) : -1, text.str()};
}

// Guards against a binary that starts with a setting it misread, or whose
// message does not tell an operator what to correct.
BOOST_AUTO_TEST_CASE(BinariesCheckTheirSettings) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "kch-settings-XXXXXX").string();
  BOOST_REQUIRE(mkdtemp(folder.data()) != nullptr);
  const std::filesystem::path output = std::filesystem::path(folder) / "output";
  std::istringstream built(KCH_BINARIES);
  for (std::string name; built >> name;) {
    BOOST_TEST(std::ranges::count(Binaries(), name, &Binary::name) == 1,
               name << " has no row in the table");
  }
  for (const Binary& binary : Binaries()) {
    BOOST_TEST_CONTEXT(binary.name) {
      const auto run = [&](std::vector<std::string> flags) {
        flags.insert(flags.end(), binary.required.begin(),
                     binary.required.end());
        return RunToEnd(binary.name, flags, output);
      };
      const Run help = RunToEnd(binary.name, {"--help"}, output);
      BOOST_TEST(help.code == 0);
      BOOST_TEST(Contains(help.output, "--" + binary.flag));
      const Run version = RunToEnd(binary.name, {"--version"}, output);
      BOOST_TEST(version.code == 0);
      BOOST_TEST(version.output.starts_with(binary.name + " "));
      BOOST_TEST(run({"--check-settings"}).code == 0);
      if (!binary.is_switch) {
        const Run bad =
            run({"--check-settings", "--" + binary.flag + "=" + binary.bad});
        BOOST_TEST(bad.code == 2);
        BOOST_TEST(Contains(bad.output, "--" + binary.flag));
        BOOST_TEST(Contains(bad.output, binary.range));
      }
      const std::string variable = VariableOf(binary.flag);
      setenv(variable.c_str(), binary.bad.c_str(), 1);
      const Run bad = run({"--check-settings"});
      unsetenv(variable.c_str());
      BOOST_TEST(bad.code == 2);
      BOOST_TEST(Contains(bad.output, variable));
      BOOST_TEST(Contains(bad.output, binary.range));
      const Run unknown = run({"--no-such-flag=1"});
      BOOST_TEST(unknown.code == 2);
      BOOST_TEST(Contains(unknown.output, "--no-such-flag"));
    }
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace kch::test
