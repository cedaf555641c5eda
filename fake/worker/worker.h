#ifndef FAKE_WORKER_WORKER_H_
#define FAKE_WORKER_WORKER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "base/error.h"
#include "fake/event_loop.h"
#include "fake/worker/target.h"
#include "net/http_server.h"

namespace kch::fake {

/*! @brief Number and size of the targets. */
struct WorkerOptions {
  std::string address = "127.0.0.1";
  std::string id_prefix = "vm-";
  std::size_t targets = 1;
  std::size_t connections = 64;
  TargetOptions target;
};

/*! @brief Any number of targets behind one HTTP server and one thread. */
class Worker {
 public:
  [[nodiscard]] static Result<std::unique_ptr<Worker>> Create(
      const WorkerOptions& options);
  ~Worker();
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  /*! @brief Ports of the targets in order. */
  [[nodiscard]] const std::vector<std::uint16_t>& ports() const {
    return this->target_ports;
  }
  /*! @brief Reaches target i as `/i/<path>` whatever its faults. */
  [[nodiscard]] std::uint16_t control_port() const;
  /*! @brief Content of the ready file. */
  [[nodiscard]] std::string ReadyText() const;

 private:
  explicit Worker(std::string address) : address(std::move(address)) {}
  void Handle(const net::HttpRequest& request, const net::HttpReply& reply);

  std::string address;
  EventLoop loop;
  std::vector<std::unique_ptr<Target>> targets;  // used on the loop's thread
  std::vector<std::uint16_t> target_ports;
  std::vector<std::string> target_ids;
  std::unique_ptr<net::HttpServer> server;
};

}  // namespace kch::fake

#endif  // FAKE_WORKER_WORKER_H_
