#ifndef JOBS_RECORD_H_
#define JOBS_RECORD_H_

#include <string>
#include <string_view>

#include "base/base.h"
#include "jobs/job.h"

namespace kch::jobs {

/*! @brief Validates a submitted job: counts, amounts, order of steps. Fails
 * with kInvalid. */
[[nodiscard]] Result<void> CheckSpec(const JobSpec& spec);

/*! @brief The record of an accepted job. */
[[nodiscard]] std::string EncodeSpec(const JobSpec& spec);
/*! @brief Fails with kCorrupt if the record is unreadable, and as CheckSpec. */
[[nodiscard]] Result<JobSpec> DecodeSpec(const JobId& id,
                                         std::string_view text);

/*! @brief The record of a job's progress: its state, the tasks done, attempts
 * and checkpoints. */
[[nodiscard]] std::string EncodeProgress(const Job& job);
/*! @brief Restores stored progress into a job that has none. Fails with
 * kCorrupt; the job is then partly changed and must be discarded. */
[[nodiscard]] Result<void> DecodeProgress(std::string_view text, Job& job);
/*! @brief The record of an ended job: the state that its submitter can query.
 */
[[nodiscard]] std::string EncodeEnded(const Job& job);
/*! @brief Fails with kCorrupt if the state is unreadable. */
[[nodiscard]] Result<JobView> DecodeEnded(std::string_view text);
/*! @brief The record of a VM that may run tasks without being registered. */
[[nodiscard]] std::string EncodeVmRecord(const VmRecord& record);
/*! @brief Fails with kCorrupt. */
[[nodiscard]] Result<VmRecord> DecodeVmRecord(const VmId& id,
                                              std::string_view text);

/*! @brief The state in a progress record, without the rest. Fails with
 * kCorrupt. */
[[nodiscard]] Result<JobState> DecodeState(std::string_view text);

}  // namespace kch::jobs

#endif  // JOBS_RECORD_H_
