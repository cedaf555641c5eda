#include "relay/roster.h"

#include <algorithm>
#include <utility>

#include "relay/guard.h"

namespace kch::relay {
namespace {

// A relay gives a call up by itself, at the latest after the call's own wait
// and this time; then its answer is on the way.
constexpr auto kCallTime = std::chrono::milliseconds(1100);
// Pause before a lost relay is chosen again.
constexpr auto kPause = std::chrono::milliseconds(3000);
// A process that shuts down is not chosen until it has started anew.
constexpr auto kLeavingPause = std::chrono::seconds(30);
// A longer gap between two ticks is a stall of this process, which then finds
// reports and answers late that were in time.
constexpr auto kStall = std::chrono::milliseconds(150);

Duration WaitOf(const Order& order) {
  const auto* look = std::get_if<jobs::LookAt>(&order);
  return std::chrono::milliseconds(look == nullptr ? 0 : look->wait_ms);
}

bool IsStart(const Order& order) {
  return std::holds_alternative<jobs::StartRun>(order);
}

// What stays here of an order while a relay carries it out. Starts are not
// repeated, so their text need not be kept.
Order WithoutText(const Order& order) {
  if (const auto* start = std::get_if<jobs::StartRun>(&order)) {
    return jobs::StartRun{
        .to = start->to, .task = start->task, .run = start->run};
  }
  return order;
}

}  // namespace

Roster::Roster(std::uint64_t fence, Time join_until)
    : fence(fence), join_until(join_until) {}

std::size_t Roster::Wanted() const {
  return this->vm_count <= kDirectVms
             ? 0
             : (this->vm_count + kVmsPerRelay - 1) / kVmsPerRelay;
}

void Roster::SetVmCount(std::size_t count) {
  this->vm_count = count;
}

void Roster::ForgetVm(const VmId& vm) {
  const auto found = this->assigned.find(vm);
  if (found == this->assigned.end()) {
    return;
  }
  if (const auto member = this->members.find(found->second);
      member != this->members.end()) {
    --member->second.vms;
  }
  this->assigned.erase(found);
}

// A process that left, or started anew, has broken its calls off.
void Roster::Join(const Report& report, Time now) {
  const auto known = this->members.find(report.instance);
  if (known != this->members.end() &&
      (known->second.incarnation != report.incarnation ||
       known->second.address != report.address)) {
    known->second.barred_until = Time::max();  // gets none of the calls back
    this->Lose(report.instance, "restarted", now);
    this->members.erase(known);
  }
  Member& member = this->members[report.instance];
  member.incarnation = report.incarnation;
  member.address = report.address;
  member.heard = now;
  member.clock_ms = std::max(member.clock_ms, report.clock_ms);
  if (!member.connected) {
    member.connected = true;
    this->effects.emplace_back(Connect{report.instance, report.address});
  }
}

void Roster::OnReport(const Report& report, Time now) {
  if (report.fence > this->fence) {
    this->effects.emplace_back(Superseded{report.instance});
  }
  // Numbers of calls are an owner's own, so a report to another one says
  // nothing about calls of this one.
  if (report.fence != this->fence) {
    return;
  }
  this->Join(report, now);
  for (const Answer& answer : report.answers) {
    if (!this->members.at(report.instance).calls.contains(answer.number)) {
      continue;
    }
    if (!std::holds_alternative<NotCarried>(answer.reply)) {
      this->Finish(answer.number, answer.reply);
    } else if (IsStart(this->calls.at(answer.number).order)) {
      this->Finish(answer.number,
                   StartReply{jobs::StartAnswer::kNotCarried, 0});
    } else {
      this->Repeat(answer.number, now);
    }
  }
  if (report.leaving) {
    // It still answers what it was given.
    this->Retire(report.instance, "leaving", now);
    this->members.at(report.instance).barred_until = now + kLeavingPause;
  }
}

void Roster::OnAnswer(Answer answer) {
  const auto found = this->calls.find(answer.number);
  if (found != this->calls.end()) {
    this->Finish(answer.number, std::move(answer.reply));
  }
}

void Roster::Finish(std::uint64_t number, Reply reply) {
  const auto found = this->calls.find(number);
  Open open = std::move(found->second);
  this->calls.erase(found);
  if (open.relay) {
    if (const auto member = this->members.find(*open.relay);
        member != this->members.end()) {
      member->second.calls.erase(number);
    }
  }
  // A reply of another kind is none to this order.
  if (reply.index() != LostReply(open.order).index()) {
    reply = LostReply(open.order);
  }
  this->effects.emplace_back(
      Deliver{std::move(open.order), std::move(reply), open.given});
}

void Roster::FillServing(Time now) {
  const std::size_t wanted = this->Wanted();
  while (this->serving.size() < wanted) {
    // The one heard last is the surest to be alive.
    auto free = this->members.end();
    for (auto row = this->members.begin(); row != this->members.end(); ++row) {
      const Member& member = row->second;
      if (!this->serving.contains(row->first) && now >= member.barred_until &&
          now - member.heard < kCandidateSilence &&
          (free == this->members.end() || member.heard > free->second.heard)) {
        free = row;
      }
    }
    if (free == this->members.end()) {
      return;
    }
    this->serving.insert(free->first);
    this->ShedSurplus();
    this->effects.emplace_back(
        Note{"relay_added",
             {{"relay", free->first.str()},
              {"relays", std::to_string(this->serving.size())}}});
  }
}

// The first relay of a new owner is given all VMs, since it is the only one.
void Roster::ShedSurplus() {
  const std::size_t share =
      (this->vm_count + this->serving.size() - 1) / this->serving.size();
  std::erase_if(this->assigned, [&](const auto& row) {
    Member& member = this->members.at(row.second);
    const bool surplus = member.vms > share;
    member.vms -= surplus ? 1 : 0;
    return surplus;
  });
}

// A VM stays with its relay, so that connections are kept.
std::optional<InstanceId> Roster::RelayOf(const VmId& vm) {
  if (const auto found = this->assigned.find(vm);
      found != this->assigned.end()) {
    return found->second;
  }
  if (this->serving.empty()) {
    return std::nullopt;
  }
  const InstanceId relay = *std::ranges::min_element(
      this->serving, {},
      [this](const auto& id) { return this->members.at(id).vms; });
  ++this->members.at(relay).vms;
  this->assigned.emplace(vm, relay);
  return relay;
}

void Roster::Give(Order order, Time now) {
  if (this->Wanted() > 0) {
    this->FillServing(now);
    if (this->serving.empty() && now < this->join_until) {
      this->held.emplace_back(std::move(order), now);
      return;
    }
  }
  const std::uint64_t number = ++this->last_number;
  this->Send(number, Open{.order = std::move(order), .given = now}, now);
}

void Roster::Send(std::uint64_t number, Open open, Time now) {
  open.relay = this->Wanted() > 0 ? this->RelayOf(DestinationOf(open.order).vm)
                                  : std::nullopt;
  open.due = now + kCallTime + WaitOf(open.order);
  Order kept = WithoutText(open.order);
  Call call{number, std::exchange(open.order, std::move(kept))};
  if (open.relay) {
    Member& member = this->members.at(*open.relay);
    if (member.calls.empty()) {
      member.heard = now;  // from now on it reports at the shorter interval
    }
    member.calls.insert(number);
    this->batches[*open.relay].push_back(std::move(call));
  } else {
    this->effects.emplace_back(CallHere{std::move(call)});
  }
  this->calls.insert_or_assign(number, std::move(open));
}

// Gives a relay no more calls. Calls that have not left for it yet are open
// like those that have.
void Roster::Retire(const InstanceId& relay,
                    std::string_view reason,
                    Time now) {
  Member& member = this->members.at(relay);
  if (this->serving.erase(relay) == 0) {
    return;
  }
  this->effects.emplace_back(
      Note{"relay_lost",
           {{"relay", relay.str()},
            {"reason", std::string(reason)},
            {"vms", std::to_string(member.vms)},
            {"calls", std::to_string(member.calls.size())},
            {"heard_ms_ago", std::to_string(ToMs(now - member.heard))}}});
  std::erase_if(this->assigned,
                [&](const auto& row) { return row.second == relay; });
  member.vms = 0;
  member.barred_until = std::max(member.barred_until, now + kPause);
}

void Roster::Lose(const InstanceId& relay, std::string_view reason, Time now) {
  this->Retire(relay, reason, now);
  Member& member = this->members.at(relay);
  member.connected = false;  // its connection may be dead as well
  this->batches.erase(relay);
  this->FillServing(now);
  for (const std::uint64_t number : std::exchange(member.calls, {})) {
    if (IsStart(this->calls.at(number).order)) {
      // It may still be carried out; a report settles it.
      this->Finish(number, StartReply{jobs::StartAnswer::kRelayLost, 0});
    } else {
      this->Repeat(number, now);
    }
  }
}

// Under a new number, so that a late answer to the call is none to its repeat.
void Roster::Repeat(std::uint64_t number, Time now) {
  Open open = std::move(this->calls.at(number));
  this->calls.erase(number);
  if (open.relay) {
    this->members.at(*open.relay).calls.erase(number);
  }
  if (auto* look = std::get_if<jobs::LookAt>(&open.order)) {
    // Its renewal is old, so the next look must follow soon. Its VM may have
    // restarted since the acknowledgement was decided.
    look->wait_ms = 0;
    look->last_seen = 0;
  }
  this->Send(++this->last_number, std::move(open), now);
}

// The time that this process stood still says nothing about relays. A part of
// each gap counts all the same: with long passes there are only gaps, and a
// relay that is gone must still be noticed.
void Roster::Excuse(Duration stalled) {
  for (auto& [id, member] : this->members) {
    member.heard += stalled;
  }
  for (auto& [number, open] : this->calls) {
    open.due += stalled;
  }
}

void Roster::LoseOverdue(Time now) {
  std::set<InstanceId> late;
  for (const auto& [number, open] : this->calls) {
    if (open.relay && now >= open.due) {
      late.insert(*open.relay);
    }
  }
  for (const InstanceId& relay : late) {
    this->Lose(relay, "late", now);
  }
  const std::vector<InstanceId> chosen(this->serving.begin(),
                                       this->serving.end());
  for (const InstanceId& relay : chosen) {
    const Member& member = this->members.at(relay);
    if (now - member.heard >=
        (member.calls.empty() ? kIdleSilence : kRelaySilence)) {
      this->Lose(relay, "silent", now);
    }
  }
  for (auto row = this->members.begin(); row != this->members.end();) {
    if (now - row->second.heard < kLeavingPause) {
      ++row;
      continue;
    }
    this->effects.emplace_back(Disconnect{row->first});
    row = this->members.erase(row);
  }
}

void Roster::Tick(Time now) {
  if (this->last_tick != Time() && now - this->last_tick > kStall) {
    this->Excuse(now - this->last_tick - kStall);
  }
  this->last_tick = now;
  this->LoseOverdue(now);
  this->FillServing(now);
  if (!this->serving.empty() || now >= this->join_until) {
    for (auto& [order, given] : std::exchange(this->held, {})) {
      this->Send(++this->last_number,
                 Open{.order = std::move(order), .given = given}, now);
    }
  }
}

std::vector<Effect> Roster::Take() {
  for (auto& [relay, batch] : this->batches) {
    this->effects.emplace_back(
        Forward{relay, Orders{.fence = this->fence,
                              .clock_ms = this->members.at(relay).clock_ms,
                              .calls = std::move(batch)}});
  }
  this->batches.clear();
  return std::exchange(this->effects, {});
}

}  // namespace kch::relay
