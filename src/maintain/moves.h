#ifndef MAINTAIN_MOVES_H_
#define MAINTAIN_MOVES_H_

#include <map>

#include "base/error.h"
#include "base/id.h"
#include "base/time.h"
#include "maintain/facts.h"
#include "maintain/record.h"

namespace kch::maintain {

/*! @brief Records by pool, as one reader holds them. */
using Records = std::map<PoolId, PoolRecord>;

/*! @brief Commits the move of a quiet VM in the record of its source. */
[[nodiscard]] Result<PoolRecord> Forward(const PoolRecord& record,
                                         const VmId& vm,
                                         const PoolId& to,
                                         const Facts& facts,
                                         Time now,
                                         const Limits& limits);

/*! @brief Lists a forwarded VM in the record of its destination. */
[[nodiscard]] Result<PoolRecord> Adopt(const PoolRecord& destination,
                                       const PoolRecord& source,
                                       const VmId& vm);

/*! @brief Drops a forward whose VM the destination lists. */
[[nodiscard]] Result<PoolRecord> DropForward(const PoolRecord& source,
                                             const PoolRecord& destination,
                                             const VmId& vm);

/*! @brief The pool of a VM; an error names the record to read again if one is
 * older than another record was based on. */
[[nodiscard]] Result<PoolId> PoolOf(const VmId& vm, const Records& records);

}  // namespace kch::maintain

#endif  // MAINTAIN_MOVES_H_
