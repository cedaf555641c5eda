#include <csignal>
#include <cstdio>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "app/maintain/driver.h"
#include "app/maintain/http_api.h"
#include "net/net.h"
#include "wire/wire.h"

namespace {

using kch::Result;
using kch::net::Number;
using kch::net::RequiredText;
using kch::net::Settings;
using kch::net::Text;
using std::chrono::milliseconds;

constexpr std::int64_t kMaxPort = 65535;
constexpr std::int64_t kMaxMs = 600'000;

std::vector<kch::net::Setting> Declared() {
  return {
      RequiredText("name", "name of this instance, the same after a restart"),
      RequiredText("store", "host:port of the platform's store"),
      RequiredText("platform", "host:port of the platform's VM interface"),
      Text("address", "127.0.0.1", "IP number to listen on"),
      Number("http-port", 0, 0, kMaxPort, "port for operators; 0: any"),
      Number("peer-port", 0, 0, kMaxPort, "port of the peer bus; 0: any"),
      Number("longest-lease-ms", 30'000, 1000, kMaxMs,
             "longest lease of a task, the same as on all entries"),
      Number("report-age-ms", 2000, 1500, kMaxMs,
             "greatest age of a worker's report that counts"),
      Number("list-age-ms", 10'000, 5000, kMaxMs,
             "greatest age of the platform's list and of the members"),
      Number("entry-silent-ms", 2000, 1000, kMaxMs,
             "silence after which an entry's leases are waited for"),
      Number("checkpoint-grace-ms", 30'000, 0, kMaxMs,
             "time for a checkpoint before a drain stops the task"),
      Number("read-interval-ms", 1000, 100, 60'000,
             "time between reads of a pool's record"),
      Text("operator-key-sha256", "",
           "SHA-256 of the operators' key as hex; empty refuses operators"),
      Text("ready-file", "", "file to write the bound ports to, for tests"),
      Text("event-file", "", "file to append events to, for tests"),
      Number("event-capacity", 20'000, 100, 1'000'000, "events kept in memory"),
      Number("seed", 0, 0, 1'000'000'000, "seed of random choices; 0: any")};
}

// Incarnations must rise with each start of an instance.
std::uint64_t IncarnationNow() {
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(
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

kch::maintain::Limits LimitsFrom(const Settings& settings) {
  return {
      .max_lease = milliseconds(settings.number("longest-lease-ms")),
      .max_report_age = milliseconds(settings.number("report-age-ms")),
      .max_list_age = milliseconds(settings.number("list-age-ms")),
      .entry_timeout = milliseconds(settings.number("entry-silent-ms")),
      .checkpoint_grace = milliseconds(settings.number("checkpoint-grace-ms"))};
}

Result<void> Serve(const Settings& settings) {
  const std::string& name = settings.text("name");
  kch::net::StartLog(name);
  auto client = kch::net::HttpClient::Create({});
  if (!client) {
    return tl::make_unexpected(client.error());
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
          driver->Post(*std::move(message));
        }
      });
  if (!bus) {
    return tl::make_unexpected(bus.error());
  }
  std::unique_ptr<kch::app::HttpApi> api;
  auto server = kch::net::HttpServer::Create(
      {.address = settings.text("address"),
       .port = static_cast<std::uint16_t>(settings.number("http-port"))},
      [&](const kch::net::HttpRequest& request,
          const kch::net::HttpReply& reply) {
        if (driver_now() == nullptr) {
          reply({.status = 503});
          return;
        }
        api->Handle(request, reply);
      });
  if (!server) {
    return tl::make_unexpected(server.error());
  }

  const std::string host = settings.text("address") + ":";
  kch::net::StoreClient store(**client, settings.text("store"));
  kch::net::EventLog events(
      name, static_cast<std::size_t>(settings.number("event-capacity")),
      settings.text("event-file"));
  kch::net::Metrics metrics;
  kch::app::Driver driver(
      {.self = kch::InstanceId("maintain-" + name),
       .incarnation = IncarnationNow(),
       .bus_address = host + std::to_string((*bus)->port()),
       .platform = settings.text("platform"),
       .limits = LimitsFrom(settings),
       .read_interval = milliseconds(settings.number("read-interval-ms")),
       .seed = settings.number("seed") != 0
                   ? static_cast<std::uint64_t>(settings.number("seed"))
                   : std::random_device()()},
      {.client = **client,
       .bus = **bus,
       .store = store,
       .events = events,
       .metrics = metrics});
  api = std::make_unique<kch::app::HttpApi>(
      driver, events, metrics, settings.text("operator-key-sha256"));
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
    driver.Stop();
  }).detach();

  WriteReadyFile(settings.text("ready-file"), (*server)->port(),
                 (*bus)->port());
  kch::net::Log(kch::net::LogLevel::kInfo,
                "operators at " + host + std::to_string((*server)->port()));
  driver.Run();
  kch::net::Log(kch::net::LogLevel::kInfo, "stopped");
  {
    const std::lock_guard lock(mutex);
    driver_ready = nullptr;
  }
  // Adapters call into the driver, so they end before it.
  server->reset();
  client->reset();
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

  const Settings settings = kch::net::ParseOrExit("kch-maintain", Declared(),
                                                  argc, argv, KCH_VERSION);
  const auto served = Serve(settings);
  if (!served) {
    std::fprintf(stderr, "kch-maintain: %s\n", served.error().Text().c_str());
    return 1;
  }
  return 0;
}
