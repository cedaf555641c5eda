#ifndef JOBS_SCHEDULER_H_
#define JOBS_SCHEDULER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "jobs/effect.h"
#include "jobs/job.h"
#include "jobs/limits.h"
#include "jobs/placement.h"
#include "jobs/rank.h"
#include "jobs/vm.h"
#include "jobs/vm_failures.h"

namespace kch::jobs {

/*! @brief Counters for metrics. */
struct Counters {
  std::uint64_t starts = 0;             // orders to start a run
  std::uint64_t done = 0;               // completed tasks; a gang counts once
  std::uint64_t failed = 0;             // runs
  std::uint64_t lost = 0;               // runs
  std::uint64_t refused_starts = 0;     // also those that were not sent
  std::uint64_t unanswered_starts = 0;  // these may still be carried out
  std::uint64_t ejections = 0;
  std::uint64_t completed_jobs = 0;
  std::uint64_t failed_jobs = 0;
  std::uint64_t cancelled_jobs = 0;
};

/*! @brief Schedules tasks on the VMs of the whole fleet.
 *
 * One instance at a time owns the fleet; its orders carry a fence that rises
 * with each owner. Methods take an event and the time; TakeEffects
 * returns the effects to perform. */
class Scheduler {
 public:
  explicit Scheduler(const Limits& limits);
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  // Configuration and registrations.
  void SetConfig(const FleetConfig& config, Time now);
  void SetUnavailableZones(std::set<ZoneId> zones);
  /*! @brief A VM's registration appeared or changed. */
  void SetVm(const VmFacts& facts, Time now);
  /*! @brief A VM's registration was removed. */
  void RemoveVm(const VmId& vm, Time now);
  /*! @brief Adds a VM whose record a predecessor stored; it may run tasks
   * without being registered. */
  void SetPersistedVm(const VmRecord& record, Time now);
  /*! @brief A VM's record is stored. */
  void OnVmPersisted(const VmId& vm);
  /*! @brief A VM that a predecessor ended by an order. */
  void SetEndedVm(const VmId& vm, std::int64_t boot_ms);
  /*! @brief Forbids or allows new starts on a VM, before maintenance. */
  void Cordon(const VmId& vm, bool on);

  // Jobs.
  /*! @brief Adds a job with its stored progress (empty: none) and the revision
   * of that record; `inherited` ones were accepted before this scheduler took
   * over. `arrived` is the local time of acceptance. If the progress is
   * unreadable, the job is logged and not added. */
  void AddJob(JobSpec spec,
              std::string_view progress,
              std::uint64_t revision,
              bool inherited,
              Time arrived,
              Time now);
  /*! @brief A job that ended under a predecessor, with its record's revision.
   */
  void AddEnded(const JobId& job,
                const JobView& view,
                std::uint64_t revision,
                Time now);
  /*! @brief Cancels a job, or remembers the cancel until the job is added. */
  void CancelJob(const JobId& job, Time now);
  /*! @brief The predecessor gives no orders after this time, which may be moved
   * forward. */
  void SetPredecessorEnd(Time end);
  /*! @brief Called once all facts and jobs of the predecessor have been added:
   * polls all VMs before anything starts, and waits until `not_before` for
   * registrations that lapsed while the store was unavailable. `wall_ms` is the
   * Unix time. */
  void BeginRecovery(Time now, std::int64_t wall_ms, Time not_before = {});

  // Replies to effects.
  /*! @brief A VM answered a poll; `sent` is when the poll was submitted. */
  void OnReport(const VmId& vm, const VmReport& report, Time sent, Time now);
  /*! @brief A VM answered a poll that was taken for lost. Only the ends count:
   * what the report says of runs at work may be outdated. */
  void OnLateReport(const VmId& vm, const VmReport& report, Time now);
  /*! @brief A poll was refused for its fence (`fenced`), reached another VM at
   * the address (`other_vm`), or had no usable answer. */
  void OnPollFailed(const VmId& vm, bool fenced, bool other_vm, Time now);
  /*! @brief Outcome of a StartRun; `clock_ms` is the VM's clock, 0 if not
   * reported. */
  void OnStart(const VmId& vm,
               const TaskRef& task,
               std::int64_t run,
               StartAnswer answer,
               std::int64_t clock_ms,
               Time now);
  /*! @brief Outcome of a StopRun; one that was not answered may be sent again
   * after the next report. */
  void OnStop(const VmId& vm,
              const TaskRef& task,
              std::int64_t run,
              bool answered,
              Time now);
  /*! @brief Outcome of a PaceRun; one that was not answered is sent again after
   * the next report. */
  void OnPace(const VmId& vm,
              const TaskRef& task,
              std::int64_t run,
              bool answered);
  /*! @brief Outcome of the WriteRecords whose id is `write`. */
  void OnWritten(std::uint64_t write, const WriteResult& result, Time now);
  /*! @brief The permits granted, by VM; requested VMs without one must not run
   * the step. */
  void OnAdvice(const RequestAdvice& asked,
                const std::map<VmId, std::string>& permits,
                Duration valid_for,
                Time now);
  /*! @brief A request for advice was refused or not answered. */
  void OnAdviceFailed(Time now);

  /*! @brief Places what can start, at most `max_starts` tasks or one gang more;
   * `wall_ms` is the Unix time. No effect during recovery or once superseded.
   */
  void Plan(Time now,
            std::int64_t wall_ms,
            std::optional<std::size_t> max_starts = std::nullopt);
  /*! @brief Performs polls, timeouts, retries and writes that are due. */
  void Tick(Time now, std::int64_t wall_ms);
  /*! @brief Removes and returns the effects decided so far. */
  [[nodiscard]] std::vector<Effect> TakeEffects();

  // Views.
  [[nodiscard]] std::optional<JobView> View(const JobId& job) const;
  /*! @brief Accepted jobs of a queue of which no VM is known to have begun a
   * task; scheduled jobs do not count. */
  [[nodiscard]] std::int64_t Pending(const QueueId& queue) const;
  [[nodiscard]] const std::map<VmId, std::unique_ptr<Vm>>& vms() const {
    return this->fleet;
  }
  /*! @brief Sum of the needs of each team's placed tasks and orphaned runs;
   * what backfill tasks need counts in full. */
  [[nodiscard]] const std::map<TeamId, Resources>& team_usage() const {
    return this->in_use;
  }
  /*! @brief When Tick should be called next, if before its usual interval: the
   * earliest time of the next record write, unset if none can be sent. */
  [[nodiscard]] std::optional<Time> NextWrite() const;
  [[nodiscard]] const Counters& counters() const {
    return this->counter_values;
  }
  [[nodiscard]] std::size_t job_count() const { return this->jobs.size(); }
  /*! @brief Due occurrences of the jobs that have more to come. */
  struct DueOccurrences {
    std::int64_t open = 0;
    std::int64_t held = 0;  // due, but not opened yet
  };
  [[nodiscard]] DueOccurrences CountDue(std::int64_t wall_ms) const;
  [[nodiscard]] bool recovering() const { return this->in_recovery; }
  /*! @brief False while a VM may run tasks of a predecessor, or have run them,
   * that it has not listed to this scheduler. */
  [[nodiscard]] bool RunsKnown(const Vm& vm, Time now) const {
    return this->RunsKnown(vm, vm.added, now);
  }
  /*! @brief True once a VM has refused an order for its fence. */
  [[nodiscard]] bool is_superseded() const { return this->superseded; }
  /*! @brief Stops the endless tasks on a VM, so that they start elsewhere, as
   * far as `max_unavailable` of their steps allows (at least one task) and
   * other VMs have room. */
  void EvictEndless(const VmId& vm, Time now);
  /*! @brief A VM ends by an order: everything on it has ended. */
  void EndVm(const VmId& vm);
  /*! @brief Capacity, use and unmet demand of a pool. */
  struct Demand {
    Resources capacity;    // of usable VMs
    Resources used;        // on all VMs of the pool, usable or not
    Resources waiting;     // of tasks that could start at once
    Resources endless;     // used or waited for by endless tasks
    Resources waiting_ms;  // of waiting finite tasks times their duration in ms
    ArrivedWork arrived;   // of finite jobs since this scheduler began
  };
  [[nodiscard]] Demand DemandOf(const PoolId& pool, Time now) const;
  /*! @brief What the steps of a pool need of its VMs beside capacity. A pool
   * may have room for a task that none of its VMs may take. */
  [[nodiscard]] std::vector<PlacementNeed> PlacementNeedsOf(const PoolId& pool,
                                                            Time now) const;
  /*! @brief Waiting work of a team in a queue. */
  struct QueuedWork {
    QueueId queue;
    TeamId team;
    Resources resource_ms;  // what the tasks will occupy times their estimates
  };
  /*! @brief Waiting work of a pool, and what follows it in the same jobs, that
   * can still end in time to be of use. */
  [[nodiscard]] std::vector<QueuedWork> QueuedWorkOf(const PoolId& pool,
                                                     Time now) const;
  /*! @brief Used and waiting over usable capacity of a VM's pool without that
   * VM, given the pool's demand. What the VM's own runs use stays counted. Far
   * above 1 if no capacity remains. */
  [[nodiscard]] double UtilizationWithout(const Vm& vm,
                                          const Demand& demand,
                                          Time now) const;

 private:
  // A step with waiting tasks.
  struct StepRef {
    Job* job = nullptr;
    std::int32_t occurrence = 0;
    std::int32_t step = 0;

    bool operator<(const StepRef& other) const;
    [[nodiscard]] const StepSpec& spec() const;
    [[nodiscard]] Step& progress() const;
  };
  struct RankedStep {
    Rank rank;
    StepRef step_ref;
  };
  struct Pool {
    std::map<VmId, Vm*> vms;
    std::set<StepRef> ready;
    // Some VMs of the pool had not answered at this time, or had left ends out,
    // so inherited tasks may run there or have ended there.
    std::optional<Time> unreached_at;
    ArrivedWork arrived;
  };
  // A VM with room; one that is not usable is cordoned and takes endless tasks
  // only, while it still runs one.
  struct Candidate {
    Vm* vm = nullptr;
    bool usable = false;
  };
  // Where the waiting tasks of a pool may start in a pass.
  struct CandidateSet {
    Resources smallest_need;  // of what they need, each amount by itself
    std::vector<Candidate> vms;
  };
  struct Permit {
    std::string token;
    Time valid_until;
  };
  // An order to start that had no answer and may be carried out late. A stop
  // makes the incarnation that receives it refuse the run.
  struct LateStart {
    TaskRef task;
    std::int64_t run = 0;
    Time given_up;  // when no answer had come
    // An earlier incarnation was ordered, so this one has to receive a stop.
    bool stop_due = false;
    Time stop_sent;
    Time stop_answered;
    bool earlier_clock = false;  // its lease is one by an earlier clock
  };
  // Answers of the advice service for a step.
  struct Advice {
    std::map<VmId, Permit> permits;
    std::set<VmId> denied;
  };

  static StepRef StepRefOf(const Task& task);
  void EmitLogEvent(
      std::string_view event,
      std::vector<std::pair<std::string_view, std::string>> fields);
  Vm* FindVm(const VmId& id);
  Job* FindJob(const JobId& id);
  Task* FindTask(const TaskRef& ref);
  Step& StepOf(const Task& task);
  const Queue& QueueOf(const Job& job) const;
  Pool& PoolOf(const Job& job);

  // scheduler.cc
  void OpenOccurrence(Job& job, std::int32_t number);
  void OpenDue(Job& job, std::int64_t wall_ms);
  void OpenAllDue(std::int64_t wall_ms);
  void OpenReported(const TaskRef& ref, Time now);
  void CountArrival(const Job& job);
  void UpdateReady(Job& job, const Occurrence& occurrence, std::int32_t step);
  void UpdateReady(Job& job, const Occurrence& occurrence);  // all steps
  void UpdateAllReady(Job& job);
  void Place(Task& task, Vm& vm);
  void Release(Task& task);  // frees what a placed task occupies
  void Requeue(Task& task);
  void MarkDirty(Job& job);
  void EndJob(Job& job, JobState state, Time now);
  void MarkStarted(Job& job);
  Duration LongestLease() const;
  Duration LongestGrantedLease() const;
  Time InheritedRunsEnd(const Vm& vm, Time reached) const;
  bool RunsKnown(const Vm& vm, Time reached, Time now) const;
  std::optional<Time> LeaseEnd(const Vm& vm) const;
  bool MayHoldEarlierLease(const Vm& vm, Time now) const;
  bool MayStartLate(const Vm& vm, Time now) const;
  bool Active(const Task& task, Time now) const;
  /*! @brief Number of other tasks of its step that are not known to be active.
   */
  std::int32_t OthersUnavailable(const Task& task, Time now);
  /*! @brief Number of a step's tasks that are not known to be active. */
  std::int32_t Unavailable(const Step& step, Time now) const;

  // scheduler_report.cc
  void LogOutlivedLease(const Vm& vm, const VmReport& report);
  void ReconcileRuns(Vm& vm, Time sent, Time now);
  void HandleRunning(Vm& vm, const RunningRow& row, Time now);
  void HandleEnds(Vm& vm, const VmReport& report, Time now);
  void HandleEnd(Vm& vm, const VmReport& report, const EndedRow& row, Time now);
  void LogLostRunDone(const Vm& vm,
                      const VmReport& report,
                      const EndedRow& row,
                      const Task& task,
                      Time now);
  void AwaitRecord(Vm& vm, const Job& job);
  void HandleDone(Task& task, bool current, Time now);
  void HandleFailure(Task& task, const Vm& vm, std::int64_t run, Time now);
  void CompleteStep(Job& job, Occurrence& occurrence, Time now);
  // An empty `reason`: another event tells why.
  void StopTask(Task& task, std::string_view reason = {});
  void SendStop(Task& task, const Vm& vm);
  bool MayRepeatStop(const Task& task, const Vm& vm, Time now);
  void StopOrphan(Vm& vm, const TaskRef& ref, std::int64_t run, Time now);
  [[nodiscard]] Time BarredAfter(const Task& task,
                                 const Vm& vm,
                                 Time now) const;
  void StopLateStarts(Vm& vm, Time now);
  void SettleLateStarts(Vm& vm, Time sent);
  [[nodiscard]] bool HasLateStop(const Vm& vm) const;
  bool MayRunLate(const Task& task, Time now);
  [[nodiscard]] bool HasOrphan(const Task& task) const;
  void RemoveUnlistedOrphans(Vm& vm, std::uint64_t listed_in);
  void RestartVm(Vm& vm, const VmFacts& facts, Time now);
  void MarkRunsLost(Vm& vm, std::string_view reason);
  void AttributeFailure(Vm& vm, const Task& task, Time now);
  void OnSuccess(Vm& vm);
  void EjectIfFailing(Vm& vm, const Task& task, Time now);
  [[nodiscard]] bool MayEjectMore(const PoolId& pool, Time now) const;
  void EndUnfoundedEjection(Vm& vm, Time now);
  void SetUnresponsive(Vm& vm, std::string_view unanswered, Time now);
  void OnFenced(const VmId& id);
  void DropVm(const VmId& id);

  // scheduler_plan.cc
  void EstimateUnreportedUse();
  void EstimateUnknownUse();
  void LogWaitingEndless(Time now);
  bool MayRunInherited(const Pool& pool, Time now) const;
  void UpdateUnreachedPools(Time now);
  std::set<PoolId> PoolsOf(const Job& job) const;
  bool HeldBack(const Job& job) const;
  void PlanPool(Pool& pool, std::uint64_t max_starts, Time now);
  std::vector<Candidate> VmsWithRoom(const Pool& pool,
                                     const Resources& smallest_need,
                                     Time now) const;
  void ReadOldClocks(std::vector<Candidate>& room, Time now) const;
  bool PlanStep(const RankedStep& ranked,
                Pool& pool,
                const CandidateSet& room,
                std::uint64_t last_start,
                Time now);
  bool PlanGang(const RankedStep& ranked,
                Pool& pool,
                const CandidateSet& candidates,
                Time now);
  static std::int32_t TasksOn(const Vm& vm, const StepRef& step_ref);
  Vm* ChooseVm(const Task& task, const CandidateSet& room, Time now);
  bool Usable(const Vm& vm, Time now) const;
  bool UsableForEndless(const Vm& vm, Time now) const;
  bool Available(const Vm& vm, Time now) const;
  bool WithinTeamLimit(const Job& job, const Resources& more) const;
  void LogInferredEnd(const Task& task, const Vm& next, Time now);
  void Start(Task& task, Vm& vm, std::int64_t run, Time now);

  // scheduler_placement.cc
  // Tasks of a rule, see PlacementNeed.
  struct TaskCounts {
    std::int64_t tasks = 0;
    std::int64_t startable = 0;
  };
  using PlacementTasks = std::map<PlacementRule, TaskCounts>;
  [[nodiscard]] std::int64_t MayStart(const StepRef& step_ref) const;
  void AddEndlessPlacement(const Pool& pool, PlacementTasks& tasks) const;
  void AddFinitePlacement(const Pool& pool, PlacementTasks& tasks) const;
  [[nodiscard]] std::optional<PlacementNeed> UnplacedNeed(
      const StepRef& step_ref,
      const Pool& pool,
      std::int64_t tasks,
      Time now) const;

  // scheduler_advice.cc
  const std::string* PermitOf(const StepRef& step_ref,
                              const VmId& vm,
                              Time now) const;
  void PrepareAdviceRequest(const RankedStep& ranked,
                            const Pool& pool,
                            Time now);
  void SendAdviceRequest();
  void DropAdvice(const VmId& vm);
  void DropAdvice(Job& job, std::optional<std::int32_t> occurrence);

  // scheduler_tick.cc
  void FinishRecovery(Time now);
  void PollVms(Time now);
  bool PollDue(const Vm& vm, Time now) const;
  void SendPoll(Vm& vm, Time now);
  void PaceVm(Vm& vm, Time now);
  void WriteChanges(Time now);
  void Acknowledge(Vm& vm, Time now);
  bool HasRuns(Occurrence& occurrence);
  bool HasRuns(Job& job);
  void EraseExpiredJobs(Time now);

  Limits limits;
  FleetConfig config;
  std::set<ZoneId> unavailable_zones;
  std::map<VmId, std::unique_ptr<Vm>> fleet;
  std::unordered_map<JobId, std::unique_ptr<Job>> jobs;
  std::map<PoolId, Pool> pools;
  // Pools where inherited tasks may run on VMs that have not answered, or have
  // ended on VMs that have left ends out, as of the last pass.
  std::set<PoolId> unreached_pools;
  std::map<TeamId, Resources> in_use;
  std::map<TeamId, Resources>
      unreported_use;  // by tasks that may run on VMs without a report
  // VMs with orphaned runs of unknown size, what these may use, by team, and
  // what runs of unknown teams may use.
  std::set<VmId> unknown_orphan_vms;
  std::set<JobId> sought_jobs;  // whose teams have been asked for
  std::map<TeamId, Resources> unknown_use;
  Resources unattributed_use;
  std::map<QueueId, std::int64_t> pending;
  std::set<JobId> scheduled;  // jobs with occurrences that are not open yet
  std::unordered_set<JobId> early_cancels;  // cancelled before they were added
  std::map<StepRef, Advice> advice;
  // The most urgent request of a planning pass; one is pending at a time.
  std::optional<std::pair<Rank, RequestAdvice>> advice_request;
  bool advice_pending = false;
  Time advice_not_before;

  // VMs that ended by an order and may still be registered.
  struct Ended {
    std::int64_t boot_ms = 0;
    bool registered = true;
  };
  std::map<VmId, Ended> ended_vms;

  bool in_recovery = false;
  Time recovery_ends;
  Time recovery_began;
  std::int64_t recovery_wall_ms = 0;  // Unix time when the recovery began
  Time recovery_not_before;
  Time predecessor_end;
  bool superseded = false;

  std::uint64_t bounded_passes = 0;  // Plan with max_starts

  // By VM, also while it is gone: it may return under its id.
  std::map<VmId, std::vector<LateStart>> late_starts;
  // VMs that may hold late starts with a stop due, by task.
  std::map<TaskRef, std::set<VmId>> late_start_vms;
  VmFailures vm_failures;
  // How many VMs hold an orphaned run of a task.
  std::map<TaskRef, int> orphaned_tasks;

  std::set<JobId> dirty;  // jobs with changes to store
  // Endless steps with waiting tasks, and since when, as of the last look.
  using StepKey = std::tuple<JobId, std::int32_t, std::int32_t>;
  std::map<StepKey, Time> endless_waits;
  Time next_waits_log;
  std::uint64_t last_write = 0;
  std::map<std::uint64_t, std::vector<JobId>> writes;  // pending
  Time write_retry;
  Time last_write_at;
  std::deque<std::pair<Time, JobId>> ended_jobs;  // by the time of their end
  Counters counter_values;
  std::vector<Effect> effects;
};

}  // namespace kch::jobs

#endif  // JOBS_SCHEDULER_H_
