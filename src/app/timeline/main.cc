#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "net/net.h"
#include "timeline/timeline.h"

namespace kch::timeline {
namespace {

constexpr int kReadTimeoutMs = 10'000;

Result<std::string> Read(const std::string& source, net::HttpClient& client) {
  if (source.starts_with("http://")) {
    net::HttpResult result =
        client.SendAndWait({.url = source, .timeout_ms = kReadTimeoutMs});
    if (!result.Success()) {
      return Fail(ErrorKind::kUnavailable,
                  "cannot read " + source + ": " +
                      (result.status == net::CallStatus::kAnswered
                           ? "status " + std::to_string(result.code)
                           : result.error),
                  "check that the process runs and serves /v1/events");
    }
    return std::move(result.body);
  }
  std::ifstream file;
  std::istream& input = source == "-" ? std::cin : file;
  if (source != "-") {
    file.open(source, std::ios::binary);
  }
  if (!input) {
    return Fail(ErrorKind::kNotFound, "cannot read " + source,
                "name a file of JSON lines, - or a http:// URL");
  }
  return std::string(std::istreambuf_iterator<char>(input), {});
}

int Main(int argc, char** argv) {
  const auto settings = net::ParseOrExit(
      "kch-timeline",
      {net::Text("request", "", "show only events of this request"),
       net::Text("vm", "", "show only events of this VM"),
       net::Text("team", "", "show only events of this team"),
       net::Text("zone", "", "show only events of this availability zone"),
       net::Text("kind", "", "show only events of this kind"),
       net::Switch("json", "print JSON lines instead of text")},
      argc, argv, KCH_VERSION);
  if (settings.arguments().empty()) {
    std::cerr << "kch-timeline: no event stream is given; name files of JSON "
                 "lines or URLs such as http://127.0.0.1:8080/v1/events\n";
    return 2;
  }
  const auto client = net::HttpClient::Create({});
  if (!client) {
    std::cerr << "kch-timeline: " << client.error().Text() << "\n";
    return 1;
  }
  const Filter filter{.request = settings.text("request"),
                      .vm = settings.text("vm"),
                      .team = settings.text("team"),
                      .zone = settings.text("zone"),
                      .kind = settings.text("kind")};
  bool complete = true;
  std::vector<Event> events;
  for (const std::string& source : settings.arguments()) {
    const auto text = Read(source, **client);
    if (!text) {
      std::cerr << "kch-timeline: " << text.error().Text() << "\n";
      complete = false;
      continue;
    }
    Stream stream = ParseStream(*text);
    if (stream.malformed > 0) {
      std::cerr << "kch-timeline: left out " << stream.malformed
                << " malformed events of " << source << "\n";
      complete = false;
    }
    events.insert(events.end(), std::make_move_iterator(stream.events.begin()),
                  std::make_move_iterator(stream.events.end()));
  }
  const Timeline timeline = Merge(events);
  for (const Placed& placed : timeline.events) {
    if (filter.Matches(placed.event)) {
      std::cout << (settings.on("json") ? ToJson(placed) : ToText(placed))
                << "\n";
    }
  }
  if (timeline.conflicts + timeline.cycles > 0) {
    std::cerr << "kch-timeline: left out " << timeline.conflicts
              << " events with a number that their instance used before; "
              << timeline.cycles << " events contradict their causes\n";
    complete = false;
  }
  return complete ? 0 : 1;
}

}  // namespace
}  // namespace kch::timeline

int main(int argc, char** argv) {
  return kch::timeline::Main(argc, argv);
}
