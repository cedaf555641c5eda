#ifndef ENGINE_WORK_ITEM_H_
#define ENGINE_WORK_ITEM_H_

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/base.h"
#include "engine/attempt.h"
#include "engine/job.h"
#include "permit/permit.h"
#include "route/route.h"

namespace kch::engine {

/*! @brief Stage of a job at its scheduler. */
enum class WorkItemState : std::uint8_t {
  kQueued,
  kClaiming,    // its request id is being claimed; permit and slot are reserved
  kRunning,     // a connection waits for the end of the task
  kRecovering,  // the connection was lost; the worker is queried over a new one
  kFinished,
};

/*! @brief Holder of the permit that a running task uses. */
enum class PermitSource : std::uint8_t {
  kNone,
  kOwn,      // this entry
  kPeer,     // the peer that the task was delegated to
  kAdopting  // a failed entry; the adoption of its permit is pending
};

/*! @brief An entry that waits for a job, and that entry's id for the job. */
using Listener = std::pair<InstanceId, TaskId>;

/*! @brief State of one job at its scheduler. */
struct WorkItem {
  Job job;
  std::set<Listener> listeners;
  // Submissions answered with "not run" for an earlier job of this request.
  std::set<Listener> answered_not_run;
  WorkItemState state = WorkItemState::kQueued;
  Time enqueued;
  Time deadline;
  // Returned to its entry, for another scheduler.
  std::optional<Time> returned_at;
  // Current attempt, or the last one.
  std::optional<Attempt> attempt;
  // Results of the attempts so far.
  int refusals = 0;
  Time not_before;            // earliest next start after a refusal
  std::set<VmId> failed_vms;  // healthy targets on which the job failed
  route::Exclusions exclusions;
  route::AttemptOutcome worst_end = route::AttemptOutcome::kNotRun;
  bool maybe_sent = false;
  std::string claim_token;
  bool claimed = false;
  std::string checkpoint;
  // The attempt in progress.
  PermitSource permit_source = PermitSource::kNone;
  // Subjects whose permits this entry holds for the task.
  std::vector<permit::Subject> subjects;
  // Counted in the demand while queued.
  std::vector<permit::Subject> queued_subjects;
  InstanceId delegate;
  // A checkpoint or stop order was sent in this attempt.
  bool stopping = false;
  bool cancelled = false;
  Time launched_at;
  Time lease_renewed_at;   // last confirmed renewal of the lease
  int absent_reports = 0;  // consecutive reports without the task
  Time next_attach;
  bool attach_pending = false;
  // Result.
  Outcome outcome;
};

/*! @brief A task that this entry runs for a peer using its own permit. */
struct DelegatedTask {
  InstanceId scheduler;
  Attempt attempt;
  PoolId pool;
  std::vector<permit::Subject> subjects;
  Time lease_renewed_at;
};

}  // namespace kch::engine

template <>
struct kch::NameTable<kch::engine::WorkItemState> {
  using E = kch::engine::WorkItemState;
  static constexpr std::array<std::pair<E, std::string_view>, 5> kEntries{
      {{E::kQueued, "queued"},
       {E::kClaiming, "claiming"},
       {E::kRunning, "running"},
       {E::kRecovering, "recovering"},
       {E::kFinished, "finished"}}};
};

#endif  // ENGINE_WORK_ITEM_H_
