#include "jobs/due_times.h"

#include <algorithm>

// Load: a job with many due times in the past, by its submission or after an
// outage, and a job whose due times come faster than its pool can do the work.
// The number of due times is the submitter's choice, so nothing may be kept or
// done for each of them: the ones that are neither open nor finished are
// computed from the schedule.

namespace kch::jobs {
namespace {

// Of waiting occurrences, those that can still be of use also start first (see
// RankStep), so a backlog must not keep them from being opened.
class Selection {
 public:
  Selection(const Job& job, const OccurrenceLimits& limits) : job(job) {
    const auto tasks = std::max<std::int64_t>(1, job.spec.TasksPerOccurrence());
    const auto most_open = static_cast<std::size_t>(
        std::max<std::int64_t>(1, limits.max_tasks / tasks));
    this->room = most_open - std::min(most_open, job.open.size());
    this->most_by_steps = std::max<std::size_t>(
        1, limits.max_waiting_steps /
               std::max<std::size_t>(1, job.spec.steps.size()));
    this->waiting = static_cast<std::size_t>(std::ranges::count_if(
        job.open, [](const auto& row) { return !row.second.Begun(); }));
  }

  // Adds those of [from, end) that are not open yet, as long as fewer than
  // `most_waiting` wait.
  void Add(std::int64_t from, std::int64_t end, std::size_t most_waiting) {
    std::int64_t number = this->job.FirstUnopened(from);
    while (number < end && this->numbers.size() < this->room &&
           this->waiting + this->numbers.size() <
               std::min(most_waiting, this->most_by_steps)) {
      this->numbers.push_back(static_cast<std::int32_t>(number));
      number = this->job.FirstUnopened(number + 1);
    }
  }

  std::vector<std::int32_t> numbers;

 private:
  const Job& job;
  std::size_t room = 0;
  std::size_t waiting = 0;
  std::size_t most_by_steps = 0;  // occurrences that may wait
};

}  // namespace

std::vector<std::int32_t> OccurrencesToOpen(const Job& job,
                                            std::int64_t useful_ms,
                                            std::int64_t wall_ms,
                                            const OccurrenceLimits& limits) {
  const std::int32_t due = job.spec.DueBy(wall_ms);
  if (job.first_unopened >= due) {
    return {};  // as in most passes
  }
  std::int32_t first_useful = job.spec.DueBy(wall_ms - useful_ms - 1);
  Selection selection(job, limits);
  if (job.finished.ranges().size() > limits.max_finished_ranges) {
    first_useful = due;
  }
  selection.Add(first_useful, due, limits.max_waiting);
  selection.Add(job.first_unopened, first_useful, limits.max_waiting_late);
  return std::move(selection.numbers);
}

}  // namespace kch::jobs
