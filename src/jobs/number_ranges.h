#ifndef JOBS_NUMBER_RANGES_H_
#define JOBS_NUMBER_RANGES_H_

#include <cstddef>
#include <cstdint>
#include <map>

namespace kch::jobs {

/*! @brief Set of numbers from 0 that takes memory for its gaps, not for its
 * numbers. */
class NumberRanges {
 public:
  /*! @brief Adds the numbers from `first` to `last`, both included. */
  void Insert(std::int32_t first, std::int32_t last);
  void Insert(std::int32_t number) { this->Insert(number, number); }
  [[nodiscard]] bool Contains(std::int32_t number) const;
  /*! @brief The lowest number from `number` on that is not in the set. */
  [[nodiscard]] std::int64_t FirstAbsent(std::int64_t number) const;
  /*! @brief How many numbers are in the set. */
  [[nodiscard]] std::int64_t size() const { return this->count; }
  /*! @brief First and last number of each range, in order; no two ranges
   * adjoin. */
  [[nodiscard]] const std::map<std::int32_t, std::int32_t>& ranges() const {
    return this->last_by_first;
  }

 private:
  std::map<std::int32_t, std::int32_t> last_by_first;
  std::int64_t count = 0;
};

}  // namespace kch::jobs

#endif  // JOBS_NUMBER_RANGES_H_
