#include "wire/wire.h"

#include <limits>
#include <optional>
#include <utility>
#include <variant>

#include "peer.pb.h"
#include "wire/enum_number.h"

namespace kch::wire {
namespace {

using engine::Attempt;
using engine::Job;
using engine::Message;
using engine::Outcome;

void Put(const permit::Subject& from, Subject& to) {
  to.set_kind(ToNumber(from.kind));
  to.set_name(from.name);
}

bool Take(const Subject& from, permit::Subject& to) {
  const auto kind = ToEnum<permit::SubjectKind>(from.kind());
  to = {kind.value_or(permit::SubjectKind::kTeam), from.name()};
  return kind.has_value();
}

void Put(const Attempt& from, wire::Attempt& to) {
  to.set_task(from.task.str());
  to.set_vm(from.vm.str());
  to.set_address(from.address);
  to.set_lease_ms(from.lease_ms);
  to.mutable_holder()->set_instance(from.holder.instance.str());
  to.mutable_holder()->set_incarnation(from.holder.incarnation);
}

Attempt Take(const wire::Attempt& from) {
  return {.task = TaskId(from.task()),
          .vm = VmId(from.vm()),
          .address = from.address(),
          .lease_ms = from.lease_ms(),
          .holder = {InstanceId(from.holder().instance()),
                     from.holder().incarnation()}};
}

void Put(const Job& from, wire::Job& to) {
  to.set_id(from.id.str());
  to.set_request(from.request.str());
  to.set_team(from.team.str());
  to.set_profile(from.profile.str());
  to.set_pool(from.pool.str());
  to.set_key(from.key.str());
  to.set_key_revision(from.key_revision);
  to.set_config_revision(from.config_revision);
  to.set_repeatable(from.repeatable);
  to.set_attach_only(from.attach_only);
  to.set_cpus(from.resources.cpus);
  to.set_memory_mb(from.resources.memory_mb);
  to.set_accelerators(from.resources.accelerators);
  to.set_body(from.body);
}

Job Take(const wire::Job& from) {
  return {.id = TaskId(from.id()),
          .request = RequestId(from.request()),
          .team = TeamId(from.team()),
          .profile = ProfileId(from.profile()),
          .pool = PoolId(from.pool()),
          .key = KeyId(from.key()),
          .key_revision = from.key_revision(),
          .config_revision = from.config_revision(),
          .repeatable = from.repeatable(),
          .attach_only = from.attach_only(),
          .resources = {from.cpus(), from.memory_mb(), from.accelerators()},
          .body = from.body()};
}

void Put(const Outcome& from, wire::Outcome& to) {
  to.set_kind(ToNumber(from.kind));
  to.set_reason(ToNumber(from.reason));
  to.set_body(from.body);
  to.set_task(from.task.str());
  to.set_vm(from.vm.str());
  to.set_retry_after_ms(from.retry_after_ms);
}

bool Take(const wire::Outcome& from, Outcome& to) {
  const auto kind = ToEnum<engine::OutcomeKind>(from.kind());
  const auto reason = ToEnum<engine::Reason>(from.reason());
  to = {.kind = kind.value_or(engine::OutcomeKind::kUnknown),
        .reason = reason.value_or(engine::Reason::kNone),
        .body = from.body(),
        .task = TaskId(from.task()),
        .vm = VmId(from.vm()),
        .retry_after_ms = from.retry_after_ms()};
  return kind && reason;
}

// Writes each kind of body into an envelope.
struct PutBody {
  Envelope& to;

  void operator()(const engine::Heartbeat& from) const {
    Heartbeat& beat = *this->to.mutable_heartbeat();
    beat.set_sequence(from.sequence);
    beat.set_heard(from.heard);
    beat.set_config_revision(from.config_revision);
    beat.set_draining(from.draining);
    for (const engine::TeamUse& item : from.contended) {
      TeamUse& use = *beat.add_contended();
      use.set_team(item.team.str());
      use.set_slots(item.slots);
    }
    for (const engine::IdlePermits& item : from.idle) {
      IdlePermits& idle = *beat.add_idle();
      Put(item.subject, *idle.mutable_subject());
      idle.set_count(item.count);
    }
    for (const engine::VmUse& item : from.leaving) {
      VmUse& use = *beat.add_leaving();
      use.set_vm(item.vm.str());
      use.set_tasks(item.tasks);
    }
    for (const engine::PoolSeen& item : from.pools) {
      PoolSeen& seen = *beat.add_pools();
      seen.set_pool(item.pool.str());
      seen.set_generation(item.generation);
    }
  }
  void operator()(const engine::Submit& from) const {
    Put(from.job, *this->to.mutable_submit()->mutable_job());
    this->to.mutable_submit()->set_deadline_ms(from.deadline_ms);
    this->to.mutable_submit()->set_checkpoint(from.checkpoint);
  }
  void operator()(const engine::Started& from) const {
    this->to.mutable_started()->set_job(from.job.str());
    Put(from.attempt, *this->to.mutable_started()->mutable_attempt());
  }
  void operator()(const engine::JobOutcome& from) const {
    this->to.mutable_job_outcome()->set_job(from.job.str());
    Put(from.outcome, *this->to.mutable_job_outcome()->mutable_outcome());
  }
  void operator()(const engine::CancelJob& from) const {
    this->to.mutable_cancel_job()->set_job(from.job.str());
    this->to.mutable_cancel_job()->set_request(from.request.str());
  }
  void operator()(const engine::Delegate& from) const {
    Delegate& order = *this->to.mutable_delegate();
    Put(from.job, *order.mutable_job());
    Put(from.attempt, *order.mutable_attempt());
    order.set_checkpoint(from.checkpoint);
  }
  void operator()(const engine::DelegateEnd& from) const {
    Result& result = *this->to.mutable_delegate_end()->mutable_result();
    result.set_task(from.result.task.str());
    result.set_status(ToNumber(from.result.status));
    result.set_detail(from.result.detail);
    result.set_body(from.result.body);
  }
  void operator()(const engine::PermitAsk& from) const {
    Put(from.subject, *this->to.mutable_permit_ask()->mutable_subject());
    this->to.mutable_permit_ask()->set_count(from.count);
  }
  void operator()(const engine::ConfigRequest& from) const {
    this->to.mutable_config_request()->set_have(from.have);
  }
  void operator()(const engine::ConfigOffer& from) const {
    this->to.mutable_config_offer()->set_head(from.head);
    this->to.mutable_config_offer()->set_state(from.state);
  }
  void operator()(const engine::Observe& from) const {
    this->to.mutable_observe()->set_address(from.address);
  }
};

std::optional<engine::Heartbeat> Take(const Heartbeat& from) {
  engine::Heartbeat beat{.sequence = from.sequence(),
                         .heard = from.heard(),
                         .config_revision = from.config_revision(),
                         .draining = from.draining()};
  for (const TeamUse& item : from.contended()) {
    beat.contended.push_back({TeamId(item.team()), item.slots()});
  }
  for (const IdlePermits& item : from.idle()) {
    engine::IdlePermits idle{.count = item.count()};
    if (!Take(item.subject(), idle.subject)) {
      return std::nullopt;
    }
    beat.idle.push_back(std::move(idle));
  }
  for (const VmUse& item : from.leaving()) {
    beat.leaving.push_back({VmId(item.vm()), item.tasks()});
  }
  for (const PoolSeen& item : from.pools()) {
    beat.pools.push_back({PoolId(item.pool()), item.generation()});
  }
  return beat;
}

std::optional<engine::MessageBody> TakeBody(const Envelope& from) {
  switch (from.body_case()) {
    case Envelope::kHeartbeat:
      return Take(from.heartbeat());
    case Envelope::kSubmit:
      return engine::Submit{Take(from.submit().job()),
                            from.submit().deadline_ms(),
                            from.submit().checkpoint()};
    case Envelope::kStarted:
      return engine::Started{TaskId(from.started().job()),
                             Take(from.started().attempt())};
    case Envelope::kJobOutcome: {
      engine::JobOutcome answer{TaskId(from.job_outcome().job()), {}};
      if (!Take(from.job_outcome().outcome(), answer.outcome)) {
        return std::nullopt;
      }
      return answer;
    }
    case Envelope::kCancelJob:
      return engine::CancelJob{TaskId(from.cancel_job().job()),
                               RequestId(from.cancel_job().request())};
    case Envelope::kDelegate:
      return engine::Delegate{Take(from.delegate().job()),
                              Take(from.delegate().attempt()),
                              from.delegate().checkpoint()};
    case Envelope::kDelegateEnd: {
      const Result& result = from.delegate_end().result();
      const auto status = ToEnum<engine::AttemptStatus>(result.status());
      if (!status) {
        return std::nullopt;
      }
      return engine::DelegateEnd{
          {TaskId(result.task()), *status, result.detail(), result.body()}};
    }
    case Envelope::kPermitAsk: {
      engine::PermitAsk ask{.count = from.permit_ask().count()};
      if (!Take(from.permit_ask().subject(), ask.subject)) {
        return std::nullopt;
      }
      return ask;
    }
    case Envelope::kConfigRequest:
      return engine::ConfigRequest{from.config_request().have()};
    case Envelope::kConfigOffer:
      return engine::ConfigOffer{from.config_offer().head(),
                                 from.config_offer().state()};
    case Envelope::kObserve:
      return engine::Observe{from.observe().address()};
    case Envelope::BODY_NOT_SET:
      break;
  }
  return std::nullopt;
}

}  // namespace

std::string Encode(const Message& message) {
  Envelope envelope;
  envelope.set_from(message.from.str());
  envelope.set_from_incarnation(message.from_incarnation);
  envelope.set_to_incarnation(message.to_incarnation);
  std::visit(PutBody{envelope}, message.body);
  return envelope.SerializeAsString();
}

kch::Result<Message> Decode(std::string_view bytes) {
  Envelope envelope;
  const bool parsed =
      bytes.size() <= std::numeric_limits<int>::max() &&
      envelope.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
  auto body = parsed ? TakeBody(envelope) : std::nullopt;
  if (!body || envelope.from().empty()) {
    return Fail(ErrorKind::kCorrupt, "the bytes are no message of this version",
                "run the same version on all entries");
  }
  return Message{InstanceId(envelope.from()), envelope.from_incarnation(),
                 envelope.to_incarnation(), *std::move(body)};
}

}  // namespace kch::wire
