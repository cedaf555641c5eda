#ifndef ADMIT_LOAD_REPORT_H_
#define ADMIT_LOAD_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/base.h"
#include "jobs/jobs.h"

namespace kch::admit {

/*! @brief How long a job that is accepted now waits in a queue. */
struct QueueLoad {
  Duration wait{};  // behind all jobs that come before it
  // Behind the jobs of its own team, if each team with waiting jobs gets its
  // share of the pool; teams without waiting jobs are left out.
  std::map<TeamId, Duration> team_waits;

  bool operator==(const QueueLoad&) const = default;
};

/*! @brief What the fleet's owner reports to all instances, so that each of them
 * can tell whether an arriving job can still be served. Queues whose jobs wait
 * for less than kReportedWait are left out. */
struct LoadReport {
  std::map<jobs::QueueId, QueueLoad> queues;

  bool operator==(const LoadReport&) const = default;
};

/*! @brief Encodes a report as JSON, with times in ms. */
[[nodiscard]] std::string Encode(const LoadReport& report);
/*! @brief Decodes a report; fails with kCorrupt if the text is invalid. */
[[nodiscard]] Result<LoadReport> DecodeLoadReport(std::string_view text);

}  // namespace kch::admit

#endif  // ADMIT_LOAD_REPORT_H_
