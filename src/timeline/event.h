#ifndef TIMELINE_EVENT_H_
#define TIMELINE_EVENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kch::timeline {

/*! @brief One event of a process; texts that it lacks are empty. */
struct Event {
  std::int64_t wall_us = 0;
  std::int64_t mono_us = 0;
  std::string instance;
  std::uint64_t seq = 0;
  std::string kind;
  std::uint64_t revision = 0;
  std::string request;
  std::string task;
  std::string vm;
  std::string team;
  std::string zone;
  std::string pool;
  std::string peer;  // this event follows event peer_seq of that instance
  std::uint64_t peer_seq = 0;
  std::string text;

  bool operator==(const Event&) const = default;
};

/*! @brief Events of one stream, and how many lines had another form. */
struct Stream {
  std::vector<Event> events;
  std::size_t malformed = 0;
};

/*! @brief Reads one JSON object per line, or one JSON array of objects. */
[[nodiscard]] Stream ParseStream(std::string_view text);

/*! @brief Which events to show; empty texts match all. */
struct Filter {
  std::string request;
  std::string vm;
  std::string team;
  std::string zone;
  std::string kind;

  [[nodiscard]] bool Matches(const Event& event) const;
};

}  // namespace kch::timeline

#endif  // TIMELINE_EVENT_H_
