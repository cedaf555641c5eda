#include "fake/worker/worker.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace kch::fake {
namespace {

using nlohmann::json;

constexpr std::string_view kExcessPrefix = "/connections_full";

}  // namespace

Result<std::unique_ptr<Worker>> Worker::Create(const WorkerOptions& options) {
  std::unique_ptr<Worker> worker(new Worker(options.address));
  auto server = net::HttpServer::Create(
      {.address = options.address},
      [raw = worker.get()](const net::HttpRequest& request,
                           const net::HttpReply& reply) {
        raw->Handle(request, reply);
      });
  if (!server) {
    return tl::unexpected(server.error());
  }
  worker->server = std::move(*server);
  try {
    worker->loop.Call([&] {
      for (std::size_t i = 0; i < options.targets; ++i) {
        TargetOptions target = options.target;
        target.id = options.id_prefix + std::to_string(i + 1);
        worker->targets.push_back(std::make_unique<Target>(
            worker->loop.context(), target,
            RelayOptions{.address = options.address,
                         .server_port = worker->server->port(),
                         .max_connections = options.connections,
                         .path_prefix = "/" + std::to_string(i),
                         .excess_path_prefix = std::string(kExcessPrefix)}));
        worker->target_ports.push_back(worker->targets.back()->port());
        worker->target_ids.push_back(target.id);
      }
    });
  } catch (const std::exception& error) {
    return Fail(ErrorKind::kUnavailable,
                std::string("cannot open a target's port: ") + error.what(),
                "check the address and the limit of open files");
  }
  return worker;
}

Worker::~Worker() {
  this->loop.Stop();
  this->targets.clear();
}

std::uint16_t Worker::control_port() const {
  return this->server->port();
}

std::string Worker::ReadyText() const {
  json listed = json::array();
  for (std::size_t i = 0; i < this->target_ports.size(); ++i) {
    listed.push_back({{"id", this->target_ids[i]},
                      {"port", this->target_ports[i]},
                      {"address", this->address + ":" +
                                      std::to_string(this->target_ports[i])}});
  }
  return json{{"targets", std::move(listed)},
              {"control_port", this->control_port()}}
             .dump() +
         "\n";
}

void Worker::Handle(const net::HttpRequest& request,
                    const net::HttpReply& reply) {
  if (request.path.starts_with(kExcessPrefix)) {
    reply({.status = 503,
           .body = R"({"error":"not run: connections_full"})",
           .headers = {{"Kch-Not-Run", "connections_full"}}});
    return;
  }
  this->loop.Post([this, request, reply] {
    std::size_t index = this->targets.size();
    const char* begin = request.path.data() + 1;
    const char* end = request.path.data() + request.path.size();
    const auto parsed = std::from_chars(begin, end, index);
    if (request.path.size() < 2 || parsed.ec != std::errc() ||
        index >= this->targets.size()) {
      reply({.status = 404, .body = R"({"error":"no such target"})"});
      return;
    }
    net::HttpRequest inner = request;
    inner.path.erase(0, static_cast<std::size_t>(parsed.ptr - begin) + 1);
    this->targets[index]->Handle(inner, reply);
  });
}

}  // namespace kch::fake
