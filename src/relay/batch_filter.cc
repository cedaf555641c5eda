#include "relay/batch_filter.h"

#include <algorithm>

namespace kch::relay {
namespace {

// An order is executed only while the owner may still wait for its reply. A
// relay that was suspended finds older orders in its sockets.
constexpr std::int64_t kMaxBatchAgeMs = 1500;

struct UnansweredVisitor {
  Reply operator()(const jobs::StartRun& /*order*/) const {
    return StartReply{};
  }
  Reply operator()(const jobs::PollVm& /*order*/) const { return PollReply{}; }
  template <typename Other>
  Reply operator()(const Other& /*order*/) const {
    return ControlReply{};
  }
};

struct FencedVisitor {
  Reply operator()(const jobs::StartRun& /*order*/) const {
    return StartReply{jobs::StartAnswer::kFenced, 0};
  }
  Reply operator()(const jobs::PollVm& /*order*/) const {
    return PollReply{PollOutcome::kFenced, {}};
  }
  template <typename Other>
  Reply operator()(const Other& /*order*/) const {
    return ControlReply{};
  }
};

}  // namespace

BatchVerdict BatchFilter::Check(const OrderBatch& batch,
                                std::int64_t clock_ms) {
  if (batch.fence < this->least_fence) {
    return BatchVerdict::kFenced;
  }
  this->least_fence = batch.fence;
  // A date in the future is from the clock before the machine was restarted.
  const std::int64_t age_ms = clock_ms - batch.clock_ms;
  return age_ms >= 0 && age_ms <= kMaxBatchAgeMs ? BatchVerdict::kAccept
                                                 : BatchVerdict::kStale;
}

void BatchFilter::OnFenceRejected(std::uint64_t fence) {
  this->least_fence = std::max(this->least_fence, fence + 1);
}

void BatchFilter::OnFenceObserved(std::uint64_t fence) {
  this->least_fence = std::max(this->least_fence, fence);
}

Reply UnansweredReply(const Order& order) {
  return std::visit(UnansweredVisitor{}, order);
}

Reply FencedReply(const Order& order) {
  return std::visit(FencedVisitor{}, order);
}

}  // namespace kch::relay
