#include "ingress/directory.h"

#include <algorithm>

namespace kch::ingress {

Directory::Directory(Config config) : settings(std::move(config)) {
  for (const Route& route : this->settings.routes) {
    this->by_host[route.host].push_back(&route);
  }
  for (auto& [host, routes] : this->by_host) {
    std::ranges::stable_sort(routes, [](const Route* left, const Route* right) {
      return left->prefix.size() > right->prefix.size();
    });
  }
}

const Route* Directory::Find(std::string_view host,
                             std::string_view path) const {
  const auto found = this->by_host.find(host.substr(0, host.find(':')));
  if (found == this->by_host.end()) {
    return nullptr;
  }
  const auto route =
      std::ranges::find_if(found->second, [path](const Route* candidate) {
        return path.starts_with(candidate->prefix);
      });
  return route == found->second.end() ? nullptr : *route;
}

tl::expected<Admitted, Refusal> Directory::Admit(const Call& call) const {
  Admitted admitted;
  admitted.route = this->Find(call.host, call.path);
  if (admitted.route == nullptr) {
    return tl::unexpected(Refusal::kNoQueue);
  }
  const auto& queues = this->settings.fleet.queues;
  const auto queue = queues.find(admitted.route->queue);
  if (queue == queues.end()) {
    return tl::unexpected(Refusal::kNoQueue);
  }
  admitted.queue = &queue->second;
  const auto team = this->settings.teams_by_key.find(call.key);
  if (team != this->settings.teams_by_key.end()) {
    admitted.team = team->second;
  } else if (!admitted.route->open) {
    return tl::unexpected(Refusal::kUnknownKey);
  }
  admitted.job = jobs::JobId(call.path.substr(admitted.route->prefix.size()));
  if (admitted.job.empty()) {
    admitted.verb = Verb::kPending;
    return call.method == "GET" ? tl::expected<Admitted, Refusal>(admitted)
                                : tl::unexpected(Refusal::kBadMethod);
  }
  // The id becomes part of keys and paths.
  if (!jobs::IsJobId(admitted.job.str())) {
    return tl::unexpected(call.method == "POST" ? Refusal::kBadJob
                                                : Refusal::kNoJob);
  }
  if (call.method == "POST") {
    admitted.verb = Verb::kSubmit;
  } else if (call.method == "GET") {
    admitted.verb = Verb::kState;
  } else if (call.method == "DELETE") {
    admitted.verb = Verb::kCancel;
  } else {
    return tl::unexpected(Refusal::kBadMethod);
  }
  return admitted;
}

int StatusOf(Refusal refusal) {
  constexpr int bad_request = 400;
  constexpr int unauthorized = 401;
  constexpr int not_found = 404;
  constexpr int bad_method = 405;
  constexpr int gone = 410;
  constexpr int too_many = 429;
  constexpr int unavailable = 503;
  switch (refusal) {
    case Refusal::kNoConfig:
    case Refusal::kStoreDown:
      return unavailable;
    case Refusal::kNoQueue:
      return not_found;
    case Refusal::kUnknownKey:
      return unauthorized;
    case Refusal::kBadMethod:
      return bad_method;
    case Refusal::kBadJob:
      return bad_request;
    case Refusal::kNoJob:
      return gone;
    case Refusal::kOverloaded:
      return too_many;
  }
  return unavailable;
}

}  // namespace kch::ingress
