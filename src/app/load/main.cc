#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "load/load.h"
#include "net/net.h"

namespace kch::load {
namespace {

using nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

// An open-loop load must not wait for free connections.
constexpr long kMaxConnections = 20'000;

struct Key {
  std::string team;
  std::string key;  // empty: an open queue, no Authorization header
};

struct Options {
  std::vector<std::string> entries;
  std::vector<Key> keys;
  std::vector<std::string> queues;
  std::vector<std::string> workers;
  std::int64_t run_ms = 0;
  std::int64_t deadline_ms = 0;
  int timeout_ms = 0;
  bool broken_allowed = false;
  PlanOptions plan;
};

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::size_t begin = 0;
  while (begin < text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    if (end > begin) {
      parts.push_back(text.substr(begin, end - begin));
    }
    begin = end + 1;
  }
  return parts;
}

Result<std::vector<Key>> ParseKeys(const std::string& text) {
  std::vector<Key> keys;
  for (const std::string& part : Split(text)) {
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos || equals == 0) {
      return Fail(ErrorKind::kInvalid, "--keys has the part '" + part + "'",
                  "write team=key pairs separated separated by commas");
    }
    keys.push_back({part.substr(0, equals), part.substr(equals + 1)});
  }
  return keys;
}

double MsSince(SteadyClock::time_point start) {
  return std::chrono::duration<double, std::milli>(SteadyClock::now() - start)
      .count();
}

// Sends a plan and collects the answers.
class Load {
 public:
  Load(Options options, net::HttpClient& client)
      : options(std::move(options)), client(client) {}

  // Returns once every request has ended.
  void Run() {
    Plan plan(this->options.plan);
    const auto start = SteadyClock::now();
    while (const auto next = plan.Next()) {
      std::this_thread::sleep_until(start + next->at);
      // Shows whether this machine kept up with the plan.
      this->late_ms = std::max(this->late_ms, MsSince(start + next->at));
      this->Send(*next);
    }
    this->send_ms = MsSince(start);
    std::unique_lock lock(this->mutex);
    this->ended.wait(lock, [this] { return this->open == 0; });
  }

  // Reads the workers' logs; a worker without one is reported.
  std::vector<load::Run> ReadLogs(std::vector<std::string>& problems) {
    std::vector<load::Run> runs;
    for (const std::string& worker : this->options.workers) {
      const auto result = this->client.SendAndWait(
          {.url = "http://" + worker + "/log", .timeout_ms = 30'000});
      auto parsed = result.Success()
                        ? ParseLog(result.body)
                        : Fail(ErrorKind::kUnavailable,
                               "no log from " + worker + ": " + result.error,
                               "check --workers");
      if (!parsed) {
        problems.push_back(parsed.error().Text());
        continue;
      }
      runs.insert(runs.end(), std::make_move_iterator(parsed->begin()),
                  std::make_move_iterator(parsed->end()));
    }
    return runs;
  }

  // Prints the summary; true if all checks passed.
  bool Report() {
    std::vector<std::string> problems;
    const auto runs = this->ReadLogs(problems);
    const bool has_logs = !this->options.workers.empty() && problems.empty();
    const Findings findings =
        this->ledger.Reconcile(runs, has_logs, this->options.broken_allowed);
    json outcomes;
    for (const auto& [outcome, name] : NameTable<Outcome>::kEntries) {
      outcomes[std::string(name)] = this->ledger.Count(outcome);
    }
    json checks;
    for (const auto& [fault, name] : NameTable<Fault>::kEntries) {
      const auto found = findings.faults.find(fault);
      checks[std::string(name)] =
          found == findings.faults.end() ? 0 : found->second;
    }
    json teams;
    for (const auto& [team, delays] : this->delays) {
      teams[team] = {{"done", delays.count()},    {"mean_ms", delays.mean_ms()},
                     {"p50_ms", delays.p50_ms()}, {"p90_ms", delays.p90_ms()},
                     {"p99_ms", delays.p99_ms()}, {"max_ms", delays.max_ms()}};
    }
    const bool passed = findings.Clean() && problems.empty();
    std::cout << json{{"ok", passed},
                      {"sent", this->sent},
                      {"send_ms", this->send_ms},
                      {"late_ms", this->late_ms},
                      {"outcomes", outcomes},
                      {"reasons", this->ledger.Reasons()},
                      {"teams", teams},
                      {"reconciled", has_logs},
                      {"starts", findings.starts},
                      {"done_unseen", findings.unseen},
                      {"checks", checks},
                      {"examples", findings.examples},
                      {"problems", problems}}
                     .dump()
              << "\n";
    return passed;
  }

 private:
  void Send(const Planned& planned) {
    const Key& key = this->options.keys[planned.team];
    net::HttpCall call{
        .method = "POST",
        .url =
            "http://" + this->options.entries[planned.entry] + "/v1/requests",
        .headers = {{"Kch-Queue", this->options.queues[planned.queue]},
                    {"Kch-Request", planned.id}},
        .body =
            json{{"run_ms", this->options.run_ms}, {"echo", planned.id}}.dump(),
        .timeout_ms = this->options.timeout_ms};
    if (!key.key.empty()) {
      call.headers.emplace_back("Authorization", "Bearer " + key.key);
    }
    if (planned.unrepeatable) {
      call.headers.emplace_back("Kch-Repeatable", "no");
    }
    if (this->options.deadline_ms > 0) {
      call.headers.emplace_back("Kch-Deadline-Ms",
                                std::to_string(this->options.deadline_ms));
    }
    {
      const std::lock_guard lock(this->mutex);
      this->ledger.Sent({planned.id, key.team, planned.unrepeatable});
      ++this->sent;
      ++this->open;
    }
    this->client.Send(std::move(call), [this, id = planned.id, team = key.team,
                                        start = SteadyClock::now()](
                                           const net::HttpResult& result) {
      this->End(id, team, MsSince(start), result);
    });
  }

  void End(const std::string& id,
           const std::string& team,
           double delay_ms,
           const net::HttpResult& result) {
    Answer answer;
    if (result.status == net::CallStatus::kAnswered) {
      answer = ParseAnswer(result.body);
      if (answer.outcome == Outcome::kInvalid) {
        answer.reason += " (status " + std::to_string(result.code) + ")";
      }
    } else {
      answer.outcome = result.status == net::CallStatus::kNotSent
                           ? Outcome::kNotSent
                           : Outcome::kBroken;
      answer.reason = result.error;
    }
    const std::lock_guard lock(this->mutex);
    if (answer.outcome == Outcome::kDone) {
      this->delays[team].Add(delay_ms);
    }
    this->ledger.Answered(id, std::move(answer));
    --this->open;
    this->ended.notify_all();
  }

  Options options;
  net::HttpClient& client;
  std::mutex mutex;
  std::condition_variable ended;
  Ledger ledger;
  std::map<std::string, Delays> delays;
  std::uint64_t sent = 0;
  std::uint64_t open = 0;
  double send_ms = 0;
  double late_ms = 0;
};

int Main(int argc, char** argv) {
  using net::Number;
  using net::Text;
  const auto settings = net::ParseOrExit(
      "kch-load",
      {net::RequiredText(
           "entries",
           "host:port of the entries, separated separated by commas"),
       net::RequiredText(
           "keys",
           "team=key pairs, separated by commas; an empty key stands for "
           "an open queue"),
       net::RequiredText("queues",
                         "profiles of the queues, separated by commas"),
       Text("workers", "",
            "host:port of the workers whose logs are reconciled, separated by "
            "commas"),
       Number("rate", 10, 1, 100'000,
              "requests per second on each queue off its peak"),
       Number("duration-ms", 10'000, 1, 86'400'000, "how long to send"),
       Number("run-ms", 50, 0, 86'400'000, "run time of each task"),
       Number("peak-factor", 1, 1, 1000, "rate of a queue at its peak"),
       Number("peak-ms", 1000, 1, 86'400'000,
              "length of a peak; the queues have theirs in turn"),
       Number("unrepeatable-percent", 0, 0, 100,
              "share of requests marked unrepeatable"),
       Number("deadline-ms", 0, 0, 86'400'000,
              "deadline of each request; 0: none"),
       Number("timeout-ms", 60'000, 1, 86'400'000,
              "how long a caller waits for its answer"),
       Number("seed", 1, 0, 1'000'000'000, "seed of the arrivals"),
       Text("id-prefix", "",
            "start of request ids; empty: from the time of day and the seed"),
       net::Switch("allow-broken",
                   "do not count broken connections as lost requests")},
      argc, argv, KCH_VERSION);
  Options options;
  options.entries = Split(settings.text("entries"));
  options.queues = Split(settings.text("queues"));
  options.workers = Split(settings.text("workers"));
  const auto keys = ParseKeys(settings.text("keys"));
  if (!keys) {
    std::cerr << "kch-load: " << keys.error().Text() << "\n";
    return 2;
  }
  options.keys = *keys;
  if (options.entries.empty() || options.queues.empty() ||
      options.keys.empty()) {
    std::cerr << "kch-load: --entries, --keys and --queues need at least one "
                 "value each\n";
    return 2;
  }
  options.run_ms = settings.number("run-ms");
  options.deadline_ms = settings.number("deadline-ms");
  options.timeout_ms = static_cast<int>(settings.number("timeout-ms"));
  options.broken_allowed = settings.on("allow-broken");
  std::string prefix = settings.text("id-prefix");
  if (prefix.empty()) {
    // Ids of two loads must differ: entries remember claimed ids.
    prefix = "load-" +
             std::to_string(
                 std::chrono::system_clock::now().time_since_epoch().count()) +
             "-" + std::to_string(settings.number("seed")) + "-";
  }
  options.plan = {
      .entries = options.entries.size(),
      .teams = options.keys.size(),
      .queues = options.queues.size(),
      .rate = static_cast<double>(settings.number("rate")),
      .peak_factor = static_cast<double>(settings.number("peak-factor")),
      .peak = std::chrono::milliseconds(settings.number("peak-ms")),
      .duration = std::chrono::milliseconds(settings.number("duration-ms")),
      .unrepeatable_percent =
          static_cast<int>(settings.number("unrepeatable-percent")),
      .id_prefix = prefix,
      .seed = static_cast<std::uint64_t>(settings.number("seed"))};
  const auto client =
      net::HttpClient::Create({.max_connections_per_host = kMaxConnections});
  if (!client) {
    std::cerr << "kch-load: " << client.error().Text() << "\n";
    return 1;
  }
  Load load(std::move(options), **client);
  load.Run();
  return load.Report() ? 0 : 1;
}

}  // namespace
}  // namespace kch::load

int main(int argc, char** argv) {
  return kch::load::Main(argc, argv);
}
