#ifndef ROUTE_TARGET_H_
#define ROUTE_TARGET_H_

#include <array>
#include <cstdint>
#include <set>
#include <string_view>
#include <utility>

#include "base/base.h"

namespace kch::route {

/*! @brief What the pool record says of one VM. */
struct TargetVm {
  VmId id;
  ZoneId zone;
  RackId rack;
  std::int64_t slots = 0;
  bool usable = true;  // not leaving, zone in service
};

/*! @brief Targets to avoid while another has a free slot. */
struct Exclusions {
  std::set<VmId> vms;
  std::set<RackId> racks;
  std::set<ZoneId> zones;
  bool allow_probe = true;  // false for unrepeatable requests
};

/*! @brief How a task ended on a target, as far as it tells about the target. */
enum class TaskOutcome : std::uint8_t {
  kDone,
  kFailed,
  kRefused,    // the worker answered that it did not run the task
  kUnknown,    // silent, truncated or mismatched answer
  kCancelled,  // says nothing about the target
};

/*! @brief Whether a target gets work. */
enum class TargetHealth : std::uint8_t {
  kServing,
  kEjected,  // until its time out ends
  kProbing,  // may get one task
};

/*! @brief Counters of one target. */
struct TargetCounters {
  std::int64_t running = 0;  // corrected by the worker's reports
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
