#include "config/proposer.h"

#include <algorithm>
#include <utility>

#include "config/limits.h"

namespace kch::config {
namespace {

// The state after the head's changes up to a revision; null if the head does
// not continue from the given state.
Result<std::shared_ptr<const State>> Extend(
    const std::shared_ptr<const State>& from,
    const Head& head,
    std::uint64_t until) {
  if (from == nullptr || from->revision < head.base_revision ||
      from->revision > until) {
    return nullptr;
  }
  if (from->revision == until) {
    return from;
  }
  auto next = std::make_shared<State>(*from);
  for (const LoggedChange& change : head.changes) {
    if (change.revision <= next->revision || change.revision > until) {
      continue;
    }
    if (auto applied = Apply(*next, change); !applied) {
      return tl::make_unexpected(applied.error());
    }
  }
  return next;
}

Error Unresolved(const std::string& change_id) {
  return Error{ErrorKind::kUnknownOutcome,
               "change " + change_id +
                   " may have taken effect: the store was lost before the "
                   "outcome could be read",
               "repeat the change with the same change id: it takes effect at "
               "most once and the answer names its revision"};
}

Error NotApplied(const std::string& change_id) {
  return Error{
      ErrorKind::kUnavailable,
      "change " + change_id +
          " was not applied by this attempt: the store did not answer in "
          "time",
      "repeat the change once the store is back"};
}

}  // namespace

ProposerEffects Proposer::Propose(Proposal proposal, Time now) {
  ProposerEffects effects;
  const auto reject = [&](Error error) {
    effects.finished.push_back(
        {proposal.change_id, Rejected{std::move(error)}});
  };
  if (auto valid = ValidateChangeId(proposal.change_id); !valid) {
    reject(std::move(valid.error()));
  } else if (auto valid_change = Validate(proposal.change); !valid_change) {
    reject(std::move(valid_change.error()));
  } else if (this->queue.size() >= kMaxWaitingProposals) {
    reject(Error{ErrorKind::kUnavailable,
                 "change " + proposal.change_id +
                     " was not applied: " + std::to_string(this->queue.size()) +
                     " changes are waiting; allowed: at most " +
                     std::to_string(kMaxWaitingProposals),
                 "repeat the change later or at another entry"});
  } else {
    this->queue.push_back({std::move(proposal), now + kProposalTimeout, {}});
    this->Advance(now, effects);
  }
  return effects;
}

ProposerEffects Proposer::OnReply(const StoreReply& reply, Time now) {
  ProposerEffects effects;
  const bool write =
      this->phase == Phase::kFold || this->phase == Phase::kWrite;
  if (this->phase == Phase::kIdle || reply.key != this->pending_key ||
      reply.is_write != write) {
    return effects;
  }
  const Phase answered = std::exchange(this->phase, Phase::kIdle);
  if (std::exchange(this->abandoned, false)) {
    // The read was sent before the proposal that is now at the front, so it may
    // lack what that proposal depends on.
    if (answered == Phase::kWrite && reply.status == StoreStatus::kOk) {
      effects.heads.push_back(*this->written);
    }
    this->read_head.reset();
    this->reread = true;
  } else if (answered == Phase::kHead) {
    this->OnHead(reply, now, effects);
  } else if (answered == Phase::kBase) {
    this->OnBase(reply, now, effects);
  } else if (answered == Phase::kFold) {
    this->OnFold(reply, now, effects);
  } else {
    this->OnWrite(reply, now, effects);
  }
  this->Advance(now, effects);
  return effects;
}

ProposerEffects Proposer::OnStep(Time now) {
  ProposerEffects effects;
  this->Expire(now, effects);
  this->Advance(now, effects);
  return effects;
}

void Proposer::Advance(Time now, ProposerEffects& effects) {
  if (this->retry_at && now < *this->retry_at) {
    return;
  }
  this->retry_at.reset();
  while (this->phase == Phase::kIdle && !this->retry_at &&
         !this->queue.empty()) {
    if (!this->known || this->reread) {
      this->ReadHead(effects);
    } else {
      this->Attempt(effects);
    }
  }
}

void Proposer::Send(Phase next, StoreOp operation, ProposerEffects& effects) {
  this->phase = next;
  this->pending_key =
      std::visit([](const auto& inner) { return inner.key; }, operation);
  effects.operations.push_back(std::move(operation));
}

void Proposer::ReadHead(ProposerEffects& effects) {
  this->Send(Phase::kHead, StoreGet{std::string(kHeadKey)}, effects);
}

void Proposer::Backoff(Time now) {
  this->retry_at = now + kStoreRetryDelay;
}

// Either answers the proposal at the front or sends one operation for it.
void Proposer::Attempt(ProposerEffects& effects) {
  Waiting& front = this->queue.front();
  const Proposal& proposal = front.proposal;
  const Known& head_known = *this->known;
  const Head& head = head_known.head;
  const State& state = *head_known.state;

  if (front.attempt && !this->confirmed) {
    this->ReadHead(effects);
    return;
  }
  if (const auto revision = state.RevisionOf(proposal.change_id)) {
    const auto logged = std::find_if(
        head.changes.begin(), head.changes.end(),
        [&](const auto& change) { return change.id == proposal.change_id; });
    if (logged != head.changes.end() && logged->change != proposal.change) {
      this->Finish(
          Rejected{Error{ErrorKind::kInvalid,
                         "change id " + proposal.change_id +
                             " was used for another change at revision " +
                             std::to_string(*revision),
                         "use a new change id for every change"}},
          effects);
      return;
    }
    this->Finish(Accepted{*revision}, effects);
    return;
  }
  if (front.attempt && state.revision >= *front.attempt) {
    // Another change has the revision of the lost write, which therefore can no
    // longer take effect. It did take effect unseen if its id is forgotten.
    if (state.remembered.empty() ||
        state.remembered.front().revision > *front.attempt) {
      this->Finish(Unknown{Unresolved(proposal.change_id)}, effects);
      return;
    }
    front.attempt.reset();
  }

  // A refusal must not rest on an old head.
  const Subject subject = SubjectOf(state, proposal.change);
  if (proposal.expected_revision &&
      *proposal.expected_revision != subject.revision) {
    if (!this->confirmed) {
      this->ReadHead(effects);
    } else {
      this->Finish(Conflict{subject.object, subject.revision}, effects);
    }
    return;
  }
  const LoggedChange logged{state.revision + 1, proposal.change_id,
                            proposal.change};
  auto next = std::make_shared<State>(state);
  if (auto applied = Apply(*next, logged); !applied) {
    if (!this->confirmed) {
      this->ReadHead(effects);
    } else {
      this->Finish(Rejected{std::move(applied.error())}, effects);
    }
    return;
  }

  Head longer = head;
  const std::size_t count = HasRoomFor(head, logged) ? 0 : CountToFold(head);
  longer.base_revision += count;
  longer.changes.erase(
      longer.changes.begin(),
      longer.changes.begin() + static_cast<std::ptrdiff_t>(count));
  longer.changes.push_back(logged);
  this->written = std::move(longer);
  this->written_state = std::move(next);
  if (count == 0) {
    this->WriteHead(effects);
    return;
  }
  const auto folded_state =
      Extend(this->base, head, this->written->base_revision);
  if (!folded_state) {
    this->Fault(folded_state.error(), effects);
    return;
  }
  if (*folded_state == nullptr) {
    this->Send(Phase::kBase, StoreGet{BaseKey(head.base_revision)}, effects);
    return;
  }
  // Only changes that have taken effect are folded, so every writer of this key
  // writes the same content and an existing record is as good as a new one.
  this->folded = *folded_state;
  this->Send(
      Phase::kFold,
      StoreCas{BaseKey(this->folded->revision), 0, Encode(*this->folded)},
      effects);
}

void Proposer::WriteHead(ProposerEffects& effects) {
  this->Send(Phase::kWrite,
             StoreCas{std::string(kHeadKey), this->known->version,
                      Encode(*this->written)},
             effects);
}

void Proposer::Finish(Outcome outcome, ProposerEffects& effects) {
  effects.finished.push_back(
      {this->queue.front().proposal.change_id, std::move(outcome)});
  this->queue.pop_front();
  this->confirmed = false;
}

// Answers the front after a record in the store proved to be unusable.
void Proposer::Fault(const Error& error, ProposerEffects& effects) {
  this->reread = true;
  if (this->queue.front().attempt) {
    this->Finish(Unknown{Unresolved(this->queue.front().proposal.change_id)},
                 effects);
  } else {
    this->Finish(Rejected{error}, effects);
  }
}

void Proposer::Expire(Time now, ProposerEffects& effects) {
  while (!this->queue.empty() && this->queue.front().deadline <= now) {
    const Waiting& front = this->queue.front();
    const std::string& id = front.proposal.change_id;
    const bool in_flight = this->phase != Phase::kIdle && !this->abandoned;
    const bool ambiguous =
        front.attempt || (in_flight && this->phase == Phase::kWrite);
    this->abandoned = this->phase != Phase::kIdle;
    if (ambiguous) {
      this->Finish(Unknown{Unresolved(id)}, effects);
    } else {
      this->Finish(Rejected{NotApplied(id)}, effects);
    }
  }
}

void Proposer::OnHead(const StoreReply& reply,
                      Time now,
                      ProposerEffects& effects) {
  if (reply.status != StoreStatus::kOk) {
    this->Backoff(now);
    return;
  }
  Head head;
  if (reply.value) {
    auto decoded = Decode<Head>(*reply.value);
    if (!decoded) {
      this->Fault(decoded.error(), effects);
      return;
    }
    head = std::move(*decoded);
  }
  const std::uint64_t version = reply.value ? reply.version : 0;
  if (this->known && head.revision() < this->known->state->revision) {
    // A replica of the store that lags; what it lacks has taken effect.
    this->Backoff(now);
    return;
  }
  if (this->known && this->base && this->base->revision < head.base_revision &&
      head.base_revision <= this->known->head.revision()) {
    // Saves reading the new base: its changes are those of the old head.
    auto advanced = Extend(this->base, this->known->head, head.base_revision);
    if (advanced && *advanced != nullptr) {
      this->base = *advanced;
    }
  }
  if (head.base_revision == 0 && this->base == nullptr) {
    this->base = std::make_shared<const State>();
  }
  effects.heads.push_back(head);
  for (const auto& from :
       {this->known ? this->known->state : nullptr, this->base}) {
    auto state = Extend(from, head, head.revision());
    if (!state) {
      this->Fault(state.error(), effects);
      return;
    }
    if (*state != nullptr) {
      this->known = Known{version, std::move(head), *state};
      this->confirmed = true;
      this->reread = false;
      return;
    }
  }
  this->Send(Phase::kBase, StoreGet{BaseKey(head.base_revision)}, effects);
  this->read_head = std::move(head);
  this->read_version = version;
}

void Proposer::OnBase(const StoreReply& reply,
                      Time now,
                      ProposerEffects& effects) {
  const auto head = std::exchange(this->read_head, std::nullopt);
  if (reply.status != StoreStatus::kOk || !reply.value) {
    // A base that is gone belonged to an old head.
    this->reread = true;
    this->Backoff(now);
    return;
  }
  auto decoded = Decode<State>(*reply.value);
  if (!decoded) {
    this->Fault(decoded.error(), effects);
    return;
  }
  this->base = std::make_shared<const State>(std::move(*decoded));
  if (!head) {
    return;  // read in order to fold
  }
  auto state = Extend(this->base, *head, head->revision());
  if (!state) {
    this->Fault(state.error(), effects);
    return;
  }
  if (*state == nullptr) {
    this->reread = true;
    this->Backoff(now);
    return;
  }
  this->known = Known{this->read_version, *head, *state};
  this->confirmed = true;
  this->reread = false;
}

void Proposer::OnFold(const StoreReply& reply,
                      Time now,
                      ProposerEffects& effects) {
  if (reply.status == StoreStatus::kOk ||
      reply.status == StoreStatus::kConflict) {
    this->base = std::move(this->folded);
    this->WriteHead(effects);
    return;
  }
  // Repeating the write is harmless, whether or not it took effect.
  this->Backoff(now);
}

void Proposer::OnWrite(const StoreReply& reply,
                       Time now,
                       ProposerEffects& effects) {
  Waiting& front = this->queue.front();
  switch (reply.status) {
    case StoreStatus::kOk:
      effects.heads.push_back(*this->written);
      this->known = Known{reply.version, *this->written, this->written_state};
      // Some stores do not tell the version that a write made.
      this->reread = reply.version == 0;
      this->Finish(Accepted{this->known->state->revision}, effects);
      return;
    case StoreStatus::kConflict:
      this->reread = true;
      return;
    case StoreStatus::kUnknown:
      front.attempt = this->written->revision();
      this->reread = true;
      return;
    case StoreStatus::kUnavailable:
      this->Backoff(now);
      return;
  }
}

}  // namespace kch::config
