#ifndef CONFIG_AUTHORIZE_H_
#define CONFIG_AUTHORIZE_H_

#include <string>
#include <string_view>

#include "base/base.h"
#include "config/state.h"

namespace kch::config {

/*! @brief Returns the team that a caller's work counts against. A secret has
 * the form `<key id>.<random text>` and is never part of an error. */
[[nodiscard]] Result<TeamId> Authorize(const State& state,
                                       std::string_view secret,
                                       const ProfileId& profile);

/*! @brief The key id at the start of a secret; empty if there is none. */
[[nodiscard]] KeyId KeyIdOf(std::string_view secret);

/*! @brief SHA-256 of a secret as lower-case hex, for Key::secret_sha256. */
[[nodiscard]] std::string HashSecret(std::string_view secret);

/*! @brief True if the secret has this SHA-256 in lower-case hex; an empty hash
 * matches nothing. */
[[nodiscard]] bool MatchesHash(std::string_view secret,
                               std::string_view sha256);

}  // namespace kch::config

#endif  // CONFIG_AUTHORIZE_H_
