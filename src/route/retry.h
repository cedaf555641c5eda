#ifndef ROUTE_RETRY_H_
#define ROUTE_RETRY_H_

#include <array>
#include <cstdint>
#include <string_view>
#include <utility>

#include "base/base.h"

namespace kch::route {

/*! @brief Tokens that each request adds to the retry budget. */
inline constexpr double kRetryTokensPerRequest = 0.1;
/*! @brief Most retries saved up. */
inline constexpr double kMaxRetryTokens = 50.0;
/*! @brief TokensAt to which the budget refills with time alone. */
inline constexpr double kRetryFloorTokens = 3.0;
/*! @brief Rate of that refill. */
inline constexpr double kRetryFloorTokensPerSecond = 0.5;
/*! @brief Distinct healthy targets on which a job fails before it ends. */
inline constexpr int kFailedEverywhereTargets = 3;

/*! @brief Limits retries to a fraction of requests. */
class RetryBudget {
 public:
  /*! @brief Counts a new request; retries are not requests. */
  void OnRequest(Time now);
  /*! @brief True if a retry may be made. */
  [[nodiscard]] bool CanRetry(Time now) const;
  /*! @brief Takes a retry from the budget; false if none is left. */
  bool TryAcquire(Time now);

 private:
  [[nodiscard]] double TokensAt(Time now) const;

  double tokens = kRetryFloorTokens;
  Time updated_at;
};

/*! @brief What is known of an attempt that gave no answer. */
enum class AttemptOutcome : std::uint8_t {
  kNotRun,      // proven: refused by the worker, or never sent
  kFailed,      // ran and failed
  kUnknown,     // may have run
  kMismatched,  // an answer of another task, or a truncated one
};

/*! @brief Facts about a request after an attempt without an answer. */
struct AttemptFacts {
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  // The worst end of the earlier attempts; kNotRun if there were none.
  AttemptOutcome earlier_outcome = AttemptOutcome::kNotRun;
  bool repeatable = false;
  // In this or an earlier attempt.
  bool first_byte_maybe_sent = true;
  // Distinct targets, healthy at the time, that ran and failed the request.
  int failed_targets = 0;
  bool budget_available = false;
  Time deadline;
};

/*! @brief What to do after an attempt without an answer. */
enum class RetryDecision : std::uint8_t {
  kRetryElsewhere,
  kFailed,
  kNotRun,
  kUnknown,
  kFailedEverywhere,
};

/*! @brief Decides between a retry and the final outcome. */
[[nodiscard]] RetryDecision DecideRetry(const AttemptFacts& facts, Time now);

/*! @brief The worse of two ends for AttemptFacts::earlier: unknown before
 * failed before not run. */
[[nodiscard]] AttemptOutcome WorseOutcome(AttemptOutcome first,
                                          AttemptOutcome second);

}  // namespace kch::route

template <>
struct kch::NameTable<kch::route::AttemptOutcome> {
  static constexpr std::
      array<std::pair<kch::route::AttemptOutcome, std::string_view>, 4>
          kEntries{{{kch::route::AttemptOutcome::kNotRun, "not_run"},
                    {kch::route::AttemptOutcome::kFailed, "failed"},
                    {kch::route::AttemptOutcome::kUnknown, "unknown"},
                    {kch::route::AttemptOutcome::kMismatched, "mismatched"}}};
};

template <>
struct kch::NameTable<kch::route::RetryDecision> {
  static constexpr std::
      array<std::pair<kch::route::RetryDecision, std::string_view>, 5>
          kEntries{
              {{kch::route::RetryDecision::kRetryElsewhere, "retry_elsewhere"},
               {kch::route::RetryDecision::kFailed, "failed"},
               {kch::route::RetryDecision::kNotRun, "not_run"},
               {kch::route::RetryDecision::kUnknown, "unknown"},
               {kch::route::RetryDecision::kFailedEverywhere,
                "failed_everywhere"}}};
};

#endif  // ROUTE_RETRY_H_
