#include "relay/relay_pool.h"

#include <algorithm>
#include <utility>

#include "relay/batch_filter.h"

namespace kch::relay {
namespace {

// A relay ends a call at the latest after the call's own wait and this time;
// its reply is under way by then.
constexpr auto kCallTimeout = std::chrono::milliseconds(1100);
// A relay that answers other calls is slow, so a call through it is given up
// this much later.
constexpr auto kSlowRelayTime = std::chrono::milliseconds(1100);
// The same for a poll, less twice its wait. Until it is sent again, a VM holds
// the lease from the poll before, which waited as long. The lease of 4 s has to
// outlast both waits, kCallTimeout, this time, and the way of the second poll.
constexpr auto kSlowPollTime = std::chrono::milliseconds(2600);
// A relay answers a poll within this time or never.
constexpr auto kLateReportTime = std::chrono::seconds(10);
// Interval of the search for overdue calls, which looks at all open ones.
constexpr auto kOverdueCheckInterval = std::chrono::milliseconds(50);
// Time before a failed relay may be activated again.
constexpr auto kRelayRetryDelay = std::chrono::milliseconds(3000);
// Time in which a process that shuts down is expected to restart; it is not
// activated before. A member without contact for this long is removed.
constexpr auto kLeavingRelayDelay = std::chrono::seconds(30);
// A longer gap between two ticks is a stall of this process, which then reads
// reports and replies late that arrived in time.
constexpr auto kStallThreshold = std::chrono::milliseconds(150);

Duration PollWaitOf(const Order& order) {
  const auto* look = std::get_if<jobs::PollVm>(&order);
  return std::chrono::milliseconds(look == nullptr ? 0 : look->wait_ms);
}

// Time after its deadline at which a call through a slow relay is given up.
Duration SlowTimeOf(const Order& order) {
  return std::clamp<Duration>(kSlowPollTime - 2 * PollWaitOf(order),
                              Duration::zero(), kSlowRelayTime);
}

bool IsStart(const Order& order) {
  return std::holds_alternative<jobs::StartRun>(order);
}

// The part of an order that is retained until its reply. Starts are not resent,
// so their payload is not needed.
Order WithoutPayload(const Order& order) {
  if (const auto* start = std::get_if<jobs::StartRun>(&order)) {
    return jobs::StartRun{
        .to = start->to, .task = start->task, .run = start->run};
  }
  return order;
}

}  // namespace

RelayPool::RelayPool(std::uint64_t fence, Time join_until)
    : fence(fence), join_until(join_until) {}

std::size_t RelayPool::RequiredRelays() const {
  return this->vm_count <= kMaxDirectVms
             ? 0
             : (this->vm_count + kVmsPerRelay - 1) / kVmsPerRelay;
}

void RelayPool::SetVmCount(std::size_t count) {
  this->vm_count = count;
}

void RelayPool::RemoveVm(const VmId& vm) {
  const auto found = this->relay_by_vm.find(vm);
  if (found == this->relay_by_vm.end()) {
    return;
  }
  if (const auto member = this->members.find(found->second);
      member != this->members.end()) {
    --member->second.assigned_vms;
  }
  this->relay_by_vm.erase(found);
}

// A process with another incarnation or address has restarted and dropped its
// calls.
void RelayPool::RegisterMember(const Report& report, Time now) {
  const auto known = this->members.find(report.instance);
  if (known != this->members.end() &&
      (known->second.incarnation != report.incarnation ||
       known->second.address != report.address)) {
    known->second.excluded_until =
        Time::max();  // none of its calls is resent to it
    this->FailRelay(report.instance, "restarted", now);
    this->members.erase(known);
  }
  Member& member = this->members[report.instance];
  member.incarnation = report.incarnation;
  member.address = report.address;
  member.last_contact = now;
  member.last_report = now;
  member.cores = report.cores;
  member.clock_ms = std::max(member.clock_ms, report.clock_ms);
  if (!member.connected) {
    member.connected = true;
    this->effects.emplace_back(Connect{report.instance, report.address});
  }
}

void RelayPool::OnReport(const Report& report, Time now) {
  if (report.fence > this->fence) {
    this->effects.emplace_back(Superseded{report.instance});
  }
  // Each owner numbers its calls itself, so replies to another owner do not
  // refer to calls of this one.
  if (report.fence != this->fence) {
    return;
  }
  this->RegisterMember(report, now);
  for (const CallReply& answer : report.replies) {
    if (!this->members.at(report.instance).calls.contains(answer.number)) {
      this->HandleLateReply(answer);
      continue;
    }
    if (!std::holds_alternative<NotSentToVm>(answer.reply)) {
      this->members.at(report.instance).last_reply = now;
      this->Complete(answer.number, answer.reply);
    } else if (IsStart(this->calls.at(answer.number).order)) {
      this->Complete(answer.number,
                     StartReply{jobs::StartAnswer::kNotCarried, 0});
    } else {
      this->Resend(answer.number, now);
    }
  }
  this->members.at(report.instance).leaving = report.leaving;
  if (report.leaving) {
    // It still replies to the calls that it has received.
    this->Deactivate(report.instance, "leaving", now);
    this->members.at(report.instance).excluded_until = now + kLeavingRelayDelay;
  }
}

// A VM lists an end until it is acknowledged, but does not wait for that: a run
// that it has listed as done must not start again.
void RelayPool::HandleLateReply(CallReply answer) {
  const auto found = this->resent_polls.find(answer.number);
  if (found == this->resent_polls.end()) {
    return;
  }
  if (auto* poll = std::get_if<PollReply>(&answer.reply);
      poll != nullptr && poll->outcome == PollOutcome::kReport) {
    this->effects.emplace_back(
        DeliverLateReport{found->second.vm, std::move(poll->report)});
  }
  this->resent_polls.erase(found);
}

void RelayPool::SendBatch(const InstanceId& to, OrderBatch batch, Time now) {
  Member& member = this->members.at(to);
  member.last_batch = now;
  batch.fence = this->fence;
  batch.clock_ms = member.clock_ms;
  this->effects.emplace_back(
      Forward{to, member.incarnation, member.leaving, std::move(batch)});
}

// A batch that is dated by an old report would be refused as stale.
bool RelayPool::AcceptsBatches(const Member& member, Time now) {
  return !member.leaving && now - member.last_contact < kMaxCandidateReportAge;
}

void RelayPool::RequestLeases(std::int64_t request_ms, Time now) {
  for (const auto& [id, member] : this->members) {
    if (AcceptsBatches(member, now)) {
      this->SendBatch(id, {.lease_request_ms = request_ms}, now);
    }
  }
}

void RelayPool::OnReply(CallReply answer) {
  const auto found = this->calls.find(answer.number);
  if (found != this->calls.end()) {
    this->Complete(answer.number, std::move(answer.reply));
  }
}

void RelayPool::Complete(std::uint64_t number, Reply reply) {
  const auto found = this->calls.find(number);
  OpenCall open = std::move(found->second);
  this->calls.erase(found);
  this->open_starts -= IsStart(open.order) ? 1 : 0;
  if (open.relay) {
    if (const auto member = this->members.find(*open.relay);
        member != this->members.end()) {
      member->second.calls.erase(number);
    }
  }
  // A reply of another kind counts as no answer to this order.
  if (reply.index() != UnansweredReply(open.order).index()) {
    reply = UnansweredReply(open.order);
  }
  this->effects.emplace_back(
      DeliverReply{std::move(open.order), std::move(reply), open.submitted_at});
}

void RelayPool::ActivateRelays(Time now) {
  const std::size_t wanted = this->RequiredRelays();
  while (this->active.size() < wanted) {
    // The process that reported last is the most likely to be alive.
    auto candidate = this->members.end();
    for (auto row = this->members.begin(); row != this->members.end(); ++row) {
      const Member& member = row->second;
      if (!this->active.contains(row->first) && now >= member.excluded_until &&
          now - member.last_contact < kMaxCandidateReportAge &&
          (candidate == this->members.end() ||
           member.last_contact > candidate->second.last_contact)) {
        candidate = row;
      }
    }
    if (candidate == this->members.end()) {
      return;
    }
    this->active.insert(candidate->first);
    this->UnassignSurplusVms();
    this->effects.emplace_back(
        LogEvent{"relay_added",
                 {{"relay", candidate->first.str()},
                  {"relays", std::to_string(this->active.size())}}});
  }
}

// The first relay of a new owner is assigned all VMs, since it is the only one;
// later relays take over its surplus.
void RelayPool::UnassignSurplusVms() {
  const std::size_t share =
      (this->vm_count + this->active.size() - 1) / this->active.size();
  std::erase_if(this->relay_by_vm, [&](const auto& row) {
    Member& member = this->members.at(row.second);
    const bool surplus = member.assigned_vms > share;
    member.assigned_vms -= surplus ? 1 : 0;
    return surplus;
  });
}

// A VM stays assigned to its relay, so that connections are reused.
std::optional<InstanceId> RelayPool::RelayOf(const VmId& vm) {
  if (const auto found = this->relay_by_vm.find(vm);
      found != this->relay_by_vm.end()) {
    return found->second;
  }
  if (this->active.empty()) {
    return std::nullopt;
  }
  const InstanceId relay = *std::ranges::min_element(
      this->active, {},
      [this](const auto& id) { return this->members.at(id).assigned_vms; });
  ++this->members.at(relay).assigned_vms;
  this->relay_by_vm.emplace(vm, relay);
  return relay;
}

std::optional<std::size_t> RelayPool::StartRoom() const {
  if (this->RequiredRelays() == 0) {
    return std::nullopt;
  }
  const std::size_t most =
      kMaxOpenStartsPerRelay * std::max<std::size_t>(1, this->active.size());
  return most - std::min(most, this->open_starts);
}

double RelayPool::LargestMember(Time now) const {
  double largest = 0;
  for (const auto& [id, member] : this->members) {
    if (!member.leaving && now - member.last_report < kMaxCandidateReportAge) {
      largest = std::max(largest, member.cores);
    }
  }
  return largest;
}

void RelayPool::Submit(Order order, Time now) {
  this->open_starts += IsStart(order) ? 1 : 0;
  if (this->RequiredRelays() > 0) {
    this->ActivateRelays(now);
    if (this->active.empty() && now < this->join_until) {
      this->queued.emplace_back(std::move(order), now);
      return;
    }
  }
  const std::uint64_t number = ++this->last_call_number;
  this->Send(number, OpenCall{.order = std::move(order), .submitted_at = now},
             now);
}

void RelayPool::Send(std::uint64_t number, OpenCall open, Time now) {
  open.relay = this->RequiredRelays() > 0
                   ? this->RelayOf(DestinationOf(open.order).vm)
                   : std::nullopt;
  open.deadline = now + kCallTimeout + PollWaitOf(open.order);
  Order retained = WithoutPayload(open.order);
  Call call{number, std::exchange(open.order, std::move(retained))};
  if (open.relay) {
    Member& member = this->members.at(*open.relay);
    if (member.calls.empty()) {
      member.last_contact = now;  // it now reports at the shorter interval
    }
    member.calls.insert(number);
    this->batches[*open.relay].push_back(std::move(call));
  } else {
    this->effects.emplace_back(DirectCall{std::move(call)});
  }
  this->calls.insert_or_assign(number, std::move(open));
}

// Assigns no more calls to a relay. Calls that have not been sent to it yet
// remain open like those that have.
void RelayPool::Deactivate(const InstanceId& relay,
                           std::string_view reason,
                           Time now) {
  Member& member = this->members.at(relay);
  if (this->active.erase(relay) == 0) {
    return;
  }
  this->effects.emplace_back(LogEvent{
      "relay_lost",
      {{"relay", relay.str()},
       {"reason", std::string(reason)},
       {"vms", std::to_string(member.assigned_vms)},
       {"calls", std::to_string(member.calls.size())},
       {"heard_ms_ago", std::to_string(ToMs(now - member.last_contact))}}});
  std::erase_if(this->relay_by_vm,
                [&](const auto& row) { return row.second == relay; });
  member.assigned_vms = 0;
  member.excluded_until =
      std::max(member.excluded_until, now + kRelayRetryDelay);
}

void RelayPool::FailRelay(const InstanceId& relay,
                          std::string_view reason,
                          Time now) {
  this->Deactivate(relay, reason, now);
  Member& member = this->members.at(relay);
  member.connected = false;  // its connection may have failed as well
  this->batches.erase(relay);
  this->ActivateRelays(now);
  for (const std::uint64_t number : std::exchange(member.calls, {})) {
    this->GiveUp(number, now);
  }
}

// Uses a new number, so that a late reply to the first call is not taken for
// the reply to the second.
void RelayPool::Resend(std::uint64_t number, Time now) {
  OpenCall open = std::move(this->calls.at(number));
  this->calls.erase(number);
  if (open.relay) {
    this->members.at(*open.relay).calls.erase(number);
  }
  if (auto* look = std::get_if<jobs::PollVm>(&open.order)) {
    this->resent_polls.emplace(number, ResentPoll{look->to.vm, now});
    // Its lease renewal is old, so the next poll must follow soon. The VM may
    // have restarted since the acknowledgement was decided.
    look->wait_ms = 0;
    look->recorded_end = 0;
  }
  this->Send(++this->last_call_number, std::move(open), now);
}

// The time for which this process stalled says nothing about relays. The part
// of a gap up to kStallThreshold still counts: if every pass is slow, there are
// only gaps, and a failed relay must still be detected.
void RelayPool::ExtendDeadlines(Duration stalled) {
  for (auto& [id, member] : this->members) {
    member.last_contact += stalled;
    member.last_report += stalled;
    member.last_reply += stalled;
  }
  for (auto& [number, open] : this->calls) {
    open.deadline += stalled;
  }
}

// A relay that answers nothing any more has failed. One that answers some calls
// is slow: passing it over would move its VMs and calls to the others, which
// are as busy, so that they become late as well.
void RelayPool::FailOverdueRelays(Time now) {
  if (now >= this->next_overdue_check) {
    this->next_overdue_check = now + kOverdueCheckInterval;
    this->GiveUpOverdueCalls(now);
    std::erase_if(this->resent_polls, [now](const auto& row) {
      return now - row.second.resent_at >= kLateReportTime;
    });
  }
  const std::vector<InstanceId> active_relays(this->active.begin(),
                                              this->active.end());
  for (const InstanceId& relay : active_relays) {
    const Member& member = this->members.at(relay);
    if (now - member.last_contact >=
        (member.calls.empty() ? kIdleRelayTimeout : kRelayTimeout)) {
      this->FailRelay(relay, "silent", now);
    }
  }
  for (auto row = this->members.begin(); row != this->members.end();) {
    if (now - row->second.last_contact < kLeavingRelayDelay) {
      ++row;
      continue;
    }
    this->effects.emplace_back(Disconnect{row->first});
    row = this->members.erase(row);
  }
}

void RelayPool::GiveUpOverdueCalls(Time now) {
  std::set<InstanceId> late;
  std::vector<std::uint64_t> given_up;
  for (const auto& [number, open] : this->calls) {
    if (!open.relay || now < open.deadline) {
      continue;
    }
    if (now - this->members.at(*open.relay).last_reply >= kRelayTimeout) {
      late.insert(*open.relay);
    } else if (now >= open.deadline + SlowTimeOf(open.order)) {
      given_up.push_back(number);
    }
  }
  for (const InstanceId& relay : late) {
    this->FailRelay(relay, "late", now);
  }
  for (const std::uint64_t number : given_up) {
    if (this->calls.contains(number)) {
      this->GiveUp(number, now);
    }
  }
}

// The start may still be executed; the VM's next report shows whether it was.
void RelayPool::GiveUp(std::uint64_t number, Time now) {
  if (IsStart(this->calls.at(number).order)) {
    this->Complete(number, StartReply{jobs::StartAnswer::kRelayLost, 0});
  } else {
    this->Resend(number, now);
  }
}

void RelayPool::Tick(Time now) {
  if (this->last_tick != Time() && now - this->last_tick > kStallThreshold) {
    this->ExtendDeadlines(now - this->last_tick - kStallThreshold);
  }
  this->last_tick = now;
  this->FailOverdueRelays(now);
  this->ActivateRelays(now);
  for (const auto& [id, member] : this->members) {
    if (AcceptsBatches(member, now) &&
        now - member.last_batch >= kContactInterval) {
      this->SendBatch(id, {}, now);
    }
  }
  if (!this->active.empty() || now >= this->join_until) {
    for (auto& [order, submitted_at] : std::exchange(this->queued, {})) {
      this->Send(
          ++this->last_call_number,
          OpenCall{.order = std::move(order), .submitted_at = submitted_at},
          now);
    }
  }
}

std::vector<Effect> RelayPool::TakeEffects() {
  for (auto& [relay, batch] : this->batches) {
    this->SendBatch(relay, {.calls = std::move(batch)}, this->last_tick);
  }
  this->batches.clear();
  return std::exchange(this->effects, {});
}

}  // namespace kch::relay
