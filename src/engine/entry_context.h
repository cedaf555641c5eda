#ifndef ENGINE_ENTRY_CONTEXT_H_
#define ENGINE_ENTRY_CONTEXT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "config/config.h"
#include "engine/event.h"
#include "engine/message.h"
#include "member/member.h"
#include "once/once.h"
#include "permit/permit.h"
#include "route/route.h"

namespace kch::engine {

/*! @brief Timeouts, intervals and limits of an entry. */
struct Settings {
  // Maximum age of the start checks when the request is sent.
  Duration start_validity = std::chrono::milliseconds(500);
  // Time after the end of a lease before its permits are reused.
  Duration lease_margin = std::chrono::seconds(5);
  // Upper bound of a task lease; also the renewal sent with each poll.
  Duration longest_lease = std::chrono::seconds(30);
  // Retention of outcomes of requests with and without a request id.
  Duration result_ttl = std::chrono::minutes(2);
  Duration anonymous_result_ttl = std::chrono::seconds(30);
  // Interval of resubmission of a request without an outcome.
  Duration resubmit_after = std::chrono::seconds(2);
  // Poll interval of a worker: busy if it has tasks or its pool has queued
  // jobs, else idle.
  Duration busy_poll_interval = std::chrono::seconds(1);
  Duration idle_poll_interval = std::chrono::seconds(5);
  // Total size of retained answers; beyond it the oldest become unknown.
  std::size_t max_retained_result_bytes = std::size_t{8} << 20U;
  // Permits are released when the entry is idle, but not before min_drain after
  // Stop, and regardless of work max_drain after it.
  Duration min_drain = std::chrono::seconds(1);
  Duration max_drain = std::chrono::hours(1);
  // Time for that release; the process then exits in any case.
  Duration release_timeout = std::chrono::seconds(10);
  std::int64_t max_waiting = 100'000;  // queued jobs, checked for each pool
  route::TargetOptions routing;
  // Baselines for benchmarks only. With split_limits, each entry schedules the
  // requests it accepts under an equal part of every limit.
  bool split_limits = false;
  bool fifo = false;  // one queue per pool in order of arrival, no preemption
};

/*! @brief State shared by the caller side and the scheduler side of an
 * entry. */
struct EntryContext {
  EntryContext(const member::Member& self,
               const Settings& settings,
               Random::result_type seed,
               Time now);

  /*! @brief Sends a message; a message to this entry itself is looped back. */
  void Send(const InstanceId& to, MessageBody body);
  /*! @brief Converts the effects of the permit agent to effects of the
   * entry. */
  void Apply(permit::Effects changes);
  /*! @brief Emits the store operations of one component of the entry. */
  void SendStoreOps(StoreUser user, std::vector<StoreOp> operations);
  /*! @brief Appends an event to the timeline. */
  void EmitTrace(Trace trace) { this->effects.emplace_back(std::move(trace)); }
  /*! @brief True if this entry may start work: it has contact, and no peer has
   * had a newer configuration for longer than member::kMaxContactAge. */
  [[nodiscard]] bool Fresh(Time now) const;
  /*! @brief Instance id of this entry. */
  [[nodiscard]] const InstanceId& self() const {
    return this->membership.self().instance;
  }
  /*! @brief This incarnation of the entry, as a permit holder. */
  [[nodiscard]] permit::Holder holder() const {
    return {this->self(), this->membership.self().incarnation};
  }
  /*! @brief The configuration in force. */
  [[nodiscard]] const config::State& state() const {
    return *this->follower.state();
  }

  Settings settings;
  member::Membership membership;
  config::Follower follower;
  permit::Agent permits;
  once::ClaimRegistry claims;
  Random random;
  std::int64_t wall_s = 0;
  bool stopping = false;
  // Last reply that proves that the store is up.
  std::optional<Time> store_contact;
  std::optional<Time>
      behind_since;        // since when a peer has a newer configuration
  std::set<VmId> leaving;  // VMs leaving service, by the platform's list
  // Spare permits of each peer, as last reported.
  std::map<InstanceId, std::map<permit::Subject, std::uint32_t>>
      peer_idle_permits;
  // Latest incarnation of each process that has sent a message, member or not.
  std::map<InstanceId, std::uint64_t> incarnations;
  std::vector<permit::Adopted> adopted;
  std::vector<permit::AdoptionFailed> adopt_failed;
  std::deque<MessageBody> loopback;
  Effects effects;
};

}  // namespace kch::engine

#endif  // ENGINE_ENTRY_CONTEXT_H_
