#include "load/plan.h"

#include <random>
#include <utility>

namespace kch::load {
namespace {

constexpr int kAllPercent = 100;

}  // namespace

Plan::Plan(PlanOptions options)
    : options(std::move(options)), random(this->options.seed) {}

std::optional<Planned> Plan::Next() {
  const PlanOptions& o = this->options;
  // Exactly one queue is at its peak at any moment, so the total is constant.
  const double total =
      o.rate * (static_cast<double>(o.queues) - 1 + o.peak_factor);
  this->now_s += std::exponential_distribution<double>(total)(this->random);
  if (this->now_s >= ToSeconds(o.duration)) {
    return std::nullopt;
  }
  const auto pick = [this](std::size_t n) {
    return std::uniform_int_distribution<std::size_t>(0, n - 1)(this->random);
  };
  Planned next;
  next.at = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(this->now_s));
  next.id = o.id_prefix + std::to_string(++this->count);
  next.entry = pick(o.entries);
  next.team = pick(o.teams);
  const std::size_t peaking =
      static_cast<std::size_t>(next.at / o.peak) % o.queues;
  const double draw =
      std::uniform_real_distribution<double>(0, total)(this->random);
  const double peak_rate = o.rate * o.peak_factor;
  if (draw < peak_rate || o.queues == 1) {
    next.queue = peaking;
  } else {
    next.queue = (peaking + 1 + pick(o.queues - 1)) % o.queues;
  }
  next.unrepeatable = std::uniform_int_distribution<int>(1, kAllPercent)(
                          this->random) <= o.unrepeatable_percent;
  return next;
}

}  // namespace kch::load
