#include "lead/ownership.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

namespace kch::lead {

std::string Encode(const OwnerRecord& record) {
  return nlohmann::json{{"instance", record.instance},
                        {"incarnation", record.incarnation},
                        {"address", record.address},
                        {"bus_address", record.bus_address}}
      .dump();
}

Result<OwnerRecord> DecodeOwner(std::string_view text, std::uint64_t revision) {
  try {
    const auto row = nlohmann::json::parse(text);
    return OwnerRecord{.instance = row.at("instance"),
                       .incarnation = row.at("incarnation"),
                       .address = row.at("address"),
                       .bus_address = row.value("bus_address", ""),
                       .revision = revision};
  } catch (const std::exception& error) {
    return Fail(
        ErrorKind::kCorrupt,
        std::string("owner record cannot be decoded: ") + error.what(),
        "wait for its lease to expire; the next owner writes a new record");
  }
}

std::string Encode(const LastOwner& last) {
  auto row = nlohmann::json::parse(Encode(last.owner));
  row["revision"] = last.owner.revision;
  row["followers"] = last.followers;
  row["predecessor_ms"] = ToMs(last.predecessor_orders);
  if (last.ended) {
    row["ended"] = true;
  }
  if (last.handed_over) {
    row["handed_over"] = true;
  }
  return row.dump();
}

Result<LastOwner> DecodeLastOwner(std::string_view text) {
  const auto row = nlohmann::json::parse(text, nullptr, false);
  if (!row.is_object() || !row.contains("revision") ||
      !row["revision"].is_number_unsigned()) {
    return Fail(ErrorKind::kCorrupt, "record of the last owner has no revision",
                "wait for the next owner, which writes a new record");
  }
  auto owner = DecodeOwner(text, row["revision"].get<std::uint64_t>());
  if (!owner) {
    return tl::unexpected(owner.error());
  }
  LastOwner last{.owner = *std::move(owner), .followers = {}};
  if (const auto wait = row.find("predecessor_ms");
      wait != row.end() && wait->is_number_integer()) {
    const Duration left = std::chrono::milliseconds(std::clamp<std::int64_t>(
        wait->get<std::int64_t>(), 0, ToMs(kPredecessorWait)));
    last.predecessor_orders = left;
  }
  const auto is_set = [&row](const char* name) {
    const auto found = row.find(name);
    return found != row.end() && found->is_boolean() && found->get<bool>();
  };
  last.ended = is_set("ended");
  last.handed_over = is_set("handed_over");
  // Owners of earlier versions store no followers.
  if (const auto names = row.find("followers");
      names != row.end() && names->is_array()) {
    for (const auto& name : *names) {
      if (name.is_string()) {
        last.followers.insert(name.get<std::string>());
      }
    }
  }
  return last;
}

Duration CandidateDelay(double cores, const std::string& incarnation) {
  constexpr std::size_t jitter_steps = 64;
  const double jitter =
      static_cast<double>(std::hash<std::string>()(incarnation) %
                          jitter_steps) /
      (2.0 * jitter_steps);
  const double wait =
      static_cast<double>(kCandidateDelay.count()) * (1 + jitter) / cores;
  return std::min(kMaxCandidateDelay,
                  Duration(static_cast<Duration::rep>(wait)));
}

Ownership::Ownership(OwnerRecord self, Duration claim_delay)
    : record(std::move(self)), claim_delay(claim_delay) {}

void Ownership::BecomeFollower(Time claim_at) {
  this->state = State::kFollower;
  this->claim_scheduled = true;
  this->next_claim = claim_at;
}

void Ownership::BecomeOwner(std::uint64_t revision, Time now) {
  this->gained_counted_fence = std::exchange(this->counted_fence, 0);
  this->last_owner.reset();
  this->next_self.reset();
  this->leases_granted_until = Time();
  this->stored_self.reset();
  this->new_self.reset();
  this->self_unsure = false;
  this->handed_over = false;
  this->follower_leases = {};
  this->record.revision = revision;
  this->observed_record = this->record;
  this->record_seen_at = std::max(this->record_seen_at, revision);
  this->state = State::kOwner;
  this->valid_until = this->lease_sent + kOwnerLease;
  this->outage_until = Time();
  this->renewals_fail = false;
  this->next_renewal = now;
  this->renewing = false;
  this->renewal_sent = Time();
  this->failed_renewal = Time();
  this->effects.emplace_back(OwnershipGained{revision});
}

// An owner that this process has not seen since then has stored itself as the
// last one before its first order, or has given none.
bool Ownership::IsCountedBy(const LastOwner& last,
                            std::uint64_t counted_by,
                            Time now) const {
  return counted_by != 0 && last.owner.revision == counted_by &&
         now < this->counted_until;
}

// What this process waited for in its last term may still be under way. A claim
// that is carried out late may follow the grant of a lease. Processes that are
// cut off or start anew do not join this owner, but may claim the fleet as soon
// as the store answers them, so the owner has to know them from its
// predecessors.
void Ownership::OnLastOwner(const std::optional<LastOwner>& last, Time now) {
  this->last_owner = last;
  if (last) {
    std::set<std::string> expected = last->followers;
    expected.insert(last->owner.instance);
    expected.erase(this->record.instance);
    this->follower_leases.Expect(expected, now);
  }
  this->next_self = now;
  const bool own_term =
      last && last->owner.incarnation == this->record.incarnation;
  const bool ended =
      last && (last->ended || last->owner.instance == this->record.instance);
  const bool counted =
      last && this->IsCountedBy(*last, this->gained_counted_fence, now);
  Time until = std::max(now, this->no_claim_until);
  if (own_term) {
    until = std::max(until, this->predecessor_until);
  } else if (last && !ended && !counted) {
    until = now + kPredecessorWait;
  }
  this->handed_on_until = own_term ? until : now;
  if (last && !own_term) {
    this->handed_on_until = now + last->predecessor_orders;
    until = std::max(until, this->handed_on_until);
  }
  this->predecessor_until = until;
}

// The owner before may itself have waited for an earlier one, which goes on.
bool Ownership::OnJoined(const std::string& instance,
                         const std::string& incarnation,
                         Time now) {
  if (!this->last_owner || this->last_owner->owner.instance != instance ||
      this->last_owner->owner.incarnation == incarnation) {
    return false;
  }
  const Time end = std::max(now, this->handed_on_until);
  if (end >= this->predecessor_until) {
    return false;
  }
  this->predecessor_until = end;
  return true;
}

// A newcomer would hold work back at VMs that it does not reach, so the others
// go first.
void Ownership::OnLastOwnerRead(const LastOwner& last, Time now) {
  if (this->state == State::kFollower && this->claim_scheduled &&
      last.owner.instance != this->record.instance && !last.ended &&
      !this->IsCountedBy(last, this->counted_fence, now)) {
    this->next_claim =
        std::max(this->next_claim, now + kNewcomerDelay + this->claim_delay);
  }
}

void Ownership::OnLastOwnerStored(StoreCallResult result, Time now) {
  if (!this->new_self) {
    return;
  }
  const bool stored = result == StoreCallResult::kOk;
  this->self_unsure = result == StoreCallResult::kUnknown;
  if (stored) {
    this->follower_leases.OnListed(this->new_self->followers);
    this->stored_self = std::move(this->new_self);
  }
  this->new_self.reset();
  this->next_self = now + (stored ? kListingInterval : kListingRetryInterval);
}

// The first record is repeated until it is known, since the takeover waits for
// it. Changes can wait while the store is away.
void Ownership::StoreSelf(Time now) {
  if (this->state != State::kOwner || this->new_self || !this->next_self ||
      now < *this->next_self || (this->stored_self && this->renewals_fail)) {
    return;
  }
  LastOwner self{.owner = this->record,
                 .followers = this->follower_leases.Listing(now),
                 .predecessor_orders =
                     std::max(Duration::zero(), this->predecessor_until - now)};
  // A successor counts the wait from when it reads it.
  const auto same = [&self](const LastOwner& stored) {
    const Duration aged = stored.predecessor_orders - self.predecessor_orders;
    return self.followers == stored.followers &&
           (self.predecessor_orders > Duration::zero()
                ? aged < kWaitListingStep
                : aged == Duration::zero());
  };
  if (this->stored_self && same(*this->stored_self)) {
    this->next_self = now + kListingInterval;
    return;
  }
  this->follower_leases.OnListing(self.followers);
  this->effects.emplace_back(StoreLastOwner{self});
  this->new_self = std::move(self);
}

bool Ownership::MayOrder(Time now) const {
  if (!this->owner() || now < this->valid_until) {
    return this->owner();
  }
  return now < this->outage_until && now < this->valid_until + kMaxOutage &&
         now < this->follower_leases.held_until();
}

void Ownership::OnSuspended() {
  this->counted_fence = 0;
}

void Ownership::OnOwnerContact(std::uint64_t fence, Time now) {
  if (this->observed_record && this->observed_record->revision == fence) {
    this->counted_fence = fence;
    this->counted_until = now + kCountedTime;
  }
}

// Once the record is observed to be gone, the fleet is open to claims and the
// owner gets no further lease.
bool Ownership::GrantLease(std::uint64_t fence, Time now) {
  if (this->state != State::kFollower || !this->observed_record ||
      this->observed_record->revision != fence) {
    return false;
  }
  this->no_claim_until = now + kFollowerLease + kFollowerLeaseMargin;
  return true;
}

void Ownership::LoseOwnership(const std::string& reason, Time now) {
  this->effects.emplace_back(OwnershipLost{reason});
  this->BecomeFollower(now + kClaimRetryInterval + this->claim_delay);
}

// News of the record come by a watch, by lists and by reads, and may overtake
// each other. The removal of an earlier term's record says nothing of this one.
bool Ownership::OnRecord(const std::optional<OwnerRecord>& observed,
                         std::uint64_t seen_at,
                         Time now) {
  if (seen_at < this->record_seen_at) {
    return false;
  }
  this->record_seen_at = seen_at;
  this->ApplyRecord(observed, now);
  return true;
}

void Ownership::ApplyRecord(const std::optional<OwnerRecord>& observed,
                            Time now) {
  this->record_read = true;
  const bool is_own =
      observed && observed->incarnation == this->record.incarnation;
  if (this->state == State::kOwner) {
    if (!observed) {
      // The lease has expired. The next claim gets a higher fencing token.
      this->observed_record = observed;
      this->LoseOwnership("record_removed", now);
    } else if (!is_own) {
      this->observed_record = observed;
      this->LoseOwnership("other_owner", now);
    }
    return;
  }
  this->observed_record = observed;
  if (this->state == State::kResigned || this->state == State::kCreatingLease) {
    return;
  }
  if (is_own && observed->revision == this->record.revision) {
    if (this->handed_over) {
      return;
    }
    // The record belongs to a term that this process has given up. Replies to
    // calls of that term may still arrive, so the next term requires a fencing
    // token of its own.
    this->effects.emplace_back(EndLease{this->lease});
    this->BecomeFollower(now + this->claim_delay);
    return;
  }
  const bool claiming =
      this->state == State::kClaiming || this->state == State::kVerifyingClaim;
  if (is_own && claiming && observed->lease == this->lease) {
    // A claim whose reply was lost has taken effect.
    this->BecomeOwner(observed->revision, now);
    return;
  }
  if (is_own) {
    // A claim that was given up has been carried out late. Its lease is not the
    // one that this process would renew.
    this->effects.emplace_back(EndLease{observed->lease});
  }
  if (this->state == State::kVerifyingClaim ||
      (this->state == State::kClaiming && observed)) {
    // The claim has not taken effect. A write that is executed later is
    // bounded by the lease, which ends here.
    this->effects.emplace_back(EndLease{this->lease});
    this->BecomeFollower(now + this->claim_delay);
    return;
  }
  if (this->state == State::kClaiming) {
    return;
  }
  // An earlier process of this instance has certainly terminated, so its record
  // is replaced without waiting for its lease to expire.
  if (!observed || observed->instance == this->record.instance) {
    // Followers grant leases at different times but observe the end of the
    // record together, so candidates count their delays from there.
    const Duration granted = now < this->no_claim_until
                                 ? kFollowerLease + kFollowerLeaseMargin
                                 : Duration::zero();
    this->BecomeFollower(now + granted + this->claim_delay);
    if (!observed) {
      this->effects.emplace_back(ReadLastOwner{});
    }
  } else {
    this->claim_scheduled = false;
  }
}

// The record of a claim that has not taken effect does not change, so no news
// of it follows that would end the wait.
void Ownership::OnRecordUnread(Time now) {
  if (this->state == State::kVerifyingClaim) {
    this->next_read = now + kClaimRetryInterval;
  }
}

void Ownership::OnLease(StoreCallResult result, std::uint64_t id, Time now) {
  if (this->state != State::kCreatingLease) {
    if (result == StoreCallResult::kOk) {
      this->effects.emplace_back(EndLease{id});
    }
    return;
  }
  if (result != StoreCallResult::kOk) {
    this->BecomeFollower(now + kClaimRetryInterval + this->claim_delay);
    return;
  }
  if (this->observed_record &&
      this->observed_record->instance != this->record.instance) {
    // Another candidate has claimed first; its record must not be overwritten.
    this->effects.emplace_back(EndLease{id});
    this->state = State::kFollower;
    this->claim_scheduled = false;
    return;
  }
  this->lease = id;
  this->state = State::kClaiming;
  this->effects.emplace_back(ClaimRecord{
      id, this->observed_record ? this->observed_record->revision : 0,
      this->record});
}

void Ownership::OnClaim(std::uint64_t claimed_under,
                        StoreCallResult result,
                        std::uint64_t revision,
                        Time now) {
  if (this->state != State::kClaiming || claimed_under != this->lease) {
    return;
  }
  switch (result) {
    case StoreCallResult::kOk:
      this->BecomeOwner(revision, now);
      break;
    case StoreCallResult::kUnknown:
      this->state = State::kVerifyingClaim;
      this->next_read.reset();
      this->effects.emplace_back(ReadRecord{});
      break;
    case StoreCallResult::kRefused:
    case StoreCallResult::kConflict:
    case StoreCallResult::kMissing:
      this->effects.emplace_back(EndLease{this->lease});
      this->BecomeFollower(now + kClaimRetryInterval + this->claim_delay);
      this->effects.emplace_back(ReadRecord{});
      break;
  }
}

void Ownership::OnRenewal(std::uint64_t renewed,
                          StoreCallResult result,
                          Time sent,
                          Time now) {
  if (this->state != State::kOwner || renewed != this->lease) {
    return;
  }
  const bool latest = sent >= this->renewal_sent;
  if (result == StoreCallResult::kOk) {
    this->valid_until = std::max(this->valid_until, sent + kOwnerLease);
    this->renewals_fail = false;
    // The renewal that counted as failed has not, so there is no outage.
    if (sent >= this->failed_renewal) {
      this->outage_until = Time();
    }
    if (latest) {
      this->renewing = false;
      this->next_renewal = sent + kRenewInterval;
    }
  } else if (result == StoreCallResult::kMissing) {
    this->observed_record.reset();
    this->LoseOwnership("lease_ended", now);
  } else if (latest) {
    this->RenewalFailed(now);
  }
}

// While the store is unavailable no instance can take over, so the owner
// continues. It may also be cut off by itself, so it needs the leases of its
// followers. A process that was paused past its lease does not know whether the
// store was unavailable all the while.
void Ownership::RenewalFailed(Time now) {
  this->renewing = false;
  this->failed_renewal = this->renewal_sent;
  if (now < std::max(this->valid_until, this->outage_until)) {
    this->outage_until = now + kOwnerLease;
  }
  this->renewals_fail = true;
  this->next_renewal = now + kRenewRetryInterval;
}

void Ownership::OnSuperseded(Time now) {
  if (this->state == State::kOwner) {
    this->LoseOwnership("fenced", now);
    this->effects.emplace_back(ReadRecord{});
  }
}

// This owner as one that orders nothing more. It is stored already.
LastOwner Ownership::EndedSelf(Time now) const {
  LastOwner last = *this->stored_self;
  last.predecessor_orders =
      std::max(Duration::zero(), this->predecessor_until - now);
  last.ended = true;
  return last;
}

// A successor relies on the record of an owner that has ended, which replaces
// the one that is known here, and followers that have granted a lease claim
// only after it.
bool Ownership::HandOver(Time now) {
  if (!this->HoldsValidLease(now) || this->renewals_fail ||
      !this->stored_self || this->new_self || this->self_unsure ||
      now < this->leases_granted_until) {
    return false;
  }
  LastOwner last = this->EndedSelf(now);
  last.handed_over = true;
  this->effects.emplace_back(OwnershipLost{"handed_over"});
  this->effects.emplace_back(StoreEnd{std::move(last), this->lease});
  this->no_claim_until = std::max(this->no_claim_until, now + kHandoverPause);
  this->handed_over = true;
  // If the end of the lease is lost, others see an owner until it is over.
  this->BecomeFollower(this->valid_until + kHandoverPause + this->claim_delay);
  return true;
}

void Ownership::Resign(Time now) {
  if (this->state == State::kOwner) {
    this->effects.emplace_back(OwnershipLost{"shutdown"});
    if (this->stored_self) {
      this->effects.emplace_back(StoreEnd{this->EndedSelf(now), this->lease});
    } else {
      this->effects.emplace_back(EndLease{this->lease});
    }
  }
  this->state = State::kResigned;
}

void Ownership::Tick(Time now) {
  if (this->state == State::kFollower && this->claim_scheduled &&
      this->record_read &&
      now >= std::max(this->next_claim, this->no_claim_until)) {
    if (this->observed_record &&
        this->observed_record->instance != this->record.instance) {
      this->claim_scheduled = false;
      return;
    }
    this->claim_scheduled = false;
    this->state = State::kCreatingLease;
    this->lease_sent = now;
    this->effects.emplace_back(CreateLease{});
  }
  if (this->state == State::kVerifyingClaim && this->next_read &&
      now >= *this->next_read) {
    this->next_read.reset();
    this->effects.emplace_back(ReadRecord{});
  }
  // A renewal without an answer counts as failed, but stays open: one that is
  // answered while the lease that it gave lasts still counts.
  if (this->state == State::kOwner && this->renewing &&
      now - this->renewal_sent >= kRenewTimeout) {
    this->RenewalFailed(now);
  }
  if (this->state == State::kOwner && !this->renewing &&
      now >= this->next_renewal) {
    this->renewing = true;
    this->renewal_sent = now;
    this->effects.emplace_back(RenewLease{this->lease, now});
  }
  this->follower_leases.Tick(now);
  this->StoreSelf(now);
  if (this->state == State::kOwner && this->renewals_fail &&
      now >= this->next_lease_request) {
    this->next_lease_request = now + kFollowerLeaseInterval;
    this->leases_granted_until = now + kFollowerLease + kFollowerLeaseMargin;
    this->effects.emplace_back(RequestFollowerLeases{});
  }
}

std::vector<Effect> Ownership::TakeEffects() {
  return std::exchange(this->effects, {});
}

}  // namespace kch::lead
