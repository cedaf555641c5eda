#ifndef MAINTAIN_REGISTRATION_H_
#define MAINTAIN_REGISTRATION_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.h"
#include "base/id.h"
#include "base/store.h"
#include "maintain/record.h"

namespace kch::maintain {

/*! @brief Store key of the record that names the pool in which a VM was
 * registered. */
[[nodiscard]] std::string KeyOf(const VmId& vm);

/*! @brief Adds a new VM as serving; a repeat with the same address changes
 * nothing. The wall clock counts as the time of its last maintenance. Fails
 * with kConflict if the VM has another address or has moved to another pool. */
[[nodiscard]] Result<PoolRecord> Register(const PoolRecord& record,
                                          VmRow vm,
                                          std::int64_t wall_s);

/*! @brief Registers one VM: claims the VM's record in the store, then adds a
 * row to the pool record.
 *
 * The claim resolves the race of operators who register
 * a VM in two pools at once. The claim remains after the VM has moved, so all
 * other pools are read too. */
class Registration {
 public:
  /*! @brief The next store operation, or the final result. */
  struct Next {
    std::optional<StoreOp> operation;
    std::optional<Result<void>> result;
  };

  /*! @brief `others` are the other pools of the configuration. */
  Registration(PoolId pool,
               VmRow vm,
               std::vector<PoolId> others,
               std::int64_t wall_s);

  /*! @brief The first operation. */
  [[nodiscard]] Next Begin();
  /*! @brief Handles the reply to the latest operation. */
  [[nodiscard]] Next OnReply(const StoreReply& reply);

 private:
  Next Claim();
  Next OnClaim(const StoreReply& reply);
  Next OnPoolRead(const StoreReply& reply);
  Next OnOtherPool(const StoreReply& reply);
  Next OnPoolWritten(const StoreReply& reply);
  Next ReadPool();
  Next ReadOtherPool();

  PoolId pool;
  VmRow vm;
  std::vector<PoolId> others;
  std::int64_t wall_s;
  bool claimed = false;
  PoolRecord record;
  std::uint64_t version = 0;
  std::size_t pools_checked =
      0;  // number of other pools checked; none lists the VM
  int attempts = 0;
};

}  // namespace kch::maintain

#endif  // MAINTAIN_REGISTRATION_H_
