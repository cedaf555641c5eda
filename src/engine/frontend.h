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

/*! @brief Caller side of an entry: checks requests, passes them to the
 * scheduler of their pool and holds the callers that wait. */
class Frontend {
 public:
  Frontend(EntryContext& context, Scheduler& scheduler)
      : context(context), scheduler(scheduler) {}

  /*! @brief Takes a caller's request or refuses it. */
  void OnRequest(CallerRequest request, Time now);
  /*! @brief Gives a request up. */
  void OnCancel(CallId call);
  /*! @brief Passes on the order to cancel a request by its id. */
  void OnCancelRequest(const CancelRequest& cancel, Time now);
  /*! @brief A scheduler started a task for a waiting request. */
  void OnStarted(const InstanceId& from, const Started& started);
  /*! @brief A scheduler answered. */
  void OnOutcome(const InstanceId& from, JobOutcome answer, Time now);
  /*! @brief A peer is down: what it scheduled is taken over. */
  void OnPeerDown(const InstanceId& peer, Time now);
  /*! @brief Sends again what got no word, and gives up what is too late. */
  void Tick(Time now);

  /*! @brief Requests that wait for an answer. */
  [[nodiscard]] std::size_t size() const { return this->pending.size(); }

 private:
  struct PendingRequest {
    Job job;
    CallId call = 0;
    Time deadline;
    std::optional<InstanceId> scheduler;
    bool sent = false;  // to any scheduler: it may run unless one says not
    // A scheduler that may have started it was given up; only an answer that
    // it did not run there could make a later "not run" true.
    bool maybe_ran = false;
    std::optional<Attempt> attempt;
    std::string checkpoint;  // of a scheduler that handed the job back
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
