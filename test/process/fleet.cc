#include "test/process/fleet.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "config/config.h"
#include "fake/platform/base64.h"
#include "maintain/maintain.h"

extern char** environ;

namespace kch::test {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kOperatorKey = "operators.secret";
constexpr int kRequestTimeoutMs = 40'000;

std::string KeyOf(const std::string& team) {
  return team + ".secret";
}

std::string ZoneOf(std::size_t target) {
  return "z" + std::to_string(target % 3 + 1);
}

}  // namespace

std::string BinaryPath(const std::string& name) {
  return std::string(KCH_BINARY_DIR) + "/" + name;
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::filesystem::path MakeTestFolder() {
  std::string folder =
      (std::filesystem::temp_directory_path() / "kch-process-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  return folder;
}

pid_t Spawn(const std::vector<std::string>& arguments,
            const std::string& output) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  pid_t pid = 0;
  const int error =
      posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start " + arguments[0]);
  }
  return pid;
}

std::int64_t WallUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

json WorkProfile(const FleetOptions& options) {
  return {{"type", "put_profile"}, {"id", "work"},
          {"pool", "p1"},          {"open", false},
          {"urgent", false},       {"preemptible", false},
          {"capacity", 0},         {"on_limit_cut", "finish"},
          {"on_drain", "wait"},    {"drain_wait_ms", 60'000},
          {"deadline_ms", 60'000}, {"task_lease_ms", options.task_lease_ms}};
}

json PutTeam(const std::string& id, int weight, int limit) {
  return {
      {"type", "put_team"}, {"id", id}, {"weight", weight}, {"limit", limit}};
}

json SetZone(const std::string& id, bool in_service) {
  return {{"type", "set_zone"}, {"id", id}, {"in_service", in_service}};
}

Fleet::Fleet(const FleetOptions& options)
    : wanted(options), deadline(std::chrono::steady_clock::now() + kTestBound) {
  this->files = MakeTestFolder();
  try {
    this->StartAll();
    this->Configure();
    this->WaitUntilServing();
  } catch (...) {
    this->PrintLogs();
    this->StopAll();
    throw;
  }
}

Fleet::~Fleet() {
  this->StopAll();
}

void Fleet::StartAll() {
  auto created = net::HttpClient::Create({.max_connections_per_host = 1000});
  if (!created) {
    throw std::runtime_error(created.error().Text());
  }
  this->client = std::move(*created);
  this->platform = this->Start("kch-fake-platform", "platform",
                               {"--list-lag-ms=100", "--operation-ms=100"});
  this->worker = this->Start(
      "kch-fake-worker", "worker",
      {"--targets=" + std::to_string(this->wanted.targets),
       "--slots=" + std::to_string(this->wanted.slots), "--id-prefix=vm-"});
  this->platform.address = this->Ready(this->platform)["address"];
  const json ready = this->Ready(this->worker);
  this->worker.address =
      "127.0.0.1:" + std::to_string(ready["control_port"].get<int>());
  for (const json& target : ready["targets"]) {
    this->target_addresses.push_back(target["address"]);
  }

  json vms = json::array();
  maintain::PoolRecord record{.pool = PoolId("p1"), .generation = 1};
  for (std::size_t i = 0; i < this->wanted.targets; ++i) {
    const std::string id = "vm-" + std::to_string(i + 1);
    const std::string rack = "rack-" + std::to_string(i % 3 + 1);
    record.vms[VmId(id)] = {
        .id = VmId(id),
        .address = this->target_addresses[i],
        .zone = ZoneId(ZoneOf(i)),
        .rack = RackId(rack),
        .slots = static_cast<std::uint32_t>(this->wanted.slots),
        .cpus = 32,
        .memory_mb = 131'072};
    vms.push_back({{"id", id},
                   {"address", this->target_addresses[i]},
                   {"zone", ZoneOf(i)},
                   {"rack", rack}});
  }
  for (std::size_t i = 0; i < this->wanted.entries; ++i) {
    vms.push_back({{"id", "entry-vm-" + std::to_string(i)},
                   {"address", "127.0.0.1:1"},
                   {"zone", ZoneOf(i)},
                   {"rack", "rack-0"}});
  }
  const json transaction =
      json::array({{{"KV",
                     {{"Verb", "cas"},
                      {"Key", maintain::KeyOf(record.pool)},
                      {"Value", fake::ToBase64(maintain::Encode(record))},
                      {"Index", 0}}}}});
  if (!this->Call("PUT", this->platform.address, "/v1/txn", transaction.dump())
           .Success() ||
      !this->Call("POST", this->platform.address, "/v1/vms?lag=0", vms.dump())
           .Success()) {
    throw std::runtime_error("the platform refused the pool or its VMs");
  }

  for (std::size_t i = 0; i < this->wanted.entries; ++i) {
    const std::string number = std::to_string(i);
    this->entries.push_back(this->Start(
        "kch-entry", "e" + number,
        {"--name=e" + number, "--vm=entry-vm-" + number, "--zone=" + ZoneOf(i),
         "--store=" + this->platform.address,
         "--platform=" + this->platform.address, "--seed=" + number + "1",
         "--longest-lease-ms=" + std::to_string(this->wanted.longest_lease_ms),
         "--operator-key-sha256=" +
             config::HashSecret(std::string(kOperatorKey))}));
  }
  for (Process& entry : this->entries) {
    entry.address = "127.0.0.1:" +
                    std::to_string(this->Ready(entry)["http_port"].get<int>());
  }
}

void Fleet::Configure() {
  // Entries are ready for callers only once they have a configuration.
  this->WaitFor("an entry in contact with the store", [this] {
    const json status = this->Report(0, "status");
    return !status.is_null() && status["fresh"];
  });
  std::vector<json> wanted_changes{SetZone("z1", true),
                                   SetZone("z2", true),
                                   SetZone("z3", true),
                                   {{"type", "put_pool"},
                                    {"id", "p1"},
                                    {"spare", false},
                                    {"max_unavailable", 1},
                                    {"max_unavailable_per_zone", 1},
                                    {"max_unavailable_per_rack", 1}},
                                   WorkProfile(this->wanted)};
  for (const std::string team : {"blue", "red"}) {
    wanted_changes.push_back(PutTeam(team, 1, this->wanted.team_limit));
    wanted_changes.push_back(
        {{"type", "grant_key"},
         {"id", team},
         {"team", team},
         {"secret_sha256", config::HashSecret(KeyOf(team))}});
  }
  for (const json& change : wanted_changes) {
    this->Accept(0, change);
  }
}

void Fleet::WaitUntilServing() {
  const std::uint64_t revision = this->Report(0, "config")["revision"];
  for (std::size_t i = 0; i < this->entries.size(); ++i) {
    this->WaitFor("entry " + std::to_string(i) + " in service", [&] {
      const json status = this->Report(i, "status");
      if (status.is_null() || !status["ready"] || !status["fresh"] ||
          status["revision"] < revision ||
          status["instances"].size() != this->entries.size() ||
          status["pools"].size() != 1 ||
          status["pools"][0]["slots"] !=
              this->wanted.targets * this->wanted.slots) {
        return false;
      }
      return std::ranges::none_of(status["instances"], [](const json& row) {
        return row["state"] == "down" || row["state"] == "silent";
      });
    });
  }
}

Fleet::Process Fleet::Start(const std::string& binary,
                            const std::string& name,
                            std::vector<std::string> flags) {
  flags.insert(flags.begin(), BinaryPath(binary));
  flags.push_back("--ready-file=" + (this->files / (name + ".ready")).string());
  return {.name = name,
          .pid = Spawn(flags, (this->files / (name + ".log")).string())};
}

json Fleet::Ready(const Process& process) {
  const std::filesystem::path path = this->files / (process.name + ".ready");
  this->WaitFor(process.name + "'s ready file",
                [&] { return std::filesystem::exists(path); });
  return json::parse(ReadFile(path));
}

void Fleet::StopAll() {
  std::vector<Process*> running{&this->platform, &this->worker};
  for (Process& entry : this->entries) {
    running.push_back(&entry);
  }
  for (Process* process : running) {
    if (process->pid != 0) {
      kill(process->pid, SIGKILL);
    }
  }
  for (Process* process : running) {
    if (process->pid != 0) {
      waitpid(std::exchange(process->pid, 0), nullptr, 0);
    }
  }
  std::error_code ignored;
  std::filesystem::remove_all(this->files, ignored);
}

void Fleet::PrintLogs() const {
  for (const auto& file : std::filesystem::directory_iterator(this->files)) {
    if (file.path().extension() == ".log") {
      std::cerr << "== " << file.path().filename().string() << "\n"
                << ReadFile(file.path());
    }
  }
}

void Fleet::WaitFor(const std::string& what,
                    const std::function<bool()>& condition) {
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= this->deadline) {
      this->PrintLogs();
      throw std::runtime_error("waited too long for " + what);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

net::HttpResult Fleet::Call(
    const std::string& method,
    const std::string& host,
    const std::string& path,
    const std::string& body,
    std::vector<std::pair<std::string, std::string>> headers) {
  return this->client->SendAndWait({.method = method,
                                    .url = "http://" + host + path,
                                    .headers = std::move(headers),
                                    .body = body,
                                    .timeout_ms = kRequestTimeoutMs});
}

void Fleet::Send(const Request& request, net::HttpDone done) {
  net::HttpCall call{
      .method = "POST",
      .url = "http://" + this->entries[request.entry].address + "/v1/requests",
      .headers = {{"Kch-Queue", "work"},
                  {"Authorization",
                   "Bearer " + (request.key.empty() ? KeyOf(request.team)
                                                    : request.key)}},
      // Long enough that a cut answer lacks something that counts.
      .body = json{{"run_ms", request.run_ms},
                   {"echo", request.id},
                   {"pad_bytes", 500}}
                  .dump(),
      .timeout_ms = kRequestTimeoutMs};
  if (!request.id.empty()) {
    call.headers.emplace_back("Kch-Request", request.id);
  }
  if (!request.repeatable) {
    call.headers.emplace_back("Kch-Repeatable", "no");
  }
  if (request.deadline_ms > 0) {
    call.headers.emplace_back("Kch-Deadline-Ms",
                              std::to_string(request.deadline_ms));
  }
  this->client->Send(std::move(call), std::move(done));
}

net::HttpResult Fleet::Submit(const Request& request) {
  std::promise<net::HttpResult> answer;
  this->Send(request, [&answer](net::HttpResult result) {
    answer.set_value(std::move(result));
  });
  return answer.get_future().get();
}

net::HttpResult Fleet::Change(std::size_t entry,
                              const json& change,
                              const std::string& id,
                              const json& expected_revision) {
  json body{{"id", id.empty() ? "test-" + std::to_string(++this->changes) : id},
            {"change", change}};
  if (!expected_revision.is_null()) {
    body["expected_revision"] = expected_revision;
  }
  return this->Call("POST", this->entries[entry].address, "/v1/admin/changes",
                    body.dump(),
                    {{"Authorization", "Bearer " + std::string(kOperatorKey)}});
}

std::uint64_t Fleet::Accept(std::size_t entry, const json& change) {
  const net::HttpResult result = this->Change(entry, change);
  if (result.code != 200) {
    throw std::runtime_error("change refused: " + result.body + result.error);
  }
  return json::parse(result.body)["revision"];
}

json Fleet::Report(std::size_t entry, const std::string& name) {
  const net::HttpResult result =
      this->Call("GET", this->entries[entry].address, "/v1/admin/" + name, "",
                 {{"Authorization", "Bearer " + std::string(kOperatorKey)}});
  return result.Success() ? json::parse(result.body) : json();
}

std::size_t Fleet::Scheduler() {
  const std::string name =
      this->Report(0, "status")["pools"][0]["scheduler"].get<std::string>();
  return std::stoul(name.substr(1));
}

std::string Fleet::control_address(std::size_t target) const {
  return this->worker.address + "/" + std::to_string(target);
}

void Fleet::RemoveEntryVm(std::size_t entry) {
  const json vm{{"id", "entry-vm-" + std::to_string(entry)}, {"removed", true}};
  if (!this->Call("POST", this->platform.address, "/v1/vms", vm.dump())
           .Success()) {
    throw std::runtime_error("the platform refused to remove a VM");
  }
}

void Fleet::FaultTarget(std::size_t target, const json& faults) {
  if (!this->Call("POST", this->control_address(target), "/fault",
                  faults.dump())
           .Success()) {
    throw std::runtime_error("the target refused its faults");
  }
}

void Fleet::FaultPlatform(const json& faults) {
  if (!this->Call("POST", this->platform.address, "/fault", faults.dump())
           .Success()) {
    throw std::runtime_error("the platform refused its faults");
  }
}

std::string Fleet::Log(std::size_t target) {
  const net::HttpResult result =
      this->Call("GET", this->control_address(target), "/log");
  if (!result.Success()) {
    throw std::runtime_error("no log of a target: " + result.error);
  }
  return result.body;
}

std::vector<Event> Fleet::Events() {
  std::vector<Event> events;
  for (std::size_t target = 0; target < this->wanted.targets; ++target) {
    const json log = json::parse(this->Log(target));
    for (const json& event : log["events"]) {
      events.push_back({.wall_us = event["wall_us"],
                        .start = event["event"] == "start",
                        .target = target,
                        .team = event["team"],
                        .echo = event["echo"],
                        .outcome = event["outcome"]});
    }
  }
  // The worker frees a slot before it starts the next task, so an end counts
  // before a start of the same microsecond.
  std::ranges::stable_sort(events, {}, [](const Event& event) {
    return std::pair(event.wall_us, event.start);
  });
  return events;
}

std::string Fleet::Record(const std::string& key) {
  const net::HttpResult result =
      this->Call("GET", this->platform.address, "/v1/kv/" + key);
  if (!result.Success()) {
    return "";
  }
  return fake::FromBase64(
             json::parse(result.body)[0]["Value"].get<std::string>())
      .value_or("");
}

void Fleet::Signal(std::size_t entry, int signal) {
  kill(this->entries[entry].pid, signal);
}

int Fleet::WaitForExit(std::size_t entry) {
  int status = 0;
  Process& process = this->entries[entry];
  this->WaitFor("the end of " + process.name, [&] {
    return waitpid(process.pid, &status, WNOHANG) == process.pid;
  });
  process.pid = 0;
  return status;
}

}  // namespace kch::test
