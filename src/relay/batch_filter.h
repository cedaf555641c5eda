#ifndef RELAY_BATCH_FILTER_H_
#define RELAY_BATCH_FILTER_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

#include "relay/call.h"

namespace kch::relay {

/*! @brief Whether a relay carries calls out. */
enum class BatchVerdict : std::uint8_t {
  kAccept,
  kStale,   // given too long ago
  kFenced,  // by an owner that has been superseded
};

/*! @brief Decides in a relay which calls may still be carried out. */
class BatchFilter {
 public:
  /*! @brief `clock_ms` is this process's clock. */
  [[nodiscard]] BatchVerdict Check(const OrderBatch& orders,
                                   std::int64_t clock_ms);
  /*! @brief A VM refused an order with this fence: a later owner exists. */
  void OnFenceRejected(std::uint64_t fence);
  /*! @brief An owner with this fence has been seen. */
  void OnFenceObserved(std::uint64_t fence);

 private:
  std::uint64_t least_fence = 0;
};

/*! @brief The reply to an order that has no answer. */
[[nodiscard]] Reply UnansweredReply(const Order& order);
/*! @brief The reply to a call whose owner has been superseded. */
[[nodiscard]] Reply FencedReply(const Order& order);

}  // namespace kch::relay

template <>
struct kch::NameTable<kch::relay::BatchVerdict> {
  using E = kch::relay::BatchVerdict;
  static constexpr std::array<std::pair<E, std::string_view>, 3> kEntries{
      {{E::kAccept, "carry"}, {E::kStale, "stale"}, {E::kFenced, "fenced"}}};
};

#endif  // RELAY_BATCH_FILTER_H_
