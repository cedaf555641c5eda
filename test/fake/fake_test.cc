#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "fake/platform/platform.h"
#include "fake/worker/worker.h"
#include "net/http_client.h"

namespace kch::fake {
namespace {

using net::CallStatus;
using net::HttpResult;
using nlohmann::json;

// A worker with two slots per target, a platform and a client.
struct Fixture {
  std::unique_ptr<Worker> worker =
      Worker::Create({.targets = 2, .connections = 4, .target = {.slots = 2}})
          .value();
  std::unique_ptr<Platform> platform =
      Platform::Create({.operation_ms = 5}).value();
  std::unique_ptr<net::HttpClient> client = net::HttpClient::Create({}).value();

  [[nodiscard]] std::string Target(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(this->worker->ports()[0]) +
           path;
  }
  // Reaches the target whatever its faults.
  [[nodiscard]] std::string Control(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(this->worker->control_port()) +
           "/0" + path;
  }
  [[nodiscard]] std::string Store(const std::string& path) const {
    return "http://127.0.0.1:" + std::to_string(this->platform->port()) + path;
  }

  // Sends a call; a body makes it a POST.
  std::future<HttpResult> Begin(net::HttpCall call) const {
    if (!call.body.empty() && call.method == "GET") {
      call.method = "POST";
    }
    auto promise = std::make_shared<std::promise<HttpResult>>();
    this->client->Send(std::move(call), [promise](HttpResult result) {
      promise->set_value(std::move(result));
    });
    return promise->get_future();
  }
  HttpResult Call(const std::string& url, const std::string& body = "") const {
    return this->Begin({.url = url, .body = body}).get();
  }
  std::future<HttpResult> BeginRun(const std::string& task,
                                   const json& order,
                                   int timeout_ms = 5000) const {
    return this->Begin({.url = this->Target("/run"),
                        .headers = {{"Kch-Task", task},
                                    {"Kch-Team", "north"},
                                    {"Kch-Lease-Ms", "60000"}},
                        .body = order.dump(),
                        .timeout_ms = timeout_ms});
  }
  HttpResult Run(const std::string& task, const json& order) const {
    return this->BeginRun(task, order).get();
  }
  void AwaitRunning(std::size_t count) const {
    while (
        json::parse(this->Call(this->Control("/tasks")).body)["tasks"].size() !=
        count) {
    }
  }
  [[nodiscard]] std::vector<std::string> Log() const {
    std::vector<std::string> lines;
    const json log = json::parse(this->Call(this->Control("/log")).body);
    for (const json& event : log["events"]) {
      lines.push_back(event["task"].get<std::string>() + " " +
                      event["event"].get<std::string>() + " " +
                      event["outcome"].get<std::string>());
    }
    return lines;
  }
  HttpResult Cas(const std::string& key,
                 const std::string& base64,
                 std::uint64_t index,
                 int timeout_ms = 5000) const {
    const json kv{
        {"Verb", "cas"}, {"Key", key}, {"Value", base64}, {"Index", index}};
    return this->client->SendAndWait(
        {.method = "PUT",
         .url = this->Store("/v1/txn"),
         .body = json::array({{{"KV", kv}}}).dump(),
         .timeout_ms = timeout_ms});
  }
};

using Lines = std::vector<std::string>;

// Guards against a fake that runs a task again for a second POST of it, or
// answers without the fields that callers check.
BOOST_FIXTURE_TEST_CASE(SecondRunAttaches, Fixture) {
  auto first = BeginRun("t", {{"run_ms", 20}, {"echo", "e"}});
  const HttpResult second = Run("t", {{"run_ms", 20}, {"echo", "e"}});
  const HttpResult kept = Call(Target("/tasks/t"));
  BOOST_TEST(first.get().body == second.body);
  BOOST_TEST(kept.body == second.body);
  BOOST_TEST(second.Header("kch-task") == "t");
  BOOST_TEST(second.Header("kch-length") == std::to_string(second.body.size()));
  BOOST_TEST(json::parse(second.body)["echo"] == "e");
  BOOST_TEST(json::parse(second.body)["team"] == "north");
  BOOST_TEST((Log() == Lines{"t start ", "t end done"}));
}

// Guards against refusals that lack their reason or run the task all the same.
BOOST_FIXTURE_TEST_CASE(RefusalsNameTheirReason, Fixture) {
  auto one = BeginRun("t1", {{"run_ms", 60'000}});
  AwaitRunning(1);
  auto two = BeginRun("t2", {{"run_ms", 60'000}});
  AwaitRunning(2);
  BOOST_TEST(Run("t3", {}).Header("kch-not-run") == "slots_full");
  BOOST_TEST(Call(Target("/tasks/t1/checkpoint"), "{}").code == 200);
  BOOST_TEST(one.get().Header("kch-not-run") == "checkpointed");
  BOOST_TEST(Run("t4", {{"memory_mb", 1e9}}).Header("kch-not-run") ==
             "never_fits");
  BOOST_TEST(Call(Target("/drain"), "{}").code == 200);
  BOOST_TEST(Run("t5", {}).Header("kch-not-run") == "draining");
  BOOST_TEST(Call(Target("/tasks/t2/stop"), "{}").code == 200);
  BOOST_TEST(two.get().code == 500);
  BOOST_TEST((Log() == Lines{"t1 start ", "t2 start ", "t1 end checkpointed",
                             "t2 end stopped"}));
}

// Guards against a lease that never ends a task.
BOOST_FIXTURE_TEST_CASE(LeaseEndsTask, Fixture) {
  auto run = BeginRun("t", {{"run_ms", 60'000}});
  AwaitRunning(1);
  const json report = json::parse(
      Call(Target("/leases"), R"({"lease_ms":1,"tasks":["t","x"]})").body);
  BOOST_TEST(report["unknown"] == json::array({"x"}));
  BOOST_TEST(run.get().code == 500);
  BOOST_TEST((Log() == Lines{"t start ", "t end lease_expired"}));
}

// Guards against a half answer that a client takes for a whole one.
BOOST_FIXTURE_TEST_CASE(HalfAnswerBreaks, Fixture) {
  Call(Control("/fault"), R"({"half":1})");
  BOOST_TEST((Run("t", {}).status == CallStatus::kBroken));
  BOOST_TEST(Run("t", {}).Success());
  BOOST_TEST((Log() == Lines{"t start ", "t end done"}));
}

// Guards against a freeze that also stops new connections, or that lets an
// open one go on.
BOOST_FIXTURE_TEST_CASE(FreezeStopsOpenConnectionsOnly, Fixture) {
  auto run = BeginRun("t", {{"run_ms", 60'000}}, 400);
  AwaitRunning(1);
  Call(Control("/fault"), R"({"freeze":true})");
  BOOST_TEST((run.get().status == CallStatus::kBroken));
  BOOST_TEST(Run("t2", {}).Success());
}

// Guards against connections beyond the limit that reach the slots.
BOOST_FIXTURE_TEST_CASE(ExcessConnectionIsRefused, Fixture) {
  std::vector<std::future<HttpResult>> open;
  open.reserve(4);
  for (int i = 0; i < 4; ++i) {
    open.push_back(BeginRun("t", {{"run_ms", 60'000}}));
  }
  // All four wait for the same task, so no connection is free again.
  HttpResult result;
  do {
    result = this->client->SendAndWait({.method = "POST",
                                        .url = Target("/run"),
                                        .headers = {{"Kch-Task", "t"}},
                                        .body = "{}",
                                        .timeout_ms = 50});
  } while (result.status != CallStatus::kAnswered);
  BOOST_TEST(result.Header("kch-not-run") == "connections_full");
  Call(Control("/tasks/t/stop"), "{}");
}

// Guards against a crash that keeps tasks or the boot id, or that never ends.
BOOST_FIXTURE_TEST_CASE(CrashDropsTasksAndChangesBoot, Fixture) {
  auto run = BeginRun("t", {{"run_ms", 60'000}});
  AwaitRunning(1);
  Call(Control("/fault"), R"({"crash_ms":10})");
  BOOST_TEST((run.get().status == CallStatus::kBroken));
  HttpResult report;
  do {
    report = Call(Target("/tasks"));
  } while (!report.Success());
  BOOST_TEST(json::parse(report.body)["boot"] == "vm-1-2");
  BOOST_TEST(json::parse(report.body)["tasks"].empty());
  BOOST_TEST((Log() == Lines{"t start ", "t end lost"}));
}

// Guards against a store whose cas overwrites a newer version or whose watch
// misses a write.
BOOST_FIXTURE_TEST_CASE(StoreHasCasAndWatches, Fixture) {
  BOOST_TEST(Call(Store("/v1/kv/a")).code == 404);
  const json created = json::parse(Cas("a", "eA==", 0).body);
  const auto index =
      created["Results"][0]["KV"]["ModifyIndex"].get<std::uint64_t>();
  BOOST_TEST(Cas("a", "eQ==", 0).code == 409);
  auto watch =
      Begin({.url = Store("/v1/kv/a?wait=10s&index=" + std::to_string(index)),
             .timeout_ms = 15'000});
  BOOST_TEST(Cas("b", "eQ==", 0).code == 200);
  BOOST_TEST(Cas("a", "eQ==", index).code == 200);
  const HttpResult seen = watch.get();
  BOOST_TEST(json::parse(seen.body)[0]["Value"] == "eQ==");
  BOOST_TEST(seen.Header("x-consul-index") == std::to_string(index + 2));
  BOOST_TEST(json::parse(Call(Store("/v1/kv/?recurse=true")).body).size() ==
             2U);
  BOOST_TEST(Cas("c", std::string(1'400'000, 'A'), 0).code == 413);
}

// Guards against outages that take effect and lost replies that do not.
BOOST_FIXTURE_TEST_CASE(StoreFaultsDiffer, Fixture) {
  Call(Store("/fault"), R"({"down":"refuse"})");
  BOOST_TEST(Cas("a", "eA==", 0).code == 503);
  Call(Store("/fault"), R"({"down":"hang"})");
  BOOST_TEST((Cas("a", "eA==", 0, 50).status == CallStatus::kBroken));
  Call(Store("/fault"), R"({"clear":true})");
  BOOST_TEST(Call(Store("/v1/kv/a")).code == 404);
  Call(Store("/fault"), R"({"lose_percent":100})");
  BOOST_TEST((Cas("a", "eA==", 0, 50).status == CallStatus::kBroken));
  Call(Store("/fault"), R"({"clear":true})");
  BOOST_TEST(Call(Store("/v1/kv/a")).code == 200);
}

// Guards against an operation that takes effect again when its order is sent
// again, and against a drain that does not reach the target.
BOOST_FIXTURE_TEST_CASE(OperationsAreIdempotent, Fixture) {
  const json vm{
      {"id", "vm-1"},
      {"address", "127.0.0.1:" + std::to_string(this->worker->ports()[0])}};
  Call(Store("/v1/vms"), vm.dump());
  const std::string order = Store("/v1/vms/vm-1/drain?operation=o");
  BOOST_TEST(Call(order, "{}").code == 202);
  BOOST_TEST(Call(order, "{}").code == 200);
  BOOST_TEST(Call(Store("/v1/vms/vm-1/reboot?operation=o"), "{}").code == 409);
  json operation;
  do {
    operation = json::parse(Call(Store("/v1/operations/o")).body);
  } while (operation["state"] == "pending");
  BOOST_TEST(operation["state"] == "done");
  BOOST_TEST(operation["count"] == 1);
  BOOST_TEST(Run("t", {}).Header("kch-not-run") == "draining");
  BOOST_TEST(json::parse(Call(Store("/v1/vms")).body)[0]["state"] == "leaving");
}

}  // namespace
}  // namespace kch::fake
