#ifndef ENGINE_ENTRY_H_
#define ENGINE_ENTRY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "engine/entry_context.h"
#include "engine/event.h"
#include "engine/frontend.h"
#include "engine/scheduler.h"

namespace kch::engine {

/*! @brief A peer that an entry contacts until it has joined, so that it
 * receives the configuration while the store is down. */
struct SeedPeer {
  InstanceId instance;
  std::string address;  // host:port of its bus
};

/*! @brief Event-driven state machine of one entry. The driver performs the
 * effects of each event and returns their results as events. */
class Entry {
 public:
  Entry(const member::Member& self,
        std::vector<SeedPeer> seeds,
        const Settings& settings,
        Random::result_type seed,
        Time now);
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /*! @brief Handles one event and returns the effects to perform. `now` must
   * not decrease. */
  [[nodiscard]] Effects Step(Event event, Time now);

  /*! @brief The configuration in force; immutable, so other threads may share
   * it. */
  [[nodiscard]] const std::shared_ptr<const config::State>& configuration()
      const {
    return this->context.follower.state();
  }
  /*! @brief Contact, members and revisions, for reports. */
  [[nodiscard]] const member::Membership& membership() const {
    return this->context.membership;
  }
  /*! @brief Store version of the member record as last read. */
  [[nodiscard]] std::uint64_t member_record_version() const {
    return this->members_version;
  }
  /*! @brief Permits, for reports. */
  [[nodiscard]] const permit::Agent& permits() const {
    return this->context.permits;
  }
  /*! @brief Pools and jobs, for reports. */
  [[nodiscard]] const Scheduler& scheduler() const {
    return this->job_scheduler;
  }
  /*! @brief Number of callers that wait for an answer. */
  [[nodiscard]] std::size_t waiting_callers() const {
    return this->frontend.size();
  }
  /*! @brief True if callers may be routed to this entry. */
  [[nodiscard]] bool Ready() const;

 private:
  friend struct EventVisitor;
  friend struct MessageVisitor;

  // State of a process that sends or receives heartbeats.
  struct PeerLink {
    std::uint64_t received_sequence = 0;  // highest sequence received from it
    std::uint64_t acked_sequence = 0;  // highest own sequence it has received
    Time acked_at;
    std::string address;
    // Time until which a process that is not a member receives heartbeats; zero
    // if it has sent no Observe.
    Time observe_until;
    Time next_config_request;
    Time next_reconnect;
  };
  struct PendingChange {
    CallId call = 0;
    config::Outcome outcome;
    std::uint64_t revision = 0;
    Time until;
  };

  void OnMessage(Message message, Time now);
  void OnHeartbeat(const Message& message,
                   const Heartbeat& heartbeat,
                   Time now);
  void OnStore(StoreUser user, const StoreReply& reply, Time now);
  void OnFollowerReply(const StoreReply& reply, Time now);
  void OnRecord(const StoreReply& reply, Time now);
  void OnMembersReply(const StoreReply& reply, Time now);
  void OnMembers(std::uint64_t version, const member::Record& record, Time now);
  void OnVmList(const VmList& list, Time now);
  void OnTick(std::int64_t wall_s, Time now);
  void OnStop(Time now);
  void OfferHead(const std::string& text, Time now);
  void OnConfigOffered(std::uint64_t before, Time now);
  void ApplyProposer(config::ProposerEffects changes, Time now);
  void BroadcastHead();
  void WatchPools();
  void SendHeartbeats(Time now);
  void CheckPeers(Time now);
  void CheckMembers(Time now);
  void ProbeStore(Time now);
  void WriteMembers(const member::Record& record);
  void HandlePeerLoss(const InstanceId& peer, Time now);
  void Watch(const std::string& key);
  void Connect(const InstanceId& peer, const std::string& address, Time now);
  void CheckPendingChanges(Time now);
  void CheckExit(Time now);
  void TraceFreshness(Time now);
  [[nodiscard]] std::vector<InstanceId> MembersByRevision(
      std::uint64_t revision,
      bool in_force) const;

  EntryContext context;
  Scheduler job_scheduler;
  Frontend frontend;
  config::Proposer proposer;
  std::vector<SeedPeer> seeds;
  std::map<InstanceId, PeerLink> links;
  std::optional<config::Head> latest_head;
  std::set<std::string> watched_keys;
  std::vector<PendingChange> pending_changes;

  bool members_request_pending = false;
  bool members_read = false;
  std::uint64_t members_version = 0;
  Time next_members_request;
  bool joined = false;
  bool left = false;
  bool exited = false;

  std::multimap<std::string, CallId> calls_by_change;
  std::set<permit::Holder> retired_holders;
  // Pending read of the head, which proves store contact.
  std::optional<Time> probe_sent;
  Time next_probe;
  bool base_pending = false;
  bool head_read = false;  // this incarnation has applied a head from the store
  std::uint64_t heartbeat_sequence = 0;
  Time next_heartbeat;
  bool was_fresh = false;
  std::optional<Time> stop_started_at;
  std::optional<Time> release_started_at;
};

}  // namespace kch::engine

#endif  // ENGINE_ENTRY_H_
