#ifndef FAKE_PLATFORM_BASE64_H_
#define FAKE_PLATFORM_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace kch::fake {

/*! @brief Text as base64 with padding. */
[[nodiscard]] std::string ToBase64(std::string_view text);
/*! @brief The encoded text, unless the input is malformed. */
[[nodiscard]] std::optional<std::string> FromBase64(std::string_view text);

}  // namespace kch::fake

#endif  // FAKE_PLATFORM_BASE64_H_
