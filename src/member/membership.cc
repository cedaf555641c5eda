#include "member/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace kch::member {
namespace {

// Not part of any name, so that different pairs never hash the same text.
constexpr char kPairSeparator = '\n';

std::uint64_t Score(const PoolId& pool, const InstanceId& instance) {
  const std::string pair = pool.str() + kPairSeparator + instance.str();
  return XXH3_64bits(pair.data(), pair.size());
}

}  // namespace

Membership::Membership(Member self, Time now)
    : own(std::move(self)), last_step(now) {}

// Detects that this process was paused between two calls.
void Membership::Observe(Time now) {
  if (now - this->last_step > kPauseGap) {
    this->resumed_at = now;
    // Silence during the pause says nothing about a peer.
    for (auto& [id, peer] : this->peers) {
      if (peer.reported == PeerState::kConnected) {
        peer.alive_at = now;
      }
    }
  }
  this->last_step = std::max(this->last_step, now);
}

void Membership::Prove(const InstanceId& instance,
                       std::uint64_t incarnation,
                       StopKind kind) {
  const auto found = this->proofs.find(instance);
  if (incarnation > 0 && (found == this->proofs.end() ||
                          found->second.incarnation < incarnation)) {
    this->proofs.insert_or_assign(instance,
                                  StopProof{instance, incarnation, kind});
  }
}

void Membership::OnRecord(std::uint64_t version,
                          const Record& record,
                          Time now) {
  this->Observe(now);
  if (version <= this->record_version) {
    return;
  }
  this->record_version = version;
  this->latest = record;
  for (const auto& [id, stop] : record.stopped) {
    this->Prove(id, stop.incarnation, stop.kind);
  }
  for (const auto& [id, row] : record.members) {
    this->Prove(id, row.incarnation - 1, StopKind::kNewerIncarnation);
    if (id == this->own.instance) {
      continue;
    }
    Peer& peer = this->peers[id];
    if (peer.incarnation < row.incarnation) {
      // A new process gets the full time before its silence counts.
      peer = Peer{};
      peer.incarnation = row.incarnation;
      peer.alive_at = now;
      peer.reconnected_at = now;
    }
  }
  std::erase_if(this->peers, [&](const auto& peer) {
    return !record.members.contains(peer.first);
  });
}

bool Membership::OnHeartbeat(const InstanceId& peer,
                             std::uint64_t incarnation,
                             std::uint64_t sequence,
                             std::uint64_t config_revision,
                             bool draining,
                             Time now) {
  this->Observe(now);
  const auto found = this->peers.find(peer);
  if (found == this->peers.end() || incarnation < found->second.incarnation ||
      (incarnation == found->second.incarnation &&
       sequence <= found->second.sequence) ||
      this->IsProved(peer, incarnation)) {
    return false;
  }
  Peer& known = found->second;
  if (incarnation > known.incarnation) {
    this->Prove(peer, incarnation - 1, StopKind::kNewerIncarnation);
    known.incarnation = incarnation;
  }
  known.sequence = sequence;
  known.config_revision = config_revision;
  known.draining = draining;
  known.alive_at = now;
  known.heard_at = now;
  if (config_revision > this->newest_revision) {
    this->newest_revision = config_revision;
    this->newest_peer = peer;
  }
  return true;
}

void Membership::OnStoreContact(Time now) {
  this->Observe(now);
  this->store_contact = now;
}

void Membership::OnVmList(std::uint64_t version, const std::set<VmId>& vms) {
  // A list without the VM that this process runs on is a faulty or an old one.
  if (version <= this->list_version || !vms.contains(this->own.vm)) {
    return;
  }
  this->list_version = version;
  // Each incarnation has to be seen anew: one that starts on a restarted VM
  // may join before the lagging list shows the VM again.
  std::map<InstanceId, std::uint64_t> seen;
  std::map<InstanceId, std::uint64_t> absent;
  for (const auto& [id, row] : this->latest.members) {
    const auto before = this->listed.find(id);
    if (vms.contains(row.vm)) {
      seen.emplace(id, row.incarnation);
    } else if (before != this->listed.end() &&
               before->second == row.incarnation) {
      seen.emplace(id, row.incarnation);
      absent.emplace(id, row.incarnation);
    }
  }
  this->listed = std::move(seen);
  this->gone = std::move(absent);
}

void Membership::OnRetired(const InstanceId& instance,
                           std::uint64_t incarnation) {
  this->Prove(instance, incarnation, StopKind::kRetired);
}

void Membership::SetDraining(bool draining) {
  this->own.draining = draining;
}

std::vector<PeerEvent> Membership::OnStep(Time now) {
  this->Observe(now);
  std::vector<PeerEvent> events;
  for (auto& [id, peer] : this->peers) {
    const PeerState state = this->StateOf(id, now);
    if (state == PeerState::kConnected) {
      if (peer.reported != state) {
        events.push_back({id, PeerEventKind::kRecovered});
      }
    } else {
      // A new connection may go silent as well, so it is replaced in turn.
      if (peer.reported == PeerState::kConnected ||
          now - peer.reconnected_at >= kReconnectTimeout) {
        events.push_back({id, PeerEventKind::kReconnect});
        peer.reconnected_at = now;
      }
      if (state == PeerState::kDown && peer.reported != state) {
        events.push_back({id, PeerEventKind::kDown});
      }
    }
    peer.reported = state;
  }
  return events;
}

bool Membership::Counts(Time contact) const {
  return !this->resumed_at || contact >= *this->resumed_at + kResumeSettle;
}

bool Membership::HasMajority(Time now) const {
  std::size_t heard = 0;
  for (const auto& [id, peer] : this->peers) {
    if (peer.heard_at && this->Counts(*peer.heard_at) &&
        now - *peer.heard_at <= kMaxContactAge) {
      ++heard;
    }
  }
  // An instance alone cannot tell a fleet of one from being cut off.
  const std::size_t members = this->peers.size() + 1;
  return heard > 0 && 2 * (heard + 1) > members;
}

bool Membership::HasFreshContact(Time now) const {
  if (this->IsSuperseded() || now - this->last_step > kPauseGap) {
    return false;
  }
  const bool store = this->store_contact &&
                     this->Counts(*this->store_contact) &&
                     now - *this->store_contact <= kMaxContactAge;
  return store || this->HasMajority(now);
}

bool Membership::IsSuperseded() const {
  const auto found = this->proofs.find(this->own.instance);
  return found != this->proofs.end() &&
         found->second.incarnation >= this->own.incarnation;
}

std::vector<InstanceId> Membership::LiveMembers(Time now) const {
  std::vector<InstanceId> live{this->own.instance};
  for (const auto& [id, peer] : this->peers) {
    if (this->StateOf(id, now) != PeerState::kDown) {
      live.push_back(id);
    }
  }
  std::sort(live.begin(), live.end());
  return live;
}

PeerState Membership::StateOf(const InstanceId& peer, Time now) const {
  const auto found = this->peers.find(peer);
  if (found == this->peers.end()) {
    return PeerState::kDown;
  }
  // What has stopped needs no two seconds of silence.
  if (this->IsProved(peer, found->second.incarnation)) {
    return PeerState::kDown;
  }
  const Duration silence = now - found->second.alive_at;
  if (silence >= kDownTimeout) {
    return PeerState::kDown;
  }
  return silence >= kReconnectTimeout ? PeerState::kUnresponsive
                                      : PeerState::kConnected;
}

bool Membership::IsDraining(const InstanceId& instance) const {
  if (instance == this->own.instance) {
    return this->own.draining;
  }
  const auto peer = this->peers.find(instance);
  const auto row = this->latest.members.find(instance);
  return (peer != this->peers.end() && peer->second.draining) ||
         (row != this->latest.members.end() && row->second.draining);
}

std::vector<InstanceId> Membership::RankedOwners(const PoolId& pool,
                                                 Time now) const {
  std::vector<std::pair<std::uint64_t, InstanceId>> scored;
  for (InstanceId& id : this->LiveMembers(now)) {
    if (!this->IsDraining(id)) {
      const std::uint64_t score = Score(pool, id);
      scored.emplace_back(score, std::move(id));
    }
  }
  std::sort(scored.begin(), scored.end(), std::greater<>());
  std::vector<InstanceId> ranks;
  ranks.reserve(scored.size());
  for (auto& [score, id] : scored) {
    ranks.push_back(std::move(id));
  }
  return ranks;
}

std::optional<InstanceId> Membership::OwnerOf(const PoolId& pool,
                                              Time now) const {
  auto ranks = this->RankedOwners(pool, now);
  if (ranks.empty()) {
    return std::nullopt;
  }
  return std::move(ranks.front());
}

bool Membership::IsProved(const InstanceId& instance,
                          std::uint64_t incarnation) const {
  const auto found = this->proofs.find(instance);
  return found != this->proofs.end() &&
         found->second.incarnation >= incarnation;
}

std::optional<StopProof> Membership::StopProofOf(
    const InstanceId& instance,
    std::uint64_t incarnation) const {
  if (this->IsProved(instance, incarnation)) {
    return this->proofs.at(instance);
  }
  const auto vanished = this->gone.find(instance);
  if (vanished == this->gone.end() || vanished->second < incarnation) {
    return std::nullopt;
  }
  // The list lags, so it does not outweigh a process that still reports.
  const auto peer = this->peers.find(instance);
  if (peer == this->peers.end() ||
      peer->second.incarnation != vanished->second ||
      this->last_step - peer->second.alive_at < kDownTimeout) {
    return std::nullopt;
  }
  return StopProof{instance, vanished->second, StopKind::kVmUnlisted};
}

std::uint64_t Membership::config_revision_of(const InstanceId& peer) const {
  const auto found = this->peers.find(peer);
  return found == this->peers.end() ? 0 : found->second.config_revision;
}

}  // namespace kch::member
