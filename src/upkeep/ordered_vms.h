#ifndef UPKEEP_ORDERED_VMS_H_
#define UPKEEP_ORDERED_VMS_H_

#include <vector>

#include "upkeep/absence.h"
#include "upkeep/machine.h"

namespace kch::upkeep {

/*! @brief VMs whose machines were ordered down, until the machine list shows
 * whether the orders ended them.
 *
 * The platform answers an order that it carried out earlier, perhaps for a
 * predecessor, like a new one, and ends nothing then. So an answer does not
 * tell that a VM has ended; a list read after it does. */
class OrderedVms {
 public:
  /*! @brief An order about a machine that ran this VM was answered, or may have
   * been given by a predecessor, by `since`. */
  void Add(const MachineId& machine, const VmId& vm, Time since);
  /*! @brief Removes and returns the VMs that have ended by a list whose reading
   * began at `read_at`. Drops those that the list shows at work. */
  [[nodiscard]] std::vector<VmId> TakeEnded(const MachineList& list,
                                            Time read_at);
  /*! @brief True if a list read after `read_at` is to show the end of VMs with
   * runs. */
  [[nodiscard]] bool RunsAwaitList(const VmLoadLookup& load_of,
                                   Time read_at) const;

 private:
  struct Entry {
    MachineId machine;
    VmId vm;
    Time since;
    Absence absence{};
  };

  std::vector<Entry> entries;
};

}  // namespace kch::upkeep

#endif  // UPKEEP_ORDERED_VMS_H_
