#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <boost/test/unit_test.hpp>

#include <atomic>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "config/config.h"
#include "net/net.h"

namespace kch::app {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;
namespace fs = std::filesystem;

constexpr int kVms = 6;
constexpr int kZones = 3;
constexpr int kMaxUnavailable = 2;
const std::string kOperatorKey = "ops.test";

// A temporary folder that is removed at the end of the test.
struct Folder {
  fs::path path;

  Folder() {
    std::string name = (fs::temp_directory_path() / "kch-test-XXXXXX").string();
    BOOST_REQUIRE(mkdtemp(name.data()) != nullptr);
    this->path = name;
  }
  ~Folder() { fs::remove_all(this->path); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
};

bool WaitFor(seconds limit, const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return true;
}

// A process of the build tree, killed at the end of the test at the latest.
class Process {
 public:
  Process(const Folder& folder,
          const std::string& binary,
          const std::string& name,
          std::vector<std::string> flags)
      : ready_file(folder.path / (name + ".ready")) {
    flags.insert(flags.begin(), std::string(KCH_BUILD_DIR) + "/" + binary);
    flags.push_back("--ready-file=" + this->ready_file.string());
    std::vector<char*> argv;
    argv.reserve(flags.size() + 1);
    for (auto& flag : flags) {
      argv.push_back(flag.data());
    }
    argv.push_back(nullptr);
    const std::string log = (folder.path / (name + ".log")).string();
    this->pid = fork();
    if (this->pid == 0) {
      // Ends the process if the test is killed by a time limit.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (freopen(log.c_str(), "w", stderr) != nullptr) {
        execv(argv[0], argv.data());
      }
      _exit(127);
    }
    BOOST_REQUIRE(this->pid > 0);
    BOOST_REQUIRE_MESSAGE(
        WaitFor(seconds(20), [&] { return fs::exists(this->ready_file); }),
        name + " does not start");
  }
  ~Process() { this->End(SIGKILL); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Signals the process and returns its wait status.
  int End(int signal) {
    int status = -1;
    if (this->pid > 0) {
      kill(this->pid, signal);
      waitpid(this->pid, &status, 0);
      this->pid = 0;
    }
    return status;
  }

  [[nodiscard]] json Ready() const {
    std::ifstream file(this->ready_file);
    return json::parse(file, nullptr, false);
  }
  [[nodiscard]] std::string Http() const {
    return "127.0.0.1:" +
           std::to_string(this->Ready().at("http_port").get<int>());
  }

 private:
  fs::path ready_file;
  pid_t pid = 0;
};

struct Fleet {
  Folder folder;
  std::unique_ptr<net::HttpClient> client =
      std::move(*net::HttpClient::Create({}));
  Process platform{folder,
                   "kch-fake-platform",
                   "platform",
                   {"--list-lag-ms=200", "--operation-ms=300"}};
  Process workers{folder,
                  "kch-fake-worker",
                  "workers",
                  {"--targets=" + std::to_string(kVms), "--slots=4"}};
  std::string store = platform.Ready().at("address").get<std::string>();
  std::vector<std::unique_ptr<Process>> entries;
  std::vector<std::unique_ptr<Process>> maintainers;

  net::HttpResult Call(const std::string& method,
                       const std::string& url,
                       const json& body = json()) const {
    return this->client->SendAndWait(
        {.method = method,
         .url = "http://" + url,
         .headers = {{"Authorization", "Bearer " + kOperatorKey}},
         .body = body.is_null() ? "" : body.dump(),
         .timeout_ms = 15'000});
  }

  std::unique_ptr<Process> Start(const std::string& binary,
                                 const std::string& name,
                                 std::vector<std::string> more) {
    std::vector<std::string> flags{
        "--name=" + name, "--store=" + this->store, "--platform=" + this->store,
        "--operator-key-sha256=" + config::HashSecret(kOperatorKey)};
    flags.insert(flags.end(), more.begin(), more.end());
    return std::make_unique<Process>(this->folder, binary, name, flags);
  }

  bool IsReady(const Process& process) const {
    return this->Call("GET", process.Http() + "/ready").code == 200;
  }

  void Change(const std::string& id, const config::Change& change) const {
    const auto answer =
        this->Call("POST", this->entries[0]->Http() + "/v1/admin/changes",
                   {{"id", id}, {"change", json::parse(Encode(change))}});
    BOOST_REQUIRE_MESSAGE(answer.code == 200, answer.body);
  }

  // The record of a pool, read directly from the store.
  json Pool(const std::string& pool) const {
    json answer;
    net::StoreClient reader(*this->client, this->store);
    std::atomic<bool> done = false;
    StoreReply reply;
    reader.Send(StoreGet{"pool/" + pool}, [&](StoreReply found) {
      reply = std::move(found);
      done = true;
    });
    BOOST_REQUIRE(WaitFor(seconds(5), [&] { return done.load(); }));
    return reply.value ? json::parse(*reply.value) : json::object();
  }

  Fleet() {
    for (int i = 1; i <= 2; ++i) {
      const std::string number = std::to_string(i);
      this->entries.push_back(
          this->Start("kch-entry", "entry" + number,
                      {"--vm=entry-vm" + number, "--zone=z" + number}));
    }
    for (const auto& entry : this->entries) {
      // An entry is ready once it has a configuration.
      BOOST_REQUIRE(WaitFor(seconds(20), [&] {
        return this->Call("GET", entry->Http() + "/health").code == 200;
      }));
    }
    for (const char* pool : {"alpha", "beta"}) {
      this->Change(std::string("pool-") + pool,
                   config::PutPool{{.id = PoolId(pool),
                                    .max_unavailable = kMaxUnavailable,
                                    .max_unavailable_per_zone = 1,
                                    .max_unavailable_per_rack = 1}});
    }
    this->Change("profile", config::PutProfile{{.id = ProfileId("jobs"),
                                                .pool = PoolId("alpha"),
                                                .open = true}});
    for (const char* name : {"keeper1", "keeper2"}) {
      this->maintainers.push_back(
          this->Start("kch-maintain", name, {"--read-interval-ms=300"}));
    }
    for (const auto& maintainer : this->maintainers) {
      BOOST_REQUIRE(
          WaitFor(seconds(20), [&] { return this->IsReady(*maintainer); }));
    }
  }

  void RegisterVms() const {
    const json targets = this->workers.Ready().at("targets");
    for (int i = 0; i < kVms; ++i) {
      json vm{{"id", targets[i]["id"]},
              {"address", targets[i]["address"]},
              {"zone", "z" + std::to_string(i % kZones)},
              {"rack", "r" + std::to_string(i % kZones)}};
      BOOST_REQUIRE(
          this->Call("POST", this->store + "/v1/vms?lag=0", vm).Success());
      vm["pool"] = "alpha";
      vm["slots"] = 4;
      const auto answer = this->Call(
          "POST", this->maintainers[i % 2]->Http() + "/v1/admin/vms", vm);
      BOOST_REQUIRE_MESSAGE(answer.code == 200, answer.body);
    }
  }
};

// Sends requests one after the other until stopped, and records the failures.
class Submitter {
 public:
  Submitter(const Fleet& fleet, const Process& entry)
      : thread([this, &fleet, url = entry.Http() + "/v1/requests"] {
          while (!this->stop) {
            const auto answer =
                fleet.client->SendAndWait({.method = "POST",
                                           .url = "http://" + url,
                                           .headers = {{"Kch-Queue", "jobs"}},
                                           .body = R"({"run_ms":150})",
                                           .timeout_ms = 60'000});
            ++this->sent;
            if (answer.code != 200) {
              this->failures.push_back(answer.body + answer.error);
            }
          }
        }) {}
  ~Submitter() { this->Stop(); }
  Submitter(const Submitter&) = delete;
  Submitter& operator=(const Submitter&) = delete;

  void Stop() {
    this->stop = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  std::vector<std::string> failures;
  int sent = 0;

 private:
  std::atomic<bool> stop = false;
  std::thread thread;
};

int CountServing(const json& pool) {
  int serving = 0;
  for (const json& vm : pool.at("vms")) {
    serving += vm["state"] == "serving" ? 1 : 0;
  }
  return serving;
}

// Checks that one version of the record is within the budget.
void CheckBudget(const json& pool) {
  std::map<std::string, int> by_zone;
  int unavailable = 0;
  for (const json& vm : pool.at("vms")) {
    if (vm["state"] != "serving") {
      ++unavailable;
      ++by_zone[vm["zone"].get<std::string>()];
    }
  }
  BOOST_TEST(unavailable <= kMaxUnavailable);
  for (const auto& [zone, count] : by_zone) {
    BOOST_TEST(count <= 1, zone);
  }
}

// Guards against a roll-out that stops, reboots a VM twice, exceeds the budget
// or interrupts a request when a maintainer is killed during it.
BOOST_AUTO_TEST_CASE(RolloutSurvivesAKilledMaintainer) {
  Fleet fleet;
  fleet.RegisterVms();
  const auto url = [&](int i, const std::string& path) {
    return fleet.maintainers[i]->Http() + path;
  };
  for (const auto& entry : fleet.entries) {
    BOOST_REQUIRE(WaitFor(seconds(20), [&] { return fleet.IsReady(*entry); }));
  }
  Submitter first(fleet, *fleet.entries[0]);
  Submitter second(fleet, *fleet.entries[1]);
  const json order{{"id", "rollout-1"}, {"kind", "rollout"}, {"pool", "alpha"}};
  // The repeat through the other maintainer must not start a second roll-out.
  for (int i = 0; i < 2; ++i) {
    const auto answer = fleet.Call("POST", url(i, "/v1/admin/orders"), order);
    BOOST_REQUIRE_MESSAGE(answer.code == 200, answer.body);
  }
  const std::int64_t rollout_s = fleet.Pool("alpha")["rollout_s"];
  const auto is_maintained = [&](const json& vm) {
    return vm["maintained_s"].get<std::int64_t>() >= rollout_s;
  };
  const auto observe = [&](const std::function<bool(const json&)>& wanted) {
    return WaitFor(seconds(100), [&] {
      const json pool = fleet.Pool("alpha");
      CheckBudget(pool);
      return wanted(pool);
    });
  };
  const bool began = observe([&](const json& pool) {
    const auto& vms = pool["vms"];
    return std::any_of(vms.begin(), vms.end(), is_maintained) &&
           CountServing(pool) < kVms;
  });
  BOOST_REQUIRE_MESSAGE(began,
                        fleet.Call("GET", url(0, "/v1/admin/status")).body);
  fleet.maintainers[0]->End(SIGKILL);
  BOOST_TEST_MESSAGE("killed one maintainer");
  const bool complete = observe([&](const json& pool) {
    const auto& vms = pool["vms"];
    return std::all_of(vms.begin(), vms.end(), is_maintained) &&
           CountServing(pool) == kVms;
  });
  BOOST_REQUIRE_MESSAGE(complete,
                        fleet.Call("GET", url(1, "/v1/admin/status")).body);
  first.Stop();
  second.Stop();
  for (const Submitter* submitter : {&first, &second}) {
    BOOST_TEST(submitter->sent > 0);
    for (const auto& failure : submitter->failures) {
      BOOST_ERROR("a request failed: " + failure);
    }
  }
  const json targets = fleet.workers.Ready().at("targets");
  for (const json& target : targets) {
    const auto report = json::parse(
        fleet.Call("GET", target["address"].get<std::string>() + "/tasks")
            .body);
    // The number in a boot id rises from 1 with each reboot.
    BOOST_TEST(report["boot"].get<std::string>() ==
               target["id"].get<std::string>() + "-2");
  }
  const std::string events = fleet.Call("GET", url(1, "/v1/events")).body;
  BOOST_TEST(events.find("\"vm_serving\"") != std::string::npos);
  // The process exits at once on SIGTERM.
  const int status = fleet.maintainers[1]->End(SIGTERM);
  BOOST_TEST(WIFEXITED(status));
  BOOST_TEST(WEXITSTATUS(status) == 0);
}

// Guards against a VM in two pools, and against calls without the operator key.
BOOST_AUTO_TEST_CASE(RegistrationsAndOrdersAreRefusedWithAReason) {
  Fleet fleet;
  const json target = fleet.workers.Ready().at("targets")[0];
  json vm{{"id", target["id"]},
          {"address", target["address"]},
          {"zone", "z0"},
          {"rack", "r0"},
          {"slots", 4}};
  std::vector<int> codes(2);
  {
    std::vector<std::jthread> operators;
    for (int i = 0; i < 2; ++i) {
      vm["pool"] = i == 0 ? "alpha" : "beta";
      operators.emplace_back([&fleet, &codes, vm, i] {
        codes[i] = fleet
                       .Call("POST",
                             fleet.maintainers[i]->Http() + "/v1/admin/vms", vm)
                       .code;
      });
    }
  }
  BOOST_TEST(
      (std::set<int>(codes.begin(), codes.end()) == std::set<int>{200, 409}));
  const auto order = [&](const json& body) {
    return fleet
        .Call("POST", fleet.maintainers[0]->Http() + "/v1/admin/orders", body)
        .code;
  };
  const std::string pool = codes[0] == 200 ? "alpha" : "beta";
  BOOST_TEST(order({{"id", "o1"}, {"kind", "nothing"}}) == 400);
  BOOST_TEST(order({{"id", "o2"}, {"kind", "rollout"}, {"pool", "x"}}) == 404);
  BOOST_TEST(order({{"id", "o3"},
                    {"kind", "return"},
                    {"pool", pool},
                    {"vm", target["id"]}}) == 409);
  BOOST_TEST(
      fleet.client
          ->SendAndWait({.url = "http://" + fleet.maintainers[0]->Http() +
                                "/v1/admin/status"})
          .code == 403);
}

}  // namespace
}  // namespace kch::app
