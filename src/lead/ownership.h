#ifndef LEAD_OWNERSHIP_H_
#define LEAD_OWNERSHIP_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/base.h"

namespace kch::lead {

/*! @brief Lease of the owner's record. A successor takes over at the latest
 * this long after the owner's last renewal, well within the lease of what runs
 * on VMs. */
inline constexpr Duration kOwnerLease = std::chrono::milliseconds(2000);
/*! @brief Interval of renewals. */
inline constexpr Duration kRenewInterval = std::chrono::milliseconds(400);
/*! @brief A renewal without an answer for this long is repeated, so that four
 * in a row may be lost before the lease ends. */
inline constexpr Duration kRenewTimeout = std::chrono::milliseconds(300);
inline constexpr Duration kRenewRetryInterval = std::chrono::milliseconds(80);
/*! @brief Pause before a failed claim is repeated. */
inline constexpr Duration kClaimRetryInterval = std::chrono::milliseconds(250);
/*! @brief Wait of a candidate with one whole core; see CandidateDelay. */
inline constexpr Duration kCandidateDelay = std::chrono::milliseconds(20);
/*! @brief Longest wait of a candidate, however small its machine is. */
inline constexpr Duration kMaxCandidateDelay = std::chrono::milliseconds(300);

/*! @brief How long a candidate waits before it claims the fleet. The owner's
 * decisions need one process's processor, so machines with more of it come
 * first; those of equal size are jitter by their names. */
[[nodiscard]] Duration CandidateDelay(double cores,
                                      const std::string& incarnation);

/*! @brief The owner's record in the store. */
struct OwnerRecord {
  std::string instance;
  std::string incarnation;     // differs between starts of one instance
  std::string address;         // host:port for other instances
  std::string bus_address;     // host:port for relays; empty: none
  std::uint64_t revision = 0;  // of its creation; the fence of all orders

  bool operator==(const OwnerRecord&) const = default;
};

[[nodiscard]] std::string Encode(const OwnerRecord& record);
[[nodiscard]] Result<OwnerRecord> DecodeOwner(std::string_view text,
                                              std::uint64_t revision);

/*! @brief Creates a lease of kOwnerLease. */
struct CreateLease {};
/*! @brief Writes the owner's record under a lease if it has a revision. */
struct ClaimRecord {
  std::uint64_t lease = 0;
  std::uint64_t expected_revision = 0;
  OwnerRecord record;
};
/*! @brief Reads the owner's record, after a claim without an answer. */
struct ReadRecord {};
struct RenewLease {
  std::uint64_t lease = 0;
};
/*! @brief Ends a lease and with it the record. */
struct EndLease {
  std::uint64_t lease = 0;
};
/*! @brief This instance owns the fleet from now on. */
struct OwnershipGained {
  std::uint64_t fence = 0;
};
/*! @brief It no longer does, or must assume so. */
struct OwnershipLost {
  std::string reason;
};

using Effect = std::variant<CreateLease,
                            ClaimRecord,
                            ReadRecord,
                            RenewLease,
                            EndLease,
                            OwnershipGained,
                            OwnershipLost>;

/*! @brief How a store call ended. */
enum class StoreCallResult : std::uint8_t {
  kOk,
  kRefused,
  kConflict,
  kMissing,
  kUnknown
};

/*! @brief Decides when to claim, renew and give up the fleet. */
class Ownership {
 public:
  /*! @brief `claim_delay` is the wait before each claim. */
  Ownership(OwnerRecord self, Duration claim_delay);

  /*! @brief The record as read or watched; nothing if absent. */
  void OnRecord(const std::optional<OwnerRecord>& observed, Time now);
  void OnLease(StoreCallResult answer, std::uint64_t lease, Time now);
  void OnClaim(StoreCallResult answer, std::uint64_t revision, Time now);
  void OnRenewal(StoreCallResult answer, Time sent, Time now);
  /*! @brief A VM or instance has observed a later owner. */
  void OnSuperseded(Time now);
  /*! @brief Gives the fleet up for a shutdown and claims no more. */
  void Resign(Time now);
  void Tick(Time now);
  [[nodiscard]] std::vector<Effect> TakeEffects();

  [[nodiscard]] bool owner() const { return this->state == State::kOwner; }
  /*! @brief True if no successor can exist yet. */
  [[nodiscard]] bool HoldsValidLease(Time now) const {
    return this->owner() && now < this->valid_until;
  }
  [[nodiscard]] std::uint64_t fence() const { return this->record.revision; }
  /*! @brief The owner as last observed. */
  [[nodiscard]] const std::optional<OwnerRecord>& observed_owner() const {
    return this->observed_record;
  }

 private:
  enum class State : std::uint8_t {
    kFollower,
    kCreatingLease,   // a lease is being created
    kClaiming,        // the record is being written
    kVerifyingClaim,  // the claim had no answer; the record is being read
    kOwner,
    kResigned,
  };

  void BecomeFollower(Time claim_at);
  void BecomeOwner(std::uint64_t revision, Time now);
  void LoseOwnership(const std::string& reason, Time now);

  OwnerRecord record;
  Duration claim_delay;
  State state = State::kFollower;
  std::optional<OwnerRecord> observed_record;
  bool record_read = false;  // the record has been read at least once
  Time next_claim;
  bool claim_scheduled = false;  // next_claim is set
  std::uint64_t lease = 0;
  Time lease_sent;
  Time valid_until;
  Time next_renewal;
  bool renewing = false;
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
