// Entry: member record, peer connections and heartbeats.
#include <algorithm>
#include <utility>

#include "engine/entry.h"

namespace kch::engine {
namespace {

constexpr Duration kMembersRequestInterval = std::chrono::milliseconds(500);

}  // namespace

void Entry::OnMembers(std::uint64_t version,
                      const member::Record& record,
                      Time now) {
  if (version < this->members_version) {
    return;
  }
  const auto before = this->context.membership.record().members;
  this->members_version = version;
  this->members_read = true;
  this->context.membership.OnRecord(version, record, now);
  for (const auto& [instance, row] : before) {
    const auto found = record.members.find(instance);
    const bool same = found != record.members.end() &&
                      found->second.incarnation == row.incarnation;
    if (!same && instance != this->context.self()) {
      this->HandlePeerLoss(instance, now);
      if (found == record.members.end()) {
        this->context.effects.emplace_back(DropPeer{instance});
      }
    }
  }
  for (const auto& [instance, row] : record.members) {
    if (instance == this->context.self()) {
      continue;
    }
    const auto link = this->links.find(instance);
    if (link == this->links.end() || link->second.address != row.peer_address) {
      this->Connect(instance, row.peer_address, now);
    }
  }
  const auto own = record.members.find(this->context.self());
  const bool listed =
      own != record.members.end() &&
      own->second.incarnation == this->context.holder().incarnation;
  if (listed && !this->joined) {
    this->joined = true;
    this->context.EmitTrace({.kind = TraceKind::kJoined});
  }
  // Reclaims the permits of stopped holders.
  for (const auto& [instance, stop] : record.stopped) {
    const permit::Holder holder{instance, stop.incarnation};
    if (this->retired_holders.insert(holder).second) {
      this->context.Apply(this->context.permits.Retire(holder, now));
      this->context.EmitTrace(
          {.kind = TraceKind::kInstanceStopped,
           .text = instance.str() + " " + std::string(NameOf(stop.kind))});
    }
  }
}

void Entry::OnMembersReply(const StoreReply& reply, Time now) {
  this->members_request_pending = false;
  if (!reply.is_write) {
    if (reply.status == StoreStatus::kOk && !reply.value) {
      this->members_read = true;  // no entry has joined yet
    }
    this->OnRecord(reply, now);
  } else if (reply.status == StoreStatus::kOk && this->release_started_at) {
    this->left = true;
    this->context.EmitTrace({.kind = TraceKind::kLeft});
  }
  if (reply.status != StoreStatus::kOk || reply.is_write) {
    // Reads the record again after a write of this or of another instance.
    this->members_read = false;
    this->next_members_request = std::max(
        this->next_members_request, reply.status == StoreStatus::kUnavailable
                                        ? now + kMembersRequestInterval
                                        : now);
  }
}

void Entry::WriteMembers(const member::Record& record) {
  this->members_request_pending = true;
  this->context.SendStoreOps(
      StoreUser::kMembers,
      {StoreCas{std::string(member::kRecordKey), this->members_version,
                member::Encode(record)}});
}

// Maintains this entry's row and removes the rows of instances proved to have
// stopped.
void Entry::CheckMembers(Time now) {
  if (this->members_request_pending || now < this->next_members_request ||
      this->left) {
    return;
  }
  this->next_members_request = now + kMembersRequestInterval;
  if (!this->members_read) {
    this->members_request_pending = true;
    this->context.SendStoreOps(StoreUser::kMembers,
                               {StoreGet{std::string(member::kRecordKey)}});
    return;
  }
  const member::Record& record = this->context.membership.record();
  if (this->release_started_at) {
    if (this->context.permits.AllReleased()) {
      this->WriteMembers(member::Leave(record, this->context.self(),
                                       this->context.holder().incarnation));
    }
    return;
  }
  if (this->context.membership.IsSuperseded()) {
    this->exited = true;
    this->context.EmitTrace(
        {.kind = TraceKind::kLeft,
         .text = "a newer instance of this name has joined"});
    this->context.effects.emplace_back(Exit{});
    return;
  }
  const auto own = record.members.find(this->context.self());
  const bool draining = this->stop_started_at.has_value();
  // A member counts towards its peers' majority contact, so it must have
  // applied every configuration that was accepted before it joins.
  if (!this->head_read) {
    return;
  }
  if (own == record.members.end() ||
      own->second.incarnation != this->context.holder().incarnation ||
      own->second.draining != draining) {
    member::Member self = this->context.membership.self();
    self.draining = draining;
    if (auto joined = member::Join(record, self)) {
      this->WriteMembers(*joined);
    }
    return;
  }
  for (const auto& [instance, row] : record.members) {
    const auto proof =
        this->context.membership.StopProofOf(instance, row.incarnation);
    if (proof && instance != this->context.self()) {
      this->WriteMembers(member::Remove(record, *proof));
      return;
    }
  }
}

void Entry::HandlePeerLoss(const InstanceId& peer, Time now) {
  this->context.EmitTrace({.kind = TraceKind::kPeerDown, .text = peer.str()});
  this->context.peer_idle_permits.erase(peer);
  this->job_scheduler.OnPeerUse(peer, {}, now);
  this->job_scheduler.OnPeerDown(peer, now);
  this->frontend.OnPeerDown(peer, now);
}

// Replaces a connection over which the peer no longer receives this entry's
// heartbeats. The arrival of the peer's heartbeats cannot show this fault, the
// sequences that they acknowledge can.
void Entry::CheckPeers(Time now) {
  for (const SeedPeer& seed : this->seeds) {
    if (!this->joined && !this->links.contains(seed.instance)) {
      this->Connect(seed.instance, seed.address, now);
    }
  }
  for (auto& [peer, link] : this->links) {
    const auto& members = this->context.membership.record().members;
    if (!members.contains(peer) || now < link.next_reconnect ||
        now - link.acked_at <= member::kReconnectTimeout) {
      continue;
    }
    link.next_reconnect = now + member::kReconnectTimeout;
    this->context.effects.emplace_back(ConnectPeer{peer, link.address});
  }
}

void Entry::SendHeartbeats(Time now) {
  Heartbeat heartbeat;
  heartbeat.sequence = ++this->heartbeat_sequence;
  heartbeat.config_revision = this->context.follower.revision();
  heartbeat.draining = this->context.stopping;
  heartbeat.contended = this->job_scheduler.ContendedUse(now);
  heartbeat.leaving = this->job_scheduler.LeavingUse();
  heartbeat.pools = this->job_scheduler.PoolGenerations();
  for (const permit::Subject& subject : this->context.permits.Subjects()) {
    const std::uint32_t spare = this->context.permits.Spare(subject);
    if (spare > 0) {
      heartbeat.idle.push_back({subject, spare});
    }
  }
  const auto& members = this->context.membership.record().members;
  for (auto& [peer, link] : this->links) {
    const bool seed = std::ranges::any_of(
        this->seeds,
        [&peer = peer](const SeedPeer& s) { return s.instance == peer; });
    if (!members.contains(peer) && !(seed && !this->joined) &&
        now > link.observe_until) {
      continue;
    }
    heartbeat.heard = link.received_sequence;
    this->context.Send(peer, heartbeat);
    if (!this->joined) {
      this->context.Send(peer,
                         Observe{this->context.membership.self().peer_address});
    }
  }
}

}  // namespace kch::engine
