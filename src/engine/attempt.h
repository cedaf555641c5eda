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
  TaskId task;  // unique; the worker knows the task by it
  VmId vm;
  std::string address;  // host:port of the target
  std::int64_t lease_ms = 0;
  permit::Holder holder;  // whose permit the task runs against

  bool operator==(const Attempt&) const = default;
};

/*! @brief How an attempt ended, as far as this process can tell. */
enum class AttemptStatus : std::uint8_t {
  kDone,          // complete answer that matches the task
  kFailed,        // the worker says that the task ran and failed
  kRefused,       // the worker says that it did not run the task
  kCheckpointed,  // stopped at a checkpoint, can continue elsewhere
  kNotSent,       // no byte left this process
  kExpired,       // not sent because the checks made for it were too old
  kBroken,        // some bytes may have left, no complete answer
  kMismatched,    // an answer of another task, or a truncated one
  kNotKnown,      // the worker does not know the task (answer to an attach)
};

/*! @brief The end of an attempt. */
struct AttemptResult {
  TaskId task;
  AttemptStatus status = AttemptStatus::kBroken;
  std::string detail;  // refusal, checkpoint or error
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
