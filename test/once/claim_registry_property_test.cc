#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>
#include <string>

#include "../fake_store.h"
#include "once/once.h"

namespace kch::once {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Node {
  std::unique_ptr<ClaimRegistry> registry;
  std::int64_t clock_error_s = 0;
};

// Several claim registries over a faulty store; the oracle records which tokens
// were written in any version and which claims were confirmed.
class World : public FaultyWorld<World> {
 public:
  explicit World(std::uint64_t seed)
      : FaultyWorld(seed, 4), nodes(this->paused.size()) {
    this->store.on_write = [this](const auto&, const auto*, const auto& after) {
      RC_ASSERT(after.size() <= this->settings.max_record_bytes);
      const Bucket bucket = *Decode<Bucket>(after);
      for (const ClaimEntry& claim : bucket.claims) {
        this->written.insert(claim.token);
        RC_ASSERT(!this->impossible.contains(claim.token));
      }
    };
    // Short times, so that entries are purged and ids reused within a run.
    this->settings.retention_s = 20;
    this->settings.clock_margin_s = 5;
    this->settings.max_record_bytes = Uniform(0, 3) == 0 ? 300 : 100000;
    for (Node& node : this->nodes) {
      node.clock_error_s = static_cast<int>(Uniform(0, 4)) - 2;
      node.registry =
          std::make_unique<ClaimRegistry>(this->settings, this->random());
    }
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      RandomStep();
    }
  }

  // Ends all faults: every claim must be decided and every withdrawn one
  // removed from its record.
  void Settle() {
    Repair();
    for (int i = 0; i < 2000; ++i) {
      this->now += milliseconds(10);
      for (std::size_t n = 0; n < this->nodes.size(); ++n) {
        Tick(static_cast<int>(n));
        StoreStep();
      }
    }
    for (const Node& node : this->nodes) {
      RC_ASSERT(node.registry->PendingCount() == 0U);
    }
    RC_ASSERT(this->store.requests.empty());
    for (std::uint32_t i = 0; i < kBucketCount; ++i) {
      if (const auto* version = this->store.Current(KeyOf(i))) {
        const Bucket bucket = *Decode<Bucket>(version->value);
        for (const ClaimEntry& claim : bucket.claims) {
          RC_ASSERT(!this->unknown.contains(claim.token));
        }
      }
    }
  }

  std::map<ClaimOutcome, std::size_t> outcomes;

 private:
  friend class FaultyWorld<World>;

  [[nodiscard]] std::int64_t Wall(const Node& node) const {
    return std::chrono::duration_cast<seconds>(this->now.time_since_epoch())
               .count() +
           node.clock_error_s;
  }

  void Send(int index, const std::vector<StoreOp>& ops) {
    for (const StoreOp& op : ops) {
      const std::string& key = std::visit(
          [](const auto& item) -> const auto& { return item.key; }, op);
      RC_ASSERT(this->outstanding.insert({index, key}).second);
      this->store.Send(index, op);
    }
    for (const ClaimResult& result :
         this->nodes[index].registry->TakeResults()) {
      OnResult(result);
    }
  }

  void OnResult(const ClaimResult& result) {
    RC_ASSERT(this->decided.insert(result.token).second);
    ++this->outcomes[result.outcome];
    switch (result.outcome) {
      case ClaimOutcome::kClaimed: {
        RC_ASSERT(this->written.contains(result.token));
        // Two confirmed claims of one id must be a retention apart.
        const auto last = this->claimed_at.find(result.request);
        if (last != this->claimed_at.end()) {
          RC_ASSERT(this->now - last->second >
                    seconds(this->settings.retention_s) -
                        this->settings.deadline);
        }
        this->claimed_at[result.request] = this->now;
        break;
      }
      case ClaimOutcome::kTaken:
        RC_ASSERT(result.other_token != result.token);
        RC_ASSERT(this->written.contains(result.other_token));
        RC_ASSERT(!HeldNow(result));
        this->impossible.insert(result.token);
        break;
      case ClaimOutcome::kUnavailable:
        RC_ASSERT(!HeldNow(result));
        this->impossible.insert(result.token);
        break;
      case ClaimOutcome::kUnknown:
        this->unknown.insert(result.token);
    }
  }

  [[nodiscard]] bool HeldNow(const ClaimResult& result) const {
    const auto* version = this->store.Current(KeyOf(BucketOf(result.request)));
    if (version == nullptr) {
      return false;
    }
    const auto bucket = Decode<Bucket>(version->value);
    const ClaimEntry* entry = bucket->Find(result.request);
    return entry != nullptr && entry->token == result.token;
  }

  void Handle(int index, const StoreReply& reply) {
    Node& node = this->nodes[index];
    this->outstanding.erase({index, reply.key});
    Send(index, node.registry->OnReply(reply, this->now, Wall(node)));
  }

  void Tick(int index) {
    Node& node = this->nodes[index];
    Send(index, node.registry->Tick(this->now, Wall(node)));
  }

  void RandomStep() {
    const int index = AnyNode();
    Node& node = this->nodes[index];
    const std::uint32_t choice = Uniform(0, 199);
    if (choice < 90) {
      StoreStep();
    } else if (choice < 120) {
      this->now += milliseconds(Uniform(1, 60));
    } else if (choice < 122) {
      this->now += milliseconds(Uniform(500, 9000));
    } else if (choice < 124) {
      this->store.down = !this->store.down && this->store.Chance(0.3);
    } else if (choice < 128) {
      if (this->paused[index]) {
        Resume(index);
      } else {
        this->paused[index] = this->store.Chance(0.4);
      }
    } else if (this->paused[index]) {
      return;
    } else if (choice < 170) {
      Tick(index);
    } else {
      const RequestId request("request-" + std::to_string(Uniform(0, 5)));
      const std::string token = "token-" + std::to_string(++this->last_token);
      Send(index, node.registry->Claim(request, token, this->now, Wall(node)));
    }
  }

  Settings settings;
  std::vector<Node> nodes;
  std::uint64_t last_token = 0;
  std::set<std::pair<int, std::string>> outstanding;
  std::set<std::string> written;
  std::set<std::string> decided;
  std::set<std::string> impossible;  // reported as without effect
  std::set<std::string> unknown;
  std::map<RequestId, Time> claimed_at;
};

// Guards against two starts of one request id, refusals that take effect later,
// lost results and withdrawn claims that stay in their record, under lost
// replies, late writes, stale reads, outages, pauses and clock differences.
BOOST_AUTO_TEST_CASE(OneTokenIsConfirmedPerRequest) {
  std::map<ClaimOutcome, std::size_t> outcomes;
  BOOST_TEST(rc::check("claim registries over a faulty store", [&] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    World world(seed);
    world.Run(10000);
    world.Settle();
    for (const auto& [outcome, count] : world.outcomes) {
      outcomes[outcome] += count;
    }
  }));
  // The property is only tested if every outcome occurred often.
  for (const auto& [outcome, name] : NameTable<ClaimOutcome>::kEntries) {
    BOOST_TEST(outcomes[outcome] > 100U, name << ": " << outcomes[outcome]);
  }
}

}  // namespace
}  // namespace kch::once
