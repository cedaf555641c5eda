#ifndef ENGINE_EVENT_H_
#define ENGINE_EVENT_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "config/config.h"
#include "engine/attempt.h"
#include "engine/job.h"
#include "engine/message.h"

namespace kch::engine {

/*! @brief Identifies a waiting caller at the driver. */
using CallId = std::uint64_t;

/*! @brief A caller submits a request, or attaches to an earlier one. */
struct CallerRequest {
  CallId call = 0;
  ProfileId profile;
  std::string secret;
  std::string request_id;
  bool repeatable = true;
  bool attach_only = false;
  std::int64_t deadline_ms = 0;  // 0: the profile's deadline
  Resources resources;
  std::string body;
};

/*! @brief A caller cancels the request it waits for. */
struct CallerCancel {
  CallId call = 0;
};

/*! @brief A caller cancels a request by its id; the request may have been
 * submitted by another caller or through another entry. */
struct CancelRequest {
  CallId call = 0;
  ProfileId profile;
  std::string secret;
  std::string request_id;
};

/*! @brief An operator proposes a configuration change. */
struct OperatorChange {
  CallId call = 0;
  config::Proposal proposal;
};

/*! @brief A message from another process. */
struct PeerMessage {
  Message message;
};

/*! @brief The end of an attempt that this entry started or attached to. */
struct AttemptEnded {
  AttemptResult result;
};

/*! @brief One task in a worker's report. */
struct ReportedTask {
  TaskId task;
  TeamId team;
  ProfileId profile;
};

/*! @brief A worker's report; `reached` is false if the poll failed. */
struct WorkerReport {
  VmId vm;
  bool reached = false;
  std::string boot;
  bool draining = false;
  std::vector<ReportedTask> tasks;
};

/*! @brief The platform's list of VMs. */
struct VmList {
  std::uint64_t version = 0;
  std::set<VmId> live;
  // VMs that the platform will take out of service; they receive no new task.
  std::set<VmId> leaving;
};

/*! @brief Timer event, due every 20 ms. */
struct Tick {
  std::int64_t wall_s = 0;  // wall clock, seconds since the Unix epoch
};

/*! @brief Begins a graceful shutdown. */
struct Stop {};

/*! @brief Component of an entry that issued a store operation. */
enum class StoreUser : std::uint8_t {
  kFollower,
  kProposer,
  kPermits,
  kClaims,
  kMembers,
  kPools,
};

/*! @brief The reply to a StoreRequest; a missing reply is reported as
 * kUnknown. */
struct StoreCompletion {
  StoreUser user = StoreUser::kFollower;
  StoreReply reply;
};

/*! @brief A record delivered by a watch. */
struct StoreWatchUpdate {
  StoreReply reply;
};

using Event = std::variant<CallerRequest,
                           CallerCancel,
                           CancelRequest,
                           OperatorChange,
                           PeerMessage,
                           StoreCompletion,
                           StoreWatchUpdate,
                           AttemptEnded,
                           WorkerReport,
                           VmList,
                           Tick,
                           Stop>;

/*! @brief Answers a caller. */
struct ReplyCaller {
  CallId call = 0;
  Outcome outcome;
};

/*! @brief Answers an operator's change; for an accepted change, lists the
 * instances where it is in force and those where it is still pending. */
struct ReplyOperator {
  CallId call = 0;
  config::Outcome outcome;
  std::vector<InstanceId> in_force;
  std::vector<InstanceId> pending;
};

/*! @brief Sends an operation to the store. */
struct StoreRequest {
  StoreUser user = StoreUser::kFollower;
  StoreOp op;
};

/*! @brief Watches a record until the process exits. */
struct WatchKey {
  std::string key;
};

/*! @brief Sends a message to a member or an observer. */
struct SendPeer {
  InstanceId to;
  Message message;
};

/*! @brief Connects to a peer; an existing connection is replaced. */
struct ConnectPeer {
  InstanceId peer;
  std::string address;
};

/*! @brief Drops the connection to a peer that is no longer a member. */
struct DropPeer {
  InstanceId peer;
};

/*! @brief Runs a task on a worker and waits for its end. */
struct StartTask {
  Attempt attempt;
  Job job;
  std::string checkpoint;  // to resume from; empty for a fresh start
  Time valid_until;        // the start checks are too old after this time
};

/*! @brief Waits on a new connection for the end of a running task. */
struct AttachTask {
  Attempt attempt;
};

/*! @brief Closes the connection that waits for the end of a task. */
struct AbortTaskConnection {
  TaskId task;
};

/*! @brief Polls a worker: renews the leases of `tasks` and requests a
 * report. */
struct PollWorker {
  VmId vm;
  std::string address;
  std::int64_t lease_ms = 0;
  std::vector<TaskId> tasks;
  bool new_connection = false;  // set if the last poll failed
};

/*! @brief Orders that a worker accepts for a running task. */
enum class TaskOrder : std::uint8_t { kCheckpoint, kThrottle, kStop };

/*! @brief Sends an order about a running task to its worker. */
struct OrderTask {
  std::string address;
  TaskId task;
  TaskOrder order = TaskOrder::kCheckpoint;
};

/*! @brief Kinds of timeline events. */
enum class TraceKind : std::uint8_t {
  kRequestReceived,
  kRequestForwarded,
  kRequestQueued,
  kTaskStarted,
  kTaskEnded,
  kTaskPreempted,
  kTaskAdopted,
  kRequestAnswered,
  kConfigApplied,
  kChangeDecided,
  kPeerDown,
  kPeerBack,
  kPeerReconnect,
  kInstanceStopped,
  kJoined,
  kLeft,
  kFresh,
  kNotFresh,
  kZoneOut,
  kZoneIn,
  kPoolChanged,
  kDraining,
};

/*! @brief Appends an event to the timeline. */
struct Trace {
  TraceKind kind = TraceKind::kRequestReceived;
  std::string request;
  std::string task;
  std::string vm;
  std::string team;
  std::string zone;
  std::string pool;
  std::string text;
};

/*! @brief The process can exit: its shutdown is complete, or a newer instance
 * of its name has joined. */
struct Exit {};

using Effect = std::variant<ReplyCaller,
                            ReplyOperator,
                            SendPeer,
                            ConnectPeer,
                            DropPeer,
                            StoreRequest,
                            WatchKey,
                            StartTask,
                            AttachTask,
                            AbortTaskConnection,
                            PollWorker,
                            OrderTask,
                            Trace,
                            Exit>;
using Effects = std::vector<Effect>;

}  // namespace kch::engine

template <>
struct kch::NameTable<kch::engine::TaskOrder> {
  using E = kch::engine::TaskOrder;
  static constexpr std::array<std::pair<E, std::string_view>, 3> kEntries{
      {{E::kCheckpoint, "checkpoint"},
       {E::kThrottle, "throttle"},
       {E::kStop, "stop"}}};
};

template <>
struct kch::NameTable<kch::engine::TraceKind> {
  using E = kch::engine::TraceKind;
  static constexpr std::array<std::pair<E, std::string_view>, 22> kEntries{
      {{E::kRequestReceived, "request_received"},
       {E::kRequestForwarded, "request_forwarded"},
       {E::kRequestQueued, "request_queued"},
       {E::kTaskStarted, "task_started"},
       {E::kTaskEnded, "task_ended"},
       {E::kTaskPreempted, "task_preempted"},
       {E::kTaskAdopted, "task_adopted"},
       {E::kRequestAnswered, "request_answered"},
       {E::kConfigApplied, "config_applied"},
       {E::kChangeDecided, "change_decided"},
       {E::kPeerDown, "peer_down"},
       {E::kPeerBack, "peer_back"},
       {E::kPeerReconnect, "peer_reconnect"},
       {E::kInstanceStopped, "instance_stopped"},
       {E::kJoined, "joined"},
       {E::kLeft, "left"},
       {E::kFresh, "fresh"},
       {E::kNotFresh, "not_fresh"},
       {E::kZoneOut, "zone_out"},
       {E::kZoneIn, "zone_in"},
       {E::kPoolChanged, "pool_changed"},
       {E::kDraining, "draining"}}};
};

#endif  // ENGINE_EVENT_H_
