#include "config/proposer.h"

#include <algorithm>
#include <utility>

#include "config/limits.h"

namespace kch::config {
namespace {

// Returns the given state with the head's changes up to and including the
// target revision; null if the head does not continue from the given state or
// the state is already past the target.
Result<std::shared_ptr<const State>> Extend(
    const std::shared_ptr<const State>& from,
    const Head& head,
    std::uint64_t target_revision) {
  if (from == nullptr || from->revision < head.base_revision ||
      from->revision > target_revision) {
    return nullptr;
  }
  if (from->revision == target_revision) {
    return from;
  }
  auto next = std::make_shared<State>(*from);
  for (const LoggedChange& change : head.changes) {
    if (change.revision <= next->revision ||
        change.revision > target_revision) {
      continue;
    }
    if (auto applied = Apply(*next, change); !applied) {
      return tl::make_unexpected(applied.error());
    }
  }
  return next;
}

Error UnresolvedError(const std::string& change_id) {
  return Error{ErrorKind::kUnknownOutcome,
               "change " + change_id +
                   " may have taken effect: its outcome could not be read "
                   "from the store",
               "repeat the change with the same change id: it takes effect at "
               "most once and the answer contains its revision"};
}

Error NotAppliedError(const std::string& change_id) {
  return Error{
      ErrorKind::kUnavailable,
      "change " + change_id +
          " was not applied by this attempt: the store did not answer in "
          "time",
      "repeat the change when the store is available again"};
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
                     " changes are queued; allowed: at most " +
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
    // The operation was sent for an expired proposal. Its result may predate
    // changes that the proposal now at the front depends on, so the head is
    // read again.
    if (answered == Phase::kWrite && reply.status == StoreStatus::kOk) {
      effects.heads.push_back(*this->written_head);
    }
    this->pending_head.reset();
    this->reread_needed = true;
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
    if (!this->stored_head || this->reread_needed) {
      this->ReadHead(effects);
    } else {
      this->ProcessFront(effects);
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

// Answers the proposal at the front or sends one operation for it.
void Proposer::ProcessFront(ProposerEffects& effects) {
  QueuedProposal& front = this->queue.front();
  const Proposal& proposal = front.proposal;
  const StoredHead& stored = *this->stored_head;
  const Head& head = stored.head;
  const State& state = *stored.state;

  if (front.unresolved_revision && !this->confirmed) {
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
  if (front.unresolved_revision &&
      state.revision >= *front.unresolved_revision) {
    // The revision of the unresolved write is taken, so that write can no
    // longer take effect. If the remembered ids begin after that revision, the
    // write may already have taken effect.
    if (state.remembered.empty() ||
        state.remembered.front().revision > *front.unresolved_revision) {
      this->Finish(Unknown{UnresolvedError(proposal.change_id)}, effects);
      return;
    }
    front.unresolved_revision.reset();
  }

  // A proposal is refused only on the basis of a head read for it.
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

  Head extended_head = head;
  const std::size_t count = HasRoomFor(head, logged) ? 0 : CountToFold(head);
  extended_head.base_revision += count;
  extended_head.changes.erase(
      extended_head.changes.begin(),
      extended_head.changes.begin() + static_cast<std::ptrdiff_t>(count));
  extended_head.changes.push_back(logged);
  this->written_head = std::move(extended_head);
  this->written_state = std::move(next);
  if (count == 0) {
    this->WriteHead(effects);
    return;
  }
  const auto folded_state =
      Extend(this->base, head, this->written_head->base_revision);
  if (!folded_state) {
    this->FailFront(folded_state.error(), effects);
    return;
  }
  if (*folded_state == nullptr) {
    this->Send(Phase::kBase, StoreGet{BaseKey(head.base_revision)}, effects);
    return;
  }
  // Only changes that have taken effect are folded, so every writer of this key
  // writes the same content, and an existing record is equivalent to a new one.
  this->folded_base = *folded_state;
  this->Send(Phase::kFold,
             StoreCas{BaseKey(this->folded_base->revision), 0,
                      Encode(*this->folded_base)},
             effects);
}

void Proposer::WriteHead(ProposerEffects& effects) {
  this->Send(Phase::kWrite,
             StoreCas{std::string(kHeadKey), this->stored_head->version,
                      Encode(*this->written_head)},
             effects);
}

void Proposer::Finish(Outcome outcome, ProposerEffects& effects) {
  effects.finished.push_back(
      {this->queue.front().proposal.change_id, std::move(outcome)});
  this->queue.pop_front();
  this->confirmed = false;
}

// Answers the proposal at the front after an unusable record was read from the
// store.
void Proposer::FailFront(const Error& error, ProposerEffects& effects) {
  this->reread_needed = true;
  if (this->queue.front().unresolved_revision) {
    this->Finish(
        Unknown{UnresolvedError(this->queue.front().proposal.change_id)},
        effects);
  } else {
    this->Finish(Rejected{error}, effects);
  }
}

void Proposer::Expire(Time now, ProposerEffects& effects) {
  while (!this->queue.empty() && this->queue.front().deadline <= now) {
    const QueuedProposal& front = this->queue.front();
    const std::string& id = front.proposal.change_id;
    const bool in_flight = this->phase != Phase::kIdle && !this->abandoned;
    const bool ambiguous = front.unresolved_revision ||
                           (in_flight && this->phase == Phase::kWrite);
    this->abandoned = this->phase != Phase::kIdle;
    if (ambiguous) {
      this->Finish(Unknown{UnresolvedError(id)}, effects);
    } else {
      this->Finish(Rejected{NotAppliedError(id)}, effects);
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
      this->FailFront(decoded.error(), effects);
      return;
    }
    head = std::move(*decoded);
  }
  const std::uint64_t version = reply.value ? reply.version : 0;
  if (this->stored_head &&
      head.revision() < this->stored_head->state->revision) {
    // Stale read from a lagging replica of the store: the missing changes have
    // taken effect.
    this->Backoff(now);
    return;
  }
  if (this->stored_head && this->base &&
      this->base->revision < head.base_revision &&
      head.base_revision <= this->stored_head->head.revision()) {
    // Avoids a read of the new base, which can be derived from the old base and
    // the old head.
    auto advanced =
        Extend(this->base, this->stored_head->head, head.base_revision);
    if (advanced && *advanced != nullptr) {
      this->base = *advanced;
    }
  }
  if (head.base_revision == 0 && this->base == nullptr) {
    this->base = std::make_shared<const State>();
  }
  effects.heads.push_back(head);
  for (const auto& from :
       {this->stored_head ? this->stored_head->state : nullptr, this->base}) {
    auto state = Extend(from, head, head.revision());
    if (!state) {
      this->FailFront(state.error(), effects);
      return;
    }
    if (*state != nullptr) {
      this->stored_head = StoredHead{version, std::move(head), *state};
      this->confirmed = true;
      this->reread_needed = false;
      return;
    }
  }
  this->Send(Phase::kBase, StoreGet{BaseKey(head.base_revision)}, effects);
  this->pending_head = std::move(head);
  this->pending_head_version = version;
}

void Proposer::OnBase(const StoreReply& reply,
                      Time now,
                      ProposerEffects& effects) {
  const auto head = std::exchange(this->pending_head, std::nullopt);
  if (reply.status != StoreStatus::kOk || !reply.value) {
    // A missing base belongs to an outdated head.
    this->reread_needed = true;
    this->Backoff(now);
    return;
  }
  auto decoded = Decode<State>(*reply.value);
  if (!decoded) {
    this->FailFront(decoded.error(), effects);
    return;
  }
  this->base = std::make_shared<const State>(std::move(*decoded));
  if (!head) {
    return;  // the base was read for a fold
  }
  auto state = Extend(this->base, *head, head->revision());
  if (!state) {
    this->FailFront(state.error(), effects);
    return;
  }
  if (*state == nullptr) {
    this->reread_needed = true;
    this->Backoff(now);
    return;
  }
  this->stored_head = StoredHead{this->pending_head_version, *head, *state};
  this->confirmed = true;
  this->reread_needed = false;
}

void Proposer::OnFold(const StoreReply& reply,
                      Time now,
                      ProposerEffects& effects) {
  if (reply.status == StoreStatus::kOk ||
      reply.status == StoreStatus::kConflict) {
    this->base = std::move(this->folded_base);
    this->WriteHead(effects);
    return;
  }
  // The write is idempotent and is retried whether or not it took effect.
  this->Backoff(now);
}

void Proposer::OnWrite(const StoreReply& reply,
                       Time now,
                       ProposerEffects& effects) {
  QueuedProposal& front = this->queue.front();
  switch (reply.status) {
    case StoreStatus::kOk:
      effects.heads.push_back(*this->written_head);
      this->stored_head =
          StoredHead{reply.version, *this->written_head, this->written_state};
      // Some stores do not return the version of a write.
      this->reread_needed = reply.version == 0;
      this->Finish(Accepted{this->stored_head->state->revision}, effects);
      return;
    case StoreStatus::kConflict:
      this->reread_needed = true;
      return;
    case StoreStatus::kUnknown:
      front.unresolved_revision = this->written_head->revision();
      this->reread_needed = true;
      return;
    case StoreStatus::kUnavailable:
      this->Backoff(now);
      return;
  }
}

}  // namespace kch::config
