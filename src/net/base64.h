#ifndef NET_BASE64_H_
#define NET_BASE64_H_

#include <optional>
#include <string>
#include <string_view>

namespace kch::net {

/*! @brief Standard base64 with padding. */
[[nodiscard]] std::string ToBase64(std::string_view bytes);
/*! @brief The bytes; nothing if the text is malformed. */
[[nodiscard]] std::optional<std::string> FromBase64(std::string_view text);

}  // namespace kch::net

#endif  // NET_BASE64_H_
