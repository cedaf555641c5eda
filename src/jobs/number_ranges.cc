#include "jobs/number_ranges.h"

#include <algorithm>
#include <iterator>
#include <limits>

namespace kch::jobs {

void NumberRanges::Insert(std::int32_t first, std::int32_t last) {
  if (last < first) {
    return;
  }
  auto next = this->last_by_first.upper_bound(first);
  if (next != this->last_by_first.begin()) {
    const auto before = std::prev(next);
    if (std::int64_t{before->second} + 1 >= first) {
      next = before;
    }
  }
  // All ranges that overlap or adjoin become one.
  while (next != this->last_by_first.end() &&
         std::int64_t{next->first} <= std::int64_t{last} + 1) {
    first = std::min(first, next->first);
    last = std::max(last, next->second);
    this->count -= std::int64_t{next->second} - next->first + 1;
    next = this->last_by_first.erase(next);
  }
  this->last_by_first.emplace_hint(next, first, last);
  this->count += std::int64_t{last} - first + 1;
}

bool NumberRanges::Contains(std::int32_t number) const {
  return this->FirstAbsent(number) != number;
}

std::int64_t NumberRanges::FirstAbsent(std::int64_t number) const {
  if (number > std::numeric_limits<std::int32_t>::max()) {
    return number;
  }
  const auto after =
      this->last_by_first.upper_bound(static_cast<std::int32_t>(number));
  if (after == this->last_by_first.begin()) {
    return number;
  }
  return std::max(number, std::int64_t{std::prev(after)->second} + 1);
}

}  // namespace kch::jobs
