#include <atomic>
#include <charconv>
#include <cstdlib>
#include <memory>
#include <string>

#include "app/fleet/driver.h"
#include "wire/relay_codec.h"

namespace {

using kch::Result;
using kch::net::HttpRequest;
using kch::net::HttpServer;
using kch::net::Number;
using kch::net::RequiredText;
using kch::net::Settings;

constexpr std::int64_t kMaxMs = 3'600'000;

std::vector<kch::net::Setting> Declared() {
  return {
      RequiredText("name", "name of this instance, the same after a restart"),
      RequiredText("store", "host:port of the platform's store"),
      RequiredText(
          "callers",
          "host:port to listen on for callers; port 0: the kernel picks one"),
      RequiredText("readiness",
                   "host:port to listen on for the load balancer's checks"),
      RequiredText("peers",
                   "host:port to listen on for other instances and metrics"),
      RequiredText("bus",
                   "host:port to listen on for relayed calls to VMs; port 0: "
                   "the kernel picks one"),
      Number("max-body-bytes", 1 << 18, 1024, 16 << 20,
             "largest request body in bytes"),
      Number("max-lease-ms", 6000, 1000, kMaxMs,
             "longest lease that VMs grant, in ms"),
      Number("heartbeat-ms", 1500, 100, kMaxMs,
             "interval of VMs' registrations, in ms; a VM that misses three is "
             "removed"),
      Number("stop-grace-ms", 900, 0, kMaxMs,
             "longest time until a stopped run has ended, in ms"),
      RequiredText("machines",
                   "host:port of the platform's machine list and orders"),
      kch::net::Text("advice", "",
                     "host:port of the advice service; empty: none"),
      Number("handover-ms", 3000, 0, kMaxMs,
             "time between two instances' orders to one machine, in ms"),
      kch::net::Text("upkeep-s", "2", "time that upkeep takes, in s"),
      kch::net::Text("cores", "1",
                     "processor time that this process may use, in cores; of "
                     "several processes the largest owns the fleet"),
      Number("shutdown-ms", 6000, 1000, kMaxMs,
             "time from SIGTERM until the process is killed, in ms")};
}

std::string IncarnationNow(const std::string& name) {
  return name + "-" +
         std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count());
}

kch::jobs::Limits LimitsFrom(const Settings& settings) {
  using std::chrono::milliseconds;
  kch::jobs::Limits limits;
  // A lease that ends before a silent VM's registration is removed leaves no
  // run behind on a VM that nobody knows; the slack covers a slow clock and the
  // time of a stop.
  constexpr std::int64_t missed_heartbeats = 3;
  constexpr std::int64_t slack_ms = 400;
  constexpr std::int64_t least_ms = 1500;
  const std::int64_t lease_ms =
      std::min(settings.number("max-lease-ms"),
               missed_heartbeats * settings.number("heartbeat-ms") - slack_ms);
  limits.lease = milliseconds(std::max(lease_ms, least_ms));
  limits.max_lease = milliseconds(settings.number("max-lease-ms"));
  limits.stop_grace = milliseconds(settings.number("stop-grace-ms"));
  return limits;
}

// A setting with a fraction.
Result<double> PositiveIn(const Settings& settings, const std::string& name) {
  const std::string& text = settings.text(name);
  const char* const end = text.data() + text.size();
  double value = 0;
  if (std::from_chars(text.data(), end, value).ptr != end || value <= 0) {
    return kch::Fail(kch::ErrorKind::kInvalid,
                     "--" + name + " is '" + text + "'",
                     "give it as a positive number, for example 0.5");
  }
  return value;
}

Result<kch::upkeep::Limits> UpkeepLimitsFrom(const Settings& settings) {
  kch::upkeep::Limits limits;
  limits.handover_period =
      std::chrono::milliseconds(settings.number("handover-ms"));
  const auto seconds = PositiveIn(settings, "upkeep-s");
  if (!seconds) {
    return tl::unexpected(seconds.error());
  }
  limits.upkeep_duration = std::chrono::duration_cast<kch::Duration>(
      std::chrono::duration<double>(*seconds));
  return limits;
}

struct Address {
  std::string host;
  std::uint16_t port = 0;
};

Result<Address> AddressIn(const Settings& settings, const std::string& name) {
  const std::string& text = settings.text(name);
  const std::size_t colon = text.rfind(':');
  std::uint16_t port = 0;
  const char* const end = text.data() + text.size();
  if (colon == std::string::npos || colon == 0 ||
      std::from_chars(text.data() + colon + 1, end, port).ptr != end) {
    return kch::Fail(kch::ErrorKind::kInvalid,
                     "--" + name + " is '" + text + "'",
                     "give it as host:port, for example 127.0.0.1:8080");
  }
  return Address{text.substr(0, colon), port};
}

Result<std::unique_ptr<HttpServer>> Listen(const Settings& settings,
                                           const std::string& name,
                                           kch::net::HttpHandler handler) {
  const auto address = AddressIn(settings, name);
  if (!address) {
    return tl::unexpected(address.error());
  }
  return HttpServer::Create({.address = address->host,
                             .port = address->port,
                             .threads = 1,
                             .max_body_bytes = static_cast<std::size_t>(
                                 settings.number("max-body-bytes")),
                             .max_header_bytes = 16U << 10U},
                            std::move(handler));
}

// Questions of other instances, and metrics.
void HandlePeer(kch::app::Driver& driver,
                const kch::net::Metrics& metrics,
                const HttpRequest& request,
                kch::net::HttpReply reply) {
  using kch::ingress::PeerVerb;
  const auto call = kch::ingress::ParsePeerCall(request.method, request.path);
  if (!call) {
    reply({.status = 404});
    return;
  }
  switch (call->verb) {
    case PeerVerb::kMetrics:
      reply({.body = metrics.Text(),
             .content_type = "text/plain; version=0.0.4"});
      break;
    case PeerVerb::kCancel:
      driver.TellCancel(call->job);
      reply({.body = "{}"});
      break;
    case PeerVerb::kState:
      driver.AskJob(call->job, [reply = std::move(reply)](
                                   const kch::app::JobAnswer& answer) {
        answer.answered ? reply({.body = kch::app::EncodeAnswer(answer.job)})
                        : reply({.status = 503});
      });
      break;
    case PeerVerb::kPending:
      driver.AskPending(
          call->queue,
          [reply = std::move(reply)](const kch::app::PendingAnswer& answer) {
            answer.answered
                ? reply({.body = kch::app::EncodeAnswer(answer.jobs)})
                : reply({.status = 503});
          });
      break;
  }
}

// Messages between the owner and its relays.
void HandleBus(kch::app::Driver* driver,
               kch::app::RelayWorker* relay,
               std::string_view bytes) {
  auto message = kch::wire::DecodeRelay(bytes);
  if (!message) {
    kch::net::LogEvent("relay_unreadable", {{"error", message.error().Text()}});
  } else if (auto* report = std::get_if<kch::relay::Report>(&*message)) {
    if (driver != nullptr) {
      driver->OnRelayReport(std::move(*report));
    }
  } else if (relay != nullptr) {
    const auto& orders = std::get<kch::relay::OrderBatch>(*message);
    if (relay->Carry(orders) == kch::relay::BatchVerdict::kAccept &&
        driver != nullptr) {
      driver->OnOwnerContact(orders.fence, orders.lease_request_ms);
    }
  }
}

int Run(const Settings& settings) {
  const std::string& name = settings.text("name");
  kch::net::StartEventLog(name);
  kch::net::Metrics metrics;
  auto client = kch::net::HttpClient::Create({.max_connections_per_host = 48});
  if (!client) {
    kch::net::LogEvent("start_failed", {{"error", client.error().Text()}});
    return 1;
  }
  // Calls that keep the ownership of the fleet do not wait for a connection
  // behind the many others, so they have connections of their own.
  auto lease_client =
      kch::net::HttpClient::Create({.max_connections_per_host = 8});
  if (!lease_client) {
    kch::net::LogEvent("start_failed",
                       {{"error", lease_client.error().Text()}});
    return 1;
  }
  kch::platform::Store store(**client, settings.text("store"), metrics);
  kch::platform::Store lease_store(**lease_client, settings.text("store"),
                                   metrics);
  kch::platform::VmClient vms(**client);
  kch::platform::MachineClient machines(**client, settings.text("machines"),
                                        name);
  kch::platform::AdviceClient advice(**client, settings.text("advice"));
  const auto upkeep_limits = UpkeepLimitsFrom(settings);
  const auto cores = PositiveIn(settings, "cores");
  if (!upkeep_limits || !cores) {
    const auto& error = upkeep_limits ? cores.error() : upkeep_limits.error();
    kch::net::LogEvent("start_failed", {{"error", error.Text()}});
    return 2;
  }
  // Servers and the bus may be called before the driver exists.
  std::atomic<kch::app::Driver*> control = nullptr;
  std::atomic<kch::app::RelayWorker*> relay_worker = nullptr;
  kch::app::Front front(
      {.client = **client,
       .store = store,
       .metrics = metrics,
       .ask_job = [&control](const auto& job,
                             auto done) { control.load()->AskJob(job, done); },
       .ask_pending =
           [&control](const auto& queue, auto done) {
             control.load()->AskPending(queue, done);
           },
       .tell_cancel =
           [&control](const auto& job) { control.load()->TellCancel(job); }});
  auto peers =
      Listen(settings, "peers", [&](const HttpRequest& request, auto reply) {
        if (kch::app::Driver* driver = control) {
          HandlePeer(*driver, metrics, request, std::move(reply));
        } else {
          reply({.status = 503});
        }
      });
  if (!peers) {
    kch::net::LogEvent("start_failed", {{"error", peers.error().Text()}});
    return 1;
  }
  const auto bus_address = AddressIn(settings, "bus");
  auto bus = bus_address ? kch::net::PeerBus::Create(
                               bus_address->host, bus_address->port,
                               [&](const std::string& bytes) {
                                 HandleBus(control, relay_worker, bytes);
                               })
                         : tl::unexpected(bus_address.error());
  if (!bus) {
    kch::net::LogEvent("start_failed", {{"error", bus.error().Text()}});
    return 1;
  }
  const std::string peer_host = AddressIn(settings, "peers")->host;
  const std::string incarnation = IncarnationNow(name);
  const std::string bus_for_others =
      bus_address->host + ":" + std::to_string((*bus)->port());
  kch::app::RelayWorker relay(
      {.instance = kch::InstanceId(name),
       .incarnation = incarnation,
       .address = bus_for_others,
       .cores = *cores},
      {.client = **client, .vms = vms, .bus = **bus, .metrics = metrics});
  relay_worker = &relay;
  kch::app::Driver driver(
      {.instance = name,
       .incarnation = incarnation,
       .peer_address = peer_host + ":" + std::to_string((*peers)->port()),
       .bus_address = bus_for_others,
       .cores = *cores,
       .limits = LimitsFrom(settings),
       .upkeep_limits = *upkeep_limits,
       .shutdown_time =
           std::chrono::milliseconds(settings.number("shutdown-ms") * 9 / 10)},
      {.client = **client,
       .store = store,
       .lease_store = lease_store,
       .vms = vms,
       .machines = machines,
       .advice = advice,
       .front = front,
       .bus = **bus,
       .relay = relay,
       .metrics = metrics});
  control = &driver;
  auto readiness =
      Listen(settings, "readiness",
             [&driver](const HttpRequest& /*request*/, const auto& reply) {
               reply({.status = driver.ready() ? 200 : 503});
             });
  auto callers = Listen(settings, "callers",
                        [&front](const HttpRequest& request, auto reply) {
                          front.Handle(request, std::move(reply));
                        });
  for (const auto* server : {&readiness, &callers}) {
    if (!*server) {
      kch::net::LogEvent("start_failed", {{"error", server->error().Text()}});
      peers->reset();  // its thread calls the driver, which ends first
      return 1;
    }
  }
  kch::net::LogEvent("listening",
                     {{"callers", std::to_string((*callers)->port())},
                      {"readiness", std::to_string((*readiness)->port())},
                      {"peers", std::to_string((*peers)->port())}});
  driver.Run();
  // Servers and client end first: their threads call the driver and the front.
  callers->reset();
  readiness->reset();
  peers->reset();
  relay.Stop();
  bus->reset();
  lease_client->reset();
  client->reset();
  kch::net::LogEvent("exiting", {});
  // The end of the logging library's own threads has been seen to block until
  // the process was killed. Nothing is left to release or to flush.
  std::quick_exit(0);
}

}  // namespace

int main(int argc, char** argv) {
  return Run(
      kch::net::ParseOrExit("kch-fleet", Declared(), argc, argv, KCH_VERSION));
}
