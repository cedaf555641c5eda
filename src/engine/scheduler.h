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
 * targets, follows them to their end and answers the entries that sent them. */
class Scheduler {
 public:
  explicit Scheduler(EntryContext& context) : context(context) {}

  /*! @brief Takes a job from an entry; a repeat returns what is known. */
  void OnSubmit(const InstanceId& from, Submit submit, Time now);
  /*! @brief An entry no longer wants an answer. */
  void OnCancel(const InstanceId& from, const CancelJob& cancel, Time now);
  /*! @brief Follows a task that a scheduler which failed had started. */
  void Adopt(const Job& job, const Attempt& attempt, Time deadline, Time now);
  /*! @brief Starts a peer's task against a permit of this entry. */
  void OnDelegate(const InstanceId& from, Delegate order, Time now);
  /*! @brief An attempt of this entry, or one it delegated, ended. */
  void OnAttemptEnded(AttemptResult result, Time now);
  /*! @brief A worker reported, or could not be reached. */
  void OnReport(const WorkerReport& report, Time now);
  /*! @brief The record of a pool was read. */
  void OnPool(const PoolId& id,
              std::uint64_t version,
              const maintain::PoolRecord& record,
              Time now);
  /*! @brief The configuration or the platform's list changed. */
  void OnConfig(Time now);
  /*! @brief A peer reported its use of pools that have a backlog. */
  void OnPeerUse(const InstanceId& peer, std::vector<TeamUse> use, Time now);
  /*! @brief A peer reported the generations of the pool records it follows. */
  void OnPeerPoolGenerations(const std::vector<PoolSeen>& pools, Time now);
  /*! @brief A read of a pool record ended. */
  void OnPoolReply(const StoreReply& reply);
  /*! @brief A peer is down: attempts it runs for this entry are followed. */
  void OnPeerDown(const InstanceId& peer, Time now);
  /*! @brief Begins the shutdown: queued jobs go back to their entries. */
  void Stop(Time now);
  /*! @brief Performs what is due. */
  void Tick(Time now);

  /*! @brief Slots in use by team in pools with a backlog. */
  [[nodiscard]] std::vector<TeamUse> ContendedUse(Time now) const;
  /*! @brief Tasks of this entry on VMs that are out of service. */
  [[nodiscard]] std::vector<VmUse> LeavingUse() const;
  /*! @brief Generations of the pool records that this entry follows. */
  [[nodiscard]] std::vector<PoolSeen> PoolGenerations() const;
  /*! @brief The pools, for reports to operators. */
  [[nodiscard]] const std::map<PoolId, std::unique_ptr<Pool>>& pools() const {
    return this->known_pools;
  }
  /*! @brief A job by its id or by its request id, for operators. */
  [[nodiscard]] const WorkItem* Find(const std::string& id) const;
  /*! @brief Tasks that run against permits of this entry, or may. */
  [[nodiscard]] std::size_t running() const { return this->job_by_task.size(); }
  /*! @brief True if jobs wait whose request ids this entry has claimed. */
  [[nodiscard]] bool HasClaimedQueuedJobs() const;

 private:
  // Permits that a task may still use although nobody waits for it.
  struct ExpiringPermits {
    Time until;
    std::vector<permit::Subject> subjects;
  };

  [[nodiscard]] Pool* FindPool(const PoolId& id);
  [[nodiscard]] WorkItem* FindWorkByJob(const TaskId& job);
  [[nodiscard]] WorkItem* FindWorkByTask(const TaskId& task);
  [[nodiscard]] std::vector<permit::Subject> SubjectsOf(const Job& job) const;
  [[nodiscard]] std::optional<Reason> FindInvalidity(const Job& job) const;
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
  std::map<PoolId, std::unique_ptr<Pool>> known_pools;
  std::unordered_map<TaskId, std::unique_ptr<WorkItem>> work_by_job;
  std::unordered_map<RequestId, TaskId> job_by_request;
  std::unordered_map<TaskId, TaskId> job_by_task;  // task to job
  std::unordered_map<TaskId, DelegatedTask>
      delegated_tasks;  // tasks run for peers
  std::map<permit::Subject, std::uint32_t> queued_demand;
  std::map<permit::Subject, std::uint32_t> sent_demand;
  std::multimap<Time, TaskId> result_expiry;  // by the end of their retention
  // Refused submissions, in two generations, so that a late copy of one does
  // not run after its caller was told that it has not.
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
