#include "net/event_log.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace kch::net {
namespace {

template <typename Clock>
std::int64_t NowUs() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             Clock::now().time_since_epoch())
      .count();
}

}  // namespace

EventLog::EventLog(std::string instance,
                   std::size_t capacity,
                   const std::string& path)
    : instance(std::move(instance)), capacity(capacity) {
  if (!path.empty()) {
    this->file.open(path, std::ios::app);
  }
}

void EventLog::Add(
    std::string_view kind,
    std::uint64_t revision,
    const std::vector<std::pair<std::string_view, std::string_view>>& fields) {
  nlohmann::json event{{"wall_us", NowUs<std::chrono::system_clock>()},
                       {"mono_us", NowUs<std::chrono::steady_clock>()},
                       {"instance", this->instance},
                       {"kind", kind},
                       {"revision", revision}};
  for (const auto& [name, value] : fields) {
    if (!value.empty()) {
      event[std::string(name)] = value;
    }
  }
  const std::lock_guard lock(this->mutex);
  event["seq"] = ++this->sequence;
  // Text that is no UTF-8 is replaced, not dropped.
  this->lines.push_back(
      event.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  if (this->file.is_open()) {
    this->file << this->lines.back() << '\n' << std::flush;
  }
  if (this->lines.size() > this->capacity) {
    this->lines.pop_front();
  }
}

std::string EventLog::Since(std::uint64_t after) const {
  const std::lock_guard lock(this->mutex);
  const std::uint64_t first = this->sequence - this->lines.size() + 1;
  std::string result;
  const std::uint64_t skip = after >= first ? after - first + 1 : 0;
  for (std::size_t i = std::min<std::size_t>(skip, this->lines.size());
       i < this->lines.size(); ++i) {
    result += this->lines[i] + "\n";
  }
  return result;
}

std::uint64_t EventLog::last() const {
  const std::lock_guard lock(this->mutex);
  return this->sequence;
}

}  // namespace kch::net
