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
  Duration away = std::chrono::milliseconds(2500);
  // Waiting work over capacity from which a pool takes machines: with tasks of
  // a second, about the time that a move takes away.
  double take_backlog = 0.4;
  // The same for machines that stand by, which cost while they are in use.
  double wake_backlog = 0.9;
  // Use that a pool may reach by giving a machine away.
  double give_use = 0.4;
  // A pool has its turn from this use on.
  double turn_use = 1e9;
  // After its turn a pool keeps this part of what it used at most; the rest
  // stands by once idle for `park_after`.
  double keep_share = 0.25;
  Duration park_after = std::chrono::milliseconds(1500);
  // A machine stays in its pool this long after a move.
  Duration settle = std::chrono::milliseconds(3000);
  Duration order_retry = std::chrono::milliseconds(400);
};

/*! @brief What a pool has and wants, in one comparable amount each. */
struct PoolDemand {
  jobs::Resources capacity;  // of usable VMs
  jobs::Resources used;
  jobs::Resources waiting;  // tasks that could start at once
  bool standby = false;     // its machines are off
};

/*! @brief Moves idle machines from calm pools to pools with a backlog, and lets
 * them stand by after a peak.
 *
 * Demand of the queues peaks in turn, each beyond what its own pool holds,
 * while the other pools stand nearly idle. A pool whose turn has just ended is
 * the last to have the next one. */
class Mover {
 public:
  explicit Mover(const MoveLimits& limits) : limits(limits) {}

  /*! @brief `busy` machines are under maintenance, about to be, or must not be
   * ordered yet; those of
   * `zones_out` may start nothing. */
  void Tick(const MachineList& machines,
            const std::set<MachineId>& busy,
            const std::set<ZoneId>& zones_out,
            const std::map<PoolId, PoolDemand>& pools,
            const LoadOf& load_of,
            Time now);
  void OnOrder(const MachineId& machine, OrderAnswer answer, Time now);
  /*! @brief Machines that are being moved. */
  [[nodiscard]] std::set<MachineId> moving() const;
  [[nodiscard]] std::vector<Effect> Take();

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

  // The latest time of high demand of a pool.
  struct Turn {
    Time last;
    jobs::Resources most_used;
  };

  void Finish(const MachineList& machines, Time now);
  void Send(const Machine& machine,
            const PoolId& to,
            const std::string& reason,
            Time now);
  void FollowTurns(const std::map<PoolId, PoolDemand>& pools, Time now);
  void Park(const MachineList& machines,
            const std::set<MachineId>& busy,
            const std::map<PoolId, PoolDemand>& pools,
            const LoadOf& load_of,
            Time now);
  [[nodiscard]] std::vector<const Machine*> Donors(
      const MachineList& machines,
      const std::set<MachineId>& busy,
      const std::set<ZoneId>& zones_out,
      const std::map<PoolId, PoolDemand>& pools,
      const LoadOf& load_of,
      const PoolId& to,
      bool wake,
      Time now) const;

  MoveLimits limits;
  std::map<MachineId, Move> moves;
  std::map<MachineId, Time> settled;  // machines stay until then
  std::map<PoolId, Turn> turns;
  std::map<MachineId, Time> idle_since;
  std::vector<Effect> effects;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_MOVER_H_
