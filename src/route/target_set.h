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

/*! @brief Failures in a row after which a target is ejected. */
inline constexpr int kFailuresToEject = 5;
/*! @brief Length of the first ejection; doubles up to kMaxEjection. */
inline constexpr Duration kFirstEjection = std::chrono::seconds(1);
/*! @brief Longest ejection. */
inline constexpr Duration kMaxEjection = std::chrono::seconds(60);
/*! @brief Most usable targets of a pool, in percent, ejected or probed at a
 * time. */
inline constexpr std::size_t kMaxEjectedPercent = 30;
/*! @brief A returning target starts at 1 slot and doubles each such step. */
inline constexpr Duration kRampStep = std::chrono::seconds(1);
/*! @brief Oldest state that a worker's report may describe. */
inline constexpr Duration kMaxReportLag = std::chrono::seconds(2);

/*! @brief The targets of one pool and the choice among them. */
class TargetSet {
 public:
  explicit TargetSet(TargetOptions options = {}) : options(options) {}

  /*! @brief Replaces the list of VMs. A VM that becomes usable after the first
   * list starts at 1 slot. */
  void Update(const std::vector<TargetVm>& vms, Time now);
  /*! @brief The target for the next task, if any has a free slot. */
  [[nodiscard]] std::optional<VmId> Choose(Time now,
                                           const Exclusions& exclusions,
                                           Random& random) const;
  /*! @brief Counts a task, chosen or adopted, on a target. */
  void Started(const VmId& vm, const TaskId& task, Time now);
  /*! @brief Ends a task and judges the target by how it ended. */
  void Ended(const VmId& vm, const TaskId& task, TaskOutcome end, Time now);
  /*! @brief Corrects the running count by a worker's report, which may
   * describe the state up to kMaxReportLag ago. */
  void OnWorkerReport(const VmId& vm, std::int64_t running, Time now);
  /*! @brief Refines the last report by the number of tasks in it that were
   * started elsewhere; these fill slots whatever this set has counted. */
  void OnForeignTasks(const VmId& vm, std::int64_t others);

  /*! @brief Counters of a target; zeros for an unknown one. */
  [[nodiscard]] TargetCounters Counters(const VmId& vm, Time now) const;
  /*! @brief Slots of the usable targets, ejected ones included. */
  [[nodiscard]] std::int64_t usable_slots() const;
  /*! @brief Slots of the largest VM, usable or not; for `never_fits`. */
  [[nodiscard]] std::int64_t largest_vm_slots() const;
  /*! @brief Slots free for new work now. */
  [[nodiscard]] std::int64_t TotalFreeSlots(Time now) const;
  /*! @brief Usable targets that are ejected or probed. */
  [[nodiscard]] std::size_t ejected_count() const;
  /*! @brief True if a target serves: usable, and neither ejected nor probed;
   * only failures on such targets count towards `failed_everywhere`. */
  [[nodiscard]] bool IsHealthy(const VmId& vm) const;

 private:
  struct Target {
    TargetVm vm;
    std::size_t zone = 0;  // position of vm.zone in `zones`
    std::unordered_map<TaskId, Time> running;
    std::deque<Time> recent_ends;  // within kMaxReportLag
    std::int64_t correction = 0;   // reported minus counted tasks
    int failures = 0;              // in a row
    int successes = 0;             // in a row
    int ejections = 0;             // without recovery in between
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
  std::unordered_map<ZoneId, std::size_t> zones;  // all zones ever listed
  bool updated = false;
};

}  // namespace kch::route

#endif  // ROUTE_TARGET_SET_H_
