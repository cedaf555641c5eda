#ifndef SHARE_FAIR_QUEUE_H_
#define SHARE_FAIR_QUEUE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "share/queued_task.h"

namespace kch::share {

/*! @brief Largest credit, in slot-seconds, that a team retains from idle time.
 */
inline constexpr double kIdleBurstSlotSeconds = 2.0;
/*! @brief Time after which a team with a waiting task that is one slot or more
 * below its share may preempt. */
inline constexpr Duration kPreemptionDelay = std::chrono::seconds(2);
/*! @brief kPreemptionDelay for urgent tasks. */
inline constexpr Duration kUrgentPreemptionDelay =
    std::chrono::milliseconds(500);
/*! @brief Time that a preempted task has to end, and that its freed slot is
 * reserved; afterwards another task may be preempted instead. */
inline constexpr Duration kPreemptionGracePeriod = std::chrono::seconds(5);
/*! @brief Minimum lead in slot-seconds for a slot to which neither team is
 * fully entitled: a waiting team that holds less than one slot takes it over
 * once the team using it leads by this much, so that the two alternate. */
inline constexpr double kTurnLeadSlotSeconds = 10.0;
/*! @brief kTurnLeadSlotSeconds if the waiting task is urgent. */
inline constexpr double kUrgentTurnLeadSlotSeconds = 1.0;
/*! @brief Largest value that ExpectedWait returns. */
inline constexpr Duration kMaxExpectedWait = std::chrono::hours(24);

/*! @brief Weighted fair queue of one pool. Teams share its slots by weight, and
 * are charged the slot-seconds that their tasks have used.
 *
 * After each Pop, call Started for the task, or Push to return it, before the
 * next Pop, so that the next choice accounts for it. */
class FairQueue {
 public:
  /*! @brief Decides whether a waiting task may start now. */
  using Eligible = std::function<Eligibility(const QueuedTask&)>;

  FairQueue() = default;
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  /*! @brief Sets a team's weight; the default is 1. */
  void SetTeamWeight(const TeamId& team, double weight, Time now);
  /*! @brief Sets the slots that a team uses in other pools with a backlog; they
   * are charged while the team waits here. */
  void SetExternalSlots(const TeamId& team, double slots, Time now);

  /*! @brief Adds a task; returns false if it already waits or runs. */
  bool Push(QueuedTask queued, Time now);
  /*! @brief Removes and returns the next eligible task; skips expired ones.
   * Returns nullopt if no task is eligible. */
  std::optional<QueuedTask> Pop(Time now, const Eligible& eligible);
  /*! @brief Starts the charge for a task, popped or adopted; returns false if
   * it already runs. */
  bool Started(const TaskId& task,
               const TeamId& team,
               bool preemptible,
               Time now);
  /*! @brief Ends the charge for a task; returns false if it does not run. */
  bool Ended(const TaskId& task, Time now);
  /*! @brief Removes a waiting task in constant time; returns nullopt if it
   * does not wait. */
  std::optional<QueuedTask> Cancel(const TaskId& task, Time now);
  /*! @brief Removes and returns the tasks whose deadline has passed. */
  std::vector<QueuedTask> Expire(Time now);

  /*! @brief Estimated wait of a task that would arrive now in a pool of `slots`
   * slots, from measured run times; 0 while none was measured, and
   * kMaxExpectedWait without slots. */
  [[nodiscard]] Duration ExpectedWait(const TeamId& team,
                                      std::int64_t slots,
                                      Time now) const;
  /*! @brief Selects a task to checkpoint in a pool whose `slots` are all in
   * use, for a team below its share that has waited longer than
   * kPreemptionDelay, or kUrgentPreemptionDelay with an urgent task.
   *
   * Call it about every 100 ms: the wait of a team starts at the later of the
   * arrival of its oldest task and the last call that found the team at its
   * share. The queue records the choice, so that each call returns another task
   * and, once that task has ended, Pop serves the waiting team first. If
   * `eligible` is set, a team without an eligible task preempts none; the
   * predicate must not count the lack of free slots. */
  std::optional<Preemption> PickPreemption(Time now,
                                           std::int64_t slots,
                                           const Eligible& eligible = {});

  /*! @brief Counters of a team; zeros for a team that is not in the queue. */
  [[nodiscard]] TeamCounters Counters(const TeamId& team, Time now) const;
  /*! @brief Number of waiting tasks of all teams. */
  [[nodiscard]] std::int64_t waiting() const {
    return static_cast<std::int64_t>(this->items.size());
  }
  /*! @brief Number of running tasks of all teams. */
  [[nodiscard]] std::int64_t running() const {
    return static_cast<std::int64_t>(this->tasks.size());
  }
  /*! @brief The earliest deadline of a waiting task, for timers. */
  [[nodiscard]] std::optional<Time> NextDeadline() const;

 private:
  // Key of an ordering by time; the sequence number makes it unique.
  using TimeKey = std::pair<Time, std::uint64_t>;
  using LaneKey =
      std::pair<bool, ProfileId>;  // urgent tasks have false and sort first

  struct Item;
  using TimeOrder = std::map<TimeKey, Item*>;

  struct Item {
    QueuedTask queued;
    std::size_t team = 0;
    std::map<LaneKey, TimeOrder>::iterator lane;
    TimeOrder::iterator in_lane;
    TimeOrder::iterator in_deadlines;
    TimeOrder::iterator in_age;
  };

  struct MeanRunTime {
    double seconds = 0;
    std::int64_t samples = 0;
    void Add(double sample);
  };

  struct Task {
    std::size_t team = 0;
    Time started;
    bool stopping = false;
    std::optional<std::map<TimeKey, TaskId>::iterator> preemptible;
  };

  struct Team {
    TeamId id;
    double weight = 1;
    double external_slots = 0;  // used in other pools with a backlog
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    double virtual_time = 0;  // charged slot-seconds per weight
    double charged_at = 0;    // contended clock at the last charge, seconds
    double slot_seconds = 0;  // used up to usage_updated_at
    Time usage_updated_at;
    // Largest lag allowed while blocked, slot-seconds per weight.
    std::optional<double> blocked_lag;
    std::map<LaneKey, TimeOrder> lanes;
    TimeOrder age_urgent;
    TimeOrder age_normal;
    std::map<TimeKey, TaskId> preemptible;
    double start_seconds_sum = 0;  // start times of the running tasks
    MeanRunTime run_time;
    Time satisfied_at = Time::min();  // last observed at its share
    std::int64_t stopping = 0;        // own tasks being preempted
    std::int64_t reserved_slots = 0;  // preempted for this team
  };

  // A slot that preemption moves from one team to another.
  struct Reservation {
    TaskId task;
    std::size_t from = 0;
    std::size_t to = 0;
    Time expires_at;
    bool slot_freed = false;  // the task has ended; the next Pop may use it
  };

  std::size_t TeamIndex(const TeamId& id);
  [[nodiscard]] double ContendedClock(Time now) const;
  void AdvanceClock(Time now);
  [[nodiscard]] double VirtualTime(const Team& team, double clock) const;
  void ChargeUsage(Team& team, Time now);
  [[nodiscard]] double SystemVirtualTime(double clock) const;
  [[nodiscard]] static double IdleBurst(const Team& team);
  [[nodiscard]] double MeanRunSeconds(const Team& team, Time now) const;
  [[nodiscard]] std::vector<double> Entitlements(
      std::int64_t slots,
      std::optional<std::size_t> extra) const;
  [[nodiscard]] static Item* BestEligible(const Team& team,
                                          Time now,
                                          const Eligible& eligible);
  Item* SelectReserved(Time now, const Eligible& eligible);
  void LimitLag(Team& team, double served, double clock) const;
  QueuedTask Remove(Item* item, Time now);
  void EraseReservation(std::size_t position);
  void PurgeReservations(Time now);

  std::vector<std::unique_ptr<Team>> teams;
  std::unordered_map<TeamId, std::size_t> team_index;
  std::unordered_map<TaskId, Item> items;
  std::unordered_map<TaskId, Task> tasks;
  std::vector<Reservation> reservations;
  TimeOrder deadlines;
  MeanRunTime run_time;
  std::uint64_t sequence = 0;
  double system_virtual_time = 0;
  double clock_seconds = 0;  // total time with a backlog, up to clock_at
  Time clock_at;
};

}  // namespace kch::share

#endif  // SHARE_FAIR_QUEUE_H_
