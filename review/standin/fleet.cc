#include "fleet.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace review {
namespace {

constexpr int kCallMs = 3000;

std::string ReadAll(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

Fleet::Fleet(World& world, std::size_t count) : world(world) {
  this->folder =
      (std::filesystem::temp_directory_path() / "kch-review-XXXXXX").string();
  if (mkdtemp(this->folder.data()) == nullptr) {
    throw SetupFailed("no temporary folder");
  }
  auto created = kch::net::HttpClient::Create({});
  if (!created) {
    throw SetupFailed("no client");
  }
  this->client = *std::move(created);
  for (std::size_t i = 0; i < count; ++i) {
    this->processes.push_back(
        {.name = "edge-" + std::to_string(i), .caller = world.AddCaller()});
  }
  for (std::size_t i = 0; i < count; ++i) {
    this->Launch(i);
  }
  for (std::size_t i = 0; i < count; ++i) {
    this->WaitForListening(i);
  }
}

Fleet::~Fleet() {
  for (Process& process : this->processes) {
    if (process.pid != 0) {
      kill(process.pid, SIGKILL);
      waitpid(process.pid, nullptr, 0);
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(this->folder, ignored);
}

std::string Fleet::LogPath(const Process& process, int start) const {
  return this->folder + "/" + process.name + "." + std::to_string(start);
}

// The command of deploy/system.toml with the bounds of the site. Ports of 0
// let the kernel choose free ones.
void Fleet::Launch(std::size_t number) {
  Process& process = this->processes.at(number);
  const Bounds& bounds = this->world.bounds;
  const std::string shared = this->world.CallerAddress(process.caller);
  const std::vector<std::string> words{
      "target/kch-fleet",
      "--name=" + process.name,
      "--store=" + shared,
      "--callers=127.0.0.1:0",
      "--readiness=127.0.0.1:0",
      "--peers=127.0.0.1:0",
      "--bus=127.0.0.1:0",
      "--max-lease-ms=" + std::to_string(bounds.max_hold_ms),
      "--heartbeat-ms=" + std::to_string(bounds.heartbeat_ms),
      "--stop-grace-ms=" + std::to_string(bounds.stop_grace_ms),
      "--machines=" + shared,
      "--advice=" + shared,
      "--handover-ms=" + std::to_string(bounds.lease_ms),
      "--upkeep-s=" + std::to_string(bounds.maintenance_ms / 1000),
      "--cores=0.25"};
  ++process.starts;
  process.callers.clear();
  const std::string log = this->LogPath(process, process.starts);
  std::vector<char*> argv;
  for (const std::string& word : words) {
    argv.push_back(const_cast<char*>(word.c_str()));
  }
  argv.push_back(nullptr);
  const pid_t pid = fork();
  if (pid == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int file = open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    dup2(file, STDOUT_FILENO);
    dup2(file, STDERR_FILENO);
    close_range(3, ~0U, 0);  // the stand-ins' sockets are not the process's
    execv(argv[0], argv.data());
    _exit(127);
  }
  if (pid < 0) {
    throw SetupFailed("cannot start " + process.name);
  }
  process.pid = pid;
  this->world.Note(process.name + " starts");
}

void Fleet::WaitForListening(std::size_t number) {
  Process& process = this->processes.at(number);
  Need(
      process.name + " to listen",
      [&] {
        std::istringstream lines(ReadAll(this->LogPath(process, process.starts)));
        for (std::string line; std::getline(lines, line);) {
          const Json event = Json::parse(line, nullptr, false);
          if (event.is_object() && event.value("event", "") == "listening") {
            process.callers =
                "127.0.0.1:" + event.at("callers").get<std::string>();
            process.readiness =
                "127.0.0.1:" + event.at("readiness").get<std::string>();
            return true;
          }
        }
        return false;
      },
      10000);
}

void Fleet::Start(std::size_t number) {
  this->Launch(number);
  this->WaitForListening(number);
}

void Fleet::Signal(std::size_t number, int signal) {
  Process& process = this->processes.at(number);
  this->world.Note("signal " + std::to_string(signal) + " to " + process.name);
  if (process.pid != 0) {
    kill(process.pid, signal);
  }
}

void Fleet::Kill(std::size_t number) {
  Process& process = this->processes.at(number);
  this->world.Note(process.name + " is killed");
  if (process.pid != 0) {
    kill(process.pid, SIGKILL);
    waitpid(process.pid, nullptr, 0);
    process.pid = 0;
  }
}

std::size_t Fleet::Owner() {
  const auto value = this->world.Stored("kch/owner");
  const Json record = value ? Json::parse(*value, nullptr, false) : Json();
  for (std::size_t i = 0; i < this->processes.size(); ++i) {
    if (record.is_object() &&
        record.value("instance", "") == this->processes[i].name) {
      return i;
    }
  }
  return this->processes.size();
}

std::size_t Fleet::WaitForOwner(int bound_ms) {
  Need(
      "an owner",
      [this] {
        const std::size_t owner = this->Owner();
        return owner < this->size() && this->Logged(owner, "recovered");
      },
      bound_ms);
  return this->Owner();
}

std::string Fleet::Log(std::size_t number) const {
  const Process& process = this->processes.at(number);
  return ReadAll(this->LogPath(process, process.starts));
}

bool Fleet::Logged(std::size_t number, const std::string& event) const {
  return this->Log(number).find("\"" + event + "\"") != std::string::npos;
}

kch::net::HttpResult Fleet::Call(const std::string& method,
                                 std::size_t number,
                                 const Job& job,
                                 const std::string& body,
                                 int timeout_ms) {
  return this->client->SendAndWait(
      {.method = method,
       .url = "http://" + this->processes.at(number).callers + "/" + job.route +
              "/" + job.id,
       .headers = {{"Host", "jobs.example"},
                   {"Content-Type", "application/json"},
                   {"Authorization", "Bearer " + job.tenant + "-key"},
                   {"Deadline-Ms", std::to_string(timeout_ms)}},
       .body = body,
       .connect_timeout_ms = 500,
       .timeout_ms = timeout_ms});
}

int Fleet::Submit(std::size_t number, const Job& job, const Json& more) {
  this->world.AddJob(job);
  Json body{{"Spec", job.spec}, {"Steps", job.steps}};
  body.update(more);
  const auto result = this->Call("POST", number, job, body.dump(), kCallMs);
  this->world.Note("client submits job " + job.id + " at " +
                   this->processes.at(number).name + ": " +
                   std::to_string(result.code));
  return result.code;
}

int Fleet::Cancel(std::size_t number, const Job& job) {
  const auto result = this->Call("DELETE", number, job, "", kCallMs);
  this->world.Note("client cancels job " + job.id + " at " +
                   this->processes.at(number).name + ": " +
                   std::to_string(result.code));
  return result.code;
}

std::string Fleet::State(std::size_t number, const Job& job, int timeout_ms) {
  const auto result = this->Call("GET", number, job, "", timeout_ms);
  const Json body = Json::parse(result.body, nullptr, false);
  return result.Success() && body.is_object() ? body.value("State", "")
                                              : std::to_string(result.code);
}

bool Fleet::WaitFor(const std::function<bool()>& condition, int bound_ms) {
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(bound_ms);
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    Sleep(5);
  }
  return true;
}

void Fleet::Need(const std::string& what,
                 const std::function<bool()>& condition,
                 int bound_ms) {
  if (!WaitFor(condition, bound_ms)) {
    throw SetupFailed("waited in vain for " + what);
  }
}

void Fleet::Sleep(int ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void Fleet::RecordLogs(const std::vector<std::string>& texts) {
  for (const Process& process : this->processes) {
    for (int start = 1; start <= process.starts; ++start) {
      std::istringstream lines(ReadAll(this->LogPath(process, start)));
      for (std::string line; std::getline(lines, line);) {
        for (const std::string& text : texts) {
          if (line.find("\"" + text + "\"") != std::string::npos) {
            this->world.Note("log of " + process.name + ": " + line);
            break;
          }
        }
      }
    }
  }
}

}  // namespace review
