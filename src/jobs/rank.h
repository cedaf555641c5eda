#ifndef JOBS_RANK_H_
#define JOBS_RANK_H_

#include <compare>
#include <cstdint>

#include "base/time.h"
#include "jobs/job.h"

namespace kch::jobs {

/*! @brief Whether a job can still meet its objective if a step starts now. */
enum class Timeliness : std::uint8_t {
  kOnTime,  // the job can still meet its objective
  kLate,    // it can still end within three times its objective
  kMissed,  // it would end later than that
};

/*! @brief Position of a ready step in its pool's order; lower ranks start
 * first. */
struct Rank {
  std::int32_t priority = 0;
  Timeliness timeliness = Timeliness::kOnTime;
  bool begun = false;  // tasks of the occurrence have started; these come first
  // On time: slack in ms; late: remaining work in ms; missed or endless: due
  // time in ms on the local clock.
  std::int64_t key = 0;

  std::strong_ordering operator<=>(const Rank& other) const;
  bool operator==(const Rank&) const = default;
};

/*! @brief A job that ends within this many objectives is late, but still of
 * use. */
inline constexpr std::int64_t kLateObjectives = 3;

/*! @brief Time that an occurrence may take from its acceptance or due time to
 * its end: stretch * critical path + target_ms. */
[[nodiscard]] Duration Objective(const Job& job, const Queue& queue);
[[nodiscard]] Duration Objective(Duration critical_path, const Queue& queue);

/*! @brief Ranks a ready step. `due` is when the occurrence was accepted or
 * became due. */
[[nodiscard]] Rank RankStep(const Job& job,
                            const Occurrence& occurrence,
                            const Queue& queue,
                            Time due,
                            Time now);

}  // namespace kch::jobs

#endif  // JOBS_RANK_H_
