#ifndef RELAY_BATCH_FILTER_H_
#define RELAY_BATCH_FILTER_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

#include "relay/call.h"

namespace kch::relay {

/*! @brief Whether a relay executes a batch of calls. */
enum class BatchVerdict : std::uint8_t {
  kAccept,
  kStale,   // sent too long ago
  kFenced,  // sent by a superseded owner
};

/*! @brief Decides in a relay whether a batch of calls may still be executed. */
class BatchFilter {
 public:
  /*! @brief Checks the fence and the age of a batch; `clock_ms` is this
   * process's clock, as in Report::clock_ms. */
  [[nodiscard]] BatchVerdict Check(const OrderBatch& batch,
                                   std::int64_t clock_ms);
  /*! @brief Called when a VM rejected an order with this fence, which shows
   * that a later owner exists. */
  void OnFenceRejected(std::uint64_t fence);
  /*! @brief Called when an owner with this fence has been observed. */
  void OnFenceObserved(std::uint64_t fence);

 private:
  std::uint64_t least_fence = 0;
};

/*! @brief The reply to an order that was not answered. */
[[nodiscard]] Reply UnansweredReply(const Order& order);
/*! @brief The reply to an order of a superseded owner. */
[[nodiscard]] Reply FencedReply(const Order& order);

}  // namespace kch::relay

template <>
struct kch::NameTable<kch::relay::BatchVerdict> {
  using E = kch::relay::BatchVerdict;
  static constexpr std::array<std::pair<E, std::string_view>, 3> kEntries{
      {{E::kAccept, "carry"}, {E::kStale, "stale"}, {E::kFenced, "fenced"}}};
};

#endif  // RELAY_BATCH_FILTER_H_
