#include "member/membership.h"

#include <xxhash.h>

#include <algorithm>
#include <string>
#include <utility>

namespace kch::member {
namespace {

// Occurs in no name, so that different pairs never give the same hash input.
constexpr char kPairSeparator = '\n';

// Highest-random-weight hash of a pool and an instance.
std::uint64_t RendezvousScore(const PoolId& pool, const InstanceId& instance) {
  const std::string pair = pool.str() + kPairSeparator + instance.str();
  return XXH3_64bits(pair.data(), pair.size());
}

}  // namespace

Membership::Membership(Member self, Time now)
    : own(std::move(self)), last_call_at(now) {}

// Detects that this process was paused between two calls.
void Membership::DetectPause(Time now) {
  if (now - this->last_call_at > kPauseThreshold) {
    this->resumed_at = now;
    // Missing reports during the pause are no evidence about a peer.
    for (auto& [id, peer] : this->peers) {
      if (peer.last_state == PeerState::kConnected) {
        peer.last_alive_at = now;
      }
    }
  }
  this->last_call_at = std::max(this->last_call_at, now);
}

void Membership::AddStopProof(const InstanceId& instance,
                              std::uint64_t incarnation,
                              StopKind kind) {
  const auto found = this->stop_proofs.find(instance);
  if (incarnation > 0 && (found == this->stop_proofs.end() ||
                          found->second.incarnation < incarnation)) {
    this->stop_proofs.insert_or_assign(instance,
                                       StopProof{instance, incarnation, kind});
  }
}

void Membership::OnRecord(std::uint64_t version,
                          const Record& record,
                          Time now) {
  this->DetectPause(now);
  if (version <= this->record_version) {
    return;
  }
  this->record_version = version;
  this->latest_record = record;
  for (const auto& [id, stop] : record.stopped) {
    this->AddStopProof(id, stop.incarnation, stop.kind);
  }
  for (const auto& [id, row] : record.members) {
    this->AddStopProof(id, row.incarnation - 1, StopKind::kNewerIncarnation);
    if (id == this->own.instance) {
      continue;
    }
    Peer& peer = this->peers[id];
    if (peer.incarnation < row.incarnation) {
      // The timeouts of a new process start when its row is observed.
      peer = Peer{};
      peer.incarnation = row.incarnation;
      peer.last_alive_at = now;
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
  this->DetectPause(now);
  const auto found = this->peers.find(peer);
  if (found == this->peers.end() || incarnation < found->second.incarnation ||
      (incarnation == found->second.incarnation &&
       sequence <= found->second.sequence) ||
      this->IsProvenStopped(peer, incarnation)) {
    return false;
  }
  Peer& known = found->second;
  if (incarnation > known.incarnation) {
    this->AddStopProof(peer, incarnation - 1, StopKind::kNewerIncarnation);
    known.incarnation = incarnation;
  }
  known.sequence = sequence;
  known.config_revision = config_revision;
  known.draining = draining;
  known.last_alive_at = now;
  known.last_report_at = now;
  if (config_revision > this->newest_revision) {
    this->newest_revision = config_revision;
    this->newest_peer = peer;
  }
  return true;
}

void Membership::OnStoreContact(Time now) {
  this->DetectPause(now);
  this->last_store_contact = now;
}

void Membership::OnVmList(std::uint64_t version, const std::set<VmId>& vms) {
  // A list without the VM that this process runs on is faulty or outdated.
  if (version <= this->list_version || !vms.contains(this->own.vm)) {
    return;
  }
  this->list_version = version;
  // Each incarnation has to be listed once before its absence counts: one that
  // starts on a restarted VM may join before the lagging list has the VM again.
  std::map<InstanceId, std::uint64_t> now_listed;
  std::map<InstanceId, std::uint64_t> absent;
  for (const auto& [id, row] : this->latest_record.members) {
    const auto before = this->listed.find(id);
    if (vms.contains(row.vm)) {
      now_listed.emplace(id, row.incarnation);
    } else if (before != this->listed.end() &&
               before->second == row.incarnation) {
      now_listed.emplace(id, row.incarnation);
      absent.emplace(id, row.incarnation);
    }
  }
  this->listed = std::move(now_listed);
  this->unlisted = std::move(absent);
}

void Membership::OnRetired(const InstanceId& instance,
                           std::uint64_t incarnation) {
  this->AddStopProof(instance, incarnation, StopKind::kRetired);
}

void Membership::SetDraining(bool draining) {
  this->own.draining = draining;
}

std::vector<PeerEvent> Membership::OnStep(Time now) {
  this->DetectPause(now);
  std::vector<PeerEvent> events;
  for (auto& [id, peer] : this->peers) {
    const PeerState state = this->StateOf(id, now);
    if (state == PeerState::kConnected) {
      if (peer.last_state != state) {
        events.push_back({id, PeerEventKind::kRecovered});
      }
    } else {
      // A new connection may become unresponsive too, so it is replaced again.
      if (peer.last_state == PeerState::kConnected ||
          now - peer.reconnected_at >= kReconnectTimeout) {
        events.push_back({id, PeerEventKind::kReconnect});
        peer.reconnected_at = now;
      }
      if (state == PeerState::kDown && peer.last_state != state) {
        events.push_back({id, PeerEventKind::kDown});
      }
    }
    peer.last_state = state;
  }
  return events;
}

bool Membership::CountsAsContact(Time contact) const {
  return !this->resumed_at || contact >= *this->resumed_at + kResumeHoldOff;
}

bool Membership::HasMajorityContact(Time now) const {
  std::size_t in_contact = 0;
  for (const auto& [id, peer] : this->peers) {
    if (peer.last_report_at && this->CountsAsContact(*peer.last_report_at) &&
        now - *peer.last_report_at <= kMaxContactAge) {
      ++in_contact;
    }
  }
  // A single instance cannot distinguish a fleet of one from a partition.
  const std::size_t members = this->peers.size() + 1;
  return in_contact > 0 && 2 * (in_contact + 1) > members;
}

bool Membership::HasFreshContact(Time now) const {
  if (this->IsSuperseded() || now - this->last_call_at > kPauseThreshold) {
    return false;
  }
  const bool store = this->last_store_contact &&
                     this->CountsAsContact(*this->last_store_contact) &&
                     now - *this->last_store_contact <= kMaxContactAge;
  return store || this->HasMajorityContact(now);
}

bool Membership::IsSuperseded() const {
  const auto found = this->stop_proofs.find(this->own.instance);
  return found != this->stop_proofs.end() &&
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
  // An incarnation that has provably stopped is down without the 2 s timeout.
  if (this->IsProvenStopped(peer, found->second.incarnation)) {
    return PeerState::kDown;
  }
  const Duration elapsed = now - found->second.last_alive_at;
  if (elapsed >= kDownTimeout) {
    return PeerState::kDown;
  }
  return elapsed >= kReconnectTimeout ? PeerState::kUnresponsive
                                      : PeerState::kConnected;
}

bool Membership::IsDraining(const InstanceId& instance) const {
  if (instance == this->own.instance) {
    return this->own.draining;
  }
  const auto peer = this->peers.find(instance);
  const auto row = this->latest_record.members.find(instance);
  return (peer != this->peers.end() && peer->second.draining) ||
         (row != this->latest_record.members.end() && row->second.draining);
}

std::vector<InstanceId> Membership::RankedOwners(const PoolId& pool,
                                                 Time now) const {
  std::vector<std::pair<std::uint64_t, InstanceId>> scored;
  for (InstanceId& id : this->LiveMembers(now)) {
    if (!this->IsDraining(id)) {
      const std::uint64_t score = RendezvousScore(pool, id);
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

bool Membership::IsProvenStopped(const InstanceId& instance,
                                 std::uint64_t incarnation) const {
  const auto found = this->stop_proofs.find(instance);
  return found != this->stop_proofs.end() &&
         found->second.incarnation >= incarnation;
}

std::optional<StopProof> Membership::StopProofOf(
    const InstanceId& instance,
    std::uint64_t incarnation) const {
  if (this->IsProvenStopped(instance, incarnation)) {
    return this->stop_proofs.at(instance);
  }
  const auto unlisted_vm = this->unlisted.find(instance);
  if (unlisted_vm == this->unlisted.end() ||
      unlisted_vm->second < incarnation) {
    return std::nullopt;
  }
  // The list lags, so a process that still reports is not considered stopped.
  const auto peer = this->peers.find(instance);
  if (peer == this->peers.end() ||
      peer->second.incarnation != unlisted_vm->second ||
      this->last_call_at - peer->second.last_alive_at < kDownTimeout) {
    return std::nullopt;
  }
  return StopProof{instance, unlisted_vm->second, StopKind::kVmUnlisted};
}

std::uint64_t Membership::config_revision_of(const InstanceId& peer) const {
  const auto found = this->peers.find(peer);
  return found == this->peers.end() ? 0 : found->second.config_revision;
}

}  // namespace kch::member
