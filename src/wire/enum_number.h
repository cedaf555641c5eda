#ifndef WIRE_ENUM_NUMBER_H_
#define WIRE_ENUM_NUMBER_H_

#include <cstdint>
#include <optional>

#include "base/name_table.h"

namespace kch::wire {

/*! @brief An enum as it is sent. */
template <typename E>
[[nodiscard]] std::uint32_t ToNumber(E value) {
  return static_cast<std::uint32_t>(value);
}

/*! @brief An enum that was sent as a number; nothing if this version does not
 * know it. */
template <typename E>
[[nodiscard]] std::optional<E> ToEnum(std::uint32_t number) {
  for (const auto& entry : NameTable<E>::kEntries) {
    if (ToNumber(entry.first) == number) {
      return entry.first;
    }
  }
  return std::nullopt;
}

}  // namespace kch::wire

#endif  // WIRE_ENUM_NUMBER_H_
