#ifndef NET_LOG_H_
#define NET_LOG_H_

#include <cstdint>
#include <string>

namespace kch::net {

/*! @brief Weight of a log line. */
enum class LogLevel : std::uint8_t { kInfo, kWarning, kError };

/*! @brief Sends log lines as JSON to standard error, under the name of this
 * process's instance. */
void StartLog(const std::string& instance);

/*! @brief Writes one line. For changes of state only; counters and events tell
 * the rest. */
void Log(LogLevel level, const std::string& text);

}  // namespace kch::net

#endif  // NET_LOG_H_
