#include "world.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <stdexcept>

namespace review {
namespace {

using kch::net::HttpReply;
using kch::net::HttpRequest;
using kch::net::HttpServer;

constexpr std::string_view kPrefix = "/kingcuphaven/";
constexpr int kMissedBeats = 3;
constexpr auto kTick = std::chrono::milliseconds(3);

std::int64_t UnixMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::unique_ptr<HttpServer> Listen(kch::net::HttpHandler handler) {
  auto server = HttpServer::Create({.threads = 1}, std::move(handler));
  if (!server) {
    throw std::runtime_error("cannot listen: " + server.error().Text());
  }
  return *std::move(server);
}

std::string JobOf(const std::string& task) {
  return task.substr(0, task.find('.'));
}

std::size_t StepOf(const std::string& task) {
  const std::size_t first = task.find('.');
  const std::size_t second = task.find('.', first + 1);
  return std::stoul(task.substr(second + 1));
}

Json Encode(const Amounts& amounts) {
  return {{"Cpu", amounts.cpu}, {"MemMb", amounts.mem}, {"Gpu", 0}};
}

void Refuse(const HttpReply& reply, const std::string& reason, Json body = {}) {
  body["Reason"] = reason;
  reply({.status = 409, .body = body.dump()});
}

}  // namespace

World::World() : begun(std::chrono::steady_clock::now()) {
  this->ticker = std::thread([this] {
    while (!this->ending) {
      this->Tick();
      std::this_thread::sleep_for(kTick);
    }
  });
}

World::~World() {
  this->ending = true;
  this->ticker.join();
  {
    // Replies refer to connections of the servers.
    const std::lock_guard lock(this->mutex);
    this->store.DropCalls();
    this->holds.clear();
    this->silent.clear();
    this->later.clear();
  }
  for (auto& [id, minion] : this->minions) {
    minion->proxy.reset();
    minion->server.reset();
  }
  this->shared_proxies.clear();
  this->shared.clear();
}

std::int64_t World::NowMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now() - this->begun)
      .count();
}

void World::Note(const std::string& line) {
  const std::lock_guard lock(this->mutex);
  this->lines.push_back(std::to_string(this->NowMs()) + " ms  " + line);
}

void World::Breach(const std::string& rule, const std::string& what) {
  const std::lock_guard lock(this->mutex);
  this->Note("BROKEN " + rule + ": " + what);
  this->breach_lines.push_back(this->lines.back());
}

std::vector<std::string> World::breaches() {
  const std::lock_guard lock(this->mutex);
  return this->breach_lines;
}

void World::WriteRecord(const std::string& path) {
  const std::lock_guard lock(this->mutex);
  std::ofstream file(path);
  for (const std::string& line : this->lines) {
    file << line << "\n";
  }
}

std::size_t World::AddCaller() {
  const std::size_t caller = this->shared.size();
  auto server = Listen([this, caller](const HttpRequest& request,
                                         const HttpReply& reply) {
    this->HandleShared(caller, request, reply);
  });
  const std::lock_guard lock(this->mutex);
  this->shared_proxies.push_back(std::make_unique<Proxy>(server->port()));
  this->shared.push_back(std::move(server));
  return caller;
}

std::string World::CallerAddress(std::size_t caller) const {
  return "127.0.0.1:" + std::to_string(this->shared_proxies.at(caller)->port());
}

void World::SetConfig(std::vector<Tenant> new_tenants,
                      std::vector<Route> new_routes) {
  const std::lock_guard lock(this->mutex);
  this->tenants = std::move(new_tenants);
  this->routes = std::move(new_routes);
}

void World::Publish() {
  const std::lock_guard lock(this->mutex);
  Json body{{"Version", this->version += 3},
            {"Routes", Json::array()},
            {"Services", Json::array()},
            {"Tenants", Json::array()},
            {"Limits", Json::object()}};
  std::set<std::string> services;
  for (const Route& route : this->routes) {
    body["Routes"].push_back({{"Name", route.name},
                              {"Host", route.host},
                              {"Prefix", "/" + route.name + "/"},
                              {"Service", route.service},
                              {"MaxAttempts", route.max_attempts},
                              {"Stretch", 1.6},
                              {"TargetDurationMs", 600}});
    services.insert(route.service);
  }
  for (const auto& [id, minion] : this->minions) {
    services.insert(minion->service);
  }
  for (const std::string& service : services) {
    body["Services"].push_back({{"Name", service}, {"AdmissionCheck", false}});
  }
  for (const Tenant& tenant : this->tenants) {
    body["Tenants"].push_back({{"Name", tenant.name},
                               {"ApiKeys", {tenant.key}},
                               {"Weight", 1},
                               {"Maximum", Encode(tenant.maximum)}});
  }
  this->store.Put("op/config", body.dump());
  this->Note("operator writes configuration " + std::to_string(this->version));
}

void World::AddMinion(const std::string& id,
                      const std::string& service,
                      const std::string& zone,
                      const std::string& rack,
                      Amounts capacity) {
  auto minion = std::make_unique<Minion>();
  minion->id = id;
  minion->service = service;
  minion->zone = zone;
  minion->rack = rack;
  minion->capacity = capacity;
  this->Open(*minion);
  const std::lock_guard lock(this->mutex);
  minion->up = true;
  minion->born_ms = UnixMs();
  minion->clock_zero_ms = this->NowMs() - 1000;
  minion->next_beat_ms = this->NowMs();
  this->machines["m-" + id] = {.id = "m-" + id, .minion = id};
  this->minions[id] = std::move(minion);
}

void World::Open(Minion& minion) {
  minion.server = Listen([this, id = minion.id](const HttpRequest& request,
                                                const HttpReply& reply) {
    this->HandleMinion(id, request, reply);
  });
  minion.proxy = std::make_unique<Proxy>(minion.server->port());
  minion.port = minion.proxy->port();
}

void World::Crash(const std::string& id) {
  Proxy* proxy = nullptr;
  {
    const std::lock_guard lock(this->mutex);
    Minion& minion = *this->minions.at(id);
    proxy = minion.proxy.get();
    minion.up = false;
    this->Note("minion " + id + " crashes with " +
               std::to_string(minion.runs.size()) + " runs");
    minion.runs.clear();
    minion.ended.clear();
    minion.refused.clear();
    minion.last_end = 0;
    minion.end_times.clear();
    minion.fence = 0;
    minion.until_ms = 0;
    std::erase_if(this->holds,
                  [&id](const WaitingHold& hold) { return hold.minion == id; });
  }
  proxy->Close();
}

void World::Restart(const std::string& id) {
  const std::lock_guard lock(this->mutex);
  Minion& minion = *this->minions.at(id);
  minion.proxy->Open();
  minion.up = true;
  minion.born_ms = UnixMs();
  minion.clock_zero_ms = this->NowMs();
  minion.next_beat_ms = this->NowMs() + this->first_beat_ms;
  this->Note("minion " + id + " is back under its id, born " +
             std::to_string(minion.born_ms));
}

void World::StoreDown() {
  const std::lock_guard lock(this->mutex);
  this->store_down = true;
  this->store.SetDown(true);  // cuts off the watches
  this->store.SetDown(false);
  this->Note("the store is down for all, its leases run out");
}

void World::StoreBack(
    const std::function<std::int64_t(const std::string& minion)>& beat_after) {
  const std::lock_guard lock(this->mutex);
  this->store_down = false;
  for (auto& [id, minion] : this->minions) {
    minion->next_beat_ms = this->NowMs() + beat_after(id);
  }
  this->Note("the store is back");
}

void World::SetNextBeat(const std::string& id, std::int64_t at_ms) {
  const std::lock_guard lock(this->mutex);
  this->minions.at(id)->next_beat_ms = at_ms;
}

void World::RequestWave(std::int64_t number,
                        const std::vector<std::string>& names,
                        int most,
                        int length_s) {
  const std::lock_guard lock(this->mutex);
  this->waves[number] = {{names.begin(), names.end()}, most};
  this->store.Put("op/wave/" + std::to_string(number),
                  Json{{"Wave", number},
                       {"Machines", names},
                       {"DurationS", length_s},
                       {"Maximum", most}}
                      .dump());
  this->Note("operator requests wave " + std::to_string(number) +
             ", Maximum " + std::to_string(most));
}

void World::AddJob(const Job& job) {
  const std::lock_guard lock(this->mutex);
  this->jobs[job.id] = job;
}

int World::RunningOf(const std::string& job) {
  const std::lock_guard lock(this->mutex);
  int count = 0;
  for (const auto& [id, minion] : this->minions) {
    for (const auto& [task, run] : minion->runs) {
      count += JobOf(task) == job;
    }
  }
  return count;
}

std::pair<std::int64_t, std::int64_t> World::CpuInUse() {
  const std::lock_guard lock(this->mutex);
  std::int64_t used = 0;
  std::int64_t all = 0;
  for (const auto& [id, minion] : this->minions) {
    all += minion->up ? minion->capacity.cpu : 0;
    for (const auto& [task, run] : minion->runs) {
      used += run.need.cpu;
    }
  }
  return {used, all};
}

int World::StartedOf(const std::string& job) {
  const std::lock_guard lock(this->mutex);
  return static_cast<int>(
      std::ranges::count_if(this->places, [&job](const auto& row) {
        return JobOf(row.first) == job;
      }));
}

std::optional<std::string> World::Stored(const std::string& key) {
  const std::lock_guard lock(this->mutex);
  return this->store.Value(key);
}

int World::StartsOf(const std::string& task) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->places.find(task);
  return found == this->places.end() ? 0
                                     : static_cast<int>(found->second.size());
}

int World::UpkeepsBegun() {
  const std::lock_guard lock(this->mutex);
  return this->upkeeps;
}

std::int64_t World::ClockOf(const Minion& minion) const {
  return this->NowMs() - minion.clock_zero_ms;
}

void World::WriteEntry(Minion& minion, std::int64_t now) {
  minion.last_beat_ms = now;
  minion.next_beat_ms = now + this->bounds.heartbeat_ms;
  Json entry{{"Service", minion.service},
             {"Address", "127.0.0.1:" + std::to_string(minion.port)},
             {"Zone", minion.zone},
             {"Version", "1"},
             {"Slots", 8},
             {"State", "ready"},
             {"Capacity", Encode(minion.capacity)},
             {"Labels", {"a", minion.rack}},
             {"born", minion.born_ms}};
  const std::string text = entry.dump();
  // The entry changes when more than its sequence changes.
  if (text == minion.entry) {
    return;
  }
  minion.entry = text;
  entry["Sequence"] = 1;
  this->store.Put("servers/" + minion.id, entry.dump());
  this->Note("minion " + minion.id + " registers, born " +
             std::to_string(minion.born_ms));
}

void World::EndRun(Minion& minion,
                   const std::string& task,
                   const std::string& how) {
  const Run run = minion.runs.at(task);
  minion.runs.erase(task);
  minion.ended.push_back(
      Json::array({++minion.last_end, task, run.number, how, ""}));
  minion.end_times[minion.last_end] = this->NowMs();
  std::int64_t& refused = minion.refused[task];
  refused = std::max(refused, run.number);
  if (how == "done") {
    this->done.insert(task);
  }
  if (how == "failed") {
    ++this->failures[task];
  }
  this->Note("end   " + task + " run " + std::to_string(run.number) + " on " +
             minion.id + ": " + how);
}

void World::TickMinion(Minion& minion, std::int64_t now) {
  if (minion.up && !minion.cut && !this->store_down &&
      now >= minion.next_beat_ms) {
    this->WriteEntry(minion, now);
  }
  if (!minion.entry.empty() &&
      now - minion.last_beat_ms > kMissedBeats * this->bounds.heartbeat_ms) {
    minion.entry.clear();
    this->store.Remove("servers/" + minion.id);
    this->Note("entry of minion " + minion.id + " is removed");
  }
  const std::int64_t clock = this->ClockOf(minion);
  if (clock >= minion.until_ms) {
    minion.lapsed_ms = now;
  }
  std::vector<std::pair<std::string, std::string>> ends;
  for (const auto& [task, run] : minion.runs) {
    if (clock >= minion.until_ms) {
      ends.emplace_back(task, "lapsed");
    } else if (run.fails_after_ms >= 0 &&
               now >= run.begun_ms + run.fails_after_ms) {
      ends.emplace_back(task, "failed");
    } else if (!run.lasts && now >= run.begun_ms + run.length_ms) {
      ends.emplace_back(task, "done");
    } else if (run.stopped_at_ms >= 0 && now >= run.stopped_at_ms) {
      ends.emplace_back(task, "stopped");
    }
  }
  for (const auto& [task, how] : ends) {
    this->EndRun(minion, task, how);
  }
}

void World::Tick() {
  const std::lock_guard lock(this->mutex);
  const std::int64_t now = this->NowMs();
  while (!this->later.empty() && this->later.begin()->first <= now) {
    const auto action = std::move(this->later.begin()->second);
    this->later.erase(this->later.begin());
    action();
  }
  for (auto& [id, minion] : this->minions) {
    this->TickMinion(*minion, now);
  }
  this->store.Tick(kch::Time(std::chrono::milliseconds(now)));
  std::erase_if(this->holds, [this, now](const WaitingHold& hold) {
    const Minion& minion = *this->minions.at(hold.minion);
    if (minion.cut) {
      return false;
    }
    if (now < hold.until_ms && minion.last_end <= hold.last_seen) {
      return false;
    }
    hold.reply({.body = this->ReportOf(minion).dump()});
    return true;
  });
}

void World::HandleShared(std::size_t caller,
                         const HttpRequest& request,
                         const HttpReply& reply) {
  const std::lock_guard lock(this->mutex);
  const std::string call = request.path.starts_with(kPrefix)
                               ? request.path.substr(kPrefix.size())
                               : std::string();
  if (call.starts_with("kv-")) {
    StoreFault fault = this->store_fault
                           ? this->store_fault(caller, call, request)
                           : StoreFault::kNone;
    if (this->store_down) {
      fault = StoreFault::kSilent;
    }
    if (fault == StoreFault::kLate) {
      this->silent.push_back(reply);
      this->later.emplace(
          this->NowMs() + this->late_store_ms, [this, call, request] {
            this->store.Handle(
                call, request, [](const kch::net::HttpResponse&) {},
                kch::Time(std::chrono::milliseconds(this->NowMs())));
          });
      return;
    }
    if (fault == StoreFault::kSilent) {
      this->silent.push_back(reply);
      return;
    }
    if (fault == StoreFault::kRefuse) {
      reply({.status = 503, .body = "{}"});
      return;
    }
    const bool reset = fault == StoreFault::kReset;
    if (reset) {
      this->silent.push_back(reply);
    }
    this->store.Handle(
        call, request,
        reset ? HttpReply([](const kch::net::HttpResponse&) {}) : reply,
        kch::Time(std::chrono::milliseconds(this->NowMs())));
    if (reset) {
      this->shared_proxies.at(caller)->ResetConnections();
    }
  } else if (call == "machines") {
    this->ListMachines(reply);
  } else if (call == "machine-upkeep") {
    this->Upkeep(request, reply);
  } else if (call == "machine-move") {
    reply({.status = 400, .body = "{}"});  // there is one pool only
  } else {
    reply({.status = 404, .body = "{}"});
  }
}

void World::ListMachines(const HttpReply& reply) {
  Json rows = Json::array();
  for (const auto& [id, machine] : this->machines) {
    const Minion& minion = *this->minions.at(machine.minion);
    rows.push_back({{"Machine", id},
                    {"Pool", minion.service},
                    {"State", machine.state},
                    {"Zone", minion.zone},
                    {"Labels", {"a", minion.rack}},
                    {"Capacity", Encode(minion.capacity)},
                    {"Id", machine.minion}});
  }
  reply({.body = Json{{"Machines", rows}, {"NextToken", ""}}.dump()});
}

void World::Upkeep(const HttpRequest& request, const HttpReply& reply) {
  const Json body = Json::parse(request.body);
  const std::string name = body.at("Machine");
  const std::int64_t wave = body.at("Wave");
  const std::uint64_t fence =
      std::stoull("0" + std::string(request.Header("fence-token")));
  this->Note("upkeep of " + name + " is ordered by " +
             std::string(request.Header("duty-holder")) + " with fence " +
             std::to_string(fence));
  const auto late = this->late_upkeep ? this->late_upkeep(name) : std::nullopt;
  if (late) {
    this->Note("  it gets no answer and is carried out " +
               std::to_string(*late) + " ms later");
    this->silent.push_back(reply);
    this->later.emplace(this->NowMs() + *late, [this, name, wave, fence] {
      this->CarryOutUpkeep(name, wave, fence,
                           [](const kch::net::HttpResponse&) {});
    });
    return;
  }
  this->CarryOutUpkeep(name, wave, fence, reply);
}

void World::CarryOutUpkeep(const std::string& name,
                           std::int64_t wave,
                           std::uint64_t fence,
                           const HttpReply& reply) {
  const auto found = this->machines.find(name);
  if (found == this->machines.end()) {
    reply({.status = 400, .body = "{}"});
    return;
  }
  Machine& machine = found->second;
  if (fence < machine.fence) {
    this->Note("upkeep of " + name + " is refused: fence");
    Refuse(reply, "fence");
    return;
  }
  machine.fence = fence;
  if (!this->waves.contains(wave) ||
      !this->waves[wave].first.contains(name)) {
    Refuse(reply, "wave");
    return;
  }
  if (machine.waves.contains(wave)) {
    reply({.body = "{}"});
    return;
  }
  if (machine.state != "up") {
    Refuse(reply, "busy");
    return;
  }
  int down = 0;
  for (const std::string& other : this->waves[wave].first) {
    down += this->machines.at(other).state == "upkeep";
  }
  this->Note("upkeep of " + name + " begins, " + std::to_string(down) +
             " others of its wave are down for theirs");
  if (down >= this->waves[wave].second) {
    this->Breach("LIMIT", "upkeep of " + name + " begins while " +
                              std::to_string(down) +
                              " machines of its wave are down, Maximum is " +
                              std::to_string(this->waves[wave].second));
  }
  ++this->upkeeps;
  machine.waves.insert(wave);
  machine.state = "upkeep";
  Minion& minion = *this->minions.at(machine.minion);
  minion.up = false;
  minion.runs.clear();
  minion.cut = true;
  this->store.Remove("servers/" + minion.id);
  minion.entry.clear();
  this->later.emplace(
      this->NowMs() + this->bounds.maintenance_ms, [this, name] {
        Machine& returned = this->machines.at(name);
        const Minion& before = *this->minions.at(returned.minion);
        auto next = std::make_unique<Minion>();
        next->id = name.substr(2) + "-" + std::to_string(++returned.lives);
        next->service = before.service;
        next->zone = before.zone;
        next->rack = before.rack;
        next->capacity = before.capacity;
        this->Open(*next);
        next->up = true;
        next->born_ms = UnixMs();
        next->clock_zero_ms = this->NowMs();
        next->next_beat_ms = this->NowMs();
        returned.minion = next->id;
        returned.state = "up";
        this->Note("upkeep of " + name + " is over, its minion is " + next->id);
        this->minions[next->id] = std::move(next);
      });
  reply({.body = "{}"});
}

void World::HandleMinion(const std::string& id,
                         const HttpRequest& request,
                         const HttpReply& reply) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->minions.find(id);
  if (found == this->minions.end()) {
    this->silent.push_back(reply);
    return;
  }
  Minion& minion = *found->second;
  if (minion.cut || !minion.up) {
    this->silent.push_back(reply);
    return;
  }
  const std::string_view expected = request.Header("expect-instance");
  if (!expected.empty() && expected != id) {
    reply({.status = 421, .body = "{}"});
    return;
  }
  const Json body = Json::parse(request.body);
  const std::uint64_t fence = body.value("FencingToken", std::uint64_t{0});
  if (fence < minion.fence) {
    this->Note(request.path + " on " + id + " is refused: fence " +
               std::to_string(fence));
    Refuse(reply, "fence", {{"ClockMs", this->ClockOf(minion)}});
    return;
  }
  minion.fence = fence;
  if (request.path == "/kingcuphaven/run-start") {
    this->Start(minion, body, reply);
  } else if (request.path == "/kingcuphaven/run-stop") {
    this->Stop(minion, body, reply);
  } else if (request.path == "/kingcuphaven/hold") {
    this->Hold(minion, body, reply);
  } else {
    reply({.body = Json{{"ClockMs", this->ClockOf(minion)}}.dump()});
  }
}

void World::Start(Minion& minion, const Json& body, const HttpReply& reply) {
  const std::string task = body.at("Task");
  const std::int64_t number = body.at("Run");
  const std::int64_t clock = this->ClockOf(minion);
  const Json answer{{"ClockMs", clock}};
  const std::int64_t until =
      std::min(body.at("UntilMs").get<std::int64_t>(),
               clock + this->bounds.max_hold_ms);
  const auto note = [&](const std::string& result) {
    this->Note("start " + task + " run " + std::to_string(number) + " on " +
               minion.id + ", fence " +
               std::to_string(body.value("FencingToken", std::uint64_t{0})) +
               ": " + result);
  };
  if (until <= clock) {
    note("late");
    Refuse(reply, "late", answer);
    return;
  }
  minion.until_ms = std::max(minion.until_ms, until);
  if (const auto run = minion.runs.find(task);
      run != minion.runs.end() && run->second.number == number) {
    note("200, it is there");
    reply({.body = answer.dump()});
    return;
  }
  if (const auto refused = minion.refused.find(task);
      refused != minion.refused.end() && number <= refused->second) {
    note("old");
    Refuse(reply, "old", answer);
    return;
  }
  const auto job = this->jobs.find(JobOf(task));
  if (job == this->jobs.end() ||
      job->second.spec != body.value("Spec", std::string())) {
    this->Breach("UNASKED", "start of " + task);
    reply({.status = 400, .body = answer.dump()});
    return;
  }
  const Json& step = job->second.steps.at(StepOf(task));
  Run run{.number = number,
          .begun_ms = this->NowMs(),
          .length_ms = step.value("EstimateMs", std::int64_t{0}),
          .lasts = step.value("LongRunning", false),
          .tenant = job->second.tenant,
          .need = {step.value("Cpu", std::int64_t{0}),
                   step.value("MemMb", std::int64_t{0})}};
  if (job->second.spec.starts_with("fails after ")) {
    run.fails_after_ms = std::stoll(job->second.spec.substr(12));
  }
  note("200");
  this->JudgeStart(minion, task, run);
  this->places[task].push_back(minion.id);
  minion.runs[task] = run;
  reply({.body = answer.dump()});
}

void World::JudgeStart(const Minion& minion,
                       const std::string& task,
                       const Run& run) {
  Amounts here = run.need;
  Amounts tenant = run.need;
  for (const auto& [id, other] : this->minions) {
    if (!other->up) {
      continue;
    }
    for (const auto& [name, beside] : other->runs) {
      if (other.get() == &minion) {
        here.cpu += beside.need.cpu;
        here.mem += beside.need.mem;
      }
      if (beside.tenant == run.tenant) {
        tenant.cpu += beside.need.cpu;
        tenant.mem += beside.need.mem;
      }
      if (name == task) {
        this->Breach("TWICE", task + " run " + std::to_string(run.number) +
                                  " starts on " + minion.id + " while run " +
                                  std::to_string(beside.number) +
                                  " is at work on " + id);
      }
    }
  }
  if (this->done.contains(task)) {
    const std::string what = task + " run " + std::to_string(run.number) +
                             " starts on " + minion.id +
                             " after a run of it has ended done";
    if (this->noted_done.contains(task)) {
      this->Breach("TWICE", what + ", which was taken note of");
    } else {
      this->begun_after_done[task] = what + ", which is taken note of now";
    }
  }
  if (here.cpu > minion.capacity.cpu || here.mem > minion.capacity.mem) {
    this->Breach("LIMIT", task + " brings " + minion.id + " to " +
                              std::to_string(here.cpu) + " of " +
                              std::to_string(minion.capacity.cpu) + " Cpu");
  }
  for (const Tenant& row : this->tenants) {
    if (row.name != run.tenant || row.maximum.cpu == 0) {
      continue;
    }
    const double bound = static_cast<double>(row.maximum.cpu) *
                             (1 + this->bounds.quota_overage) +
                         static_cast<double>(run.need.cpu);
    if (static_cast<double>(tenant.cpu) > bound) {
      this->Breach("QUOTA", task + " brings tenant " + row.name + " to " +
                                std::to_string(tenant.cpu) +
                                " Cpu, its Maximum is " +
                                std::to_string(row.maximum.cpu));
    }
  }
  const Job& job = this->jobs.at(JobOf(task));
  for (const Route& route : this->routes) {
    const auto failed = this->failures.find(task);
    if (route.name == job.route && failed != this->failures.end() &&
        failed->second >= route.max_attempts) {
      this->Breach("BUDGET", task + " run " + std::to_string(run.number) +
                                 " starts after " +
                                 std::to_string(failed->second) +
                                 " runs have failed, MaxAttempts is " +
                                 std::to_string(route.max_attempts));
    }
  }
}

void World::Stop(Minion& minion, const Json& body, const HttpReply& reply) {
  const std::string task = body.at("Task");
  const std::int64_t number = body.at("Run");
  std::int64_t& refused = minion.refused[task];
  refused = std::max(refused, number);
  const auto run = minion.runs.find(task);
  const bool there = run != minion.runs.end() && run->second.number == number;
  if (there && run->second.stopped_at_ms < 0) {
    run->second.stopped_at_ms = this->NowMs() + this->stop_takes_ms;
  }
  this->Note("stop  " + task + " run " + std::to_string(number) + " on " +
             minion.id + (there ? "" : ", which is not there"));
  reply({.body = Json{{"ClockMs", this->ClockOf(minion)}}.dump()});
}

Json World::ReportOf(const Minion& minion) const {
  Json report{{"ClockMs", this->ClockOf(minion)},
              {"born", minion.born_ms},
              {"Capacity", Encode(minion.capacity)},
              {"Labels", {"a", minion.rack}},
              {"Running", Json::array()},
              {"Ended", Json::array()}};
  for (const auto& [task, run] : minion.runs) {
    report["Running"].push_back(
        Json::array({task, run.number, "", 100, run.need.cpu}));
  }
  for (const Json& row : minion.ended) {
    report["Ended"].push_back(row);
  }
  return report;
}

// A start after an end `done` breaks the rule once that end is taken note of.
void World::NoteEnds(Minion& minion, std::int64_t last_seen) {
  std::erase_if(minion.ended, [this, &minion, last_seen](const Json& row) {
    if (row.at(0).get<std::int64_t>() > last_seen) {
      return false;
    }
    // An end counts as taken note of unless the lease lapsed before that.
    const std::int64_t ended = minion.end_times.at(row.at(0));
    if (row.at(3) == "done" && minion.lapsed_ms < ended) {
      const std::string task = row.at(1);
      this->Note("the end of " + task + " on " + minion.id +
                 " is taken note of");
      this->noted_done.insert(task);
      if (const auto begun = this->begun_after_done.find(task);
          begun != this->begun_after_done.end()) {
        this->Breach("TWICE", begun->second);
        this->begun_after_done.erase(begun);
      }
    }
    return true;
  });
}

void World::Hold(Minion& minion, const Json& body, const HttpReply& reply) {
  const std::int64_t clock = this->ClockOf(minion);
  const std::int64_t last_seen = body.value("LastSeen", std::int64_t{0});
  if (body.contains("UntilMs")) {
    minion.until_ms = std::max(
        minion.until_ms, std::min(body.at("UntilMs").get<std::int64_t>(),
                                  clock + this->bounds.max_hold_ms));
  }
  this->NoteEnds(minion, last_seen);
  const std::int64_t wait = body.value("WaitMs", std::int64_t{0});
  if (wait == 0 || !minion.ended.empty()) {
    reply({.body = this->ReportOf(minion).dump()});
    return;
  }
  this->holds.push_back({.minion = minion.id,
                         .born_ms = minion.born_ms,
                         .last_seen = std::max(last_seen, minion.last_end),
                         .until_ms = this->NowMs() + wait,
                         .reply = reply});
}

}  // namespace review
