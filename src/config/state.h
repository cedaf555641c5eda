#ifndef CONFIG_STATE_H_
#define CONFIG_STATE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "base/base.h"
#include "config/change.h"
#include "config/objects.h"

namespace kch::config {

/*! @brief An object and the revision that last changed it. */
template <typename T>
struct Versioned {
  T value;
  std::uint64_t revision = 0;

  bool operator==(const Versioned&) const = default;
};

/*! @brief A change with its id and revision, as stored in the log. */
struct LoggedChange {
  std::uint64_t revision = 0;
  std::string id;
  Change change;

  bool operator==(const LoggedChange&) const = default;
};

/*! @brief The id of a change that took effect, and its revision. */
struct RememberedChange {
  std::uint64_t revision = 0;
  std::string id;

  bool operator==(const RememberedChange&) const = default;
};

/*! @brief The whole configuration at one revision, shared as
 * `std::shared_ptr<const State>`. Initially contains the team `open`. */
struct State {
  State();

  std::uint64_t revision = 0;
  std::map<TeamId, Versioned<Team>> teams;
  std::map<ProfileId, Versioned<Profile>> profiles;
  std::map<PoolId, Versioned<Pool>> pools;
  std::map<ZoneId, Versioned<Zone>> zones;
  std::map<KeyId, Versioned<Key>> keys;
  std::map<InstanceId, Versioned<Retirement>> retirements;
  std::deque<RememberedChange> remembered;  // oldest first

  bool operator==(const State&) const = default;

  /*! @brief The object with this id, or null. */
  [[nodiscard]] const Team* Find(const TeamId& id) const;
  [[nodiscard]] const Profile* Find(const ProfileId& id) const;
  [[nodiscard]] const Pool* Find(const PoolId& id) const;
  [[nodiscard]] const Zone* Find(const ZoneId& id) const;
  [[nodiscard]] const Key* Find(const KeyId& id) const;
  [[nodiscard]] const Retirement* Find(const InstanceId& id) const;

  /*! @brief False only for a zone that is configured and out of service. */
  [[nodiscard]] bool InService(const ZoneId& id) const;

  /*! @brief The revision of a change id; empty if the id is not among the
   * remembered ones. */
  [[nodiscard]] std::optional<std::uint64_t> RevisionOf(
      std::string_view change_id) const;
};

/*! @brief Applies a change and increases the revision by one; on an error the
 * state is unchanged. */
[[nodiscard]] Result<void> Apply(State& state, const Change& change);

/*! @brief As above, for a change whose revision must be the next one; its id is
 * remembered. */
[[nodiscard]] Result<void> Apply(State& state, const LoggedChange& change);

/*! @brief The object that a change refers to, and the revision that last
 * changed it (0: the object does not exist). */
struct Subject {
  std::optional<Object> object;
  std::uint64_t revision = 0;
};
/*! @brief Finds the object that a change refers to. */
[[nodiscard]] Subject SubjectOf(const State& state, const Change& change);

/*! @brief JSON of a state, as stored in a base snapshot. */
[[nodiscard]] std::string Encode(const State& state);

template <>
Result<State> Decode<State>(std::string_view text);

}  // namespace kch::config

#endif  // CONFIG_STATE_H_
