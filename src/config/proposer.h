#ifndef CONFIG_PROPOSER_H_
#define CONFIG_PROPOSER_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "base/base.h"
#include "config/head.h"
#include "config/state.h"

namespace kch::config {

/*! @brief Upper bound on the time until a proposal is answered. */
inline constexpr Duration kProposalTimeout = std::chrono::seconds(5);
/*! @brief Delay before the store is queried again after a failure. */
inline constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(200);
/*! @brief Maximum number of proposals queued at one proposer. */
inline constexpr std::size_t kMaxWaitingProposals = 1'024;

/*! @brief A change requested by an operator. */
struct Proposal {
  std::string change_id;  // unique; reuse it only to retry the same change
  Change change;
  std::optional<std::uint64_t> expected_revision;  // of the object; 0 = absent
};

/*! @brief The change took effect as this revision. */
struct Accepted {
  std::uint64_t revision = 0;
};
/*! @brief Not applied: the object is not at the expected revision. */
struct Conflict {
  std::optional<Object> current;  // absent if there is none
  std::uint64_t revision = 0;
};
/*! @brief Not applied by this attempt. If an earlier attempt with the same
 * change id ended as Unknown, a rejection with kUnavailable, or because of a
 * corrupt record in the store, leaves that attempt undecided. */
struct Rejected {
  Error error;
};
/*! @brief May or may not take effect; the remedy of the error says how to
 * determine the outcome. */
struct Unknown {
  Error error;
};
/*! @brief Outcome of a proposal. */
using Outcome = std::variant<Accepted, Conflict, Rejected, Unknown>;

/*! @brief A proposal's change id and outcome. */
struct Finished {
  std::string change_id;
  Outcome outcome;
};

/*! @brief Effects that the caller of a Proposer carries out. */
struct ProposerEffects {
  std::vector<StoreOp> operations;
  std::vector<Finished> finished;
  std::vector<Head> heads;  // read or written; to be offered to the follower
};

/*! @brief Applies operators' changes, one at a time, by compare-and-swap of the
 * head in the store. */
class Proposer {
 public:
  /*! @brief Queues a change, which is answered exactly once. */
  ProposerEffects Propose(Proposal proposal, Time now);
  /*! @brief Processes the reply to an operation of this proposer. */
  ProposerEffects OnReply(const StoreReply& reply, Time now);
  /*! @brief Retries failed operations and answers proposals that have timed
   * out; called every 100 ms. */
  ProposerEffects OnStep(Time now);

  /*! @brief Number of unanswered proposals. */
  [[nodiscard]] std::size_t size() const { return this->queue.size(); }

 private:
  struct QueuedProposal {
    Proposal proposal;
    Time deadline;
    // Revision of a write of this change whose outcome is unknown.
    std::optional<std::uint64_t> unresolved_revision;
  };
  struct StoredHead {
    std::uint64_t version = 0;  // of the head in the store; 0 = absent
    Head head;
    std::shared_ptr<const State> state;
  };
  enum class Phase : std::uint8_t { kIdle, kHead, kBase, kFold, kWrite };

  void Advance(Time now, ProposerEffects& effects);
  void Send(Phase next, StoreOp operation, ProposerEffects& effects);
  void ReadHead(ProposerEffects& effects);
  void ProcessFront(ProposerEffects& effects);
  void WriteHead(ProposerEffects& effects);
  void Finish(Outcome outcome, ProposerEffects& effects);
  void FailFront(const Error& error, ProposerEffects& effects);
  void Expire(Time now, ProposerEffects& effects);
  void OnHead(const StoreReply& reply, Time now, ProposerEffects& effects);
  void OnBase(const StoreReply& reply, Time now, ProposerEffects& effects);
  void OnFold(const StoreReply& reply, Time now, ProposerEffects& effects);
  void OnWrite(const StoreReply& reply, Time now, ProposerEffects& effects);
  void Backoff(Time now);

  std::deque<QueuedProposal> queue;
  std::optional<StoredHead> stored_head;
  bool confirmed = false;      // `stored_head` was read for the front proposal
  bool reread_needed = false;  // `stored_head` may be stale
  std::shared_ptr<const State> base;  // latest base that was read or written
  std::optional<Head> pending_head;   // read; its base is missing
  std::uint64_t pending_head_version = 0;
  std::shared_ptr<const State> folded_base;  // base that is being written
  std::optional<Head> written_head;          // head that is being written
  std::shared_ptr<const State> written_state;
  std::string pending_key;  // key of the operation in flight
  Phase phase = Phase::kIdle;
  bool abandoned = false;  // the proposal of the operation in flight expired
  std::optional<Time> retry_at;
};

}  // namespace kch::config

#endif  // CONFIG_PROPOSER_H_
