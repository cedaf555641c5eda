#ifndef ENGINE_ENTRY_H_
#define ENGINE_ENTRY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "engine/core.h"
#include "engine/event.h"
#include "engine/origin.h"
#include "engine/scheduler.h"

namespace kch::engine {

/*! @brief A peer that a starting entry asks while the store is down. */
struct SeedPeer {
  InstanceId instance;
  std::string address;  // host:port of its bus
};

/*! @brief All decisions of one entry: one event in, effects out. The driver
 * performs the effects and passes what comes of them back as events. */
class Entry {
 public:
  Entry(const member::Member& self,
        std::vector<SeedPeer> seeds,
        const Settings& settings,
        Random::result_type seed,
        Time now);
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  /*! @brief Handles one event. `now` never decreases. */
  [[nodiscard]] Effects Step(Event event, Time now);

  /*! @brief The configuration in force; other threads may keep it. */
  [[nodiscard]] const std::shared_ptr<const config::State>& configuration()
      const {
    return this->core.follower.state();
  }
  /*! @brief Contact, members and revisions, for reports. */
  [[nodiscard]] const member::Membership& membership() const {
    return this->core.membership;
  }
  /*! @brief Version of the members' record as last read. */
  [[nodiscard]] std::uint64_t member_record_version() const {
    return this->members_version;
  }
  /*! @brief Permits, for reports. */
  [[nodiscard]] const permit::Agent& permits() const {
    return this->core.permits;
  }
  /*! @brief Pools and jobs, for reports. */
  [[nodiscard]] const Scheduler& scheduler() const { return this->jobs; }
  /*! @brief Callers that wait. */
  [[nodiscard]] std::size_t waiting_callers() const {
    return this->origin.size();
  }
  /*! @brief True if callers may be sent here. */
  [[nodiscard]] bool Ready() const;

 private:
  friend struct EventVisitor;
  friend struct MessageVisitor;

  // What is known of a process that sends or wants heartbeats.
  struct PeerLink {
    std::uint64_t received = 0;  // highest sequence received
    std::uint64_t echoed = 0;    // highest sequence of ours it reports
    Time echoed_at;
    std::string address;
    Time observe_until;  // sends heartbeats to a process that is no member
    Time next_config_request;
    Time next_reconnect;
  };
  struct AwaitForce {
    CallId call = 0;
    config::Outcome outcome;
    std::uint64_t revision = 0;
    Time until;
  };

  void OnMessage(Message message, Time now);
  void OnHeartbeat(const Message& message, const Heartbeat& beat, Time now);
  void OnStore(StoreUser user, const StoreReply& reply, Time now);
  void OnFollowerReply(const StoreReply& reply, Time now);
  void OnRecord(const StoreReply& reply, Time now);
  void OnMembersReply(const StoreReply& reply, Time now);
  void OnMembers(std::uint64_t version, const member::Record& record, Time now);
  void OnVmList(const VmList& list, Time now);
  void OnTick(std::int64_t wall_s, Time now);
  void OnStop(Time now);
  void OfferHead(const std::string& text, Time now);
  void AfterOffer(std::uint64_t before, Time now);
  void ApplyProposer(config::ProposerEffects changes, Time now);
  void RelayHead();
  void WatchPools();
  void SendHeartbeats(Time now);
  void CheckPeers(Time now);
  void CheckMembers(Time now);
  void CheckContact(Time now);
  void WriteMembers(const member::Record& record);
  void LosePeer(const InstanceId& peer, Time now);
  void Watch(const std::string& key);
  void Connect(const InstanceId& peer, const std::string& address, Time now);
  void CheckForce(Time now);
  void CheckExit(Time now);
  void NoteFreshness(Time now);
  [[nodiscard]] std::vector<InstanceId> InForce(std::uint64_t revision,
                                                bool in_force) const;

  Core core;
  Scheduler jobs;
  Origin origin;
  config::Proposer proposer;
  std::vector<SeedPeer> seeds;
  std::map<InstanceId, PeerLink> links;
  std::optional<config::Head> latest_head;
  std::set<std::string> watched;
  std::vector<AwaitForce> awaiting;

  bool members_pending = false;
  bool members_known = false;
  std::uint64_t members_version = 0;
  Time next_members;
  bool joined = false;
  bool left = false;
  bool exited = false;

  std::multimap<std::string, CallId> change_calls;  // by change id
  std::set<permit::Holder> retired;
  std::optional<Time> probe_sent;  // read of the head that proves contact
  Time next_probe;
  bool base_pending = false;
  bool head_read = false;  // this run has applied a head from the store
  std::uint64_t heartbeat = 0;
  Time next_heartbeat;
  bool was_fresh = false;
  std::optional<Time> stop_began;
  std::optional<Time> release_began;
};

}  // namespace kch::engine

#endif  // ENGINE_ENTRY_H_
