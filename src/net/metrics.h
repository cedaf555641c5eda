#ifndef NET_METRICS_H_
#define NET_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace kch::net {

/*! @brief Counters and delay quantiles of a process. Any thread. */
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /*! @brief Adds to a counter. */
  void Count(const std::string& name, std::uint64_t amount = 1);
  /*! @brief Adds a delay in milliseconds to a distribution. */
  void Delay(const std::string& name, double ms);
  /*! @brief All counters, and count, mean, p50, p99 and max of each delay, as
   * a JSON object. */
  [[nodiscard]] std::string Json() const;

 private:
  struct Distribution;
  mutable std::mutex mutex;
  std::map<std::string, std::uint64_t> counters;
  std::map<std::string, std::unique_ptr<Distribution>> delays;
};

}  // namespace kch::net

#endif  // NET_METRICS_H_
