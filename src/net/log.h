#ifndef NET_LOG_H_
#define NET_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kch::net {

/*! @brief Weight of a log line. */
enum class LogLevel : std::uint8_t { kInfo, kWarning, kError };

/*! @brief Sends log lines as JSON to standard error, under the name of this
 * process's instance. */
void StartLog(const std::string& instance);

/*! @brief Sends log lines as JSON to standard output instead. Lines beyond a
 * rate, and lines that a slow reader leaves no room for, are counted and left
 * out. */
void StartEventLog(const std::string& instance);

/*! @brief Fields of an event line, in this order. */
using LogFields = std::vector<std::pair<std::string_view, std::string>>;

/*! @brief Writes an event with its fields as one JSON line. */
void LogEvent(std::string_view event, const LogFields& fields);

/*! @brief Writes one line. For changes of state only; counters and events tell
 * the rest. */
void Log(LogLevel level, const std::string& text);

}  // namespace kch::net

#endif  // NET_LOG_H_
