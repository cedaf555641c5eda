#include "admit/admission.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace kch::admit {
namespace {

// Callers are asked to return within a time for which an estimate of the load
// still has a meaning.
constexpr std::int32_t kMaxRetryAfterS = 30;
// Least time between the returns of two callers of a queue at one instance.
constexpr Duration kReturnSpacing = std::chrono::milliseconds(50);

}  // namespace

void Admission::OnReport(LoadReport next, Time now) {
  this->report = std::move(next);
  this->received = now;
  std::erase_if(this->last_return, [this](const auto& row) {
    return !this->report.queues.contains(row.first);
  });
}

std::optional<Rejection> Admission::Check(const jobs::JobSpec& spec, Time now) {
  const auto load = this->report.queues.find(spec.queue.id);
  if (load == this->report.queues.end() ||
      now - this->received > kMaxReportAge || spec.Endless() ||
      spec.schedule.times > 0) {
    return std::nullopt;
  }
  const auto team = load->second.team_waits.find(spec.team);
  const Duration wait = team == load->second.team_waits.end()
                            ? Duration::zero()
                            : std::min(load->second.wait, team->second);
  const Duration path =
      std::chrono::milliseconds(jobs::CriticalPathMs(spec.steps));
  const Duration objective = jobs::Objective(path, spec.queue);
  if (wait + path <= jobs::kLateObjectives * objective) {
    return std::nullopt;
  }
  // From then on the job could end within its objective.
  const Time due = now + wait + path - objective;
  Time& last = this->last_return[spec.queue.id];
  last = std::max(due, last + kReturnSpacing);
  const double seconds = std::ceil(ToSeconds(last - now));
  return Rejection{
      .wait = wait,
      .retry_after_s = std::clamp(
          static_cast<std::int32_t>(std::min(seconds, double{kMaxRetryAfterS})),
          1, kMaxRetryAfterS)};
}

}  // namespace kch::admit
