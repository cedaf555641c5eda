#ifndef APP_FLEET_PEER_H_
#define APP_FLEET_PEER_H_

#include <functional>
#include <optional>
#include <string>

#include "ingress/ingress.h"
#include "jobs/jobs.h"
#include "net/net.h"

namespace kch::app {

/*! @brief What the fleet's owner knows of a job. */
struct JobAnswer {
  bool answered = false;  // false: ask the store instead
  std::optional<jobs::JobView> job;
};

/*! @brief What the fleet's owner knows of a queue. */
struct PendingAnswer {
  bool answered = false;
  std::int64_t jobs = 0;
};

/*! @brief Questions to the instance that owns the fleet, over HTTP. */
class Peer {
 public:
  explicit Peer(net::HttpClient& client) : client(client) {}

  void AskJob(const std::string& address,
              const jobs::JobId& job,
              std::function<void(JobAnswer)> done);
  void AskPending(const std::string& address,
                  const jobs::QueueId& queue,
                  std::function<void(PendingAnswer)> done);
  /*! @brief Tells the owner of a cancellation before its watch does. */
  void TellCancel(const std::string& address, const jobs::JobId& job);

 private:
  net::HttpClient& client;
};

[[nodiscard]] std::string EncodeAnswer(const std::optional<jobs::JobView>& job);
[[nodiscard]] std::string EncodeAnswer(std::int64_t pending);

}  // namespace kch::app

#endif  // APP_FLEET_PEER_H_
