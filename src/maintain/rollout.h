#ifndef MAINTAIN_ROLLOUT_H_
#define MAINTAIN_ROLLOUT_H_

#include <cstdint>
#include <vector>

#include "base/id.h"
#include "maintain/budget.h"
#include "maintain/observations.h"
#include "maintain/record.h"

namespace kch::maintain {

/*! @brief Period in which each VM is maintained once: 5 weeks. */
inline constexpr std::int64_t kMaintenancePeriodS = 5LL * 7 * 24 * 3600;

/*! @brief True if a roll-out or the maintenance period requires maintenance of
 * the VM. */
[[nodiscard]] bool IsDue(const PoolRecord& record,
                         const VmRow& vm,
                         std::int64_t wall_s);

/*! @brief VMs to reserve now, in order; the budget allows all of them
 * together. */
[[nodiscard]] std::vector<VmId> PlanRollout(const PoolRecord& record,
                                            const Budget& budget,
                                            const Observations& observations,
                                            std::int64_t wall_s);

/*! @brief Lower bound on the successive waves that the budget requires for all
 * due VMs. */
[[nodiscard]] std::uint32_t LowerBoundWaves(const PoolRecord& record,
                                            const Budget& budget,
                                            std::int64_t wall_s);

}  // namespace kch::maintain

#endif  // MAINTAIN_ROLLOUT_H_
