#ifndef ADMIT_ADMISSION_H_
#define ADMIT_ADMISSION_H_

#include <optional>

#include "admit/load_report.h"

namespace kch::admit {

/*! @brief Interval at which the owner reports while jobs wait. */
inline constexpr Duration kReportInterval = std::chrono::milliseconds(400);
/*! @brief A report that is older than this tells nothing about the present. */
inline constexpr Duration kMaxReportAge = std::chrono::milliseconds(1500);

/*! @brief Why a job should not be accepted, and when that will have changed. */
struct Rejection {
  Duration wait{};  // that the job would have had
  std::int32_t retry_after_s = 1;
};

/*! @brief Decides whether an arriving job can still be served.
 *
 * A job is rejected if it would end later than is of use even if all of its
 * estimates hold, and if its team has more than its share of the waiting work.
 * Without a fresh report every job is accepted. Callers return in the order in
 * which they were rejected: the time to come back is that until the present
 * backlog is done, and later ones are sent behind earlier ones. */
class Admission {
 public:
  void OnReport(LoadReport report, Time now);
  /*! @brief Nothing if the job is to be accepted. */
  [[nodiscard]] std::optional<Rejection> Check(const jobs::JobSpec& spec,
                                               Time now);

 private:
  LoadReport report;
  Time received;
  std::map<jobs::QueueId, Time> last_return;  // of the callers sent back
};

}  // namespace kch::admit

#endif  // ADMIT_ADMISSION_H_
