#ifndef ADMIT_WAITS_H_
#define ADMIT_WAITS_H_

#include <vector>

#include "admit/load_report.h"

namespace kch::admit {

/*! @brief Queues whose jobs wait for less than this are not reported. */
inline constexpr Duration kReportedWait = std::chrono::milliseconds(500);

/*! @brief Accepted work of one team in one queue that is not done. */
struct TeamBacklog {
  jobs::QueueId queue;
  std::int32_t priority = 0;  // of the queue; 0 comes first
  TeamId team;
  double weight = 1;            // share of the team in a full pool
  jobs::Resources resource_ms;  // what its tasks will occupy, times ms
};

/*! @brief A pool's accepted work and what it has for it. */
struct PoolBacklog {
  // Of usable and arriving machines, without the part of endless tasks.
  jobs::Resources capacity;
  std::vector<TeamBacklog> teams;
};

/*! @brief Estimates the waits in the queues of a pool and adds them to a
 * report.
 *
 * Answers a load that stays above what the pool can be given, so that work
 * accepted now would be done long after it is of use. A pool without capacity
 * is left out: it may just have lost contact to its VMs. */
void AddWaits(const PoolBacklog& pool, LoadReport& report);

}  // namespace kch::admit

#endif  // ADMIT_WAITS_H_
