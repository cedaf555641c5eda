#ifndef NET_LINE_BUDGET_H_
#define NET_LINE_BUDGET_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/time.h"

namespace kch::net {

/*! @brief Bounds the lines of a log.
 *
 * Lines of frequent events share a rate. Each kind of event has a few lines a
 * second of its own besides, so that a flood of lines about single requests
 * leaves out no line about the process itself. */
class LineBudget {
 public:
  /*! @brief Lines a second, and as a burst. */
  struct Limits {
    double shared_per_s = 300;
    double shared_burst = 600;
    double own_per_s = 4;
    double own_burst = 8;
  };

  explicit LineBudget(const Limits& limits);

  /*! @brief Whether a line of this kind may be written now; one that may not is
   * counted as left out. */
  [[nodiscard]] bool Take(std::string_view kind, Time now);
  /*! @brief Counts a line that could not be written. */
  void LeaveOut() { ++this->left_out; }
  /*! @brief Lines left out since they were last reported; 0 within a second of
   * that. */
  [[nodiscard]] std::uint64_t Report(Time now);

 private:
  struct Bucket {
    double lines = 0;
    Time filled_at;

    void Fill(double per_s, double burst, Time now);
    bool Take();
  };

  Limits limits;
  Bucket shared;
  std::map<std::string, Bucket, std::less<>> own;  // by kind
  std::uint64_t left_out = 0;
  Time reported_at;
};

}  // namespace kch::net

#endif  // NET_LINE_BUDGET_H_
