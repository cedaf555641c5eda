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

/*! @brief Time after which a proposal is answered at the latest. */
inline constexpr Duration kProposalTimeout = std::chrono::seconds(5);
/*! @brief Wait before the store is asked again after an outage. */
inline constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(200);
/*! @brief Proposals that wait at one proposer. */
inline constexpr std::size_t kMaxWaitingProposals = 1'024;

/*! @brief An operator's change. */
struct Proposal {
  std::string change_id;  // unique; repeat it to repeat the same change
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
/*! @brief Not applied by this attempt; after an Unknown, only an answer of
 * another kind than kUnavailable settles an earlier attempt. */
struct Rejected {
  Error error;
};
/*! @brief May or may not take effect; the remedy says how to find out. */
struct Unknown {
  Error error;
};
/*! @brief The answer to a proposal. */
using Outcome = std::variant<Accepted, Conflict, Rejected, Unknown>;

/*! @brief A proposal's answer. */
struct Finished {
  std::string change_id;
  Outcome outcome;
};

/*! @brief What a Proposer wants done. */
struct ProposerEffects {
  std::vector<StoreOp> operations;
  std::vector<Finished> finished;
  std::vector<Head> heads;  // read or written; offer them to the follower
};

/*! @brief Turns operators' changes into compare-and-swaps of the head. */
class Proposer {
 public:
  /*! @brief Queues a change; it is answered exactly once. */
  ProposerEffects Propose(Proposal proposal, Time now);
  /*! @brief Takes the reply to an operation of this proposer. */
  ProposerEffects OnReply(const StoreReply& reply, Time now);
  /*! @brief Retries after an outage and answers what has timed out; call it
   * every 100 ms. */
  ProposerEffects OnStep(Time now);

  /*! @brief Proposals without an answer. */
  [[nodiscard]] std::size_t size() const { return this->queue.size(); }

 private:
  struct QueuedProposal {
    Proposal proposal;
    Time deadline;
    // Revision of an attempt whose outcome is not known.
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
  bool confirmed = false;      // `known` was read for the proposal at the front
  bool reread_needed = false;  // `known` may be old; read the head first
  std::shared_ptr<const State> base;  // latest base that was read or written
  std::optional<Head> pending_head;   // waits for its base
  std::uint64_t pending_head_version = 0;
  std::shared_ptr<const State> folded_base;  // base that is being written
  std::optional<Head> written_head;          // head that is being written
  std::shared_ptr<const State> written_state;
  std::string pending_key;  // of the operation in flight
  Phase phase = Phase::kIdle;
  bool abandoned = false;  // the operation in flight is for no proposal
  std::optional<Time> retry_at;
};

}  // namespace kch::config

#endif  // CONFIG_PROPOSER_H_
