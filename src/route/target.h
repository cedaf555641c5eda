#ifndef ROUTE_TARGET_H_
#define ROUTE_TARGET_H_

#include <array>
#include <cstdint>
#include <set>
#include <string_view>
#include <utility>

#include "base/base.h"

namespace kch::route {

/*! @brief Properties of a VM from the pool record. */
struct TargetVm {
  VmId id;
  ZoneId zone;
  RackId rack;
  std::int64_t slots = 0;
  bool usable = true;  // not being removed, and its zone is in service
};

/*! @brief VMs, racks and zones to avoid while another target has a free slot;
 * none of them is chosen for a probe. */
struct Exclusions {
  std::set<VmId> vms;
  std::set<RackId> racks;
  std::set<ZoneId> zones;
  bool allow_probe = true;  // false for unrepeatable requests
};

/*! @brief Outcome of a task on a target, as evidence of the target's health. */
enum class TaskOutcome : std::uint8_t {
  kDone,
  kFailed,
  kRefused,    // the worker reported that it did not run the task
  kUnknown,    // no reply, a truncated or mismatched one, or request not sent
  kCancelled,  // no evidence about the target
};

/*! @brief Whether a target receives work. */
enum class TargetHealth : std::uint8_t {
  kServing,
  kEjected,  // receives no task until the ejection ends
  kProbing,  // receives at most one task at a time
};

/*! @brief Counters of one target. */
struct TargetCounters {
  std::int64_t running = 0;  // corrected by worker reports
  std::int64_t free = 0;
  TargetHealth health = TargetHealth::kServing;
  bool usable = false;
};

}  // namespace kch::route

template <>
struct kch::NameTable<kch::route::TaskOutcome> {
  static constexpr std::
      array<std::pair<kch::route::TaskOutcome, std::string_view>, 5>
          kEntries{{{kch::route::TaskOutcome::kDone, "done"},
                    {kch::route::TaskOutcome::kFailed, "failed"},
                    {kch::route::TaskOutcome::kRefused, "refused"},
                    {kch::route::TaskOutcome::kUnknown, "unknown"},
                    {kch::route::TaskOutcome::kCancelled, "cancelled"}}};
};

template <>
struct kch::NameTable<kch::route::TargetHealth> {
  static constexpr std::
      array<std::pair<kch::route::TargetHealth, std::string_view>, 3>
          kEntries{{{kch::route::TargetHealth::kServing, "serving"},
                    {kch::route::TargetHealth::kEjected, "ejected"},
                    {kch::route::TargetHealth::kProbing, "probing"}}};
};

#endif  // ROUTE_TARGET_H_
