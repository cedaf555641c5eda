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
/*! @brief Capacity of the retry budget in tokens; a retry costs one. */
inline constexpr double kMaxRetryTokens = 50.0;
/*! @brief Number of tokens up to which elapsed time refills the budget; above
 * it, only requests add tokens. */
inline constexpr double kRetryFloorTokens = 3.0;
/*! @brief Rate of the refill with time. */
inline constexpr double kRetryFloorTokensPerSecond = 0.5;
/*! @brief Number of distinct healthy targets on which a job has to fail to end
 * as failed everywhere. */
inline constexpr int kFailedEverywhereTargets = 3;

/*! @brief Token bucket that limits retries to a fraction of requests. */
class RetryBudget {
 public:
  /*! @brief Adds the tokens of a new request. Do not call it for retries. */
  void OnRequest(Time now);
  /*! @brief True if the budget allows a retry. */
  [[nodiscard]] bool CanRetry(Time now) const;
  /*! @brief Takes the token of a retry; returns false if none is available. */
  bool TryAcquire(Time now);

 private:
  [[nodiscard]] double TokensAt(Time now) const;

  double tokens = kRetryFloorTokens;
  Time updated_at;
};

/*! @brief Outcome of an attempt that returned no result. */
enum class AttemptOutcome : std::uint8_t {
  kNotRun,      // certain: rejected by the worker, or never sent
  kFailed,      // ran and failed
  kUnknown,     // may have run
  kMismatched,  // a reply for another task, or a truncated one
};

/*! @brief Facts about a request after an attempt that returned no result. */
struct AttemptFacts {
  AttemptOutcome outcome = AttemptOutcome::kUnknown;
  // The worst outcome of the earlier attempts; kNotRun if there were none.
  AttemptOutcome earlier_outcome = AttemptOutcome::kNotRun;
  bool repeatable = false;
  // In this or an earlier attempt.
  bool first_byte_maybe_sent = true;
  // Distinct targets, healthy at the time, that ran and failed the request.
  int failed_targets = 0;
  bool budget_available = false;
  Time deadline;
};

/*! @brief Decision after an attempt that returned no result: a retry on another
 * target, or the final outcome of the request. */
enum class RetryDecision : std::uint8_t {
  kRetryElsewhere,
  kFailed,
  kNotRun,
  kUnknown,
  kFailedEverywhere,
};

/*! @brief Decides between a retry and a final outcome. */
[[nodiscard]] RetryDecision DecideRetry(const AttemptFacts& facts, Time now);

/*! @brief The worse of two outcomes, for AttemptFacts::earlier_outcome. Unknown
 * is worse than mismatched, then failed, then not run. */
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
