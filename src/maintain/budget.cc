#include "maintain/budget.h"

#include <algorithm>
#include <vector>

namespace kch::maintain {
namespace {

// The platform reports a VM as down during its own reboot.
bool IsDownByPlan(const VmRow& vm) {
  return vm.state == VmState::kRebooting || vm.state == VmState::kChecking;
}

bool IsLostUnplanned(const PoolRecord& record,
                     const VmRow& vm,
                     const Observations& observations) {
  return record.ledger.contains(vm.id) ||
         (!IsDownByPlan(vm) && IsLost(observations, vm.id));
}

template <typename Key>
std::uint32_t CountOf(const std::map<Key, std::uint32_t>& counts,
                      const Key& key) {
  const auto found = counts.find(key);
  return found == counts.end() ? 0 : found->second;
}

}  // namespace

Usage CountUsage(const PoolRecord& record, const Observations& observations) {
  Usage usage;
  for (const auto& [id, vm] : record.vms) {
    if (IsJoining(vm)) {
      continue;
    }
    const bool lost = IsLostUnplanned(record, vm, observations);
    if (lost) {
      ++usage.lost_by_zone[vm.zone];
      ++usage.lost_by_rack[vm.rack];
    }
    if (lost || vm.state != VmState::kServing) {
      ++usage.unavailable;
      ++usage.by_zone[vm.zone];
      ++usage.by_rack[vm.rack];
    }
  }
  return usage;
}

bool Fits(const VmRow& vm, const Usage& usage, const Budget& budget) {
  return usage.unavailable < budget.max_unavailable &&
         CountOf(usage.lost_by_zone, vm.zone) < budget.zone_degraded_at &&
         CountOf(usage.lost_by_rack, vm.rack) < budget.rack_degraded_at &&
         CountOf(usage.by_zone, vm.zone) < budget.per_zone &&
         CountOf(usage.by_rack, vm.rack) < budget.per_rack;
}

Result<void> CheckBudget(const VmRow& vm,
                         const Usage& usage,
                         const Budget& budget) {
  if (Fits(vm, usage, budget)) {
    return {};
  }
  const auto refuse = [&](const std::string& what) -> Result<void> {
    return Fail(ErrorKind::kUnavailable,
                "VM " + vm.id.str() + " cannot leave service: " + what,
                "wait until other VMs serve again, or raise the budget");
  };
  if (usage.unavailable >= budget.max_unavailable) {
    return refuse(std::to_string(usage.unavailable) +
                  " VMs of the pool are unavailable, the budget is " +
                  std::to_string(budget.max_unavailable));
  }
  if (CountOf(usage.lost_by_zone, vm.zone) >= budget.zone_degraded_at) {
    return refuse("zone " + vm.zone.str() + " has lost VMs");
  }
  if (CountOf(usage.lost_by_rack, vm.rack) >= budget.rack_degraded_at) {
    return refuse("rack " + vm.rack.str() + " has lost VMs");
  }
  if (CountOf(usage.by_zone, vm.zone) >= budget.per_zone) {
    return refuse("the budget of zone " + vm.zone.str() + " is in use");
  }
  return refuse("the budget of rack " + vm.rack.str() + " is in use");
}

Result<PoolRecord> Reserve(const PoolRecord& record,
                           const VmId& vm,
                           const Reservation& reservation,
                           const Budget& budget,
                           const Observations& observations,
                           Time now,
                           const Limits& limits) {
  const auto found = record.vms.find(vm);
  if (found == record.vms.end()) {
    return Fail(ErrorKind::kNotFound,
                "pool " + record.pool.str() + " has no VM " + vm.str(),
                "name the pool that lists the VM");
  }
  const VmRow& row = found->second;
  if (row.state != VmState::kServing) {
    return Fail(ErrorKind::kConflict,
                "VM " + vm.str() + " is " + std::string(NameOf(row.state)),
                "wait until it serves again");
  }
  if (reservation.purpose == Purpose::kMove &&
      (reservation.to.empty() || reservation.to == record.pool)) {
    return Fail(ErrorKind::kInvalid,
                "a move of VM " + vm.str() + " needs another pool",
                "name the destination pool");
  }
  if (!observations.platform_vms_at ||
      now - *observations.platform_vms_at > limits.max_list_age) {
    return Fail(ErrorKind::kUnavailable,
                "the platform's VM list is too old to count lost VMs",
                "wait until the platform answers");
  }
  if (record.ledger.contains(vm) || IsLost(observations, vm)) {
    return Fail(ErrorKind::kUnavailable, "VM " + vm.str() + " is lost",
                "wait until the platform lists it as up");
  }
  if (const auto allowed =
          CheckBudget(row, CountUsage(record, observations), budget);
      !allowed) {
    return tl::unexpected(allowed.error());
  }
  PoolRecord next = record;
  EnterState(next, vm, VmState::kReserved);
  VmRow& reserved = next.vms.at(vm);
  reserved.purpose = reservation.purpose;
  reserved.to = reservation.to;
  reserved.reason = reservation.reason;
  reserved.step = 0;
  reserved.since = next.generation;
  reserved.since_s = observations.wall_s;
  reserved.boot.clear();
  // The generation makes the stem unique in the pool, so that a repeated call
  // for an earlier reservation cannot affect this one.
  reserved.operation =
      vm.str() + "." + record.pool.str() + "." + std::to_string(reserved.since);
  return next;
}

bool UpdateLedger(PoolRecord& record,
                  const Observations& observations,
                  Time now,
                  const Limits& limits) {
  if (!observations.platform_vms_at ||
      now - *observations.platform_vms_at > limits.max_list_age) {
    return false;
  }
  bool changed = false;
  for (const auto& [id, vm] : record.vms) {
    const bool lost = IsLost(observations, id);
    if (lost && !IsDownByPlan(vm)) {
      changed =
          record.ledger.emplace(id, observations.wall_s).second || changed;
    } else if (!lost && record.ledger.contains(id)) {
      // Lists lag by different amounts: an older list would cancel a loss that
      // another maintainer has just recorded. The worker's report does not lag.
      const auto worker = observations.workers.find(id);
      if (worker != observations.workers.end() &&
          now - worker->second.requested_at <= limits.max_report_age) {
        record.ledger.erase(id);
        changed = true;
      }
    }
  }
  changed = std::erase_if(record.ledger,
                          [&](const auto& entry) {
                            return !record.vms.contains(entry.first);
                          }) > 0 ||
            changed;
  if (changed) {
    ++record.generation;
  }
  return changed;
}

}  // namespace kch::maintain
