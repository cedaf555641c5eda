#ifndef RETRY_RESPONSE_TIMEOUT_H_
#define RETRY_RESPONSE_TIMEOUT_H_

#include "base/time.h"

namespace kch::retry {

/*! @brief Time after which a call to a service counts as unanswered, derived
 * from the service's response times.
 *
 * Calculated like the retransmission timeout of TCP (RFC 6298): the smoothed
 * response time plus four times its mean deviation, doubled for each call in a
 * row that had no answer. So a lost answer costs a small multiple of the usual
 * response time, and the timeout adapts to a service that has become slow. */
class ResponseTimeout {
 public:
  /*! @brief The timeout stays within [`min`, `max`]; it is `max` until the
   * first answer. */
  ResponseTimeout(Duration min, Duration max);

  /*! @brief A call was answered after `response_time`. */
  void OnAnswer(Duration response_time);
  /*! @brief A call that was sent with timeout `used` had no answer. Concurrent
   * calls that time out together count once. */
  void OnTimeout(Duration used);
  /*! @brief Timeout for the next call. */
  [[nodiscard]] Duration Current() const;

 private:
  Duration min;
  Duration max;
  bool measured = false;
  Duration smoothed{};
  Duration deviation{};
  int doublings = 0;
};

}  // namespace kch::retry

#endif  // RETRY_RESPONSE_TIMEOUT_H_
