#ifndef ENGINE_POOL_H_
#define ENGINE_POOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "base/base.h"
#include "maintain/record.h"
#include "route/route.h"
#include "share/share.h"

namespace kch::engine {

/*! @brief Poll state of one worker at this entry. */
struct WorkerContact {
  Time next_poll;
  bool poll_pending = false;
  int missed_polls = 0;  // consecutive polls without a report
  std::string boot;
};

/*! @brief State of one pool at this entry. */
struct Pool {
  PoolId id;
  std::uint64_t version = 0;  // of the record in the store
  maintain::PoolRecord record;
  std::optional<Time> behind_since;  // since when a peer has a newer record
  Time next_read;
  bool read_pending = false;
  share::FairQueue queue;
  route::TargetSet targets;
  route::RetryBudget retries;
  std::map<VmId, WorkerContact> contacts;
  std::map<VmId, std::set<TaskId>> tasks;  // ids of this entry's jobs, by VM
  // Tasks started by other schedulers of the pool, by VM. The owner charges
  // them to their teams and may preempt them.
  std::map<VmId, std::set<TaskId>> external_tasks;
  // Since when another entry is the owner.
  std::optional<Time> other_owner_since;
};

}  // namespace kch::engine

#endif  // ENGINE_POOL_H_
