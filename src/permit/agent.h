#ifndef PERMIT_AGENT_H_
#define PERMIT_AGENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "base/random.h"
#include "base/store.h"
#include "base/time.h"
#include "permit/record.h"

namespace kch::permit {

/*! @brief Requests permits from a peer that reported idle ones. */
struct RequestTransfer {
  InstanceId instance;
  Subject subject;
  std::uint32_t count;
};

/*! @brief Permits of a retired holder moved to this agent; they are busy. */
struct Adopted {
  Subject subject;
  Holder from;
  std::uint32_t count;
};

/*! @brief Permits that were to be adopted no longer exist; their tasks have no
 * permit and must not get new leases. */
struct AdoptionFailed {
  Subject subject;
  Holder from;
  std::uint32_t count;
};

/*! @brief An action that the agent's owner must perform, or a result that it
 * must process. */
using Effect = std::variant<StoreOp, RequestTransfer, Adopted, AdoptionFailed>;
using Effects = std::vector<Effect>;

/*! @brief Durations of an agent. */
struct Settings {
  // Permits of a retired holding are freed max_task_lease + reclaim_margin
  // after it was first seen as retired.
  Duration max_task_lease = std::chrono::seconds(30);
  Duration reclaim_margin = std::chrono::seconds(5);
  // Minimum time between writes of one record.
  Duration write_interval = std::chrono::milliseconds(250);
  // A permit that is not needed for one to two windows is returned.
  Duration idle_window = std::chrono::seconds(3);
  // Minimum time between requests for permits of one subject.
  Duration transfer_request_interval = std::chrono::milliseconds(250);
  // A peer's request is dropped after this time.
  Duration transfer_request_lifetime = std::chrono::seconds(1);
  // Upper bound of the read interval while permits are missing, blocked or to
  // be adopted.
  Duration max_poll_interval = std::chrono::seconds(2);
  // Upper bound of the delay after a failed operation.
  Duration max_backoff = std::chrono::seconds(4);
  // Upper bound of the random delay of the read after Retire.
  Duration retire_spread = std::chrono::seconds(4);
};

/*! @brief Acquires, transfers and returns the permits of one entry instance.
 *
 * The owner executes every StoreOp and passes back exactly one reply for it;
 * a missing reply is passed as kUnknown. Watch events may be passed to
 * OnReply as reads; one that overtakes the reply to a read ends that read,
 * and the late reply is then treated as a watch event. Tick is due about every
 * 50 ms. */
class Agent {
 public:
  Agent(Holder self, Settings settings, Random::result_type seed);

  /*! @brief Sets the configured limit; an older revision is ignored. */
  Effects SetLimit(const Subject& subject,
                   std::uint32_t limit,
                   std::uint64_t revision,
                   Time now);
  /*! @brief Sets how many permits are wanted: busy plus queued. */
  Effects SetDemand(const Subject& subject, std::uint32_t wanted, Time now);

  /*! @brief True if TryAcquire would succeed. */
  [[nodiscard]] bool CanAcquire(const Subject& subject) const;
  /*! @brief Makes an idle permit busy; false if there is none to use. */
  [[nodiscard]] bool TryAcquire(const Subject& subject);
  /*! @brief Acquires a permit of both subjects or of neither. */
  [[nodiscard]] bool TryAcquireBoth(const Subject& first,
                                    const Subject& second);
  /*! @brief Returns a busy permit to idle once its task has ended. */
  Effects ReturnPermit(const Subject& subject, Time now);

  /*! @brief Processes the reply to a store operation, or a watch event. */
  Effects OnReply(const StoreReply& reply, Time now);
  /*! @brief Processes a peer's request for permits. */
  Effects OnTransferRequest(const Subject& subject,
                            const Holder& requester,
                            std::uint32_t count,
                            Time now);
  /*! @brief Processes a peer's report of its idle permits. */
  void OnPeerIdle(const Holder& peer,
                  const Subject& subject,
                  std::uint32_t idle);
  /*! @brief Marks the holdings of a holder, and of its earlier incarnations,
   * as retired. Call it only on proof that the holder stopped. */
  Effects Retire(const Holder& stopped, Time now);
  /*! @brief Requests permits of a stopped holder for its tasks that run on.
   * Once the holding is marked retired, leases of those tasks may be renewed
   * only after Adopted. */
  Effects Adopt(const Subject& subject,
                const Holder& from,
                std::uint32_t count,
                Time now);
  /*! @brief Starts a graceful stop: no more permits are acquired, idle ones are
   * returned at once, busy ones once they are passed to ReturnPermit. */
  Effects ReleaseAll(Time now);
  /*! @brief True once ReleaseAll has returned every permit. */
  [[nodiscard]] bool AllReleased() const;
  /*! @brief Performs the reads, writes and transfer requests that are due. */
  Effects Tick(Time now);

  /*! @brief Permits in use. */
  [[nodiscard]] std::uint32_t Busy(const Subject& subject) const;
  /*! @brief Permits that may be in use under every version of the record that
   * could be current. */
  [[nodiscard]] std::uint32_t Usable(const Subject& subject) const;
  /*! @brief Permits held, not in use and not wanted here; for reports to peers.
   */
  [[nodiscard]] std::uint32_t Spare(const Subject& subject) const;
  /*! @brief True while a lowered limit stops starts. */
  [[nodiscard]] bool Blocked(const Subject& subject) const;
  /*! @brief How many permits the sum of counts exceeds the configured limit by,
   * as far as known. */
  [[nodiscard]] std::uint64_t Excess(const Subject& subject) const;
  /*! @brief Subjects that have a limit, demand or a read record. */
  [[nodiscard]] std::vector<Subject> Subjects() const;

 private:
  struct Adoption {
    Holder from;
    std::uint32_t count = 0;
  };
  struct TransferRequest {
    Holder requester;
    std::uint32_t count = 0;
    Time expires;
  };
  // A write from the known version that may have taken effect.
  struct Write {
    Record record;
    std::uint64_t number = 0;
    std::uint32_t usable = 0;  // own count without newly adopted permits
    std::vector<Adoption> adoptions;
  };
  enum class PendingOp : std::uint8_t { kNone, kGet, kCas };
  struct State {
    std::optional<std::uint32_t> limit;
    std::uint64_t limit_revision = 0;
    std::uint32_t wanted = 0;
    std::uint32_t recent_peak = 0;
    std::uint32_t earlier_peak = 0;
    Time peak_since;
    std::uint32_t busy = 0;

    bool has_read = false;
    bool stale = false;       // a write failed; read before the next write
    bool unverified = false;  // no record was read since the limit was lowered
    std::uint64_t version = 0;
    std::uint64_t corrupt_version = 0;  // newest version that cannot be read
    std::optional<Record> record;
    std::vector<Write> unresolved_writes;
    PendingOp pending_op = PendingOp::kNone;
    std::uint64_t pending_base_version = 0;

    std::map<Holder, Time> retired_since;
    std::map<Holder, std::uint32_t> peer_idle;
    std::vector<TransferRequest> transfer_requests;
    std::vector<Adoption> adoptions;

    Time observed_at;
    Time next_write;
    std::optional<Time> next_read;
    std::optional<Time> deferred_write_at;
    Time next_poll;
    Duration poll_interval{0};
    Time next_transfer_request;
    std::uint32_t failures = 0;
    std::uint32_t conflicts = 0;
    bool watch_active = false;  // watch events keep the view fresh
  };
  // A write that the current state requires.
  struct Plan {
    Write write;
    bool urgent = false;
  };

  [[nodiscard]] const State* Find(const Subject& subject) const;
  [[nodiscard]] State& GetOrCreate(const Subject& subject, Time now);
  [[nodiscard]] std::uint32_t OwnCount(const State& state) const;
  [[nodiscard]] bool OwnRetired(const State& state) const;
  [[nodiscard]] std::uint32_t Usable(const State& state) const;
  [[nodiscard]] std::uint32_t Spare(const State& state) const;
  [[nodiscard]] bool IsStopped(const Holder& holder) const;
  [[nodiscard]] static bool Blocked(const State& state);
  [[nodiscard]] static std::uint64_t Excess(const State& state);
  [[nodiscard]] bool CanAcquire(const State& state) const;
  [[nodiscard]] Duration Jitter(Duration bound);
  [[nodiscard]] std::optional<Plan> MakePlan(const State& state,
                                             Time now) const;
  [[nodiscard]] bool NeedsNoWrite(const State& state) const;
  void MarkRetired(Record& record) const;
  void Reclaim(const State& state, Record& record, Time now) const;
  std::uint32_t MoveAdopted(const State& state, Plan& plan) const;
  std::uint32_t MoveRequested(const State& state,
                              Record& record,
                              std::uint32_t own) const;
  [[nodiscard]] std::uint32_t OwnTargetCount(const State& state,
                                             std::uint32_t own,
                                             std::uint64_t others,
                                             std::uint32_t cap) const;
  void SetOwnCount(Record& record, std::uint32_t count) const;
  void UpdatePeaks(State& state, Time now) const;
  void ScheduleRead(State& state, Time when) const;
  void Observe(const Subject& subject,
               State& state,
               std::optional<Record> record,
               std::uint64_t version,
               Time now,
               Effects& effects);
  void RemoveFinishedAdoptions(const Subject& subject,
                               State& state,
                               Effects& effects);
  void OnReadReply(const Subject& subject,
                   State& state,
                   const StoreReply& reply,
                   Time now,
                   Effects& effects);
  void OnWriteReply(const Subject& subject,
                    State& state,
                    const StoreReply& reply,
                    Time now,
                    Effects& effects);
  [[nodiscard]] Duration Backoff(State& state);
  void SendGet(const Subject& subject, State& state, Effects& effects);
  void SendCas(const Subject& subject,
               State& state,
               Plan plan,
               Time now,
               Effects& effects);
  void PollForPermits(const Subject& subject,
                      State& state,
                      Time now,
                      Effects& effects);
  void Advance(const Subject& subject,
               State& state,
               Time now,
               Effects& effects);

  Holder self;
  Settings settings;
  Random random;
  bool releasing = false;
  std::uint64_t last_write_number = 0;
  std::map<InstanceId, std::uint64_t> stopped;  // highest stopped incarnation
  std::map<Subject, State> states;
};

}  // namespace kch::permit

#endif  // PERMIT_AGENT_H_
