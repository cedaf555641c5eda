#include "app/maintain/driver.h"

#include <algorithm>
#include <asio/post.hpp>
#include <chrono>
#include <utility>
#include <variant>

#include "app/maintain/targets.h"
#include "wire/wire.h"

namespace kch::app {
namespace {

using maintain::OperationObserved;
using net::Now;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kTickInterval = milliseconds(50);
// The members and the workers' reports must be younger than the limits of the
// decisions, which are 2 s and more.
constexpr Duration kMembersInterval = seconds(1);
constexpr Duration kWorkerInterval = seconds(1);
constexpr Duration kVmListInterval = seconds(2);
constexpr Duration kObserveInterval = seconds(1);
constexpr Duration kReconnectAfter = seconds(1);
constexpr Duration kBaseInterval = seconds(1);
// Longer than a store operation may take, so that most orders are decided.
constexpr Duration kOrderWait = seconds(10);
constexpr int kWorkerTimeoutMs = 1000;
constexpr int kPlatformTimeoutMs = 2000;

std::int64_t WallSeconds() {
  return std::chrono::duration_cast<seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool SameOrder(const maintain::Order& a, const maintain::Order& b) {
  return a.kind == b.kind && a.pool == b.pool && a.vm == b.vm && a.to == b.to;
}

maintain::Settings InitialSettings(const DriverOptions& options) {
  maintain::Settings settings;
  settings.limits = options.limits;
  settings.read_interval = options.read_interval;
  // Heartbeats tell the use of pools with a backlog only, which is not the
  // demand that sizes are planned from.
  settings.resize = false;
  return settings;
}

}  // namespace

// Performs each kind of effect.
struct EffectVisitor {
  Driver& driver;

  void operator()(const StoreOp& operation) const {
    this->driver.parts.metrics.Count("store_operations");
    if (const auto* cas = std::get_if<StoreCas>(&operation)) {
      this->driver.written[cas->key] = cas->value;
    }
    this->driver.parts.store.Send(
        operation, [&driver = this->driver](StoreReply reply) {
          asio::post(driver.context, [&driver, reply = std::move(reply)] {
            driver.Handle(reply);
          });
        });
  }
  void operator()(const maintain::PlatformCall& call) const {
    this->driver.parts.metrics.Count("platform_calls");
    this->Send("POST", PathOf(call), call.operation);
  }
  void operator()(const maintain::ReadOperation& read) const {
    this->driver.parts.metrics.Count("operation_reads");
    this->Send("GET", "/v1/operations/" + read.operation, read.operation);
  }
  void operator()(const maintain::WorkerCall& call) const {
    const std::string address = this->driver.AddressOf(call.vm);
    if (address.empty()) {
      return;
    }
    this->driver.parts.metrics.Count("worker_orders");
    this->driver.parts.client.Send({.method = "POST",
                                    .url = "http://" + address + PathOf(call),
                                    .timeout_ms = kWorkerTimeoutMs},
                                   [](const net::HttpResult& /*result*/) {});
  }
  void operator()(const maintain::OrderResult& result) const {
    this->driver.FinishOrder(result);
  }

 private:
  void Send(const std::string& method,
            const std::string& path,
            const std::string& operation) const {
    this->driver.parts.client.Send(
        {.method = method,
         .url = "http://" + this->driver.options.platform + path,
         .timeout_ms = kPlatformTimeoutMs},
        [&driver = this->driver, operation,
         read = method == "GET"](const net::HttpResult& result) {
          asio::post(driver.context,
                     [&driver, seen = OperationObserved{
                                   operation, ParseOperation(result, read)}] {
                       driver.Handle(seen);
                     });
        });
  }
};

Driver::Driver(DriverOptions options, DriverParts parts)
    : options(std::move(options)),
      parts(parts),
      timer(this->context),
      current(InitialSettings(this->options)),
      maintainer(this->current, Random(this->options.seed)) {}

void Driver::Run() {
  this->parts.store.Watch(
      std::string(config::kHeadKey), [this](StoreReply reply) {
        asio::post(this->context,
                   [this, reply = std::move(reply)] { this->OnHead(reply); });
      });
  this->parts.store.Watch(
      std::string(member::kRecordKey), [this](const StoreReply& /*reply*/) {
        // Read again, because the reply does not say when the store gave it.
        asio::post(this->context, [this] { this->next_members = Now(); });
      });
  this->OnTick();
  this->context.run();
}

void Driver::Stop() {
  this->context.stop();
}

void Driver::Post(engine::Message message) {
  asio::post(this->context, [this, message = std::move(message)] {
    this->OnMessage(message);
  });
}

void Driver::Give(maintain::Order order, OnResult done) {
  asio::post(this->context, [this, order = std::move(order),
                             done = std::move(done)]() mutable {
    const auto found = this->orders.find(order.id);
    if (found == this->orders.end()) {
      this->orders[order.id] = {order, {std::move(done)}, Now() + kOrderWait};
      this->Handle(order);
    } else if (SameOrder(found->second.order, order)) {
      // The decisions take a repeat for one whose write is confirmed.
      found->second.done.push_back(std::move(done));
    } else {
      done(Fail(ErrorKind::kConflict,
                "another order with the id " + order.id + " is under way",
                "use a new id for each order"));
    }
  });
}

void Driver::Register(PoolId pool, maintain::VmRow vm, OnResult done) {
  asio::post(this->context, [this, pool = std::move(pool), vm = std::move(vm),
                             done = std::move(done)]() mutable {
    if (!this->current.pools.contains(pool)) {
      done(Fail(ErrorKind::kNotFound,
                "pool '" + pool.str() + "' is not configured",
                "name a pool of the configuration"));
      return;
    }
    std::vector<PoolId> others;
    for (const auto& [id, settings] : this->current.pools) {
      if (id != pool) {
        others.push_back(id);
      }
    }
    auto noted = [this, id = vm.id, zone = vm.zone, pool,
                  done = std::move(done)](const Result<void>& result) {
      if (result) {
        this->Note("vm_registered", id, zone, pool, "");
      }
      done(result);
    };
    const auto registration =
        std::make_shared<PendingRegistration>(PendingRegistration{
            maintain::Registration(std::move(pool), std::move(vm),
                                   std::move(others), WallSeconds()),
            std::move(noted)});
    this->Continue(registration, registration->steps.Begin());
  });
}

void Driver::Continue(const std::shared_ptr<PendingRegistration>& registration,
                      maintain::Registration::Next next) {
  if (next.result) {
    registration->done(*std::move(next.result));
    return;
  }
  this->parts.store.Send(*next.operation, [this,
                                           registration](StoreReply reply) {
    asio::post(this->context, [this, registration, reply = std::move(reply)] {
      this->Continue(registration, registration->steps.OnReply(reply));
    });
  });
}

void Driver::Inspect(std::function<void(const Driver&)> function) {
  asio::post(this->context,
             [this, function = std::move(function)] { function(*this); });
}

void Driver::Handle(const maintain::Event& event) {
  for (const auto& effect : this->maintainer.Step(event, Now())) {
    std::visit(EffectVisitor{*this}, effect);
  }
  // Records change with replies of the store only.
  if (std::holds_alternative<StoreReply>(event)) {
    this->NoteChanges();
  }
}

void Driver::OnTick() {
  const Time now = Now();
  this->Handle(maintain::Tick{WallSeconds()});
  this->ReadBase();
  if (!this->members_pending && now >= this->next_members) {
    this->ReadMembers();
  }
  this->ObserveEntries(now);
  this->PollWorkers(now);
  this->ReadVmList(now);
  this->ExpireOrders(now);
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      this->OnTick();
    }
  });
}

void Driver::ReadHead() {
  this->parts.store.Send(
      StoreGet{std::string(config::kHeadKey)}, [this](StoreReply reply) {
        asio::post(this->context,
                   [this, reply = std::move(reply)] { this->OnHead(reply); });
      });
}

void Driver::OnHead(const StoreReply& reply) {
  if (reply.status != StoreStatus::kOk || !reply.value) {
    return;
  }
  const auto head = config::Decode<config::Head>(*reply.value);
  const std::uint64_t before = this->follower.revision();
  if (head && this->follower.OfferHead(*head) &&
      this->follower.revision() != before) {
    this->Configure();
  }
}

void Driver::ReadBase() {
  const auto wanted = this->follower.required_base();
  const Time now = Now();
  if (!wanted || this->base_pending || now < this->next_base) {
    return;
  }
  this->base_pending = true;
  this->next_base = now + kBaseInterval;
  this->parts.store.Send(
      StoreGet{config::BaseKey(*wanted)}, [this](StoreReply reply) {
        asio::post(this->context,
                   [this, reply = std::move(reply)] { this->OnBase(reply); });
      });
}

void Driver::OnBase(const StoreReply& reply) {
  this->base_pending = false;
  if (reply.status != StoreStatus::kOk) {
    return;
  }
  if (!reply.value) {
    // A newer base has replaced it, which the head names.
    this->ReadHead();
    return;
  }
  auto state = config::Decode<config::State>(*reply.value);
  const std::uint64_t before = this->follower.revision();
  if (state &&
      this->follower.OfferBase(
          std::make_shared<const config::State>(*std::move(state))) &&
      this->follower.revision() != before) {
    this->Configure();
  }
}

void Driver::Configure() {
  const config::State& state = this->configuration();
  this->current.pools.clear();
  this->current.spare = PoolId();
  for (const auto& [id, pool] : state.pools) {
    this->current.pools[id].budget = {
        .max_unavailable = pool.value.max_unavailable,
        .per_zone = pool.value.max_unavailable_per_zone,
        .per_rack = pool.value.max_unavailable_per_rack};
    if (pool.value.spare) {
      this->current.spare = id;
    }
  }
  // A task may still run under the lease of an earlier configuration, so the
  // longest lease never decreases here.
  for (const auto& [id, profile] : state.profiles) {
    this->current.limits.max_lease =
        std::max<Duration>(this->current.limits.max_lease,
                           milliseconds(profile.value.task_lease_ms));
  }
  this->maintainer.Configure(this->current);
  this->parts.events.Add(
      "config_applied", state.revision,
      {{"text", "revision " + std::to_string(state.revision)}});
  this->is_ready = this->members_known;
}

void Driver::ReadMembers() {
  this->members_pending = true;
  const Time asked_at = Now();
  this->next_members = asked_at + kMembersInterval;
  this->parts.store.Send(
      StoreGet{std::string(member::kRecordKey)},
      [this, asked_at](StoreReply reply) {
        asio::post(this->context, [this, asked_at, reply = std::move(reply)] {
          this->OnMembers(reply, asked_at);
        });
      });
}

void Driver::OnMembers(const StoreReply& reply, Time asked_at) {
  this->members_pending = false;
  if (reply.status != StoreStatus::kOk ||
      reply.version < this->members_version) {
    return;
  }
  member::Record record;
  if (reply.value) {
    auto decoded = member::Decode<member::Record>(*reply.value);
    if (!decoded) {
      return;
    }
    record = *std::move(decoded);
  }
  this->members_version = reply.version;
  this->members_known = true;
  this->is_ready = this->follower.revision() > 0;
  std::erase_if(this->observed, [&](const auto& item) {
    if (record.members.contains(item.first)) {
      return false;
    }
    this->parts.bus.Drop(item.first);
    return true;
  });
  const Time now = Now();
  maintain::MembersObserved same{.requested_at = asked_at};
  maintain::MembersObserved all{.requested_at = asked_at};
  for (const auto& [id, row] : record.members) {
    all.instances.push_back(id);
    ObservedEntry& entry = this->observed[id];
    if (entry.incarnation == row.incarnation &&
        entry.address == row.peer_address) {
      same.instances.push_back(id);
      continue;
    }
    entry = {.incarnation = row.incarnation,
             .address = row.peer_address,
             .heard_at = now,
             .next_reconnect = now + kReconnectAfter};
    this->parts.bus.Connect(id, row.peer_address);
    this->next_observe = now;
  }
  if (same.instances.size() != all.instances.size()) {
    // What an earlier incarnation reported says nothing about the new one.
    this->Handle(same);
  }
  this->Handle(all);
}

void Driver::ObserveEntries(Time now) {
  for (auto& [id, entry] : this->observed) {
    if (now - entry.heard_at > kReconnectAfter && now >= entry.next_reconnect) {
      entry.next_reconnect = now + kReconnectAfter;
      this->next_observe = now;
      this->parts.metrics.Count("entry_reconnects");
      this->parts.bus.Connect(id, entry.address);
    }
  }
  if (now < this->next_observe) {
    return;
  }
  this->next_observe = now + kObserveInterval;
  for (const auto& [id, entry] : this->observed) {
    const engine::Message message{
        .from = this->options.self,
        .from_incarnation = this->options.incarnation,
        .to_incarnation = entry.incarnation,
        .body = engine::Observe{this->options.bus_address}};
    this->parts.bus.Send(id, wire::Encode(message));
  }
}

void Driver::OnMessage(const engine::Message& message) {
  const auto found = this->observed.find(message.from);
  const auto* beat = std::get_if<engine::Heartbeat>(&message.body);
  if (found == this->observed.end() || beat == nullptr ||
      message.from_incarnation != found->second.incarnation ||
      beat->sequence <= found->second.sequence) {
    return;
  }
  found->second.sequence = beat->sequence;
  found->second.heard_at = Now();
  maintain::EntryReport report{.instance = message.from};
  for (const engine::VmUse& use : beat->leaving) {
    report.pool_report.running[use.vm] =
        static_cast<std::uint32_t>(std::max<std::int64_t>(0, use.tasks));
  }
  // A VM has one pool, so the same counts serve for each pool.
  for (const engine::PoolSeen& seen : beat->pools) {
    report.pool = seen.pool;
    report.pool_report.generation = seen.generation;
    this->Handle(report);
  }
}

void Driver::PollWorkers(Time now) {
  for (const auto& [pool, record] : this->maintainer.records()) {
    for (const auto& [id, vm] : record.vms) {
      // A lost VM returns to service only with a report of its worker.
      if (vm.state == maintain::VmState::kServing &&
          !record.ledger.contains(id)) {
        this->polls.erase(id);
        continue;
      }
      WorkerPoll& poll = this->polls[id];
      if (poll.pending || now < poll.next) {
        continue;
      }
      poll.pending = true;
      poll.next = now + kWorkerInterval;
      this->parts.metrics.Count("worker_polls");
      this->parts.client.Send(
          {.url = "http://" + vm.address + "/tasks",
           .timeout_ms = kWorkerTimeoutMs},
          [this, id = id, now](net::HttpResult result) {
            asio::post(
                this->context, [this, id, now, result = std::move(result)] {
                  if (const auto found = this->polls.find(id);
                      found != this->polls.end()) {
                    found->second.pending = false;
                  }
                  if (const auto report =
                          ParseTasks(id, result, this->configuration(), now)) {
                    this->Handle(*report);
                  }
                });
          });
    }
  }
}

void Driver::ReadVmList(Time now) {
  if (this->vm_list_pending || now < this->next_vm_list) {
    return;
  }
  this->vm_list_pending = true;
  this->next_vm_list = now + kVmListInterval;
  this->parts.client.Send(
      {.url = "http://" + this->options.platform + "/v1/vms",
       .timeout_ms = kPlatformTimeoutMs},
      [this, now](const net::HttpResult& result) {
        asio::post(this->context, [this, list = ParseVmList(result, now)] {
          this->vm_list_pending = false;
          if (list) {
            this->Handle(*list);
          }
        });
      });
}

void Driver::ExpireOrders(Time now) {
  std::vector<std::string> overdue;
  for (const auto& [id, pending] : this->orders) {
    if (now >= pending.until) {
      overdue.push_back(id);
    }
  }
  for (const std::string& id : overdue) {
    this->FinishOrder({id, Fail(ErrorKind::kUnknownOutcome,
                                "order " + id + " is not decided yet",
                                "send the same order again to find out")});
  }
}

void Driver::FinishOrder(const maintain::OrderResult& result) {
  const auto found = this->orders.find(result.id);
  if (found == this->orders.end()) {
    return;
  }
  const PendingOrder pending = std::move(found->second);
  this->orders.erase(found);
  const bool undecided = !result.result && result.result.error().kind ==
                                               ErrorKind::kUnknownOutcome;
  if (!undecided) {
    this->Note(
        result.result ? "order_accepted" : "order_refused", pending.order.vm,
        ZoneId(), pending.order.pool,
        result.id + (result.result ? std::string()
                                   : ": " + result.result.error().message));
  }
  for (const OnResult& done : pending.done) {
    done(result.result);
  }
}

// Only the process that wrote a version notes its changes, or each maintainer
// would note them.
void Driver::NoteChanges() {
  for (const auto& [pool, record] : this->maintainer.records()) {
    const auto [before, is_new] = this->noted.try_emplace(pool, record);
    if (!is_new && before->second.generation == record.generation) {
      continue;
    }
    const auto own = this->written.find(maintain::KeyOf(pool));
    if (!is_new && own != this->written.end() &&
        own->second == maintain::Encode(record)) {
      for (const auto& change :
           maintain::ChangesBetween(before->second, record)) {
        this->Note(NameOf(change.kind), change.vm, change.zone, pool,
                   change.text);
      }
    }
    before->second = record;
  }
}

void Driver::Note(std::string_view kind,
                  const VmId& vm,
                  const ZoneId& zone,
                  const PoolId& pool,
                  const std::string& text) {
  this->parts.events.Add(kind, this->follower.revision(),
                         {{"vm", vm.str()},
                          {"zone", zone.str()},
                          {"pool", pool.str()},
                          {"text", text}});
}

std::string Driver::AddressOf(const VmId& vm) const {
  for (const auto& [pool, record] : this->maintainer.records()) {
    const auto found = record.vms.find(vm);
    if (found != record.vms.end()) {
      return found->second.address;
    }
  }
  return {};
}

}  // namespace kch::app
