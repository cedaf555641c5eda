#include "engine/entry.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "maintain/record.h"

namespace kch::engine {
namespace {

// Well under the freshness bound, so that one lost read does not stop starts.
constexpr Duration kProbeInterval = std::chrono::milliseconds(700);
// A read of the head without a reply is sent again after this time.
constexpr Duration kProbeTimeout = std::chrono::seconds(1);
constexpr Duration kObserverTimeout = std::chrono::seconds(5);
constexpr Duration kConfigRequestInterval = std::chrono::milliseconds(200);
constexpr Duration kInForceTimeout = std::chrono::seconds(2);
constexpr std::string_view kPoolPrefix = "pool/";

bool ProvesContact(const StoreReply& reply) {
  return reply.status == StoreStatus::kOk ||
         reply.status == StoreStatus::kConflict;
}

}  // namespace

// Dispatches each kind of event to the component that handles it.
struct EventVisitor {
  Entry& entry;
  Time now;

  void operator()(CallerRequest& event) const {
    this->entry.frontend.OnRequest(std::move(event), this->now);
  }
  void operator()(const CallerCancel& event) const {
    this->entry.frontend.OnCancel(event.call);
  }
  void operator()(const CancelRequest& event) const {
    this->entry.frontend.OnCancelRequest(event, this->now);
  }
  void operator()(OperatorChange& event) const {
    this->entry.calls_by_change.emplace(event.proposal.change_id, event.call);
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
    this->entry.job_scheduler.OnAttemptEnded(std::move(event.result),
                                             this->now);
  }
  void operator()(const WorkerReport& event) const {
    this->entry.job_scheduler.OnReport(event, this->now);
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

// Dispatches each kind of message to the component that handles it.
struct MessageVisitor {
  Entry& entry;
  const Message& message;
  Time now;

  void operator()(const Heartbeat& body) const {
    this->entry.OnHeartbeat(this->message, body, this->now);
  }
  void operator()(const Submit& body) const {
    this->entry.job_scheduler.OnSubmit(this->message.from, body, this->now);
  }
  void operator()(const Started& body) const {
    this->entry.frontend.OnStarted(this->message.from, body);
  }
  void operator()(const JobOutcome& body) const {
    this->entry.frontend.OnOutcome(this->message.from, body, this->now);
  }
  void operator()(const CancelJob& body) const {
    this->entry.job_scheduler.OnCancel(this->message.from, body, this->now);
  }
  void operator()(const Delegate& body) const {
    this->entry.job_scheduler.OnDelegate(this->message.from, body, this->now);
  }
  void operator()(const DelegateEnd& body) const {
    this->entry.job_scheduler.OnAttemptEnded(body.result, this->now);
  }
  void operator()(const PermitAsk& body) const {
    EntryContext& context = this->entry.context;
    context.Apply(context.permits.OnTransferRequest(
        body.subject, {this->message.from, this->message.from_incarnation},
        body.count, this->now));
  }
  void operator()(const ConfigRequest& body) const {
    const auto& state = this->entry.context.follower.state();
    const auto& head = this->entry.latest_head;
    ConfigOffer offer;
    if (head && head->revision() == state->revision) {
      offer.head = config::Encode(*head);
    }
    if (offer.head.empty() || body.have < head->base_revision) {
      offer.state = config::Encode(*state);
    }
    this->entry.context.Send(this->message.from, std::move(offer));
  }
  void operator()(const ConfigOffer& body) const {
    if (!body.state.empty()) {
      auto state = config::Decode<config::State>(body.state);
      const std::uint64_t before = this->entry.context.follower.revision();
      if (state &&
          this->entry.context.follower.OfferBase(
              std::make_shared<const config::State>(*std::move(state)))) {
        this->entry.OnConfigOffered(before, this->now);
      }
    }
    if (!body.head.empty()) {
      this->entry.OfferHead(body.head, this->now);
    }
  }
  void operator()(const Observe& body) const {
    auto& link = this->entry.links[this->message.from];
    link.observe_until = this->now + kObserverTimeout;
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
    : context(self, settings, seed, now),
      job_scheduler(context),
      frontend(context, job_scheduler),
      seeds(std::move(seeds)) {}

Effects Entry::Step(Event event, Time now) {
  for (const member::PeerEvent& change : this->context.membership.OnStep(now)) {
    const auto row =
        this->context.membership.record().members.find(change.instance);
    switch (change.kind) {
      case member::PeerEventKind::kReconnect:
        if (row != this->context.membership.record().members.end()) {
          this->Connect(change.instance, row->second.peer_address, now);
        }
        this->context.EmitTrace(
            {.kind = TraceKind::kPeerReconnect, .text = change.instance.str()});
        break;
      case member::PeerEventKind::kDown:
        this->HandlePeerLoss(change.instance, now);
        break;
      case member::PeerEventKind::kRecovered:
        this->context.EmitTrace(
            {.kind = TraceKind::kPeerBack, .text = change.instance.str()});
        break;
    }
  }
  std::visit(EventVisitor{*this, now}, event);
  while (!this->context.loopback.empty()) {
    Message message;
    message.from = this->context.self();
    message.from_incarnation = this->context.holder().incarnation;
    message.body = std::move(this->context.loopback.front());
    this->context.loopback.pop_front();
    std::visit(MessageVisitor{*this, message, now}, message.body);
  }
  return std::exchange(this->context.effects, {});
}

bool Entry::Ready() const {
  return !this->context.stopping && this->joined &&
         this->context.follower.revision() > 0;
}

void Entry::Watch(const std::string& key) {
  if (this->watched_keys.insert(key).second) {
    this->context.effects.emplace_back(WatchKey{key});
  }
}

void Entry::Connect(const InstanceId& peer,
                    const std::string& address,
                    Time now) {
  PeerLink& link = this->links[peer];
  link.address = address;
  link.acked_at = now;
  this->context.effects.emplace_back(ConnectPeer{peer, address});
}

void Entry::OnMessage(Message message, Time now) {
  std::uint64_t& last_incarnation = this->context.incarnations[message.from];
  const std::uint64_t own = this->context.holder().incarnation;
  const bool stale =
      message.from_incarnation < last_incarnation ||
      (message.to_incarnation != 0 && message.to_incarnation != own);
  if (stale) {
    return;
  }
  if (message.from_incarnation > last_incarnation) {
    if (last_incarnation != 0) {
      // An earlier incarnation, which has ended.
      this->HandlePeerLoss(message.from, now);
    }
    last_incarnation = message.from_incarnation;
    this->links[message.from].received_sequence = 0;
    this->links[message.from].acked_sequence = 0;
  }
  std::visit(MessageVisitor{*this, message, now}, message.body);
}

void Entry::OnHeartbeat(const Message& message,
                        const Heartbeat& heartbeat,
                        Time now) {
  PeerLink& link = this->links[message.from];
  if (heartbeat.sequence <= link.received_sequence) {
    return;
  }
  link.received_sequence = heartbeat.sequence;
  if (heartbeat.heard > link.acked_sequence) {
    link.acked_sequence = heartbeat.heard;
    link.acked_at = now;
  }
  this->context.membership.OnHeartbeat(
      message.from, message.from_incarnation, heartbeat.sequence,
      heartbeat.config_revision, heartbeat.draining, now);
  auto& idle = this->context.peer_idle_permits[message.from];
  for (auto& [subject, count] : idle) {
    count = 0;
  }
  for (const IdlePermits& item : heartbeat.idle) {
    idle[item.subject] = item.count;
  }
  const permit::Holder peer{message.from, message.from_incarnation};
  for (const auto& [subject, count] : idle) {
    this->context.permits.OnPeerIdle(peer, subject, count);
  }
  std::erase_if(idle, [](const auto& item) { return item.second == 0; });
  this->job_scheduler.OnPeerUse(message.from, heartbeat.contended, now);
  this->job_scheduler.OnPeerPoolGenerations(heartbeat.pools, now);
  if (heartbeat.config_revision > this->context.follower.revision() &&
      now >= link.next_config_request) {
    link.next_config_request = now + kConfigRequestInterval;
    this->context.Send(message.from,
                       ConfigRequest{this->context.follower.revision()});
  }
}

void Entry::OnStore(StoreUser user, const StoreReply& reply, Time now) {
  if (ProvesContact(reply)) {
    this->context.store_contact = now;
  }
  switch (user) {
    case StoreUser::kFollower:
      this->OnFollowerReply(reply, now);
      break;
    case StoreUser::kProposer:
      this->ApplyProposer(this->proposer.OnReply(reply, now), now);
      break;
    case StoreUser::kPermits:
      this->context.Apply(this->context.permits.OnReply(reply, now));
      break;
    case StoreUser::kClaims:
      this->context.SendStoreOps(
          StoreUser::kClaims,
          this->context.claims.OnReply(reply, now, this->context.wall_s));
      break;
    case StoreUser::kMembers:
      this->OnMembersReply(reply, now);
      break;
    case StoreUser::kPools:
      this->job_scheduler.OnPoolReply(reply);
      this->OnRecord(reply, now);
      break;
  }
}

// Only a read of the configuration counts as contact with the store: a watch
// may deliver nothing while other operations are answered.
void Entry::OnFollowerReply(const StoreReply& reply, Time now) {
  if (reply.key == config::kHeadKey) {
    if (ProvesContact(reply) && this->probe_sent) {
      this->context.membership.OnStoreContact(*this->probe_sent);
    }
    this->probe_sent.reset();
    this->OnRecord(reply, now);
    const std::uint64_t head =
        this->latest_head ? this->latest_head->revision() : 0;
    this->head_read |= reply.status == StoreStatus::kOk &&
                       this->context.follower.revision() >= head;
    return;
  }
  this->base_pending = false;
  if (!reply.value) {
    return;
  }
  auto state = config::Decode<config::State>(*reply.value);
  const std::uint64_t before = this->context.follower.revision();
  if (state && this->context.follower.OfferBase(
                   std::make_shared<const config::State>(*std::move(state)))) {
    this->OnConfigOffered(before, now);
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
      this->job_scheduler.OnPool(PoolId(reply.key.substr(kPoolPrefix.size())),
                                 reply.version, *record, now);
    }
  }
}

void Entry::OfferHead(const std::string& text, Time now) {
  auto head = config::Decode<config::Head>(text);
  if (!head) {
    return;
  }
  const std::uint64_t before = this->context.follower.revision();
  if (!this->latest_head || head->revision() > this->latest_head->revision()) {
    this->latest_head = *head;
  }
  if (this->context.follower.OfferHead(*head)) {
    this->OnConfigOffered(before, now);
  }
}

void Entry::OnConfigOffered(std::uint64_t before, Time now) {
  const auto& wanted = this->context.follower.required_base();
  if (wanted && !this->base_pending) {
    this->base_pending = true;
    this->context.SendStoreOps(StoreUser::kFollower,
                               {StoreGet{config::BaseKey(*wanted)}});
  }
  const config::State& state = this->context.state();
  if (state.revision == before) {
    return;
  }
  for (const auto& [id, zone] : state.zones) {
    if (zone.revision > before) {
      this->context.EmitTrace({.kind = zone.value.in_service
                                           ? TraceKind::kZoneIn
                                           : TraceKind::kZoneOut,
                               .zone = id.str()});
    }
  }
  for (const auto& [instance, retirement] : state.retirements) {
    this->context.membership.OnRetired(instance, retirement.value.incarnation);
  }
  for (const auto& [id, pool] : state.pools) {
    this->Watch(std::string(kPoolPrefix) + id.str());
  }
  this->context.EmitTrace(
      {.kind = TraceKind::kConfigApplied,
       .text = "revision " + std::to_string(state.revision)});
  this->job_scheduler.OnConfig(now);
  // Operators wait for the heartbeats that report where the change is in force.
  this->next_heartbeat = now;
}

void Entry::ApplyProposer(config::ProposerEffects changes, Time now) {
  this->context.SendStoreOps(StoreUser::kProposer,
                             std::move(changes.operations));
  const std::uint64_t before = this->context.follower.revision();
  for (const config::Head& head : changes.heads) {
    if (!this->latest_head || head.revision() > this->latest_head->revision()) {
      this->latest_head = head;
    }
    if (this->context.follower.OfferHead(head)) {
      this->OnConfigOffered(before, now);
    }
  }
  for (config::Finished& finished : changes.finished) {
    const auto call = this->calls_by_change.find(finished.change_id);
    if (call == this->calls_by_change.end()) {
      continue;
    }
    const CallId number = call->second;
    this->calls_by_change.erase(call);
    const auto* accepted = std::get_if<config::Accepted>(&finished.outcome);
    this->context.EmitTrace(
        {.kind = TraceKind::kChangeDecided,
         .text = finished.change_id +
                 (accepted != nullptr ? " accepted" : " refused")});
    if (accepted == nullptr) {
      this->context.effects.emplace_back(
          ReplyOperator{number, std::move(finished.outcome), {}, {}});
      continue;
    }
    this->BroadcastHead();
    this->pending_changes.push_back(
        {number, finished.outcome, accepted->revision, now + kInForceTimeout});
  }
  this->CheckPendingChanges(now);
}

void Entry::BroadcastHead() {
  if (!this->latest_head) {
    return;
  }
  const std::string text = config::Encode(*this->latest_head);
  for (const auto& [instance, row] :
       this->context.membership.record().members) {
    if (instance != this->context.self()) {
      this->context.Send(instance, ConfigOffer{text, {}});
    }
  }
}

std::vector<InstanceId> Entry::MembersByRevision(std::uint64_t revision,
                                                 bool in_force) const {
  std::vector<InstanceId> result;
  for (const auto& [instance, row] :
       this->context.membership.record().members) {
    const std::uint64_t applied =
        instance == this->context.self()
            ? this->context.follower.revision()
            : this->context.membership.config_revision_of(instance);
    if ((applied >= revision) == in_force) {
      result.push_back(instance);
    }
  }
  return result;
}

// Answers an accepted change once it is in force at all members, or after a
// timeout with the instances that have not reported it. Without a majority the
// outcome is unknown instead of accepted: if the store fails now, the other
// instances could continue under the old configuration, since they are in
// contact with a majority among themselves.
void Entry::CheckPendingChanges(Time now) {
  std::erase_if(this->pending_changes, [&](PendingChange& item) {
    auto pending = this->MembersByRevision(item.revision, false);
    auto in_force = this->MembersByRevision(item.revision, true);
    // Without members this entry has not read its own row yet.
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
    this->context.effects.emplace_back(
        ReplyOperator{item.call, std::move(item.outcome), std::move(in_force),
                      std::move(pending)});
    return true;
  });
}

void Entry::OnVmList(const VmList& list, Time now) {
  this->context.membership.OnVmList(list.version, list.live);
  if (this->context.leaving != list.leaving) {
    this->context.leaving = list.leaving;
    this->job_scheduler.OnConfig(now);
  }
}

void Entry::OnTick(std::int64_t wall_s, Time now) {
  this->context.wall_s = wall_s;
  this->Watch(std::string(config::kHeadKey));
  this->Watch(std::string(member::kRecordKey));
  this->ProbeStore(now);
  this->CheckMembers(now);
  this->CheckPeers(now);
  this->ApplyProposer(this->proposer.OnStep(now), now);
  this->context.Apply(this->context.permits.Tick(now));
  this->job_scheduler.Tick(now);
  this->frontend.Tick(now);
  if (now >= this->next_heartbeat) {
    this->next_heartbeat = now + member::kHeartbeatInterval;
    this->SendHeartbeats(now);
  }
  this->TraceFreshness(now);
  this->CheckExit(now);
}

void Entry::ProbeStore(Time now) {
  const bool lost = this->probe_sent && now - *this->probe_sent > kProbeTimeout;
  if (now >= this->next_probe && (!this->probe_sent || lost)) {
    this->probe_sent = now;
    this->next_probe = now + kProbeInterval;
    this->context.SendStoreOps(StoreUser::kFollower,
                               {StoreGet{std::string(config::kHeadKey)}});
  }
  const bool behind = this->context.membership.newest_config_revision() >
                      this->context.follower.revision();
  if (!behind) {
    this->context.behind_since.reset();
  } else if (!this->context.behind_since) {
    this->context.behind_since = now;
  }
}

void Entry::TraceFreshness(Time now) {
  const bool fresh = this->context.Fresh(now);
  if (fresh != this->was_fresh) {
    this->was_fresh = fresh;
    this->context.EmitTrace(
        {.kind = fresh ? TraceKind::kFresh : TraceKind::kNotFresh});
  }
}

void Entry::OnStop(Time now) {
  if (this->stop_started_at) {
    return;
  }
  this->stop_started_at = now;
  this->context.stopping = true;
  this->context.membership.SetDraining(true);
  this->next_members_request = now;
  this->context.EmitTrace({.kind = TraceKind::kDraining});
  this->job_scheduler.Stop(now);
  this->SendHeartbeats(now);
}

// Completes the shutdown: tasks and callers first, then permits, then the
// member row.
void Entry::CheckExit(Time now) {
  if (!this->stop_started_at || this->exited) {
    return;
  }
  const Duration age = now - *this->stop_started_at;
  const bool idle = this->job_scheduler.running() == 0 &&
                    !this->job_scheduler.HasClaimedQueuedJobs() &&
                    this->frontend.size() == 0;
  if (!this->release_started_at &&
      ((idle && age >= this->context.settings.min_drain) ||
       age >= this->context.settings.max_drain)) {
    this->release_started_at = now;
    this->context.Apply(this->context.permits.ReleaseAll(now));
  }
  if (!this->release_started_at) {
    return;
  }
  const bool timed_out =
      now - *this->release_started_at > this->context.settings.release_timeout;
  if (this->left || timed_out) {
    this->exited = true;
    this->context.effects.emplace_back(Exit{});
  }
}

}  // namespace kch::engine
