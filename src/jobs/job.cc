#include "jobs/job.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace kch::jobs {
namespace {

// A longer estimate counts as this one: a year. Sums over a job's steps then
// stay far from where times overflow.
constexpr std::int64_t kMaxEstimateMs = 365LL * 24 * 3600 * 1000;

// Longest path over the steps for which `counts` holds. A step's predecessors
// have lower numbers, which the codec checks.
template <typename Counts>
std::int64_t LongestPathMs(const std::vector<StepSpec>& steps,
                           const Counts& counts) {
  std::vector<std::int64_t> until(steps.size(), 0);
  std::int64_t longest = 0;
  for (std::size_t i = 0; i < steps.size(); ++i) {
    for (const std::int32_t before : steps[i].depends_on) {
      until[i] = std::max(until[i], until[static_cast<std::size_t>(before)]);
    }
    if (counts(i)) {
      until[i] += std::min(steps[i].estimate_ms, kMaxEstimateMs);
    }
    longest = std::max(longest, until[i]);
  }
  return longest;
}

}  // namespace

TaskRef Task::Ref() const {
  return {this->job->spec.id, this->occurrence, this->step, this->index};
}

const StepSpec& Task::spec() const {
  return this->job->spec.steps[static_cast<std::size_t>(this->step)];
}

bool TaskRefLess::operator()(const Task* left, const Task* right) const {
  const auto place = [](const Task& task) {
    return std::tie(task.job->spec.id, task.occurrence, task.step, task.index);
  };
  return place(*left) < place(*right);
}

bool Occurrence::Complete() const {
  return std::ranges::all_of(this->steps,
                             [](const Step& step) { return step.Complete(); });
}

bool Occurrence::Begun() const {
  return std::ranges::any_of(this->steps, [](const Step& step) {
    return step.waiting < static_cast<std::int32_t>(step.tasks.size());
  });
}

bool Job::Ready(const Occurrence& occurrence, std::int32_t step) const {
  return std::ranges::all_of(
      this->spec.steps[static_cast<std::size_t>(step)].depends_on,
      [&occurrence](std::int32_t before) {
        return occurrence.steps[static_cast<std::size_t>(before)].Complete();
      });
}

Time Job::DueAt(std::int32_t occurrence) const {
  if (this->spec.schedule.times == 0) {
    return this->arrived;
  }
  const std::int64_t wait_ms =
      this->spec.DueMs(occurrence) - this->spec.accepted_ms;
  return this->arrived +
         std::chrono::milliseconds(std::max<std::int64_t>(0, wait_ms));
}

Occurrence& Job::OpenOccurrence(std::int32_t number) {
  Occurrence& occurrence = this->open[number];
  occurrence.number = number;
  occurrence.steps.resize(this->spec.steps.size());
  for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
    Step& step = occurrence.steps[s];
    step.waiting = this->spec.steps[s].count;
    step.tasks.resize(static_cast<std::size_t>(step.waiting));
    for (std::size_t i = 0; i < step.tasks.size(); ++i) {
      Task& task = step.tasks[i];
      task.job = this;
      task.occurrence = number;
      task.step = static_cast<std::int32_t>(s);
      task.index = static_cast<std::int32_t>(i);
    }
  }
  this->first_unopened = this->FirstUnopened(this->first_unopened);
  return occurrence;
}

std::int64_t Job::FirstUnopened(std::int64_t from) const {
  std::int64_t number = this->finished.FirstAbsent(from);
  if (number > std::numeric_limits<std::int32_t>::max()) {
    return number;
  }
  auto next = this->open.lower_bound(static_cast<std::int32_t>(number));
  while (next != this->open.end() && next->first == number) {
    number = this->finished.FirstAbsent(number + 1);
    while (next != this->open.end() && next->first < number) {
      ++next;
    }
  }
  return number;
}

bool Job::AllOpened() const {
  return this->FirstUnopened(this->first_unopened) >= this->spec.Occurrences();
}

// Both are asked for at every pass, and change at most when a step completes.
std::int64_t Job::CriticalPathMs(const Occurrence& occurrence) const {
  const auto complete = std::ranges::count_if(
      occurrence.steps, [](const Step& step) { return step.Complete(); });
  Occurrence::Remaining& remaining = occurrence.remaining;
  if (remaining.complete != complete) {
    remaining.complete = complete;
    remaining.critical_path_ms =
        LongestPathMs(this->spec.steps, [&occurrence](std::size_t step) {
          return !occurrence.steps[step].Complete();
        });
  }
  return remaining.critical_path_ms;
}

std::int64_t Job::CriticalPathMs() const {
  if (!this->critical_path_ms) {
    this->critical_path_ms = jobs::CriticalPathMs(this->spec.steps);
  }
  return *this->critical_path_ms;
}

std::int64_t CriticalPathMs(const std::vector<StepSpec>& steps) {
  return LongestPathMs(steps, [](std::size_t) { return true; });
}

}  // namespace kch::jobs
