#include "upkeep/order_gate.h"

#include <utility>

namespace kch::upkeep {
namespace {

// Delay after a failed write of the machines.
constexpr auto kStoreRetryDelay = std::chrono::milliseconds(100);

}  // namespace

const MachineId& OrderGate::MachineOf(const Order& order) {
  return std::visit(
      [](const auto& row) -> const MachineId& { return row.machine; }, order);
}

const VmId& OrderGate::VmOf(const Order& order) {
  return std::visit([](const auto& row) -> const VmId& { return row.vm; },
                    order);
}

void OrderGate::SetPredecessorMachines(OrderedMachines machines, Time now) {
  this->predecessor_machines = std::move(machines);
  this->blocked_until = now + this->handover;
  this->persisted_until = this->blocked_until + this->late_order_time;
}

std::set<MachineId> OrderGate::BlockedMachines(Time now) const {
  std::set<MachineId> blocked;
  if (now < this->blocked_until) {
    for (const auto& [machine, vm] : this->predecessor_machines) {
      blocked.insert(machine);
    }
  }
  return blocked;
}

void OrderGate::OnStored(bool stored, Time now) {
  this->write_pending = false;
  if (stored) {
    this->persisted = std::move(this->persisting);
  } else {
    this->retry_at = now + kStoreRetryDelay;
  }
}

void OrderGate::Tick(Time now) {
  std::erase_if(this->ordered, [&](const auto& row) {
    return now - row.second.at > this->handover;
  });
  const std::set<MachineId> blocked = this->BlockedMachines(now);
  const auto holds = [](const OrderedMachines& machines, const Order& order) {
    const auto found = machines.find(MachineOf(order));
    return found != machines.end() && found->second == VmOf(order);
  };
  OrderedMachines unpersisted;
  std::erase_if(this->pending, [&](const Order& order) {
    const MachineId& machine = MachineOf(order);
    if (!holds(this->persisted, order)) {
      unpersisted.insert_or_assign(machine, VmOf(order));
      return false;
    }
    // A pending write replaces the persisted set, possibly without this
    // machine.
    if (blocked.contains(machine) ||
        (this->write_pending && !holds(this->persisting, order))) {
      return false;
    }
    this->ordered[machine] = {VmOf(order), now};
    std::visit([this](const auto& row) { this->effects.emplace_back(row); },
               order);
    return true;
  });
  if (unpersisted.empty() || this->write_pending || now < this->retry_at) {
    return;
  }
  this->write_pending = true;
  this->persisting = std::move(unpersisted);
  for (const Order& order : this->pending) {
    this->persisting.emplace(MachineOf(order), VmOf(order));
  }
  for (const auto& [machine, last] : this->ordered) {
    this->persisting.emplace(machine, last.vm);
  }
  // Machines of a predecessor stay persisted, in case another successor takes
  // over while their orders may be carried out.
  if (now < this->persisted_until) {
    this->persisting.insert(this->predecessor_machines.begin(),
                            this->predecessor_machines.end());
  }
  this->effects.emplace_back(StoreOrderedMachines{this->persisting});
}

std::vector<Effect> OrderGate::TakeEffects() {
  return std::exchange(this->effects, {});
}

}  // namespace kch::upkeep
