#include "jobs/model.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>

namespace kch::jobs {
namespace {

// Amounts are the submitters' choice and not negative, so sums of them stay at
// the largest number in place of wrapping around.
constexpr std::int64_t kMaxAmount = std::numeric_limits<std::int64_t>::max();

std::int64_t Sum(std::int64_t left, std::int64_t right) {
  std::int64_t sum = 0;
  return __builtin_add_overflow(left, right, &sum) ? kMaxAmount : sum;
}

std::int64_t Product(std::int64_t amount, std::int64_t count) {
  std::int64_t product = 0;
  return __builtin_mul_overflow(amount, count, &product) ? kMaxAmount : product;
}

// Bounds what is kept of queues that come and go.
constexpr std::size_t kMaxEarlierQueues = 1000;

}  // namespace

void FleetConfig::AddEarlierPools(const FleetConfig& earlier) {
  this->earlier_pools = earlier.earlier_pools;
  for (const auto& [id, queue] : earlier.queues) {
    const auto now = this->queues.find(id);
    if (now == this->queues.end() || now->second.pool != queue.pool) {
      this->earlier_pools[id].insert(queue.pool);
    }
  }
  if (this->earlier_pools.size() > kMaxEarlierQueues) {
    std::erase_if(this->earlier_pools, [this](const auto& row) {
      return !this->queues.contains(row.first);
    });
  }
}

bool IsJobId(std::string_view text) {
  // The platform's ids have 16 digits, this project's interface allows more.
  constexpr std::size_t max_length = 64;
  return !text.empty() && text.size() <= max_length &&
         std::ranges::all_of(text, [](unsigned char c) {
           return std::isalnum(c) != 0 || c == '-' || c == '_';
         });
}

Resources& Resources::operator+=(const Resources& other) {
  this->cpu_m = Sum(this->cpu_m, other.cpu_m);
  this->memory_mb = Sum(this->memory_mb, other.memory_mb);
  this->gpus = Sum(this->gpus, other.gpus);
  return *this;
}

Resources& Resources::operator-=(const Resources& other) {
  this->cpu_m -= other.cpu_m;
  this->memory_mb -= other.memory_mb;
  this->gpus -= other.gpus;
  return *this;
}

bool Resources::Within(const Resources& room) const {
  return this->cpu_m <= room.cpu_m && this->memory_mb <= room.memory_mb &&
         this->gpus <= room.gpus;
}

Resources operator+(Resources left, const Resources& right) {
  return left += right;
}

Resources operator-(Resources left, const Resources& right) {
  return left -= right;
}

Resources operator*(const Resources& amounts, std::int64_t count) {
  return {Product(amounts.cpu_m, count), Product(amounts.memory_mb, count),
          Product(amounts.gpus, count)};
}

double DominantShare(const Resources& part, const Resources& whole) {
  const auto ratio = [](std::int64_t amount, std::int64_t of) {
    constexpr double nothing_there = 100;
    if (amount <= 0) {
      return 0.0;
    }
    return of <= 0 ? nothing_there
                   : static_cast<double>(amount) / static_cast<double>(of);
  };
  return std::max(ratio(part.cpu_m, whole.cpu_m),
                  ratio(part.memory_mb, whole.memory_mb));
}

Resources StepSpec::Occupies() const {
  Resources occupied = this->need;
  if (this->backfill) {
    occupied.cpu_m = 0;
  }
  return occupied;
}

std::int64_t JobSpec::TasksPerOccurrence() const {
  std::int64_t tasks = 0;
  for (const StepSpec& step : this->steps) {
    tasks += step.count;
  }
  return tasks;
}

std::int64_t JobSpec::DueMs(std::int32_t occurrence) const {
  return this->schedule.first_ms +
         std::int64_t{occurrence} * this->schedule.interval_ms;
}

std::int32_t JobSpec::DueBy(std::int64_t wall_ms) const {
  const Schedule& times = this->schedule;
  if (wall_ms < times.first_ms) {
    return 0;
  }
  if (times.interval_ms == 0) {
    return this->Occurrences();
  }
  const std::int64_t intervals = (wall_ms - times.first_ms) / times.interval_ms;
  return static_cast<std::int32_t>(
      std::min<std::int64_t>(intervals + 1, this->Occurrences()));
}

bool JobSpec::Endless() const {
  return std::ranges::any_of(this->steps,
                             [](const StepSpec& step) { return step.endless; });
}

std::string TaskRef::Name() const {
  return this->job.str() + "." + std::to_string(this->occurrence) + "." +
         std::to_string(this->step) + "." + std::to_string(this->index);
}

std::optional<TaskRef> TaskRef::Parse(std::string_view name) {
  const std::size_t first = name.find('.');
  if (first == std::string_view::npos || first == 0) {
    return std::nullopt;
  }
  TaskRef ref{JobId(std::string(name.substr(0, first)))};
  const char* at = name.data() + first;
  const char* const end = name.data() + name.size();
  for (std::int32_t* part : {&ref.occurrence, &ref.step, &ref.index}) {
    if (at == end || *at != '.') {
      return std::nullopt;
    }
    const auto [next, error] = std::from_chars(at + 1, end, *part);
    if (error != std::errc() || *part < 0) {
      return std::nullopt;
    }
    at = next;
  }
  return at == end ? std::optional(ref) : std::nullopt;
}

}  // namespace kch::jobs
