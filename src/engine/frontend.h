#ifndef ENGINE_FRONTEND_H_
#define ENGINE_FRONTEND_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "engine/entry_context.h"
#include "engine/scheduler.h"

namespace kch::engine {

/*! @brief Caller side of an entry: authorizes requests, submits them to the
 * scheduler of their pool and answers the waiting callers. */
class Frontend {
 public:
  Frontend(EntryContext& context, Scheduler& scheduler)
      : context(context), scheduler(scheduler) {}

  /*! @brief Accepts a caller's request or refuses it with a reason. */
  void OnRequest(CallerRequest request, Time now);
  /*! @brief Cancels the request of a caller. */
  void OnCancel(CallId call);
  /*! @brief Forwards a cancellation by request id to the scheduler of the pool;
   * the reply reports only whether it was forwarded. */
  void OnCancelRequest(const CancelRequest& cancel, Time now);
  /*! @brief Records the task that a scheduler has started for a pending
   * request. */
  void OnStarted(const InstanceId& from, const Started& started);
  /*! @brief Handles a scheduler's outcome: answers the caller, or routes a
   * returned request again. */
  void OnOutcome(const InstanceId& from, JobOutcome answer, Time now);
  /*! @brief Takes over the requests that a failed peer scheduled: adopts
   * started tasks and routes the other requests again. */
  void OnPeerDown(const InstanceId& peer, Time now);
  /*! @brief Resubmits requests without an outcome and answers those that are
   * past their deadline. */
  void Tick(Time now);

  /*! @brief Number of requests that wait for an answer. */
  [[nodiscard]] std::size_t size() const { return this->pending.size(); }

 private:
  struct PendingRequest {
    Job job;
    CallId call = 0;
    Time deadline;
    std::optional<InstanceId> scheduler;
    // To any scheduler; may run unless the scheduler denies it.
    bool sent = false;
    // A scheduler that may have started the request was abandoned. A later "not
    // run" of another scheduler is then reported as unknown, since the
    // abandoned one did not confirm that the request did not run there.
    bool maybe_ran = false;
    std::optional<Attempt> attempt;
    std::string checkpoint;  // from a scheduler that returned the job
    Time next_send;
  };

  [[nodiscard]] Result<Job> Validate(const CallerRequest& request,
                                     Reason& reason) const;
  void Refuse(CallId call, Reason reason, std::int64_t retry_after_ms);
  void Route(PendingRequest& waiting, Time now);
  void Send(PendingRequest& waiting, Time now);
  void AnswerCaller(const TaskId& job, Outcome outcome);

  EntryContext& context;
  Scheduler& scheduler;
  std::uint64_t last_job = 0;
  std::unordered_map<TaskId, PendingRequest> pending;
  std::map<CallId, TaskId> calls;
};

}  // namespace kch::engine

#endif  // ENGINE_FRONTEND_H_
