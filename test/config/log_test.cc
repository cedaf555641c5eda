#include <rapidcheck.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "config/config.h"
#include "fake_store.h"

namespace kch::config {
namespace {

using std::chrono::milliseconds;

Change DrawChange(FakeStore& store) {
  const auto name = [&](const char* kind) {
    return kind + std::to_string(store.Draw(4));
  };
  switch (store.Draw(8)) {
    case 0:
      return RemoveTeam{TeamId(name("t"))};
    case 1:
      return GrantKey{{KeyId(name("k")), TeamId(name("t")), HashSecret("s")}};
    case 2:
      return WithdrawKey{KeyId(name("k"))};
    case 3:
      return SetZone{{ZoneId(name("z")), store.Draw(2) == 0}};
    case 4:
      return PutPool{{PoolId(name("p")), false, 1, 1, 1}};
    case 5: {
      Profile profile;
      profile.id = ProfileId(name("f"));
      profile.pool = PoolId(name("p"));
      return PutProfile{profile};
    }
    default:
      return PutTeam{{TeamId(name("t")),
                      static_cast<std::uint32_t>(1 + store.Draw(9)), 3}};
  }
}

// Runs several proposers and followers over one store in a random order.
class Simulation {
 public:
  explicit Simulation(std::uint64_t seed)
      : random(seed), store(this->random), proposers(3), followers(4) {
    this->outstanding.resize(this->proposers.size());
    this->newest.resize(this->followers.size());
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      this->now += milliseconds(this->store.Draw(60));
      switch (this->store.Draw(12)) {
        case 0:
        case 1:
          this->Propose();
          break;
        case 2:
          this->store.down = this->store.Draw(6) == 0;
          if (this->store.Draw(8) == 0) {
            this->isolated_follower =
                this->store.Draw(2 * this->followers.size());
          }
          break;
        case 3:
          this->store.DeliverDelayedWrites();
          break;
        case 4:
          this->Repeat();
          break;
        case 5:
          this->now += milliseconds(this->store.Draw(20) == 0 ? 6'000 : 100);
          this->StepAll();
          break;
        case 6:
        case 7:
        case 8:
          this->Offer(this->store.Draw(this->followers.size()));
          break;
        default:
          this->Deliver(this->store.Draw(this->proposers.size()));
      }
    }
    this->Settle();
  }

 private:
  struct SentProposal {
    Proposal proposal;
    std::uint64_t revision_when_sent = 0;  // of the store, at the latest send
    bool unknown = false;
  };

  void Propose() {
    SentProposal sent;
    sent.proposal.change_id = "c" + std::to_string(this->sent.size());
    sent.proposal.change = DrawChange(this->store);
    if (this->store.Draw(3) == 0) {
      const auto subject =
          SubjectOf(this->store.states.back(), sent.proposal.change);
      sent.proposal.expected_revision =
          subject.revision + this->store.Draw(8) / 7;
    }
    this->sent.emplace(sent.proposal.change_id, sent);
    this->Send(sent.proposal.change_id);
  }

  // Sends a change with an unknown outcome again, to any proposer.
  void Repeat() {
    if (!this->unresolved.empty()) {
      const std::string id = this->unresolved.back();
      this->unresolved.pop_back();
      this->Send(id);
    }
  }

  void Send(const std::string& id) {
    SentProposal& sent = this->sent.at(id);
    sent.revision_when_sent = this->store.revision();
    const auto index = this->store.Draw(this->proposers.size());
    this->HandleEffects(
        index, this->proposers[index].Propose(sent.proposal, this->now));
  }

  void Deliver(std::size_t index) {
    if (const auto op = std::exchange(this->outstanding[index], {})) {
      // In some runs the operation takes effect long before its reply arrives.
      this->HandleEffects(
          index,
          this->proposers[index].OnReply(
              op->reply ? *op->reply : this->store.Execute(op->op), this->now));
    }
  }

  void StepAll() {
    for (std::size_t i = 0; i < this->proposers.size(); ++i) {
      this->HandleEffects(i, this->proposers[i].OnStep(this->now));
    }
  }

  void HandleEffects(std::size_t index, const ProposerEffects& effects) {
    for (const StoreOp& op : effects.operations) {
      RC_ASSERT(!this->outstanding[index]);
      this->outstanding[index] = InFlightOp{op, {}};
      if (this->store.Draw(2) == 0) {
        this->outstanding[index]->reply = this->store.Execute(op);
      }
    }
    for (const Finished& finished : effects.finished) {
      this->Check(finished);
    }
  }

  // True if a revision since the latest send justifies a refusal.
  bool RefusalJustified(const SentProposal& sent) {
    for (auto r = sent.revision_when_sent; r <= this->store.revision(); ++r) {
      State state = this->store.states[r];
      const auto subject = SubjectOf(state, sent.proposal.change);
      if ((sent.proposal.expected_revision &&
           *sent.proposal.expected_revision != subject.revision) ||
          !Apply(state, sent.proposal.change)) {
        return true;
      }
    }
    return false;
  }

  void Check(const Finished& finished) {
    SentProposal& sent = this->sent.at(finished.change_id);
    if (const auto* accepted = std::get_if<Accepted>(&finished.outcome)) {
      RC_ASSERT(accepted->revision <= this->store.revision());
      RC_ASSERT(this->store.states[accepted->revision].remembered.back().id ==
                finished.change_id);
      return;
    }
    if (std::holds_alternative<Unknown>(finished.outcome)) {
      sent.unknown = true;
      this->unresolved.push_back(finished.change_id);
      return;
    }
    const auto* rejected = std::get_if<Rejected>(&finished.outcome);
    if (rejected != nullptr &&
        rejected->error.kind == ErrorKind::kUnavailable) {
      if (!sent.unknown) {
        this->refused.insert(finished.change_id);
      }
      return;
    }
    RC_ASSERT(this->RefusalJustified(sent));
    this->refused.insert(finished.change_id);
  }

  // Offers any past head, any base or the state of any peer, in any order.
  void Offer(std::size_t index) {
    if (index == this->isolated_follower) {
      return;
    }
    Follower& follower = this->followers[index];
    Head& newest = this->newest[index];
    const std::uint64_t before = follower.revision();
    if (this->store.Draw(3) == 0) {
      const Follower& peer =
          this->followers[this->store.Draw(this->followers.size())];
      RC_ASSERT(follower.OfferBase(peer.state()).has_value());
    } else if (this->store.Draw(3) == 0) {
      const auto record =
          std::next(this->store.records.begin(),
                    static_cast<std::ptrdiff_t>(
                        this->store.Draw(this->store.records.size() + 1)));
      if (record != this->store.records.end() && record->first != kHeadKey) {
        RC_ASSERT(follower
                      .OfferBase(std::make_shared<const State>(
                          *Decode<State>(record->second.first)))
                      .has_value());
      }
    } else {
      const auto& heads = this->store.heads;
      const std::size_t age =
          this->store.Draw(2) == 0 ? this->store.Draw(heads.size()) : 0;
      const Head& head = heads[heads.size() - 1 - age];
      RC_ASSERT(follower.OfferHead(head).has_value());
      if (head.revision() > newest.revision()) {
        newest = head;
      }
    }
    // An offered head that can be applied does not remain pending.
    RC_ASSERT(newest.base_revision > follower.revision() ||
              newest.revision() <= follower.revision());
    RC_ASSERT(newest.revision() <= follower.revision() ||
              follower.required_base() == newest.base_revision);
    RC_ASSERT(follower.revision() >= before);
    RC_ASSERT(*follower.state() == this->store.states[follower.revision()]);
  }

  // After the store recovers, every proposal is answered and every follower has
  // the latest revision.
  void Settle() {
    this->store.down = false;
    this->store.DeliverDelayedWrites();
    for (int i = 0; i < 200; ++i) {
      this->now += milliseconds(100);
      this->StepAll();
      for (std::size_t p = 0; p < this->proposers.size(); ++p) {
        this->Deliver(p);
      }
    }
    this->store.DeliverDelayedWrites();
    for (const Proposer& proposer : this->proposers) {
      RC_ASSERT(proposer.size() == 0U);
    }
    RC_ASSERT(this->store.violations == std::vector<std::string>{});
    const State& last = this->store.states.back();
    for (const State& state : this->store.states) {
      if (!state.remembered.empty()) {
        RC_ASSERT(!this->refused.contains(state.remembered.back().id));
      }
    }
    for (Follower& follower : this->followers) {
      RC_ASSERT(follower.OfferHead(this->store.heads.back()).has_value());
      if (const auto base = follower.required_base()) {
        const auto record = this->store.records.at(BaseKey(*base));
        RC_ASSERT(follower
                      .OfferBase(std::make_shared<const State>(
                          *Decode<State>(record.first)))
                      .has_value());
      }
      RC_ASSERT(*follower.state() == last);
    }
    RC_CLASSIFY(this->store.heads.back().base_revision > 0, "folded");
    RC_CLASSIFY(
        std::any_of(this->sent.begin(), this->sent.end(),
                    [](const auto& sent) { return sent.second.unknown; }),
        "unknown outcomes");
  }

  struct InFlightOp {
    StoreOp op;
    std::optional<StoreReply> reply;  // if already executed by the store
  };

  Random random;
  FakeStore store;
  Time now;
  std::vector<Proposer> proposers;
  std::vector<Follower> followers;
  std::size_t isolated_follower = 0;  // receives no offers
  std::vector<Head> newest;           // offered to each follower
  std::vector<std::optional<InFlightOp>> outstanding;
  std::map<std::string, SentProposal> sent;
  std::vector<std::string> unresolved;
  std::set<std::string> refused;
};

// Guards against a configuration that reverts or differs between entries, an
// accepted change that is lost, a refused change that takes effect, a change
// applied twice after a lost reply, and a refusal based on an outdated head.
BOOST_AUTO_TEST_CASE(RacingProposersAndFollowersAgree) {
  BOOST_TEST(rc::check([] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    Simulation(seed).Run(1'500);
  }));
}

// Guards against a reused change id that is reported as accepted for a
// different change.
BOOST_AUTO_TEST_CASE(ReusedChangeIdIsRefused) {
  Random random(1);
  Proposer proposer;
  const Time now;
  FakeStore store(random);
  const auto run = [&](const Proposal& proposal) {
    auto effects = proposer.Propose(proposal, now);
    Time later = now;
    while (effects.finished.empty()) {
      later += kStoreRetryDelay;
      effects =
          effects.operations.empty()
              ? proposer.OnStep(later)
              : proposer.OnReply(store.Execute(effects.operations[0]), later);
    }
    return effects.finished[0].outcome;
  };
  const Proposal first{"id", PutTeam{{TeamId("a"), 1, 1}}, {}};
  const Proposal second{"id", PutTeam{{TeamId("a"), 2, 1}}, {}};
  BOOST_TEST(std::get<Accepted>(run(first)).revision == 1U);
  BOOST_TEST(std::get<Accepted>(run(first)).revision == 1U);
  BOOST_TEST(std::holds_alternative<Rejected>(run(second)));
}

}  // namespace
}  // namespace kch::config
