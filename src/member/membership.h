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

/*! @brief Interval between heartbeats. */
inline constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(300);
/*! @brief Time without a report after which a peer's connection is replaced. */
inline constexpr Duration kReconnectTimeout = std::chrono::seconds(1);
/*! @brief Time without a report after which a peer is considered down. */
inline constexpr Duration kDownTimeout = std::chrono::seconds(2);
/*! @brief Maximum age of the last contact with the store or the members. */
inline constexpr Duration kMaxContactAge = std::chrono::seconds(2);
/*! @brief Time between two calls above which the process counts as paused. */
inline constexpr Duration kPauseThreshold = std::chrono::seconds(1);
/*! @brief Time after a pause during which contact does not count: sockets still
 * deliver data that arrived during the pause. */
inline constexpr Duration kResumeHoldOff = std::chrono::milliseconds(100);

/*! @brief State of a peer's connection. */
enum class PeerState : std::uint8_t { kConnected, kUnresponsive, kDown };

/*! @brief Kind of a change in a peer's connection. */
enum class PeerEventKind : std::uint8_t {
  kReconnect,  // close the connection and open a new one
  kDown,
  kRecovered,  // reports again after being unresponsive or down
};

/*! @brief A change in a peer's connection. */
struct PeerEvent {
  InstanceId instance;
  PeerEventKind kind = PeerEventKind::kReconnect;

  bool operator==(const PeerEvent&) const = default;
};

/*! @brief One entry's view of the membership: which peers are live, whether the
 * entry has recent contact with the store or a majority, and which incarnations
 * have provably stopped. */
class Membership {
 public:
  Membership(Member self, Time now);

  /*! @brief Replaces the record if its store version is newer. */
  void OnRecord(std::uint64_t version, const Record& record, Time now);
  /*! @brief Processes a peer's heartbeat. A late or duplicate one, or one of a
   * process that is not a member or has stopped, has no effect. Returns true if
   * the heartbeat is new. */
  bool OnHeartbeat(const InstanceId& peer,
                   std::uint64_t incarnation,
                   std::uint64_t sequence,
                   std::uint64_t config_revision,
                   bool draining,
                   Time now);
  /*! @brief Records contact: a store reply with status kOk or kConflict. `now`
   * is the time at which the answered request was sent. */
  void OnStoreContact(Time now);
  /*! @brief Processes the platform's list of live VMs. A list that is not newer
   * or lacks this entry's own VM has no effect. */
  void OnVmList(std::uint64_t version, const std::set<VmId>& vms);
  /*! @brief An operator has declared that an incarnation and all earlier ones
   * have stopped. */
  void OnRetired(const InstanceId& instance, std::uint64_t incarnation);
  /*! @brief Sets whether this entry is draining. */
  void SetDraining(bool draining);
  /*! @brief Returns the changes of peers since the last call. Call it at least
   * every 100 ms; a gap above kPauseThreshold counts as a pause. */
  std::vector<PeerEvent> OnStep(Time now);

  /*! @brief True if this entry may start work: it has recent contact with the
   * store or a majority of members, and is neither paused nor superseded. */
  [[nodiscard]] bool HasFreshContact(Time now) const;
  /*! @brief True if this incarnation has been replaced or declared stopped; it
   * must exit. */
  [[nodiscard]] bool IsSuperseded() const;
  /*! @brief Members that are not down, including this entry. */
  [[nodiscard]] std::vector<InstanceId> LiveMembers(Time now) const;
  /*! @brief State of a peer; kDown if it is not a member. */
  [[nodiscard]] PeerState StateOf(const InstanceId& peer, Time now) const;
  /*! @brief The scheduler of a pool; nullopt if all live members are draining.
   */
  [[nodiscard]] std::optional<InstanceId> OwnerOf(const PoolId& pool,
                                                  Time now) const;
  /*! @brief Live members that are not draining, in order of preference as the
   * scheduler of a pool; the first one is the owner. */
  [[nodiscard]] std::vector<InstanceId> RankedOwners(const PoolId& pool,
                                                     Time now) const;
  /*! @brief Proof that an incarnation has stopped, if there is one. A timeout
   * is no proof. A VM that is no longer listed proves the stop only while it is
   * unlisted and the instance has sent no heartbeat for kDownTimeout: call
   * StopProofOf again before acting on the proof. */
  [[nodiscard]] std::optional<StopProof> StopProofOf(
      const InstanceId& instance,
      std::uint64_t incarnation) const;

  /*! @brief The latest record. */
  [[nodiscard]] const Record& record() const { return this->latest_record; }
  /*! @brief This entry's own row. */
  [[nodiscard]] const Member& self() const { return this->own; }
  /*! @brief The highest configuration revision that a peer has reported. */
  [[nodiscard]] std::uint64_t newest_config_revision() const {
    return this->newest_revision;
  }
  /*! @brief The peer that reported newest_config_revision. */
  [[nodiscard]] const InstanceId& newest_config_peer() const {
    return this->newest_peer;
  }
  /*! @brief The configuration revision that a peer reported last; 0 if none. */
  [[nodiscard]] std::uint64_t config_revision_of(const InstanceId& peer) const;

 private:
  struct Peer {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t config_revision = 0;
    bool draining = false;
    Time last_alive_at;  // last report, or start of its timeouts
    std::optional<Time> last_report_at;  // last actual report, for contact
    PeerState last_state = PeerState::kConnected;  // as of the last OnStep
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
      stop_proofs;  // highest incarnation of each instance
  std::uint64_t list_version = 0;
  // Incarnations whose VM has been listed, and those of them whose VM is no
  // longer listed.
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
