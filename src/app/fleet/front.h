#ifndef APP_FLEET_FRONT_H_
#define APP_FLEET_FRONT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "admit/admit.h"
#include "app/fleet/peer.h"
#include "ingress/ingress.h"
#include "platform/platform.h"

namespace kch::app {

/*! @brief Answers callers: admits, stores and cancels jobs, reports states. */
class Front {
 public:
  /*! @brief What a front uses; all must outlive it. */
  struct Parts {
    net::HttpClient& client;
    platform::Store& store;
    net::Metrics& metrics;
    // Asks the scheduler of this process; not answered if it has none.
    std::function<void(const jobs::JobId&, std::function<void(JobAnswer)>)>
        ask_job;
    std::function<void(const jobs::QueueId&,
                       std::function<void(PendingAnswer)>)>
        ask_pending;
    std::function<void(const jobs::JobId&)> tell_cancel;
  };

  explicit Front(Parts parts);

  /*! @brief Handles a caller's request. Any thread. */
  void Handle(const net::HttpRequest& request, net::HttpReply reply);
  /*! @brief Puts a configuration in force. Any thread. */
  void SetDirectory(std::shared_ptr<const ingress::Directory> directory);
  /*! @brief The owner's address; empty if none is known. Any thread. */
  void SetOwner(std::string address);
  /*! @brief The owner's latest report of the waits in the queues. Any thread.
   */
  void SetLoad(admit::LoadReport report);
  void SetStoreReachable(bool reachable) { this->store_reachable = reachable; }
  /*! @brief From now on answers ask callers to close their connections. */
  void BeginShutdown() { this->closing = true; }
  /*! @brief Requests without an answer. */
  [[nodiscard]] int open_requests() const { return *this->open; }

 private:
  struct Submission;
  // Lease of the records of rejected jobs, which the store removes with it.
  struct RejectionLease {
    std::uint64_t id = 0;  // 0: none yet
    Time created;
    bool pending = false;
  };

  using Reply = std::function<void(net::HttpResponse)>;
  // The state of a job that has ended, and the revision of the record found.
  using FoundJob = std::function<void(std::optional<jobs::JobState> ended,
                                      std::uint64_t revision)>;

  void Refuse(const ingress::Call& call,
              ingress::Refusal refusal,
              std::uint64_t version,
              const Reply& reply);
  void Submit(const net::HttpRequest& request,
              const ingress::Call& call,
              const ingress::Admitted& admitted,
              std::uint64_t version,
              Reply reply);
  /*! @brief Rejects a job that could not be served in time, or stores it if it
   * was accepted before or its rejection cannot be recorded. */
  void Reject(const std::shared_ptr<Submission>& submission,
              const admit::Rejection& rejection);
  /*! @brief Lease for the record of a rejection; none while it is created. */
  std::optional<std::uint64_t> LeaseForRejection();
  void DropRejectionLease();
  void ReportState(const ingress::Admitted& admitted, Reply reply);
  /*! @brief Calls `found`, or `missing` if neither the job nor its end is
   * stored; without `missing`, the caller is told that the job is gone. */
  void FindJob(const jobs::JobId& job,
               const TeamId& team,
               Reply reply,
               FoundJob found,
               std::function<void()> missing = nullptr);
  void FindEnded(const jobs::JobId& job,
                 const TeamId& team,
                 const Reply& reply,
                 const FoundJob& found,
                 const std::function<void()>& missing = nullptr);
  void ReadState(const jobs::JobId& job,
                 const TeamId& team,
                 const Reply& reply);
  void ReadProgress(const jobs::JobId& job,
                    const TeamId& team,
                    const Reply& reply);
  void Cancel(const ingress::Admitted& admitted, const Reply& reply);
  /*! @brief Cancels a job that is not stored, and bars the writes that may
   * still store it. */
  void CancelMissing(const ingress::Admitted& admitted,
                     const Reply& reply,
                     Time lease_by);
  void StoreCancel(const ingress::Admitted& admitted,
                   std::uint64_t revision,
                   const Reply& reply);
  void ReportPending(const ingress::Admitted& admitted, Reply reply);
  void AskOwner(const jobs::JobId& job, std::function<void(JobAnswer)> done);
  [[nodiscard]] std::string OwnerAddress() const;

  Parts parts;
  Peer peer;
  std::atomic<std::shared_ptr<const ingress::Directory>> directory;
  std::atomic<std::shared_ptr<const std::string>> owner;
  std::mutex mutex;  // guards the two members below
  admit::Admission admission;
  RejectionLease rejection_lease;
  std::atomic<bool> store_reachable = true;
  std::atomic<bool> closing = false;
  std::shared_ptr<std::atomic<int>> open =
      std::make_shared<std::atomic<int>>(0);
};

}  // namespace kch::app

#endif  // APP_FLEET_FRONT_H_
