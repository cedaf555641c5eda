#ifndef CONFIG_OBJECTS_H_
#define CONFIG_OBJECTS_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

#include "base/base.h"

namespace kch::config {

/*! @brief Policy for running tasks that exceed a lowered limit. */
enum class OnLimitCut : std::uint8_t { kFinish, kCheckpoint, kStop };
/*! @brief Policy for a running task while its VM is drained. */
enum class OnDrain : std::uint8_t { kWait, kCheckpoint, kThrottle };

/*! @brief Submitters that share a weight and a limit. */
struct Team {
  TeamId id;
  std::uint32_t weight = 1;
  std::uint32_t limit = 0;  // maximum running tasks in the fleet; 0 = no tasks

  bool operator==(const Team&) const = default;
};

/*! @brief How a kind of work is queued, limited and maintained. */
struct Profile {
  ProfileId id;
  PoolId pool;
  bool open = false;  // requires no key and counts against team `open`
  bool urgent = false;
  bool preemptible = false;
  std::uint32_t capacity =
      0;  // maximum running tasks in the fleet; 0 = no limit
  OnLimitCut on_limit_cut = OnLimitCut::kFinish;
  OnDrain on_drain = OnDrain::kWait;
  // Time for which a drain waits for a task before it is checkpointed; not used
  // with OnDrain::kCheckpoint.
  std::uint32_t drain_wait_ms = 60'000;
  std::uint32_t task_lease_ms = 30'000;
  // Default time within which a request has to start.
  std::uint32_t deadline_ms = 60'000;

  bool operator==(const Profile&) const = default;
};

/*! @brief A group of VMs and its availability budget. */
struct Pool {
  PoolId id;
  bool spare = false;  // the spare pool, which gives VMs to other pools
  std::uint32_t max_unavailable = 1;
  std::uint32_t max_unavailable_per_zone = 1;
  std::uint32_t max_unavailable_per_rack = 1;

  bool operator==(const Pool&) const = default;
};

/*! @brief An availability zone. */
struct Zone {
  ZoneId id;
  bool in_service = true;

  bool operator==(const Zone&) const = default;
};

/*! @brief A team's credential; the secret itself is not stored. */
struct Key {
  KeyId id;  // public prefix of the secret
  TeamId team;
  std::string secret_sha256;  // lower-case hex

  bool operator==(const Key&) const = default;
};

/*! @brief An operator's declaration that an instance has stopped. */
struct Retirement {
  InstanceId instance;
  std::uint64_t incarnation = 0;  // this and all earlier ones have stopped

  bool operator==(const Retirement&) const = default;
};

/*! @brief Any configured object. */
using Object = std::variant<Team, Profile, Pool, Zone, Key, Retirement>;

/*! @brief The team that open profiles count against. */
[[nodiscard]] const TeamId& OpenTeam();

/*! @brief JSON of an object, with the fields of the change that creates it. */
[[nodiscard]] std::string Encode(const Object& object);

}  // namespace kch::config

template <>
struct kch::NameTable<kch::config::OnLimitCut> {
  static constexpr std::
      array<std::pair<kch::config::OnLimitCut, std::string_view>, 3>
          kEntries{{{kch::config::OnLimitCut::kFinish, "finish"},
                    {kch::config::OnLimitCut::kCheckpoint, "checkpoint"},
                    {kch::config::OnLimitCut::kStop, "stop"}}};
};

template <>
struct kch::NameTable<kch::config::OnDrain> {
  static constexpr std::array<std::pair<kch::config::OnDrain, std::string_view>,
                              3>
      kEntries{{{kch::config::OnDrain::kWait, "wait"},
                {kch::config::OnDrain::kCheckpoint, "checkpoint"},
                {kch::config::OnDrain::kThrottle, "throttle"}}};
};

#endif  // CONFIG_OBJECTS_H_
