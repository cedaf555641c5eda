#ifndef UPKEEP_ORDER_GATE_H_
#define UPKEEP_ORDER_GATE_H_

#include <map>
#include <set>
#include <variant>
#include <vector>

#include "upkeep/effect.h"

namespace kch::upkeep {

/*! @brief An order to the platform about one machine. */
using Order = std::variant<OrderUpkeep, OrderMove>;

/*! @brief Prevents two instances from ordering the same machine within the
 * handover period.
 *
 * A machine is persisted in the store before it is ordered, so that a successor
 * can read which machines its predecessor may have ordered most recently. Only
 * orders for those machines are delayed. */
class OrderGate {
 public:
  /*! @brief `handover` is the period in which two instances must not order the
   * same machine; within `late_order_time`, an order of a predecessor without
   * an answer may be carried out. */
  OrderGate(Duration handover, Duration late_order_time)
      : handover(handover), late_order_time(late_order_time) {}

  /*! @brief Blocks the machines that a predecessor persisted, for the handover
   * period from `now`. */
  void SetPredecessorMachines(OrderedMachines machines, Time now);
  /*! @brief Machines of a predecessor that must not be ordered yet. */
  [[nodiscard]] std::set<MachineId> BlockedMachines(Time now) const;
  /*! @brief Queues an order until its machine is persisted and not blocked. */
  void Add(Order order) { this->pending.push_back(std::move(order)); }
  /*! @brief Handles the result of a StoreOrderedMachines; a failed write is
   * retried. */
  void OnStored(bool stored, Time now);
  /*! @brief Emits orders whose machines are persisted, and persists the other
   * machines. */
  void Tick(Time now);
  /*! @brief Returns the effects gathered so far and empties the list. */
  [[nodiscard]] std::vector<Effect> TakeEffects();

 private:
  struct Ordered {
    VmId vm;
    Time at;
  };

  static const MachineId& MachineOf(const Order& order);
  static const VmId& VmOf(const Order& order);

  Duration handover;
  Duration late_order_time;
  OrderedMachines predecessor_machines;
  Time blocked_until;
  Time persisted_until;  // the predecessor's machines
  std::vector<Order> pending;
  std::map<MachineId, Ordered> ordered;  // latest order of each machine
  OrderedMachines persisted;             // in the store
  OrderedMachines persisting;            // value of the pending write
  bool write_pending = false;
  Time retry_at;
  std::vector<Effect> effects;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_ORDER_GATE_H_
