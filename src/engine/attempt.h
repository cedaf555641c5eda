#ifndef ENGINE_ATTEMPT_H_
#define ENGINE_ATTEMPT_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "base/base.h"
#include "permit/permit.h"

namespace kch::engine {

/*! @brief One start of a job on one target. */
struct Attempt {
  TaskId task;  // unique; identifies the task at the worker
  VmId vm;
  std::string address;  // host:port of the target
  std::int64_t lease_ms = 0;
  permit::Holder holder;  // holder of the permit that the task uses

  bool operator==(const Attempt&) const = default;
};

/*! @brief How an attempt ended, as observed by this process. */
enum class AttemptStatus : std::uint8_t {
  kDone,          // complete answer that matches the task
  kFailed,        // the worker reports that the task ran and failed
  kRefused,       // the worker reports that it did not run the task
  kCheckpointed,  // stopped at a checkpoint, can resume elsewhere
  kNotSent,       // no byte of the request was sent
  // Not started: the start checks were too old, or the delegate may not start
  // the task or has no permit.
  kExpired,
  kBroken,      // bytes may have been sent, no complete answer
  kMismatched,  // answer of another task, or truncated answer
  kNotKnown,    // the worker has no such task (reply to an attach)
};

/*! @brief Result of an attempt. */
struct AttemptResult {
  TaskId task;
  AttemptStatus status = AttemptStatus::kBroken;
  std::string detail;  // reason of a refusal, checkpoint or error text
  std::string body;

  bool operator==(const AttemptResult&) const = default;
};

}  // namespace kch::engine

template <>
struct kch::NameTable<kch::engine::AttemptStatus> {
  using E = kch::engine::AttemptStatus;
  static constexpr std::array<std::pair<E, std::string_view>, 9> kEntries{
      {{E::kDone, "done"},
       {E::kFailed, "failed"},
       {E::kRefused, "refused"},
       {E::kCheckpointed, "checkpointed"},
       {E::kNotSent, "not_sent"},
       {E::kExpired, "expired"},
       {E::kBroken, "broken"},
       {E::kMismatched, "mismatched"},
       {E::kNotKnown, "not_known"}}};
};

#endif  // ENGINE_ATTEMPT_H_
