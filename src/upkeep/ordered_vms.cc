#include "upkeep/ordered_vms.h"

#include <algorithm>

namespace kch::upkeep {

void OrderedVms::Add(const MachineId& machine, const VmId& vm, Time since) {
  if (!vm.empty()) {
    this->entries.push_back({machine, vm, since});
  }
}

std::vector<VmId> OrderedVms::TakeEnded(const MachineList& list, Time read_at) {
  std::vector<VmId> ended;
  for (Entry& entry : this->entries) {
    if (entry.since < read_at) {
      entry.absence.OnList(list.contains(entry.machine), read_at);
    }
  }
  std::erase_if(this->entries, [&](const Entry& entry) {
    if (entry.since >= read_at) {
      return false;
    }
    const auto found = list.find(entry.machine);
    if (found == list.end()) {
      // That the VM of a machine that has left has ended, its registration
      // tells.
      return entry.absence.has_left();
    }
    const Machine& machine = found->second;
    switch (machine.state) {
      case MachineState::kUp:
        if (machine.vm != entry.vm) {
          ended.push_back(entry.vm);
        }
        return true;
      case MachineState::kMoving:
      case MachineState::kUpkeep:
        ended.push_back(entry.vm);
        return true;
      case MachineState::kDown:
        // A machine that the platform does not reach may work on.
        return false;
    }
    return false;
  });
  return ended;
}

bool OrderedVms::RunsAwaitList(const VmLoadLookup& load_of,
                               Time read_at) const {
  return std::ranges::any_of(this->entries, [&](const Entry& entry) {
    if (entry.since < read_at) {
      return false;
    }
    const auto load = load_of(entry.vm);
    return load && load->runs > 0;
  });
}

}  // namespace kch::upkeep
