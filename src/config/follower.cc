#include "config/follower.h"

#include <utility>

namespace kch::config {

Follower::Follower() : current(std::make_shared<const State>()) {}

Result<Offer> Follower::OfferHead(const Head& head) {
  if (head.revision() <= this->revision()) {
    return Offer::kStale;
  }
  if (head.base_revision > this->revision()) {
    if (!this->pending_head ||
        this->pending_head->revision() < head.revision()) {
      this->pending_head = head;
    }
    return Offer::kNeedsBase;
  }
  // Readers may hold the current state, so the changes are applied to a copy.
  auto next = std::make_shared<State>(*this->current);
  for (const LoggedChange& change : head.changes) {
    if (change.revision <= next->revision) {
      continue;
    }
    if (auto applied = Apply(*next, change); !applied) {
      return tl::make_unexpected(applied.error());
    }
  }
  this->current = std::move(next);
  if (this->pending_head &&
      this->pending_head->base_revision <= this->revision()) {
    const Head newer = std::move(*this->pending_head);
    this->pending_head.reset();
    if (auto offered = this->OfferHead(newer); !offered) {
      return offered;
    }
  }
  return this->pending_head ? Offer::kNeedsBase : Offer::kApplied;
}

Result<Offer> Follower::OfferBase(std::shared_ptr<const State> base) {
  if (base == nullptr || base->revision <= this->revision()) {
    return Offer::kStale;
  }
  this->current = std::move(base);
  if (this->pending_head &&
      this->pending_head->base_revision <= this->revision()) {
    const Head newer = std::move(*this->pending_head);
    this->pending_head.reset();
    if (auto offered = this->OfferHead(newer); !offered) {
      return offered;
    }
  }
  return this->pending_head ? Offer::kNeedsBase : Offer::kApplied;
}

std::optional<std::uint64_t> Follower::required_base() const {
  return this->pending_head ? std::optional(this->pending_head->base_revision)
                            : std::nullopt;
}

}  // namespace kch::config
