#include "engine/entry.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "maintain/record.h"

namespace kch::engine {
namespace {

// Well under the freshness bound, so that one lost read does not stop starts.
constexpr Duration kProbeInterval = std::chrono::milliseconds(700);
// A read of the head that stays out this long is sent again.
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr Duration kObserveFor = std::chrono::seconds(5);
constexpr Duration kConfigRequestInterval = std::chrono::milliseconds(200);
constexpr Duration kForceWait = std::chrono::seconds(2);
constexpr std::string_view kPoolPrefix = "pool/";

bool ProvesContact(const StoreReply& reply) {
  return reply.status == StoreStatus::kOk ||
         reply.status == StoreStatus::kConflict;
}

}  // namespace

// Hands each kind of event to its part of the entry.
struct EventVisitor {
  Entry& entry;
  Time now;

  void operator()(CallerRequest& event) const {
    this->entry.origin.OnRequest(std::move(event), this->now);
  }
  void operator()(const CallerCancel& event) const {
    this->entry.origin.OnCancel(event.call);
  }
  void operator()(const CancelRequest& event) const {
    this->entry.origin.OnCancelRequest(event, this->now);
  }
  void operator()(OperatorChange& event) const {
    this->entry.change_calls.emplace(event.proposal.change_id, event.call);
    this->entry.ApplyProposer(
        this->entry.proposer.Propose(std::move(event.proposal), this->now),
        this->now);
  }
  void operator()(PeerMessage& event) const {
    this->entry.OnMessage(std::move(event.message), this->now);
  }
  void operator()(const StoreCompletion& event) const {
    this->entry.OnStore(event.user, event.reply, this->now);
  }
  void operator()(const StoreWatchUpdate& event) const {
    this->entry.OnRecord(event.reply, this->now);
  }
  void operator()(AttemptEnded& event) const {
    this->entry.jobs.OnAttemptEnded(std::move(event.result), this->now);
  }
  void operator()(const WorkerReport& event) const {
    this->entry.jobs.OnReport(event, this->now);
  }
  void operator()(const VmList& event) const {
    this->entry.OnVmList(event, this->now);
  }
  void operator()(const Tick& event) const {
    this->entry.OnTick(event.wall_s, this->now);
  }
  void operator()(const Stop& /*event*/) const {
    this->entry.OnStop(this->now);
  }
};

// Hands each kind of message to its part of the entry.
struct MessageVisitor {
  Entry& entry;
  const Message& message;
  Time now;

  void operator()(const Heartbeat& body) const {
    this->entry.OnHeartbeat(this->message, body, this->now);
  }
  void operator()(const Submit& body) const {
    this->entry.jobs.OnSubmit(this->message.from, body, this->now);
  }
  void operator()(const Started& body) const {
    this->entry.origin.OnStarted(this->message.from, body);
  }
  void operator()(const JobOutcome& body) const {
    this->entry.origin.OnOutcome(this->message.from, body, this->now);
  }
  void operator()(const CancelJob& body) const {
    this->entry.jobs.OnCancel(this->message.from, body, this->now);
  }
  void operator()(const Delegate& body) const {
    this->entry.jobs.OnDelegate(this->message.from, body, this->now);
  }
  void operator()(const DelegateEnd& body) const {
    this->entry.jobs.OnAttemptEnded(body.result, this->now);
  }
  void operator()(const PermitAsk& body) const {
    Core& core = this->entry.core;
    core.Apply(core.permits.OnAsk(
        body.subject, {this->message.from, this->message.from_incarnation},
        body.count, this->now));
  }
  void operator()(const ConfigRequest& body) const {
    const auto& state = this->entry.core.follower.state();
    const auto& head = this->entry.latest_head;
    ConfigOffer offer;
    if (head && head->revision() == state->revision) {
      offer.head = config::Encode(*head);
    }
    if (offer.head.empty() || body.have < head->base_revision) {
      offer.state = config::Encode(*state);
    }
    this->entry.core.Send(this->message.from, std::move(offer));
  }
  void operator()(const ConfigOffer& body) const {
    if (!body.state.empty()) {
      auto state = config::Decode<config::State>(body.state);
      const std::uint64_t before = this->entry.core.follower.revision();
      if (state &&
          this->entry.core.follower.OfferBase(
              std::make_shared<const config::State>(*std::move(state)))) {
        this->entry.AfterOffer(before, this->now);
      }
    }
    if (!body.head.empty()) {
      this->entry.OfferHead(body.head, this->now);
    }
  }
  void operator()(const Observe& body) const {
    auto& link = this->entry.links[this->message.from];
    link.observe_until = this->now + kObserveFor;
    if (link.address != body.address) {
      this->entry.Connect(this->message.from, body.address, this->now);
    }
  }
};

Entry::Entry(const member::Member& self,
             std::vector<SeedPeer> seeds,
             const Settings& settings,
             Random::result_type seed,
             Time now)
    : core(self, settings, seed, now),
      jobs(core),
      origin(core, jobs),
      seeds(std::move(seeds)) {}

Effects Entry::Step(Event event, Time now) {
  for (const member::PeerEvent& change : this->core.membership.OnStep(now)) {
    const auto row =
        this->core.membership.record().members.find(change.instance);
    switch (change.kind) {
      case member::PeerEventKind::kReconnect:
        if (row != this->core.membership.record().members.end()) {
          this->Connect(change.instance, row->second.peer_address, now);
        }
        this->core.Note(
            {.kind = TraceKind::kPeerReconnect, .text = change.instance.str()});
        break;
      case member::PeerEventKind::kDown:
        this->LosePeer(change.instance, now);
        break;
      case member::PeerEventKind::kBack:
        this->core.Note(
            {.kind = TraceKind::kPeerBack, .text = change.instance.str()});
        break;
    }
  }
  std::visit(EventVisitor{*this, now}, event);
  while (!this->core.loopback.empty()) {
    Message message;
    message.from = this->core.self();
    message.from_incarnation = this->core.holder().incarnation;
    message.body = std::move(this->core.loopback.front());
    this->core.loopback.pop_front();
    std::visit(MessageVisitor{*this, message, now}, message.body);
  }
  return std::exchange(this->core.effects, {});
}

bool Entry::Ready() const {
  return !this->core.stopping && this->joined &&
         this->core.follower.revision() > 0;
}

void Entry::Watch(const std::string& key) {
  if (this->watched.insert(key).second) {
    this->core.effects.emplace_back(WatchKey{key});
  }
}

void Entry::Connect(const InstanceId& peer,
                    const std::string& address,
                    Time now) {
  PeerLink& link = this->links[peer];
  link.address = address;
  link.echoed_at = now;
  this->core.effects.emplace_back(ConnectPeer{peer, address});
}

void Entry::OnMessage(Message message, Time now) {
  std::uint64_t& known = this->core.incarnations[message.from];
  const std::uint64_t own = this->core.holder().incarnation;
  const bool stale =
      message.from_incarnation < known ||
      (message.to_incarnation != 0 && message.to_incarnation != own);
  if (stale) {
    return;
  }
  if (message.from_incarnation > known) {
    if (known != 0) {
      this->LosePeer(message.from, now);  // an earlier run, which has ended
    }
    known = message.from_incarnation;
    this->links[message.from].received = 0;
    this->links[message.from].echoed = 0;
  }
  std::visit(MessageVisitor{*this, message, now}, message.body);
}

void Entry::OnHeartbeat(const Message& message,
                        const Heartbeat& beat,
                        Time now) {
  PeerLink& link = this->links[message.from];
  if (beat.sequence <= link.received) {
    return;
  }
  link.received = beat.sequence;
  if (beat.heard > link.echoed) {
    link.echoed = beat.heard;
    link.echoed_at = now;
  }
  this->core.membership.OnHeartbeat(message.from, message.from_incarnation,
                                    beat.sequence, beat.config_revision,
                                    beat.draining, now);
  auto& idle = this->core.peer_idle[message.from];
  for (auto& [subject, count] : idle) {
    count = 0;
  }
  for (const IdlePermits& item : beat.idle) {
    idle[item.subject] = item.count;
  }
  const permit::Holder peer{message.from, message.from_incarnation};
  for (const auto& [subject, count] : idle) {
    this->core.permits.OnPeerIdle(peer, subject, count);
  }
  std::erase_if(idle, [](const auto& item) { return item.second == 0; });
  this->jobs.OnPeerUse(message.from, beat.contended, now);
  this->jobs.OnPeerPools(beat.pools, now);
  if (beat.config_revision > this->core.follower.revision() &&
      now >= link.next_config_request) {
    link.next_config_request = now + kConfigRequestInterval;
    this->core.Send(message.from,
                    ConfigRequest{this->core.follower.revision()});
  }
}

void Entry::OnStore(StoreUser user, const StoreReply& reply, Time now) {
  if (ProvesContact(reply)) {
    this->core.store_contact = now;
  }
  switch (user) {
    case StoreUser::kFollower:
      this->OnFollowerReply(reply, now);
      break;
    case StoreUser::kProposer:
      this->ApplyProposer(this->proposer.OnReply(reply, now), now);
      break;
    case StoreUser::kPermits:
      this->core.Apply(this->core.permits.OnReply(reply, now));
      break;
    case StoreUser::kClaims:
      this->core.Request(
          StoreUser::kClaims,
          this->core.claims.OnReply(reply, now, this->core.wall_s));
      break;
    case StoreUser::kMembers:
      this->OnMembersReply(reply, now);
      break;
    case StoreUser::kPools:
      this->jobs.OnPoolReply(reply);
      this->OnRecord(reply, now);
      break;
  }
}

// Contact with the store means that the configuration was read: a watch may be
// silent while other operations are answered.
void Entry::OnFollowerReply(const StoreReply& reply, Time now) {
  if (reply.key == config::kHeadKey) {
    if (ProvesContact(reply) && this->probe_sent) {
      this->core.membership.OnStoreContact(*this->probe_sent);
    }
    this->probe_sent.reset();
    this->OnRecord(reply, now);
    const std::uint64_t head =
        this->latest_head ? this->latest_head->revision() : 0;
    this->head_read |= reply.status == StoreStatus::kOk &&
                       this->core.follower.revision() >= head;
    return;
  }
  this->base_pending = false;
  if (!reply.value) {
    return;
  }
  auto state = config::Decode<config::State>(*reply.value);
  const std::uint64_t before = this->core.follower.revision();
  if (state && this->core.follower.OfferBase(
                   std::make_shared<const config::State>(*std::move(state)))) {
    this->AfterOffer(before, now);
  }
}

void Entry::OnRecord(const StoreReply& reply, Time now) {
  if (reply.status != StoreStatus::kOk || !reply.value) {
    return;
  }
  if (reply.key == config::kHeadKey) {
    this->OfferHead(*reply.value, now);
  } else if (reply.key == member::kRecordKey) {
    if (auto record = member::Decode<member::Record>(*reply.value)) {
      this->OnMembers(reply.version, *record, now);
    }
  } else if (reply.key.starts_with(kPoolPrefix)) {
    if (auto record = maintain::Decode<maintain::PoolRecord>(*reply.value)) {
      this->jobs.OnPool(PoolId(reply.key.substr(kPoolPrefix.size())),
                        reply.version, *record, now);
    }
  }
}

void Entry::OfferHead(const std::string& text, Time now) {
  auto head = config::Decode<config::Head>(text);
  if (!head) {
    return;
  }
  const std::uint64_t before = this->core.follower.revision();
  if (!this->latest_head || head->revision() > this->latest_head->revision()) {
    this->latest_head = *head;
  }
  if (this->core.follower.OfferHead(*head)) {
    this->AfterOffer(before, now);
  }
}

void Entry::AfterOffer(std::uint64_t before, Time now) {
  const auto& wanted = this->core.follower.wanted_base();
  if (wanted && !this->base_pending) {
    this->base_pending = true;
    this->core.Request(StoreUser::kFollower,
                       {StoreGet{config::BaseKey(*wanted)}});
  }
  const config::State& state = this->core.state();
  if (state.revision == before) {
    return;
  }
  for (const auto& [id, zone] : state.zones) {
    if (zone.revision > before) {
      this->core.Note({.kind = zone.value.in_service ? TraceKind::kZoneIn
                                                     : TraceKind::kZoneOut,
                       .zone = id.str()});
    }
  }
  for (const auto& [instance, retirement] : state.retirements) {
    this->core.membership.OnRetired(instance, retirement.value.incarnation);
  }
  for (const auto& [id, pool] : state.pools) {
    this->Watch(std::string(kPoolPrefix) + id.str());
  }
  this->core.Note({.kind = TraceKind::kConfigApplied,
                   .text = "revision " + std::to_string(state.revision)});
  this->jobs.OnConfig(now);
  // Operators wait for the reports that tell where the change is in force.
  this->next_heartbeat = now;
}

void Entry::ApplyProposer(config::ProposerEffects changes, Time now) {
  this->core.Request(StoreUser::kProposer, std::move(changes.operations));
  const std::uint64_t before = this->core.follower.revision();
  for (const config::Head& head : changes.heads) {
    if (!this->latest_head || head.revision() > this->latest_head->revision()) {
      this->latest_head = head;
    }
    if (this->core.follower.OfferHead(head)) {
      this->AfterOffer(before, now);
    }
  }
  for (config::Finished& finished : changes.finished) {
    const auto call = this->change_calls.find(finished.change_id);
    if (call == this->change_calls.end()) {
      continue;
    }
    const CallId number = call->second;
    this->change_calls.erase(call);
    const auto* accepted = std::get_if<config::Accepted>(&finished.outcome);
    this->core.Note({.kind = TraceKind::kChangeDecided,
                     .text = finished.change_id +
                             (accepted != nullptr ? " accepted" : " refused")});
    if (accepted == nullptr) {
      this->core.effects.emplace_back(
          ReplyOperator{number, std::move(finished.outcome), {}, {}});
      continue;
    }
    this->RelayHead();
    this->awaiting.push_back(
        {number, finished.outcome, accepted->revision, now + kForceWait});
  }
  this->CheckForce(now);
}

void Entry::RelayHead() {
  if (!this->latest_head) {
    return;
  }
  const std::string text = config::Encode(*this->latest_head);
  for (const auto& [instance, row] : this->core.membership.record().members) {
    if (instance != this->core.self()) {
      this->core.Send(instance, ConfigOffer{text, {}});
    }
  }
}

std::vector<InstanceId> Entry::InForce(std::uint64_t revision,
                                       bool in_force) const {
  std::vector<InstanceId> result;
  for (const auto& [instance, row] : this->core.membership.record().members) {
    const std::uint64_t applied =
        instance == this->core.self()
            ? this->core.follower.revision()
            : this->core.membership.config_revision_of(instance);
    if ((applied >= revision) == in_force) {
      result.push_back(instance);
    }
  }
  return result;
}

// Answers an accepted change once it is in force everywhere, or after a bound
// with the instances that have not reported it. Without a majority it is not
// called accepted: if the store is lost now, the other instances could go on
// under the old configuration, since they hear a majority of each other.
void Entry::CheckForce(Time now) {
  std::erase_if(this->awaiting, [&](AwaitForce& item) {
    auto pending = this->InForce(item.revision, false);
    auto in_force = this->InForce(item.revision, true);
    // Without members this entry has not seen its own row yet.
    const bool everywhere = pending.empty() && !in_force.empty();
    if (!everywhere && now < item.until) {
      return false;
    }
    if (in_force.size() <= pending.size()) {
      item.outcome = config::Unknown{
          {ErrorKind::kUnknownOutcome,
           "the change is stored but not in force at most instances",
           "send the same change id again to learn its state"}};
    }
    this->core.effects.emplace_back(
        ReplyOperator{item.call, std::move(item.outcome), std::move(in_force),
                      std::move(pending)});
    return true;
  });
}

void Entry::OnVmList(const VmList& list, Time now) {
  this->core.membership.OnVmList(list.version, list.live);
  if (this->core.leaving != list.leaving) {
    this->core.leaving = list.leaving;
    this->jobs.OnConfig(now);
  }
}

void Entry::OnTick(std::int64_t wall_s, Time now) {
  this->core.wall_s = wall_s;
  this->Watch(std::string(config::kHeadKey));
  this->Watch(std::string(member::kRecordKey));
  this->CheckContact(now);
  this->CheckMembers(now);
  this->CheckPeers(now);
  this->ApplyProposer(this->proposer.OnStep(now), now);
  this->core.Apply(this->core.permits.Tick(now));
  this->jobs.Tick(now);
  this->origin.Tick(now);
  if (now >= this->next_heartbeat) {
    this->next_heartbeat = now + member::kHeartbeatInterval;
    this->SendHeartbeats(now);
  }
  this->NoteFreshness(now);
  this->CheckExit(now);
}

void Entry::CheckContact(Time now) {
  const bool lost = this->probe_sent && now - *this->probe_sent > kProbeTimeout;
  if (now >= this->next_probe && (!this->probe_sent || lost)) {
    this->probe_sent = now;
    this->next_probe = now + kProbeInterval;
    this->core.Request(StoreUser::kFollower,
                       {StoreGet{std::string(config::kHeadKey)}});
  }
  const bool behind = this->core.membership.newest_config_revision() >
                      this->core.follower.revision();
  if (!behind) {
    this->core.behind_since.reset();
  } else if (!this->core.behind_since) {
    this->core.behind_since = now;
  }
}

void Entry::NoteFreshness(Time now) {
  const bool fresh = this->core.Fresh(now);
  if (fresh != this->was_fresh) {
    this->was_fresh = fresh;
    this->core.Note({.kind = fresh ? TraceKind::kFresh : TraceKind::kNotFresh});
  }
}

void Entry::OnStop(Time now) {
  if (this->stop_began) {
    return;
  }
  this->stop_began = now;
  this->core.stopping = true;
  this->core.membership.SetDraining(true);
  this->next_members = now;
  this->core.Note({.kind = TraceKind::kDraining});
  this->jobs.Stop(now);
  this->SendHeartbeats(now);
}

// Ends the shutdown: tasks and callers first, then permits, then the row.
void Entry::CheckExit(Time now) {
  if (!this->stop_began || this->exited) {
    return;
  }
  const Duration age = now - *this->stop_began;
  const bool idle = this->jobs.running() == 0 && !this->jobs.HoldsClaims() &&
                    this->origin.size() == 0;
  if (!this->release_began && ((idle && age >= this->core.settings.min_drain) ||
                               age >= this->core.settings.max_drain)) {
    this->release_began = now;
    this->core.Apply(this->core.permits.Release(now));
  }
  if (!this->release_began) {
    return;
  }
  const bool timed_out =
      now - *this->release_began > this->core.settings.release_timeout;
  if (this->left || timed_out) {
    this->exited = true;
    this->core.effects.emplace_back(Exit{});
  }
}

}  // namespace kch::engine
