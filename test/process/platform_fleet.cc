#include "test/process/platform_fleet.h"

#include <sys/wait.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "lead/lead.h"
#include "test/process/fleet.h"

namespace kch::test {
namespace {

using nlohmann::json;

constexpr int kCallTimeoutMs = 3000;

json Encode(const jobs::StepSpec& step) {
  return {{"Count", step.count},
          {"Cpu", step.need.cpu_m},
          {"MemMb", step.need.memory_mb},
          {"Gpu", step.need.gpus},
          {"EstimateMs", step.estimate_ms},
          {"After", step.depends_on},
          {"MaxPerServer", step.max_per_vm},
          {"GangScheduled", step.gang},
          {"Speculative", step.speculative},
          {"LongRunning", step.endless},
          {"MayMiss", step.max_unavailable}};
}

std::string Encode(const jobs::JobSpec& job) {
  json body{{"Spec", job.payload}, {"Steps", json::array()}};
  for (const jobs::StepSpec& step : job.steps) {
    body["Steps"].push_back(Encode(step));
  }
  if (job.schedule.times > 0) {
    body["FirstRunMs"] = job.schedule.first_ms;
    body["IntervalMs"] = job.schedule.interval_ms;
    body["RepeatCount"] = job.schedule.times;
  }
  return body.dump();
}

}  // namespace

jobs::JobSpec PlainJob(const std::string& id,
                       std::int32_t count,
                       std::int64_t ms,
                       const std::string& queue) {
  jobs::JobSpec job;
  // The platform's ids are 16 hexadecimal digits.
  job.id = jobs::JobId(std::string(16 - id.size(), '0') + id);
  job.queue.id = jobs::QueueId(queue);
  job.payload = "payload of " + id;
  job.steps.push_back(
      {.count = count, .need = {1000, 100, 0}, .estimate_ms = ms});
  return job;
}

PlatformFleet::PlatformFleet(std::size_t count,
                             const fake::FleetPlatform::Options& options,
                             StoreAddress store_address,
                             std::vector<std::string> flags)
    : store_address(std::move(store_address)),
      flags(std::move(flags)),
      deadline(std::chrono::steady_clock::now() + kTestBound) {
  this->files = MakeTestFolder();
  auto created = net::HttpClient::Create({});
  auto made = fake::FleetPlatform::Create(options);
  if (!created || !made) {
    throw std::runtime_error("cannot start the stand-in");
  }
  this->client = std::move(*created);
  this->platform = std::move(*made);
  for (std::size_t i = 0; i < count; ++i) {
    this->instances.push_back({.name = "e" + std::to_string(i), .number = i});
  }
  try {
    for (Process& process : this->instances) {
      this->Start(process);
    }
    for (Process& process : this->instances) {
      this->ReadPorts(process);
    }
    this->WaitForOwner();
  } catch (...) {
    this->StopAll();
    throw;
  }
}

PlatformFleet::~PlatformFleet() {
  this->StopAll();
}

std::filesystem::path PlatformFleet::LogOf(const Process& process) const {
  return this->files /
         (process.name + "." + std::to_string(process.starts) + ".log");
}

std::string PlatformFleet::Log(std::size_t instance) const {
  return ReadFile(this->LogOf(this->instances.at(instance)));
}

double PlatformFleet::Counter(std::size_t instance, const std::string& name) {
  const std::string body =
      this->client
          ->SendAndWait({.url = "http://" + this->instances.at(instance).peers +
                                "/metrics"})
          .body;
  double total = 0;
  std::istringstream lines(body);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(name) &&
        line.find_first_of(" {", name.size()) == name.size()) {
      total += std::stod(line.substr(line.rfind(' ')));
    }
  }
  return total;
}

void PlatformFleet::Start(Process& process) {
  ++process.starts;
  const std::string shared = this->platform->address(process.number);
  const std::string store =
      this->store_address ? this->store_address(shared) : shared;
  std::vector<std::string> arguments{
      BinaryPath("kch-fleet"),   "--name=" + process.name,
      "--store=" + store,        "--machines=" + shared,
      "--advice=" + shared,      "--callers=127.0.0.1:0",
      "--readiness=127.0.0.1:0", "--peers=127.0.0.1:0",
      "--bus=127.0.0.1:0",       "--handover-ms=500",
      "--upkeep-s=0.4"};
  arguments.insert(arguments.end(), this->flags.begin(), this->flags.end());
  process.pid = Spawn(arguments, this->LogOf(process));
}

void PlatformFleet::ReadPorts(Process& process) {
  json listening;
  this->WaitFor(process.name + " to listen", [&] {
    std::istringstream lines(ReadFile(this->LogOf(process)));
    for (std::string line; std::getline(lines, line);) {
      const json event = json::parse(line, nullptr, false);
      if (event.is_object() && event.value("event", "") == "listening") {
        listening = event;
        return true;
      }
    }
    return false;
  });
  process.callers = "127.0.0.1:" + listening.at("callers").get<std::string>();
  process.readiness =
      "127.0.0.1:" + listening.at("readiness").get<std::string>();
  process.peers = "127.0.0.1:" + listening.at("peers").get<std::string>();
  this->WaitFor(process.name + " to be ready", [&] {
    return this->client
        ->SendAndWait(
            {.url = "http://" + process.readiness + "/kingcuphaven/readiness"})
        .Success();
  });
}

void PlatformFleet::Restart(std::size_t instance) {
  this->Start(this->instances.at(instance));
  this->ReadPorts(this->instances.at(instance));
}

void PlatformFleet::StopAll() {
  for (Process& process : this->instances) {
    if (process.pid != 0) {
      kill(process.pid, SIGKILL);
      waitpid(std::exchange(process.pid, 0), nullptr, 0);
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(this->files, ignored);
}

void PlatformFleet::WaitFor(const std::string& what,
                            const std::function<bool()>& condition) {
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= this->deadline) {
      for (const Process& process : this->instances) {
        std::cerr << "== " << process.name << "\n"
                  << ReadFile(this->LogOf(process));
      }
      this->KeepLogs();
      throw std::runtime_error("waited too long for " + what);
    }
    if (this->while_waiting) {
      this->while_waiting();
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

net::HttpResult PlatformFleet::Call(const std::string& method,
                                    std::size_t instance,
                                    const jobs::JobSpec& job,
                                    const std::string& body) {
  const Process& process = this->instances.at(instance);
  return this->client->SendAndWait(
      {.method = method,
       .url = "http://" + process.callers + "/" + job.queue.id.str() + "/" +
              job.id.str(),
       .headers = {{"Host", "jobs.example"},
                   {"Content-Type", "application/json"},
                   {"Deadline-Ms", std::to_string(kCallTimeoutMs)}},
       .body = body,
       .connect_timeout_ms = 300,
       .timeout_ms = kCallTimeoutMs});
}

int PlatformFleet::Submit(std::size_t instance, const jobs::JobSpec& job) {
  return this->Offer(instance, job).code;
}

net::HttpResult PlatformFleet::Offer(std::size_t instance,
                                     const jobs::JobSpec& job) {
  this->platform->With([&job](fake::VmModel& world, fake::KeyStore&) {
    world.submitted.emplace(job.id, job);
  });
  return this->Call("POST", instance, job, Encode(job));
}

void PlatformFleet::Accept(const jobs::JobSpec& job) {
  std::size_t next = 0;
  this->WaitFor("acceptance of " + job.id.str(), [&] {
    const std::size_t instance = next++ % this->instances.size();
    constexpr int ok = 200;
    return this->instances[instance].pid != 0 &&
           this->Submit(instance, job) == ok;
  });
}

std::string PlatformFleet::StateOf(const jobs::JobSpec& job) {
  for (std::size_t i = 0; i < this->instances.size(); ++i) {
    if (this->instances[i].pid == 0) {
      continue;
    }
    const net::HttpResult result = this->Call("GET", i, job);
    if (result.Success()) {
      return json::parse(result.body).at("State");
    }
  }
  return "";
}

int PlatformFleet::CancelAt(std::size_t instance, const jobs::JobSpec& job) {
  return this->Call("DELETE", instance, job).code;
}

void PlatformFleet::Cancel(const jobs::JobSpec& job) {
  std::size_t next = 0;
  this->WaitFor("the cancelling of " + job.id.str(), [&] {
    const std::size_t instance = next++ % this->instances.size();
    return this->instances[instance].pid != 0 &&
           this->Call("DELETE", instance, job).Success();
  });
}

void PlatformFleet::WaitForCompleted(const std::vector<jobs::JobSpec>& wanted) {
  for (const jobs::JobSpec& job : wanted) {
    this->WaitFor("the end of " + job.id.str(),
                  [&] { return this->StateOf(job) == "completed"; });
  }
}

bool PlatformFleet::Runs(const std::string& task) const {
  return this->platform->With(
      [&task](const fake::VmModel& world, fake::KeyStore&) {
        return world.Runs(task);
      });
}

std::int64_t PlatformFleet::starts() const {
  return this->platform->With([](const fake::VmModel& world, fake::KeyStore&) {
    return world.starts();
  });
}

std::optional<std::size_t> PlatformFleet::Owner() const {
  const auto value =
      this->platform->With([](fake::VmModel&, const fake::KeyStore& store) {
        return store.Value("kch/owner");
      });
  if (!value) {
    return std::nullopt;
  }
  const auto record = lead::DecodeOwner(*value, 1);
  if (!record) {
    throw std::runtime_error(record.error().Text());
  }
  return std::stoul(record->instance.substr(1));
}

std::size_t PlatformFleet::WaitForOwner() {
  this->WaitFor("an owner", [this] { return this->Owner().has_value(); });
  return *this->Owner();
}

void PlatformFleet::Signal(std::size_t instance, int signal) {
  kill(this->instances.at(instance).pid, signal);
}

int PlatformFleet::WaitForExit(std::size_t instance) {
  int status = 0;
  Process& process = this->instances.at(instance);
  this->WaitFor("the end of " + process.name, [&] {
    return waitpid(process.pid, &status, WNOHANG) == process.pid;
  });
  process.pid = 0;
  return status;
}

std::string PlatformFleet::Breaches() const {
  std::string text =
      this->platform->With([](const fake::VmModel& world, fake::KeyStore&) {
        std::string lines;
        for (const std::string& breach : world.violations) {
          lines += breach + "; ";
        }
        return lines;
      });
  if (!text.empty()) {
    this->KeepLogs();
  }
  return text;
}

void PlatformFleet::KeepLogs() const {
  const char* const folder = std::getenv("KCH_KEEP_LOGS");
  if (folder == nullptr) {
    return;
  }
  const std::filesystem::path kept =
      std::filesystem::path(folder) / this->files.filename();
  std::filesystem::create_directories(kept);
  std::filesystem::copy(this->files, kept,
                        std::filesystem::copy_options::recursive |
                            std::filesystem::copy_options::overwrite_existing);
  std::ofstream(kept / "runs.log")
      << this->platform->With([](const fake::VmModel& world, fake::KeyStore&) {
           std::string text;
           for (const auto& [task, lines] : world.history()) {
             text += "== " + task + "\n";
             for (const std::string& line : lines) {
               text += line + "\n";
             }
           }
           return text;
         });
}

}  // namespace kch::test
