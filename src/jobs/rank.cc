#include "jobs/rank.h"

namespace kch::jobs {

Duration Objective(Duration critical_path, const Queue& queue) {
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(queue.stretch *
                                static_cast<double>(ToMs(critical_path))) +
      queue.target_ms);
}

Duration Objective(const Job& job, const Queue& queue) {
  return Objective(std::chrono::milliseconds(job.CriticalPathMs()), queue);
}

// Among jobs on time, the step with the least slack comes first. Under
// overload, jobs that miss their objective anyway would take capacity from jobs
// that can still meet it, so they rank behind these, shortest first.
Rank RankStep(const Job& job,
              const Occurrence& occurrence,
              const Queue& queue,
              Time due,
              Time now) {
  const auto left = std::chrono::milliseconds(job.CriticalPathMs(occurrence));
  const Duration objective = Objective(job, queue);
  const Time end = now + left;
  Rank rank{.priority = queue.priority};
  if (job.spec.Endless()) {
    rank.key = ToMs(due.time_since_epoch());
  } else if (end <= due + objective) {
    rank.key = ToMs(due + objective - end);
  } else if (end <= due + kLateObjectives * objective) {
    rank.timeliness = Timeliness::kLate;
    rank.key = ToMs(left);
  } else {
    rank.timeliness = Timeliness::kMissed;
    rank.key = ToMs(due.time_since_epoch());
  }
  return rank;
}

}  // namespace kch::jobs
