#include "app/entry/driver.h"

#include <asio/post.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>
#include <variant>

#include "wire/wire.h"

namespace kch::app {
namespace {

using net::Now;
using nlohmann::json;

constexpr auto kTickInterval = std::chrono::milliseconds(20);
constexpr auto kVmListInterval = std::chrono::seconds(2);
constexpr int kVmListTimeoutMs = 2000;

std::int64_t WallSeconds() {
  return std::chrono::duration_cast<std::chrono::seconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::optional<engine::VmList> ParseVmList(const net::HttpResult& result) {
  const json body = json::parse(result.body, nullptr, false);
  if (!result.Success() || !body.is_array()) {
    return std::nullopt;
  }
  engine::VmList list;
  for (const json& row : body) {
    const VmId id(row.value("id", ""));
    const bool leaving = row.value("state", "") == "leaving";
    (leaving ? list.leaving : list.live).insert(id);
    if (leaving) {
      list.live.insert(id);  // it still exists
    }
  }
  return list;
}

}  // namespace

// Performs each kind of effect.
struct EffectVisitor {
  Driver& driver;

  void operator()(engine::ReplyCaller& effect) const {
    const auto found = this->driver.callers.find(effect.call);
    if (found == this->driver.callers.end()) {
      return;
    }
    this->driver.parts.metrics.Count("outcome_" +
                                     std::string(NameOf(effect.outcome.kind)));
    const auto done = std::move(found->second);
    this->driver.callers.erase(found);
    done(std::move(effect.outcome));
  }
  void operator()(engine::ReplyOperator& effect) const {
    const auto found = this->driver.operators.find(effect.call);
    if (found != this->driver.operators.end()) {
      const auto done = std::move(found->second);
      this->driver.operators.erase(found);
      done(std::move(effect));
    }
  }
  void operator()(const engine::SendPeer& effect) const {
    this->driver.parts.bus.Send(effect.to, wire::Encode(effect.message));
  }
  void operator()(const engine::ConnectPeer& effect) const {
    this->driver.parts.bus.Connect(effect.peer, effect.address);
  }
  void operator()(const engine::DropPeer& effect) const {
    this->driver.parts.bus.Drop(effect.peer);
  }
  void operator()(const engine::StoreRequest& effect) const {
    this->driver.parts.metrics.Count("store_operations");
    this->driver.parts.store.Send(
        effect.op,
        [&driver = this->driver, user = effect.user](StoreReply reply) {
          driver.Post(engine::StoreCompletion{user, std::move(reply)});
        });
  }
  void operator()(const engine::WatchKey& effect) const {
    this->driver.parts.store.Watch(
        effect.key, [&driver = this->driver](StoreReply reply) {
          driver.Post(engine::StoreWatchUpdate{std::move(reply)});
        });
  }
  void operator()(engine::StartTask& effect) const {
    this->driver.parts.metrics.Count("task_starts");
    this->driver.workers.Start(std::move(effect));
  }
  void operator()(const engine::AttachTask& effect) const {
    this->driver.parts.metrics.Count("task_attaches");
    this->driver.workers.Attach(effect);
  }
  void operator()(const engine::AbortTaskConnection& effect) const {
    this->driver.workers.Abort(effect.task);
  }
  void operator()(const engine::PollWorker& effect) const {
    this->driver.workers.Poll(effect);
  }
  void operator()(const engine::OrderTask& effect) const {
    this->driver.parts.metrics.Count("task_orders");
    this->driver.workers.Order(effect);
  }
  void operator()(const engine::Trace& effect) const {
    this->driver.parts.events.Add(NameOf(effect.kind),
                                  this->driver.entry.configuration()->revision,
                                  {{"request", effect.request},
                                   {"task", effect.task},
                                   {"vm", effect.vm},
                                   {"team", effect.team},
                                   {"zone", effect.zone},
                                   {"pool", effect.pool},
                                   {"text", effect.text}});
  }
  void operator()(const engine::Exit& /*effect*/) const {
    this->driver.context.stop();
  }
};

Driver::Driver(engine::Entry& entry, DriverParts parts)
    : entry(entry),
      parts(std::move(parts)),
      workers(this->parts.traffic,
              [this](engine::Event event) { this->Post(std::move(event)); }),
      timer(this->context),
      published(entry.configuration()) {}

void Driver::Run() {
  this->OnTick();
  this->context.run();
}

void Driver::Post(engine::Event event) {
  asio::post(this->context, [this, event = std::move(event)]() mutable {
    this->Handle(std::move(event));
  });
}

void Driver::Call(engine::CallerRequest request, OnOutcome done) {
  asio::post(this->context, [this, request = std::move(request),
                             done = std::move(done)]() mutable {
    request.call = ++this->last_call;
    this->callers.emplace(request.call, std::move(done));
    this->Handle(std::move(request));
  });
}

void Driver::Call(engine::CancelRequest request, OnOutcome done) {
  asio::post(this->context, [this, request = std::move(request),
                             done = std::move(done)]() mutable {
    request.call = ++this->last_call;
    this->callers.emplace(request.call, std::move(done));
    this->Handle(std::move(request));
  });
}

void Driver::Call(engine::OperatorChange request, OnChange done) {
  asio::post(this->context, [this, request = std::move(request),
                             done = std::move(done)]() mutable {
    request.call = ++this->last_call;
    this->operators.emplace(request.call, std::move(done));
    this->Handle(std::move(request));
  });
}

void Driver::Inspect(std::function<void(const engine::Entry&)> function) {
  asio::post(this->context,
             [this, function = std::move(function)] { function(this->entry); });
}

std::shared_ptr<const config::State> Driver::configuration() const {
  return this->published.load();
}

void Driver::Handle(engine::Event event) {
  engine::Effects effects = this->entry.Step(std::move(event), Now());
  for (engine::Effect& effect : effects) {
    std::visit(EffectVisitor{*this}, effect);
  }
  if (this->published.load() != this->entry.configuration()) {
    this->published.store(this->entry.configuration());
  }
  this->is_ready = this->entry.Ready();
}

void Driver::OnTick() {
  this->Handle(engine::Tick{WallSeconds()});
  this->ReadVmList();
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](const asio::error_code& error) {
    if (!error) {
      this->OnTick();
    }
  });
}

// An instance counts as stopped only if its VM was listed and then was not. So
// new members are looked up at once: one that ends before the next regular read
// would never count, and its permits would stay taken.
void Driver::ReadVmList() {
  const Time now = Now();
  const bool members_changed =
      this->listed_members != this->entry.member_record_version();
  if (this->vm_list_pending || (now < this->next_vm_list && !members_changed)) {
    return;
  }
  this->vm_list_pending = true;
  this->listed_members = this->entry.member_record_version();
  this->next_vm_list = now + kVmListInterval;
  this->parts.control.Send(
      {.url = "http://" + this->parts.platform + "/v1/vms",
       .timeout_ms = kVmListTimeoutMs},
      [this](const net::HttpResult& result) {
        asio::post(this->context, [this, list = ParseVmList(result)]() mutable {
          this->vm_list_pending = false;
          if (list) {
            list->version = ++this->vm_list_version;
            this->Handle(*std::move(list));
          }
        });
      });
}

}  // namespace kch::app
