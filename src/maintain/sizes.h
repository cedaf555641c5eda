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

/*! @brief Mean demand of a pool in slots, by interval, in bounded memory. */
class DemandWindow {
 public:
  /*! @brief Enters the demand from now until the next call. */
  void Add(double slots, Time now);
  /*! @brief Quantile of the interval means; absent until half full. */
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

/*! @brief A pool as the size planner sees it. */
struct PoolDemand {
  std::optional<double> slots;  // demand quantile
  std::uint32_t vms = 0;        // with VMs that arrive, without those leaving
  std::uint32_t slots_per_vm = 1;
  std::uint32_t min_vms = 1;
  std::uint32_t max_vms = 0;   // 0: no limit
  bool in_dwell_time = false;  // changed less than the minimum dwell time ago
};

/*! @brief Parameters of the size planner. */
struct SizePolicy {
  double quantile = 0.9;
  double headroom = 1.15;           // wanted capacity over demand
  double shrink_headroom = 1.4;     // must still fit after a shrink
  std::uint32_t min_spare_vms = 1;  // VMs that stay in the spare pool
  std::int64_t dwell_s = 600;
};

/*! @brief One VM from a pool to another. */
struct PlannedMove {
  PoolId from;
  PoolId to;

  bool operator==(const PlannedMove&) const = default;
};

/*! @brief Wanted sizes and the moves towards them. */
struct SizePlan {
  std::map<PoolId, std::uint32_t> wanted;
  std::vector<PlannedMove> moves;
  std::uint32_t spare_vms = 0;  // kept in the spare pool after the moves
};

/*! @brief Plans sizes from demand quantiles; `spare` names the spare pool and
 * `spare_vms` its size. */
[[nodiscard]] SizePlan PlanSizes(const std::map<PoolId, PoolDemand>& pools,
                                 const PoolId& spare,
                                 std::uint32_t spare_vms,
                                 const SizePolicy& policy);

}  // namespace kch::maintain

#endif  // MAINTAIN_SIZES_H_
