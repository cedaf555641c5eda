#ifndef WIRE_WIRE_H_
#define WIRE_WIRE_H_

#include <string>
#include <string_view>

#include "base/error.h"
#include "engine/message.h"

namespace kch::wire {

/*! @brief The protobuf bytes of a message. */
[[nodiscard]] std::string Encode(const engine::Message& message);

/*! @brief Reads a message; bytes that are none, or one of an unknown kind, fail
 * with kCorrupt. */
[[nodiscard]] Result<engine::Message> Decode(std::string_view bytes);

}  // namespace kch::wire

#endif  // WIRE_WIRE_H_
