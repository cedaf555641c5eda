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
        std::string("the owner's record is unreadable: ") + error.what(),
        "wait for its lease to end; a new owner writes it anew");
  }
}

Duration CandidateDelay(double cores, const std::string& incarnation) {
  constexpr std::size_t steps = 64;
  const double spread =
      static_cast<double>(std::hash<std::string>()(incarnation) % steps) /
      (2.0 * steps);
  const double wait =
      static_cast<double>(kCandidateDelay.count()) * (1 + spread) / cores;
  return std::min(kMaxCandidateDelay,
                  Duration(static_cast<Duration::rep>(wait)));
}

Ownership::Ownership(OwnerRecord self, Duration delay)
    : record(std::move(self)), delay(delay) {}

void Ownership::Follow(Time retry) {
  this->state = State::kFollower;
  this->waiting = true;
  this->next_try = retry;
}

void Ownership::Own(std::uint64_t revision, Time now) {
  this->record.revision = revision;
  this->current = this->record;
  this->state = State::kOwner;
  this->valid_until = this->lease_sent + kOwnerLease;
  this->next_renewal = now;
  this->renewing = false;
  this->effects.emplace_back(OwnershipGained{revision});
}

void Ownership::Lose(const std::string& reason, Time now) {
  this->effects.emplace_back(OwnershipLost{reason});
  this->Follow(now + kRetryInterval + this->delay);
}

void Ownership::OnRecord(const std::optional<OwnerRecord>& seen, Time now) {
  this->looked = true;
  const bool mine = seen && seen->incarnation == this->record.incarnation;
  if (this->state == State::kOwner) {
    if (!seen) {
      // The lease ran out. Whoever claims next gets a higher fence.
      this->current = seen;
      this->Lose("record_removed", now);
    } else if (!mine) {
      this->current = seen;
      this->Lose("other_owner", now);
    }
    return;
  }
  this->current = seen;
  if (this->state == State::kResigned || this->state == State::kLeasing) {
    return;
  }
  if (mine && seen->revision == this->record.revision) {
    // A term that this process has given up. Answers to its calls may still
    // come, so the next one needs a fence of its own.
    this->effects.emplace_back(EndLease{this->lease});
    this->Follow(now + this->delay);
    return;
  }
  if (mine) {
    // A claim whose answer was lost has taken effect.
    this->Own(seen->revision, now);
    return;
  }
  if (this->state == State::kChecking ||
      (this->state == State::kClaiming && seen)) {
    // Not claimed by us so far; the lease bounds a write that comes late.
    this->effects.emplace_back(EndLease{this->lease});
    this->Follow(now + this->delay);
    return;
  }
  if (this->state == State::kClaiming) {
    return;
  }
  // An earlier process of this instance is gone for certain, so its record need
  // not run out first.
  if (!seen || seen->instance == this->record.instance) {
    this->Follow(now + this->delay);
  } else {
    this->waiting = false;
  }
}

void Ownership::OnLease(StoreCallResult answer, std::uint64_t id, Time now) {
  if (this->state != State::kLeasing) {
    if (answer == StoreCallResult::kOk) {
      this->effects.emplace_back(EndLease{id});
    }
    return;
  }
  if (answer != StoreCallResult::kOk) {
    this->Follow(now + kRetryInterval + this->delay);
    return;
  }
  if (this->current && this->current->instance != this->record.instance) {
    // Another candidate was faster; its record must not be overwritten.
    this->effects.emplace_back(EndLease{id});
    this->state = State::kFollower;
    this->waiting = false;
    return;
  }
  this->lease = id;
  this->state = State::kClaiming;
  this->effects.emplace_back(ClaimRecord{
      id, this->current ? this->current->revision : 0, this->record});
}

void Ownership::OnClaim(StoreCallResult answer,
                        std::uint64_t revision,
                        Time now) {
  if (this->state != State::kClaiming) {
    return;
  }
  switch (answer) {
    case StoreCallResult::kOk:
      this->Own(revision, now);
      break;
    case StoreCallResult::kUnknown:
      this->state = State::kChecking;
      this->effects.emplace_back(ReadRecord{});
      break;
    case StoreCallResult::kRefused:
    case StoreCallResult::kConflict:
    case StoreCallResult::kMissing:
      this->effects.emplace_back(EndLease{this->lease});
      this->Follow(now + kRetryInterval + this->delay);
      this->effects.emplace_back(ReadRecord{});
      break;
  }
}

void Ownership::OnRenewal(StoreCallResult answer, Time sent, Time now) {
  if (this->state != State::kOwner) {
    return;
  }
  this->renewing = false;
  if (answer == StoreCallResult::kOk) {
    this->valid_until = sent + kOwnerLease;
    this->next_renewal = sent + kRenewInterval;
  } else if (answer == StoreCallResult::kMissing) {
    this->current.reset();
    this->Lose("lease_ended", now);
  } else {
    // With the store away nobody can take over, so the owner goes on: its
    // fence stays the highest until a successor has written its record.
    this->next_renewal = now + kRenewRetry;
  }
}

void Ownership::OnSuperseded(Time now) {
  if (this->state == State::kOwner) {
    this->Lose("fenced", now);
    this->effects.emplace_back(ReadRecord{});
  }
}

void Ownership::Resign(Time /*now*/) {
  if (this->state == State::kOwner) {
    this->effects.emplace_back(OwnershipLost{"shutdown"});
    this->effects.emplace_back(EndLease{this->lease});
  }
  this->state = State::kResigned;
}

void Ownership::Tick(Time now) {
  if (this->state == State::kFollower && this->waiting && this->looked &&
      now >= this->next_try) {
    if (this->current && this->current->instance != this->record.instance) {
      this->waiting = false;
      return;
    }
    this->waiting = false;
    this->state = State::kLeasing;
    this->lease_sent = now;
    this->effects.emplace_back(CreateLease{});
  }
  if (this->state == State::kOwner && !this->renewing &&
      now >= this->next_renewal) {
    this->renewing = true;
    this->effects.emplace_back(RenewLease{this->lease});
  }
}

std::vector<Effect> Ownership::TakeEffects() {
  return std::exchange(this->effects, {});
}

}  // namespace kch::lead
