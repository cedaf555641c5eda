#ifndef NET_EVENT_LOG_H_
#define NET_EVENT_LOG_H_

#include <cstdint>
#include <deque>
#include <fstream>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace kch::net {

/*! @brief The latest events of this process as JSON lines, for kch-timeline.
 * Entry VMs have no disks: readers fetch the events over HTTP. */
class EventLog {
 public:
  /*! @brief Keeps this many events; a path other than "" also appends them to a
   * file, for tests. */
  EventLog(std::string instance, std::size_t capacity, const std::string& path);

  /*! @brief Adds an event; empty fields are left out. Any thread. */
  void Add(
      std::string_view kind,
      std::uint64_t revision,
      const std::vector<std::pair<std::string_view, std::string_view>>& fields);
  /*! @brief The kept events with a sequence number above `after`. */
  [[nodiscard]] std::string Since(std::uint64_t after) const;
  /*! @brief Sequence number of the latest event. */
  [[nodiscard]] std::uint64_t last() const;

 private:
  std::string instance;
  std::size_t capacity;
  mutable std::mutex mutex;  // guards the members below
  std::uint64_t sequence = 0;
  std::deque<std::string> lines;
  std::ofstream file;
};

}  // namespace kch::net

#endif  // NET_EVENT_LOG_H_
