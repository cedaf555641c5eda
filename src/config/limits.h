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

/*! @brief Range of a team's share. */
inline constexpr std::uint32_t kMinWeight = 1;
inline constexpr std::uint32_t kMaxWeight = 10'000;
/*! @brief Largest limit of a team or capacity of a profile, in tasks. */
inline constexpr std::uint32_t kMaxTasks = 1'000'000;
/*! @brief Longest time a drain waits for a task. */
inline constexpr std::uint32_t kMaxDrainWaitMs = 24U * 3600 * 1000;
/*! @brief Range of a task lease; a lost permit returns after the longest. */
inline constexpr std::uint32_t kMinTaskLeaseMs = 1'000;
inline constexpr std::uint32_t kMaxTaskLeaseMs = 600'000;
/*! @brief Range of a request's deadline. */
inline constexpr std::uint32_t kMinDeadlineMs = 100;
inline constexpr std::uint32_t kMaxDeadlineMs = 7U * 24 * 3600 * 1000;
/*! @brief Largest availability budget, in VMs. */
inline constexpr std::uint32_t kMaxUnavailableVms = 10'000;

/*! @brief Objects of each kind that fit, with the longest names, into a base
 * snapshot of at most kMaxBaseBytes. */
inline constexpr std::size_t kMaxTeams = 512;
inline constexpr std::size_t kMaxProfiles = 400;
inline constexpr std::size_t kMaxPools = 64;
inline constexpr std::size_t kMaxZones = 64;
inline constexpr std::size_t kMaxKeys = 2'500;
inline constexpr std::size_t kMaxRetirements = 256;
/*! @brief Largest value the store takes. */
inline constexpr std::size_t kMaxBaseBytes = 1'000'000;

/*! @brief Bounds of the changes that a head lists. */
inline constexpr std::size_t kMaxHeadChanges = 64;
inline constexpr std::size_t kMaxHeadBytes = 4'096;
/*! @brief What a fold leaves in the head, so that followers a few changes
 * behind need no base. */
inline constexpr std::size_t kRetainedHeadChanges = 16;
inline constexpr std::size_t kRetainedHeadBytes = 1'024;
/*! @brief Latest change ids that a state remembers. */
inline constexpr std::size_t kRememberedChanges = 256;

/*! @brief Longest secret that is hashed. */
inline constexpr std::size_t kMaxSecretLength = 256;
/*! @brief Separates the key id from the rest of a secret. */
inline constexpr char kSecretSeparator = '.';

}  // namespace kch::config

#endif  // CONFIG_LIMITS_H_
