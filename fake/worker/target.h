#ifndef FAKE_WORKER_TARGET_H_
#define FAKE_WORKER_TARGET_H_

#include <asio.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "fake/worker/relay.h"
#include "net/http.h"

namespace kch::fake {

/*! @brief Size and timing of a target. */
struct TargetOptions {
  std::string id;
  std::size_t slots = 8;
  std::int64_t memory_mb = 131'072;
  int result_ms = 120'000;
  int reboot_ms = 1000;
};

/*! @brief Faults of a target; counts: 0 off, n the next n tasks, -1 all. */
struct TargetFaults {
  std::int64_t fail = 0;       // tasks end with status 500
  std::int64_t fail_ms = 0;    // run time of such a task
  std::int64_t half = 0;       // answers are cut in the middle of the body
  std::int64_t no_answer = 0;  // tasks run, but their answer is never sent
  std::int64_t slow_ms = 0;    // added to the run time of each task
  bool silent = false;         // new connections are accepted, never served
  std::string refuse;          // reason for refusing all starts; empty: none
};

/*! @brief One target: slots, tasks, leases, faults and the log. Used on the
 * thread of its context only. */
class Target {
 public:
  Target(asio::io_context& io, TargetOptions options, RelayOptions relay);

  /*! @brief The port that schedulers connect to. */
  [[nodiscard]] std::uint16_t port() const { return this->relay.port(); }
  /*! @brief Identifier used in answers and in the log. */
  [[nodiscard]] const std::string& id() const { return this->options.id; }
  /*! @brief Handles a request whose path starts after the relay's prefix. */
  void Handle(const net::HttpRequest& request, const net::HttpReply& reply);

 private:
  using Clock = std::chrono::steady_clock;
  struct Task {
    explicit Task(asio::io_context& io) : timer(io) {}

    std::string id;
    std::string team;
    std::string profile;
    std::string request;
    nlohmann::json echo;
    bool fail = false;
    bool may_checkpoint = true;
    std::size_t pad_bytes = 0;
    std::int64_t done_before_ms = 0;  // from the checkpoint it started from
    Clock::time_point started;
    Clock::time_point ends;
    Clock::time_point lease_until;
    asio::steady_timer timer;
    std::vector<net::HttpReply> waiting;
    std::optional<net::HttpResponse> result;
  };

  void Run(const net::HttpRequest& request, const net::HttpReply& reply);
  void Renew(const net::HttpRequest& request, const net::HttpReply& reply);
  void Act(const std::string& id,
           std::string_view action,
           const net::HttpReply& reply);
  void SetFaults(const net::HttpRequest& request, const net::HttpReply& reply);
  void Attach(Task& task, const net::HttpReply& reply);
  void Arm(Task& task);
  void End(Task& task, const std::string& outcome, net::HttpResponse response);
  void Answer(const Task& task, const net::HttpReply& reply);
  void Restart(std::int64_t down_ms);
  void Log(const std::string& event,
           const Task& task,
           const std::string& outcome);
  [[nodiscard]] nlohmann::json Report() const;
  [[nodiscard]] nlohmann::json Faults() const;
  [[nodiscard]] net::HttpResponse Done(const Task& task) const;

  asio::io_context& io;
  TargetOptions options;
  Relay relay;
  asio::steady_timer restart_timer;
  TargetFaults faults;
  std::uint64_t boots = 1;
  bool draining = false;
  std::size_t running = 0;
  std::map<std::string, Task> tasks;  // running, and ended with a result
  nlohmann::json log = nlohmann::json::array();
};

}  // namespace kch::fake

#endif  // FAKE_WORKER_TARGET_H_
