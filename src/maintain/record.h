#ifndef MAINTAIN_RECORD_H_
#define MAINTAIN_RECORD_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/id.h"
#include "base/name_table.h"

namespace kch::maintain {

/*! @brief Maintenance state of a VM in its pool's record. */
enum class VmState : std::uint8_t {
  kServing,
  kReserved,
  kDraining,
  kQuiet,
  kRebooting,
  kChecking,
};

/*! @brief Why a VM is taken out of service. */
enum class Purpose : std::uint8_t {
  kReboot,
  kMove,
  kDrain,  // stays quiet until an operator returns it to service
};

/*! @brief A VM in a pool record. */
struct VmRow {
  VmId id;
  std::string address;  // host:port of the target
  ZoneId zone;
  RackId rack;
  std::uint32_t slots = 0;
  std::uint32_t cpus = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  VmState state = VmState::kServing;
  Purpose purpose = Purpose::kReboot;
  PoolId to;  // destination of a move
  // Prefix of the ids of the platform operations of the latest reservation.
  std::string operation;
  std::uint32_t step = 0;    // part of the operation ids; rises with each state
  std::uint64_t since = 0;   // generation of the reservation
  std::int64_t since_s = 0;  // wall clock at which the drain was reserved
  std::string boot;          // boot the worker reported before the reboot
  std::int64_t maintained_s = 0;  // wall clock of the last maintenance
  std::uint64_t epoch = 0;        // number of moves the VM has made
  std::string reason;

  bool operator==(const VmRow&) const = default;
};

/*! @brief An order of an operator or of the size planner that has no
 * reservation yet. */
struct OrderRow {
  VmId vm;
  Purpose purpose = Purpose::kReboot;
  PoolId to;
  std::string reason;

  bool operator==(const OrderRow&) const = default;
};

/*! @brief A VM that has left this pool and that the destination pool may not
 * list yet. */
struct ForwardRow {
  VmRow vm;  // row to add to the destination's record
  PoolId to;
  std::uint64_t generation =
      0;  // of the record version that committed the move
  std::vector<OrderRow>
      orders;  // orders for the VM that the destination takes over

  bool operator==(const ForwardRow&) const = default;
};

/*! @brief The store record `pool/<name>`. */
struct PoolRecord {
  PoolId pool;
  std::uint64_t generation = 0;  // rises with each written version
  std::map<VmId, VmRow> vms;
  std::map<VmId, ForwardRow> forwards;
  std::map<VmId, std::int64_t>
      ledger;  // VMs lost unplanned, since wall clock s
  std::vector<OrderRow> orders;
  std::vector<std::string> order_ids;  // latest ids, to detect repeats
  std::int64_t rollout_s = 0;  // wall clock; VMs maintained before this are due
  // Wall clock of the last planned size change, or of the reservation of the
  // latest VM adopted from another pool, if that is later.
  std::int64_t resized_s = 0;
  // Highest generation of the forwards taken over, by source pool.
  std::map<PoolId, std::uint64_t> adopted;
  // Generations of other pools' records that this version is based on.
  std::map<PoolId, std::uint64_t> based_on;

  bool operator==(const PoolRecord&) const = default;
};

/*! @brief True for a VM that its new pool lists but that has not served in it
 * yet. */
[[nodiscard]] bool IsJoining(const VmRow& vm);

/*! @brief Sets the state of a VM and raises its step and the generation of the
 * record. The record must list the VM. */
void EnterState(PoolRecord& record, const VmId& vm, VmState state);

/*! @brief Store key of a pool's record. */
[[nodiscard]] std::string KeyOf(const PoolId& pool);

/*! @brief Encodes a record as JSON. */
[[nodiscard]] std::string Encode(const PoolRecord& record);

/*! @brief Decodes a record type from JSON; see the specialisations. */
template <typename Record>
[[nodiscard]] Result<Record> Decode(std::string_view text);

/*! @brief Decodes a pool record; fails with kCorrupt for invalid JSON. */
template <>
[[nodiscard]] Result<PoolRecord> Decode<PoolRecord>(std::string_view text);

}  // namespace kch::maintain

template <>
struct kch::NameTable<kch::maintain::VmState> {
  using E = kch::maintain::VmState;
  static constexpr std::array<std::pair<E, std::string_view>, 6> kEntries{
      {{E::kServing, "serving"},
       {E::kReserved, "reserved"},
       {E::kDraining, "draining"},
       {E::kQuiet, "quiet"},
       {E::kRebooting, "rebooting"},
       {E::kChecking, "checking"}}};
};

template <>
struct kch::NameTable<kch::maintain::Purpose> {
  using E = kch::maintain::Purpose;
  static constexpr std::array<std::pair<E, std::string_view>, 3> kEntries{
      {{E::kReboot, "reboot"}, {E::kMove, "move"}, {E::kDrain, "drain"}}};
};

#endif  // MAINTAIN_RECORD_H_
