#ifndef ENGINE_MESSAGE_H_
#define ENGINE_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "engine/attempt.h"
#include "engine/job.h"
#include "permit/permit.h"

namespace kch::engine {

/*! @brief Slots a team uses in pools of the sender that have a backlog. */
struct TeamUse {
  TeamId team;
  std::int64_t slots = 0;

  bool operator==(const TeamUse&) const = default;
};

/*! @brief Permits the sender holds and does not need. */
struct IdlePermits {
  permit::Subject subject;
  std::uint32_t count = 0;

  bool operator==(const IdlePermits&) const = default;
};

/*! @brief Tasks of the sender on a VM whose record state is not serving, and
 * tasks that it runs for peers on any VM. */
struct VmUse {
  VmId vm;
  std::int64_t tasks = 0;

  bool operator==(const VmUse&) const = default;
};

/*! @brief The generation of a pool record that the sender has applied. */
struct PoolSeen {
  PoolId pool;
  std::uint64_t generation = 0;

  bool operator==(const PoolSeen&) const = default;
};

/*! @brief Periodic report to every peer. */
struct Heartbeat {
  std::uint64_t sequence = 0;
  // Highest sequence the sender has received from the receiver.
  std::uint64_t heard = 0;
  std::uint64_t config_revision = 0;
  bool draining = false;
  std::vector<TeamUse> contended;
  std::vector<IdlePermits> idle;
  std::vector<VmUse> leaving;
  std::vector<PoolSeen> pools;

  bool operator==(const Heartbeat&) const = default;
};

/*! @brief Submits a request to the scheduler of its pool; idempotent. */
struct Submit {
  Job job;
  std::int64_t deadline_ms = 0;  // time left to start the job
  std::string checkpoint;        // to resume from, if it has run before

  bool operator==(const Submit&) const = default;
};

/*! @brief Notifies the entry of the caller where a task runs, so that it can
 * adopt the task if the scheduler fails. */
struct Started {
  TaskId job;
  Attempt attempt;

  bool operator==(const Started&) const = default;
};

/*! @brief The answer to a Submit. */
struct JobOutcome {
  TaskId job;
  Outcome outcome;

  bool operator==(const JobOutcome&) const = default;
};

/*! @brief Cancels one submission, or a request by its id for all its
 * submissions. */
struct CancelJob {
  TaskId job;
  RequestId request;

  bool operator==(const CancelJob&) const = default;
};

/*! @brief Requests that a peer start a task using a permit of its own. */
struct Delegate {
  Job job;
  Attempt attempt;
  std::string checkpoint;

  bool operator==(const Delegate&) const = default;
};

/*! @brief How a delegated attempt ended. */
struct DelegateEnd {
  AttemptResult result;

  bool operator==(const DelegateEnd&) const = default;
};

/*! @brief Requests idle permits. */
struct PermitAsk {
  permit::Subject subject;
  std::uint32_t count = 0;

  bool operator==(const PermitAsk&) const = default;
};

/*! @brief Requests the receiver's configuration. */
struct ConfigRequest {
  std::uint64_t have = 0;

  bool operator==(const ConfigRequest&) const = default;
};

/*! @brief A configuration head, and the whole state if the receiver is far
 * behind; both encoded as in the store. */
struct ConfigOffer {
  std::string head;
  std::string state;

  bool operator==(const ConfigOffer&) const = default;
};

/*! @brief Requests heartbeats; sent by processes that are not members. */
struct Observe {
  std::string address;  // of the sender's bus

  bool operator==(const Observe&) const = default;
};

using MessageBody = std::variant<Heartbeat,
                                 Submit,
                                 Started,
                                 JobOutcome,
                                 CancelJob,
                                 Delegate,
                                 DelegateEnd,
                                 PermitAsk,
                                 ConfigRequest,
                                 ConfigOffer,
                                 Observe>;

/*! @brief A message between processes. */
struct Message {
  InstanceId from;
  std::uint64_t from_incarnation = 0;
  std::uint64_t to_incarnation = 0;  // 0: unknown to the sender
  MessageBody body;

  bool operator==(const Message&) const = default;
};

}  // namespace kch::engine

#endif  // ENGINE_MESSAGE_H_
