#include "fake/platform/platform.h"

#include <optional>
#include <utility>

namespace kch::fake {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A transaction carries up to 1 MB in base64 and may hold several records.
constexpr std::size_t kMaxBodyBytes = 4U << 20U;
// Connections of replies that were lost on purpose close after this time;
// it exceeds the longest watch.
constexpr int kRequestTimeoutMs = 30'000;

constexpr std::string_view kOperations = "/v1/operations/";
constexpr std::string_view kVms = "/v1/vms/";
constexpr std::int64_t kAllPercent = 100;

net::HttpResponse Problem(int status, const std::string& text) {
  return {.status = status, .body = json{{"error", text}}.dump()};
}

std::string OutageName(Outage outage) {
  switch (outage) {
    case Outage::kRefuse:
      return "refuse";
    case Outage::kHang:
      return "hang";
    case Outage::kNone:
      break;
  }
  return "off";
}

std::optional<Outage> ToOutage(const json& value) {
  for (const Outage outage : {Outage::kNone, Outage::kRefuse, Outage::kHang}) {
    if (value == OutageName(outage)) {
      return outage;
    }
  }
  return std::nullopt;
}

}  // namespace

Platform::Platform(const PlatformOptions& options)
    : options(options),
      store(this->loop.context(), options.seed),
      random(options.seed) {}

Result<std::unique_ptr<Platform>> Platform::Create(
    const PlatformOptions& options) {
  std::unique_ptr<Platform> platform(new Platform(options));
  auto client = net::HttpClient::Create({});
  if (!client) {
    return tl::unexpected(client.error());
  }
  platform->client = std::move(*client);
  auto server = net::HttpServer::Create(
      {.address = options.address,
       .port = options.port,
       .max_body_bytes = kMaxBodyBytes,
       .request_timeout_ms = kRequestTimeoutMs},
      [raw = platform.get()](const net::HttpRequest& request,
                             const net::HttpReply& reply) {
        raw->loop.Post([raw, request, reply] { raw->Handle(request, reply); });
      });
  if (!server) {
    return tl::unexpected(server.error());
  }
  platform->server = std::move(*server);
  return platform;
}

Platform::~Platform() {
  this->loop.Stop();
  this->store.DropCalls();
}

void Platform::Handle(const net::HttpRequest& request,
                      const net::HttpReply& reply) {
  const std::string& path = request.path;
  if (path.starts_with("/v1/kv/") || path == "/v1/txn") {
    this->store.Handle(request, reply);
  } else if (path == "/fault") {
    this->SetFaults(request, reply);
  } else if (path == "/counters") {
    json counters = this->store.Counters();
    counters["list_reads"] = this->list_reads;
    counters["orders"] = this->orders;
    reply({.body = counters.dump()});
  } else if (request.method == "POST" && path == "/v1/vms") {
    this->Learn(request, reply);
  } else if (path.starts_with("/v1/vms") ||
             path.starts_with("/v1/operations/")) {
    this->HandleVms(request, reply);
  } else {
    reply(Problem(404, "no such path"));
  }
}

void Platform::HandleVms(const net::HttpRequest& request,
                         const net::HttpReply& reply) {
  if (this->faults.down != Outage::kNone) {
    if (this->faults.down == Outage::kRefuse) {
      reply(Problem(503, "the platform is down"));
    }
    return;
  }
  const net::HttpReply answer =
      this->Draw(this->faults.lose_percent)
          ? net::HttpReply([](const net::HttpResponse&) {})
          : reply;
  if (request.method == "GET" && request.path == "/v1/vms") {
    ++this->list_reads;
    answer({.body = this->published});
  } else if (request.path.starts_with(kOperations)) {
    const auto found =
        this->operations.find(request.path.substr(kOperations.size()));
    if (found == this->operations.end()) {
      answer(Problem(404, "no such operation"));
      return;
    }
    answer({.body = json{{"operation", found->first},
                         {"vm", found->second.vm},
                         {"verb", found->second.verb},
                         {"count", found->second.count},
                         {"state", found->second.state}}
                        .dump()});
  } else if (request.method == "POST") {
    this->Order(request, answer);
  } else {
    answer(Problem(405, "use GET /v1/vms or POST /v1/vms/<id>/<verb>"));
  }
}

void Platform::Learn(const net::HttpRequest& request,
                     const net::HttpReply& reply) {
  json listed = json::parse(request.body, nullptr, false);
  if (listed.is_object()) {
    listed = json::array({listed});
  }
  bool valid = listed.is_array();
  for (const json& vm : listed) {
    valid =
        valid && vm.is_object() && vm.contains("id") && vm["id"].is_string();
  }
  if (!valid) {
    reply(Problem(400, "expected a VM or an array of VMs, each with an id"));
    return;
  }
  for (const json& vm : listed) {
    const std::string id = vm["id"].get<std::string>();
    if (vm.value("removed", json()) == true) {
      this->vms.erase(id);
      continue;
    }
    json& known = this->vms[id];
    if (known.is_null()) {
      known = {{"state", "live"}};
    }
    known.update(vm);
  }
  this->Publish(request.Query("lag") == "0" ? 0 : this->options.list_lag_ms);
  reply({.body = json{{"vms", this->vms.size()}}.dump()});
}

void Platform::Order(const net::HttpRequest& request,
                     const net::HttpReply& reply) {
  const std::string rest = request.path.substr(kVms.size());
  const std::size_t slash = rest.find('/');
  const std::string vm = rest.substr(0, slash);
  const std::string verb =
      slash == std::string::npos ? "" : rest.substr(slash + 1);
  const std::string id(request.Query("operation"));
  if (id.empty() ||
      (verb != "drain" && verb != "reboot" && verb != "undrain")) {
    reply(Problem(400, "use /v1/vms/<id>/{drain,reboot,undrain}?operation="));
    return;
  }
  if (!this->vms.contains(vm)) {
    reply(Problem(404, "no such VM"));
    return;
  }
  ++this->orders;
  const auto [entry, added] =
      this->operations.try_emplace(id, Operation{.vm = vm, .verb = verb});
  if (entry->second.vm != vm || entry->second.verb != verb) {
    reply(Problem(409, "this operation id belongs to another order"));
    return;
  }
  if (added) {
    this->Begin(id);
  }
  reply(
      {.status = added ? 202 : 200,
       .body = json{{"operation", id}, {"state", entry->second.state}}.dump()});
}

void Platform::Begin(const std::string& id) {
  Operation& operation = this->operations.at(id);
  ++operation.count;
  json& vm = this->vms.at(operation.vm);
  if (operation.verb != "reboot") {
    vm["state"] = operation.verb == "drain" ? "leaving" : "live";
    this->Publish(this->options.list_lag_ms);
  }
  // A reboot is over shortly before its operation is done.
  const json body{{"down_ms", this->options.operation_ms * 3 / 4}};
  this->client->Send(
      {.method = "POST",
       .url = "http://" + vm.value("address", std::string()) + "/" +
              operation.verb,
       .body = body.dump(),
       .timeout_ms = 1000},
      [this, id](const net::HttpResult& result) {
        const bool reached = result.Success();
        this->loop.Post([this, id, reached] { this->Complete(id, reached); });
      });
}

void Platform::Complete(const std::string& id, bool reached) {
  if (this->Draw(this->faults.stuck_percent)) {
    return;
  }
  const bool failed = !reached || this->Draw(this->faults.fail_percent);
  auto timer = std::make_shared<asio::steady_timer>(
      this->loop.context(), milliseconds(this->options.operation_ms));
  timer->async_wait([this, timer, id, failed](std::error_code error) {
    if (!error) {
      this->operations.at(id).state = failed ? "failed" : "done";
    }
  });
}

void Platform::Publish(int lag_ms) {
  json listed = json::array();
  for (const auto& [id, vm] : this->vms) {
    listed.push_back(vm);
  }
  const std::uint64_t number = ++this->last_list;
  if (lag_ms == 0) {
    this->published = listed.dump();
    this->published_list = number;
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(this->loop.context(),
                                                    milliseconds(lag_ms));
  timer->async_wait(
      [this, timer, number, text = listed.dump()](std::error_code error) {
        // A list without lag may have been published meanwhile.
        if (!error && number > this->published_list) {
          this->published = text;
          this->published_list = number;
        }
      });
}

void Platform::SetFaults(const net::HttpRequest& request,
                         const net::HttpReply& reply) {
  if (request.method == "GET") {
    reply({.body = this->Faults().dump()});
    return;
  }
  const json order = json::parse(request.body, nullptr, false);
  StoreFaults next = this->store.current_faults();
  VmFaults next_vms = this->faults;
  bool valid = order.is_object();
  if (valid && order.value("clear", json()) == true) {
    next = {};
    next_vms = {};
  }
  const std::map<std::string, std::int64_t*> numbers{
      {"slow_ms", &next.slow_ms},
      {"lose_percent", &next.lose_percent},
      {"lose_status", &next.lose_status},
      {"watch_late_ms", &next.watch_late_ms},
      {"watch_stale_percent", &next.watch_stale_percent},
      {"vms_lose_percent", &next_vms.lose_percent},
      {"operation_fail_percent", &next_vms.fail_percent},
      {"operation_stuck_percent", &next_vms.stuck_percent}};
  std::optional<std::uint64_t> seed;
  for (const auto& [key, value] : order.items()) {
    const auto number = numbers.find(key);
    if (key == "down" || key == "vms_down") {
      const auto outage = ToOutage(value);
      valid = valid && outage.has_value();
      (key == "down" ? next.down : next_vms.down) =
          outage.value_or(Outage::kNone);
    } else if (key == "seed" && value.is_number_unsigned()) {
      seed = value.get<std::uint64_t>();
    } else if (number != numbers.end() && value.is_number_unsigned()) {
      *number->second = value.get<std::int64_t>();
    } else {
      valid = valid && key == "clear";
    }
  }
  if (!valid) {
    reply(Problem(400,
                  "expected a JSON object with any of: clear, seed, down and "
                  "vms_down (off, refuse, hang), slow_ms, lose_percent, "
                  "lose_status, watch_late_ms, watch_stale_percent, "
                  "vms_lose_percent, operation_fail_percent, "
                  "operation_stuck_percent"));
    return;
  }
  this->store.SetFaults(next);
  this->faults = next_vms;
  if (seed) {
    this->store.Seed(*seed);
    this->random.seed(*seed);
  }
  reply({.body = this->Faults().dump()});
}

json Platform::Faults() const {
  const StoreFaults& now = this->store.current_faults();
  return {{"down", OutageName(now.down)},
          {"slow_ms", now.slow_ms},
          {"lose_percent", now.lose_percent},
          {"lose_status", now.lose_status},
          {"watch_late_ms", now.watch_late_ms},
          {"watch_stale_percent", now.watch_stale_percent},
          {"vms_down", OutageName(this->faults.down)},
          {"vms_lose_percent", this->faults.lose_percent},
          {"operation_fail_percent", this->faults.fail_percent},
          {"operation_stuck_percent", this->faults.stuck_percent}};
}

bool Platform::Draw(std::int64_t percent) {
  return percent > 0 && std::uniform_int_distribution<std::int64_t>(
                            1, kAllPercent)(this->random) <= percent;
}

}  // namespace kch::fake
