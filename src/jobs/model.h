#ifndef JOBS_MODEL_H_
#define JOBS_MODEL_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/base.h"

namespace kch::jobs {

using JobId = Id<struct JobTag>;
using QueueId = Id<struct QueueTag>;
using WaveId = Id<struct WaveTag>;
using MachineId = Id<struct MachineTag>;

/*! @brief True for 1 to 64 letters, digits, '-' and '_'. Ids become parts of
 * keys, paths and task names, so they hold nothing that separates those. */
[[nodiscard]] bool IsJobId(std::string_view text);

/*! @brief Amounts of what a VM offers and a task occupies. */
struct Resources {
  std::int64_t cpu_m = 0;  // thousandths of a core
  std::int64_t memory_mb = 0;
  std::int64_t gpus = 0;

  bool operator==(const Resources&) const = default;
  auto operator<=>(const Resources&) const = default;
  Resources& operator+=(const Resources& other);
  Resources& operator-=(const Resources& other);
  /*! @brief True if no amount exceeds that of `room`. */
  [[nodiscard]] bool Within(const Resources& room) const;
};

/*! @brief Sum of the work of the jobs that have arrived since some start. */
struct ArrivedWork {
  std::int64_t jobs = 0;
  Resources resource_ms;  // what the tasks occupy times their duration in ms
};

[[nodiscard]] Resources operator+(Resources left, const Resources& right);
[[nodiscard]] Resources operator-(Resources left, const Resources& right);
[[nodiscard]] Resources operator*(const Resources& amounts, std::int64_t count);
/*! @brief The larger of the shares of processors and memory that a part takes
 * of a whole, as a ratio (1: all of it); 100 for a positive amount of an absent
 * resource. GPUs do not count. */
[[nodiscard]] double DominantShare(const Resources& part,
                                   const Resources& whole);

/*! @brief Most tasks that a job may have over all steps of an occurrence. */
inline constexpr std::int32_t kMaxTasksPerJob = 20'000;

/*! @brief A step of a job: equal tasks that run beside each other. */
struct StepSpec {
  std::int32_t count = 1;
  Resources need;                // of each task
  std::int64_t estimate_ms = 0;  // the submitter's rough estimate of a task
  std::vector<std::int32_t> depends_on;  // earlier steps that must be complete
  std::string label;                     // a VM must have it; empty: any VM
  RackId preferred_rack;            // rack that holds the data; empty: none
  std::int32_t max_per_vm = 0;      // tasks of the step on one VM; 0: no limit
  bool writes_checkpoints = false;  // the tasks write checkpoints
  // The tasks work only together: all start at once, and the end of one ends
  // all.
  bool gang = false;
  // The tasks are slow across racks: a gang is placed on one rack if one has
  // room, else across racks.
  bool single_rack = false;
  // A task may run more than once; the scheduler does not use this.
  bool speculative = false;
  bool endless = false;  // the tasks run until the job is cancelled
  // Runs in processor time that others leave, and occupies none (see Occupies).
  bool backfill = false;
  std::string image;
  std::int64_t target_ms = 0;  // bound of a serving task's tail latency
  std::int32_t max_unavailable =
      0;  // endless tasks that may be unavailable at once

  /*! @brief The part of a VM's declared capacity that a task occupies. */
  [[nodiscard]] Resources Occupies() const;
};

/*! @brief Times at which a job's steps run. */
struct Schedule {
  std::int64_t first_ms = 0;  // Unix time
  std::int64_t interval_ms = 0;
  std::int32_t times = 0;  // 0: not scheduled, the steps run once, at once
};

/*! @brief A queue of the configuration. */
struct Queue {
  QueueId id;
  PoolId pool;
  std::int32_t priority = 0;  // 0 comes first
  std::int32_t max_attempts = 1;
  // A job's objective is stretch * critical path + target_ms.
  double stretch = 1;
  std::int64_t target_ms = 0;
  bool advised = false;  // an external policy decides which VMs may run it
};

/*! @brief A job as submitted. */
struct JobSpec {
  JobId id;
  // The queue's settings when the job was accepted. They apply only if the
  // queue is no longer in the configuration.
  Queue queue;
  TeamId team;          // empty: an open queue
  std::string payload;  // passed to each task unchanged
  std::vector<StepSpec> steps;
  Schedule schedule;
  std::int64_t accepted_ms = 0;  // Unix time

  /*! @brief Number of times the steps run. */
  [[nodiscard]] std::int32_t Occurrences() const {
    return this->schedule.times > 0 ? this->schedule.times : 1;
  }
  /*! @brief Number of tasks each time the steps run. */
  [[nodiscard]] std::int64_t TasksPerOccurrence() const;
  /*! @brief Unix time from which an occurrence may start; 0: at once. */
  [[nodiscard]] std::int64_t DueMs(std::int32_t occurrence) const;
  /*! @brief Number of occurrences that are due by a Unix time, the first ones.
   */
  [[nodiscard]] std::int32_t DueBy(std::int64_t wall_ms) const;
  /*! @brief True if the job ends only by cancellation. */
  [[nodiscard]] bool Endless() const;
};

/*! @brief Names one task. */
struct TaskRef {
  JobId job;
  std::int32_t occurrence = 0;
  std::int32_t step = 0;
  std::int32_t index = 0;

  auto operator<=>(const TaskRef&) const = default;
  /*! @brief `JOB.OCCURRENCE.STEP.INDEX` */
  [[nodiscard]] std::string Name() const;
  /*! @brief Parses a name; no value if it is malformed. */
  [[nodiscard]] static std::optional<TaskRef> Parse(std::string_view name);
};

/*! @brief A job's state as reported to its submitter. */
enum class JobState : std::uint8_t {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/*! @brief How a run of a task ended on its VM. */
enum class RunEnd : std::uint8_t {
  kDone,
  kFailed,   // by its own fault or the VM's
  kStopped,  // by an order
  kExpired,  // its lease was not renewed
  kBroken,   // another member of its gang ended
  kAlone,    // its gang did not assemble in time
};

/*! @brief Answer of a VM to an order to start a run. */
enum class StartAnswer : std::uint8_t {
  kAccepted,
  kFenced,      // the VM has received a higher fence from another scheduler
  kOldRun,      // this run or a later one ended there
  kExpired,     // the order arrived after its lease
  kNoRoom,      // the VM has no room
  kNoPermit,    // the advice service's permit is missing or not valid
  kInvalid,     // the VM rejected the order as malformed
  kUnhealthy,   // refused without effect; the VM is unhealthy
  kOtherVm,     // another VM answers at that address
  kNoAnswer,    // the order may still be carried out
  kNotSent,     // the order was not sent, so it has no effect
  kNotCarried,  // no process relayed the order to the VM
  kRelayLost,   // the relaying process terminated; the order may be carried out
};

/*! @brief A team's weight and its limit over the whole fleet. */
struct TeamLimit {
  double weight = 1;
  Resources maximum;  // 0: no limit
};

/*! @brief A pool of VMs. */
struct PoolFacts {
  bool enforces_capacity = false;  // its VMs refuse runs that do not fit
  bool standby = false;            // its VMs are off
};

/*! @brief The part of the configuration that scheduling depends on. */
struct FleetConfig {
  std::uint64_t version = 0;
  std::map<QueueId, Queue> queues;
  std::map<TeamId, TeamLimit> teams;
  std::map<PoolId, PoolFacts> pools;
  // Pools that queues have led to under earlier versions, as far as is known;
  // also of queues that have been removed.
  std::map<QueueId, std::set<PoolId>> earlier_pools;

  /*! @brief Adds what is known of the pools of an earlier version's queues. */
  void AddEarlierPools(const FleetConfig& earlier);
};

/*! @brief The contents of a VM's registration. */
struct VmFacts {
  VmId id;
  PoolId pool;
  std::string address;
  ZoneId zone;
  RackId rack;
  std::set<std::string> labels;
  Resources capacity;
  bool leaving = false;
  // Unix time of its start, which identifies the incarnation; 0: unknown.
  std::int64_t boot_ms = 0;

  bool operator==(const VmFacts&) const = default;
  /*! @brief True if it has the label that a step requires, if any. */
  [[nodiscard]] bool HasLabel(const std::string& label) const {
    return label.empty() || this->labels.contains(label);
  }
};

/*! @brief A VM's record for successors. */
struct VmRecord {
  VmFacts facts;  // of the incarnation that was ordered last
  // It may hold a lease by the clock of an earlier incarnation.
  bool earlier_lease = false;
};

/*! @brief A run in a VM's report. */
struct RunningRow {
  std::string task;
  std::int64_t run = 0;
  std::string checkpoint;
  // Part of the work that is done; endless tasks: 100 if fully running.
  std::int32_t percent = 0;
  // Over the last half second. Serving tasks: tail latency in ms; others:
  // processor use.
  std::int64_t gauge = 0;
};

/*! @brief An ended run in a VM's report. */
struct EndedRow {
  std::int64_t number = 0;  // rises with each end; restarts with the VM
  std::string task;
  std::int64_t run = 0;
  RunEnd how = RunEnd::kDone;
  std::string checkpoint;
};

/*! @brief Running and ended runs as reported by their VM. */
struct VmReport {
  std::int64_t clock_ms = 0;  // the VM's clock
  std::int64_t boot_ms = 0;   // 0: not reported
  std::vector<RunningRow> running;
  std::vector<EndedRow> ended;  // the earliest that are not acknowledged
  bool more_ends = false;       // `ended` may leave later ones out
};

}  // namespace kch::jobs

template <>
struct kch::NameTable<kch::jobs::JobState> {
  static constexpr std::array<std::pair<kch::jobs::JobState, std::string_view>,
                              5>
      kEntries{{{kch::jobs::JobState::kQueued, "queued"},
                {kch::jobs::JobState::kRunning, "running"},
                {kch::jobs::JobState::kCompleted, "completed"},
                {kch::jobs::JobState::kFailed, "failed"},
                {kch::jobs::JobState::kCancelled, "cancelled"}}};
};

template <>
struct kch::NameTable<kch::jobs::RunEnd> {
  static constexpr std::array<std::pair<kch::jobs::RunEnd, std::string_view>, 6>
      kEntries{{{kch::jobs::RunEnd::kDone, "done"},
                {kch::jobs::RunEnd::kFailed, "failed"},
                {kch::jobs::RunEnd::kStopped, "stopped"},
                {kch::jobs::RunEnd::kExpired, "expired"},
                {kch::jobs::RunEnd::kBroken, "broken"},
                {kch::jobs::RunEnd::kAlone, "alone"}}};
};

template <>
struct kch::NameTable<kch::jobs::StartAnswer> {
  static constexpr std::
      array<std::pair<kch::jobs::StartAnswer, std::string_view>, 13>
          kEntries{{{kch::jobs::StartAnswer::kAccepted, "accepted"},
                    {kch::jobs::StartAnswer::kFenced, "fenced"},
                    {kch::jobs::StartAnswer::kOldRun, "old_run"},
                    {kch::jobs::StartAnswer::kExpired, "expired"},
                    {kch::jobs::StartAnswer::kNoRoom, "no_room"},
                    {kch::jobs::StartAnswer::kNoPermit, "no_permit"},
                    {kch::jobs::StartAnswer::kInvalid, "invalid"},
                    {kch::jobs::StartAnswer::kUnhealthy, "unhealthy"},
                    {kch::jobs::StartAnswer::kOtherVm, "other_vm"},
                    {kch::jobs::StartAnswer::kNoAnswer, "no_answer"},
                    {kch::jobs::StartAnswer::kNotSent, "not_sent"},
                    {kch::jobs::StartAnswer::kNotCarried, "not_carried"},
                    {kch::jobs::StartAnswer::kRelayLost, "relay_lost"}}};
};

#endif  // JOBS_MODEL_H_
