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

/*! @brief Credit in slot-seconds that a team keeps from time without work. */
inline constexpr double kIdleBurstSlotSeconds = 2.0;
/*! @brief Wait after which a team that is a slot or more below its share may
 * preempt. */
inline constexpr Duration kPreemptionDelay = std::chrono::seconds(2);
/*! @brief The same for urgent tasks. */
inline constexpr Duration kUrgentPreemptionDelay =
    std::chrono::milliseconds(500);
/*! @brief Time a chosen task has to end before its slot is reserved_slots
 * again. */
inline constexpr Duration kPreemptionGracePeriod = std::chrono::seconds(5);
/*! @brief Least lead in slot-seconds that lets two teams take turns on a slot
 * to which neither is fully entitled. */
inline constexpr double kTurnLeadSlotSeconds = 10.0;
/*! @brief The same if the waiting task is urgent. */
inline constexpr double kUrgentTurnLeadSlotSeconds = 1.0;
/*! @brief Largest value that ExpectedWait returns. */
inline constexpr Duration kMaxExpectedWait = std::chrono::hours(24);

/*! @brief Weighted fair queue of one pool over teams in measured slot-seconds.
 *
 * Call Started (or Push again) for a popped task before the next Pop, so that
 * the next choice counts it. */
class FairQueue {
 public:
  /*! @brief Decides whether a waiting task may start now. */
  using Eligible = std::function<Eligibility(const QueuedTask&)>;

  FairQueue() = default;
  FairQueue(const FairQueue&) = delete;
  FairQueue& operator=(const FairQueue&) = delete;

  /*! @brief Sets a team's weight; a team never set has weight 1. */
  void SetTeamWeight(const TeamId& team, double weight, Time now);
  /*! @brief Sets the slots a team uses in other pools that have a backlog. */
  void SetExternalSlots(const TeamId& team, double slots, Time now);

  /*! @brief Adds a task; false if it already waits or runs. */
  bool Push(QueuedTask queued, Time now);
  /*! @brief Removes and returns the best eligible task; skips expired ones. */
  std::optional<QueuedTask> Pop(Time now, const Eligible& eligible);
  /*! @brief Starts the charge for a task, popped or adopted; false if it
   * already runs. */
  bool Started(const TaskId& task,
               const TeamId& team,
               bool preemptible,
               Time now);
  /*! @brief Ends the charge for a task; false if it does not run. */
  bool Ended(const TaskId& task, Time now);
  /*! @brief Removes a waiting task in constant time; nothing if not waiting. */
  std::optional<QueuedTask> Cancel(const TaskId& task, Time now);
  /*! @brief Removes and returns the tasks whose deadline has passed. */
  std::vector<QueuedTask> Expire(Time now);

  /*! @brief Estimated wait of a task that would arrive now, from measured run
   * times; 0 while nothing was measured. */
  [[nodiscard]] Duration ExpectedWait(const TeamId& team,
                                      std::int64_t slots,
                                      Time now) const;
  /*! @brief The task to checkpoint for a team below its share that has waited
   * past its bound in a pool with all `slots` in use. Call it every 100 ms or
   * so: a team counts as waiting since the last call that found it at its
   * share. The choice is remembered,
   * so each call returns another task, and once the task has ended Pop serves
   * the waiting team first. With a predicate, which must not count the lack of
   * free slots, a team with nothing eligible preempts nobody. */
  std::optional<Preemption> PickPreemption(Time now,
                                           std::int64_t slots,
                                           const Eligible& eligible = {});

  /*! @brief Counters of a team; zeros for an unknown one. */
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
  // Position in an order by time; the sequence number makes it unique.
  using TimeKey = std::pair<Time, std::uint64_t>;
  using LaneKey = std::pair<bool, ProfileId>;  // false first: urgent tasks

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
    double external_slots = 0;
    std::int64_t waiting = 0;
    std::int64_t running = 0;
    double virtual_time = 0;  // charged slot-seconds per weight
    double charged_at = 0;    // contended clock at the last settlement
    double slot_seconds = 0;  // used, settled at usage_updated_at
    Time usage_updated_at;
    std::optional<double> blocked_lag;  // largest lag allowed while blocked
    std::map<LaneKey, TimeOrder> lanes;
    TimeOrder age_urgent;
    TimeOrder age_normal;
    std::map<TimeKey, TaskId> preemptible;
    double start_seconds_sum = 0;  // seconds, over running tasks
    MeanRunTime run_time;
    Time satisfied_at = Time::min();  // last seen at its share
    std::int64_t stopping = 0;        // tasks chosen for preemption
    std::int64_t reserved_slots = 0;  // slots taken from others for this team
  };

  // A slot that preemption takes from one team for another.
  struct Reservation {
    TaskId task;
    std::size_t from = 0;
    std::size_t to = 0;
    Time expires_at;
    bool slot_freed = false;  // the task ended; the slot awaits the next Pop
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
  double clock_seconds = 0;  // time with a backlog, up to clock_at
  Time clock_at;
};

}  // namespace kch::share

#endif  // SHARE_FAIR_QUEUE_H_
