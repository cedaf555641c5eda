#ifndef UPKEEP_ORDER_GATE_H_
#define UPKEEP_ORDER_GATE_H_

#include <map>
#include <set>
#include <variant>
#include <vector>

#include "upkeep/effect.h"

namespace kch::upkeep {

using Order = std::variant<OrderUpkeep, OrderMove>;

/*! @brief Keeps orders of two instances to one machine apart in time.
 *
 * A machine is named in the store before it is ordered, so a successor knows
 * which machines its predecessor may have ordered just now. Only those have to
 * wait. */
class OrderGate {
 public:
  /*! @brief Two instances must not order one machine within `handover`. */
  explicit OrderGate(Duration handover) : handover(handover) {}

  /*! @brief Machines named by a predecessor. */
  void SetPredecessorMachines(std::set<MachineId> machines, Time now);
  /*! @brief Machines of a predecessor that must wait. */
  [[nodiscard]] std::set<MachineId> BlockedMachines(Time now) const;
  void Add(Order order) { this->pending.push_back(std::move(order)); }
  /*! @brief The answer to StoreOrderedMachines. */
  void OnStored(bool stored, Time now);
  /*! @brief Gives orders whose machines are named, and names others. */
  void Tick(Time now);
  [[nodiscard]] std::vector<Effect> TakeEffects();

 private:
  static const MachineId& MachineOf(const Order& order);

  Duration handover;
  std::set<MachineId> predecessor_machines;
  Time blocked_until;
  std::vector<Order> pending;
  std::map<MachineId, Time> ordered_at;  // when each machine was ordered last
  std::set<MachineId> persisted;         // in the store
  std::set<MachineId> persisting;        // by the write under way
  bool write_pending = false;
  Time retry_at;
  std::vector<Effect> effects;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_ORDER_GATE_H_
