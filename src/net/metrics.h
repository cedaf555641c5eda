#ifndef NET_METRICS_H_
#define NET_METRICS_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace kch::net {

/*! @brief Names and values that tell the series of a metric apart. */
using MetricLabels = std::map<std::string, std::string>;

/*! @brief Counters, gauges and delays of a process. Any thread. */
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /*! @brief Adds one to a counter. */
  void Count(const std::string& name, const MetricLabels& labels = {});
  /*! @brief Sets a gauge. */
  void Set(const std::string& name,
           double value,
           const MetricLabels& labels = {});
  /*! @brief Adds a delay in milliseconds to a histogram. */
  void Delay(const std::string& name,
             double ms,
             const MetricLabels& labels = {});
  /*! @brief Counters without labels, and count, mean, p50, p99 and max of each
   * delay over all labels, as a JSON object. */
  [[nodiscard]] std::string Json() const;
  /*! @brief All series in the text format of Prometheus: `kch_NAME_total`,
   * `kch_NAME` and, in seconds, `kch_NAME_seconds`. */
  [[nodiscard]] std::string Text() const;

 private:
  struct Series;
  std::unique_ptr<Series> series;
};

}  // namespace kch::net

#endif  // NET_METRICS_H_
