#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "app/kchctl/runner.h"

namespace kch::app {
namespace {

constexpr const char* kKeyVariable = "KCH_OPERATOR_KEY";

std::vector<net::Setting> Declared() {
  using net::Number;
  using net::Switch;
  using net::Text;
  return {
      Text("entries", "", "host:port of entries, separated by commas"),
      Text("maintain", "", "host:port of maintainers, separated by commas"),
      Text("operator-key-file", "",
           "file with the operators' key; without it, the variable "
           "KCH_OPERATOR_KEY holds the key itself"),
      Switch("json", "print raw answers"),
      Switch("wait", "wait until a change is in force everywhere"),
      Number("timeout-ms", 20'000, 100, 600'000, "longest time of a command"),
      Text("change-id", "",
           "id of a change or order; the same id finds out an unknown outcome"),
      Text("id", "", "id of the key that key grant creates; empty: made up"),
      Text("weight", "", "weight of the team that team set sets"),
      Text("limit", "", "most running tasks of the team that team set sets"),
      Text("reason", "", "reason of an order to a maintainer")};
}

Result<std::string> ReadOperatorKey(const std::string& path) {
  std::string key;
  std::string source = kKeyVariable;
  if (!path.empty()) {
    source = "--operator-key-file " + path;
    std::ifstream file(path, std::ios::binary);
    if (!file) {
      return Fail(ErrorKind::kInvalid,
                  "--operator-key-file has the value '" + path +
                      "', allowed is a file that can be read",
                  "correct the path or the file's permissions");
    }
    key.assign(std::istreambuf_iterator<char>(file), {});
    key.erase(key.find_last_not_of(" \t\r\n") + 1);
  } else if (const char* value = std::getenv(kKeyVariable)) {
    key = value;
  }
  // A line break in the key would add a header of its own to the request.
  for (const char c : key) {
    if (c <= ' ' || c > '~') {
      return Fail(ErrorKind::kInvalid,
                  source +
                      " has a value that is not shown, allowed is one "
                      "line of printable characters without spaces",
                  "write the operators' key and nothing else");
    }
  }
  if (key.empty()) {
    return Fail(ErrorKind::kInvalid,
                path.empty() ? "no operators' key is given, needed is a file "
                               "or a variable with it"
                             : source + " is empty, needed is the key",
                "give --operator-key-file=FILE or set KCH_OPERATOR_KEY");
  }
  return key;
}

Result<CtlSettings> Check(const net::Settings& settings,
                          const ctl::Command& command) {
  CtlSettings result{
      .change_id = settings.text("change-id"),
      .json = settings.on("json"),
      .wait = settings.on("wait"),
      .timeout_ms = static_cast<int>(settings.number("timeout-ms"))};
  if (std::holds_alternative<ctl::ShowHelp>(command)) {
    return result;
  }
  if (ctl::NeedsEntries(command)) {
    auto entries = ctl::ParseServers("--entries", settings.text("entries"));
    if (!entries) {
      return tl::make_unexpected(entries.error());
    }
    result.entries = *std::move(entries);
  }
  if (ctl::NeedsMaintain(command)) {
    auto servers = ctl::ParseServers("--maintain", settings.text("maintain"));
    if (!servers) {
      return tl::make_unexpected(servers.error());
    }
    result.maintainers = *std::move(servers);
  }
  auto key = ReadOperatorKey(settings.text("operator-key-file"));
  if (!key) {
    return tl::make_unexpected(key.error());
  }
  result.operator_key = *std::move(key);
  return result;
}

int Usage(const Error& error) {
  std::fprintf(stderr, "kchctl: %s\n", error.Text().c_str());
  return static_cast<int>(ctl::ExitCode::kUsage);
}

int Main(int argc, char** argv) {
  for (int i = 1; i < argc; ++i) {
    if (std::string_view(argv[i]) == "--help") {
      std::puts(ctl::CommandHelp().c_str());
      break;
    }
  }
  const net::Settings settings =
      net::ParseOrExit("kchctl", Declared(), argc, argv, KCH_VERSION);
  const auto command = ctl::ParseCommand(
      settings.arguments(), {.id = settings.text("id"),
                             .weight = settings.text("weight"),
                             .limit = settings.text("limit"),
                             .reason = settings.text("reason"),
                             .change_id = settings.text("change-id")});
  if (!command) {
    return Usage(command.error());
  }
  auto checked = Check(settings, *command);
  if (!checked) {
    return Usage(checked.error());
  }
  const auto client = net::HttpClient::Create({});
  if (!client) {
    std::fprintf(stderr, "kchctl: %s\n", client.error().Text().c_str());
    return static_cast<int>(ctl::ExitCode::kRefused);
  }
  Runner runner(**client, *std::move(checked));
  return static_cast<int>(runner.Run(*command));
}

}  // namespace
}  // namespace kch::app

int main(int argc, char** argv) {
  return kch::app::Main(argc, argv);
}
