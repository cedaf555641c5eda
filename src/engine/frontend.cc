#include "engine/frontend.h"

#include <algorithm>
#include <string>
#include <utility>

namespace kch::engine {
namespace {

// Retry delay for a caller whose request found no scheduler: peers agree on the
// scheduler of a pool within about two heartbeat timeouts.
constexpr std::int64_t kNoSchedulerRetryMs = 2000;
constexpr Duration kRerouteDelay = std::chrono::milliseconds(100);
// Wait after the deadline for a scheduler's outcome. A scheduler refuses at the
// deadline, so a scheduler that has not answered by then is considered lost.
constexpr Duration kOutcomeGracePeriod = std::chrono::seconds(5);

}  // namespace

Result<Job> Frontend::Validate(const CallerRequest& request,
                               Reason& reason) const {
  const config::State& state = this->context.state();
  const config::Profile* profile = state.Find(request.profile);
  if (profile == nullptr) {
    reason = Reason::kUnknownProfile;
    return Fail(ErrorKind::kNotFound,
                "there is no queue " + request.profile.str(),
                "name a profile that operators have defined");
  }
  auto team = config::Authorize(state, request.secret, request.profile);
  if (!team) {
    reason = Reason::kKeyInvalid;
    return tl::make_unexpected(team.error());
  }
  if (!request.repeatable && request.request_id.empty()) {
    reason = Reason::kRequestIdMissing;
    return Fail(ErrorKind::kInvalid, "an unrepeatable request has no id",
                "send Kch-Request with an id of your own");
  }
  Job job;
  job.team = *team;
  job.profile = profile->id;
  job.pool = profile->pool;
  job.config_revision = state.revision;
  if (!profile->open) {
    job.key = config::KeyIdOf(request.secret);
    job.key_revision = state.keys.at(job.key).revision;
  }
  if (!request.request_id.empty()) {
    job.request = RequestId(team->str() + "/" + request.request_id);
  }
  job.repeatable = request.repeatable;
  job.attach_only = request.attach_only;
  job.resources = request.resources;
  return job;
}

void Frontend::OnRequest(CallerRequest request, Time now) {
  Reason reason = Reason::kNone;
  auto job = this->Validate(request, reason);
  if (!job) {
    this->Refuse(request.call, reason, 0);
    return;
  }
  job->body = std::move(request.body);
  job->id = TaskId(this->context.self().str() + "." +
                   std::to_string(this->context.membership.self().incarnation) +
                   "." + std::to_string(++this->last_job));
  const config::Profile* profile = this->context.state().Find(job->profile);
  const std::int64_t deadline_ms =
      request.deadline_ms > 0
          ? std::min<std::int64_t>(request.deadline_ms, config::kMaxDeadlineMs)
          : profile->deadline_ms;
  this->context.EmitTrace({.kind = TraceKind::kRequestReceived,
                           .request = job->request.str(),
                           .task = job->id.str(),
                           .team = job->team.str(),
                           .pool = job->pool.str()});
  PendingRequest waiting{
      .job = *std::move(job),
      .call = request.call,
      .deadline = now + std::chrono::milliseconds(deadline_ms)};
  const TaskId id = waiting.job.id;
  this->calls.emplace(request.call, id);
  auto [position, added] = this->pending.emplace(id, std::move(waiting));
  this->Route(position->second, now);
}

void Frontend::Refuse(CallId call, Reason reason, std::int64_t retry_after_ms) {
  this->context.effects.emplace_back(
      ReplyCaller{call,
                  {.kind = OutcomeKind::kNotRun,
                   .reason = reason,
                   .retry_after_ms = retry_after_ms}});
}

// Selects the scheduler of a request. A request stays with a live scheduler
// even if another member now ranks first, since otherwise both could run it.
void Frontend::Route(PendingRequest& waiting, Time now) {
  waiting.next_send = now + this->context.settings.resubmit_after;
  const auto owner =
      this->context.settings.split_limits
          ? std::optional(this->context.self())
          : this->context.membership.OwnerOf(waiting.job.pool, now);
  if (!owner) {
    waiting.scheduler.reset();
    return;
  }
  this->context.EmitTrace({.kind = TraceKind::kRequestForwarded,
                           .request = waiting.job.request.str(),
                           .task = waiting.job.id.str(),
                           .team = waiting.job.team.str(),
                           .pool = waiting.job.pool.str(),
                           .text = "to " + owner->str()});
  waiting.scheduler = owner;
  this->Send(waiting, now);
}

// Submits a request. Resubmission to the same scheduler is idempotent, since
// the scheduler finds the job by its id.
void Frontend::Send(PendingRequest& waiting, Time now) {
  waiting.next_send = now + this->context.settings.resubmit_after;
  waiting.sent = true;
  this->context.Send(
      *waiting.scheduler,
      Submit{waiting.job, ToMs(waiting.deadline - now), waiting.checkpoint});
}

void Frontend::OnCancel(CallId call) {
  const auto found = this->calls.find(call);
  if (found == this->calls.end()) {
    return;
  }
  const PendingRequest& waiting = this->pending.at(found->second);
  if (waiting.scheduler) {
    this->context.Send(*waiting.scheduler, CancelJob{waiting.job.id, {}});
  } else if (!waiting.sent) {
    this->AnswerCaller(TaskId(found->second), {.kind = OutcomeKind::kNotRun,
                                               .reason = Reason::kCancelled});
  }
}

void Frontend::OnCancelRequest(const CancelRequest& cancel, Time now) {
  Reason reason = Reason::kNone;
  const auto job = this->Validate({.profile = cancel.profile,
                                   .secret = cancel.secret,
                                   .request_id = cancel.request_id},
                                  reason);
  const auto owner =
      job ? this->context.membership.OwnerOf(job->pool, now) : std::nullopt;
  if (owner) {
    this->context.Send(*owner, CancelJob{{}, job->request});
  } else if (reason == Reason::kNone) {
    reason = Reason::kNoScheduler;
  }
  // The reply reports only whether the cancellation was forwarded.
  this->context.effects.emplace_back(
      ReplyCaller{cancel.call,
                  {.kind = owner ? OutcomeKind::kDone : OutcomeKind::kNotRun,
                   .reason = reason}});
}

void Frontend::OnStarted(const InstanceId& from, const Started& started) {
  const auto found = this->pending.find(started.job);
  if (found != this->pending.end() && found->second.scheduler == from) {
    found->second.attempt = started.attempt;
  }
}

void Frontend::OnOutcome(const InstanceId& from, JobOutcome answer, Time now) {
  const auto found = this->pending.find(answer.job);
  if (found == this->pending.end()) {
    return;
  }
  PendingRequest& waiting = found->second;
  // An abandoned scheduler may still report that the request is done, but
  // cannot report that it will not run: the current scheduler may run it.
  if (waiting.scheduler != from && answer.outcome.kind != OutcomeKind::kDone) {
    return;
  }
  const bool not_run = answer.outcome.kind == OutcomeKind::kNotRun;
  // A scheduler that returns a job sends its checkpoint as the body if the job
  // has run in part.
  const bool continues = not_run && !answer.outcome.body.empty();
  if (answer.outcome.reason == Reason::kShuttingDown &&
      (not_run || waiting.job.repeatable) &&
      (now < waiting.deadline || continues)) {
    waiting.checkpoint = std::move(answer.outcome.body);
    waiting.sent = false;
    waiting.attempt.reset();
    waiting.maybe_ran |= !not_run || continues;
    if (this->context.membership.OwnerOf(waiting.job.pool, now) == from) {
      // This entry has not yet been notified that the sender no longer
      // schedules the pool.
      waiting.scheduler.reset();
      waiting.next_send = now + kRerouteDelay;
      return;
    }
    this->Route(waiting, now);
    return;
  }
  if (not_run && waiting.maybe_ran) {
    answer.outcome.kind = OutcomeKind::kUnknown;
  }
  if (waiting.scheduler && waiting.scheduler != from) {
    this->context.Send(*waiting.scheduler, CancelJob{waiting.job.id, {}});
  }
  this->AnswerCaller(answer.job, std::move(answer.outcome));
}

void Frontend::OnPeerDown(const InstanceId& peer, Time now) {
  for (auto& [id, waiting] : this->pending) {
    if (waiting.scheduler != peer) {
      continue;
    }
    if (waiting.attempt) {
      // The task continues under its lease, and this entry adopts it.
      waiting.scheduler = this->context.self();
      this->scheduler.Adopt(waiting.job, *waiting.attempt, waiting.deadline,
                            now);
    } else {
      waiting.maybe_ran = true;
      this->Route(waiting, now);
    }
  }
}

void Frontend::Tick(Time now) {
  std::vector<TaskId> late;
  for (auto& [id, waiting] : this->pending) {
    if (now < waiting.next_send) {
      continue;
    }
    const bool expired =
        now >= waiting.deadline &&
        (!waiting.sent || now >= waiting.deadline + kOutcomeGracePeriod);
    if (expired && !waiting.attempt) {
      late.push_back(id);
    } else if (waiting.scheduler) {
      this->Send(waiting, now);
    } else {
      this->Route(waiting, now);
    }
  }
  for (const TaskId& id : late) {
    const PendingRequest& waiting = this->pending.at(id);
    const bool sent = waiting.sent || waiting.maybe_ran;
    this->AnswerCaller(
        id, {.kind = sent ? OutcomeKind::kUnknown : OutcomeKind::kNotRun,
             .reason = Reason::kNoScheduler,
             .retry_after_ms = kNoSchedulerRetryMs});
  }
}

void Frontend::AnswerCaller(const TaskId& job, Outcome outcome) {
  const auto found = this->pending.find(job);
  const PendingRequest& waiting = found->second;
  this->context.EmitTrace(
      {.kind = TraceKind::kRequestAnswered,
       .request = waiting.job.request.str(),
       .task = outcome.task.empty() ? job.str() : outcome.task.str(),
       .vm = outcome.vm.str(),
       .team = waiting.job.team.str(),
       .pool = waiting.job.pool.str(),
       .text = std::string(NameOf(outcome.kind)) + " " +
               std::string(NameOf(outcome.reason))});
  const CallId call = waiting.call;
  this->calls.erase(call);
  this->pending.erase(found);
  this->context.effects.emplace_back(ReplyCaller{call, std::move(outcome)});
}

}  // namespace kch::engine
