#ifndef FAKE_PLATFORM_PLATFORM_H_
#define FAKE_PLATFORM_PLATFORM_H_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "base/error.h"
#include "fake/event_loop.h"
#include "fake/platform/store.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace kch::fake {

/*! @brief Timing of the platform. */
struct PlatformOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;
  int list_lag_ms = 0;
  int operation_ms = 100;
  std::uint64_t seed = 1;
};

/*! @brief The platform: store, VM list and VM operations. */
class Platform {
 public:
  [[nodiscard]] static Result<std::unique_ptr<Platform>> Create(
      const PlatformOptions& options);
  ~Platform();
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;

  /*! @brief The port of all interfaces. */
  [[nodiscard]] std::uint16_t port() const { return this->server->port(); }

 private:
  struct Operation {
    std::string vm;
    std::string verb;
    std::string state = "pending";
    int count = 0;  // how often it took effect on the target
  };
  struct VmFaults {
    Outage down = Outage::kNone;
    std::int64_t lose_percent = 0;
    std::int64_t fail_percent = 0;   // operations that end as failed
    std::int64_t stuck_percent = 0;  // operations that stay pending
  };

  explicit Platform(const PlatformOptions& options);
  void Handle(const net::HttpRequest& request, const net::HttpReply& reply);
  void HandleVms(const net::HttpRequest& request, const net::HttpReply& reply);
  void Learn(const net::HttpRequest& request, const net::HttpReply& reply);
  void Order(const net::HttpRequest& request, const net::HttpReply& reply);
  void Begin(const std::string& id);
  void Complete(const std::string& id, bool reached);
  void SetFaults(const net::HttpRequest& request, const net::HttpReply& reply);
  void Publish(int lag_ms);
  bool Draw(std::int64_t percent);
  [[nodiscard]] nlohmann::json Faults() const;

  PlatformOptions options;
  EventLoop loop;
  Store store;  // this and the rest up to the client: loop's thread only
  Random random;
  VmFaults faults;
  std::map<std::string, nlohmann::json> vms;
  std::uint64_t last_list = 0;
  std::uint64_t published_list = 0;
  std::string published = "[]";
  std::map<std::string, Operation> operations;
  std::uint64_t list_reads = 0;
  std::uint64_t orders = 0;
  std::unique_ptr<net::HttpClient> client;
  std::unique_ptr<net::HttpServer> server;
};

}  // namespace kch::fake

#endif  // FAKE_PLATFORM_PLATFORM_H_
