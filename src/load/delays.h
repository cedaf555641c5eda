#ifndef LOAD_DELAYS_H_
#define LOAD_DELAYS_H_

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>

namespace kch::load {

/*! @brief Delays of one team, with quantiles estimated in constant memory. */
class Delays {
 public:
  Delays();

  /*! @brief Adds one delay. */
  void Add(double ms);
  /*! @brief How many were added. */
  [[nodiscard]] std::size_t count() const;
  /*! @brief Average, 0 if there is none. */
  [[nodiscard]] double mean_ms() const;
  /*! @brief Largest, 0 if there is none. */
  [[nodiscard]] double max_ms() const;
  /*! @brief Estimates of quantiles, 0 if there is none. */
  [[nodiscard]] double p50_ms() const;
  [[nodiscard]] double p90_ms() const;
  [[nodiscard]] double p99_ms() const;

 private:
  using Summary = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::mean,
                                 boost::accumulators::tag::max>>;
  using Quantile = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::p_square_quantile>>;

  Summary summary;
  Quantile p50;
  Quantile p90;
  Quantile p99;
};

}  // namespace kch::load

#endif  // LOAD_DELAYS_H_
