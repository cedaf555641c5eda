#ifndef UPKEEP_MOVER_H_
#define UPKEEP_MOVER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "jobs/placement.h"
#include "upkeep/absence.h"
#include "upkeep/effect.h"
#include "upkeep/ordered_vms.h"

namespace kch::upkeep {

/*! @brief Limits of moves between pools. */
struct MoveLimits {
  // Time that a machine is unavailable during a move, including registration.
  Duration move_duration = std::chrono::milliseconds(2500);
  // Ratio of need to capacity from which a pool receives machines.
  double need_threshold = 1.25;
  // Ratio of waiting work to capacity from which a pool is backlogged. For
  // tasks of 1 s, it corresponds to about the working time that a move costs.
  double backlog_threshold = 0.4;
  // Highest ratio of used and waiting work to the remaining capacity of a pool
  // that gives up a machine that belongs to its reserve.
  double max_donor_utilization = 0.4;
  // Free capacity that a pool without a backlog reserves for its next peak, as
  // a fraction of the average capacity of a pool. If demand rises to twice that
  // average within the duration of a move, the reserve covers half of that
  // time. The average is the capacity of all machines, including standby
  // machines, over the number of pools without standby pools.
  double reserve_fraction = 0.33;
  // A machine moves to the standby pool once it has been idle this long.
  Duration standby_delay = std::chrono::milliseconds(1500);
  // Time after a move in which a machine is not moved again.
  Duration cooldown = std::chrono::milliseconds(3000);
  Duration order_retry_interval = std::chrono::milliseconds(400);
  // Time for which a pool must have lacked VMs for a step before it receives
  // machines, since a VM may be silent for a moment.
  Duration placement_delay = std::chrono::milliseconds(1000);
};

/*! @brief Capacity and demand of a pool in comparable amounts. */
struct PoolDemand {
  jobs::Resources capacity;  // of usable VMs
  jobs::Resources used;
  jobs::Resources waiting;  // tasks that could start at once
  bool standby = false;     // the machines of the pool are powered off
  // What the pool has to hold soon, and at its peaks, as far as they are known;
  // see PoolForecast.
  jobs::Resources need;
  std::optional<jobs::Resources> peak;
  // What a turn that has not begun yet will need; nothing if none is near.
  jobs::Resources expected{};
  // What its steps need of its VMs beside capacity.
  std::vector<jobs::PlacementNeed> placement{};
};

/*! @brief Moves idle machines to pools that have a backlog or will have one,
 * or else to the standby pool.
 *
 * The demand of the queues peaks at different times, each time beyond the
 * capacity of the queue's own pool while the other pools are nearly idle. A
 * standby machine is available as soon as an idle machine of another pool, but
 * costs nothing. A pool whose VMs cannot take all tasks that have to be placed,
 * although it has the capacity, receives machines that can, and gives up none
 * that it needs for this. No machine moves to the standby pool while the
 * backlog of any pool is at least half of MoveLimits::backlog_threshold, nor
 * from a pool whose peak is not known or needs it, and no pool gives up a
 * machine that its own forecast needs. */
class Mover {
 public:
  explicit Mover(const MoveLimits& limits) : limits(limits) {}

  /*! @brief Starts moves and repeats unanswered orders; called periodically.
   * `busy` machines are or will soon be under upkeep, or must not be ordered
   * yet. Machines in `excluded_zones` must not start tasks. The reading of
   * `machines` began at `read_at`. */
  void Tick(const MachineList& machines,
            Time read_at,
            const std::set<MachineId>& busy,
            const std::set<ZoneId>& excluded_zones,
            const std::map<PoolId, PoolDemand>& pools,
            const VmLoadLookup& load_of,
            Time now);
  /*! @brief Handles the platform's answer to an OrderMove.
   *
   * - kDone: the next list tells whether the VM has ended or the move was
   *   carried out before.
   * - kUnknown: the VM stays cordoned, and the order is repeated.
   * - kFenced: emits Superseded.
   * - Others: the move is dropped, its VM is uncordoned, and the machine is not
   *   moved before the cooldown ends. */
  void OnOrderAnswer(const MachineId& machine, OrderAnswer answer, Time now);
  /*! @brief Machines with a move in progress. */
  [[nodiscard]] std::set<MachineId> moving() const;
  /*! @brief Capacity of the machines that are being moved to a pool. */
  [[nodiscard]] jobs::Resources Arriving(const PoolId& pool) const;
  /*! @brief Returns the effects gathered so far and empties the list. */
  [[nodiscard]] std::vector<Effect> TakeEffects();

 private:
  enum class Spare : std::uint8_t;
  // What a pool lacks: capacity, or places under a rule.
  using Deficit = std::variant<jobs::Resources, jobs::PlacementNeed>;
  struct DeficitVisitor;
  // What has been selected of a pool's machines in a pass.
  struct Donated {
    jobs::Resources capacity;
    std::vector<std::int64_t> places;  // by need of the pool; empty: none

    void Add(const PoolDemand& pool, const Machine& machine);
  };
  using DonatedByPool = std::map<PoolId, Donated>;
  // A machine that a pool is about to have, and its room for waiting tasks.
  struct Arrival {
    jobs::Resources capacity;
    jobs::Resources room;
    std::set<std::string> labels;
  };
  struct Move {
    PoolId to;
    VmId vm;
    jobs::Resources capacity;
    std::set<std::string> labels;
    Time ordered;
    Time retry_at;           // the order is not repeated before
    bool order_sent = true;  // the answer to an order is pending
    bool done = false;       // the platform has carried out the order
    Absence absence{};
  };

  void FinishMoves(const MachineList& machines, Time read_at, Time now);
  void StartMove(const Machine& machine,
                 const PoolId& to,
                 const std::string& reason,
                 Time now);
  void EraseMoving(std::vector<const Machine*>& machines) const;
  void MoveToStandby(const std::vector<const Machine*>& idle,
                     const std::map<PoolId, PoolDemand>& pools,
                     const jobs::Resources& reserve,
                     DonatedByPool& donated,
                     Time now);
  [[nodiscard]] jobs::Resources ReservePerPool(
      const MachineList& machines,
      const std::map<PoolId, PoolDemand>& pools) const;
  [[nodiscard]] std::vector<const Machine*> FindIdle(
      const MachineList& machines,
      const std::set<MachineId>& busy,
      const std::map<PoolId, PoolDemand>& pools,
      const VmLoadLookup& load_of,
      Time now) const;
  void ServePlacement(const MachineList& machines,
                      std::vector<const Machine*>& idle,
                      const std::set<ZoneId>& excluded_zones,
                      const std::map<PoolId, PoolDemand>& pools,
                      const VmLoadLookup& load_of,
                      const jobs::Resources& reserve,
                      DonatedByPool& donated,
                      Time now);
  [[nodiscard]] std::vector<Arrival> ArrivalsAt(
      const PoolId& pool,
      const MachineList& machines,
      const VmLoadLookup& load_of) const;
  static void AddArrivals(std::vector<Arrival>& arrivals,
                          jobs::PlacementNeed& need);
  /*! @brief How well a pool can spare a machine if `remaining` is left. */
  [[nodiscard]] Spare SpareOf(const PoolDemand& pool,
                              const jobs::Resources& reserve,
                              const jobs::Resources& remaining) const;
  // Donors that can spare less than `most_needed` give nothing.
  [[nodiscard]] std::vector<const Machine*> SelectDonors(
      const std::vector<const Machine*>& idle,
      const std::set<ZoneId>& excluded_zones,
      const std::map<PoolId, PoolDemand>& pools,
      const jobs::Resources& reserve,
      const PoolId& to,
      Deficit deficit,
      Spare most_needed,
      DonatedByPool& donated) const;

  MoveLimits limits;
  std::map<MachineId, Move> moves;
  std::map<MachineId, Time> cooldown_until;  // no further move before
  std::map<MachineId, Time> idle_since;
  std::map<std::pair<PoolId, jobs::PlacementRule>, Time> lacks_places_since;
  OrderedVms ordered_vms;
  std::vector<Effect> effects;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_MOVER_H_
