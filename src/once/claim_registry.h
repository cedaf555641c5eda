#ifndef ONCE_CLAIM_REGISTRY_H_
#define ONCE_CLAIM_REGISTRY_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/id.h"
#include "base/name_table.h"
#include "base/random.h"
#include "base/store.h"
#include "base/time.h"
#include "once/bucket.h"

namespace kch::once {

/*! @brief Outcome of a claim. */
enum class ClaimOutcome : std::uint8_t {
  kClaimed,      // the claim is in the record; the request may start
  kTaken,        // another token claimed the request id
  kUnavailable,  // not claimed, and the claim can no longer take effect
  kUnknown,  // undecided; the claim may be in the record until it is withdrawn
};

/*! @brief Why a claim ended as kUnavailable or kUnknown; otherwise kNone. */
enum class ClaimRefusal : std::uint8_t { kNone, kDeadline, kFull, kInvalid };

/*! @brief Result of one claim. Only kClaimed permits a start; after any other
 * outcome the token must not be used again. */
struct ClaimResult {
  RequestId request;
  std::string token;
  ClaimOutcome outcome = ClaimOutcome::kUnavailable;
  std::string other_token;  // kTaken only
  ClaimRefusal refusal = ClaimRefusal::kNone;
};

/*! @brief Durations and limits of a claim registry. */
struct Settings {
  // Time after which an undecided claim is reported and given up.
  Duration deadline = std::chrono::seconds(2);
  // Time from a write to the next operation on its record, unless it fails.
  Duration write_interval = std::chrono::milliseconds(20);
  // Upper bound of the delay after a failed operation.
  Duration max_backoff = std::chrono::milliseconds(500);
  // A claim older than retention_s + clock_margin_s by the wall clock is
  // removed by the next write of its record.
  std::int64_t retention_s = 600;
  std::int64_t clock_margin_s = 120;
  // Encoded record size above which a claim is refused as kFull.
  std::size_t max_record_bytes = std::size_t{256} * 1024;
};

/*! @brief Claims request ids in bucket records, in batches.
 *
 * A claim that may be in the record at its deadline is reported as kUnknown and
 * withdrawn by a later write, after which its request id can be claimed again.
 *
 * The owner executes every StoreOp and passes back exactly one reply for it; a
 * missing reply is passed as kUnknown. `wall_s` is wall-clock time in seconds.
 * Tick is due about every 10 ms while claims are undecided. */
class ClaimRegistry {
 public:
  ClaimRegistry(Settings settings, Random::result_type seed);

  /*! @brief Claims a request id for a token that no other claim uses. A repeat
   * of an undecided claim has no effect; of a withdrawn one it reports
   * kUnknown. */
  std::vector<StoreOp> Claim(const RequestId& request,
                             const std::string& token,
                             Time now,
                             std::int64_t wall_s);
  /*! @brief Processes the reply to a store operation. */
  std::vector<StoreOp> OnReply(const StoreReply& reply,
                               Time now,
                               std::int64_t wall_s);
  /*! @brief Performs the store operations that are due and reports claims past
   * their deadline. */
  std::vector<StoreOp> Tick(Time now, std::int64_t wall_s);
  /*! @brief Returns the results gathered so far and empties the list. */
  [[nodiscard]] std::vector<ClaimResult> TakeResults();
  /*! @brief Number of undecided claims. */
  [[nodiscard]] std::size_t PendingCount() const;

 private:
  struct PendingClaim {
    RequestId request;
    std::string token;
    Time deadline;
    std::uint32_t writes =
        0;  // writes with this claim that may still take effect
    bool in_flight = false;  // in the write that has no reply yet
  };
  enum class PendingOp : std::uint8_t { kNone, kGet, kCas };
  struct State {
    bool has_read = false;
    bool stale = false;  // a write failed; read before the next write
    std::uint64_t version = 0;
    Bucket bucket;
    PendingOp pending_op = PendingOp::kNone;
    Bucket pending_bucket;
    std::vector<PendingClaim> waiting;
    // Claims reported as kUnknown, to be removed from the record.
    std::vector<PendingClaim> withdrawn;
    Time observed_at;
    Time next_op;
    std::uint32_t failures = 0;
  };

  void AddResult(const PendingClaim& claim,
                 ClaimOutcome outcome,
                 std::string other_token,
                 ClaimRefusal refusal);
  [[nodiscard]] bool IsExpired(const ClaimEntry& claim,
                               std::int64_t wall_s) const;
  void Observe(State& state, Bucket bucket, std::uint64_t version, Time now);
  void ResolveClaims(State& state, std::int64_t wall_s);
  void FailOverdueClaims(State& state, Time now);
  void OnReadReply(State& state, const StoreReply& reply, Time now);
  void OnWriteReply(State& state, const StoreReply& reply, Time now);
  [[nodiscard]] Duration Backoff(State& state);
  [[nodiscard]] bool MakeBatch(State& state,
                               Bucket& batch,
                               std::int64_t wall_s);
  void Advance(std::uint32_t index,
               State& state,
               Time now,
               std::int64_t wall_s,
               std::vector<StoreOp>& ops);

  Settings settings;
  Random random;
  std::map<std::uint32_t, State> states;
  std::vector<ClaimResult> results;
};

}  // namespace kch::once

template <>
struct kch::NameTable<kch::once::ClaimOutcome> {
  static constexpr std::
      array<std::pair<kch::once::ClaimOutcome, std::string_view>, 4>
          kEntries{{{kch::once::ClaimOutcome::kClaimed, "claimed"},
                    {kch::once::ClaimOutcome::kTaken, "taken"},
                    {kch::once::ClaimOutcome::kUnavailable, "unavailable"},
                    {kch::once::ClaimOutcome::kUnknown, "unknown"}}};
};

template <>
struct kch::NameTable<kch::once::ClaimRefusal> {
  static constexpr std::
      array<std::pair<kch::once::ClaimRefusal, std::string_view>, 4>
          kEntries{{{kch::once::ClaimRefusal::kNone, "none"},
                    {kch::once::ClaimRefusal::kDeadline, "deadline"},
                    {kch::once::ClaimRefusal::kFull, "full"},
                    {kch::once::ClaimRefusal::kInvalid, "invalid"}}};
};

#endif  // ONCE_CLAIM_REGISTRY_H_
