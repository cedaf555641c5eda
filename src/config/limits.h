#ifndef CONFIG_LIMITS_H_
#define CONFIG_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace kch::config {

/*! @brief Longest name of a team, profile, pool, zone or key. */
inline constexpr std::size_t kMaxNameLength = 48;
/*! @brief Characters allowed in such a name; the first is a letter or digit. */
inline constexpr std::string_view kNameCharacters =
    "abcdefghijklmnopqrstuvwxyz0123456789-_";
/*! @brief Longest instance name and longest change id. */
inline constexpr std::size_t kMaxInstanceLength = 64;
/*! @brief Characters allowed in an instance name or a change id. */
inline constexpr std::string_view kInstanceCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:";

/*! @brief Range of a team's weight. */
inline constexpr std::uint32_t kMinWeight = 1;
inline constexpr std::uint32_t kMaxWeight = 10'000;
/*! @brief Largest limit of a team or capacity of a profile, in tasks. */
inline constexpr std::uint32_t kMaxTasks = 1'000'000;
/*! @brief Longest time a drain waits for a task. */
inline constexpr std::uint32_t kMaxDrainWaitMs = 24U * 3600 * 1000;
/*! @brief Range of a profile's task lease. A scheduler uses at most
 * engine::Settings::longest_lease; a lost permit becomes available again after
 * that time and a margin. */
inline constexpr std::uint32_t kMinTaskLeaseMs = 1'000;
inline constexpr std::uint32_t kMaxTaskLeaseMs = 600'000;
/*! @brief Range of a request's deadline. */
inline constexpr std::uint32_t kMinDeadlineMs = 100;
inline constexpr std::uint32_t kMaxDeadlineMs = 7U * 24 * 3600 * 1000;
/*! @brief Largest availability budget, in VMs. */
inline constexpr std::uint32_t kMaxUnavailableVms = 10'000;

/*! @brief Maximum number of objects of each kind. With the longest names, all
 * of them fit into a base snapshot of kMaxBaseBytes. */
inline constexpr std::size_t kMaxTeams = 512;
inline constexpr std::size_t kMaxProfiles = 400;
inline constexpr std::size_t kMaxPools = 64;
inline constexpr std::size_t kMaxZones = 64;
inline constexpr std::size_t kMaxKeys = 2'500;
inline constexpr std::size_t kMaxRetirements = 256;
/*! @brief Maximum size of an encoded base snapshot: the largest value that the
 * store accepts. */
inline constexpr std::size_t kMaxBaseBytes = 1'000'000;

/*! @brief Bounds on the changes listed in a head. */
inline constexpr std::size_t kMaxHeadChanges = 64;
inline constexpr std::size_t kMaxHeadBytes = 4'096;
/*! @brief Bounds on the changes that remain in the head after older ones are
 * folded into a base, so that followers a few changes behind need no base. */
inline constexpr std::size_t kRetainedHeadChanges = 16;
inline constexpr std::size_t kRetainedHeadBytes = 1'024;
/*! @brief Number of latest change ids that a state records. */
inline constexpr std::size_t kRememberedChanges = 256;

/*! @brief Longest secret that is hashed. */
inline constexpr std::size_t kMaxSecretLength = 256;
/*! @brief Separates the key id from the rest of a secret. */
inline constexpr char kSecretSeparator = '.';

}  // namespace kch::config

#endif  // CONFIG_LIMITS_H_
