#ifndef ENGINE_JOB_H_
#define ENGINE_JOB_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "base/base.h"

namespace kch::engine {

/*! @brief Kinds of answers to a request; the set is closed. */
enum class OutcomeKind : std::uint8_t {
  kDone,    // ran to completion; the body is the worker's answer
  kFailed,  // ran and failed
  // Has not run and will not run. Between entries, with kShuttingDown: the job
  // is returned to its entry, and a body is its checkpoint if it ran in part.
  kNotRun,
  kUnknown,  // may have run
};

/*! @brief Reason of an outcome. */
enum class Reason : std::uint8_t {
  kNone,
  kUnknownProfile,
  kUnknownPool,
  kUnknownTeam,
  kKeyInvalid,
  kKeyWithdrawn,
  kRequestIdMissing,
  kNeverFits,
  kQueueFull,
  kDeadline,
  kCancelled,
  kNoScheduler,
  kStoreUnavailable,
  kAlreadyClaimed,
  kTargetsRefused,
  kWorkerFailed,
  kFailedEverywhere,
  kWorkerSilent,
  kMismatchedAnswer,
  kNotFound,
  kShuttingDown,
};

/*! @brief The answer to a request. */
struct Outcome {
  OutcomeKind kind = OutcomeKind::kUnknown;
  Reason reason = Reason::kNone;
  std::string body;
  TaskId task;  // attempt that produced the answer
  VmId vm;
  std::int64_t retry_after_ms = 0;  // 0: not specified

  bool operator==(const Outcome&) const = default;
};

/*! @brief Resources that a request declares. Used only to check that some VM of
 * the pool is large enough. */
struct Resources {
  std::uint32_t cpus = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;

  bool operator==(const Resources&) const = default;
};

/*! @brief A caller's request after authorization. */
struct Job {
  TaskId id;          // unique over all entries
  RequestId request;  // `<team>/<caller's id>`; empty if the caller gave none
  TeamId team;
  ProfileId profile;
  PoolId pool;
  KeyId key;  // empty on open profiles
  std::uint64_t key_revision = 0;
  // Revision that the key was checked against.
  std::uint64_t config_revision = 0;
  // May be started more than once; otherwise it starts only after its request
  // id is claimed.
  bool repeatable = true;
  bool attach_only = false;  // attach to the request, never run it
  Resources resources;
  std::string body;

  bool operator==(const Job&) const = default;
};

}  // namespace kch::engine

template <>
struct kch::NameTable<kch::engine::OutcomeKind> {
  using E = kch::engine::OutcomeKind;
  static constexpr std::array<std::pair<E, std::string_view>, 4> kEntries{
      {{E::kDone, "done"},
       {E::kFailed, "failed"},
       {E::kNotRun, "not_run"},
       {E::kUnknown, "unknown"}}};
};

template <>
struct kch::NameTable<kch::engine::Reason> {
  using E = kch::engine::Reason;
  static constexpr std::array<std::pair<E, std::string_view>, 21> kEntries{
      {{E::kNone, "none"},
       {E::kUnknownProfile, "unknown_profile"},
       {E::kUnknownPool, "unknown_pool"},
       {E::kUnknownTeam, "unknown_team"},
       {E::kKeyInvalid, "key_invalid"},
       {E::kKeyWithdrawn, "key_withdrawn"},
       {E::kRequestIdMissing, "request_id_missing"},
       {E::kNeverFits, "never_fits"},
       {E::kQueueFull, "queue_full"},
       {E::kDeadline, "deadline"},
       {E::kCancelled, "cancelled"},
       {E::kNoScheduler, "no_scheduler"},
       {E::kStoreUnavailable, "store_unavailable"},
       {E::kAlreadyClaimed, "already_claimed"},
       {E::kTargetsRefused, "targets_refused"},
       {E::kWorkerFailed, "worker_failed"},
       {E::kFailedEverywhere, "failed_everywhere"},
       {E::kWorkerSilent, "worker_silent"},
       {E::kMismatchedAnswer, "mismatched_answer"},
       {E::kNotFound, "not_found"},
       {E::kShuttingDown, "shutting_down"}}};
};

#endif  // ENGINE_JOB_H_
