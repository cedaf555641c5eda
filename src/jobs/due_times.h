#ifndef JOBS_DUE_TIMES_H_
#define JOBS_DUE_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "jobs/job.h"

namespace kch::jobs {

/*! @brief Bounds of what a scheduled job holds in memory and in its record. */
struct OccurrenceLimits {
  // Open occurrences of which no task has begun. As many start in one planning
  // pass, if there is room.
  std::size_t max_waiting = 64;
  // The part of them that may be too late to be of use.
  std::size_t max_waiting_late = 32;
  // Steps of all occurrences that wait; one occurrence may always wait.
  std::size_t max_waiting_steps = 256;
  // Tasks of all open occurrences; one occurrence is always opened.
  std::int64_t max_tasks = kMaxTasksPerJob;
  // While more ranges of finished occurrences have to be stored, the oldest
  // occurrences are opened first, which joins these ranges.
  std::size_t max_finished_ranges = 64;
};

/*! @brief Selects the due occurrences of a scheduled job to open, in the order
 * in which to open them: those that can still end in time to be of use, and
 * then the oldest ones. `useful_ms` is how long after its due time a start is
 * of use, `wall_ms` the Unix time. */
[[nodiscard]] std::vector<std::int32_t> OccurrencesToOpen(
    const Job& job,
    std::int64_t useful_ms,
    std::int64_t wall_ms,
    const OccurrenceLimits& limits = {});

}  // namespace kch::jobs

#endif  // JOBS_DUE_TIMES_H_
