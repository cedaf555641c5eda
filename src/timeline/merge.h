#ifndef TIMELINE_MERGE_H_
#define TIMELINE_MERGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "timeline/event.h"

namespace kch::timeline {

/*! @brief An event at its place on the common time line. */
struct Placed {
  Event event;
  std::int64_t time_us = 0;  // never before the time of a cause
};

/*! @brief All events in an order in which causes precede effects. */
struct Timeline {
  std::vector<Placed> events;
  // What was added to each instance's clock.
  std::map<std::string, std::int64_t> offsets_us;
  std::size_t duplicates = 0;  // events read more than once
  std::size_t conflicts = 0;   // other events under a number in use; left out
  std::size_t cycles = 0;      // events whose causes contradict each other
};

/*! @brief Merges the events of all instances, given in any order. */
[[nodiscard]] Timeline Merge(const std::vector<Event>& events);

/*! @brief One line of text for people. */
[[nodiscard]] std::string ToText(const Placed& placed);
/*! @brief One JSON object in one line. */
[[nodiscard]] std::string ToJson(const Placed& placed);

}  // namespace kch::timeline

#endif  // TIMELINE_MERGE_H_
