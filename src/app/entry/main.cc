#include <csignal>
#include <cstdio>
#include <memory>
#include <string>
#include <thread>

#include "app/entry/driver.h"
#include "app/entry/http_api.h"
#include "engine/engine.h"
#include "net/net.h"
#include "wire/wire.h"

namespace {

using kch::InstanceId;
using kch::Result;
using kch::net::Number;
using kch::net::RequiredText;
using kch::net::Settings;
using kch::net::Text;

std::vector<kch::net::Setting> Declared() {
  constexpr std::int64_t max_port = 65535;
  constexpr std::int64_t max_body = 16 << 20;
  return {
      RequiredText("name", "name of this instance, the same after a restart"),
      RequiredText("vm", "id of this VM in the platform's list"),
      RequiredText("zone", "availability zone of this VM"),
      RequiredText("store", "host:port of the platform's store"),
      RequiredText("platform", "host:port of the platform's VM list"),
      Text("address", "127.0.0.1", "IP number to listen on"),
      Number("http-port", 0, 0, max_port, "port for callers; 0: any"),
      Number("peer-port", 0, 0, max_port, "port of the peer bus; 0: any"),
      Number("http-threads", 2, 1, 64, "threads for callers"),
      Number("max-body-bytes", 1 << 20, 1024, max_body,
             "largest request body in bytes"),
      Number("max-header-bytes", 8192, 256, 65536,
             "largest header value in bytes"),
      Number("max-id-length", 128, 8, 1024, "longest request id"),
      Number("max-waiting", 100'000, 1, 10'000'000,
             "requests that may wait here for a slot"),
      Number("result-bytes", 8 << 20, 0, 1 << 30,
             "memory for results kept for callers who return, in bytes"),
      Number("longest-lease-ms", 30'000, 1000, 600'000,
             "longest lease of a task, the same on all entries"),
      Number("max-drain-ms", 3'600'000, 0, 86'400'000,
             "longest wait for running tasks at a shutdown"),
      Text("peers", "",
           "name=host:port of peers' buses, separated by commas, to ask while "
           "the store is down"),
      Text("operator-key-sha256", "",
           "SHA-256 of the operators' key as hex; empty refuses operators"),
      Text("ready-file", "", "file to write the bound ports to, for tests"),
      Text("event-file", "", "file to append events to, for tests"),
      Number("event-capacity", 20'000, 100, 1'000'000, "events kept in memory"),
      Number("seed", 0, 0, 1'000'000'000, "seed of random choices; 0: any")};
}

std::vector<kch::engine::SeedPeer> ParsePeers(const std::string& text) {
  std::vector<kch::engine::SeedPeer> seeds;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    const std::string item = text.substr(begin, end - begin);
    const std::size_t equals = item.find('=');
    if (equals != std::string::npos) {
      seeds.push_back(
          {InstanceId(item.substr(0, equals)), item.substr(equals + 1)});
    }
    begin = end + 1;
  }
  return seeds;
}

// Incarnations must rise with each start of an instance.
std::uint64_t IncarnationNow() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

void WriteReadyFile(const std::string& path,
                    std::uint16_t http_port,
                    std::uint16_t peer_port) {
  if (path.empty()) {
    return;
  }
  // Renamed into place, so that a reader never sees half of it.
  const std::string part = path + ".part";
  if (std::FILE* file = std::fopen(part.c_str(), "w")) {
    std::fprintf(file, "{\"http_port\": %u, \"peer_port\": %u}\n", http_port,
                 peer_port);
    std::fclose(file);
    std::rename(part.c_str(), path.c_str());
  }
}

kch::engine::Settings EngineSettings(const Settings& settings) {
  kch::engine::Settings result;
  result.longest_lease =
      std::chrono::milliseconds(settings.number("longest-lease-ms"));
  result.max_drain = std::chrono::milliseconds(settings.number("max-drain-ms"));
  result.max_waiting = settings.number("max-waiting");
  result.max_retained_result_bytes =
      static_cast<std::size_t>(settings.number("result-bytes"));
  return result;
}

Result<void> Serve(const Settings& settings) {
  const std::string& name = settings.text("name");
  kch::net::StartLog(name);
  auto traffic = kch::net::HttpClient::Create({});
  auto control = kch::net::HttpClient::Create({});
  if (!traffic || !control) {
    return tl::make_unexpected(traffic ? control.error() : traffic.error());
  }
  // Messages and requests wait for the driver, which needs the ports first.
  kch::app::Driver* driver_ready = nullptr;
  std::mutex mutex;
  const auto driver_now = [&] {
    const std::lock_guard lock(mutex);
    return driver_ready;
  };
  auto bus = kch::net::PeerBus::Create(
      settings.text("address"),
      static_cast<std::uint16_t>(settings.number("peer-port")),
      [&](const std::string& bytes) {
        kch::app::Driver* driver = driver_now();
        auto message = kch::wire::Decode(bytes);
        if (driver != nullptr && message) {
          driver->Post(kch::engine::PeerMessage{*std::move(message)});
        }
      });
  if (!bus) {
    return tl::make_unexpected(bus.error());
  }
  std::unique_ptr<kch::app::HttpApi> api;
  auto server = kch::net::HttpServer::Create(
      {.address = settings.text("address"),
       .port = static_cast<std::uint16_t>(settings.number("http-port")),
       .threads = static_cast<std::size_t>(settings.number("http-threads")),
       .max_body_bytes =
           static_cast<std::size_t>(settings.number("max-body-bytes")),
       .max_header_bytes =
           static_cast<std::size_t>(settings.number("max-header-bytes"))},
      [&](kch::net::HttpRequest request, const kch::net::HttpReply& reply) {
        if (driver_now() == nullptr) {
          reply({.status = 503});
          return;
        }
        api->Handle(std::move(request), reply);
      });
  if (!server) {
    return tl::make_unexpected(server.error());
  }

  const std::string host = settings.text("address") + ":";
  const kch::member::Member self{
      .instance = InstanceId(name),
      .incarnation = IncarnationNow(),
      .vm = kch::VmId(settings.text("vm")),
      .zone = kch::ZoneId(settings.text("zone")),
      .peer_address = host + std::to_string((*bus)->port()),
      .http_address = host + std::to_string((*server)->port())};
  const auto seed = settings.number("seed") != 0
                        ? static_cast<std::uint64_t>(settings.number("seed"))
                        : std::random_device()();
  kch::engine::Entry entry(self, ParsePeers(settings.text("peers")),
                           EngineSettings(settings), seed,
                           std::chrono::time_point_cast<kch::Duration>(
                               std::chrono::steady_clock::now()));
  kch::net::StoreClient store(**control, settings.text("store"));
  kch::net::EventLog events(
      name, static_cast<std::size_t>(settings.number("event-capacity")),
      settings.text("event-file"));
  kch::net::Metrics metrics;
  kch::app::Driver driver(entry, {.traffic = **traffic,
                                  .control = **control,
                                  .bus = **bus,
                                  .store = store,
                                  .events = events,
                                  .metrics = metrics,
                                  .platform = settings.text("platform")});
  api = std::make_unique<kch::app::HttpApi>(
      driver, events, metrics, **bus, store,
      kch::app::ApiOptions{
          .operator_key_sha256 = settings.text("operator-key-sha256"),
          .max_id_length =
              static_cast<std::size_t>(settings.number("max-id-length"))});
  {
    const std::lock_guard lock(mutex);
    driver_ready = &driver;
  }

  // Signals are taken by a thread of their own; all others block them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  std::thread([&driver, signals] {
    int number = 0;
    sigwait(&signals, &number);
    kch::net::Log(kch::net::LogLevel::kInfo, "shutdown begins");
    driver.Post(kch::engine::Stop{});
  }).detach();

  WriteReadyFile(settings.text("ready-file"), (*server)->port(),
                 (*bus)->port());
  kch::net::Log(
      kch::net::LogLevel::kInfo,
      "callers at " + self.http_address + ", peers at " + self.peer_address);
  driver.Run();
  // The last answers are still on their way through the server's threads.
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  kch::net::Log(kch::net::LogLevel::kInfo, "shutdown complete");
  {
    const std::lock_guard lock(mutex);
    driver_ready = nullptr;
  }
  // Adapters call into the driver, so they end before it.
  server->reset();
  traffic->reset();
  control->reset();
  bus->reset();
  return {};
}

}  // namespace

int main(int argc, char** argv) {
  // Blocked before any thread starts, so that every thread inherits it.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);

  const Settings settings =
      kch::net::ParseOrExit("kch-entry", Declared(), argc, argv, KCH_VERSION);
  const auto served = Serve(settings);
  if (!served) {
    std::fprintf(stderr, "kch-entry: %s\n", served.error().Text().c_str());
    return 1;
  }
  return 0;
}
