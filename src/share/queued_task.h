#ifndef SHARE_QUEUED_TASK_H_
#define SHARE_QUEUED_TASK_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

#include "base/base.h"

namespace kch::share {

/*! @brief A task that waits in a pool's queue. */
struct QueuedTask {
  TaskId task;
  TeamId team;
  ProfileId profile;
  bool urgent = false;
  Time enqueued;                // start of the wait, for PickPreemption
  Time deadline = Time::max();  // the task must not start later
};

/*! @brief Whether a waiting task may start, and if not, which tasks Pop skips.
 */
enum class Eligibility : std::uint8_t {
  kEligible,
  kTaskBlocked,     // this task only; the team's next task is checked
  kProfileBlocked,  // all tasks of this team with this profile
  kTeamBlocked,     // all tasks of this team
};

/*! @brief A task to checkpoint, its team, and the team that gets its slot. */
struct Preemption {
  TaskId task;
  TeamId from;
  TeamId to;
};

/*! @brief Counters of one team in one pool. */
struct TeamCounters {
  std::int64_t waiting = 0;
  std::int64_t running = 0;
  double share = 0;         // weight over the sum of the active teams' weights
  double slot_seconds = 0;  // used in this pool, contended or not
};

}  // namespace kch::share

template <>
struct kch::NameTable<kch::share::Eligibility> {
  static constexpr std::
      array<std::pair<kch::share::Eligibility, std::string_view>, 4>
          kEntries{
              {{kch::share::Eligibility::kEligible, "eligible"},
               {kch::share::Eligibility::kTaskBlocked, "task_blocked"},
               {kch::share::Eligibility::kProfileBlocked, "profile_blocked"},
               {kch::share::Eligibility::kTeamBlocked, "team_blocked"}}};
};

#endif  // SHARE_QUEUED_TASK_H_
