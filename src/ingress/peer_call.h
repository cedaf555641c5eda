#ifndef INGRESS_PEER_CALL_H_
#define INGRESS_PEER_CALL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "jobs/model.h"

namespace kch::ingress {

/*! @brief Operation that another instance requests. */
enum class PeerVerb : std::uint8_t { kMetrics, kState, kCancel, kPending };

/*! @brief A request at the port for other instances. */
struct PeerCall {
  PeerVerb verb = PeerVerb::kMetrics;
  jobs::JobId job;      // of kState and kCancel
  jobs::QueueId queue;  // of kPending
};

/*! @brief Parses a request by its method and its whole path; no value if no
 * operation has both. */
[[nodiscard]] std::optional<PeerCall> ParsePeerCall(std::string_view method,
                                                    std::string_view path);
/*! @brief Paths of the operations, for the callers. */
[[nodiscard]] std::string StatePath(const jobs::JobId& job);
[[nodiscard]] std::string CancelPath(const jobs::JobId& job);
[[nodiscard]] std::string PendingPath(const jobs::QueueId& queue);

}  // namespace kch::ingress

#endif  // INGRESS_PEER_CALL_H_
