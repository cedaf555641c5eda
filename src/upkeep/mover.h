#ifndef UPKEEP_MOVER_H_
#define UPKEEP_MOVER_H_

#include <map>
#include <set>
#include <vector>

#include "upkeep/effect.h"

namespace kch::upkeep {

/*! @brief Bounds of moves between pools. */
struct MoveLimits {
  // Two instances must not order one machine within this time.
  Duration handover = std::chrono::milliseconds(3000);
  // Time that a machine is away, and the time in which it registers.
  Duration away = std::chrono::milliseconds(2500);
  // Waiting work over capacity from which a pool takes machines: with tasks of
  // a second, about the time that a move takes away.
  double take_backlog = 0.4;
  // The same for machines that stand by, which cost while they are in use.
  double wake_backlog = 0.9;
  // Use that a pool may reach by giving a machine away.
  double give_use = 0.4;
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

/*! @brief Moves idle machines from calm pools to pools with a backlog.
 *
 * Demand of the queues peaks in turn, each beyond what its own pool holds,
 * while the other pools stand nearly idle. */
class Mover {
 public:
  /*! @brief Orders nothing before `start`. */
  Mover(const MoveLimits& limits, Time start);

  /*! @brief `busy` machines are under maintenance or about to be; those of
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

  void Finish(const MachineList& machines, Time now);
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
  Time start;
  std::map<MachineId, Move> moves;
  std::map<MachineId, Time> settled;  // machines stay until then
  std::vector<Effect> effects;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_MOVER_H_
