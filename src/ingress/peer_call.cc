#include "ingress/peer_call.h"

namespace kch::ingress {
namespace {

constexpr std::string_view kMetricsPath = "/metrics";
constexpr std::string_view kJobs = "/v1/jobs/";
constexpr std::string_view kQueues = "/v1/queues/";
constexpr std::string_view kCancel = "/cancel";

// A job's id has no slash, so what follows it cannot be taken for a part of it.
std::optional<PeerCall> JobCall(PeerVerb verb, std::string_view id) {
  if (!jobs::IsJobId(id)) {
    return std::nullopt;
  }
  return PeerCall{verb, jobs::JobId(std::string(id)), {}};
}

}  // namespace

std::optional<PeerCall> ParsePeerCall(std::string_view method,
                                      std::string_view path) {
  if (method == "GET" && path == kMetricsPath) {
    return PeerCall{PeerVerb::kMetrics, {}, {}};
  }
  if (method == "GET" && path.starts_with(kQueues)) {
    return PeerCall{PeerVerb::kPending,
                    {},
                    jobs::QueueId(std::string(path.substr(kQueues.size())))};
  }
  if (!path.starts_with(kJobs)) {
    return std::nullopt;
  }
  path.remove_prefix(kJobs.size());
  if (method == "GET") {
    return JobCall(PeerVerb::kState, path);
  }
  if (method == "POST" && path.ends_with(kCancel)) {
    path.remove_suffix(kCancel.size());
    return JobCall(PeerVerb::kCancel, path);
  }
  return std::nullopt;
}

std::string StatePath(const jobs::JobId& job) {
  return std::string(kJobs) + job.str();
}

std::string CancelPath(const jobs::JobId& job) {
  return StatePath(job) + std::string(kCancel);
}

std::string PendingPath(const jobs::QueueId& queue) {
  return std::string(kQueues) + queue.str();
}

}  // namespace kch::ingress
