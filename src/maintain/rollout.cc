#include "maintain/rollout.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace kch::maintain {
namespace {

std::uint32_t WaveCount(std::uint32_t vms, std::uint32_t at_once) {
  return at_once == 0 ? vms : (vms + at_once - 1) / at_once;
}

}  // namespace

bool IsDue(const PoolRecord& record, const VmRow& vm, std::int64_t wall_s) {
  return vm.maintained_s < record.rollout_s ||
         wall_s - vm.maintained_s >= kMaintenancePeriodS;
}

std::vector<VmId> PlanRollout(const PoolRecord& record,
                              const Budget& budget,
                              const Observations& observations,
                              std::int64_t wall_s) {
  std::vector<const VmRow*> due;
  std::map<ZoneId, std::uint32_t> zone_remaining;
  std::map<RackId, std::uint32_t> rack_remaining;
  for (const auto& [id, vm] : record.vms) {
    if (vm.state == VmState::kServing && IsDue(record, vm, wall_s)) {
      ++zone_remaining[vm.zone];
      ++rack_remaining[vm.rack];
      if (!record.ledger.contains(id) && !IsLost(observations, id)) {
        due.push_back(&vm);
      }
    }
  }
  Usage usage = CountUsage(record, observations);
  std::vector<VmId> chosen;
  while (usage.unavailable < budget.max_unavailable) {
    // The zone or rack with the most remaining waves determines when the
    // roll-out ends, so it goes first; within it, the VM maintained longest ago
    // goes first.
    const VmRow* best = nullptr;
    std::tuple<std::uint32_t, std::uint32_t, std::int64_t> best_rank;
    for (const VmRow* vm : due) {
      const std::tuple rank{
          WaveCount(zone_remaining[vm->zone], budget.per_zone),
          WaveCount(rack_remaining[vm->rack], budget.per_rack),
          -vm->maintained_s};
      if ((best == nullptr || rank > best_rank) && Fits(*vm, usage, budget)) {
        best = vm;
        best_rank = rank;
      }
    }
    if (best == nullptr) {
      break;
    }
    chosen.push_back(best->id);
    ++usage.unavailable;
    ++usage.by_zone[best->zone];
    ++usage.by_rack[best->rack];
    --zone_remaining[best->zone];
    --rack_remaining[best->rack];
    std::erase(due, best);
  }
  return chosen;
}

std::uint32_t LowerBoundWaves(const PoolRecord& record,
                              const Budget& budget,
                              std::int64_t wall_s) {
  std::uint32_t all = 0;
  std::map<ZoneId, std::uint32_t> zones;
  std::map<RackId, std::uint32_t> racks;
  for (const auto& [id, vm] : record.vms) {
    if (IsDue(record, vm, wall_s)) {
      ++all;
      ++zones[vm.zone];
      ++racks[vm.rack];
    }
  }
  std::uint32_t waves = WaveCount(all, budget.max_unavailable);
  for (const auto& [zone, vms] : zones) {
    waves = std::max(waves, WaveCount(vms, budget.per_zone));
  }
  for (const auto& [rack, vms] : racks) {
    waves = std::max(waves, WaveCount(vms, budget.per_rack));
  }
  return waves;
}

}  // namespace kch::maintain
