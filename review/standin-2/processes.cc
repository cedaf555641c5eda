#include "review/standin-2/processes.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <stdexcept>
#include <thread>

extern char** environ;

namespace review {
namespace {

using nlohmann::json;

// Processes to end if this one is ended or takes too long.
std::array<std::atomic<pid_t>, 16> children{};

void EndAll(int /*signal*/) {
  for (const auto& child : children) {
    if (child != 0) {
      kill(child, SIGKILL);
    }
  }
  _exit(2);
}

int FreePort() {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) != 0) {
    close(fd);
    throw std::runtime_error("no free port");
  }
  close(fd);
  return ntohs(address.sin_port);
}

kch::net::HttpClient& Client() {
  static auto client = *kch::net::HttpClient::Create({});
  return *client;
}

std::string Host(int port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace

Processes::Processes(std::size_t count,
                     const std::string& program,
                     const std::string& folder,
                     const std::string& platform,
                     const Options& options,
                     Record& record)
    : program(program),
      folder(folder),
      platform(platform),
      options(options),
      record(record) {
  for (std::size_t i = 0; i < count; ++i) {
    this->rows.push_back({.name = "edge-" + std::to_string(i + 1),
                          .front = FreePort(),
                          .ready = FreePort(),
                          .peers = FreePort(),
                          .bus = FreePort()});
  }
  constexpr unsigned longest_s = 115;
  std::signal(SIGTERM, &EndAll);
  std::signal(SIGINT, &EndAll);
  std::signal(SIGALRM, &EndAll);
  alarm(longest_s);
  for (std::size_t i = 0; i < count; ++i) {
    this->Start(i);
  }
}

Processes::~Processes() {
  for (std::size_t i = 0; i < this->rows.size(); ++i) {
    if (this->rows[i].pid != 0) {
      kill(this->rows[i].pid, SIGCONT);
      this->Kill(i);
    }
  }
}

void Processes::Start(std::size_t index) {
  Row& row = this->rows[index];
  const std::vector<std::string> words{
      this->program,
      "--name=" + row.name,
      "--store=" + this->platform,
      "--callers=" + Host(row.front),
      "--readiness=" + Host(row.ready),
      "--peers=" + Host(row.peers),
      "--bus=" + Host(row.bus),
      "--max-lease-ms=" + std::to_string(this->options.max_lease_ms),
      "--heartbeat-ms=" + std::to_string(this->options.heartbeat_ms),
      "--stop-grace-ms=200",
      "--machines=" + this->platform,
      "--advice=",
      "--handover-ms=3000",
      "--upkeep-s=2",
      "--cores=0.25"};
  std::vector<char*> arguments;
  for (const std::string& word : words) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = this->folder + "/" + row.name + ".log";
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  if (posix_spawn(&row.pid, this->program.c_str(), &actions, nullptr,
                  arguments.data(), environ) != 0) {
    row.pid = 0;
    posix_spawn_file_actions_destroy(&actions);
    throw std::runtime_error("cannot start " + this->program);
  }
  posix_spawn_file_actions_destroy(&actions);
  children.at(index) = row.pid;
  this->record.Line("process " + row.name + " started");
}

void Processes::Kill(std::size_t index) {
  Row& row = this->rows[index];
  kill(row.pid, SIGKILL);
  waitpid(row.pid, nullptr, 0);
  row.pid = 0;
  children.at(index) = 0;
  this->record.Line("process " + row.name + " killed");
}

void Processes::Signal(std::size_t index, int signal) {
  kill(this->rows[index].pid, signal);
  this->record.Line("process " + this->rows[index].name + " got signal " +
                    std::to_string(signal));
}

std::string Processes::Front(std::size_t index) const {
  return Host(this->rows[index].front);
}

bool Processes::WaitUntilReady(int seconds) {
  const auto until =
      std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
  while (std::chrono::steady_clock::now() < until) {
    bool all = true;
    for (const Row& row : this->rows) {
      const auto result = Client().SendAndWait(
          {.url = "http://" + Host(row.ready) + "/kingcuphaven/readiness",
           .connect_timeout_ms = 200,
           .timeout_ms = 500});
      all = all && result.Success();
    }
    if (all) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  return false;
}

std::size_t Processes::Owner(Platform& world) const {
  const auto value =
      world.With([](Platform& p) { return p.store.Value("kch/owner"); });
  if (!value) {
    return this->rows.size();
  }
  const std::string name = json::parse(*value).value("instance", "");
  for (std::size_t i = 0; i < this->rows.size(); ++i) {
    if (this->rows[i].name == name) {
      return i;
    }
  }
  return this->rows.size();
}

Answer CallFront(const std::string& address,
                 const std::string& method,
                 const std::string& path,
                 const std::string& body,
                 Record& record) {
  const auto result = Client().SendAndWait(
      {.method = method,
       .url = "http://" + address + path,
       .headers = {{"Host", "jobs.example"},
                   {"Content-Type", "application/json"},
                   {"Deadline-Ms", "3000"}},
       .body = body,
       .connect_timeout_ms = 1000,
       .timeout_ms = 3000});
  const Answer answer{
      result.status == kch::net::CallStatus::kAnswered ? result.code : 0,
      result.body};
  record.Line("client  " + method + " " + path + " at " + address + " -> " +
              std::to_string(answer.status) + " " + answer.body);
  return answer;
}

void PublishConfig(Platform& platform, const Options& options, int version) {
  const json config{
      {"Version", version},
      {"Routes",
       {{{"Name", "q"},
         {"Host", "jobs.example"},
         {"Prefix", "/q/"},
         {"Service", "p"},
         {"Public", true},
         {"MaxAttempts", options.max_attempts},
         {"Stretch", 1.6},
         {"TargetDurationMs", 600}}}},
      {"Services", {{{"Name", "p"}}}},
      {"Tenants", json::array()},
      {"Limits", json::object()}};
  platform.With([&](Platform& p) { p.Put("op/config", config); });
}

}  // namespace review
