#ifndef MAINTAIN_BUDGET_H_
#define MAINTAIN_BUDGET_H_

#include <cstdint>
#include <map>
#include <string>

#include "base/error.h"
#include "base/id.h"
#include "base/time.h"
#include "maintain/observations.h"
#include "maintain/record.h"

namespace kch::maintain {

/*! @brief Limits on the VMs of a pool that may be unavailable at once. */
struct Budget {
  std::uint32_t max_unavailable = 1;
  std::uint32_t per_zone = 1;
  std::uint32_t per_rack = 1;
  // Number of VMs of a zone (rack) lost unplanned from which no further VM of
  // that zone (rack) is reserved.
  std::uint32_t zone_degraded_at = 1;
  std::uint32_t rack_degraded_at = 1;
};

/*! @brief Numbers of unavailable VMs of a pool. */
struct Usage {
  std::uint32_t unavailable = 0;
  std::map<ZoneId, std::uint32_t> by_zone;
  std::map<RackId, std::uint32_t> by_rack;
  std::map<ZoneId, std::uint32_t> lost_by_zone;
  std::map<RackId, std::uint32_t> lost_by_rack;
};

/*! @brief Counts VMs that are not serving, in the ledger, or lost according to
 * the observations. Joining VMs do not count. */
[[nodiscard]] Usage CountUsage(const PoolRecord& record,
                               const Observations& observations);

/*! @brief True if one more VM may become unavailable. */
[[nodiscard]] bool Fits(const VmRow& vm,
                        const Usage& usage,
                        const Budget& budget);

/*! @brief As Fits; fails with kUnavailable and the reason if not. */
[[nodiscard]] Result<void> CheckBudget(const VmRow& vm,
                                       const Usage& usage,
                                       const Budget& budget);

/*! @brief Purpose of a reservation. */
struct Reservation {
  Purpose purpose = Purpose::kReboot;
  PoolId to;  // moves only
  std::string reason;
};

/*! @brief Reserves a serving VM, which takes it out of service, if the budget
 * allows. Fails if the VM is not serving or is lost, if the platform's list is
 * too old, or if the budget is used up. */
[[nodiscard]] Result<PoolRecord> Reserve(const PoolRecord& record,
                                         const VmId& vm,
                                         const Reservation& reservation,
                                         const Budget& budget,
                                         const Observations& observations,
                                         Time now,
                                         const Limits& limits);

/*! @brief Adds lost VMs to the ledger and removes recovered ones; true if the
 * record has changed, which raises its generation.
 *
 * A VM counts as recovered only with a recent report of its worker, because the
 * platform's lists lag. Without a recent list of the platform, nothing changes.
 */
[[nodiscard]] bool UpdateLedger(PoolRecord& record,
                                const Observations& observations,
                                Time now,
                                const Limits& limits);

}  // namespace kch::maintain

#endif  // MAINTAIN_BUDGET_H_
