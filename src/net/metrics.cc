#include "net/metrics.h"

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
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

}  // namespace

struct Metrics::Distribution {
  Accumulator values{acc::extended_p_square_probabilities = kQuantiles};
};

Metrics::Metrics() = default;
Metrics::~Metrics() = default;

void Metrics::Count(const std::string& name, std::uint64_t amount) {
  const std::lock_guard lock(this->mutex);
  this->counters[name] += amount;
}

void Metrics::Delay(const std::string& name, double ms) {
  const std::lock_guard lock(this->mutex);
  auto& distribution = this->delays[name];
  if (distribution == nullptr) {
    distribution = std::make_unique<Distribution>();
  }
  distribution->values(ms);
}

std::string Metrics::Json() const {
  const std::lock_guard lock(this->mutex);
  nlohmann::json result = nlohmann::json::object();
  for (const auto& [name, value] : this->counters) {
    result[name] = value;
  }
  for (const auto& [name, distribution] : this->delays) {
    const Accumulator& values = distribution->values;
    result[name + "_ms"] = {{"count", acc::count(values)},
                            {"mean", acc::mean(values)},
                            {"p50", acc::extended_p_square(values)[0]},
                            {"p99", acc::extended_p_square(values)[1]},
                            {"max", acc::max(values)}};
  }
  return result.dump();
}

}  // namespace kch::net
