#ifndef ROUTE_TARGET_SET_H_
#define ROUTE_TARGET_SET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "route/policy.h"
#include "route/target.h"

namespace kch::route {

/*! @brief Consecutive failures after which a target is ejected. */
inline constexpr int kFailuresToEject = 5;
/*! @brief Duration of the first ejection; doubles up to kMaxEjection. */
inline constexpr Duration kFirstEjection = std::chrono::seconds(1);
/*! @brief Longest ejection. */
inline constexpr Duration kMaxEjection = std::chrono::seconds(60);
/*! @brief Largest percentage of a pool's usable targets that may be ejected or
 * probed at a time. */
inline constexpr std::size_t kMaxEjectedPercent = 30;
/*! @brief A target that returns to service starts with 1 slot; its usable slots
 * double after each interval of this length. */
inline constexpr Duration kRampStep = std::chrono::seconds(1);
/*! @brief Maximum age of the state that a worker's report describes. */
inline constexpr Duration kMaxReportLag = std::chrono::seconds(2);

/*! @brief Selects targets of one pool for tasks, and ejects failing targets.
 *
 * Calls for a VM that is not in the list have no effect. */
class TargetSet {
 public:
  explicit TargetSet(TargetOptions options = {}) : options(options) {}

  /*! @brief Replaces the list of VMs. A VM that becomes usable after the first
   * list starts at 1 slot. */
  void Update(const std::vector<TargetVm>& vms, Time now);
  /*! @brief Selects the target for the next task; nullopt if none has a free
   * slot. A target that is due for a probe counts only if it is not excluded
   * and `allow_probe` is set. */
  [[nodiscard]] std::optional<VmId> Choose(Time now,
                                           const Exclusions& exclusions,
                                           Random& random) const;
  /*! @brief Counts a started or adopted task on a target. */
  void Started(const VmId& vm, const TaskId& task, Time now);
  /*! @brief Removes a task from a target's count and updates the target's
   * health by its outcome. */
  void Ended(const VmId& vm, const TaskId& task, TaskOutcome end, Time now);
  /*! @brief Corrects the count of running tasks by a worker's report, which may
   * describe a state up to kMaxReportLag ago. */
  void OnWorkerReport(const VmId& vm, std::int64_t running, Time now);
  /*! @brief Refines the last report by the number of tasks in it that other
   * schedulers started; these occupy slots in addition to the own tasks. */
  void OnForeignTasks(const VmId& vm, std::int64_t others);

  /*! @brief Counters of a target; zeros for an unknown VM. */
  [[nodiscard]] TargetCounters Counters(const VmId& vm, Time now) const;
  /*! @brief Slots of the usable targets, ejected ones included. */
  [[nodiscard]] std::int64_t usable_slots() const;
  /*! @brief Slots of the largest VM, usable or not; for `never_fits`. */
  [[nodiscard]] std::int64_t largest_vm_slots() const;
  /*! @brief Number of slots that are free for new tasks. */
  [[nodiscard]] std::int64_t TotalFreeSlots(Time now) const;
  /*! @brief Number of usable targets that are ejected or probed. */
  [[nodiscard]] std::size_t ejected_count() const;
  /*! @brief True if a target is usable and neither ejected nor probed. Only
   * failures on such targets count towards `failed_everywhere`. */
  [[nodiscard]] bool IsHealthy(const VmId& vm) const;

 private:
  struct Target {
    TargetVm vm;
    std::size_t zone = 0;  // index of vm.zone in `zones`
    std::unordered_map<TaskId, Time> running;
    std::deque<Time> recent_ends;  // within kMaxReportLag
    std::int64_t correction = 0;   // reported minus counted tasks
    int failures = 0;              // consecutive
    int successes = 0;             // consecutive
    int ejections = 0;             // since the last recovery
    bool is_ejected = false;       // ejected or probed
    Time ejected_until;
    TaskId probe_task;  // the running probe
    std::optional<Time> ramp_started_at;
  };
  struct Candidate;

  [[nodiscard]] static std::int64_t Running(const Target& target);
  [[nodiscard]] static std::int64_t RampSlots(const Target& target, Time now);
  [[nodiscard]] static std::int64_t FreeSlots(const Target& target, Time now);
  static void DropOldEnds(Target& target, Time now);
  [[nodiscard]] std::size_t EjectionLimit() const;
  void Eject(Target& target, Time now);
  void EnforceEjectionLimit(Time now);

  TargetOptions options;
  std::vector<Target> targets;
  std::unordered_map<VmId, std::size_t> index;
  std::unordered_map<ZoneId, std::size_t> zones;  // all zones listed so far
  bool updated = false;
};

}  // namespace kch::route

#endif  // ROUTE_TARGET_SET_H_
