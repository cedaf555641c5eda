#ifndef MAINTAIN_CHANGES_H_
#define MAINTAIN_CHANGES_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/id.h"
#include "base/name_table.h"
#include "maintain/record.h"

namespace kch::maintain {

/*! @brief Kind of change of a VM in a new version of a pool record. */
enum class ChangeKind : std::uint8_t {
  kServing,
  kReserved,
  kDraining,
  kQuiet,
  kRebooting,
  kChecking,
  kMoved,      // left for another pool
  kLost,       // unplanned
  kRecovered,  // removed from the ledger
};

/*! @brief A change of a VM, for the event log. */
struct RecordChange {
  ChangeKind kind = ChangeKind::kServing;
  VmId vm;
  ZoneId zone;
  std::string text;

  bool operator==(const RecordChange&) const = default;
};

/*! @brief Changes of VMs between two versions of a record. */
[[nodiscard]] std::vector<RecordChange> ChangesBetween(const PoolRecord& before,
                                                       const PoolRecord& after);

}  // namespace kch::maintain

template <>
struct kch::NameTable<kch::maintain::ChangeKind> {
  using E = kch::maintain::ChangeKind;
  static constexpr std::array<std::pair<E, std::string_view>, 9> kEntries{
      {{E::kServing, "vm_serving"},
       {E::kReserved, "vm_reserved"},
       {E::kDraining, "vm_draining"},
       {E::kQuiet, "vm_quiet"},
       {E::kRebooting, "vm_rebooting"},
       {E::kChecking, "vm_checking"},
       {E::kMoved, "vm_moved"},
       {E::kLost, "vm_lost"},
       {E::kRecovered, "vm_back"}}};
};

#endif  // MAINTAIN_CHANGES_H_
