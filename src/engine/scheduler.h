#ifndef ENGINE_SCHEDULER_H_
#define ENGINE_SCHEDULER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "engine/entry_context.h"
#include "engine/pool.h"
#include "engine/work_item.h"

namespace kch::engine {

/*! @brief Scheduler side of an entry: queues jobs per pool, starts them on
 * targets, tracks them until they end and replies to the entries that submitted
 * them. */
class Scheduler {
 public:
  explicit Scheduler(EntryContext& context) : context(context) {}

  /*! @brief Accepts or refuses a job submitted by an entry; a repeated
   * submission returns the current status of the job. */
  void OnSubmit(const InstanceId& from, Submit submit, Time now);
  /*! @brief Cancels the submission that created a job, or a request by its id;
   * the id of a later submission of the request has no effect. A job that other
   * submissions still wait for is stopped only by its request id. */
  void OnCancel(const InstanceId& from, const CancelJob& cancel, Time now);
  /*! @brief Takes over a task that a failed scheduler started. */
  void Adopt(const Job& job, const Attempt& attempt, Time deadline, Time now);
  /*! @brief Starts a peer's task using a permit of this entry. */
  void OnDelegate(const InstanceId& from, Delegate order, Time now);
  /*! @brief Handles the end of an attempt that this entry started, delegated to
   * a peer or runs for a peer. */
  void OnAttemptEnded(AttemptResult result, Time now);
  /*! @brief Handles a worker's report, or a poll that did not reach the
   * worker. */
  void OnReport(const WorkerReport& report, Time now);
  /*! @brief Applies the record of a pool if its version is newer. */
  void OnPool(const PoolId& id,
              std::uint64_t version,
              const maintain::PoolRecord& record,
              Time now);
  /*! @brief Applies a change of the configuration or of the platform's VM
   * list. */
  void OnConfig(Time now);
  /*! @brief Records a peer's use of slots in pools that have a backlog. */
  void OnPeerUse(const InstanceId& peer, std::vector<TeamUse> use, Time now);
  /*! @brief Compares the pool generations that a peer has applied; records that
   * are older here are read again. */
  void OnPeerPoolGenerations(const std::vector<PoolSeen>& pools, Time now);
  /*! @brief Marks the read of a pool record as complete, whatever its
   * status. */
  void OnPoolReply(const StoreReply& reply);
  /*! @brief Recovers the attempts that a failed peer runs for this entry. */
  void OnPeerDown(const InstanceId& peer, Time now);
  /*! @brief Begins the shutdown: queued jobs that are not claimed are returned
   * to their entries. */
  void Stop(Time now);
  /*! @brief Runs the periodic work: dispatch, preemption, polls and expiry. */
  void Tick(Time now);

  /*! @brief Slots in use by team in pools that have a backlog and no free
   * slot. */
  [[nodiscard]] std::vector<TeamUse> ContendedUse(Time now) const;
  /*! @brief Number of tasks by VM: those of this entry on VMs that are not
   * serving, and those it runs for peers on any VM. */
  [[nodiscard]] std::vector<VmUse> LeavingUse() const;
  /*! @brief Generations of the pool records that this entry has applied. */
  [[nodiscard]] std::vector<PoolSeen> PoolGenerations() const;
  /*! @brief Pools by id, for reports to operators. */
  [[nodiscard]] const std::map<PoolId, std::unique_ptr<Pool>>& pools() const {
    return this->pools_by_id;
  }
  /*! @brief Finds a job by its id or request id, for operators; null if there
   * is none. */
  [[nodiscard]] const WorkItem* Find(const std::string& id) const;
  /*! @brief Number of attempts of this entry's jobs that run or may run,
   * including placed jobs whose claim is pending, but not tasks run for
   * peers. */
  [[nodiscard]] std::size_t running() const { return this->job_by_task.size(); }
  /*! @brief True if the request id of a queued job is claimed by this entry. */
  [[nodiscard]] bool HasClaimedQueuedJobs() const;

 private:
  // Permits of an abandoned attempt that may still run; released when its lease
  // has expired.
  struct ExpiringPermits {
    Time until;
    std::vector<permit::Subject> subjects;
  };

  [[nodiscard]] Pool* FindPool(const PoolId& id);
  [[nodiscard]] WorkItem* FindWorkByJob(const TaskId& job);
  [[nodiscard]] WorkItem* FindWorkByTask(const TaskId& task);
  [[nodiscard]] std::vector<permit::Subject> SubjectsOf(const Job& job) const;
  [[nodiscard]] std::optional<Reason> InvalidReason(const Job& job) const;
  [[nodiscard]] bool KeyPending(const Job& job) const;
  [[nodiscard]] std::uint32_t PermitQuota(const permit::Subject& subject) const;
  [[nodiscard]] bool HasPermits(const Job& job) const;
  [[nodiscard]] std::optional<InstanceId> DelegateFor(const Job& job,
                                                      Time now) const;
  [[nodiscard]] share::Eligibility CheckEligibility(const WorkItem& work,
                                                    Time now) const;

  void Enqueue(Pool& pool, WorkItem& work, Time now);
  void RemoveQueuedDemand(const WorkItem& work);
  void Dispatch(Pool& pool, Time now);
  bool Place(Pool& pool, WorkItem& work, const VmId& vm, Time now);
  void Launch(WorkItem& work, Time now);
  void CancelPlacement(WorkItem& work, Time now);
  void EndAttempt(WorkItem& work, route::TaskOutcome end, bool ended, Time now);
  void RetryOrFinish(WorkItem& work,
                     route::AttemptOutcome end,
                     Reason reason,
                     Time now);
  void Recover(WorkItem& work, Time now);
  void Requeue(WorkItem& work, Time now);
  void Finish(WorkItem& work, Outcome outcome, Time now);
  void NotifyListeners(const WorkItem& work);
  void NotifyListener(const WorkItem& work, const Listener& listener);
  void EndDelegatedTask(AttemptResult result, Time now);
  void ProcessClaimResults(Time now);
  void ProcessAdoptions(Time now);
  void PollTargets(Pool& pool, Time now);
  void ReadRecord(Pool& pool, Time now);
  [[nodiscard]] bool HasRecentState(const Pool& pool, Time now) const;
  [[nodiscard]] bool MayStart(const WorkItem& work,
                              const Pool& pool,
                              Time now) const;
  void UpdatePoolOwner(Pool& pool, Time now);
  void AccountExternalTasks(Pool& pool,
                            const VmId& vm,
                            const std::vector<ReportedTask>& reported,
                            Time now);
  void ReturnJob(WorkItem& work, Time now);
  void ReturnQueuedJobs(Pool& pool, Time now);
  void Preempt(Pool& pool, Time now);
  void EndExcessTasks(Time now);
  void CheckRecovering(Time now);
  bool Unreachable(const WorkItem& work);
  void UpdateDemand(Time now);
  void ExpireResults(Time now);
  [[nodiscard]] std::optional<Reason> FindRefusal(const TaskId& job) const;
  void UpdateTargets(Pool& pool, Time now);
  void UpdateExternalUse(Time now);
  void SendTaskOrder(WorkItem& work, TaskOrder order);

  EntryContext& context;
  std::map<PoolId, std::unique_ptr<Pool>> pools_by_id;
  std::unordered_map<TaskId, std::unique_ptr<WorkItem>> work_by_job;
  std::unordered_map<RequestId, TaskId> job_by_request;
  std::unordered_map<TaskId, TaskId> job_by_task;
  // Tasks run for peers.
  std::unordered_map<TaskId, DelegatedTask> delegated_tasks;
  std::map<permit::Subject, std::uint32_t> queued_demand;
  std::map<permit::Subject, std::uint32_t> sent_demand;
  std::multimap<Time, TaskId> result_expiry;  // by the end of retention
  // Refused submissions in two generations. A delayed copy of a refused
  // submission must not run after its caller has received "not run".
  std::unordered_map<TaskId, Reason> refused_jobs;
  std::unordered_map<TaskId, Reason> previous_refused_jobs;
  Time next_refused_rotation;
  std::deque<TaskId> retained_results;
  std::size_t retained_bytes = 0;
  std::vector<ExpiringPermits> expiring_permits;
  std::map<InstanceId, std::vector<TeamUse>> peer_use;
  std::uint64_t last_attempt = 0;
  Time next_limit_check;
};

}  // namespace kch::engine

#endif  // ENGINE_SCHEDULER_H_
