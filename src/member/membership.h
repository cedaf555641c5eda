#ifndef MEMBER_MEMBERSHIP_H_
#define MEMBER_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/base.h"
#include "member/record.h"

namespace kch::member {

/*! @brief Interval of heartbeats. */
inline constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(300);
/*! @brief Silence after which a peer's connection is replaced. */
inline constexpr Duration kReconnectTimeout = std::chrono::seconds(1);
/*! @brief Silence after which a peer is considered down. */
inline constexpr Duration kDownTimeout = std::chrono::seconds(2);
/*! @brief Age at which contact with the store or the members is too old. */
inline constexpr Duration kMaxContactAge = std::chrono::seconds(2);
/*! @brief Gap between steps that means the process was paused. */
inline constexpr Duration kPauseThreshold = std::chrono::seconds(1);
/*! @brief Time after a pause in which contact does not count: sockets still
 * deliver what arrived during the pause. */
inline constexpr Duration kResumeHoldOff = std::chrono::milliseconds(100);

/*! @brief How a peer's connection does. */
enum class PeerState : std::uint8_t { kConnected, kUnresponsive, kDown };

/*! @brief What to do about a peer. */
enum class PeerEventKind : std::uint8_t {
  kReconnect,  // close the connection and make a new one
  kDown,
  kRecovered,  // in_contact again after being silent or down
};

/*! @brief A change in a peer's connection. */
struct PeerEvent {
  InstanceId instance;
  PeerEventKind kind = PeerEventKind::kReconnect;

  bool operator==(const PeerEvent&) const = default;
};

/*! @brief One entry's view of its peers, of its contact and of stops. */
class Membership {
 public:
  Membership(Member self, Time now);

  /*! @brief Takes the record if its store version is newer than the last. */
  void OnRecord(std::uint64_t version, const Record& record, Time now);
  /*! @brief Takes a peer's report; a late, duplicated or foreign one does
   * nothing. Returns true if the report is new. */
  bool OnHeartbeat(const InstanceId& peer,
                   std::uint64_t incarnation,
                   std::uint64_t sequence,
                   std::uint64_t config_revision,
                   bool draining,
                   Time now);
  /*! @brief A store reply with status kOk or kConflict arrived. */
  void OnStoreContact(Time now);
  /*! @brief Takes the platform's list of live VMs. A list that is not newer or
   * lacks this entry's own VM does nothing. */
  void OnVmList(std::uint64_t version, const std::set<VmId>& vms);
  /*! @brief An operator says that an incarnation and all earlier have stopped.
   */
  void OnRetired(const InstanceId& instance, std::uint64_t incarnation);
  /*! @brief This entry begins or ends its own drain. */
  void SetDraining(bool draining);
  /*! @brief Call at least every 100 ms; returns changes of peers since the last
   * call. */
  std::vector<PeerEvent> OnStep(Time now);

  /*! @brief True if this entry may start work. */
  [[nodiscard]] bool HasFreshContact(Time now) const;
  /*! @brief True if this incarnation has been replaced or declared stopped; it
   * must exit. */
  [[nodiscard]] bool IsSuperseded() const;
  /*! @brief Members that are not down, itself included. */
  [[nodiscard]] std::vector<InstanceId> LiveMembers(Time now) const;
  /*! @brief State of a peer; kDown if it is not a member. */
  [[nodiscard]] PeerState StateOf(const InstanceId& peer, Time now) const;
  /*! @brief The scheduler of a pool; none if every live member is draining. */
  [[nodiscard]] std::optional<InstanceId> OwnerOf(const PoolId& pool,
                                                  Time now) const;
  /*! @brief LiveMembers members that are not draining, best scheduler first. */
  [[nodiscard]] std::vector<InstanceId> RankedOwners(const PoolId& pool,
                                                     Time now) const;
  /*! @brief Proof that an incarnation has stopped, if there is one. A timeout
   * is none. A VM that is unlisted counts after 2 s of elapsed and only until
   * the list shows it again: ask once more before acting on it. */
  [[nodiscard]] std::optional<StopProof> StopProofOf(
      const InstanceId& instance,
      std::uint64_t incarnation) const;

  /*! @brief The latest_record record. */
  [[nodiscard]] const Record& record() const { return this->latest_record; }
  /*! @brief This entry's own row. */
  [[nodiscard]] const Member& self() const { return this->own; }
  /*! @brief The highest configuration revision a peer has last_state, and who.
   */
  [[nodiscard]] std::uint64_t newest_config_revision() const {
    return this->newest_revision;
  }
  [[nodiscard]] const InstanceId& newest_config_peer() const {
    return this->newest_peer;
  }
  /*! @brief The configuration revision a peer last last_state; 0 if none. */
  [[nodiscard]] std::uint64_t config_revision_of(const InstanceId& peer) const;

 private:
  struct Peer {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t config_revision = 0;
    bool draining = false;
    Time last_alive_at;  // last report, or when elapsed began to count
    std::optional<Time> last_report_at;  // last report that counts as contact
    PeerState last_state = PeerState::kConnected;  // as of the last step
    Time reconnected_at;
  };

  void DetectPause(Time now);
  void AddStopProof(const InstanceId& instance,
                    std::uint64_t incarnation,
                    StopKind kind);
  [[nodiscard]] bool CountsAsContact(Time contact) const;
  [[nodiscard]] bool HasMajorityContact(Time now) const;
  [[nodiscard]] bool IsProvenStopped(const InstanceId& instance,
                                     std::uint64_t incarnation) const;
  [[nodiscard]] bool IsDraining(const InstanceId& instance) const;

  Member own;
  Record latest_record;
  std::uint64_t record_version = 0;
  std::map<InstanceId, Peer> peers;
  std::map<InstanceId, StopProof>
      stop_proofs;  // highest incarnation of each name
  std::uint64_t list_version = 0;
  // Incarnations whose VM has been in the list, and the ones of these whose VM
  // is no longer in it.
  std::map<InstanceId, std::uint64_t> listed;
  std::map<InstanceId, std::uint64_t> unlisted;
  Time last_call_at;
  std::optional<Time> resumed_at;  // end of the last pause
  std::optional<Time> last_store_contact;
  std::uint64_t newest_revision = 0;
  InstanceId newest_peer;
};

}  // namespace kch::member

#endif  // MEMBER_MEMBERSHIP_H_
