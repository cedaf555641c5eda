#ifndef INGRESS_DIRECTORY_H_
#define INGRESS_DIRECTORY_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/base.h"
#include "jobs/model.h"

namespace kch::ingress {

/*! @brief Host and path prefix under which callers reach a queue. */
struct Route {
  jobs::QueueId queue;
  std::string host;
  // Of every path of the queue; compared as text, so "/a" also matches "/ab".
  std::string prefix;
  bool open = false;            // accepts calls without a key
  std::int64_t timeout_ms = 0;  // response time-out
};

/*! @brief One version of the routes, keys and queues used to admit calls. */
struct Config {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::unordered_map<std::string, TeamId> teams_by_key;
  jobs::FleetConfig fleet;
};

/*! @brief Operation that a call requests. */
enum class Verb : std::uint8_t { kSubmit, kState, kCancel, kPending };

/*! @brief An HTTP request without its body. */
struct Call {
  std::string method;
  std::string host;
  std::string path;
  std::string key;  // empty if the request has none
};

/*! @brief Reason for which a call is refused before it has any effect. */
enum class Refusal : std::uint8_t {
  kNoConfig,    // this instance has no configuration yet
  kNoQueue,     // no route matches, or its queue is not configured
  kUnknownKey,  // the key is missing or not in force
  kBadMethod,   // the path does not support this method
  kBadJob,      // the job is malformed
  kNoJob,       // no job can have the id
  kStoreDown,   // the store is unreachable; nothing was written
  kOverloaded,  // the job would finish too late to be useful
};

/*! @brief An admitted call; its pointers are valid as long as the Directory. */
struct Admitted {
  Verb verb = Verb::kState;
  const Route* route = nullptr;
  const jobs::Queue* queue = nullptr;
  TeamId team;      // empty: an open queue was called without a valid key
  jobs::JobId job;  // empty for kPending
};

/*! @brief Routes and admits calls by one version of the configuration. */
class Directory {
 public:
  explicit Directory(Config config);

  /*! @brief Route of a host (a port is ignored) with the longest prefix of the
   * path; null if none matches. */
  [[nodiscard]] const Route* Find(std::string_view host,
                                  std::string_view path) const;
  /*! @brief Resolves the route, team, job and operation of a call, or returns
   * the reason to refuse it. */
  [[nodiscard]] tl::expected<Admitted, Refusal> Admit(const Call& call) const;
  [[nodiscard]] const Config& config() const { return this->settings; }

 private:
  Config settings;
  // Routes of a host, longest prefix first.
  std::map<std::string, std::vector<const Route*>, std::less<>> by_host;
};

/*! @brief HTTP status code of a refusal; 503 and 429 guarantee that nothing
 * ran. */
[[nodiscard]] int StatusOf(Refusal refusal);

}  // namespace kch::ingress

template <>
struct kch::NameTable<kch::ingress::Refusal> {
  static constexpr std::
      array<std::pair<kch::ingress::Refusal, std::string_view>, 8>
          kEntries{{{kch::ingress::Refusal::kNoConfig, "no_config"},
                    {kch::ingress::Refusal::kNoQueue, "no_queue"},
                    {kch::ingress::Refusal::kUnknownKey, "unknown_key"},
                    {kch::ingress::Refusal::kBadMethod, "bad_method"},
                    {kch::ingress::Refusal::kBadJob, "bad_job"},
                    {kch::ingress::Refusal::kNoJob, "no_job"},
                    {kch::ingress::Refusal::kStoreDown, "store_down"},
                    {kch::ingress::Refusal::kOverloaded, "overloaded"}}};
};

#endif  // INGRESS_DIRECTORY_H_
