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

void OrderGate::SetPredecessorMachines(std::set<MachineId> machines, Time now) {
  this->predecessor_machines = std::move(machines);
  this->blocked_until = now + this->handover;
}

std::set<MachineId> OrderGate::BlockedMachines(Time now) const {
  return now < this->blocked_until ? this->predecessor_machines
                                   : std::set<MachineId>();
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
  std::erase_if(this->ordered_at, [&](const auto& row) {
    return now - row.second > this->handover;
  });
  const std::set<MachineId> blocked = this->BlockedMachines(now);
  std::set<MachineId> unpersisted;
  std::erase_if(this->pending, [&](const Order& order) {
    const MachineId& machine = MachineOf(order);
    if (!this->persisted.contains(machine)) {
      unpersisted.insert(machine);
      return false;
    }
    // A pending write replaces the persisted set, possibly without this
    // machine.
    if (blocked.contains(machine) ||
        (this->write_pending && !this->persisting.contains(machine))) {
      return false;
    }
    this->ordered_at[machine] = now;
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
    this->persisting.insert(MachineOf(order));
  }
  for (const auto& [machine, at] : this->ordered_at) {
    this->persisting.insert(machine);
  }
  // Machines of a predecessor stay persisted, in case another successor takes
  // over within the handover period.
  this->persisting.insert(blocked.begin(), blocked.end());
  this->effects.emplace_back(StoreOrderedMachines{this->persisting});
}

std::vector<Effect> OrderGate::TakeEffects() {
  return std::exchange(this->effects, {});
}

}  // namespace kch::upkeep
