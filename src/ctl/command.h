#ifndef CTL_COMMAND_H_
#define CTL_COMMAND_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "base/base.h"
#include "config/config.h"

namespace kch::ctl {

/*! @brief What a list command shows. */
enum class ListKind : std::uint8_t {
  kKeys,
  kTeams,
  kProfiles,
  kPools,
  kZones,
  kInstances,
  kStatus,
  kConfig,
  kOrders,
};

/*! @brief What an edit command sets. */
enum class EditKind : std::uint8_t { kTeam, kProfile, kPool };

/*! @brief What an order to the maintainer does. */
enum class OrderKind : std::uint8_t {
  kDrain,
  kReboot,
  kMove,
  kRollout,
  kReturn
};

/*! @brief One `key=value` argument. */
struct FieldValue {
  std::string field;
  std::string value;
  bool operator==(const FieldValue&) const = default;
};

/*! @brief Prints the commands. */
struct ShowHelp {
  bool operator==(const ShowHelp&) const = default;
};
/*! @brief Prints a list. */
struct ShowList {
  ListKind kind = ListKind::kStatus;
  bool operator==(const ShowList&) const = default;
};
/*! @brief Prints all fields of a profile. */
struct ShowProfile {
  ProfileId id;
  bool operator==(const ShowProfile&) const = default;
};
/*! @brief Prints why a request, job or VM is where it is. */
struct Explain {
  std::string id;
  bool operator==(const Explain&) const = default;
};
/*! @brief Creates a key of a team; without an id, one is made up. */
struct GrantKey {
  TeamId team;
  KeyId id;
  bool operator==(const GrantKey&) const = default;
};
/*! @brief Sets some fields of an object and keeps the others. */
struct EditObject {
  EditKind kind = EditKind::kTeam;
  std::string name;
  std::vector<FieldValue> fields;
  bool operator==(const EditObject&) const = default;
};
/*! @brief Takes a zone out of service or returns it. */
struct SetZoneService {
  ZoneId id;
  bool in_service = true;
  bool operator==(const SetZoneService&) const = default;
};
/*! @brief States that an instance has stopped; without an incarnation, the one
 * that the entries list. */
struct RetireInstance {
  InstanceId id;
  std::optional<std::uint64_t> incarnation;
  bool operator==(const RetireInstance&) const = default;
};
/*! @brief A change that needs no look at the present configuration. */
struct SendChange {
  config::Change change;
  bool operator==(const SendChange&) const = default;
};
/*! @brief An order to a maintainer; the pool of a VM is looked up. */
struct SendOrder {
  OrderKind kind = OrderKind::kDrain;
  VmId vm;      // not for roll-outs
  PoolId pool;  // roll-outs only
  PoolId to;    // moves only
  std::string reason;
  bool operator==(const SendOrder&) const = default;
};
/*! @brief Adds a VM to a pool. */
struct AddVm {
  PoolId pool;
  VmId id;
  std::string address;
  ZoneId zone;
  RackId rack;
  std::uint32_t slots = 8;  // the slots of an instance in docs/design.md
  std::uint32_t cpus = 0;
  std::uint32_t memory_mb = 0;
  std::uint32_t accelerators = 0;
  bool operator==(const AddVm&) const = default;
};

/*! @brief What the command line asks for. */
using Command = std::variant<ShowHelp,
                             ShowList,
                             ShowProfile,
                             Explain,
                             GrantKey,
                             EditObject,
                             SetZoneService,
                             RetireInstance,
                             SendChange,
                             SendOrder,
                             AddVm>;

/*! @brief Flags that belong to single commands; empty means not given. */
struct CommandFlags {
  std::string id;
  std::string weight;
  std::string limit;
  std::string reason;
  std::string change_id;
};

/*! @brief Reads a command; errors name the argument, the value, what is allowed
 * and the remedy. */
[[nodiscard]] Result<Command> ParseCommand(
    const std::vector<std::string>& arguments,
    const CommandFlags& flags);

/*! @brief One line per command. */
[[nodiscard]] std::string CommandHelp();

/*! @brief Whether a command calls entries. */
[[nodiscard]] bool NeedsEntries(const Command& command);
/*! @brief Whether a command calls a maintainer. */
[[nodiscard]] bool NeedsMaintain(const Command& command);

}  // namespace kch::ctl

template <>
struct kch::NameTable<kch::ctl::OrderKind> {
  using E = kch::ctl::OrderKind;
  static constexpr std::array<std::pair<E, std::string_view>, 5> kEntries{
      {{E::kDrain, "drain"},
       {E::kReboot, "reboot"},
       {E::kMove, "move"},
       {E::kRollout, "rollout"},
       {E::kReturn, "return"}}};
};

template <>
struct kch::NameTable<kch::ctl::EditKind> {
  using E = kch::ctl::EditKind;
  static constexpr std::array<std::pair<E, std::string_view>, 3> kEntries{
      {{E::kTeam, "team"}, {E::kProfile, "profile"}, {E::kPool, "pool"}}};
};

#endif  // CTL_COMMAND_H_
