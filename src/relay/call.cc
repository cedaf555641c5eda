#include "relay/call.h"

namespace kch::relay {

const jobs::Destination& DestinationOf(const Order& order) {
  return std::visit(
      [](const auto& kind) -> const jobs::Destination& { return kind.to; },
      order);
}

}  // namespace kch::relay
