#ifndef LEAD_OWNERSHIP_H_
#define LEAD_OWNERSHIP_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/base.h"
#include "lead/follower_leases.h"

namespace kch::lead {

/*! @brief Lease of the owner record. If no call fails, a successor takes
 * over at the latest this long after the owner's last renewal, plus its claim
 * delay (up to kMaxCandidateDelay) and three calls, which report the removal of
 * the record, create a lease and write a new record. This is well within the
 * lease of the runs on VMs. */
inline constexpr Duration kOwnerLease = std::chrono::milliseconds(2000);
/*! @brief Interval between lease renewals. */
inline constexpr Duration kRenewInterval = std::chrono::milliseconds(400);
/*! @brief A renewal that is not answered by then is repeated; four in a row may
 * be lost before the lease expires. Its answer still counts when it comes. */
inline constexpr Duration kRenewTimeout = std::chrono::milliseconds(300);
/*! @brief Delay between a failed renewal and the next one. */
inline constexpr Duration kRenewRetryInterval = std::chrono::milliseconds(80);
/*! @brief An owner whose lease has expired gives orders for at most this long,
 * however long the store is away. */
inline constexpr Duration kMaxOutage = std::chrono::seconds(20);
/*! @brief The same for its successor, whose clock may be faster. */
inline constexpr Duration kPredecessorWait =
    kMaxOutage + std::chrono::milliseconds(500);
/*! @brief A follower's clock may be faster than the owner's by this much in a
 * follower lease. */
inline constexpr Duration kFollowerLeaseMargin = std::chrono::milliseconds(50);
/*! @brief Delay before a failed record of the last owner is repeated. */
inline constexpr Duration kListingRetryInterval =
    std::chrono::milliseconds(100);
/*! @brief Least interval between changes of that record. */
inline constexpr Duration kListingInterval = std::chrono::milliseconds(500);
/*! @brief While the owner waits for an earlier one, the wait that it stores for
 * its successors is too long by at most this. */
inline constexpr Duration kWaitListingStep = std::chrono::milliseconds(1000);
/*! @brief A process that has handed the fleet over claims it no earlier, and
 * as long after its lease if its record may still be seen. */
inline constexpr Duration kHandoverPause =
    kFollowerLease + kFollowerLeaseMargin;
/*! @brief Delay before a failed claim, or the read that verifies one, is
 * repeated. */
inline constexpr Duration kClaimRetryInterval = std::chrono::milliseconds(250);
/*! @brief Delay of a candidate with one CPU core; see CandidateDelay. */
inline constexpr Duration kCandidateDelay = std::chrono::milliseconds(20);
/*! @brief Upper bound of CandidateDelay, however small the machine is. */
inline constexpr Duration kMaxCandidateDelay = std::chrono::milliseconds(300);
/*! @brief Further delay of a candidate that the last owner did not count. The
 * others may wait for the end of a lease that they have granted, and they know
 * that the last owner orders nothing more. */
inline constexpr Duration kNewcomerDelay =
    kFollowerLease + kFollowerLeaseMargin + kMaxCandidateDelay;

/*! @brief Delay before a candidate claims the fleet, inversely proportional to
 * its CPU cores. The owner makes its decisions in one process, so candidates
 * with more CPU go first. A jitter of less than 50 %, derived from the
 * incarnation, separates candidates of equal size. */
[[nodiscard]] Duration CandidateDelay(double cores,
                                      const std::string& incarnation);

/*! @brief Record of the fleet's owner in the store. */
struct OwnerRecord {
  std::string instance;
  std::string incarnation;     // differs for each start of an instance
  std::string address;         // host:port for other instances
  std::string bus_address;     // host:port for relays; empty: none
  std::uint64_t revision = 0;  // store revision at creation; the fencing token
  std::uint64_t lease = 0;     // as read from the store, under which it exists

  bool operator==(const OwnerRecord&) const = default;
};

/*! @brief The owner that was the last to complete a takeover, as it stored
 * itself. */
struct LastOwner {
  OwnerRecord owner;
  // Other instances that may run and claim the fleet.
  std::set<std::string> followers;
  // For how long an owner before this one may still order, counted from when
  // this was stored.
  Duration predecessor_orders{};
  bool ended = false;  // it has given up the fleet and orders nothing more
  bool handed_over = false;  // it has ended for a larger process to follow

  bool operator==(const LastOwner&) const = default;
};

/*! @brief Encodes a record as JSON, without its revision. */
[[nodiscard]] std::string Encode(const OwnerRecord& record);
/*! @brief Encodes a record of the last owner, with its revision. */
[[nodiscard]] std::string Encode(const LastOwner& last);
/*! @brief Decodes a record of the last owner; fails with kCorrupt. */
[[nodiscard]] Result<LastOwner> DecodeLastOwner(std::string_view text);
/*! @brief Decodes a record; fails with kCorrupt if the text is invalid. */
[[nodiscard]] Result<OwnerRecord> DecodeOwner(std::string_view text,
                                              std::uint64_t revision);

/*! @brief Effect: create a lease of kOwnerLease. */
struct CreateLease {};
/*! @brief Effect: write the owner record under a lease if its current revision
 * is `expected_revision`; 0 requires that it does not exist. */
struct ClaimRecord {
  std::uint64_t lease = 0;
  std::uint64_t expected_revision = 0;
  OwnerRecord record;
};
/*! @brief Effect: read the owner record, as after a claim without a reply; then
 * call OnRecord or OnRecordUnread. */
struct ReadRecord {};
/*! @brief Effect: renew a lease. The answer counts until kOwnerLease after
 * `sent`. */
struct RenewLease {
  std::uint64_t lease = 0;
  Time sent;
};
/*! @brief Effect: request a lease from each follower. */
struct RequestFollowerLeases {};
/*! @brief Effect: read the record of the last owner. */
struct ReadLastOwner {};
/*! @brief Effect: store the owner of this term as the last one. */
struct StoreLastOwner {
  LastOwner last;
};
/*! @brief Effect: end a lease, which also removes the record. */
struct EndLease {
  std::uint64_t lease = 0;
};
/*! @brief Effect: store the owner of this term as one that has ended, then end
 * its lease, whatever became of the write. */
struct StoreEnd {
  LastOwner last;
  std::uint64_t lease = 0;
};
/*! @brief Effect: this instance owns the fleet from now on. */
struct OwnershipGained {
  std::uint64_t fence = 0;
};
/*! @brief Effect: this instance no longer owns the fleet, or must assume so. */
struct OwnershipLost {
  std::string reason;
};

using Effect = std::variant<CreateLease,
                            ClaimRecord,
                            ReadRecord,
                            RenewLease,
                            RequestFollowerLeases,
                            ReadLastOwner,
                            StoreLastOwner,
                            EndLease,
                            StoreEnd,
                            OwnershipGained,
                            OwnershipLost>;

/*! @brief Result of a call to the store. */
enum class StoreCallResult : std::uint8_t {
  kOk,
  kRefused,   // the call had no effect
  kConflict,  // the condition did not hold; nothing was written
  kMissing,   // no such lease
  kUnknown    // no reply; the call may still take effect
};

/*! @brief Leader election over a leased record in the store.
 *
 * Decides when to claim ownership of the fleet, renew it and give it up. The
 * caller reports events through the On* methods, calls Tick periodically and
 * performs the effects that TakeEffects returns. */
class Ownership {
 public:
  /*! @brief `claim_delay` is the delay before each claim. */
  Ownership(OwnerRecord self, Duration claim_delay);

  /*! @brief The owner record was read or has changed; nullopt if absent. Called
   * for each successful ReadRecord and each change of the record. `seen_at` is
   * the store's revision at which that held. Returns false for news that is
   * older than what is known already, which changes nothing. */
  bool OnRecord(const std::optional<OwnerRecord>& observed,
                std::uint64_t seen_at,
                Time now);
  /*! @brief ReadRecord had no reply. */
  void OnRecordUnread(Time now);
  /*! @brief CreateLease has returned. */
  void OnLease(StoreCallResult result, std::uint64_t lease, Time now);
  /*! @brief ClaimRecord under `lease` has returned; `revision` is that of the
   * new record. */
  void OnClaim(std::uint64_t lease,
               StoreCallResult result,
               std::uint64_t revision,
               Time now);
  /*! @brief RenewLease of `lease`, with its `sent`, has returned. */
  void OnRenewal(std::uint64_t lease,
                 StoreCallResult result,
                 Time sent,
                 Time now);
  /*! @brief This process was suspended, so it cannot tell how long ago an owner
   * sent it a message. */
  void OnSuspended();
  /*! @brief The owner with this fence has sent a message to this process, which
   * it counts as a follower. */
  void OnOwnerContact(std::uint64_t fence, Time now);
  /*! @brief The owner with this fence requests a lease; true: it is granted. */
  [[nodiscard]] bool GrantLease(std::uint64_t fence, Time now);
  /*! @brief The leases that followers grant to this process as the owner. */
  [[nodiscard]] FollowerLeases& followers() { return this->follower_leases; }
  /*! @brief A VM or instance has rejected this owner for a later one. */
  void OnSuperseded(Time now);
  /*! @brief Gives up the fleet for another process to claim it. False, without
   * any effect, if this process does not certainly own it, if others have
   * promised not to claim it or would have to wait for this one, or while its
   * record as the last owner is being written. */
  bool HandOver(Time now);
  /*! @brief True if the owner before this term has handed the fleet over. */
  [[nodiscard]] bool follows_handover() const {
    return this->last_owner && this->last_owner->handed_over;
  }
  /*! @brief Gives up ownership for a shutdown; no claim follows. */
  void Resign(Time now);
  /*! @brief Starts claims and renewals that are due. */
  void Tick(Time now);
  /*! @brief Returns the effects gathered so far and empties the list. */
  [[nodiscard]] std::vector<Effect> TakeEffects();

  [[nodiscard]] bool owner() const { return this->state == State::kOwner; }
  /*! @brief True if this instance is the owner and its lease cannot have
   * expired, so that no successor can exist yet. */
  [[nodiscard]] bool HoldsValidLease(Time now) const {
    return this->owner() && now < this->valid_until;
  }
  /*! @brief True if this instance may give orders: its lease is valid, or has
   * been followed by failed renewals within kOwnerLease of each other, as while
   * the store is away, and no follower claims meanwhile. False after a longer
   * pause, until a renewal succeeds: a successor may have taken over. */
  [[nodiscard]] bool MayOrder(Time now) const;
  /*! @brief The owner before this term, as it stored itself; unset if there was
   * none. Called in a takeover. */
  void OnLastOwner(const std::optional<LastOwner>& last, Time now);
  /*! @brief A process of an instance has joined this owner. If it is a later
   * one than the owner before this term, that one has ended. Returns true if
   * that moves predecessor_orders_until forward. */
  bool OnJoined(const std::string& instance,
                const std::string& incarnation,
                Time now);
  /*! @brief ReadLastOwner has returned a record. */
  void OnLastOwnerRead(const LastOwner& last, Time now);
  /*! @brief StoreLastOwner has returned. */
  void OnLastOwnerStored(StoreCallResult result, Time now);
  /*! @brief Time until which an earlier owner may have given orders: that of
   * OnLastOwner if it counted this process as a follower or has certainly
   * ended, else kPredecessorWait later. */
  [[nodiscard]] Time predecessor_orders_until() const {
    return this->predecessor_until;
  }
  /*! @brief Time until which HoldsValidLease is true unless a renewal extends
   * it; of the current or last term. */
  [[nodiscard]] Time lease_until() const { return this->valid_until; }
  /*! @brief True once this owner is stored as the last one. */
  [[nodiscard]] bool last_owner_stored() const {
    return this->stored_self.has_value();
  }
  /*! @brief Fencing token of the current or last term. */
  [[nodiscard]] std::uint64_t fence() const { return this->record.revision; }
  /*! @brief The owner record as last observed. */
  [[nodiscard]] const std::optional<OwnerRecord>& observed_owner() const {
    return this->observed_record;
  }

 private:
  enum class State : std::uint8_t {
    kFollower,
    kCreatingLease,   // a lease is being created
    kClaiming,        // the record is being written
    kVerifyingClaim,  // the claim had no reply; the record is being read
    kOwner,
    kResigned,
  };

  void ApplyRecord(const std::optional<OwnerRecord>& observed, Time now);
  void BecomeFollower(Time claim_at);
  void RenewalFailed(Time now);
  void StoreSelf(Time now);
  [[nodiscard]] LastOwner EndedSelf(Time now) const;
  [[nodiscard]] bool IsCountedBy(const LastOwner& last,
                                 std::uint64_t counted_by,
                                 Time now) const;
  void BecomeOwner(std::uint64_t revision, Time now);
  void LoseOwnership(const std::string& reason, Time now);

  OwnerRecord record;
  Duration claim_delay;
  State state = State::kFollower;
  std::optional<OwnerRecord> observed_record;
  std::uint64_t record_seen_at = 0;  // store's revision of `observed_record`
  bool record_read = false;          // the owner record was read at least once
  std::optional<LastOwner> last_owner;  // before this term
  // This owner as the last one: as stored, and as being stored.
  std::optional<LastOwner> stored_self;
  std::optional<LastOwner> new_self;
  bool self_unsure = false;  // a write without an answer may have replaced it
  std::optional<Time> next_self;    // unset: the last owner is not read yet
  std::uint64_t counted_fence = 0;  // of the owner that counts this process
  std::uint64_t gained_counted_fence = 0;  // the same, when this term began
  Time counted_until;
  Time no_claim_until;  // a lease was granted to the owner
  Time predecessor_until;
  Time handed_on_until;  // the part of it that the owner before has handed on
  FollowerLeases follower_leases;
  Time next_claim;
  bool claim_scheduled = false;   // next_claim is set
  std::optional<Time> next_read;  // of the record, to verify a claim
  std::uint64_t lease = 0;
  Time lease_sent;
  Time valid_until;
  bool handed_over = false;  // the lease ends once that is stored
  Time outage_until;         // the next renewal of an outage must fail before
  Time next_renewal;
  Time renewal_sent;      // the latest one
  Time failed_renewal;    // when the latest one that failed was sent
  bool renewing = false;  // it is neither answered nor overdue
  bool renewals_fail = false;
  Time next_lease_request;
  Time leases_granted_until;  // by followers, as last requested
  std::vector<Effect> effects;
};

}  // namespace kch::lead

template <>
struct kch::NameTable<kch::lead::StoreCallResult> {
  static constexpr std::
      array<std::pair<kch::lead::StoreCallResult, std::string_view>, 5>
          kEntries{{{kch::lead::StoreCallResult::kOk, "ok"},
                    {kch::lead::StoreCallResult::kRefused, "refused"},
                    {kch::lead::StoreCallResult::kConflict, "conflict"},
                    {kch::lead::StoreCallResult::kMissing, "missing"},
                    {kch::lead::StoreCallResult::kUnknown, "unknown"}}};
};

#endif  // LEAD_OWNERSHIP_H_
