#include "permit/agent.h"

#include <algorithm>
#include <utility>

namespace kch::permit {
namespace {

using std::chrono::milliseconds;

// Spreads writes that no queued work waits for, so that other instances observe
// one instance's write before they make the same one.
constexpr Duration kDeferredWriteSpread = milliseconds(500);
// A write based on an older view is preceded by a read, unless queued work
// waits for it and watch events keep the view fresh: a read takes one call, a
// conflict costs a write and delays the next one by the write interval.
constexpr Duration kMaxViewAge = milliseconds(1000);
// Time for a peer to receive a request and to write the transfer.
constexpr Duration kTransferTime = milliseconds(60);
constexpr Duration kFirstPollInterval = milliseconds(250);
constexpr Duration kFirstBackoff = milliseconds(100);
constexpr Duration kSetLimitSpread = milliseconds(200);
constexpr std::uint32_t kMaxBackoffShift = 6;
// Conflicting writers spread over up to 8 write intervals.
constexpr std::uint32_t kMaxConflictShift = 3;

// A limit that the record does not have yet.
bool LimitDiffers(const std::optional<std::uint32_t>& limit,
                  std::uint64_t revision,
                  const Record& record) {
  return limit && revision > record.cap_revision && *limit != record.cap;
}

}  // namespace

Agent::Agent(Holder self, Settings settings, Random::result_type seed)
    : self(std::move(self)), settings(settings), random(seed) {}

const Agent::State* Agent::Find(const Subject& subject) const {
  const auto found = this->states.find(subject);
  return found == this->states.end() ? nullptr : &found->second;
}

Agent::State& Agent::GetOrCreate(const Subject& subject, Time now) {
  const auto [found, is_new] = this->states.try_emplace(subject);
  if (is_new) {
    found->second.peak_since = now;
    found->second.next_write = now;
    found->second.next_poll = now;
    found->second.next_transfer_request = now;
    found->second.observed_at = now;
  }
  return found->second;
}

std::uint32_t Agent::OwnCount(const State& state) const {
  if (!state.record) {
    return 0;
  }
  const Holding* own = state.record->Find(this->self);
  return own == nullptr ? 0 : own->count;
}

bool Agent::OwnRetired(const State& state) const {
  if (!state.record) {
    return false;
  }
  const Holding* own = state.record->Find(this->self);
  return own != nullptr && own->retired;
}

// Others only raise this holder's count, so the smallest count among the known
// version and the own writes that may follow it bounds every possible version.
std::uint32_t Agent::Usable(const State& state) const {
  if (state.corrupt_version > state.version || this->OwnRetired(state)) {
    return 0;
  }
  std::uint32_t usable = this->OwnCount(state);
  for (const Write& write : state.unresolved_writes) {
    usable = std::min(usable, write.usable);
  }
  return usable;
}

std::uint32_t Agent::Spare(const State& state) const {
  const std::uint32_t usable = this->Usable(state);
  const std::uint32_t needed =
      this->releasing ? state.busy : std::max(state.busy, state.wanted);
  return usable > needed && !Blocked(state) ? usable - needed : 0;
}

bool Agent::IsStopped(const Holder& holder) const {
  if (holder.instance == this->self.instance) {
    return holder.incarnation < this->self.incarnation;
  }
  const auto found = this->stopped.find(holder.instance);
  return found != this->stopped.end() && holder.incarnation <= found->second;
}

bool Agent::Blocked(const State& state) {
  return state.record &&
         LimitDiffers(state.limit, state.limit_revision, *state.record) &&
         *state.limit < state.record->cap;
}

std::uint64_t Agent::Excess(const State& state) {
  if (!Blocked(state)) {
    return 0;
  }
  const std::uint64_t sum = state.record->Sum();
  return sum > *state.limit ? sum - *state.limit : 0;
}

bool Agent::CanAcquire(const State& state) const {
  return !this->releasing && !state.unverified && !Blocked(state) &&
         state.busy < this->Usable(state);
}

Duration Agent::Jitter(Duration bound) {
  if (bound <= Duration(0)) {
    return Duration(0);
  }
  return Duration(std::uniform_int_distribution<Duration::rep>(
      0, bound.count())(this->random));
}

bool Agent::CanAcquire(const Subject& subject) const {
  const State* state = this->Find(subject);
  return state != nullptr && this->CanAcquire(*state);
}

bool Agent::TryAcquire(const Subject& subject) {
  if (!this->CanAcquire(subject)) {
    return false;
  }
  ++this->states.at(subject).busy;
  return true;
}

bool Agent::TryAcquireBoth(const Subject& first, const Subject& second) {
  if (first == second || !this->CanAcquire(first) ||
      !this->CanAcquire(second)) {
    return false;
  }
  return this->TryAcquire(first) && this->TryAcquire(second);
}

std::uint32_t Agent::Busy(const Subject& subject) const {
  const State* state = this->Find(subject);
  return state == nullptr ? 0 : state->busy;
}

std::uint32_t Agent::Usable(const Subject& subject) const {
  const State* state = this->Find(subject);
  return state == nullptr ? 0 : this->Usable(*state);
}

std::uint32_t Agent::Spare(const Subject& subject) const {
  const State* state = this->Find(subject);
  return state == nullptr ? 0 : this->Spare(*state);
}

bool Agent::Blocked(const Subject& subject) const {
  const State* state = this->Find(subject);
  return state != nullptr && (state->unverified || Blocked(*state));
}

std::uint64_t Agent::Excess(const Subject& subject) const {
  const State* state = this->Find(subject);
  return state == nullptr ? 0 : Excess(*state);
}

std::vector<Subject> Agent::Subjects() const {
  std::vector<Subject> subjects;
  subjects.reserve(this->states.size());
  for (const auto& [subject, state] : this->states) {
    subjects.push_back(subject);
  }
  return subjects;
}

Effects Agent::SetLimit(const Subject& subject,
                        std::uint32_t limit,
                        std::uint64_t revision,
                        Time now) {
  Effects effects;
  State& state = this->GetOrCreate(subject, now);
  if (state.limit && revision <= state.limit_revision) {
    return effects;
  }
  const bool changed = state.limit != limit;
  // The cap may have been raised above the new limit since the last read.
  state.unverified = state.unverified || (state.limit && limit < *state.limit);
  state.limit = limit;
  state.limit_revision = revision;
  if (changed && state.has_read) {
    state.poll_interval = Duration(0);
    this->ScheduleRead(state, now + this->Jitter(kSetLimitSpread));
  }
  this->Advance(subject, state, now, effects);
  return effects;
}

Effects Agent::SetDemand(const Subject& subject,
                         std::uint32_t wanted,
                         Time now) {
  Effects effects;
  State& state = this->GetOrCreate(subject, now);
  this->UpdatePeaks(state, now);
  if (wanted > state.wanted) {
    state.poll_interval = Duration(0);
    state.next_poll = std::min(state.next_poll, now + kFirstPollInterval);
  }
  state.wanted = wanted;
  state.recent_peak = std::max(state.recent_peak, wanted);
  this->Advance(subject, state, now, effects);
  return effects;
}

Effects Agent::ReturnPermit(const Subject& subject, Time now) {
  Effects effects;
  State& state = this->GetOrCreate(subject, now);
  if (state.busy > 0) {
    --state.busy;
  }
  this->Advance(subject, state, now, effects);
  return effects;
}

Effects Agent::OnTransferRequest(const Subject& subject,
                                 const Holder& requester,
                                 std::uint32_t count,
                                 Time now) {
  Effects effects;
  if (requester.instance == this->self.instance || this->IsStopped(requester)) {
    return effects;
  }
  State& state = this->GetOrCreate(subject, now);
  std::erase_if(state.transfer_requests, [&](const TransferRequest& request) {
    return request.requester.instance == requester.instance;
  });
  state.transfer_requests.push_back(
      {requester, count, now + this->settings.transfer_request_lifetime});
  this->Advance(subject, state, now, effects);
  return effects;
}

void Agent::OnPeerIdle(const Holder& peer,
                       const Subject& subject,
                       std::uint32_t idle) {
  const auto found = this->states.find(subject);
  if (found == this->states.end() || peer.instance == this->self.instance) {
    return;
  }
  auto& peers = found->second.peer_idle;
  std::erase_if(peers, [&](const auto& entry) {
    return entry.first.instance == peer.instance;
  });
  if (idle > 0 && !this->IsStopped(peer)) {
    peers.emplace(peer, idle);
  }
}

Effects Agent::Retire(const Holder& holder, Time now) {
  Effects effects;
  if (holder.instance == this->self.instance) {
    return effects;
  }
  auto& highest = this->stopped[holder.instance];
  highest = std::max(highest, holder.incarnation);
  for (auto& [subject, state] : this->states) {
    std::erase_if(state.peer_idle, [&](const auto& entry) {
      return this->IsStopped(entry.first);
    });
    std::erase_if(state.transfer_requests, [&](const TransferRequest& request) {
      return this->IsStopped(request.requester);
    });
    // The view may predate a transfer to the holder, so it is read again.
    this->ScheduleRead(state, now + this->Jitter(this->settings.retire_spread));
  }
  return effects;
}

Effects Agent::Adopt(const Subject& subject,
                     const Holder& from,
                     std::uint32_t count,
                     Time now) {
  Effects effects;
  State& state = this->GetOrCreate(subject, now);
  if (count > 0) {
    const auto same =
        std::find_if(state.adoptions.begin(), state.adoptions.end(),
                     [&](const Adoption& item) { return item.from == from; });
    if (same != state.adoptions.end()) {
      same->count += count;
    } else {
      state.adoptions.push_back({from, count});
    }
    this->ScheduleRead(state, now);
  }
  this->Advance(subject, state, now, effects);
  return effects;
}

Effects Agent::ReleaseAll(Time now) {
  this->releasing = true;
  return this->Tick(now);
}

bool Agent::AllReleased() const {
  return this->releasing &&
         std::all_of(
             this->states.begin(), this->states.end(), [&](const auto& entry) {
               const State& state = entry.second;
               return state.busy == 0 && state.unresolved_writes.empty() &&
                      this->OwnCount(state) == 0;
             });
}

Effects Agent::Tick(Time now) {
  Effects effects;
  for (auto& [subject, state] : this->states) {
    this->UpdatePeaks(state, now);
    std::erase_if(state.transfer_requests, [&](const TransferRequest& request) {
      return request.expires <= now;
    });
    this->Advance(subject, state, now, effects);
  }
  return effects;
}

Effects Agent::OnReply(const StoreReply& reply, Time now) {
  Effects effects;
  const auto subject = SubjectOf(reply.key);
  const auto found = subject ? this->states.find(*subject) : this->states.end();
  if (found == this->states.end()) {
    return effects;
  }
  State& state = found->second;
  if (reply.is_write) {
    this->OnWriteReply(*subject, state, reply, now, effects);
  } else {
    this->OnReadReply(*subject, state, reply, now, effects);
  }
  this->Advance(*subject, state, now, effects);
  return effects;
}

void Agent::OnReadReply(const Subject& subject,
                        State& state,
                        const StoreReply& reply,
                        Time now,
                        Effects& effects) {
  const bool is_event = state.pending_op != PendingOp::kGet;
  if (!is_event) {
    state.pending_op = PendingOp::kNone;
  }
  if (reply.status != StoreStatus::kOk) {
    this->ScheduleRead(state, now + this->Backoff(state));
    return;
  }
  state.failures = 0;
  const std::uint64_t version = reply.value ? reply.version : 0;
  if ((state.has_read && version < state.version) ||
      version < state.corrupt_version) {
    // A late event, or a read from a store node that lags.
    if (state.stale || !state.has_read) {
      this->ScheduleRead(state, now + this->Backoff(state));
    }
    return;
  }
  if (is_event && version > state.version) {
    state.watch_active = true;
  }
  if (!reply.value) {
    this->Observe(subject, state, std::nullopt, 0, now, effects);
    return;
  }
  auto record = Decode<Record>(*reply.value);
  if (!record) {
    // The own count in this version is unknown, so nothing may start.
    state.corrupt_version = version;
    this->ScheduleRead(state, now + this->settings.max_backoff);
    return;
  }
  this->Observe(subject, state, std::move(*record), version, now, effects);
}

// Applies a version that is not older than the known one.
void Agent::Observe(const Subject& subject,
                    State& state,
                    std::optional<Record> record,
                    std::uint64_t version,
                    Time now,
                    Effects& effects) {
  const bool newer = !state.has_read || version > state.version;
  state.has_read = true;
  state.stale = false;
  state.unverified = false;
  state.observed_at = now;
  if (newer) {
    // Writes from an older version took effect before this one or never will.
    std::vector<Write> settled = std::move(state.unresolved_writes);
    state.unresolved_writes.clear();
    state.record = std::move(record);
    state.version = version;
    state.deferred_write_at.reset();
    const Holding* own =
        state.record ? state.record->Find(this->self) : nullptr;
    for (const Write& write : settled) {
      if (own == nullptr || own->write_number != write.number) {
        continue;
      }
      for (const Adoption& done : write.adoptions) {
        state.busy += done.count;
        for (Adoption& adoption : state.adoptions) {
          if (adoption.from == done.from) {
            adoption.count -= std::min(adoption.count, done.count);
          }
        }
        effects.emplace_back(Adopted{subject, done.from, done.count});
      }
    }
    std::map<Holder, Time> marked;
    if (state.record) {
      for (const Holding& holding : state.record->holdings) {
        if (holding.retired) {
          const auto seen = state.retired_since.find(holding.holder);
          marked.emplace(holding.holder, seen == state.retired_since.end()
                                             ? now
                                             : seen->second);
        }
      }
    }
    state.retired_since = std::move(marked);
  }
  this->RemoveFinishedAdoptions(subject, state, effects);
}

void Agent::RemoveFinishedAdoptions(const Subject& subject,
                                    State& state,
                                    Effects& effects) {
  std::erase_if(state.adoptions, [&](const Adoption& adoption) {
    if (adoption.count == 0) {
      return true;
    }
    if (state.record && state.record->Find(adoption.from) != nullptr) {
      return false;
    }
    effects.emplace_back(
        AdoptionFailed{subject, adoption.from, adoption.count});
    return true;
  });
}

void Agent::OnWriteReply(const Subject& subject,
                         State& state,
                         const StoreReply& reply,
                         Time now,
                         Effects& effects) {
  if (state.pending_op != PendingOp::kCas) {
    return;
  }
  state.pending_op = PendingOp::kNone;
  if (state.pending_base_version != state.version ||
      state.unresolved_writes.empty()) {
    return;  // a newer version was read meanwhile and settled the write
  }
  switch (reply.status) {
    case StoreStatus::kOk:
      state.failures = 0;
      state.conflicts = 0;
      if (reply.version > state.version) {
        Record written = state.unresolved_writes.back().record;
        this->Observe(subject, state, std::move(written), reply.version, now,
                      effects);
      }
      return;
    case StoreStatus::kUnavailable:
      state.unresolved_writes.pop_back();
      state.next_write = std::max(state.next_write, now + this->Backoff(state));
      return;
    case StoreStatus::kUnknown:
      state.stale = true;
      this->ScheduleRead(
          state,
          now + (state.failures == 0 ? Duration(0) : this->Backoff(state)));
      return;
    case StoreStatus::kConflict:
      // A conflict does not prove that the write had no effect: the client may
      // have repeated a write whose first reply was lost.
      state.stale = true;
      state.watch_active =
          state.watch_active && now - state.observed_at <= kMaxViewAge;
      this->ScheduleRead(state, now);
      state.next_write =
          std::max(state.next_write,
                   now + this->settings.write_interval / 2 +
                       this->Jitter(this->settings.write_interval *
                                    (std::int64_t{1} << state.conflicts)));
      state.conflicts = std::min(state.conflicts + 1, kMaxConflictShift);
      return;
  }
}

Duration Agent::Backoff(State& state) {
  const Duration bound = std::min(
      this->settings.max_backoff,
      Duration(kFirstBackoff * (std::int64_t{1} << std::min(
                                    state.failures, kMaxBackoffShift))));
  ++state.failures;
  return bound / 2 + this->Jitter(bound / 2);
}

void Agent::ScheduleRead(State& state, Time when) const {
  state.next_read = state.next_read ? std::min(*state.next_read, when) : when;
}

void Agent::UpdatePeaks(State& state, Time now) const {
  if (now - state.peak_since < this->settings.idle_window) {
    return;
  }
  state.earlier_peak = state.recent_peak;
  state.recent_peak = std::max(state.wanted, state.busy);
  state.peak_since = now;
}

void Agent::MarkRetired(Record& record) const {
  for (Holding& holding : record.holdings) {
    holding.retired = holding.retired || this->IsStopped(holding.holder);
  }
}

// Tasks of a stopped holder run at most until their leases end. The retired
// mark was written before it was first observed, so the wait may start at that
// observation.
void Agent::Reclaim(const State& state, Record& record, Time now) const {
  std::erase_if(record.holdings, [&](const Holding& holding) {
    const auto seen = state.retired_since.find(holding.holder);
    return holding.retired && seen != state.retired_since.end() &&
           now - seen->second >=
               this->settings.max_task_lease + this->settings.reclaim_margin;
  });
}

std::uint32_t Agent::MoveAdopted(const State& state, Plan& plan) const {
  std::uint32_t moved = 0;
  Record& record = plan.write.record;
  for (const Adoption& adoption : state.adoptions) {
    Holding* from = record.Find(adoption.from);
    if (from == nullptr || !from->retired || from->holder == this->self) {
      continue;
    }
    const std::uint32_t count = std::min(adoption.count, from->count);
    if (count == 0) {
      continue;
    }
    from->count -= count;
    moved += count;
    plan.write.adoptions.push_back({adoption.from, count});
  }
  return moved;
}

// Moves idle permits to requesters and returns the own count that remains.
std::uint32_t Agent::MoveRequested(const State& state,
                                   Record& record,
                                   std::uint32_t own) const {
  const std::uint32_t needed =
      this->releasing ? state.busy : std::max(state.busy, state.wanted);
  for (const TransferRequest& request : state.transfer_requests) {
    const std::uint32_t spare = own > needed ? own - needed : 0;
    const std::uint32_t count = std::min(request.count, spare);
    if (count == 0) {
      continue;
    }
    const bool outdated = std::any_of(
        record.holdings.begin(), record.holdings.end(), [&](const Holding& h) {
          return h.holder.instance == request.requester.instance &&
                 (h.holder.incarnation > request.requester.incarnation ||
                  (h.holder == request.requester && h.retired));
        });
    if (outdated) {
      continue;
    }
    Holding* to = record.Find(request.requester);
    if (to == nullptr) {
      record.holdings.push_back({request.requester, count, false, 0});
    } else {
      to->count += count;
    }
    own -= count;
  }
  return own;
}

std::uint32_t Agent::OwnTargetCount(const State& state,
                                    std::uint32_t own,
                                    std::uint64_t others,
                                    std::uint32_t cap) const {
  if (this->releasing) {
    return state.busy;
  }
  const std::uint64_t sum = others + own;
  if (sum > cap) {
    const std::uint64_t excess = std::min<std::uint64_t>(own, sum - cap);
    return std::max(state.busy, static_cast<std::uint32_t>(own - excess));
  }
  if (state.wanted > own) {
    return own + static_cast<std::uint32_t>(
                     std::min<std::uint64_t>(state.wanted - own, cap - sum));
  }
  const std::uint32_t recent = std::max(
      {state.busy, state.wanted, state.recent_peak, state.earlier_peak});
  return std::min(own, recent);
}

void Agent::SetOwnCount(Record& record, std::uint32_t count) const {
  Holding* own = record.Find(this->self);
  if (own != nullptr) {
    own->count = count;
  } else if (count > 0) {
    record.holdings.push_back({this->self, count, false, 0});
  }
}

// True if MakePlan would find nothing to write. Most subjects are in this state
// at most ticks, and a plan copies the record.
bool Agent::NeedsNoWrite(const State& state) const {
  if (!state.record || this->releasing || !state.transfer_requests.empty() ||
      !state.adoptions.empty() || !state.retired_since.empty() ||
      LimitDiffers(state.limit, state.limit_revision, *state.record)) {
    return false;
  }
  const auto& holdings = state.record->holdings;
  if (std::any_of(holdings.begin(), holdings.end(), [&](const Holding& item) {
        return item.count == 0 || this->IsStopped(item.holder);
      })) {
    return false;
  }
  const std::uint32_t own = this->OwnCount(state);
  return this->OwnTargetCount(state, own, state.record->Sum() - own,
                              state.record->cap) == own;
}

std::optional<Agent::Plan> Agent::MakePlan(const State& state, Time now) const {
  Plan plan;
  Record& record = plan.write.record;
  if (state.record) {
    record = *state.record;
  } else if (state.limit) {
    record.cap = *state.limit;
    record.cap_revision = state.limit_revision;
  } else {
    return std::nullopt;
  }
  const Record before = record;
  const std::uint32_t own_before = this->OwnCount(state);
  const bool differs = LimitDiffers(state.limit, state.limit_revision, record);

  this->MarkRetired(record);
  std::uint32_t own = own_before;
  std::uint32_t adopted = 0;
  if (!this->OwnRetired(state)) {
    adopted = this->MoveAdopted(state, plan);
    if (!Blocked(state)) {
      own = this->MoveRequested(state, record, own);
    }
  }
  this->Reclaim(state, record, now);
  if (!this->OwnRetired(state)) {
    const std::uint32_t own_after_transfers = own;
    this->SetOwnCount(record, 0);
    own = this->OwnTargetCount(state, own, record.Sum() + adopted,
                               differs ? *state.limit : record.cap);
    plan.urgent =
        own > own_after_transfers || own_after_transfers < own_before ||
        adopted > 0 ||
        (own < own_after_transfers && (this->releasing || Blocked(state)));
    this->SetOwnCount(record, own + adopted);
    // A raised limit is written together with the first count that needs it.
    if (differs && *state.limit > record.cap && own > own_after_transfers) {
      record.cap = *state.limit;
      record.cap_revision = state.limit_revision;
    }
  }
  if (differs && *state.limit < record.cap && record.Sum() <= *state.limit) {
    record.cap = *state.limit;
    record.cap_revision = state.limit_revision;
  }
  std::erase_if(record.holdings,
                [](const Holding& holding) { return holding.count == 0; });
  if (record == before || record.Sum() > record.cap) {
    return std::nullopt;
  }
  plan.write.usable = own;
  return plan;
}

void Agent::SendGet(const Subject& subject, State& state, Effects& effects) {
  state.next_read.reset();
  state.pending_op = PendingOp::kGet;
  effects.emplace_back(StoreOp(StoreGet{KeyOf(subject)}));
}

// The write counts as possibly effective from here on, so a lowered count
// applies before the write is sent.
void Agent::SendCas(const Subject& subject,
                    State& state,
                    Plan plan,
                    Time now,
                    Effects& effects) {
  plan.write.number = ++this->last_write_number;
  if (Holding* own = plan.write.record.Find(this->self); own != nullptr) {
    own->write_number = plan.write.number;
  }
  effects.emplace_back(StoreOp(
      StoreCas{KeyOf(subject), state.version, Encode(plan.write.record)}));
  state.unresolved_writes.push_back(std::move(plan.write));
  state.pending_op = PendingOp::kCas;
  state.pending_base_version = state.version;
  state.next_write = now + this->settings.write_interval;
  state.deferred_write_at.reset();
  state.transfer_requests.clear();
}

void Agent::Advance(const Subject& subject,
                    State& state,
                    Time now,
                    Effects& effects) {
  if (state.pending_op != PendingOp::kNone) {
    return;
  }
  if (state.next_read && *state.next_read <= now) {
    this->SendGet(subject, state, effects);
    return;
  }
  if (!state.has_read) {
    if (state.wanted > 0 && (!state.next_read || state.failures == 0)) {
      this->SendGet(subject, state, effects);
    }
    return;
  }
  if (state.stale || state.corrupt_version > state.version) {
    if (!state.next_read) {
      this->SendGet(subject, state, effects);
    }
    return;
  }
  std::optional<Plan> plan;
  if (!this->NeedsNoWrite(state)) {
    plan = this->MakePlan(state, now);
  }
  if (!plan) {
    state.deferred_write_at.reset();
    state.conflicts = 0;
    this->PollForPermits(subject, state, now, effects);
    return;
  }
  if (!plan->urgent) {
    if (!state.deferred_write_at) {
      state.deferred_write_at =
          std::max(now, state.next_write) + this->Jitter(kDeferredWriteSpread);
    }
    if (now < *state.deferred_write_at) {
      return;
    }
  }
  if (now < state.next_write) {
    return;
  }
  if (now - state.observed_at > kMaxViewAge &&
      (!plan->urgent || !state.watch_active)) {
    if (!state.next_read || state.failures == 0) {
      this->SendGet(subject, state, effects);
    }
    return;
  }
  this->SendCas(subject, state, std::move(*plan), now, effects);
}

// Reads the record for permits that others returned or transferred, and
// requests a transfer from the peer with the most idle permits.
void Agent::PollForPermits(const Subject& subject,
                           State& state,
                           Time now,
                           Effects& effects) {
  const std::uint32_t usable = this->Usable(state);
  const bool is_short = !this->releasing && state.wanted > usable;
  const bool blocked = Blocked(state) && (state.wanted > 0 || usable > 0);
  if (!is_short && !blocked && state.adoptions.empty()) {
    state.poll_interval = Duration(0);
    return;
  }
  if (is_short && !blocked && !this->OwnRetired(state) &&
      now >= state.next_transfer_request) {
    const auto peer = std::max_element(
        state.peer_idle.begin(), state.peer_idle.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
    if (peer != state.peer_idle.end() && peer->second > 0) {
      const std::uint32_t count = std::min(state.wanted - usable, peer->second);
      effects.emplace_back(
          RequestTransfer{peer->first.instance, subject, count});
      peer->second -= count;
      state.next_transfer_request =
          now + this->settings.transfer_request_interval;
      this->ScheduleRead(state, now + kTransferTime);
    }
  }
  if (state.poll_interval == Duration(0)) {
    state.poll_interval = kFirstPollInterval;
    state.next_poll =
        now + kFirstPollInterval / 2 + this->Jitter(kFirstPollInterval / 2);
  }
  if (now >= state.next_poll && (!state.next_read || state.failures == 0)) {
    const Duration interval =
        std::min(state.poll_interval * 2, this->settings.max_poll_interval);
    state.poll_interval = interval;
    state.next_poll = now + interval / 2 + this->Jitter(interval / 2);
    this->SendGet(subject, state, effects);
  }
}

}  // namespace kch::permit
