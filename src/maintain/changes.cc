#include "maintain/changes.h"

namespace kch::maintain {
namespace {

ChangeKind KindOf(VmState state) {
  switch (state) {
    case VmState::kServing:
      break;
    case VmState::kReserved:
      return ChangeKind::kReserved;
    case VmState::kDraining:
      return ChangeKind::kDraining;
    case VmState::kQuiet:
      return ChangeKind::kQuiet;
    case VmState::kRebooting:
      return ChangeKind::kRebooting;
    case VmState::kChecking:
      return ChangeKind::kChecking;
  }
  return ChangeKind::kServing;
}

std::string TextOf(const VmRow& vm) {
  std::string text = vm.operation;
  if (vm.state == VmState::kReserved) {
    text += " for " + std::string(NameOf(vm.purpose));
    if (!vm.to.empty()) {
      text += " to " + vm.to.str();
    }
    if (!vm.reason.empty()) {
      text += ": " + vm.reason;
    }
  }
  return text;
}

}  // namespace

std::vector<RecordChange> ChangesBetween(const PoolRecord& before,
                                         const PoolRecord& after) {
  std::vector<RecordChange> changes;
  for (const auto& [id, vm] : after.vms) {
    const auto found = before.vms.find(id);
    if (found == before.vms.end() || found->second.state != vm.state ||
        found->second.step != vm.step) {
      // A step that is repeated after a failure does not change the state.
      changes.push_back({KindOf(vm.state), id, vm.zone, TextOf(vm)});
    }
  }
  for (const auto& [id, forward] : after.forwards) {
    if (!before.forwards.contains(id)) {
      changes.push_back({ChangeKind::kMoved, id, forward.vm.zone,
                         "to pool " + forward.to.str()});
    }
  }
  const auto zone_of = [&](const VmId& id) {
    const auto found = after.vms.find(id);
    return found == after.vms.end() ? ZoneId() : found->second.zone;
  };
  for (const auto& [id, since_s] : after.ledger) {
    if (!before.ledger.contains(id)) {
      changes.push_back({ChangeKind::kLost, id, zone_of(id), ""});
    }
  }
  for (const auto& [id, since_s] : before.ledger) {
    if (!after.ledger.contains(id) && after.vms.contains(id)) {
      changes.push_back({ChangeKind::kRecovered, id, zone_of(id), ""});
    }
  }
  return changes;
}

}  // namespace kch::maintain
