#ifndef MAINTAIN_SIZES_H_
#define MAINTAIN_SIZES_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "base/id.h"
#include "base/time.h"

namespace kch::maintain {

/*! @brief Mean demand of a pool in slots for each of the latest intervals. */
class DemandWindow {
 public:
  /*! @brief Sets the demand from `now` until the next call. */
  void Add(double slots, Time now);
  /*! @brief Quantile (0 to 1) of the interval means; absent until half of the
   * intervals have a mean. */
  [[nodiscard]] std::optional<double> Quantile(double q) const;

 private:
  static constexpr std::size_t kIntervals = 20;

  void CloseInterval();

  std::array<double, kIntervals> means{};
  std::size_t closed_intervals = 0;
  std::optional<Time> interval_start;
  Time last;
  double level = 0;
  double slot_seconds = 0;  // slot-seconds in the open interval
};

/*! @brief Input of the size planner about one pool. */
struct PoolDemand {
  std::optional<double> slots;  // demand quantile
  std::uint32_t vms = 0;        // includes arriving VMs, excludes leaving ones
  std::uint32_t slots_per_vm = 1;
  std::uint32_t min_vms = 1;
  std::uint32_t max_vms = 0;   // 0: no limit
  bool in_dwell_time = false;  // resized less than the dwell time ago
};

/*! @brief Parameters of the size planner. */
struct SizePolicy {
  double quantile = 0.9;
  double headroom = 1.15;           // ratio of wanted capacity to demand
  double shrink_headroom = 1.4;     // as headroom, for a pool that shrinks
  std::uint32_t min_spare_vms = 1;  // VMs that remain in the spare pool
  std::int64_t dwell_s = 600;  // minimum time between size changes of a pool
};

/*! @brief A move of one VM between pools. */
struct PlannedMove {
  PoolId from;
  PoolId to;

  bool operator==(const PlannedMove&) const = default;
};

/*! @brief Wanted pool sizes and the moves towards them. */
struct SizePlan {
  std::map<PoolId, std::uint32_t> wanted;
  std::vector<PlannedMove> moves;
  std::uint32_t spare_vms = 0;  // size of the spare pool after the moves
};

/*! @brief Plans pool sizes from demand quantiles. `spare` is the spare pool and
 * `spare_vms` its size. */
[[nodiscard]] SizePlan PlanSizes(const std::map<PoolId, PoolDemand>& pools,
                                 const PoolId& spare,
                                 std::uint32_t spare_vms,
                                 const SizePolicy& policy);

}  // namespace kch::maintain

#endif  // MAINTAIN_SIZES_H_
