#include "app/fleet/relay_worker.h"

#include <algorithm>
#include <utility>

#include "wire/relay_codec.h"

namespace kch::app {
namespace {

using net::BootMs;
using net::Now;

// Replies that arrive within this time share a message.
constexpr int kFlushMs = 8;
// A process that has carried nothing for this long reports less often.
constexpr auto kIdleAfter = std::chrono::seconds(3);

bool IsFenced(const relay::Reply& reply) {
  if (const auto* start = std::get_if<relay::StartReply>(&reply)) {
    return start->answer == jobs::StartAnswer::kFenced;
  }
  const auto* look = std::get_if<relay::PollReply>(&reply);
  return look != nullptr && look->outcome == relay::PollOutcome::kFenced;
}

}  // namespace

RelayWorker::RelayWorker(relay::Report self, Parts parts)
    : parts(parts), self(std::move(self)) {}

// Until there is a successor, an owner whose record has gone may still give
// orders.
void RelayWorker::Follow(const std::optional<lead::OwnerRecord>& next) {
  const std::lock_guard lock(this->mutex);
  if (!next || next->revision <= this->self.fence) {
    return;
  }
  this->self.fence = next->revision;
  this->guard.OnFenceObserved(next->revision);
  this->answers.clear();
  if (!this->left.empty() && this->left != next->instance) {
    this->parts.bus.Drop(InstanceId(this->left));
  }
  this->left = this->owner ? this->owner->instance : "";
  this->owner.reset();
  if (!this->left.empty()) {
    // An owner that cannot reach the store learns of its successor here.
    this->Send({}, this->left);
  }
  if (next->instance != this->self.instance.str() &&
      !next->bus_address.empty()) {
    this->owner = next;
    this->next_report = Time();
    this->parts.bus.Connect(InstanceId(next->instance), next->bus_address);
  }
}

void RelayWorker::Stop() {
  const std::lock_guard lock(this->mutex);
  this->owner.reset();
}

relay::BatchVerdict RelayWorker::Carry(const relay::OrderBatch& orders) {
  relay::BatchVerdict verdict = relay::BatchVerdict::kStale;
  {
    const std::lock_guard lock(this->mutex);
    verdict = this->guard.Check(orders, BootMs());
    if (!orders.calls.empty()) {
      this->last_orders = Now();
      this->next_report = std::min(this->next_report,
                                   this->last_orders + relay::kReportInterval);
    }
  }
  for (const relay::Call& call : orders.calls) {
    switch (verdict) {
      case relay::BatchVerdict::kAccept:
        this->parts.metrics.Count("relayed_calls");
        this->parts.vms.Carry(call.order, orders.fence,
                              [this, number = call.number,
                               fence = orders.fence](relay::Reply reply) {
                                this->Add(fence, {number, std::move(reply)});
                              });
        break;
      case relay::BatchVerdict::kStale:
        this->Add(orders.fence, {call.number, relay::NotSentToVm{}});
        break;
      case relay::BatchVerdict::kFenced:
        this->Add(orders.fence, {call.number, relay::FencedReply(call.order)});
        break;
    }
  }
  if (verdict != relay::BatchVerdict::kAccept) {
    net::LogEvent("relay_refused",
                  {{"reason", std::string(NameOf(verdict))},
                   {"fence", std::to_string(orders.fence)},
                   {"calls", std::to_string(orders.calls.size())}});
  }
  return verdict;
}

void RelayWorker::ReportGrant(std::uint64_t fence,
                              std::int64_t lease_request_ms) {
  const std::lock_guard lock(this->mutex);
  if (this->owner && this->owner->revision == fence) {
    this->Send({}, this->owner->instance, lease_request_ms);
  }
}

void RelayWorker::Add(std::uint64_t fence, relay::CallReply answer) {
  {
    const std::lock_guard lock(this->mutex);
    if (IsFenced(answer.reply)) {
      this->guard.OnFenceRejected(fence);
    }
    if (!this->owner || this->owner->revision != fence) {
      return;  // the call was another owner's
    }
    this->answers.push_back(std::move(answer));
    if (std::exchange(this->flush_set, true)) {
      return;
    }
  }
  this->parts.client.Delay(kFlushMs, [this] { this->Flush(); });
}

// Every report tells the clock, so that the owner's orders can be dated.
void RelayWorker::Send(std::vector<relay::CallReply> with,
                       const std::string& to,
                       std::int64_t lease_granted_ms) {
  relay::Report report = this->self;
  report.lease_granted_ms = lease_granted_ms;
  report.clock_ms = BootMs();
  report.replies = std::move(with);
  this->parts.bus.Send(InstanceId(to),
                       wire::Encode(relay::Message(std::move(report))));
}

void RelayWorker::Flush() {
  const std::lock_guard lock(this->mutex);
  this->flush_set = false;
  if (!this->owner) {
    return;
  }
  this->Send(std::exchange(this->answers, {}), this->owner->instance);
  const Time now = Now();
  this->next_report =
      now + (now - this->last_orders < kIdleAfter ? relay::kReportInterval
                                                  : relay::kIdleReportInterval);
}

void RelayWorker::Tick(Time now) {
  {
    const std::lock_guard lock(this->mutex);
    if (!this->owner || now < this->next_report) {
      return;
    }
  }
  this->Flush();
}

void RelayWorker::BeginShutdown() {
  {
    const std::lock_guard lock(this->mutex);
    this->self.leaving = true;
  }
  this->Flush();
}

}  // namespace kch::app
