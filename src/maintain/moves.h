#ifndef MAINTAIN_MOVES_H_
#define MAINTAIN_MOVES_H_

#include <map>

#include "base/error.h"
#include "base/id.h"
#include "base/time.h"
#include "maintain/observations.h"
#include "maintain/record.h"

namespace kch::maintain {

/*! @brief Records by pool, as last read by one reader. */
using Records = std::map<PoolId, PoolRecord>;

/*! @brief Commits the move of a quiet VM in the record of its source pool.
 * Fails if the VM is not reserved for this move or not quiet. */
[[nodiscard]] Result<PoolRecord> Forward(const PoolRecord& record,
                                         const VmId& vm,
                                         const PoolId& to,
                                         const Observations& observations,
                                         Time now,
                                         const Limits& limits);

/*! @brief Adds all VMs that the source forwards to the destination's record;
 * fails with kNotFound if there is no new one. */
[[nodiscard]] Result<PoolRecord> Adopt(const PoolRecord& destination,
                                       const PoolRecord& source);

/*! @brief Drops a forward that the destination has adopted; fails with
 * kConflict if it has not. */
[[nodiscard]] Result<PoolRecord> DropForward(const PoolRecord& source,
                                             const PoolRecord& destination,
                                             const VmId& vm);

/*! @brief The pool of a VM. Fails with kUnavailable, naming the record to read
 * again, if a record is older than a version that another record is based on.
 */
[[nodiscard]] Result<PoolId> PoolOf(const VmId& vm, const Records& records);

}  // namespace kch::maintain

#endif  // MAINTAIN_MOVES_H_
