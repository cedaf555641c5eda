#include "app/fleet/front.h"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "app/fleet/keys.h"

namespace kch::app {
namespace {

using ingress::Admitted;
using ingress::Refusal;
using net::HttpResponse;
using net::Now;
using net::WallMs;
using platform::Outcome;

// The store answers within milliseconds. One that refuses for this long is
// unlikely to recover within a caller's patience, and another instance may
// reach it, so the caller is told early.
constexpr auto kRefusedPatience = std::chrono::milliseconds(350);
constexpr int kStoreRetryMs = 60;
constexpr int kWriteTimeoutMs = 800;
// A cancellation waits this long for the lease under which it is recorded.
constexpr auto kLeaseWait = std::chrono::milliseconds(800);
// Time that an answer needs to reach its caller.
constexpr auto kAnswerMargin = std::chrono::milliseconds(200);
constexpr auto kDefaultDeadline = std::chrono::milliseconds(3000);
// Tells callers when a refused request is worth another try.
constexpr int kRetryAfterS = 1;
// The record of a rejection outlasts every write that an earlier attempt may
// have left behind. A lease is used for half of its time. The same holds for
// jobs that are cancelled before they are stored.
constexpr auto kRejectionLease = std::chrono::seconds(120);

constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;

Time DeadlineOf(const net::HttpRequest& request) {
  const std::string_view text = request.Header("deadline-ms");
  std::int64_t ms = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), ms);
  if (error != std::errc() || ms <= 0) {
    return Now() + kDefaultDeadline;
  }
  return Now() + std::chrono::milliseconds(ms);
}

HttpResponse NotRun(int status,
                    std::string_view reason,
                    int retry_after_s = kRetryAfterS) {
  HttpResponse response{.status = status,
                        .body = R"({"Error":")" + std::string(reason) + "\"}"};
  if (status == kUnavailable || status == StatusOf(Refusal::kOverloaded)) {
    response.headers.emplace_back("Retry-After", std::to_string(retry_after_s));
  }
  return response;
}

HttpResponse Unknown() {
  return {.status = kGatewayTimeout, .body = R"({"Error":"outcome_unknown"})"};
}

// The record of a job that was cancelled before it was stored, in place of that
// of a rejection for load. It binds the team that cancelled only.
std::string CancelledRecord(const TeamId& team) {
  return nlohmann::json{{"cancelled_by", team.str()}}.dump();
}

// Stores the record that bars all writes of a job that is not stored.
platform::Transaction BarringTransaction(const jobs::JobId& job,
                                         std::string record,
                                         std::uint64_t lease) {
  platform::Transaction transaction;
  transaction.conditions = {{KeyOf(kJobPrefix, job), 0},
                            {KeyOf(kEndedJobPrefix, job), 0}};
  transaction.puts.push_back(
      {KeyOf(kRejectedPrefix, job), std::move(record), lease});
  return transaction;
}

// An open queue's jobs belong to no team; other jobs exist for their team only.
bool MayRead(const TeamId& owner, const TeamId& reader) {
  return owner.empty() || owner == reader;
}

}  // namespace

// Stores a job. A write without an answer may still be carried out, so from
// then on the outcome is unknown unless a later try finds the record.
struct Front::Submission : std::enable_shared_from_this<Submission> {
  Front& front;
  jobs::JobId job;
  jobs::QueueId queue;
  TeamId team;
  platform::Transaction transaction;
  Time begun = Now();
  Time deadline;
  bool unknown = false;
  Reply reply;

  Submission(Front& front,
             jobs::JobId job,
             jobs::QueueId queue,
             TeamId team,
             Time deadline,
             Reply reply)
      : front(front),
        job(std::move(job)),
        queue(std::move(queue)),
        team(std::move(team)),
        deadline(deadline),
        reply(std::move(reply)) {}

  void Try() {
    const auto left = ToMs(this->deadline - kAnswerMargin - Now());
    this->front.parts.store.Write(
        this->transaction,
        static_cast<int>(std::clamp<std::int64_t>(left, 1, kWriteTimeoutMs)),
        [self = this->shared_from_this()](const platform::WriteReply& result) {
          self->OnWritten(result);
        });
  }

  // A job that was rejected before and comes again: its record of the rejection
  // is replaced by that of the job. False if the job was stored before.
  bool ReplaceRejection(const std::vector<platform::Item>& items) {
    const std::string key = KeyOf(kRejectedPrefix, this->job);
    std::uint64_t rejection = 0;
    for (const platform::Item& item : items) {
      if (item.key == key) {
        rejection = item.revision;
      } else if (item.revision != 0) {
        return false;
      }
    }
    if (rejection == 0) {
      return false;
    }
    for (platform::Condition& condition : this->transaction.conditions) {
      if (condition.key == key) {
        condition.revision = rejection;
      }
    }
    this->transaction.erasures = {key};
    return true;
  }

  // It was cancelled while no record of it was there.
  [[nodiscard]] bool Cancelled(const std::vector<platform::Item>& items) const {
    return std::ranges::any_of(items, [this](const platform::Item& item) {
      return item.key == KeyOf(kRejectedPrefix, this->job) &&
             item.value == CancelledRecord(this->team);
    });
  }

  void OnWritten(const platform::WriteReply& result) {
    switch (result.outcome) {
      case Outcome::kOk:
        this->End("accepted", {.status = kOk, .body = "{}"});
        return;
      case Outcome::kConflict:
        if (this->Cancelled(result.items)) {
          this->End("cancelled",
                    NotRun(kUnavailable, "cancelled",
                           static_cast<int>(kRejectionLease.count())));
        } else if (this->ReplaceRejection(result.items)) {
          this->Try();
        } else {  // the same job was stored before
          this->End("accepted", {.status = kOk, .body = "{}"});
        }
        return;
      case Outcome::kUnknown:
        this->unknown = true;
        break;
      default:
        break;
    }
    const Time now = Now();
    const bool refused_long =
        !this->unknown && now - this->begun >= kRefusedPatience;
    if (refused_long || now + kAnswerMargin >= this->deadline) {
      if (this->unknown) {
        this->End("outcome_unknown", Unknown());
      } else {
        this->End("store_refused", NotRun(kUnavailable, "store_down"));
      }
      return;
    }
    this->front.parts.client.Delay(
        kStoreRetryMs, [self = this->shared_from_this()] { self->Try(); });
  }

  void End(std::string_view outcome, HttpResponse response) {
    const double ms = ToSeconds(Now() - this->begun) * 1000;
    this->front.parts.metrics.Delay("submit", ms);
    this->front.parts.metrics.Count(
        "submissions",
        {{"queue", this->queue.str()}, {"outcome", std::string(outcome)}});
    net::LogEvent("submit", {{"job", this->job.str()},
                             {"outcome", std::string(outcome)},
                             {"ms", std::to_string(static_cast<int>(ms))}});
    this->reply(std::move(response));
  }
};

Front::Front(Parts parts) : parts(std::move(parts)), peer(this->parts.client) {}

void Front::SetDirectory(std::shared_ptr<const ingress::Directory> next) {
  this->directory = std::move(next);
}

void Front::SetOwner(std::string address) {
  this->owner = std::make_shared<const std::string>(std::move(address));
}

std::string Front::OwnerAddress() const {
  const auto address = this->owner.load();
  return address == nullptr ? std::string() : *address;
}

void Front::Handle(const net::HttpRequest& request, net::HttpReply reply) {
  ++*this->open;
  Reply answer = [this, reply = std::move(reply),
                  open = this->open](HttpResponse response) {
    if (this->closing) {
      response.headers.emplace_back("Connection", "close");
    }
    reply(std::move(response));
    --*open;
  };
  const ingress::Call call{.method = request.method,
                           .host = std::string(request.Header("host")),
                           .path = request.path,
                           .key = std::string(net::BearerSecret(request))};
  const auto current = this->directory.load();
  if (current == nullptr) {
    this->Refuse(call, Refusal::kNoConfig, 0, answer);
    return;
  }
  const std::uint64_t version = current->config().version;
  const auto admitted = current->Admit(call);
  if (!admitted) {
    this->Refuse(call, admitted.error(), version, answer);
    return;
  }
  this->parts.metrics.Count("calls");
  switch (admitted->verb) {
    case ingress::Verb::kSubmit:
      this->Submit(request, call, *admitted, version, std::move(answer));
      break;
    case ingress::Verb::kState:
      this->ReportState(*admitted, std::move(answer));
      break;
    case ingress::Verb::kCancel:
      this->Cancel(*admitted, answer);
      break;
    case ingress::Verb::kPending:
      this->ReportPending(*admitted, std::move(answer));
      break;
  }
}

void Front::Refuse(const ingress::Call& call,
                   Refusal refusal,
                   std::uint64_t version,
                   const Reply& reply) {
  const std::string reason(NameOf(refusal));
  this->parts.metrics.Count("refusals", {{"reason", reason}});
  net::LogEvent("refuse", {{"path", call.path},
                           {"host", call.host},
                           {"reason", reason},
                           {"config", std::to_string(version)}});
  reply(NotRun(StatusOf(refusal), reason));
}

void Front::Submit(const net::HttpRequest& request,
                   const ingress::Call& call,
                   const Admitted& admitted,
                   std::uint64_t version,
                   Reply reply) {
  auto decoded = platform::DecodeJob(request.body);
  if (decoded) {
    decoded->id = admitted.job;
    decoded->queue = *admitted.queue;
    decoded->team = admitted.team;
    decoded->accepted_ms = WallMs();
  }
  const auto checked = decoded ? CheckSpec(*decoded)
                               : Result<void>(tl::unexpected(decoded.error()));
  if (!checked) {
    net::LogEvent("bad_job", {{"job", admitted.job.str()},
                              {"error", checked.error().Text()}});
    this->Refuse(call, Refusal::kBadJob, version, reply);
    return;
  }
  if (!this->store_reachable) {
    this->Refuse(call, Refusal::kStoreDown, version, reply);
    return;
  }
  auto submission = std::make_shared<Submission>(
      *this, admitted.job, admitted.queue->id, admitted.team,
      DeadlineOf(request), std::move(reply));
  const std::string key = KeyOf(kJobPrefix, admitted.job);
  submission->transaction.conditions = {
      {key, 0},
      {KeyOf(kEndedJobPrefix, admitted.job), 0},
      {KeyOf(kRejectedPrefix, admitted.job), 0}};
  submission->transaction.puts.push_back({key, EncodeSpec(*decoded), 0});
  std::optional<admit::Rejection> rejection;
  {
    const std::lock_guard lock(this->mutex);
    rejection = this->admission.Check(*decoded, Now());
  }
  if (rejection) {
    this->Reject(submission, *rejection);
  } else {
    submission->Try();
  }
}

void Front::SetLoad(admit::LoadReport report) {
  const std::lock_guard lock(this->mutex);
  this->admission.OnReport(std::move(report), Now());
}

std::optional<std::uint64_t> Front::LeaseForRejection() {
  const std::lock_guard lock(this->mutex);
  RejectionLease& lease = this->rejection_lease;
  const bool fresh =
      lease.id != 0 && Now() - lease.created < kRejectionLease / 2;
  if (!fresh && !std::exchange(lease.pending, true)) {
    this->parts.store.CreateLease(
        ToMs(kRejectionLease),
        [this, sent = Now()](const platform::LeaseReply& reply) {
          const std::lock_guard relock(this->mutex);
          this->rejection_lease = {
              .id = reply.outcome == Outcome::kOk ? reply.lease : 0,
              .created = sent};
        });
  }
  return fresh ? std::optional(lease.id) : std::nullopt;
}

void Front::DropRejectionLease() {
  const std::lock_guard lock(this->mutex);
  this->rejection_lease.id = 0;
}

// The promise that a rejected job does not run holds only once its record is
// stored: a write of an earlier attempt without an answer may still be under
// way.
void Front::Reject(const std::shared_ptr<Submission>& submission,
                   const admit::Rejection& rejection) {
  const auto lease = this->LeaseForRejection();
  if (!lease) {
    submission->Try();
    return;
  }
  this->parts.store.Write(
      BarringTransaction(submission->job, "{}", *lease), kWriteTimeoutMs,
      [this, submission, rejection](const platform::WriteReply& result) {
        if (result.outcome != Outcome::kOk) {
          if (result.outcome == Outcome::kMissing) {
            this->DropRejectionLease();
          }
          submission->Try();
          return;
        }
        this->parts.metrics.Count(
            "refusals",
            {{"reason", std::string(NameOf(Refusal::kOverloaded))}});
        net::LogEvent(
            "reject",
            {{"job", submission->job.str()},
             {"queue", submission->queue.str()},
             {"wait_ms", std::to_string(ToMs(rejection.wait))},
             {"retry_after_s", std::to_string(rejection.retry_after_s)}});
        submission->End("rejected", NotRun(StatusOf(Refusal::kOverloaded),
                                           NameOf(Refusal::kOverloaded),
                                           rejection.retry_after_s));
      });
}

void Front::AskOwner(const jobs::JobId& job,
                     std::function<void(JobAnswer)> done) {
  this->parts.ask_job(
      job, [this, job, done = std::move(done)](JobAnswer answer) mutable {
        const std::string address = this->OwnerAddress();
        if (answer.answered || address.empty()) {
          done(std::move(answer));
          return;
        }
        this->peer.AskJob(address, job, std::move(done));
      });
}

void Front::ReportState(const Admitted& admitted, Reply reply) {
  this->AskOwner(admitted.job, [this, job = admitted.job, team = admitted.team,
                                reply = std::move(reply)](JobAnswer answer) {
    if (!answer.answered || !answer.job) {
      // The owner may not have seen the job's record yet.
      this->ReadState(job, team, reply);
      return;
    }
    if (!MayRead(answer.job->team, team)) {
      reply({.status = kGone});
      return;
    }
    reply({.status = kOk, .body = platform::EncodeState(answer.job->state)});
  });
}

// Finds a stored job that a team may read; anyone else is told that it does not
// exist. The record of an accepted job is replaced by that of its end in one
// transaction, so one of two reads in this order finds it.
void Front::FindJob(const jobs::JobId& job,
                    const TeamId& team,
                    Reply reply,
                    FoundJob found,
                    std::function<void()> missing) {
  this->parts.store.Get(
      KeyOf(kJobPrefix, job),
      [this, job, team, reply = std::move(reply), found = std::move(found),
       missing = std::move(missing)](const platform::GetReply& accepted) {
        if (accepted.outcome == Outcome::kMissing) {
          this->FindEnded(job, team, reply, found, missing);
          return;
        }
        if (accepted.outcome != Outcome::kOk) {
          reply(NotRun(kUnavailable, "store_down"));
          return;
        }
        const auto spec = jobs::DecodeSpec(job, accepted.item.value);
        if (!spec) {
          net::LogEvent("job_unreadable", {{"error", spec.error().Text()}});
          reply(NotRun(kUnavailable, "job_unreadable"));
        } else if (!MayRead(spec->team, team)) {
          reply({.status = kGone});
        } else {
          found(std::nullopt, accepted.item.revision);
        }
      });
}

void Front::FindEnded(const jobs::JobId& job,
                      const TeamId& team,
                      const Reply& reply,
                      const FoundJob& found,
                      const std::function<void()>& missing) {
  this->parts.store.Get(
      KeyOf(kEndedJobPrefix, job),
      [job, team, reply, found, missing](const platform::GetReply& ended) {
        if (ended.outcome == Outcome::kMissing && missing) {
          missing();
          return;
        }
        if (ended.outcome == Outcome::kMissing) {
          net::LogEvent("state_gone", {{"job", job.str()}});
          reply({.status = kGone});
          return;
        }
        if (ended.outcome != Outcome::kOk) {
          reply(NotRun(kUnavailable, "store_down"));
          return;
        }
        const auto view = jobs::DecodeEnded(ended.item.value);
        if (!view) {
          net::LogEvent("job_unreadable",
                        {{"job", job.str()}, {"error", view.error().Text()}});
          reply(NotRun(kUnavailable, "job_unreadable"));
        } else if (!MayRead(view->team, team)) {
          reply({.status = kGone});
        } else {
          found(view->state, ended.item.revision);
        }
      });
}

void Front::ReadState(const jobs::JobId& job,
                      const TeamId& team,
                      const Reply& reply) {
  this->parts.metrics.Count("state_reads");
  this->FindJob(
      job, team, reply,
      [this, job, team, reply](std::optional<jobs::JobState> ended,
                               std::uint64_t /*revision*/) {
        if (ended) {
          reply({.status = kOk, .body = platform::EncodeState(*ended)});
        } else {
          this->ReadProgress(job, team, reply);
        }
      });
}

void Front::ReadProgress(const jobs::JobId& job,
                         const TeamId& team,
                         const Reply& reply) {
  this->parts.store.Get(
      KeyOf(kProgressPrefix, job),
      [this, job, team, reply](const platform::GetReply& progress) {
        if (progress.outcome == Outcome::kMissing) {
          // It has not begun, or it has ended since its record was read.
          const Reply queued = [reply](HttpResponse response) {
            reply(response.status == kGone
                      ? HttpResponse{.status = kOk,
                                     .body = platform::EncodeState(
                                         jobs::JobState::kQueued)}
                      : std::move(response));
          };
          this->FindEnded(
              job, team, queued,
              [reply](std::optional<jobs::JobState> ended,
                      std::uint64_t /*revision*/) {
                reply({.status = kOk, .body = platform::EncodeState(*ended)});
              });
          return;
        }
        if (progress.outcome != Outcome::kOk) {
          reply(NotRun(kUnavailable, "store_down"));
          return;
        }
        const auto state = jobs::DecodeState(progress.item.value);
        if (!state) {
          net::LogEvent("job_unreadable",
                        {{"job", job.str()}, {"error", state.error().Text()}});
          reply(NotRun(kUnavailable, "job_unreadable"));
          return;
        }
        reply({.status = kOk, .body = platform::EncodeState(*state)});
      });
}

void Front::Cancel(const Admitted& admitted, const Reply& reply) {
  const jobs::JobId job = admitted.job;
  this->FindJob(
      job, admitted.team, reply,
      [this, admitted, reply](std::optional<jobs::JobState> ended,
                              std::uint64_t revision) {
        if (ended) {
          reply({.status = kOk, .body = "{}"});
        } else {
          this->StoreCancel(admitted, revision, reply);
        }
      },
      [this, admitted, reply] {
        this->CancelMissing(admitted, reply, Now() + kLeaseWait);
      });
}

// A submission that had no answer may still be carried out, so that the job is
// gone holds only once a record is stored that bars it.
void Front::CancelMissing(const Admitted& admitted,
                          const Reply& reply,
                          Time lease_by) {
  const auto lease = this->LeaseForRejection();
  if (!lease && Now() >= lease_by) {
    reply(NotRun(kUnavailable, "store_down"));
    return;
  }
  if (!lease) {
    this->parts.client.Delay(kStoreRetryMs, [this, admitted, reply, lease_by] {
      this->CancelMissing(admitted, reply, lease_by);
    });
    return;
  }
  const jobs::JobId job = admitted.job;
  this->parts.store.Write(
      BarringTransaction(job, CancelledRecord(admitted.team), *lease),
      kWriteTimeoutMs,
      [this, job, admitted, reply](const platform::WriteReply& result) {
        switch (result.outcome) {
          case Outcome::kOk:
            net::LogEvent("cancel",
                          {{"job", job.str()}, {"outcome", "not_submitted"}});
            reply({.status = kGone});
            return;
          case Outcome::kConflict:
            this->Cancel(admitted, reply);  // it has been stored meanwhile
            return;
          case Outcome::kMissing:
            this->DropRejectionLease();
            break;
          default:
            break;
        }
        reply(result.outcome == Outcome::kUnknown
                  ? Unknown()
                  : NotRun(kUnavailable, "store_down"));
      });
}

// The record of the job is a condition, so that no cancellation outlives the
// job that it belongs to.
void Front::StoreCancel(const Admitted& admitted,
                        std::uint64_t revision,
                        const Reply& reply) {
  const jobs::JobId job = admitted.job;
  platform::Transaction transaction;
  transaction.conditions.push_back({KeyOf(kJobPrefix, job), revision});
  transaction.puts.push_back({KeyOf(kCancelPrefix, job), "{}", 0});
  this->parts.store.Write(
      transaction, kWriteTimeoutMs,
      [this, job, admitted, reply](const platform::WriteReply& result) {
        if (result.outcome == Outcome::kConflict) {
          this->Cancel(admitted, reply);  // it has ended meanwhile
          return;
        }
        const bool stored = result.outcome == Outcome::kOk;
        net::LogEvent("cancel",
                      {{"job", job.str()},
                       {"outcome", stored ? "stored" : "not_stored"}});
        if (result.outcome == Outcome::kUnknown) {
          reply(Unknown());
        } else if (!stored) {
          reply(NotRun(kUnavailable, "store_down"));
        } else {
          this->parts.tell_cancel(job);
          if (const std::string address = this->OwnerAddress();
              !address.empty()) {
            this->peer.TellCancel(address, job);
          }
          reply({.status = kOk, .body = "{}"});
        }
      });
}

void Front::ReportPending(const Admitted& admitted, Reply reply) {
  const jobs::QueueId queue = admitted.queue->id;
  const auto finish = [reply = std::move(reply)](const PendingAnswer& answer) {
    reply(answer.answered
              ? HttpResponse{.status = kOk,
                             .body = platform::EncodePending(answer.jobs)}
              : NotRun(kUnavailable, "no_owner"));
  };
  this->parts.ask_pending(queue,
                          [this, queue, finish](const PendingAnswer& answer) {
                            const std::string address = this->OwnerAddress();
                            if (answer.answered || address.empty()) {
                              finish(answer);
                              return;
                            }
                            this->peer.AskPending(address, queue, finish);
                          });
}

}  // namespace kch::app
