#include "fake/fleet/fleet_platform.h"

#include <algorithm>
#include <utility>

namespace kch::fake {
namespace {

using net::HttpReply;
using net::HttpRequest;
using net::Now;
using nlohmann::json;

constexpr std::chrono::milliseconds kTickInterval{5};
// Late calls take effect 2 to 12 s after they came, in a fixed sequence.
constexpr std::int64_t kMinLateMs = 2000;
constexpr std::int64_t kLateRangeMs = 10'000;
constexpr std::int64_t kLateStepMs = 3700;
constexpr std::string_view kCommonPath = "/kingcuphaven/";

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kConflict = 409;
constexpr int kOtherVm = 421;
constexpr int kTooMany = 429;
constexpr int kUnavailable = 503;

std::string CallOf(const HttpRequest& request) {
  return request.path.starts_with(kCommonPath)
             ? request.path.substr(kCommonPath.size())
             : std::string();
}

json Encode(const jobs::Resources& amounts) {
  return {{"Cpu", amounts.cpu_m},
          {"MemMb", amounts.memory_mb},
          {"Gpu", amounts.gpus}};
}

std::string_view WireName(jobs::RunEnd how) {
  return how == jobs::RunEnd::kExpired ? "lapsed" : NameOf(how);
}

std::string_view ReasonOf(jobs::StartAnswer answer) {
  switch (answer) {
    case jobs::StartAnswer::kFenced:
      return "fence";
    case jobs::StartAnswer::kOldRun:
      return "old";
    case jobs::StartAnswer::kExpired:
      return "late";
    case jobs::StartAnswer::kNoPermit:
      return "ticket";
    default:
      return "room";
  }
}

jobs::StartRun DecodeStart(const json& body) {
  return {
      .task = jobs::TaskRef::Parse(body.at("Task").get<std::string>()).value(),
      .run = body.at("Run"),
      .payload = body.value("Spec", ""),
      .lease_until_ms = body.at("UntilMs"),
      .checkpoint = body.value("Checkpoint", ""),
      .permit = body.value("Ticket", "")};
}

std::uint64_t FenceOf(const json& body) {
  return body.value("FencingToken", std::uint64_t{0});
}

}  // namespace

FleetPlatform::FleetPlatform(const Options& options)
    : options(options), timer(this->loop.context()) {}

Result<std::unique_ptr<FleetPlatform>> FleetPlatform::Create(
    const Options& options) {
  std::unique_ptr<FleetPlatform> platform(new FleetPlatform(options));
  if (auto started = platform->Start(); !started) {
    return tl::unexpected(started.error());
  }
  return platform;
}

Result<void> FleetPlatform::Start() {
  this->started = Now();
  this->world.now = this->started;
  this->world.max_lease_ms = this->options.max_lease_ms;
  for (std::size_t i = 0; i < this->options.addresses; ++i) {
    auto listening = net::HttpServer::Create(
        {.threads = 1},
        [this, i](const HttpRequest& request, const auto& reply) {
          this->loop.Post([this, i, request, reply] {
            this->HandleShared(i, request, reply);
          });
        });
    if (!listening) {
      return tl::unexpected(listening.error());
    }
    this->shared.push_back(*std::move(listening));
  }
  for (const std::string& pool : this->options.pools) {
    if (pool != this->options.pools.front()) {
      jobs::Queue queue = this->world.config.queues.at(jobs::QueueId("q"));
      queue.id = jobs::QueueId(pool);
      queue.pool = PoolId(pool);
      this->world.config.queues.emplace(queue.id, queue);
    }
  }
  for (std::size_t i = 0; i < this->options.vms; ++i) {
    const std::string number = std::to_string(i);
    const std::string machine = "m" + number;
    auto server = net::HttpServer::Create(
        {.threads = 1},
        [this, machine](const HttpRequest& request, const auto& reply) {
          this->loop.Post([this, machine, request, reply] {
            this->HandleVm(machine, request, reply);
          });
        });
    if (!server) {
      return tl::unexpected(server.error());
    }
    FakeVm& vm = this->world.Add(
        "vm" + number, this->options.pools[i % this->options.pools.size()],
        this->options.vm_size, "r" + std::to_string(i / 2));
    vm.facts.address = "127.0.0.1:" + std::to_string((*server)->port());
    vm.facts.zone = ZoneId("z" + std::to_string(i % 3 + 1));
    this->machines[machine].vm = "vm" + number;
    this->servers.push_back(*std::move(server));
  }
  this->loop.Call([this] {
    for (const auto& [name, machine] : this->machines) {
      this->WriteRegistration(machine.vm);
    }
    this->Tick();
  });
  this->PublishConfig();
  return {};
}

FleetPlatform::~FleetPlatform() {
  this->loop.Stop();
  // Replies refer to the servers' connections.
  this->store.DropCalls();
  this->looks.clear();
  this->silent.clear();
  this->later.clear();
}

std::string FleetPlatform::address(std::size_t caller) const {
  return "127.0.0.1:" + std::to_string(this->shared.at(caller)->port());
}

void FleetPlatform::CutOff(std::size_t caller, bool cut) {
  this->loop.Call([this, caller, cut] {
    if (cut) {
      this->cut_off.insert(caller);
    } else {
      this->cut_off.erase(caller);
    }
  });
}

void FleetPlatform::Mute(std::size_t caller, bool mute) {
  this->loop.Call([this, caller, mute] {
    if (mute) {
      this->muted.insert(caller);
    } else {
      this->muted.erase(caller);
    }
  });
}

void FleetPlatform::CutVms(std::size_t caller,
                           const std::string& zone,
                           bool cut) {
  this->loop.Call([this, caller, &zone, cut] {
    if (cut) {
      this->cut_vms.emplace(caller, zone);
    } else {
      this->cut_vms.erase({caller, ZoneId(zone)});
    }
  });
}

bool FleetPlatform::IsCut(std::uint64_t fence, const FakeVm& vm) const {
  const auto owner = this->owners.find(fence);
  return owner != this->owners.end() &&
         this->cut_vms.contains({owner->second, vm.facts.zone});
}

void FleetPlatform::SetFaults(FaultRule rule) {
  this->loop.Call([this, &rule] { this->faults = std::move(rule); });
}

void FleetPlatform::PublishConfig(const std::set<jobs::QueueId>& left_out) {
  this->loop.Call([this, &left_out] {
    const jobs::FleetConfig& config = this->world.config;
    json body{{"Version", config.version},
              {"Routes", json::array()},
              {"Services", json::array()},
              {"Tenants", json::array()},
              {"Limits", json::object()}};
    const std::set<std::string> pools(this->options.pools.begin(),
                                      this->options.pools.end());
    for (const auto& [id, queue] : config.queues) {
      if (left_out.contains(id)) {
        continue;
      }
      json route{{"Name", id.str()},
                 {"Host", "jobs.example"},
                 {"Prefix", "/" + id.str() + "/"},
                 {"Service", queue.pool.str()},
                 {"Public", true},
                 {"Priority", queue.priority},
                 {"MaxAttempts", queue.max_attempts},
                 {"Stretch", queue.stretch},
                 {"TargetDurationMs", queue.target_ms}};
      if (queue.advised) {
        route["Advice"] = {{"DecisionMs", this->world.advice.decision_ms},
                           {"PerWorkerMs", this->world.advice.per_vm_ms},
                           {"ValidMs", this->world.advice.valid_ms}};
      }
      body["Routes"].push_back(route);
    }
    for (const std::string& pool : pools) {
      body["Services"].push_back(
          {{"Name", pool},
           {"Standby", this->options.last_pool_stands_by &&
                           pool == this->options.pools.back()}});
    }
    for (const auto& [id, team] : config.teams) {
      body["Tenants"].push_back({{"Name", id.str()},
                                 {"ApiKeys", {id.str() + "-key"}},
                                 {"Weight", team.weight},
                                 {"Maximum", Encode(team.maximum)}});
    }
    this->store.Put("op/config", body.dump());
  });
}

void FleetPlatform::WriteRegistration(const std::string& vm) {
  const jobs::VmFacts& facts = this->world.vms.at(vm)->facts;
  this->store.Put("servers/" + vm,
                  json{{"Service", facts.pool.str()},
                       {"Address", facts.address},
                       {"Zone", facts.zone.str()},
                       {"State", facts.leaving ? "draining" : "ready"},
                       {"Capacity", Encode(facts.capacity)},
                       {"Labels", {"a", facts.rack.str()}},
                       {"born", facts.boot_ms}}
                      .dump());
}

void FleetPlatform::Register(const std::string& vm, bool present) {
  this->loop.Call([this, &vm, present] {
    if (present) {
      this->WriteRegistration(vm);
    } else {
      this->store.Remove("servers/" + vm);
    }
  });
}

std::vector<std::string> FleetPlatform::VmsUp() {
  return this->loop.Call([this] {
    std::vector<std::string> vms;
    for (const auto& [name, machine] : this->machines) {
      if (machine.state == "up") {
        vms.push_back(machine.vm);
      }
    }
    return vms;
  });
}

bool FleetPlatform::IsUp(const std::string& vm) {
  return std::ranges::count(this->VmsUp(), vm) > 0;
}

std::vector<std::size_t> FleetPlatform::Owners() {
  return this->loop.Call([this] {
    std::vector<std::size_t> callers;
    for (const auto& [fence, caller] : this->owners) {
      if (fence > 0) {
        callers.push_back(caller);
      }
    }
    return callers;
  });
}

void FleetPlatform::RequestWave(int number,
                                std::vector<std::string> names,
                                int most,
                                int length_s) {
  const json wave{{"Wave", number},
                  {"Machines", std::move(names)},
                  {"DurationS", length_s},
                  {"Maximum", most}};
  this->loop.Call([this, &wave, number] {
    const std::string key = "op/wave/" + std::to_string(number);
    if (this->store.CreatedAt(key) == 0) {
      for (auto& [name, machine] : this->machines) {
        machine.waves.erase(number);
      }
    }
    this->store.Put(key, wave.dump());
  });
}

int FleetPlatform::most_away() {
  return this->loop.Call([this] { return this->most_machines_away; });
}

// The model's time follows the steady clock in whole milliseconds.
void FleetPlatform::Advance() {
  const std::int64_t ms = ToMs(Now() - this->world.now);
  if (ms > 0) {
    this->world.now += std::chrono::milliseconds(ms);
    this->world.RunTasks(ms);
  }
}

void FleetPlatform::Tick() {
  this->Advance();
  while (!this->later.empty() &&
         this->later.begin()->first <= this->world.now) {
    const auto action = std::move(this->later.begin()->second);
    this->later.erase(this->later.begin());
    action();
  }
  this->store.Tick(this->world.now);
  std::erase_if(this->looks, [this](const Waiting& waiting) {
    return this->AnswerLook(waiting);
  });
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      this->Tick();
    }
  });
}

void FleetPlatform::Faulted(const std::string& call,
                            const HttpRequest& request,
                            const HttpReply& reply,
                            std::function<void(const HttpReply&)> execute) {
  this->Advance();
  const std::string body = request.method == "GET"
                               ? std::string(request.Query("Prefix"))
                               : request.body;
  const CallFault fault =
      this->faults ? this->faults(call, body) : CallFault::kNone;
  switch (fault) {
    case CallFault::kNone:
      break;
    case CallFault::kRefuse:
      reply({.status = kUnavailable});
      return;
    case CallFault::kLoseCall:
      this->silent.push_back(reply);
      return;
    case CallFault::kLoseAnswer:
      this->silent.push_back(reply);
      execute([](const net::HttpResponse&) {});
      return;
    case CallFault::kLate:
      this->silent.push_back(reply);
      this->later.emplace(
          this->world.now +
              std::chrono::milliseconds(
                  kMinLateMs + ++this->late_calls * kLateStepMs % kLateRangeMs),
          [execute = std::move(execute)] {
            execute([](const net::HttpResponse&) {});
          });
      return;
    case CallFault::kSlow:
      execute([this, reply](const net::HttpResponse& response) {
        this->later.emplace(this->world.now + kSlowAnswer,
                            [reply, response] { reply(response); });
      });
      return;
  }
  execute(reply);
}

void FleetPlatform::HandleShared(std::size_t caller,
                                 const HttpRequest& request,
                                 const HttpReply& reply) {
  const std::string call = CallOf(request);
  if (this->cut_off.contains(caller) && call.starts_with("kv-")) {
    reply({.status = kUnavailable});
    return;
  }
  const std::string name = call.starts_with("kv-")       ? "store/" + call
                           : call.starts_with("machine") ? "machines/" + call
                                                         : "advice/" + call;
  this->Faulted(
      name, request, reply,
      [this, caller, call, request](const HttpReply& answer) {
        if (call.starts_with("kv-")) {
          this->store.Handle(
              call, request,
              [this, caller, answer](const net::HttpResponse& response) {
                if (this->muted.contains(caller)) {
                  this->silent.push_back(answer);
                } else {
                  answer(response);
                }
              },
              this->world.now);
          // The owner's fence is the revision of its record's creation.
          this->owners.emplace(this->store.CreatedAt("kch/owner"), caller);
        } else if (call == "machines") {
          this->ListMachines(answer);
        } else if (call.starts_with("machine-")) {
          this->OrderMachine(call, request, answer);
        } else if (call == "advise") {
          this->Advise(json::parse(request.body), answer);
        } else {
          answer({.status = kNotFound});
        }
      });
}

void FleetPlatform::HandleVm(const std::string& machine,
                             const HttpRequest& request,
                             const HttpReply& reply) {
  const std::string call = CallOf(request);
  this->Faulted(this->machines.at(machine).vm + "/" + call, request, reply,
                [this, machine, call, request](const HttpReply& answer) {
                  this->Execute(machine, call, request, answer);
                });
}

void FleetPlatform::Execute(const std::string& machine,
                            const std::string& call,
                            const HttpRequest& request,
                            const HttpReply& reply) {
  const Machine& place = this->machines.at(machine);
  FakeVm& vm = *this->world.vms.at(place.vm);
  if (vm.unresponsive || place.state != "up") {
    this->silent.push_back(reply);
    return;
  }
  const std::string_view expected = request.Header("expect-instance");
  if (!expected.empty() && expected != place.vm) {
    reply({.status = kOtherVm});
    return;
  }
  const json body = json::parse(request.body);
  const std::uint64_t fence = FenceOf(body);
  if (this->IsCut(fence, vm)) {
    this->silent.push_back(reply);
    return;
  }
  const json clock{{"ClockMs", this->world.ClockOf(vm)}};
  const auto settle = [&](bool admitted) {
    json answer = clock;
    if (!admitted) {
      answer["Reason"] = "fence";
    }
    reply({.status = admitted ? 200 : kConflict, .body = answer.dump()});
  };
  if (call == "run-start") {
    const jobs::StartAnswer carried =
        this->world.HandleStart(vm, DecodeStart(body), fence);
    json answer = clock;
    if (carried == jobs::StartAnswer::kAccepted) {
      reply({.body = answer.dump()});
      return;
    }
    answer["Reason"] = ReasonOf(carried);
    reply({.status =
               carried == jobs::StartAnswer::kInvalid ? kBadRequest : kConflict,
           .body = answer.dump()});
  } else if (call == "hold") {
    this->Look(vm, body, reply);
  } else if (call == "run-stop") {
    settle(this->world.HandleStop(
        vm,
        {.task =
             jobs::TaskRef::Parse(body.at("Task").get<std::string>()).value(),
         .run = body.at("Run")},
        fence));
  } else if (call == "pace") {
    settle(this->world.HandlePace(
        vm,
        {.task =
             jobs::TaskRef::Parse(body.at("Task").get<std::string>()).value(),
         .run = body.at("Run"),
         .percent = body.at("Percent")},
        fence));
  } else {
    reply({.status = kNotFound});
  }
}

void FleetPlatform::Look(FakeVm& vm, const json& body, const HttpReply& reply) {
  jobs::PollVm look{.recorded_end = body.at("LastSeen"),
                    .wait_ms = body.value("WaitMs", std::int64_t{0})};
  if (body.contains("UntilMs")) {
    look.lease_until_ms = body.at("UntilMs").get<std::int64_t>();
  }
  if (!this->world.HandlePoll(vm, look, FenceOf(body))) {
    reply(
        {.status = kConflict,
         .body = json{{"ClockMs", this->world.ClockOf(vm)}, {"Reason", "fence"}}
                     .dump()});
    return;
  }
  Waiting waiting{
      .vm = vm.facts.id.str(),
      .boot_ms = vm.facts.boot_ms,
      .look = look,
      .until = this->world.now + std::chrono::milliseconds(look.wait_ms),
      .reply = reply};
  if (!this->AnswerLook(waiting)) {
    this->looks.push_back(std::move(waiting));
  }
}

// Answers when a run has ended or the wait is over.
bool FleetPlatform::AnswerLook(const Waiting& waiting) {
  const auto found = this->world.vms.find(waiting.vm);
  if (found == this->world.vms.end() || found->second->unresponsive ||
      found->second->facts.boot_ms != waiting.boot_ms) {
    this->silent.push_back(waiting.reply);
    return true;
  }
  const FakeVm& vm = *found->second;
  const bool news =
      !vm.ended.empty() && vm.ended.back().number > waiting.look.recorded_end;
  if (!news && this->world.now < waiting.until) {
    return false;
  }
  const jobs::VmReport report = this->world.ReportOf(vm);
  json body{{"ClockMs", report.clock_ms},
            {"born", report.boot_ms},
            {"Running", json::array()},
            {"Ended", json::array()}};
  for (const jobs::RunningRow& row : report.running) {
    body["Running"].push_back(
        {row.task, row.run, row.checkpoint, row.percent, row.gauge});
  }
  for (const jobs::EndedRow& row : report.ended) {
    body["Ended"].push_back(
        {row.number, row.task, row.run, WireName(row.how), row.checkpoint});
  }
  waiting.reply({.body = body.dump()});
  return true;
}

void FleetPlatform::Advise(const json& body, const HttpReply& reply) {
  FakeAdvice& advice = this->world.advice;
  ++advice.request_count;
  if (advice.down) {
    reply({.status = kTooMany});
    return;
  }
  // ID.K.STEP is the name of a task without its index.
  const auto step =
      jobs::TaskRef::Parse(body.at("Step").get<std::string>() + ".0");
  if (!step) {
    reply({.status = kBadRequest});
    return;
  }
  jobs::RequestAdvice question{step->job, step->occurrence, step->step, {}};
  for (const json& vm : body.at("Workers")) {
    question.vms.emplace_back(vm.get<std::string>());
  }
  advice.max_open_requests =
      std::max(advice.max_open_requests, ++advice.open_requests);
  this->later.emplace(
      this->world.now + std::chrono::milliseconds(advice.DelayMs(question)),
      [this, question, reply] {
        --this->world.advice.open_requests;
        json allowed = json::array();
        for (const auto& [vm, token] : this->world.Advise(question)) {
          allowed.push_back({vm.str(), token});
        }
        reply({.body = json{{"Allowed", allowed},
                            {"ValidMs", this->world.advice.valid_ms}}
                           .dump()});
      });
}

void FleetPlatform::ListMachines(const HttpReply& reply) {
  json rows = json::array();
  for (const auto& [name, machine] : this->machines) {
    const jobs::VmFacts& facts = this->world.vms.at(machine.vm)->facts;
    rows.push_back({{"Machine", name},
                    {"Pool", facts.pool.str()},
                    {"State", machine.state},
                    {"Zone", facts.zone.str()},
                    {"Labels", {"a", facts.rack.str()}},
                    {"Capacity", Encode(facts.capacity)},
                    {"Id", machine.vm}});
  }
  reply({.body = json{{"Machines", rows}, {"NextToken", ""}}.dump()});
}

void FleetPlatform::OrderMachine(const std::string& call,
                                 const HttpRequest& request,
                                 const HttpReply& reply) {
  const json body = json::parse(request.body);
  const std::string name = body.at("Machine");
  const auto found = this->machines.find(name);
  const std::uint64_t fence =
      std::stoull("0" + std::string(request.Header("fence-token")));
  if (found == this->machines.end()) {
    reply({.status = kBadRequest});
    return;
  }
  Machine& machine = found->second;
  FakeVm& vm = *this->world.vms.at(machine.vm);
  const bool move = call == "machine-move";
  const auto refuse = [&reply](std::string_view reason) {
    reply({.status = kConflict, .body = json{{"Reason", reason}}.dump()});
  };
  if (fence < machine.fence) {
    refuse("fence");
    return;
  }
  const bool already = move ? vm.facts.pool.str() == body.at("Pool")
                            : machine.waves.contains(body.at("Wave"));
  if (!already && machine.state != "up") {
    refuse("busy");
    return;
  }
  machine.fence = fence;
  if (!already) {
    this->TakeDown(machine, move ? "moving" : "upkeep");
    if (move) {
      vm.facts.pool = PoolId(body.at("Pool").get<std::string>());
    } else {
      machine.waves.insert(body.at("Wave").get<std::int64_t>());
      this->most_machines_away =
          std::max(this->most_machines_away, ++this->away);
    }
    this->later.emplace(this->world.now + std::chrono::milliseconds(
                                              move ? this->options.move_ms
                                                   : this->options.upkeep_ms),
                        [this, name] { this->BringUp(name); });
  }
  reply({.body = "{}"});
}

// Everything on the machine ends at once.
void FleetPlatform::TakeDown(Machine& machine, const std::string& state) {
  machine.state = state;
  this->world.vms.at(machine.vm)->Restart(this->world.now);
  this->store.Remove("servers/" + machine.vm);
}

// A new VM joins the pool on the machine.
void FleetPlatform::BringUp(const std::string& name) {
  Machine& machine = this->machines.at(name);
  this->away -= machine.state == "upkeep" ? 1 : 0;
  auto vm = std::move(this->world.vms.at(machine.vm));
  this->world.vms.erase(machine.vm);
  machine.vm = "vm" + name.substr(1) + "-" + std::to_string(++machine.lives);
  machine.state = "up";
  vm->facts.id = VmId(machine.vm);
  this->world.vms[machine.vm] = std::move(vm);
  this->WriteRegistration(machine.vm);
}

}  // namespace kch::fake
