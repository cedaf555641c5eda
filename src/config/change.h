#ifndef CONFIG_CHANGE_H_
#define CONFIG_CHANGE_H_

#include <string>
#include <string_view>
#include <variant>

#include "base/base.h"
#include "config/objects.h"

namespace kch::config {

/*! @brief Creates or replaces a team. */
struct PutTeam {
  Team team;
  bool operator==(const PutTeam&) const = default;
};
/*! @brief Removes a team that has no keys. */
struct RemoveTeam {
  TeamId id;
  bool operator==(const RemoveTeam&) const = default;
};
/*! @brief Creates or replaces a profile. */
struct PutProfile {
  Profile profile;
  bool operator==(const PutProfile&) const = default;
};
/*! @brief Removes a profile. */
struct RemoveProfile {
  ProfileId id;
  bool operator==(const RemoveProfile&) const = default;
};
/*! @brief Creates or replaces a pool. */
struct PutPool {
  Pool pool;
  bool operator==(const PutPool&) const = default;
};
/*! @brief Removes a pool that no profile uses. */
struct RemovePool {
  PoolId id;
  bool operator==(const RemovePool&) const = default;
};
/*! @brief Creates a zone, takes it out of service or returns it to service. */
struct SetZone {
  Zone zone;
  bool operator==(const SetZone&) const = default;
};
/*! @brief Removes a zone. */
struct RemoveZone {
  ZoneId id;
  bool operator==(const RemoveZone&) const = default;
};
/*! @brief Creates a key; its id must be unused. */
struct GrantKey {
  Key key;
  bool operator==(const GrantKey&) const = default;
};
/*! @brief Removes a key, which no longer authorizes requests. */
struct WithdrawKey {
  KeyId id;
  bool operator==(const WithdrawKey&) const = default;
};
/*! @brief Declares that an instance has stopped. */
struct RetireInstance {
  Retirement retirement;
  bool operator==(const RetireInstance&) const = default;
};
/*! @brief Removes an old retirement; conclusions already drawn from it remain
 * valid. */
struct RemoveRetirement {
  InstanceId instance;
  bool operator==(const RemoveRetirement&) const = default;
};

/*! @brief One edit of the configuration. */
using Change = std::variant<PutTeam,
                            RemoveTeam,
                            PutProfile,
                            RemoveProfile,
                            PutPool,
                            RemovePool,
                            SetZone,
                            RemoveZone,
                            GrantKey,
                            WithdrawKey,
                            RetireInstance,
                            RemoveRetirement>;

/*! @brief JSON of a change: `{"type": "put_team", "id": ...}`. */
[[nodiscard]] std::string Encode(const Change& change);

/*! @brief Parses a Change, Head or State; fails on unknown and missing fields.
 */
template <typename Record>
[[nodiscard]] Result<Record> Decode(std::string_view text);

template <>
Result<Change> Decode<Change>(std::string_view text);

/*! @brief Checks names and ranges, without reference to a state. */
[[nodiscard]] Result<void> Validate(const Change& change);

/*! @brief Checks the syntax of a change id. */
[[nodiscard]] Result<void> ValidateChangeId(std::string_view id);

}  // namespace kch::config

#endif  // CONFIG_CHANGE_H_
