// Measures the processor time that net::HttpClient takes for a call while some
// number of calls are open. The servers run in a process of their own.

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "net/net.h"

namespace kch::net {
namespace {

constexpr int kCalls = 20'000;
constexpr int kWarmUpCalls = 2'000;
constexpr int kRepeats = 3;
constexpr std::array kOpenCalls{10, 100, 1000};
constexpr std::size_t kServers = 50;
constexpr int kCallersBesideHeld = 4;
constexpr int kBodyBytes = 400;
constexpr int kTimeoutMs = 600'000;

using Ports = std::array<std::uint16_t, kServers>;

// Address of one of the servers, which take turns.
std::string Url(const Ports& ports, std::size_t turn) {
  return "http://127.0.0.1:" + std::to_string(ports[turn % kServers]);
}

double ProcessorUs() {
  constexpr double us_per_s = 1e6;
  constexpr double us_per_ns = 1e-3;
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return static_cast<double>(used.tv_sec) * us_per_s +
         static_cast<double>(used.tv_nsec) * us_per_ns;
}

// Serves until the other end of the pipe closes. Calls to /held stay open until
// a call to /release.
void Serve(int port_pipe, int end_pipe) {
  std::mutex mutex;
  std::vector<HttpReply> held;
  const HttpHandler handler = [&](const HttpRequest& request, HttpReply reply) {
    const std::lock_guard lock(mutex);
    if (request.path == "/held") {
      held.push_back(std::move(reply));
      return;
    }
    if (request.path == "/release") {
      for (const HttpReply& waiting : std::exchange(held, {})) {
        waiting({});
      }
    }
    reply({.body = std::string(kBodyBytes, 'x')});
  };
  std::vector<std::unique_ptr<HttpServer>> servers;
  Ports ports{};
  for (std::uint16_t& port : ports) {
    servers.push_back(HttpServer::Create({.threads = 1}, handler).value());
    port = servers.back()->port();
  }
  char byte = 0;
  if (write(port_pipe, ports.data(), sizeof(ports)) == sizeof(ports)) {
    while (read(end_pipe, &byte, 1) > 0) {
    }
  }
}

// Keeps a number of calls open, each followed by another one.
class Load {
 public:
  Load(HttpClient& client, const Ports& ports) : client(client), ports(ports) {}

  void Run(int callers, int calls) {
    this->left = calls;
    this->ended = 0;
    this->wanted = calls;
    this->done = {};
    for (int i = 0; i < std::min(callers, calls); ++i) {
      this->Next();
    }
    this->done.get_future().wait();
  }
  [[nodiscard]] int failed() const { return this->failures; }

 private:
  void Next() {
    std::size_t turn = 0;
    {
      const std::lock_guard lock(this->mutex);
      if (this->left == 0) {
        return;
      }
      turn = static_cast<std::size_t>(--this->left);
    }
    this->client.Send({.method = "POST",
                       .url = Url(this->ports, turn) + "/call",
                       .headers = {{"Content-Type", "application/json"},
                                   {"Kch-Task", "task-17"}},
                       .body = std::string(kBodyBytes, 'y'),
                       .timeout_ms = kTimeoutMs},
                      [this](const HttpResult& result) {
                        this->failures += result.Success() ? 0 : 1;
                        this->Next();
                        if (++this->ended == this->wanted) {
                          this->done.set_value();
                        }
                      });
  }

  HttpClient& client;
  const Ports& ports;
  std::mutex mutex;
  int left = 0;
  // Used by the client's thread only, but for the time between two runs.
  int ended = 0;
  int wanted = 0;
  int failures = 0;
  std::promise<void> done;
};

double Median(const std::function<double()>& run) {
  std::array<double, kRepeats> values{};
  std::ranges::generate(values, run);
  std::ranges::sort(values);
  return values[kRepeats / 2];
}

double PerCall(Load& load, int callers) {
  load.Run(callers, kWarmUpCalls);
  return Median([&] {
    const double began = ProcessorUs();
    load.Run(callers, kCalls);
    return (ProcessorUs() - began) / kCalls;
  });
}

void Measure(const Ports& ports) {
  for (const int open : kOpenCalls) {
    const auto client = HttpClient::Create({}).value();
    Load load(*client, ports);
    const double busy = PerCall(load, open);

    std::vector<std::promise<HttpResult>> held(
        static_cast<std::size_t>(open - kCallersBesideHeld));
    std::size_t turn = 0;
    for (auto& call : held) {
      client->Send(
          {.url = Url(ports, turn++) + "/held", .timeout_ms = kTimeoutMs},
          [&call](HttpResult result) { call.set_value(std::move(result)); });
    }
    const double beside = PerCall(load, kCallersBesideHeld);
    int failed = load.failed();
    failed += client->SendAndWait({.url = Url(ports, 0) + "/release"}).Success()
                  ? 0
                  : 1;
    for (auto& call : held) {
      failed += call.get_future().get().Success() ? 0 : 1;
    }
    std::printf(
        "%4d calls open: %6.1f us a call, %6.1f us with all but %d of them "
        "waiting for their answers, %d failed\n",
        open, busy, beside, kCallersBesideHeld, failed);
    std::fflush(stdout);
  }
}

}  // namespace
}  // namespace kch::net

int main() {
  std::array<int, 2> port_pipe{};
  std::array<int, 2> end_pipe{};
  if (pipe(port_pipe.data()) != 0 || pipe(end_pipe.data()) != 0) {
    std::perror("pipe");
    return 1;
  }
  const pid_t child = fork();
  if (child == 0) {
    close(end_pipe[1]);
    kch::net::Serve(port_pipe[1], end_pipe[0]);
    return 0;
  }
  close(port_pipe[1]);
  kch::net::Ports ports{};
  if (child < 0 ||
      read(port_pipe[0], ports.data(), sizeof(ports)) != sizeof(ports)) {
    std::fprintf(stderr, "the servers did not start\n");
    return 1;
  }
  kch::net::Measure(ports);
  close(end_pipe[1]);
  waitpid(child, nullptr, 0);
  return 0;
}
