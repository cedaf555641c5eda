#ifndef LOAD_PLAN_H_
#define LOAD_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "base/random.h"
#include "base/time.h"

namespace kch::load {

/*! @brief Shape of the load. */
struct PlanOptions {
  std::size_t entries = 1;
  std::size_t teams = 1;
  std::size_t queues = 1;
  double rate = 1;         // requests per second on each queue off its peak
  double peak_factor = 1;  // on the one queue that is at its peak
  Duration peak = std::chrono::seconds(1);  // length of a queue's peak
  Duration duration = std::chrono::seconds(1);
  int unrepeatable_percent = 0;
  std::string id_prefix;
  std::uint64_t seed = 1;
};

/*! @brief A request to send at a given time after the start. */
struct Planned {
  Duration at{0};
  std::string id;
  std::size_t entry = 0;
  std::size_t team = 0;
  std::size_t queue = 0;
  bool unrepeatable = false;
};

/*! @brief Poisson arrivals that do not depend on answers; queues have their
 * peaks in turn. */
class Plan {
 public:
  explicit Plan(PlanOptions options);

  /*! @brief The next request in time order, until the duration is over. */
  [[nodiscard]] std::optional<Planned> Next();

 private:
  PlanOptions options;
  Random random;
  double now_s = 0;
  std::uint64_t count = 0;
};

}  // namespace kch::load

#endif  // LOAD_PLAN_H_
