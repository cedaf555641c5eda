#ifndef UPKEEP_MOVER_H_
#define UPKEEP_MOVER_H_

#include <map>
#include <set>
#include <vector>

#include "upkeep/effect.h"

namespace kch::upkeep {

/*! @brief Bounds of moves between pools. */
struct MoveLimits {
  // Time that a machine is away, and the time in which it registers.
  Duration move_duration = std::chrono::milliseconds(2500);
  // Waiting work over capacity from which a pool takes machines: with tasks of
  // a second, about the time that a move takes away.
  double backlog_threshold = 0.4;
  // Use that a pool may reach by giving a machine away.
  double max_donor_utilization = 0.4;
  // Free capacity that a calm pool keeps for the start of its turn, as a part
  // of what each pool has on average. With a rise of demand to twice that
  // within the time of a move, it covers half of that time.
  double reserve_fraction = 0.33;
  // A machine stands by once it is idle this long.
  Duration standby_delay = std::chrono::milliseconds(1500);
  // A machine stays in its pool this long after a move.
  Duration cooldown = std::chrono::milliseconds(3000);
  Duration order_retry_interval = std::chrono::milliseconds(400);
};

/*! @brief What a pool has and wants, in one comparable amount each. */
struct PoolDemand {
  jobs::Resources capacity;  // of usable VMs
  jobs::Resources used;
  jobs::Resources waiting;  // tasks that could start at once
  bool standby = false;     // its machines are off
};

/*! @brief Moves idle machines from calm pools to pools with a backlog, and lets
 * the others stand by.
 *
 * Demand of the queues peaks in turn, each beyond what its own pool holds,
 * while the other pools stand nearly idle. A machine that stands by is at work
 * as soon as an idle one of another pool, but does not cost. */
class Mover {
 public:
  explicit Mover(const MoveLimits& limits) : limits(limits) {}

  /*! @brief `busy` machines are under maintenance, about to be, or must not be
   * ordered yet; those of `excluded_zones` may start nothing. */
  void Tick(const MachineList& machines,
            const std::set<MachineId>& busy,
            const std::set<ZoneId>& excluded_zones,
            const std::map<PoolId, PoolDemand>& pools,
            const VmLoadLookup& load_of,
            Time now);
  void OnOrderAnswer(const MachineId& machine, OrderAnswer answer, Time now);
  /*! @brief Machines that are being moved. */
  [[nodiscard]] std::set<MachineId> moving() const;
  [[nodiscard]] std::vector<Effect> TakeEffects();

 private:
  struct Move {
    PoolId to;
    VmId vm;
    jobs::Resources capacity;
    Time ordered;
    Time retry_at;
    bool order_sent = true;
    bool done = false;  // the platform has carried it out
  };

  void FinishMoves(const MachineList& machines, Time now);
  void StartMove(const Machine& machine,
                 const PoolId& to,
                 const std::string& reason,
                 Time now);
  void MoveToStandby(const std::vector<const Machine*>& idle,
                     const std::map<PoolId, PoolDemand>& pools,
                     const jobs::Resources& reserve,
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
  [[nodiscard]] std::vector<const Machine*> FindDonors(
      const std::vector<const Machine*>& idle,
      const std::set<ZoneId>& excluded_zones,
      const std::map<PoolId, PoolDemand>& pools,
      const jobs::Resources& reserve,
      const PoolId& to) const;

  MoveLimits limits;
  std::map<MachineId, Move> moves;
  std::map<MachineId, Time> cooldown_until;  // machines stay until then
  std::map<MachineId, Time> idle_since;
  std::vector<Effect> effects;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_MOVER_H_
