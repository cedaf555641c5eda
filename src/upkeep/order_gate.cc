#include "upkeep/order_gate.h"

#include <utility>

namespace kch::upkeep {
namespace {

// Pause after the store refused the machines' names.
constexpr auto kStoreRetry = std::chrono::milliseconds(100);

}  // namespace

const MachineId& OrderGate::MachineOf(const Order& order) {
  return std::visit(
      [](const auto& row) -> const MachineId& { return row.machine; }, order);
}

void OrderGate::Inherit(std::set<MachineId> machines, Time now) {
  this->inherited = std::move(machines);
  this->held_until = now + this->handover;
}

std::set<MachineId> OrderGate::Held(Time now) const {
  return now < this->held_until ? this->inherited : std::set<MachineId>();
}

void OrderGate::OnStored(bool stored, Time now) {
  this->writing = false;
  if (stored) {
    this->named = std::move(this->naming);
  } else {
    this->retry_at = now + kStoreRetry;
  }
}

void OrderGate::Tick(Time now) {
  std::erase_if(this->given, [&](const auto& row) {
    return now - row.second > this->handover;
  });
  const std::set<MachineId> held = this->Held(now);
  std::set<MachineId> unnamed;
  std::erase_if(this->waiting, [&](const Order& order) {
    const MachineId& machine = MachineOf(order);
    if (!this->named.contains(machine)) {
      unnamed.insert(machine);
      return false;
    }
    // A write under way replaces the names, perhaps without this one.
    if (held.contains(machine) ||
        (this->writing && !this->naming.contains(machine))) {
      return false;
    }
    this->given[machine] = now;
    std::visit([this](const auto& row) { this->effects.emplace_back(row); },
               order);
    return true;
  });
  if (unnamed.empty() || this->writing || now < this->retry_at) {
    return;
  }
  this->writing = true;
  this->naming = std::move(unnamed);
  for (const Order& order : this->waiting) {
    this->naming.insert(MachineOf(order));
  }
  for (const auto& [machine, at] : this->given) {
    this->naming.insert(machine);
  }
  // A predecessor's machines stay named for a successor that comes soon.
  this->naming.insert(held.begin(), held.end());
  this->effects.emplace_back(StoreOrders{this->naming});
}

std::vector<Effect> OrderGate::Take() {
  return std::exchange(this->effects, {});
}

}  // namespace kch::upkeep
