#include "once/claim_registry.h"

#include <algorithm>
#include <set>

namespace kch::once {
namespace {

using std::chrono::milliseconds;

// Ids and tokens are stored as JSON text; this bounds one entry's size.
constexpr std::size_t kMaxIdBytes = 200;
// With an older view a write would probably conflict with another scheduler's,
// and reads are several times cheaper for the store.
constexpr Duration kMaxViewAge = milliseconds(1000);
// Records unused for this long are dropped from memory: all 64 at their bound
// would take half of an entry's memory.
constexpr Duration kUnusedLifetime = milliseconds(5000);
constexpr Duration kFirstBackoff = milliseconds(20);
constexpr std::uint32_t kMaxBackoffShift = 6;

bool IsValidId(const std::string& text) {
  return !text.empty() && text.size() <= kMaxIdBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c > ' ' && c <= '~'; });
}

}  // namespace

ClaimRegistry::ClaimRegistry(Settings settings, Random::result_type seed)
    : settings(settings), random(seed) {}

std::vector<StoreOp> ClaimRegistry::Claim(const RequestId& request,
                                          const std::string& token,
                                          Time now,
                                          std::int64_t wall_s) {
  std::vector<StoreOp> ops;
  const PendingClaim claim{request, token, now + this->settings.deadline};
  if (!IsValidId(request.str()) || !IsValidId(token)) {
    this->AddResult(claim, ClaimOutcome::kUnavailable, {},
                    ClaimRefusal::kInvalid);
    return ops;
  }
  const std::uint32_t index = BucketOf(request);
  State& state = this->states[index];
  const auto same = [&](const PendingClaim& other) {
    return other.request == request && other.token == token;
  };
  if (std::any_of(state.waiting.begin(), state.waiting.end(), same)) {
    return ops;
  }
  if (std::any_of(state.withdrawn.begin(), state.withdrawn.end(), same)) {
    this->AddResult(claim, ClaimOutcome::kUnknown, {}, ClaimRefusal::kDeadline);
    return ops;
  }
  state.waiting.push_back(claim);
  if (state.has_read) {
    this->ResolveClaims(state, wall_s);
  }
  this->Advance(index, state, now, wall_s, ops);
  return ops;
}

std::vector<StoreOp> ClaimRegistry::OnReply(const StoreReply& reply,
                                            Time now,
                                            std::int64_t wall_s) {
  std::vector<StoreOp> ops;
  const auto index = BucketOfKey(reply.key);
  const auto found = index ? this->states.find(*index) : this->states.end();
  if (found == this->states.end()) {
    return ops;
  }
  State& state = found->second;
  // A claim must not be confirmed after its deadline: a scheduler that was
  // paused for longer than the retention would confirm a purged claim.
  this->FailOverdueClaims(state, now);
  if (reply.is_write) {
    this->OnWriteReply(state, reply, now);
  } else {
    this->OnReadReply(state, reply, now);
  }
  if (state.has_read) {
    this->ResolveClaims(state, wall_s);
  }
  this->Advance(*index, state, now, wall_s, ops);
  return ops;
}

std::vector<StoreOp> ClaimRegistry::Tick(Time now, std::int64_t wall_s) {
  std::vector<StoreOp> ops;
  for (auto& [index, state] : this->states) {
    this->FailOverdueClaims(state, now);
    this->Advance(index, state, now, wall_s, ops);
  }
  std::erase_if(this->states, [&](const auto& entry) {
    const State& state = entry.second;
    return state.waiting.empty() && state.withdrawn.empty() &&
           state.pending_op == PendingOp::kNone &&
           now - state.observed_at > kUnusedLifetime;
  });
  return ops;
}

std::vector<ClaimResult> ClaimRegistry::TakeResults() {
  return std::exchange(this->results, {});
}

std::size_t ClaimRegistry::PendingCount() const {
  std::size_t pending = 0;
  for (const auto& [index, state] : this->states) {
    pending += state.waiting.size();
  }
  return pending;
}

void ClaimRegistry::AddResult(const PendingClaim& claim,
                              ClaimOutcome outcome,
                              std::string other_token,
                              ClaimRefusal refusal) {
  this->results.push_back(
      {claim.request, claim.token, outcome, std::move(other_token), refusal});
}

bool ClaimRegistry::IsExpired(const ClaimEntry& claim,
                              std::int64_t wall_s) const {
  return claim.claimed_at_s + this->settings.retention_s +
             this->settings.clock_margin_s <
         wall_s;
}

void ClaimRegistry::FailOverdueClaims(State& state, Time now) {
  std::erase_if(state.waiting, [&](const PendingClaim& claim) {
    if (now < claim.deadline) {
      return false;
    }
    if (claim.writes == 0) {
      this->AddResult(claim, ClaimOutcome::kUnavailable, {},
                      ClaimRefusal::kDeadline);
    } else {
      this->AddResult(claim, ClaimOutcome::kUnknown, {},
                      ClaimRefusal::kDeadline);
      state.withdrawn.push_back(claim);
    }
    return true;
  });
}

void ClaimRegistry::OnReadReply(State& state,
                                const StoreReply& reply,
                                Time now) {
  if (state.pending_op != PendingOp::kGet) {
    return;
  }
  state.pending_op = PendingOp::kNone;
  if (reply.status != StoreStatus::kOk) {
    state.next_op = now + this->Backoff(state);
    return;
  }
  const std::uint64_t version = reply.value ? reply.version : 0;
  if (version < state.version) {
    state.next_op = now + this->Backoff(state);
    return;
  }
  Bucket bucket;
  if (reply.value) {
    auto decoded = Decode<Bucket>(*reply.value);
    if (!decoded) {
      state.has_read = false;
      state.next_op = now + this->settings.max_backoff;
      return;
    }
    bucket = std::move(*decoded);
  }
  state.failures = 0;
  this->Observe(state, std::move(bucket), version, now);
}

void ClaimRegistry::OnWriteReply(State& state,
                                 const StoreReply& reply,
                                 Time now) {
  if (state.pending_op != PendingOp::kCas) {
    return;
  }
  state.pending_op = PendingOp::kNone;
  if (reply.status == StoreStatus::kOk && reply.version > state.version) {
    state.failures = 0;
    this->Observe(state, std::move(state.pending_bucket), reply.version, now);
  } else if (reply.status == StoreStatus::kUnavailable) {
    for (auto* claims : {&state.waiting, &state.withdrawn}) {
      for (PendingClaim& claim : *claims) {
        claim.writes -= claim.in_flight ? 1 : 0;
      }
    }
    state.next_op = now + this->Backoff(state);
  } else {
    // A conflict does not prove that the write had no effect: the client may
    // have repeated a write whose first reply was lost.
    state.stale = true;
    state.next_op = now + this->Backoff(state);
  }
  for (auto* claims : {&state.waiting, &state.withdrawn}) {
    for (PendingClaim& claim : *claims) {
      claim.in_flight = false;
    }
  }
}

// Applies a version that is not older than the known one. Writes from an older
// version took effect before it or never will.
void ClaimRegistry::Observe(State& state,
                            Bucket bucket,
                            std::uint64_t version,
                            Time now) {
  state.stale = false;
  state.observed_at = now;
  if (state.has_read && version == state.version) {
    return;
  }
  state.has_read = true;
  const bool newer = version > state.version;
  state.version = version;
  state.bucket = std::move(bucket);
  if (!newer) {
    return;
  }
  for (auto* claims : {&state.waiting, &state.withdrawn}) {
    for (PendingClaim& claim : *claims) {
      claim.writes = 0;
      claim.in_flight = false;
    }
  }
  std::erase_if(state.withdrawn, [&](const PendingClaim& claim) {
    const ClaimEntry* entry = state.bucket.Find(claim.request);
    return entry == nullptr || entry->token != claim.token;
  });
}

void ClaimRegistry::ResolveClaims(State& state, std::int64_t wall_s) {
  std::erase_if(state.waiting, [&](const PendingClaim& claim) {
    const ClaimEntry* entry = state.bucket.Find(claim.request);
    if (entry == nullptr) {
      return false;
    }
    if (entry->token == claim.token) {
      this->AddResult(claim, ClaimOutcome::kClaimed, {}, ClaimRefusal::kNone);
      return true;
    }
    const bool to_be_removed =
        this->IsExpired(*entry, wall_s) ||
        std::any_of(state.withdrawn.begin(), state.withdrawn.end(),
                    [&](const PendingClaim& other) {
                      return other.request == claim.request &&
                             other.token == entry->token;
                    });
    if (to_be_removed) {
      return false;
    }
    this->AddResult(claim, ClaimOutcome::kTaken, entry->token,
                    ClaimRefusal::kNone);
    return true;
  });
}

Duration ClaimRegistry::Backoff(State& state) {
  const Duration bound = std::min(
      this->settings.max_backoff,
      Duration(kFirstBackoff * (std::int64_t{1} << std::min(
                                    state.failures, kMaxBackoffShift))));
  ++state.failures;
  return Duration(std::uniform_int_distribution<Duration::rep>(
      bound.count() / 4, bound.count())(this->random));
}

// Builds the next write and returns whether it is needed.
bool ClaimRegistry::MakeBatch(State& state,
                              Bucket& batch,
                              std::int64_t wall_s) {
  batch = state.bucket;
  std::erase_if(batch.claims, [&](const ClaimEntry& entry) {
    return this->IsExpired(entry, wall_s);
  });
  // A write that changes nothing still prevents earlier writes from the same
  // version from taking effect.
  bool needed = !state.withdrawn.empty();
  for (const PendingClaim& claim : state.withdrawn) {
    std::erase_if(batch.claims, [&](const ClaimEntry& entry) {
      return entry.request == claim.request && entry.token == claim.token;
    });
  }
  std::size_t bytes = Encode(batch).size();
  std::set<RequestId> claimed;
  for (const ClaimEntry& entry : batch.claims) {
    claimed.insert(entry.request);
  }
  std::erase_if(state.waiting, [&](PendingClaim& claim) {
    if (claimed.contains(claim.request)) {
      return false;
    }
    ClaimEntry entry{claim.request, claim.token, wall_s};
    const std::size_t added = EncodedSize(entry);
    if (bytes + added > this->settings.max_record_bytes) {
      if (claim.writes > 0) {
        return false;
      }
      this->AddResult(claim, ClaimOutcome::kUnavailable, {},
                      ClaimRefusal::kFull);
      return true;
    }
    bytes += added;
    claimed.insert(claim.request);
    batch.claims.push_back(std::move(entry));
    claim.in_flight = true;
    needed = true;
    return false;
  });
  return needed;
}

void ClaimRegistry::Advance(std::uint32_t index,
                            State& state,
                            Time now,
                            std::int64_t wall_s,
                            std::vector<StoreOp>& ops) {
  if (state.pending_op != PendingOp::kNone || now < state.next_op ||
      (state.waiting.empty() && state.withdrawn.empty())) {
    return;
  }
  if (!state.has_read || state.stale || now - state.observed_at > kMaxViewAge) {
    state.pending_op = PendingOp::kGet;
    ops.emplace_back(StoreGet{KeyOf(index)});
    return;
  }
  Bucket batch;
  if (!this->MakeBatch(state, batch, wall_s)) {
    return;
  }
  for (PendingClaim& claim : state.waiting) {
    claim.writes += claim.in_flight ? 1 : 0;
  }
  ops.emplace_back(StoreCas{KeyOf(index), state.version, Encode(batch)});
  state.pending_op = PendingOp::kCas;
  state.pending_bucket = std::move(batch);
  state.next_op = now + this->settings.write_interval;
}

}  // namespace kch::once
