#ifndef MAINTAIN_MOVES_H_
#define MAINTAIN_MOVES_H_

#include <map>

#include "base/error.h"
#include "base/id.h"
#include "base/time.h"
#include "maintain/observations.h"
#include "maintain/record.h"

namespace kch::maintain {

/*! @brief Records by pool, as one reader holds them. */
using Records = std::map<PoolId, PoolRecord>;

/*! @brief Commits the move of a quiet VM in the record of its source. */
[[nodiscard]] Result<PoolRecord> Forward(const PoolRecord& record,
                                         const VmId& vm,
                                         const PoolId& to,
                                         const Observations& observations,
                                         Time now,
                                         const Limits& limits);

/*! @brief Lists all VMs that the source forwards to the destination. */
[[nodiscard]] Result<PoolRecord> Adopt(const PoolRecord& destination,
                                       const PoolRecord& source);

/*! @brief Drops a forward that the destination has taken over. */
[[nodiscard]] Result<PoolRecord> DropForward(const PoolRecord& source,
                                             const PoolRecord& destination,
                                             const VmId& vm);

/*! @brief The pool of a VM; an error names the record to read again if one is
 * older than another record was based on. */
[[nodiscard]] Result<PoolId> PoolOf(const VmId& vm, const Records& records);

}  // namespace kch::maintain

#endif  // MAINTAIN_MOVES_H_
