#ifndef WIRE_RELAY_CODEC_H_
#define WIRE_RELAY_CODEC_H_

#include <string>
#include <string_view>

#include "base/error.h"
#include "relay/call.h"

namespace kch::wire {

/*! @brief The protobuf bytes of a message between owner and relay. */
[[nodiscard]] std::string Encode(const relay::Message& message);

/*! @brief Reads a message; bytes that are none, or one of an unknown kind, fail
 * with kCorrupt. */
[[nodiscard]] Result<relay::Message> DecodeRelay(std::string_view bytes);

}  // namespace kch::wire

#endif  // WIRE_RELAY_CODEC_H_
