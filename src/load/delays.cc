#include "load/delays.h"

namespace kch::load {

namespace acc = boost::accumulators;

Delays::Delays()
    : p50(acc::quantile_probability = 0.5),
      p90(acc::quantile_probability = 0.9),
      p99(acc::quantile_probability = 0.99) {}

void Delays::Add(double ms) {
  this->summary(ms);
  this->p50(ms);
  this->p90(ms);
  this->p99(ms);
}

std::size_t Delays::count() const {
  return acc::count(this->summary);
}

double Delays::mean_ms() const {
  return this->count() == 0 ? 0 : acc::mean(this->summary);
}

double Delays::max_ms() const {
  return this->count() == 0 ? 0 : acc::max(this->summary);
}

double Delays::p50_ms() const {
  return this->count() == 0 ? 0 : acc::p_square_quantile(this->p50);
}

double Delays::p90_ms() const {
  return this->count() == 0 ? 0 : acc::p_square_quantile(this->p90);
}

double Delays::p99_ms() const {
  return this->count() == 0 ? 0 : acc::p_square_quantile(this->p99);
}

}  // namespace kch::load
