#include "net/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <mutex>
#include <nlohmann/json.hpp>

namespace kch::net {
namespace {

namespace acc = boost::accumulators;

using Accumulator =
    acc::accumulator_set<double,
                         acc::stats<acc::tag::count,
                                    acc::tag::mean,
                                    acc::tag::max,
                                    acc::tag::extended_p_square>>;

constexpr std::array<double, 2> kQuantiles{0.5, 0.99};
constexpr double kMsPerS = 1000;

// In seconds, from a call to the store up to the longest deadline of a caller.
const prometheus::Histogram::BucketBoundaries& Buckets() {
  static const prometheus::Histogram::BucketBoundaries bounds{
      0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};
  return bounds;
}

// The help text repeats the name; docs/OPERATIONS.md explains each metric.
template <typename Metric, typename Builder>
prometheus::Family<Metric>& FamilyOf(
    std::map<std::string, prometheus::Family<Metric>*>& families,
    prometheus::Registry& registry,
    Builder builder,
    const std::string& name,
    const std::string& suffix) {
  auto& family = families[name];
  if (family == nullptr) {
    family =
        &builder.Name("kch_" + name + suffix).Help(name).Register(registry);
  }
  return *family;
}

}  // namespace

struct Metrics::Series {
  mutable std::mutex mutex;
  prometheus::Registry registry;
  std::map<std::string, prometheus::Family<prometheus::Counter>*> counters;
  std::map<std::string, prometheus::Family<prometheus::Gauge>*> gauges;
  std::map<std::string, prometheus::Family<prometheus::Histogram>*> histograms;
  // For the JSON object.
  std::map<std::string, std::uint64_t> plain;
  std::map<std::string, Accumulator> delays;
};

Metrics::Metrics() : series(std::make_unique<Series>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name, const MetricLabels& labels) {
  Series& all = *this->series;
  const std::lock_guard lock(all.mutex);
  if (labels.empty()) {
    ++all.plain[name];
  }
  FamilyOf(all.counters, all.registry, prometheus::BuildCounter(), name,
           "_total")
      .Add(labels)
      .Increment();
}

void Metrics::Set(const std::string& name,
                  double value,
                  const MetricLabels& labels) {
  Series& all = *this->series;
  const std::lock_guard lock(all.mutex);
  FamilyOf(all.gauges, all.registry, prometheus::BuildGauge(), name, "")
      .Add(labels)
      .Set(value);
}

void Metrics::Delay(const std::string& name,
                    double ms,
                    const MetricLabels& labels) {
  Series& all = *this->series;
  const std::lock_guard lock(all.mutex);
  FamilyOf(all.histograms, all.registry, prometheus::BuildHistogram(), name,
           "_seconds")
      .Add(labels, Buckets())
      .Observe(ms / kMsPerS);
  all.delays
      .try_emplace(name, acc::extended_p_square_probabilities = kQuantiles)
      .first->second(ms);
}

std::string Metrics::Json() const {
  const Series& all = *this->series;
  const std::lock_guard lock(all.mutex);
  nlohmann::json result = nlohmann::json::object();
  for (const auto& [name, value] : all.plain) {
    result[name] = value;
  }
  for (const auto& [name, values] : all.delays) {
    result[name + "_ms"] = {{"count", acc::count(values)},
                            {"mean", acc::mean(values)},
                            {"p50", acc::extended_p_square(values)[0]},
                            {"p99", acc::extended_p_square(values)[1]},
                            {"max", acc::max(values)}};
  }
  return result.dump();
}

std::string Metrics::Text() const {
  const std::lock_guard lock(this->series->mutex);
  return prometheus::TextSerializer().Serialize(
      this->series->registry.Collect());
}

}  // namespace kch::net
