#include "maintain/sizes.h"

#include <algorithm>
#include <cmath>

namespace kch::maintain {
namespace {

// Longer than the period of the demand peaks: with 30 s, a peak every 26 s fell
// into an interval once or twice, which doubled the mean.
constexpr Duration kInterval = std::chrono::seconds(60);

std::uint32_t VmsFor(double slots, double headroom, const PoolDemand& pool) {
  const double vms =
      std::ceil(slots * headroom / std::max(1U, pool.slots_per_vm));
  const auto wanted = std::max(static_cast<std::uint32_t>(vms), pool.min_vms);
  return pool.max_vms == 0 ? wanted : std::min(wanted, pool.max_vms);
}

std::uint32_t WantedSize(const PoolDemand& pool, const SizePolicy& policy) {
  if (!pool.slots || pool.in_dwell_time) {
    return std::max(pool.vms, pool.min_vms);
  }
  const auto grown = VmsFor(*pool.slots, policy.headroom, pool);
  if (grown >= pool.vms) {
    return grown;
  }
  // The margin between the headrooms prevents a pool from giving up a VM that
  // it would soon need again.
  return std::min(pool.vms, VmsFor(*pool.slots, policy.shrink_headroom, pool));
}

}  // namespace

void DemandWindow::CloseInterval() {
  this->means.at(this->closed_intervals % kIntervals) =
      this->slot_seconds / ToSeconds(kInterval);
  ++this->closed_intervals;
  this->slot_seconds = 0;
  *this->interval_start += kInterval;
}

void DemandWindow::Add(double slots, Time now) {
  // The demand during a long gap is unknown.
  if (!this->interval_start || now - this->last > 2 * kInterval) {
    this->interval_start = now;
    this->slot_seconds = 0;
  } else {
    while (now - *this->interval_start >= kInterval) {
      const Time end = *this->interval_start + kInterval;
      this->slot_seconds += this->level * ToSeconds(end - this->last);
      this->last = end;
      this->CloseInterval();
    }
    this->slot_seconds += this->level * ToSeconds(now - this->last);
  }
  this->last = now;
  this->level = slots;
}

std::optional<double> DemandWindow::Quantile(double q) const {
  const std::size_t count = std::min(this->closed_intervals, kIntervals);
  if (count < kIntervals / 2) {
    return std::nullopt;
  }
  std::vector<double> sorted(
      this->means.begin(),
      this->means.begin() + static_cast<std::ptrdiff_t>(count));
  std::sort(sorted.begin(), sorted.end());
  const auto index =
      static_cast<std::size_t>(std::lround(q * static_cast<double>(count - 1)));
  return sorted.at(std::min(index, count - 1));
}

SizePlan PlanSizes(const std::map<PoolId, PoolDemand>& pools,
                   const PoolId& spare,
                   std::uint32_t spare_vms,
                   const SizePolicy& policy) {
  SizePlan plan;
  plan.spare_vms = spare_vms;
  std::map<PoolId, std::uint32_t> surplus;
  std::vector<std::pair<std::uint32_t, PoolId>> deficits;
  for (const auto& [name, pool] : pools) {
    const auto wanted = WantedSize(pool, policy);
    plan.wanted[name] = wanted;
    if (wanted > pool.vms) {
      deficits.emplace_back(wanted - pool.vms, name);
    } else if (wanted < pool.vms) {
      surplus[name] = pool.vms - wanted;
    }
  }
  const auto largest_surplus = [&] {
    return std::max_element(
        surplus.begin(), surplus.end(),
        [](const auto& a, const auto& b) { return a.second < b.second; });
  };
  std::sort(deficits.rbegin(), deficits.rend());
  for (const auto& [missing, to] : deficits) {
    for (std::uint32_t i = 0; i < missing; ++i) {
      // From the spare pool first: its VMs drain at once.
      if (plan.spare_vms > policy.min_spare_vms) {
        --plan.spare_vms;
        plan.moves.push_back({spare, to});
      } else if (const auto from = largest_surplus();
                 from != surplus.end() && from->second > 0) {
        --from->second;
        plan.moves.push_back({from->first, to});
      }
    }
  }
  // Surplus VMs stay in their pool until another pool needs them or the spare
  // pool is below its minimum: an earlier move could make a second one
  // necessary.
  for (auto from = largest_surplus();
       from != surplus.end() && from->second > 0 &&
       plan.spare_vms < policy.min_spare_vms;
       from = largest_surplus()) {
    --from->second;
    ++plan.spare_vms;
    plan.moves.push_back({from->first, spare});
  }
  return plan;
}

}  // namespace kch::maintain
