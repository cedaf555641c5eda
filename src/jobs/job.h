#ifndef JOBS_JOB_H_
#define JOBS_JOB_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/time.h"
#include "jobs/model.h"
#include "jobs/number_ranges.h"

namespace kch::jobs {

/*! @brief Where a task is between its first start and its end. */
enum class TaskPhase : std::uint8_t {
  kWaiting,
  kStarting,  // ordered; the VM has not confirmed it
  kRunning,
  kStopping,  // a stop is ordered; it occupies its VM until its end is listed
  kDone,
};

struct Job;

/*! @brief One task and its current run. */
struct Task {
  static constexpr std::int32_t kUnknownPace = -1;

  Job* job = nullptr;
  std::int32_t occurrence = 0;
  std::int32_t step = 0;
  std::int32_t index = 0;

  TaskPhase phase = TaskPhase::kWaiting;
  std::int64_t run = 0;  // number of the current or last run
  // A predecessor may have used run numbers up to this one; new runs get higher
  // ones.
  std::int64_t run_floor = 0;
  // Runs that have failed. VMs report them in any order, and a successor
  // receives the end of a run again if it was recorded but not acknowledged.
  std::set<std::int64_t> failed_runs;
  std::string checkpoint;
  VmId vm;  // of the current run, or of the last one
  // Why the last run counts as ended although its VM has not listed its end;
  // empty if it has, or if there was no run.
  std::string_view inferred_end;
  VmId avoided_vm;  // the VM on which the last run failed
  // When the latest order to start or stop was answered, the order to start
  // timed out, or a report first listed the run; unset while the order is
  // pending.
  Time answered_at;
  std::int64_t lease_until_ms =
      0;  // lease in the order to start, on the VM's clock
  // The VM's clock is past this when the order to start arrives, unless the VM
  // has restarted.
  std::int64_t ordered_after_ms = 0;
  bool resend_stop = false;  // the order to stop must be sent again
  // Endless: this run has been at work long enough to count as a success of
  // its VM, once.
  bool proved_vm = false;
  std::uint64_t last_listed = 0;  // latest report that listed the run
  std::int32_t percent = 0;       // as last reported, see RunningRow
  std::int64_t gauge = 0;         // as last reported, see RunningRow
  // Share of the work that it may do, in percent, or kUnknownPace: the next
  // report sends it.
  std::int32_t pace = 100;

  [[nodiscard]] TaskRef Ref() const;
  [[nodiscard]] const StepSpec& spec() const;
  /*! @brief True if it runs and its VM reports 100 percent for it. */
  [[nodiscard]] bool Active() const {
    constexpr std::int32_t all = 100;
    return this->phase == TaskPhase::kRunning && this->percent == all;
  }
  /*! @brief True if the order to start this endless task timed out but may
   * still be carried out. Until the lease in the order expires, no stop is sent
   * to settle this: it could be carried out late as well and end the task while
   * others of its step are unavailable. */
  [[nodiscard]] bool MayStartLate() const {
    return this->phase == TaskPhase::kStarting && this->answered_at != Time() &&
           this->spec().endless;
  }
  /*! @brief True while it occupies a VM. */
  [[nodiscard]] bool Placed() const {
    return this->phase == TaskPhase::kStarting ||
           this->phase == TaskPhase::kRunning ||
           this->phase == TaskPhase::kStopping;
  }
};

/*! @brief Orders tasks by TaskRef, so that decisions do not depend on memory
 * addresses. */
struct TaskRefLess {
  bool operator()(const Task* left, const Task* right) const;
};

/*! @brief A step of one occurrence. */
struct Step {
  std::vector<Task> tasks;
  std::int32_t waiting = 0;                 // number of tasks in phase kWaiting
  std::int32_t done = 0;                    // number of tasks in phase kDone
  std::set<std::int64_t> gang_failed_runs;  // numbers of a gang's failed runs

  [[nodiscard]] bool Complete() const {
    return this->done == static_cast<std::int32_t>(this->tasks.size());
  }
};

/*! @brief One time that a job's steps run. */
struct Occurrence {
  std::int32_t number = 0;
  std::vector<Step> steps;
  // Cached critical path, valid while this many steps are complete.
  struct Remaining {
    std::ptrdiff_t complete = -1;
    std::int64_t critical_path_ms = 0;
  };
  mutable Remaining remaining;

  [[nodiscard]] bool Complete() const;
  /*! @brief True if a task is placed or done. */
  [[nodiscard]] bool Begun() const;
};

/*! @brief A job and its progress. */
struct Job {
  JobSpec spec;
  JobState state = JobState::kQueued;
  // Occurrences that may start; a finished one stays until none of its tasks is
  // placed. Of a scheduled job only some of those that are due, see
  // OccurrencesToOpen.
  std::map<std::int32_t, Occurrence> open;
  NumberRanges finished;            // occurrences
  std::int64_t first_unopened = 0;  // the ones below are open or finished
  bool inherited = false;           // accepted before this scheduler took over
  // A VM has begun a task, a predecessor stored progress, or the job ended
  // before either (unless it is scheduled).
  bool has_started = false;
  Time arrived;

  // The record in the store. `change_number` counts changes that must be
  // stored, `stored_change` is its value in the last stored record,
  // `writing_change` the one in a pending write (0: none).
  std::uint64_t change_number = 0;
  std::uint64_t stored_change = 0;
  std::uint64_t writing_change = 0;
  std::uint64_t revision = 0;  // of the stored record; 0: none
  // The last write had no answer, so `revision` may be outdated.
  bool revision_unknown = false;
  bool erasing = false;  // the retention is over; the next write erases it
  mutable std::optional<std::int64_t> critical_path_ms;  // of all steps, cached

  [[nodiscard]] bool Ended() const {
    return this->state == JobState::kCompleted ||
           this->state == JobState::kFailed ||
           this->state == JobState::kCancelled;
  }
  /*! @brief True if the steps that a step depends on are complete. */
  [[nodiscard]] bool Ready(const Occurrence& occurrence,
                           std::int32_t step) const;
  /*! @brief When an occurrence was accepted or became due. */
  [[nodiscard]] Time DueAt(std::int32_t occurrence) const;
  /*! @brief Opens an occurrence with all tasks waiting. */
  Occurrence& OpenOccurrence(std::int32_t number);
  /*! @brief The lowest occurrence from this one on that is neither open nor
   * finished; it may be beyond the last one. */
  [[nodiscard]] std::int64_t FirstUnopened(std::int64_t from) const;
  /*! @brief True if every occurrence is open or finished. */
  [[nodiscard]] bool AllOpened() const;
  /*! @brief Critical path over the steps that are not complete, in ms: the
   * longest chain of estimates. */
  [[nodiscard]] std::int64_t CriticalPathMs(const Occurrence& occurrence) const;
  /*! @brief Critical path over all steps, in ms. */
  [[nodiscard]] std::int64_t CriticalPathMs() const;
};

/*! @brief Critical path over all steps of a job, in ms: the longest chain of
 * estimates. */
[[nodiscard]] std::int64_t CriticalPathMs(const std::vector<StepSpec>& steps);

/*! @brief A job's state for its submitter. An end is shown only once it is
 * stored; other states may not be stored yet. */
struct JobView {
  JobState state = JobState::kQueued;
  TeamId team;
  QueueId queue;
};

}  // namespace kch::jobs

#endif  // JOBS_JOB_H_
