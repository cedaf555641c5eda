#include "jobs/rank.h"

#include <algorithm>
#include <tuple>

namespace kch::jobs {
namespace {

// What orders and reports of a job's steps may add to its critical path.
constexpr Duration kMaxStepDelays = std::chrono::milliseconds(200);
// A thousand years; multiples of it can still be added to times.
constexpr double kMaxObjectiveMs = 1000 * 365.25 * 24 * 3600 * 1000;

// Half of the time that a job may wait in all, if that is less.
Duration StepDelays(const Job& job, Duration objective) {
  const Duration slack =
      objective - std::chrono::milliseconds(job.CriticalPathMs());
  return std::clamp(slack / 2, Duration::zero(), kMaxStepDelays);
}

}  // namespace

std::strong_ordering Rank::operator<=>(const Rank& other) const {
  return std::tuple(this->priority, this->timeliness, !this->begun,
                    this->key) <=>
         std::tuple(other.priority, other.timeliness, !other.begun, other.key);
}

Duration Objective(Duration critical_path, const Queue& queue) {
  const double ms = queue.stretch * static_cast<double>(ToMs(critical_path)) +
                    static_cast<double>(queue.target_ms);
  return std::chrono::milliseconds(
      static_cast<std::int64_t>(std::min(ms, kMaxObjectiveMs)));
}

Duration Objective(const Job& job, const Queue& queue) {
  return Objective(std::chrono::milliseconds(job.CriticalPathMs()), queue);
}

// Under overload, jobs that miss their objective anyway would take capacity
// from jobs that can still meet it, so they rank behind these, shortest first.
// The next steps of a job that has begun go before the first ones of others: a
// job that waits between its steps is late and has taken capacity for nothing.
// Among others on time, the one with the least slack comes first; one that
// would begin at its last moment is late by the delays of its steps and counts
// as late.
Rank RankStep(const Job& job,
              const Occurrence& occurrence,
              const Queue& queue,
              Time due,
              Time now) {
  const auto left = std::chrono::milliseconds(job.CriticalPathMs(occurrence));
  const Duration objective = Objective(job, queue);
  const bool begun = occurrence.Begun();
  const Time end =
      now + left + (begun ? Duration::zero() : StepDelays(job, objective));
  Rank rank{.priority = queue.priority, .begun = begun};
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
