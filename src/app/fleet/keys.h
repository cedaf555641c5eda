#ifndef APP_FLEET_KEYS_H_
#define APP_FLEET_KEYS_H_

#include <string>
#include <string_view>

#include "jobs/jobs.h"

namespace kch::app {

// Records of this system in the store. Jobs and cancellations share a prefix,
// so that one watch follows both.
inline constexpr std::string_view kOwnerKey = "kch/owner";
// The last process that completed a takeover; without a lease.
inline constexpr std::string_view kLastOwnerKey = "kch/last-owner";
inline constexpr std::string_view kIntakePrefix = "kch/in/";
inline constexpr std::string_view kJobPrefix = "kch/in/job/";
inline constexpr std::string_view kCancelPrefix = "kch/in/stop/";
inline constexpr std::string_view kProgressPrefix = "kch/progress/";
// A job that has ended; its other records are gone, so that a takeover reads
// only what is left to do.
inline constexpr std::string_view kEndedJobPrefix = "kch/done/";
inline constexpr std::string_view kKeptVmPrefix = "kch/vm/";
inline constexpr std::string_view kEndedVmPrefix = "kch/ended/";
inline constexpr std::string_view kOrdersKey = "kch/orders";
// The waits in the queues, written by the owner while there are any.
inline constexpr std::string_view kLoadKey = "kch/load";
// A job whose submitter was told that it does not run. A write of an earlier
// attempt that is carried out later meets this record and has no effect.
inline constexpr std::string_view kRejectedPrefix = "kch/rejected/";
inline constexpr std::string_view kWaveRecordPrefix = "kch/wave/";

// Records of the platform.
inline constexpr std::string_view kOperatorPrefix = "op/";
inline constexpr std::string_view kConfigKey = "op/config";
inline constexpr std::string_view kZoneOutPrefix = "op/evacuate/";
inline constexpr std::string_view kWavePrefix = "op/wave/";
inline constexpr std::string_view kWaveStatePrefix = "status/wave/";
inline constexpr std::string_view kVmPrefix = "servers/";

[[nodiscard]] inline std::string KeyOf(std::string_view prefix,
                                       const jobs::JobId& job) {
  return std::string(prefix) + job.str();
}

}  // namespace kch::app

#endif  // APP_FLEET_KEYS_H_
