#include "config/state.h"

#include <type_traits>

#include "config/limits.h"

namespace kch::config {
namespace {

// Initial weight and limit of the team `open`. The limit is small, since anyone
// may use an open queue.
constexpr std::uint32_t kOpenWeight = 1;
constexpr std::uint32_t kOpenLimit = 64;

template <typename Id, typename T>
const T* FindIn(const std::map<Id, Versioned<T>>& objects, const Id& id) {
  const auto found = objects.find(id);
  return found == objects.end() ? nullptr : &found->second.value;
}

template <typename Id, typename T>
Subject SubjectIn(const std::map<Id, Versioned<T>>& objects, const Id& id) {
  const auto found = objects.find(id);
  if (found == objects.end()) {
    return {};
  }
  return {found->second.value, found->second.revision};
}

tl::unexpected<Error> NotFoundError(std::string_view kind,
                                    const std::string& id) {
  return Fail(ErrorKind::kNotFound,
              std::string(kind) + " " + id + " does not exist",
              "create it first or correct the name");
}

template <typename Id, typename T>
Result<void> Put(std::map<Id, Versioned<T>>& objects,
                 const Id& id,
                 const T& value,
                 std::uint64_t revision,
                 std::size_t max,
                 std::string_view kind) {
  const auto found = objects.find(id);
  if (found == objects.end() && objects.size() >= max) {
    return Fail(ErrorKind::kTooLarge,
                std::string(kind) + " " + id.str() + " would be number " +
                    std::to_string(objects.size() + 1) + "; allowed: at most " +
                    std::to_string(max),
                "remove one that is no longer used");
  }
  objects.insert_or_assign(found, id, Versioned<T>{value, revision});
  return {};
}

template <typename Id, typename T>
Result<void> Remove(std::map<Id, Versioned<T>>& objects,
                    const Id& id,
                    std::string_view kind) {
  if (objects.erase(id) == 0) {
    return NotFoundError(kind, id.str());
  }
  return {};
}

// Checks the references of a change and applies it.
struct Applier {
  State& state;
  std::uint64_t revision;

  Result<void> operator()(const PutTeam& change) const {
    return Put(this->state.teams, change.team.id, change.team, this->revision,
               kMaxTeams, "team");
  }
  Result<void> operator()(const RemoveTeam& change) const {
    if (change.id == OpenTeam()) {
      return Fail(ErrorKind::kInvalid, "team open cannot be removed",
                  "set its limit to 0 to stop all open queues");
    }
    for (const auto& [id, key] : this->state.keys) {
      if (key.value.team == change.id) {
        return Fail(ErrorKind::kInvalid,
                    "team " + change.id.str() + " still has key " + id.str(),
                    "withdraw the team's keys first");
      }
    }
    return Remove(this->state.teams, change.id, "team");
  }
  Result<void> operator()(const PutProfile& change) const {
    if (this->state.Find(change.profile.pool) == nullptr) {
      return NotFoundError("pool", change.profile.pool.str());
    }
    return Put(this->state.profiles, change.profile.id, change.profile,
               this->revision, kMaxProfiles, "profile");
  }
  Result<void> operator()(const RemoveProfile& change) const {
    return Remove(this->state.profiles, change.id, "profile");
  }
  Result<void> operator()(const PutPool& change) const {
    return Put(this->state.pools, change.pool.id, change.pool, this->revision,
               kMaxPools, "pool");
  }
  Result<void> operator()(const RemovePool& change) const {
    for (const auto& [id, profile] : this->state.profiles) {
      if (profile.value.pool == change.id) {
        return Fail(
            ErrorKind::kInvalid,
            "pool " + change.id.str() + " is used by profile " + id.str(),
            "move or remove its profiles first");
      }
    }
    return Remove(this->state.pools, change.id, "pool");
  }
  Result<void> operator()(const SetZone& change) const {
    return Put(this->state.zones, change.zone.id, change.zone, this->revision,
               kMaxZones, "zone");
  }
  Result<void> operator()(const RemoveZone& change) const {
    return Remove(this->state.zones, change.id, "zone");
  }
  Result<void> operator()(const GrantKey& change) const {
    if (change.key.team == OpenTeam()) {
      return Fail(ErrorKind::kInvalid, "team open cannot have keys",
                  "grant the key to another team, or use an open profile");
    }
    if (this->state.Find(change.key.team) == nullptr) {
      return NotFoundError("team", change.key.team.str());
    }
    // Replacing a key in place would not show that its old secret becomes
    // invalid.
    if (this->state.Find(change.key.id) != nullptr) {
      return Fail(ErrorKind::kConflict,
                  "key " + change.key.id.str() + " already exists",
                  "use another id, or withdraw the key first");
    }
    return Put(this->state.keys, change.key.id, change.key, this->revision,
               kMaxKeys, "key");
  }
  Result<void> operator()(const WithdrawKey& change) const {
    return Remove(this->state.keys, change.id, "key");
  }
  Result<void> operator()(const RetireInstance& change) const {
    const Retirement& retirement = change.retirement;
    const Retirement* earlier = this->state.Find(retirement.instance);
    if (earlier != nullptr && earlier->incarnation >= retirement.incarnation) {
      return Fail(
          ErrorKind::kConflict,
          "instance " + retirement.instance.str() +
              " is retired up to incarnation " +
              std::to_string(earlier->incarnation),
          "specify a later incarnation, or keep the existing retirement");
    }
    return Put(this->state.retirements, retirement.instance, retirement,
               this->revision, kMaxRetirements, "retirement");
  }
  Result<void> operator()(const RemoveRetirement& change) const {
    return Remove(this->state.retirements, change.instance, "retirement");
  }
};

}  // namespace

const TeamId& OpenTeam() {
  static const TeamId open("open");
  return open;
}

State::State() {
  this->teams.emplace(
      OpenTeam(), Versioned<Team>{{OpenTeam(), kOpenWeight, kOpenLimit}, 0});
}

const Team* State::Find(const TeamId& id) const {
  return FindIn(this->teams, id);
}
const Profile* State::Find(const ProfileId& id) const {
  return FindIn(this->profiles, id);
}
const Pool* State::Find(const PoolId& id) const {
  return FindIn(this->pools, id);
}
const Zone* State::Find(const ZoneId& id) const {
  return FindIn(this->zones, id);
}
const Key* State::Find(const KeyId& id) const {
  return FindIn(this->keys, id);
}
const Retirement* State::Find(const InstanceId& id) const {
  return FindIn(this->retirements, id);
}

bool State::InService(const ZoneId& id) const {
  const Zone* zone = this->Find(id);
  return zone == nullptr || zone->in_service;
}

std::optional<std::uint64_t> State::RevisionOf(
    std::string_view change_id) const {
  for (const RememberedChange& change : this->remembered) {
    if (change.id == change_id) {
      return change.revision;
    }
  }
  return std::nullopt;
}

Result<void> Apply(State& state, const Change& change) {
  if (auto valid = Validate(change); !valid) {
    return valid;
  }
  const std::uint64_t revision = state.revision + 1;
  auto applied = std::visit(Applier{state, revision}, change);
  if (applied) {
    state.revision = revision;
  }
  return applied;
}

Result<void> Apply(State& state, const LoggedChange& change) {
  if (change.revision != state.revision + 1) {
    return Fail(ErrorKind::kConflict,
                "change has revision " + std::to_string(change.revision) +
                    "; allowed: " + std::to_string(state.revision + 1),
                "read the head again");
  }
  if (auto valid = ValidateChangeId(change.id); !valid) {
    return valid;
  }
  auto applied = Apply(state, change.change);
  if (applied) {
    state.remembered.push_back({change.revision, change.id});
    if (state.remembered.size() > kRememberedChanges) {
      state.remembered.pop_front();
    }
  }
  return applied;
}

Subject SubjectOf(const State& state, const Change& change) {
  struct Finder {
    const State& state;

    Subject operator()(const PutTeam& put) const {
      return SubjectIn(this->state.teams, put.team.id);
    }
    Subject operator()(const RemoveTeam& removal) const {
      return SubjectIn(this->state.teams, removal.id);
    }
    Subject operator()(const PutProfile& put) const {
      return SubjectIn(this->state.profiles, put.profile.id);
    }
    Subject operator()(const RemoveProfile& removal) const {
      return SubjectIn(this->state.profiles, removal.id);
    }
    Subject operator()(const PutPool& put) const {
      return SubjectIn(this->state.pools, put.pool.id);
    }
    Subject operator()(const RemovePool& removal) const {
      return SubjectIn(this->state.pools, removal.id);
    }
    Subject operator()(const SetZone& put) const {
      return SubjectIn(this->state.zones, put.zone.id);
    }
    Subject operator()(const RemoveZone& removal) const {
      return SubjectIn(this->state.zones, removal.id);
    }
    Subject operator()(const GrantKey& grant) const {
      return SubjectIn(this->state.keys, grant.key.id);
    }
    Subject operator()(const WithdrawKey& withdrawal) const {
      return SubjectIn(this->state.keys, withdrawal.id);
    }
    Subject operator()(const RetireInstance& retire) const {
      return SubjectIn(this->state.retirements, retire.retirement.instance);
    }
    Subject operator()(const RemoveRetirement& removal) const {
      return SubjectIn(this->state.retirements, removal.instance);
    }
  };
  return std::visit(Finder{state}, change);
}

}  // namespace kch::config
