#ifndef CONFIG_HEAD_H_
#define CONFIG_HEAD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/base.h"
#include "config/state.h"

namespace kch::config {

/*! @brief Store key of the head. */
inline constexpr std::string_view kHeadKey = "config/head";

/*! @brief Latest revision and the changes since a base snapshot. */
struct Head {
  std::uint64_t base_revision = 0;    // 0: the default State, not stored
  std::vector<LoggedChange> changes;  // revisions base_revision + 1, + 2, ...

  bool operator==(const Head&) const = default;

  /*! @brief The latest revision. */
  [[nodiscard]] std::uint64_t revision() const {
    return this->base_revision + this->changes.size();
  }
};

/*! @brief Store key of the base snapshot of a revision. */
[[nodiscard]] std::string BaseKey(std::uint64_t revision);

/*! @brief JSON of a head. */
[[nodiscard]] std::string Encode(const Head& head);

template <>
Result<Head> Decode<Head>(std::string_view text);

/*! @brief True if the head stays within its bounds with one more change. */
[[nodiscard]] bool HasRoomFor(const Head& head, const LoggedChange& change);

/*! @brief Number of the oldest changes of a full head to fold into the next
 * base. */
[[nodiscard]] std::size_t CountToFold(const Head& head);

}  // namespace kch::config

#endif  // CONFIG_HEAD_H_
