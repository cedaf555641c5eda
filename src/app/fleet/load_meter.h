#ifndef APP_FLEET_LOAD_METER_H_
#define APP_FLEET_LOAD_METER_H_

#include <cstdint>
#include <optional>

#include "lead/lead.h"
#include "net/net.h"

namespace kch::app {

/*! @brief Measures how busy a process is and how late it handles events, and
 * tells so once a second. */
class LoadMeter {
 public:
  LoadMeter(net::Metrics& metrics, net::HttpClient& client)
      : metrics(metrics), client(client) {}

  /*! @brief An event was handled `delay` after it had come, and for `length`.
   */
  void OnEvent(Duration delay, Duration length);
  /*! @brief A pass of decisions took this long. */
  void OnPass(Duration length);
  /*! @brief Once a second publishes and returns the load since the last time; a
   * process that is late, or `told` to, logs it as well. */
  std::optional<lead::OwnerLoad> Tick(Time now, bool told);

 private:
  void LogCalls(const net::ClientLoad& calls) const;

  net::Metrics& metrics;
  net::HttpClient& client;
  Time since;
  std::uint64_t events = 0;
  Duration longest_delay{};
  Duration longest_event{};
  Duration event_time{};
  std::uint64_t passes = 0;
  Duration pass_time{};
  Duration longest_pass{};
};

}  // namespace kch::app

#endif  // APP_FLEET_LOAD_METER_H_
