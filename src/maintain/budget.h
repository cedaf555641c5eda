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

/*! @brief How many VMs of a pool may be unavailable at once. */
struct Budget {
  std::uint32_t max_unavailable = 1;
  std::uint32_t per_zone = 1;
  std::uint32_t per_rack = 1;
  // Unplanned losses from which a zone or rack takes no further drain.
  std::uint32_t zone_degraded_at = 1;
  std::uint32_t rack_degraded_at = 1;
};

/*! @brief Counts of unavailable VMs of a pool. */
struct Usage {
  std::uint32_t unavailable = 0;
  std::map<ZoneId, std::uint32_t> by_zone;
  std::map<RackId, std::uint32_t> by_rack;
  std::map<ZoneId, std::uint32_t> lost_by_zone;
  std::map<RackId, std::uint32_t> lost_by_rack;
};

/*! @brief Counts VMs that are not serving, in the ledger, or lost by the facts.
 */
[[nodiscard]] Usage CountUsage(const PoolRecord& record,
                               const Observations& observations);

/*! @brief True if one more VM may become unavailable. */
[[nodiscard]] bool Fits(const VmRow& vm,
                        const Usage& usage,
                        const Budget& budget);

/*! @brief As Fits, with the reason if it does not. */
[[nodiscard]] Result<void> CheckBudget(const VmRow& vm,
                                       const Usage& usage,
                                       const Budget& budget);

/*! @brief What a reservation is for. */
struct Reservation {
  Purpose purpose = Purpose::kReboot;
  PoolId to;  // moves only
  std::string reason;
};

/*! @brief Takes a serving VM out of service if the budget allows it. */
[[nodiscard]] Result<PoolRecord> Reserve(const PoolRecord& record,
                                         const VmId& vm,
                                         const Reservation& reservation,
                                         const Budget& budget,
                                         const Observations& observations,
                                         Time now,
                                         const Limits& limits);

/*! @brief Enters losses and returns into the ledger; true if changed. */
[[nodiscard]] bool UpdateLedger(PoolRecord& record,
                                const Observations& observations,
                                Time now,
                                const Limits& limits);

}  // namespace kch::maintain

#endif  // MAINTAIN_BUDGET_H_
