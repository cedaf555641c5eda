// Measures the configuration log at growing sizes: bytes in the store and per
// follower, and the time that a change and a base cost an entry.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "config/config.h"

namespace kch::config {
namespace {

struct Size {
  int teams;
  int pools;
  int profiles;
};

constexpr int kKeysPerTeam = 5;
constexpr int kChanges = 600;
constexpr int kRounds = 21;

std::string Name(const char* kind, int index) {
  return kind + std::to_string(index);
}

PutProfile ProfileChange(int index, int pools, std::uint32_t capacity) {
  Profile profile;
  profile.id = ProfileId(Name("profile-", index));
  profile.pool = PoolId(Name("pool-", index % pools));
  profile.capacity = capacity;
  return PutProfile{profile};
}

PutTeam TeamChange(int index, std::uint32_t weight) {
  return PutTeam{{TeamId(Name("workspace-", index)), weight, 200}};
}

std::vector<Change> Everything(const Size& size) {
  std::vector<Change> changes;
  changes.reserve(10'000);
  for (int i = 0; i < 6; ++i) {
    changes.emplace_back(SetZone{{ZoneId(Name("zone-", i))}});
  }
  for (int i = 0; i < size.pools; ++i) {
    changes.emplace_back(PutPool{{PoolId(Name("pool-", i)), false, 2, 1, 1}});
  }
  for (int i = 0; i < size.profiles; ++i) {
    changes.emplace_back(ProfileChange(i, size.pools, 0));
  }
  for (int i = 0; i < size.teams; ++i) {
    changes.emplace_back(TeamChange(i, 1));
    for (int k = 0; k < kKeysPerTeam; ++k) {
      const std::string id = Name("key-", i * kKeysPerTeam + k);
      changes.emplace_back(GrantKey{{KeyId(id), TeamId(Name("workspace-", i)),
                                     HashSecret(id + ".secret")}});
    }
  }
  return changes;
}

// Median microseconds of a call.
double MedianUs(const std::function<void()>& call) {
  std::vector<double> times;
  for (int i = 0; i < kRounds; ++i) {
    const auto start = std::chrono::steady_clock::now();
    call();
    times.push_back(std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - start)
                        .count());
  }
  std::nth_element(times.begin(), times.begin() + kRounds / 2, times.end());
  return times[kRounds / 2];
}

struct Row {
  std::size_t base_bytes = 0;
  double head_bytes = 0;
  double changes_per_base = 0;
  double apply_us = 0;
  double base_us = 0;
  double late_bytes = 0;
};

Row Measure(const Size& size) {
  Row row;
  State state;
  int id = 0;
  for (const Change& change : Everything(size)) {
    const LoggedChange logged{state.revision + 1, Name("load-", id++), change};
    if (auto applied = Apply(state, logged); !applied) {
      std::fprintf(stderr, "%s\n", applied.error().Text().c_str());
      return row;
    }
  }
  const std::string base = Encode(state);
  row.base_bytes = base.size();
  row.base_us = MedianUs([&] {
    Follower follower;
    (void)follower.OfferBase(
        std::make_shared<const State>(*Decode<State>(base)));
  });

  // A store without faults, and a writer of team and profile changes.
  std::map<std::string, std::pair<std::string, std::uint64_t>> store;
  std::uint64_t version = 1;
  store[BaseKey(state.revision)] = {base, version};
  store[std::string(kHeadKey)] = {Encode(Head{state.revision, {}}), version};
  Proposer proposer;
  Follower prompt;
  Follower late;
  (void)prompt.OfferBase(std::make_shared<const State>(state));
  (void)late.OfferBase(std::make_shared<const State>(state));
  std::size_t head_bytes = 0;
  std::size_t late_bytes = 0;
  std::size_t folds = 0;
  Time now;
  for (int i = 0; i < kChanges; ++i) {
    const auto value = static_cast<std::uint32_t>(1 + i % 100);
    Proposal proposal{
        Name("change-", i), TeamChange(i % size.teams, value), {}};
    if (i % 2 == 0) {
      proposal.change = ProfileChange(i % size.profiles, size.pools, value);
    }
    auto effects = proposer.Propose(proposal, now);
    while (effects.finished.empty()) {
      const StoreOp op = effects.operations.at(0);
      StoreReply reply;
      reply.status = StoreStatus::kOk;
      if (const auto* cas = std::get_if<StoreCas>(&op)) {
        folds += cas->key == kHeadKey ? 0 : 1;
        store[cas->key] = {cas->value, ++version};
        reply.key = cas->key;
        reply.is_write = true;
        reply.version = version;
      } else {
        reply.key = std::get<StoreGet>(op).key;
        reply.value = store.at(reply.key).first;
        reply.version = store.at(reply.key).second;
      }
      effects = proposer.OnReply(reply, now);
    }
    const std::string& head = store.at(std::string(kHeadKey)).first;
    head_bytes += head.size();
    (void)prompt.OfferHead(*Decode<Head>(head));
    // Wakes once in 20 changes and then reads the head, and the base if needed.
    if (i % 20 == 19) {
      late_bytes += head.size();
      (void)late.OfferHead(*Decode<Head>(head));
      if (const auto wanted = late.required_base()) {
        const std::string& text = store.at(BaseKey(*wanted)).first;
        late_bytes += text.size();
        (void)late.OfferBase(
            std::make_shared<const State>(*Decode<State>(text)));
      }
    }
  }
  row.head_bytes = static_cast<double>(head_bytes) / kChanges;
  row.late_bytes = static_cast<double>(late_bytes) / kChanges;
  row.changes_per_base =
      folds == 0 ? 0
                 : static_cast<double>(kChanges) / static_cast<double>(folds);

  // The latest change of a head, as a follower takes it: decode, copy, apply.
  const std::string text = store.at(std::string(kHeadKey)).first;
  const Head head = *Decode<Head>(text);
  Head shorter = head;
  shorter.changes.pop_back();
  const auto before = std::make_shared<const State>([&] {
    Follower follower;
    (void)follower.OfferBase(std::make_shared<const State>(
        *Decode<State>(store.at(BaseKey(head.base_revision)).first)));
    (void)follower.OfferHead(shorter);
    return *follower.state();
  }());
  row.apply_us = MedianUs([&] {
    Follower follower;
    (void)follower.OfferBase(before);
    (void)follower.OfferHead(*Decode<Head>(text));
  });
  return row;
}

}  // namespace
}  // namespace kch::config

int main() {
  using kch::config::Measure;
  using kch::config::Size;
  std::printf("%6s %6s %6s %9s | %9s %9s %9s %10s %10s %12s\n", "teams", "keys",
              "pools", "profiles", "base B", "head B", "chg/base", "change us",
              "base us", "late B/chg");
  for (const Size& size : {Size{6, 6, 6}, Size{40, 8, 30}, Size{80, 12, 60},
                           Size{160, 20, 120}, Size{280, 33, 200}}) {
    const auto row = Measure(size);
    std::printf("%6d %6d %6d %9d | %9zu %9.0f %9.1f %10.0f %10.0f %12.0f\n",
                size.teams, size.teams * kch::config::kKeysPerTeam, size.pools,
                size.profiles, row.base_bytes, row.head_bytes,
                row.changes_per_base, row.apply_us, row.base_us,
                row.late_bytes);
  }
  return 0;
}
