// Members, their connections and their reports.
#include <algorithm>
#include <utility>

#include "engine/entry.h"

namespace kch::engine {
namespace {

constexpr Duration kMembersInterval = std::chrono::milliseconds(500);

}  // namespace

void Entry::OnMembers(std::uint64_t version,
                      const member::Record& record,
                      Time now) {
  if (version < this->members_version) {
    return;
  }
  const auto before = this->core.membership.record().members;
  this->members_version = version;
  this->members_known = true;
  this->core.membership.OnRecord(version, record, now);
  for (const auto& [instance, row] : before) {
    const auto found = record.members.find(instance);
    const bool same = found != record.members.end() &&
                      found->second.incarnation == row.incarnation;
    if (!same && instance != this->core.self()) {
      this->LosePeer(instance, now);
      if (found == record.members.end()) {
        this->core.effects.emplace_back(DropPeer{instance});
      }
    }
  }
  for (const auto& [instance, row] : record.members) {
    if (instance == this->core.self()) {
      continue;
    }
    const auto link = this->links.find(instance);
    if (link == this->links.end() || link->second.address != row.peer_address) {
      this->Connect(instance, row.peer_address, now);
    }
  }
  const auto own = record.members.find(this->core.self());
  const bool listed =
      own != record.members.end() &&
      own->second.incarnation == this->core.holder().incarnation;
  if (listed && !this->joined) {
    this->joined = true;
    this->core.Note({.kind = TraceKind::kJoined});
  }
  // Permits of stopped holders are reclaimed.
  for (const auto& [instance, stop] : record.stopped) {
    const permit::Holder holder{instance, stop.incarnation};
    if (this->retired.insert(holder).second) {
      this->core.Apply(this->core.permits.Retire(holder, now));
      this->core.Note(
          {.kind = TraceKind::kInstanceStopped,
           .text = instance.str() + " " + std::string(NameOf(stop.kind))});
    }
  }
}

void Entry::OnMembersReply(const StoreReply& reply, Time now) {
  this->members_pending = false;
  if (!reply.is_write) {
    if (reply.status == StoreStatus::kOk && !reply.value) {
      this->members_known = true;  // nobody has joined yet
    }
    this->OnRecord(reply, now);
  } else if (reply.status == StoreStatus::kOk && this->release_began) {
    this->left = true;
    this->core.Note({.kind = TraceKind::kLeft});
  }
  if (reply.status != StoreStatus::kOk || reply.is_write) {
    // Read back what was written, or what another instance wrote.
    this->members_known = false;
    this->next_members =
        std::max(this->next_members, reply.status == StoreStatus::kUnavailable
                                         ? now + kMembersInterval
                                         : now);
  }
}

void Entry::WriteMembers(const member::Record& record) {
  this->members_pending = true;
  this->core.Request(StoreUser::kMembers,
                     {StoreCas{std::string(member::kRecordKey),
                               this->members_version, member::Encode(record)}});
}

// Keeps this entry's row and removes those of instances proved stopped.
void Entry::CheckMembers(Time now) {
  if (this->members_pending || now < this->next_members || this->left) {
    return;
  }
  this->next_members = now + kMembersInterval;
  if (!this->members_known) {
    this->members_pending = true;
    this->core.Request(StoreUser::kMembers,
                       {StoreGet{std::string(member::kRecordKey)}});
    return;
  }
  const member::Record& record = this->core.membership.record();
  if (this->release_began) {
    if (this->core.permits.Released()) {
      this->WriteMembers(member::Leave(record, this->core.self(),
                                       this->core.holder().incarnation));
    }
    return;
  }
  if (this->core.membership.Superseded()) {
    this->exited = true;
    this->core.Note({.kind = TraceKind::kLeft,
                     .text = "a newer instance of this name has joined"});
    this->core.effects.emplace_back(Exit{});
    return;
  }
  const auto own = record.members.find(this->core.self());
  const bool draining = this->stop_began.has_value();
  // A member counts towards its peers' majority contact, so it must know every
  // configuration that was accepted before it joins.
  if (!this->head_read) {
    return;
  }
  if (own == record.members.end() ||
      own->second.incarnation != this->core.holder().incarnation ||
      own->second.draining != draining) {
    member::Member self = this->core.membership.self();
    self.draining = draining;
    if (auto joined = member::Join(record, self)) {
      this->WriteMembers(*joined);
    }
    return;
  }
  for (const auto& [instance, row] : record.members) {
    const auto proof = this->core.membership.ProofOf(instance, row.incarnation);
    if (proof && instance != this->core.self()) {
      this->WriteMembers(member::Remove(record, *proof));
      return;
    }
  }
}

void Entry::LosePeer(const InstanceId& peer, Time now) {
  this->core.Note({.kind = TraceKind::kPeerDown, .text = peer.str()});
  this->core.peer_idle.erase(peer);
  this->jobs.OnPeerUse(peer, {}, now);
  this->jobs.OnPeerDown(peer, now);
  this->origin.OnPeerDown(peer, now);
}

// Replaces a connection on which the peer no longer hears this entry, which
// heartbeats from the peer cannot show.
void Entry::CheckPeers(Time now) {
  for (const SeedPeer& seed : this->seeds) {
    if (!this->joined && !this->links.contains(seed.instance)) {
      this->Connect(seed.instance, seed.address, now);
    }
  }
  for (auto& [peer, link] : this->links) {
    const auto& members = this->core.membership.record().members;
    if (!members.contains(peer) || now < link.next_reconnect ||
        now - link.echoed_at <= member::kReconnectAfter) {
      continue;
    }
    link.next_reconnect = now + member::kReconnectAfter;
    this->core.effects.emplace_back(ConnectPeer{peer, link.address});
  }
}

void Entry::SendHeartbeats(Time now) {
  Heartbeat beat;
  beat.sequence = ++this->heartbeat;
  beat.config_revision = this->core.follower.revision();
  beat.draining = this->core.stopping;
  beat.contended = this->jobs.ContendedUse(now);
  beat.leaving = this->jobs.LeavingUse();
  beat.pools = this->jobs.PoolsSeen();
  for (const permit::Subject& subject : this->core.permits.Subjects()) {
    const std::uint32_t spare = this->core.permits.Spare(subject);
    if (spare > 0) {
      beat.idle.push_back({subject, spare});
    }
  }
  const auto& members = this->core.membership.record().members;
  for (auto& [peer, link] : this->links) {
    const bool seed = std::ranges::any_of(
        this->seeds,
        [&peer = peer](const SeedPeer& s) { return s.instance == peer; });
    if (!members.contains(peer) && !(seed && !this->joined) &&
        now > link.observe_until) {
      continue;
    }
    beat.heard = link.received;
    this->core.Send(peer, beat);
    if (!this->joined) {
      this->core.Send(peer, Observe{this->core.membership.self().peer_address});
    }
  }
}

}  // namespace kch::engine
