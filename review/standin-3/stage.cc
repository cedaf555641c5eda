#include "stage.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <sstream>
#include <thread>

namespace review {
namespace {

constexpr std::string_view kCommonPath = "/kingcuphaven/";
constexpr int kConflict = 409;
constexpr int kOtherMinion = 421;
// A byte that starts no UTF-8 character, within a text.
constexpr const char* kGarbledBody = "{\"ClockMs\":\"\xff\"}";

std::int64_t WallMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string CallOf(const HttpRequest& request) {
  return request.path.starts_with(kCommonPath)
             ? request.path.substr(kCommonPath.size())
             : std::string();
}

pid_t Spawn(const std::vector<std::string>& arguments,
            const std::string& output) {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output.c_str(),
                                   O_WRONLY | O_CREAT | O_TRUNC, 0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  std::vector<char*> argv;
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

}  // namespace

Stage::Stage(const std::string& record_path) : record(record_path) {
  std::string folder =
      (std::filesystem::temp_directory_path() / "kch-review-XXXXXX").string();
  if (mkdtemp(folder.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  this->files = folder;
  auto made = kch::net::HttpClient::Create({});
  if (!made) {
    throw std::runtime_error(made.error().Text());
  }
  this->client = std::move(*made);
  for (std::size_t i = 0; i < 3; ++i) {
    auto server = kch::net::HttpServer::Create(
        {.threads = 1}, [this, i](const HttpRequest& request, auto reply) {
          this->loop.Post([this, i, request, reply = std::move(reply)] {
            this->HandleStore(i, request, reply);
          });
        });
    if (!server) {
      throw std::runtime_error(server.error().Text());
    }
    this->shared.push_back(*std::move(server));
  }
  this->processes.resize(3);
  this->loop.Call([this] { this->Tick(); });
}

Stage::~Stage() {
  for (Process& process : this->processes) {
    if (process.pid != 0) {
      kill(process.pid, SIGKILL);
      waitpid(process.pid, nullptr, 0);
    }
  }
  this->loop.Stop();
  this->proxies.clear();
  this->store.DropCalls();
  this->waiting.clear();
  this->silent.clear();
  this->kept.clear();
  std::error_code ignored;
  std::filesystem::remove_all(this->files, ignored);
}

std::int64_t Stage::NowMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - this->begun)
      .count();
}

void Stage::Note(const std::string& line) {
  const std::lock_guard lock(this->record_mutex);
  this->record << this->NowMs() << " ms  " << line << std::endl;
}

std::int64_t Stage::ClockOf(const Minion& minion) const {
  return this->NowMs() - minion.start_ms;
}

void Stage::End(Minion& minion,
                const std::string& task,
                const std::string& how) {
  const Run run = minion.running.at(task);
  minion.running.erase(task);
  minion.ended.push_back({++minion.last_end, task, run.run, how, ""});
  minion.refused[task] = std::max(minion.refused[task], run.run);
  this->seen.push_back(
      {this->NowMs(), how, task, run.run, minion.id,
                        minion.last_end, minion.born_ms});
  this->Note(minion.id + " ends " + task + " run " + std::to_string(run.run) +
             ": " + how + ", end number " + std::to_string(minion.last_end));
}

void Stage::Advance() {
  const std::int64_t now = this->NowMs();
  for (auto& [id, minion] : this->minions) {
    if (!minion.up) {
      continue;
    }
    std::vector<std::string> done;
    for (const auto& [task, run] : minion.running) {
      if (run.length_ms > 0 && now >= run.started_ms + run.length_ms) {
        done.push_back(task);
      }
    }
    for (const std::string& task : done) {
      this->End(minion, task, "done");
    }
    if (this->ClockOf(minion) >= minion.lease_until) {
      std::vector<std::string> lapsed;
      for (const auto& [task, run] : minion.running) {
        lapsed.push_back(task);
      }
      for (const std::string& task : lapsed) {
        this->End(minion, task, "lapsed");
      }
      minion.lapsed_end = minion.last_end;
    }
    if (minion.register_at != 0 && now >= minion.register_at) {
      minion.register_at = now + kHeartbeatMs;
      this->Register(minion);
    }
  }
}

void Stage::Tick() {
  this->Advance();
  this->store.Tick(kch::net::Now());
  std::erase_if(this->waiting, [this](const Waiting& call) {
    const Minion& minion = this->minions.at(call.minion);
    if (!minion.up || minion.born_ms != call.born_ms) {
      this->silent.push_back(call.reply);
      return true;
    }
    const bool news =
        !minion.ended.empty() && minion.last_end > call.last_seen;
    if (!news && this->NowMs() < call.until_ms) {
      return false;
    }
    this->AnswerHold(minion, call.reply);
    return true;
  });
  this->timer.expires_after(std::chrono::milliseconds(2));
  this->timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

void Stage::Register(const Minion& minion) {
  this->store.Put(
      "servers/" + minion.id,
      json{{"Service", "p"},
           {"Address", minion.address},
           {"Zone", "z1"},
           {"Version", "v1"},
           {"Slots", 8},
           {"State", "ready"},
           {"ColdRemainingMs", 0},
           {"Capacity", {{"Cpu", 8000}, {"MemMb", 32768}, {"Gpu", 0}}},
           {"Labels", {minion.label, "r1"}},
           {"ClockMs", this->ClockOf(minion)},
           {"Sequence", this->NowMs()},
           {"born", minion.born_ms}}
          .dump());
}

void Stage::AddMinion(const std::string& id, const std::string& label) {
  auto server = kch::net::HttpServer::Create(
      {.threads = 1}, [this, id](const HttpRequest& request, auto reply) {
        this->loop.Post([this, id, request, reply = std::move(reply)] {
          this->HandleMinion(id, request, reply);
        });
      });
  if (!server) {
    throw std::runtime_error(server.error().Text());
  }
  const std::uint16_t port = (*server)->port();
  this->servers.push_back(*std::move(server));
  const std::string address = this->With([&] {
    this->proxies.push_back(std::make_unique<Proxy>(
        this->loop.context(), port, [this, id](std::string_view sent) {
          return this->resets_connection && this->resets_connection(id, sent);
        }));
    return "127.0.0.1:" + std::to_string(this->proxies.back()->port());
  });
  this->With([&] {
    Minion& minion = this->minions[id];
    minion = {.id = id,
              .label = label,
              .address = address,
              .born_ms = WallMs(),
              .start_ms = this->NowMs() - 100'000,
              .register_at = this->NowMs()};
  });
}

void Stage::PublishConfig() {
  this->With([this] {
    this->store.Put(
        "op/config",
        json{{"Version", 7},
             {"Routes",
              {{{"Name", "q"},
                {"Host", "jobs.example"},
                {"Prefix", "/q/"},
                {"Type", "non_idempotent"},
                {"TimeoutMs", 3000},
                {"TargetDurationMs", 600},
                {"Priority", 0},
                {"Service", "p"},
                {"MaxAttempts", 2},
                {"Stretch", 1.6},
                {"Public", true}}}},
             {"Services", {{{"Name", "p"}, {"AdmissionCheck", false}}}},
             {"Limits", json::object()},
             {"Tenants", json::array()}}
            .dump());
  });
}

std::filesystem::path Stage::LogPath(std::size_t number, int start) const {
  return this->files /
         (std::to_string(number) + "." + std::to_string(start) + ".log");
}

std::string Stage::Log(std::size_t number) const {
  return ReadFile(this->LogPath(number, this->processes.at(number).starts));
}

void Stage::StartProcess(std::size_t number) {
  Process& process = this->processes.at(number);
  const std::string store_address =
      "127.0.0.1:" + std::to_string(this->shared.at(number)->port());
  const std::filesystem::path log = this->LogPath(number, ++process.starts);
  process.pid = Spawn(
      {"target/kch-fleet", "--name=edge-" + std::to_string(number),
       "--store=" + store_address, "--callers=127.0.0.1:0",
       "--readiness=127.0.0.1:0", "--peers=127.0.0.1:0", "--bus=127.0.0.1:0",
       "--max-lease-ms=" + std::to_string(kMaxHoldMs),
       "--heartbeat-ms=" + std::to_string(kHeartbeatMs),
       "--stop-grace-ms=" + std::to_string(kStopGraceMs),
       "--machines=" + store_address, "--advice=" + store_address,
       "--handover-ms=" + std::to_string(kLeaseMs), "--upkeep-s=2",
       "--cores=0.25"},
      log);
  std::string readiness;
  const bool listens = this->WaitFor(10'000, [&] {
    std::istringstream lines(ReadFile(log));
    for (std::string line; std::getline(lines, line);) {
      const json event = json::parse(line, nullptr, false);
      if (event.is_object() && event.value("event", "") == "listening") {
        process.callers =
            "127.0.0.1:" + event.at("callers").get<std::string>();
        readiness = "127.0.0.1:" + event.at("readiness").get<std::string>();
        return true;
      }
    }
    return false;
  });
  const bool ready = listens && this->WaitFor(10'000, [&] {
    return this->client
        ->SendAndWait({.url = "http://" + readiness + "/kingcuphaven/readiness"})
        .Success();
  });
  if (!ready) {
    throw std::runtime_error("a process does not start: " + ReadFile(log));
  }
  this->Note("process " + std::to_string(number) + " serves");
}

void Stage::Kill(std::size_t number) {
  Process& process = this->processes.at(number);
  kill(process.pid, SIGKILL);
  waitpid(std::exchange(process.pid, 0), nullptr, 0);
  this->Note("process " + std::to_string(number) + " is killed");
}

std::optional<int> Stage::Ended(std::size_t number) {
  Process& process = this->processes.at(number);
  int status = 0;
  if (process.pid == 0 || waitpid(process.pid, &status, WNOHANG) == 0) {
    return std::nullopt;
  }
  process.pid = 0;
  return status;
}

std::optional<std::size_t> Stage::Owner() {
  const auto value =
      this->With([this] { return this->store.Value("kch/owner"); });
  if (!value) {
    return std::nullopt;
  }
  const std::string instance = json::parse(*value).at("instance");
  return std::stoul(instance.substr(instance.rfind('-') + 1));
}

void Stage::Crash(const std::string& id) {
  this->With([&] {
    Minion& minion = this->minions.at(id);
    minion.up = false;
    minion.register_at = 0;
    for (const auto& [task, run] : minion.running) {
      this->seen.push_back(
          {this->NowMs(), "crashed", task, run.run, id, 0});
    }
    minion.running.clear();
    this->Note(id + " crashes");
  });
}

void Stage::StartAgain(const std::string& id, std::int64_t first_heartbeat_ms) {
  this->With([&] {
    Minion& minion = this->minions.at(id);
    const Minion before = minion;
    minion = {.id = id,
              .label = before.label,
              .address = before.address,
              .born_ms = WallMs(),
              .start_ms = this->NowMs(),
              .register_at = this->NowMs() + first_heartbeat_ms};
    this->Note(id + " starts again under its id; it knows nothing of before");
  });
}

void Stage::Fail(const std::string& task) {
  this->With([&] {
    for (auto& [id, minion] : this->minions) {
      if (minion.running.contains(task)) {
        this->End(minion, task, "failed");
      }
    }
  });
}

void Stage::CarryOutKept(const std::string& id) {
  this->With([&] {
    const auto [begin, end] = this->kept.equal_range(id);
    std::vector<std::function<void()>> actions;
    for (auto row = begin; row != end; ++row) {
      actions.push_back(row->second);
    }
    this->kept.erase(begin, end);
    for (const auto& action : actions) {
      action();
    }
  });
}

void Stage::HandleStore(std::size_t process,
                        const HttpRequest& request,
                        const HttpReply& reply) {
  this->Advance();
  const std::string call = CallOf(request);
  if (call.starts_with("kv-")) {
    const Fate fate = this->on_store_call
                          ? this->on_store_call(process, call, request.body)
                          : Fate::kServe;
    if (fate == Fate::kKeep) {
      this->Note("the store leaves " + call + " of process " +
                 std::to_string(process) +
                 " unanswered, to carry it out later: " + request.body);
      this->kept.emplace("store", [this, call, request] {
        this->Note("the store carries out late: " + request.body);
        this->store.Handle(
            call, request,
            [this](const HttpResponse& answer) {
              this->Note("its outcome is " + std::to_string(answer.status));
            },
            kch::net::Now());
      });
    }
    if (fate != Fate::kServe) {
      this->silent.push_back(reply);
      return;
    }
    this->store.Handle(call, request, reply, kch::net::Now());
  } else if (call == "machines") {
    json rows = json::array();
    for (const auto& [id, minion] : this->minions) {
      rows.push_back({{"Machine", "m-" + id},
                      {"Pool", "p"},
                      {"State", minion.up ? "up" : "down"},
                      {"Zone", "z1"},
                      {"Labels", {minion.label, "r1"}},
                      {"Capacity", {{"Cpu", 8000}, {"MemMb", 32768}, {"Gpu", 0}}},
                      {"Id", id}});
    }
    reply({.body = json{{"Machines", rows}, {"NextToken", nullptr}}.dump()});
  } else {
    reply({.status = 404});
  }
}

void Stage::HandleMinion(const std::string& id,
                         const HttpRequest& request,
                         const HttpReply& reply) {
  this->Advance();
  const std::string call = CallOf(request);
  const json body = json::parse(request.body, nullptr, false);
  if (!this->minions.at(id).up) {
    this->silent.push_back(reply);
    return;
  }
  const Fate fate = this->on_minion_call
                        ? this->on_minion_call(id, call, body)
                        : Fate::kServe;
  switch (fate) {
    case Fate::kServe:
      this->Execute(id, call, request, reply);
      break;
    case Fate::kSilent:
      this->Note(id + " leaves " + call + " unanswered: " + request.body);
      this->silent.push_back(reply);
      break;
    case Fate::kKeep:
      this->Note(id + " leaves " + call +
                 " unanswered, to carry it out later: " + request.body);
      this->silent.push_back(reply);
      this->kept.emplace(id, [this, id, call, request] {
        this->Note(id + " carries out late: " + call + " " + request.body);
        this->Execute(id, call, request, [](const HttpResponse&) {});
      });
      break;
    case Fate::kGarbled:
      this->Note(id + " answers " + call + " with a text that is cut up");
      reply({.body = kGarbledBody});
      break;
  }
}

void Stage::Execute(const std::string& id,
                    const std::string& call,
                    const HttpRequest& request,
                    const HttpReply& reply) {
  Minion& minion = this->minions.at(id);
  if (!minion.up) {
    this->silent.push_back(reply);
    return;
  }
  if (const std::string_view expected = request.Header("expect-instance");
      !expected.empty() && expected != id) {
    reply({.status = kOtherMinion});
    return;
  }
  const json body = json::parse(request.body);
  const auto answer = [&](int status, const char* reason) {
    json text{{"ClockMs", this->ClockOf(minion)}};
    if (reason != nullptr) {
      text["Reason"] = reason;
    }
    reply({.status = status, .body = text.dump()});
  };
  const auto fence = body.value("FencingToken", std::uint64_t{0});
  if (fence < minion.fence) {
    this->Note(id + " refuses " + call + " for its fencing token");
    answer(kConflict, "fence");
    return;
  }
  minion.fence = fence;
  const auto extend = [&] {
    if (body.contains("UntilMs")) {
      const std::int64_t longest = this->ClockOf(minion) + kMaxHoldMs;
      minion.lease_until =
          std::max(minion.lease_until,
                   std::min(body.at("UntilMs").get<std::int64_t>(), longest));
    }
  };
  if (call == "run-start") {
    const std::string task = body.at("Task");
    const std::int64_t run = body.at("Run");
    if (body.at("UntilMs").get<std::int64_t>() <= this->ClockOf(minion)) {
      answer(kConflict, "late");
      return;
    }
    extend();
    const auto known = minion.running.find(task);
    if (known != minion.running.end() && known->second.run == run) {
      answer(200, nullptr);
      return;
    }
    if (const auto refused = minion.refused.find(task);
        refused != minion.refused.end() && run <= refused->second) {
      answer(kConflict, "old");
      return;
    }
    minion.running[task] = {.run = run,
                            .started_ms = this->NowMs(),
                            .length_ms = this->lengths[task.substr(0, 16)]};
    this->seen.push_back({this->NowMs(), "start", task, run, id, 0});
    this->Note(id + " starts " + task + " run " + std::to_string(run));
    answer(200, nullptr);
  } else if (call == "run-stop") {
    const std::string task = body.at("Task");
    const std::int64_t run = body.at("Run");
    if (const auto known = minion.running.find(task);
        known != minion.running.end() && known->second.run <= run) {
      this->End(minion, task, "stopped");
    }
    minion.refused[task] = std::max(minion.refused[task], run);
    this->Note(id + " stops " + task + " up to run " + std::to_string(run));
    answer(200, nullptr);
  } else if (call == "hold") {
    extend();
    const std::int64_t last_seen = body.value("LastSeen", std::int64_t{0});
    while (!minion.ended.empty() &&
           minion.ended.front().at(0).get<std::int64_t>() <= last_seen) {
      const json& row = minion.ended.front();
      if (row.at(0).get<std::int64_t>() > minion.lapsed_end) {
        this->noted.emplace(id, minion.born_ms, row.at(0).get<std::int64_t>());
      }
      this->Note(id + " forgets end number " + row.at(0).dump() + " of " +
                 row.at(1).get<std::string>() + ": LastSeen is " +
                 std::to_string(last_seen));
      minion.ended.pop_front();
    }
    Waiting call_waits{
        .minion = id,
        .born_ms = minion.born_ms,
        .last_seen = last_seen,
        .until_ms = this->NowMs() + body.value("WaitMs", std::int64_t{0}),
        .reply = reply};
    if (!minion.ended.empty() || this->NowMs() >= call_waits.until_ms) {
      this->AnswerHold(minion, reply);
    } else {
      this->waiting.push_back(std::move(call_waits));
    }
  } else {
    answer(200, nullptr);
  }
}

void Stage::AnswerHold(const Minion& minion, const HttpReply& reply) const {
  json body{{"ClockMs", this->ClockOf(minion)},
            {"born", minion.born_ms},
            {"Running", json::array()},
            {"Ended", json::array()}};
  for (const auto& [task, run] : minion.running) {
    body["Running"].push_back({task, run.run, "", 100, 1000});
  }
  for (const json& row : minion.ended) {
    body["Ended"].push_back(row);
  }
  reply({.body = body.dump()});
}

void Stage::SetLength(const std::string& job, std::int64_t ms) {
  this->With([&] { this->lengths[job] = ms; });
}

int Stage::Call(const std::string& method,
                std::size_t process,
                const std::string& job,
                const std::string& body,
                int timeout_ms,
                std::string* answer) {
  const std::string name =
      method + " /q/" + job + " at process " + std::to_string(process);
  this->Note("a client sends " + name + " " + body);
  const auto result = this->client->SendAndWait(
      {.method = method,
       .url = "http://" + this->processes.at(process).callers + "/q/" + job,
       .headers = {{"Host", "jobs.example"},
                   {"Content-Type", "application/json"},
                   {"Deadline-Ms", "3000"}},
       .body = body,
       .connect_timeout_ms = 500,
       .timeout_ms = timeout_ms,
       .new_connection = true});
  const bool answered = result.status == kch::net::CallStatus::kAnswered;
  this->Note(answered ? "the client of " + name + " gets " +
                            std::to_string(result.code) + " " + result.body
                      : "the client of " + name + " gets no answer");
  if (answer != nullptr) {
    *answer = result.body;
  }
  return answered ? result.code : 0;
}

std::string Stage::StateOf(std::size_t process, const std::string& job) {
  std::string body;
  const int status = this->Call("GET", process, job, "", 3000, &body);
  const json state = json::parse(body, nullptr, false);
  return status == 200 && state.is_object() ? state.value("State", "")
                                            : std::to_string(status);
}

bool Stage::WaitFor(int ms, const std::function<bool()>& condition) {
  const std::int64_t end = this->NowMs() + ms;
  while (!condition()) {
    if (this->NowMs() >= end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

std::string JobBody(int count,
                    std::int64_t estimate_ms,
                    bool lasting,
                    const std::string& label) {
  json step{{"Count", count},
            {"Cpu", 1000},
            {"MemMb", 256},
            {"EstimateMs", estimate_ms}};
  if (lasting) {
    step["LongRunning"] = true;
    step["MayMiss"] = 1;
  }
  if (!label.empty()) {
    step["Requirements"] = label;
  }
  return json{{"Spec", "text"}, {"Steps", {step}}}.dump();
}

std::vector<std::string> TwiceIn(const Stage& stage,
                                 const std::vector<Stage::Seen>& seen) {
  std::vector<std::string> breaches;
  std::map<std::string, std::set<std::pair<std::string, std::int64_t>>> at_work;
  std::map<std::string, std::vector<Stage::Seen>> done;
  for (const Stage::Seen& event : seen) {
    auto& runs = at_work[event.task];
    if (event.what != "start") {
      runs.erase({event.minion, event.run});
      if (event.what == "done") {
        done[event.task].push_back(event);
      }
      continue;
    }
    for (const auto& [minion, run] : runs) {
      breaches.push_back(event.task + " starts on " + event.minion + " as run " +
                         std::to_string(event.run) + " while run " +
                         std::to_string(run) + " is at work on " + minion);
    }
    for (const Stage::Seen& end : done[event.task]) {
      if (stage.noted.contains({end.minion, end.life, end.number})) {
        breaches.push_back(event.task + " starts on " + event.minion +
                           " as run " + std::to_string(event.run) +
                           " after run " + std::to_string(end.run) +
                           " has ended done on " + end.minion +
                           ", end number " + std::to_string(end.number) +
                           ", which LastSeen has reached");
      }
    }
    runs.emplace(event.minion, event.run);
  }
  return breaches;
}

}  // namespace review
