#ifndef JOBS_PLACEMENT_H_
#define JOBS_PLACEMENT_H_

#include <cstdint>
#include <set>
#include <string>

#include "jobs/model.h"

namespace kch::jobs {

/*! @brief Bounds of a step beside its pool's capacity: which VMs may take its
 * tasks, and how many of them each. */
struct PlacementRule {
  std::string label;            // a VM must have it; empty: any VM
  Resources task;               // what each task occupies
  std::int32_t max_per_vm = 0;  // 0: no limit
  bool all_or_none = false;     // the tasks work only together

  bool operator==(const PlacementRule&) const = default;
  auto operator<=>(const PlacementRule&) const = default;

  /*! @brief How many tasks fit on a VM with this room and labels that runs
   * `beside` others of the step; at most `most`. */
  [[nodiscard]] std::int64_t PlacesOn(const Resources& room,
                                      const std::set<std::string>& labels,
                                      std::int64_t most,
                                      std::int32_t beside = 0) const;
};

/*! @brief Tasks of a pool under one rule, and the room that its VMs have for
 * them. */
struct PlacementNeed {
  PlacementRule rule;
  // Endless tasks and gangs are placed at the same time; of other tasks that
  // wait for room, one is enough.
  std::int64_t tasks = 0;
  std::int64_t startable = 0;  // of these: placed, or may start now
  std::int64_t places = 0;     // for such tasks on the pool's usable VMs
  // The tasks wait for room that is free now, and share it with no others. If
  // not, `places` are those on empty VMs.
  bool exclusive = false;

  /*! @brief Places that the pool lacks for tasks that may start. */
  [[nodiscard]] std::int64_t Missing() const {
    return this->startable > this->places ? this->startable - this->places : 0;
  }
};

}  // namespace kch::jobs

#endif  // JOBS_PLACEMENT_H_
