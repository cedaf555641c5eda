#include <boost/test/unit_test.hpp>
#include <variant>

#include "lead/lead.h"

namespace kch::lead {
namespace {

constexpr std::uint64_t kLease = 7;
constexpr Duration kClaimDelay = std::chrono::milliseconds(10);

template <typename T>
const T* Find(const std::vector<Effect>& effects) {
  for (const Effect& effect : effects) {
    if (const T* found = std::get_if<T>(&effect)) {
      return found;
    }
  }
  return nullptr;
}

struct Fixture {
  Time now{std::chrono::seconds(10)};
  Ownership ownership{{.instance = "a", .incarnation = "a-1", .address = "h:1"},
                      kClaimDelay};
  OwnerRecord other{.instance = "b",
                    .incarnation = "b-1",
                    .address = "h:2",
                    .revision = 40};

  std::vector<Effect> After(std::int64_t ms) {
    this->now += std::chrono::milliseconds(ms);
    this->ownership.Tick(this->now);
    return this->ownership.TakeEffects();
  }
  void BecomeOwner() {
    this->ownership.OnRecord(std::nullopt, 30, this->now);
    this->After(20);
    this->ownership.OnLease(StoreCallResult::kOk, kLease, this->now);
    this->ownership.OnClaim(kLease, StoreCallResult::kOk, 50, this->now);
  }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(OwnershipTest, Fixture)

BOOST_AUTO_TEST_CASE(ClaimsAnAbsentRecordAfterReadingIt) {
  BOOST_TEST(After(5000).empty());
  ownership.OnRecord(std::nullopt, 30, now);
  BOOST_TEST(Find<CreateLease>(After(20)) != nullptr);
  ownership.OnLease(StoreCallResult::kOk, kLease, now);
  const auto effects = ownership.TakeEffects();
  const auto* claim = Find<ClaimRecord>(effects);
  BOOST_REQUIRE(claim != nullptr);
  BOOST_TEST(claim->expected_revision == 0);
  BOOST_TEST(claim->lease == kLease);
  ownership.OnClaim(kLease, StoreCallResult::kOk, 50, now);
  const auto gained = ownership.TakeEffects();
  BOOST_REQUIRE(Find<OwnershipGained>(gained) != nullptr);
  BOOST_TEST(Find<OwnershipGained>(gained)->fence == 50);
  BOOST_TEST(ownership.HoldsValidLease(now));
}

// Guards against overwriting a valid owner: a candidate that had found no
// record claimed with the revision of a record written by another one
// meanwhile.
BOOST_AUTO_TEST_CASE(DoesNotOverwriteARecordThatAppearsWhileItsLeaseIsCreated) {
  ownership.OnRecord(std::nullopt, 30, now);
  After(20);
  ownership.OnRecord(other, other.revision, now);
  ownership.OnLease(StoreCallResult::kOk, kLease, now);
  const auto effects = ownership.TakeEffects();
  BOOST_TEST(Find<ClaimRecord>(effects) == nullptr);
  BOOST_TEST(Find<EndLease>(effects) != nullptr);
  BOOST_TEST(After(10'000).empty());
}

BOOST_AUTO_TEST_CASE(ReplacesTheRecordOfItsOwnEarlierProcess) {
  other.instance = "a";
  ownership.OnRecord(other, other.revision, now);
  BOOST_TEST(Find<CreateLease>(After(20)) != nullptr);
  ownership.OnLease(StoreCallResult::kOk, kLease, now);
  const auto effects = ownership.TakeEffects();
  BOOST_REQUIRE(Find<ClaimRecord>(effects) != nullptr);
  BOOST_TEST(Find<ClaimRecord>(effects)->expected_revision == 40);
}

BOOST_AUTO_TEST_CASE(ClaimWithoutAReplyIsReadBack) {
  ownership.OnRecord(std::nullopt, 30, now);
  After(20);
  ownership.OnLease(StoreCallResult::kOk, kLease, now);
  static_cast<void>(ownership.TakeEffects());
  ownership.OnClaim(kLease, StoreCallResult::kUnknown, 0, now);
  BOOST_TEST(Find<ReadRecord>(ownership.TakeEffects()) != nullptr);
  ownership.OnRecord(OwnerRecord{.instance = "a",
                                 .incarnation = "a-1",
                                 .address = "h:1",
                                 .revision = 51,
                                 .lease = kLease},
                     51, now);
  BOOST_TEST(Find<OwnershipGained>(ownership.TakeEffects()) != nullptr);
  BOOST_TEST(ownership.fence() == 51);
}

// Guards against a fleet without an owner: a claim and the read after it had no
// reply, and nothing asked for the record again.
BOOST_AUTO_TEST_CASE(ClaimIsReadBackUntilTheStoreReplies) {
  ownership.OnRecord(std::nullopt, 30, now);
  After(20);
  ownership.OnLease(StoreCallResult::kOk, kLease, now);
  ownership.OnClaim(kLease, StoreCallResult::kUnknown, 0, now);
  static_cast<void>(ownership.TakeEffects());
  for (int lost = 0; lost < 3; ++lost) {
    BOOST_TEST(After(1000).empty());  // one read at a time
    ownership.OnRecordUnread(now);
    const auto effects = After(ToMs(kClaimRetryInterval));
    BOOST_TEST(effects.size() == 1U);
    BOOST_TEST(Find<ReadRecord>(effects) != nullptr);
  }
  ownership.OnRecord(std::nullopt, 30, now);
  BOOST_TEST(Find<EndLease>(ownership.TakeEffects()) != nullptr);
  BOOST_TEST(Find<CreateLease>(After(20)) != nullptr);
  ownership.OnRecordUnread(now);  // of no claim
  BOOST_TEST(After(1000).empty());
}

// Guards against two owners at once: a claim that was given up is carried out
// late, and its record is taken for that of the next claim, whose lease
// outlives it.
BOOST_AUTO_TEST_CASE(RecordOfAnEarlierClaimIsGivenUp) {
  constexpr std::uint64_t next_lease = 8;
  const OwnerRecord late{.instance = "a",
                         .incarnation = "a-1",
                         .address = "h:1",
                         .revision = 51,
                         .lease = kLease};
  for (const bool claims_again : {false, true}) {
    Fixture candidate;
    Ownership& claims = candidate.ownership;
    claims.OnRecord(std::nullopt, 30, candidate.now);
    candidate.After(20);
    claims.OnLease(StoreCallResult::kOk, kLease, candidate.now);
    claims.OnClaim(kLease, StoreCallResult::kUnknown, 0, candidate.now);
    claims.OnRecord(std::nullopt, 40, candidate.now);
    static_cast<void>(claims.TakeEffects());
    if (claims_again) {
      candidate.After(20);
      claims.OnLease(StoreCallResult::kOk, next_lease, candidate.now);
      static_cast<void>(claims.TakeEffects());
    }
    claims.OnRecord(late, late.revision, candidate.now);
    const auto effects = claims.TakeEffects();
    BOOST_TEST(!claims.owner());
    BOOST_REQUIRE(Find<EndLease>(effects) != nullptr);
    BOOST_TEST(Find<EndLease>(effects)->lease == kLease);
    BOOST_TEST(Find<CreateLease>(candidate.After(20)) != nullptr);
    claims.OnLease(StoreCallResult::kOk, 9, candidate.now);
    const auto claim = claims.TakeEffects();
    BOOST_REQUIRE(Find<ClaimRecord>(claim) != nullptr);
    BOOST_TEST(Find<ClaimRecord>(claim)->expected_revision == late.revision);
  }
}

// Guards against an owner that stops although the store is unavailable, so that
// no successor can take over.
BOOST_AUTO_TEST_CASE(RemainsOwnerWhileTheStoreIsUnavailable) {
  BecomeOwner();
  for (int i = 0; i < 20; ++i) {
    After(500);
    ownership.OnRenewal(kLease, StoreCallResult::kUnknown, now, now);
  }
  BOOST_TEST(ownership.owner());
  BOOST_TEST(!ownership.HoldsValidLease(now));
}

// Guards against orders under a right that has expired: an owner that was
// paused past its lease gave orders before it knew of its successor.
BOOST_AUTO_TEST_CASE(OrdersNothingAfterAPauseUntilARenewalSucceeds) {
  BecomeOwner();
  ownership.OnRenewal(kLease, StoreCallResult::kOk, now, now);
  const Time sent = now;
  After(400);
  BOOST_TEST(ownership.MayOrder(now));
  After(3000);
  BOOST_TEST(!ownership.MayOrder(now));
  // The reply to a renewal from before the pause proves nothing about it.
  ownership.OnRenewal(kLease, StoreCallResult::kOk,
                      sent + std::chrono::milliseconds(400), now);
  BOOST_TEST(!ownership.MayOrder(now));
  const auto renewal = After(10);
  BOOST_TEST(Find<RenewLease>(renewal) != nullptr);
  ownership.OnRenewal(kLease, StoreCallResult::kUnknown, now, now);
  BOOST_TEST(!ownership.MayOrder(now));
  After(100);
  ownership.OnRenewal(kLease, StoreCallResult::kOk, now, now);
  BOOST_TEST(ownership.MayOrder(now));
}

// Guards against the same after a renewal that was answered late: as it counted
// as failed meanwhile, the owner took its pause for an outage of the store.
BOOST_AUTO_TEST_CASE(OrdersNothingAfterAPauseThatFollowsALateAnswer) {
  BecomeOwner();
  ownership.OnRenewal(kLease, StoreCallResult::kOk, now, now);
  const auto decided = After(400);
  const auto* renewal = Find<RenewLease>(decided);
  BOOST_REQUIRE(renewal != nullptr);
  const Time sent = renewal->sent;
  After(350);
  ownership.OnRenewal(kLease, StoreCallResult::kOk, sent, now);
  BOOST_TEST((ownership.lease_until() == sent + kOwnerLease));
  After(1700);
  BOOST_TEST(!ownership.HoldsValidLease(now));
  BOOST_TEST(!ownership.MayOrder(now));
}

// Guards against an owner that takes its own slowness, or the store's, for the
// loss of a renewal: an answer counts as long as the lease that it tells of.
BOOST_AUTO_TEST_CASE(LateAnswersToRenewalsKeepTheLease) {
  BecomeOwner();
  constexpr std::int64_t step_ms = 50;
  constexpr std::int64_t answer_ms = 1400;
  std::vector<Time> open;
  std::size_t sent = 0;
  for (std::int64_t ms = 0; ms < 10'000; ms += step_ms) {
    const auto decided = After(step_ms);
    if (const auto* renewal = Find<RenewLease>(decided)) {
      open.push_back(renewal->sent);
      ++sent;
    }
    if (!open.empty() &&
        now - open.front() >= std::chrono::milliseconds(answer_ms)) {
      ownership.OnRenewal(kLease, StoreCallResult::kOk, open.front(), now);
      open.erase(open.begin());
    }
    BOOST_TEST(ownership.HoldsValidLease(now));
  }
  BOOST_TEST(sent > 15);
  BOOST_TEST(sent < 40);
  // An earlier renewal's failure says nothing of a later one.
  const Time until = ownership.lease_until();
  ownership.OnRenewal(kLease, StoreCallResult::kUnknown, open.front(), now);
  BOOST_TEST((ownership.lease_until() == until));
  // Nor does its success shorten the lease.
  ownership.OnRenewal(kLease, StoreCallResult::kOk,
                      now - std::chrono::milliseconds(1900), now);
  BOOST_TEST((ownership.lease_until() == until));
}

// Guards against an owner that stops all work although the store is away for
// all, and against one that mistakes its own pause for an outage.
BOOST_AUTO_TEST_CASE(OrdersThroughAnOutageUnlessItPauses) {
  BecomeOwner();
  for (const StoreCallResult result :
       {StoreCallResult::kUnknown, StoreCallResult::kRefused}) {
    for (int i = 0; i < 20; ++i) {
      After(380);
      BOOST_TEST(ownership.MayOrder(now));
      ownership.OnRenewal(kLease, result, now, now);
    }
  }
  BOOST_TEST(!ownership.HoldsValidLease(now));
  After(1999);
  BOOST_TEST(ownership.MayOrder(now));
  ownership.OnRenewal(kLease, StoreCallResult::kUnknown, now, now);
  After(2000);
  BOOST_TEST(!ownership.MayOrder(now));
  ownership.OnRenewal(kLease, StoreCallResult::kUnknown, now, now);
  After(380);
  ownership.OnRenewal(kLease, StoreCallResult::kUnknown, now, now);
  BOOST_TEST(!ownership.MayOrder(now));
  BOOST_TEST(ownership.owner());
}

// Guards against two owners at once: an owner that is cut off from the store by
// itself went on as through an outage for all.
BOOST_AUTO_TEST_CASE(OrdersThroughAnOutageOnlyUnderLeasesOfAllFollowers) {
  BecomeOwner();
  ownership.followers().OnContact("b", "b-1", now);
  ownership.followers().OnContact("c", "c-1", now);
  const auto fail = [this] {
    const auto effects = After(250);
    ownership.OnRenewal(kLease, StoreCallResult::kUnknown, now, now);
    return Find<RequestFollowerLeases>(effects) != nullptr;
  };
  BOOST_TEST(!fail());
  // The lease that the store gave still holds.
  for (int i = 0; i < 6; ++i) {
    BOOST_TEST(fail());
    BOOST_TEST(ownership.MayOrder(now));
  }
  fail();
  fail();
  BOOST_TEST(!ownership.MayOrder(now));
  ownership.followers().OnGrant("b", "b-1", now, now);
  BOOST_TEST(!ownership.MayOrder(now));
  ownership.followers().OnGrant("c", "c-1", now, now);
  BOOST_TEST(ownership.MayOrder(now));
  // A lease counts from its request, and one of an earlier process is void.
  now += kFollowerLease - std::chrono::milliseconds(1);
  BOOST_TEST(ownership.MayOrder(now));
  ownership.OnRenewal(kLease, StoreCallResult::kUnknown, now, now);
  ownership.followers().OnGrant("b", "b-1", now, now);
  ownership.followers().OnGrant("c", "c-0", now, now);
  now += std::chrono::milliseconds(1);
  BOOST_TEST(!ownership.MayOrder(now));
  ownership.followers().OnLeaving("c", "c-1", now);
  BOOST_TEST(ownership.MayOrder(now));
  // The instances that have left may start again and claim.
  ownership.followers().OnLeaving("b", "b-1", now);
  BOOST_TEST(!ownership.MayOrder(now));
  ownership.followers().OnContact("c", "c-2", now);
  BOOST_TEST(!ownership.MayOrder(now));
  ownership.followers().OnGrant("c", "c-2", now, now);
  BOOST_TEST(ownership.MayOrder(now));
  ownership.OnRenewal(kLease, StoreCallResult::kOk, now, now);
  BOOST_TEST(ownership.HoldsValidLease(now));
  BOOST_TEST(Find<RequestFollowerLeases>(After(400)) == nullptr);
}

// Guards against a successor beside an owner to which it has just granted a
// lease, and against leases for an owner whose record has gone.
BOOST_AUTO_TEST_CASE(ClaimsNothingWhileALeaseIsGranted) {
  ownership.OnRecord(other, other.revision, now);
  BOOST_TEST(!ownership.GrantLease(other.revision - 1, now));
  BOOST_TEST(ownership.GrantLease(other.revision, now));
  const Time granted = now;
  ownership.OnRecord(std::nullopt, 41, now);
  BOOST_TEST(!ownership.GrantLease(other.revision, now));
  while (now < granted + kFollowerLease) {
    BOOST_TEST(Find<CreateLease>(After(50)) == nullptr);
  }
  BOOST_TEST(Find<CreateLease>(After(100)) != nullptr);
  BOOST_TEST(!ownership.GrantLease(other.revision, now));
}

// Guards against a small machine that owns the fleet after a cut of the owner,
// since its lease to that owner ends before those of the larger ones.
BOOST_AUTO_TEST_CASE(LeasesDoNotChangeTheOrderOfCandidates) {
  Ownership large({.instance = "l", .incarnation = "l-1"}, kClaimDelay);
  Ownership small({.instance = "s", .incarnation = "s-1"}, 10 * kClaimDelay);
  for (Ownership* candidate : {&large, &small}) {
    candidate->OnRecord(other, other.revision, now);
  }
  BOOST_TEST(small.GrantLease(other.revision, now));
  now += kFollowerLeaseInterval;
  BOOST_TEST(large.GrantLease(other.revision, now));
  for (Ownership* candidate : {&large, &small}) {
    candidate->OnRecord(std::nullopt, 41, now);
  }
  const auto claims = [this](Ownership& candidate) {
    candidate.Tick(now);
    return Find<CreateLease>(candidate.TakeEffects()) != nullptr;
  };
  while (!claims(large)) {
    BOOST_TEST(!claims(small));
    now += std::chrono::milliseconds(5);
  }
  BOOST_TEST(!claims(small));
}

// Guards against a successor that takes the work of an owner for ended which
// goes on without it: one that was not counted as a follower assumes the
// longest outage. Guards as well against one that waits although it knows
// better, which holds work back.
BOOST_AUTO_TEST_CASE(PredecessorMayOrderUnlessItCountsItsSuccessor) {
  const auto gain = [this](std::uint64_t revision) {
    ownership.OnRecord(std::nullopt, revision - 1, now);
    After(300);
    ownership.OnLease(StoreCallResult::kOk, kLease, now);
    ownership.OnClaim(kLease, StoreCallResult::kOk, revision, now);
    BOOST_TEST(ownership.owner());
  };
  const auto orders_for = [this](const std::optional<OwnerRecord>& last) {
    ownership.OnLastOwner(
        last ? std::optional(LastOwner{.owner = *last, .followers = {}})
             : std::nullopt,
        now);
    return ownership.predecessor_orders_until() - now;
  };
  gain(50);
  BOOST_TEST((orders_for(std::nullopt) == Duration::zero()));
  BOOST_TEST((orders_for(OwnerRecord{}) == kPredecessorWait));
  const auto follow = [this](std::uint64_t revision) {
    other.revision = revision;
    ownership.OnRecord(other, other.revision, now);
    ownership.OnOwnerContact(revision, now);
  };
  follow(60);
  gain(70);
  BOOST_TEST((orders_for(other) == Duration::zero()));
  // Another owner followed unnoticed, or this process may have missed it.
  follow(80);
  gain(90);
  OwnerRecord unseen = other;
  unseen.revision = 85;
  BOOST_TEST((orders_for(unseen) == kPredecessorWait));
  follow(100);
  ownership.OnSuspended();
  gain(110);
  BOOST_TEST((orders_for(other) == kPredecessorWait));
  // That the record is absent says nothing of who counts this process.
  follow(115);
  ownership.OnRecord(std::nullopt, 117, now);
  gain(119);
  BOOST_TEST((orders_for(other) == Duration::zero()));
  // Counted too long ago.
  follow(120);
  now += kCountedTime;
  gain(130);
  BOOST_TEST((orders_for(other) == kPredecessorWait));
  // The wait of a term goes on in the next one of the same process.
  const Time until = ownership.predecessor_orders_until();
  OwnerRecord own{.instance = "a", .incarnation = "a-1", .revision = 130};
  ownership.OnRenewal(kLease, StoreCallResult::kMissing, now, now);
  gain(140);
  orders_for(own);
  BOOST_TEST((ownership.predecessor_orders_until() == until));
  now = until;
  ownership.OnRenewal(kLease, StoreCallResult::kMissing, now, now);
  gain(150);
  BOOST_TEST((orders_for(own) == Duration::zero()));
  // An earlier process of this instance has ended.
  own.incarnation = "a-0";
  BOOST_TEST((orders_for(own) == Duration::zero()));
}

// Guards against two owners at once: an owner whose followers were cut off or
// started anew took itself for the only process.
BOOST_AUTO_TEST_CASE(OrdersThroughAnOutageNeedInstancesThatPredecessorsKnew) {
  BecomeOwner();
  BOOST_TEST(Find<StoreLastOwner>(After(0)) == nullptr);
  ownership.OnLastOwner(LastOwner{.owner = other, .followers = {"a", "c"}},
                        now);
  const auto stores = After(0);
  const auto* store = Find<StoreLastOwner>(stores);
  BOOST_REQUIRE(store != nullptr);
  BOOST_TEST(store->last.owner.revision == 50);
  const std::set<std::string> expected{"b", "c"};
  BOOST_TEST((store->last.followers == expected));
  BOOST_TEST(Find<StoreLastOwner>(After(10)) == nullptr);
  ownership.OnLastOwnerStored(StoreCallResult::kUnknown, now);
  BOOST_TEST(Find<StoreLastOwner>(After(50)) == nullptr);
  BOOST_TEST(Find<StoreLastOwner>(After(50)) != nullptr);
  ownership.OnLastOwnerStored(StoreCallResult::kOk, now);
  BOOST_TEST(Find<StoreLastOwner>(After(1000)) == nullptr);
  ownership.OnRenewal(kLease, StoreCallResult::kOk, now, now);
  now += kOwnerLease - std::chrono::milliseconds(1);
  ownership.OnRenewal(kLease, StoreCallResult::kUnknown, now, now);
  now += std::chrono::milliseconds(1);
  BOOST_TEST(!ownership.MayOrder(now));
  // Two of the three known instances have joined.
  ownership.followers().OnContact("c", "c-2", now);
  BOOST_TEST(!ownership.MayOrder(now));
  ownership.followers().OnGrant("c", "c-2", now, now);
  BOOST_TEST(ownership.MayOrder(now));
  ownership.followers().OnContact("b", "b-2", now);
  BOOST_TEST(!ownership.MayOrder(now));
  ownership.followers().OnGrant("b", "b-2", now, now);
  BOOST_TEST(ownership.MayOrder(now));
}

// Guards against a successor that does not know of a process that joined the
// owner after its takeover.
BOOST_AUTO_TEST_CASE(StoresFollowersThatJoinLater) {
  BecomeOwner();
  ownership.OnLastOwner(std::nullopt, now);
  After(0);
  ownership.OnLastOwnerStored(StoreCallResult::kOk, now);
  ownership.followers().OnContact("b", "b-1", now);
  BOOST_TEST(Find<StoreLastOwner>(After(100)) == nullptr);
  // While the store is away the record can wait.
  ownership.OnRenewal(kLease, StoreCallResult::kUnknown, now, now);
  BOOST_TEST(Find<StoreLastOwner>(After(400)) == nullptr);
  ownership.OnRenewal(kLease, StoreCallResult::kOk, now, now);
  const auto effects = After(0);
  const auto* store = Find<StoreLastOwner>(effects);
  BOOST_REQUIRE(store != nullptr);
  BOOST_TEST((store->last.followers == std::set<std::string>{"b"}));
}

// Guards against a third owner beside a first one that the second did not know
// to have ended.
BOOST_AUTO_TEST_CASE(WaitForAnEarlierOwnerIsHandedOn) {
  BecomeOwner();
  ownership.OnLastOwner(LastOwner{.owner = other, .followers = {}}, now);
  const auto first = After(0);
  BOOST_REQUIRE(Find<StoreLastOwner>(first) != nullptr);
  BOOST_TEST((Find<StoreLastOwner>(first)->last.predecessor_orders ==
              kPredecessorWait));
  ownership.OnLastOwnerStored(StoreCallResult::kOk, now);
  BOOST_TEST(Find<StoreLastOwner>(After(20'000)) == nullptr);
  ownership.OnRenewal(kLease, StoreCallResult::kOk, now, now);
  const auto later = After(500);
  BOOST_REQUIRE(Find<StoreLastOwner>(later) != nullptr);
  BOOST_TEST((Find<StoreLastOwner>(later)->last.predecessor_orders ==
              Duration::zero()));
  const Duration left = std::chrono::seconds(7);
  // The owner before was an earlier process of this instance, which has ended.
  other.instance = "a";
  ownership.OnLastOwner(
      LastOwner{.owner = other, .followers = {}, .predecessor_orders = left},
      now);
  BOOST_TEST((ownership.predecessor_orders_until() == now + left));
}

// Guards against a task at work twice beside an owner that is cut off: its
// successor, which waited for it, started anew, and the next owner took that
// for the end of both.
BOOST_AUTO_TEST_CASE(OwnerBeforeThePredecessorIsWaitedForAfterARestart) {
  BecomeOwner();
  const Duration left = std::chrono::seconds(7);
  ownership.OnLastOwner(
      LastOwner{.owner = other, .followers = {}, .predecessor_orders = left},
      now);
  BOOST_TEST(!ownership.OnJoined(other.instance, other.incarnation, now));
  BOOST_TEST((ownership.predecessor_orders_until() == now + kPredecessorWait));
  BOOST_TEST(!ownership.OnJoined("c", "c-2", now));
  BOOST_TEST((ownership.predecessor_orders_until() == now + kPredecessorWait));
  BOOST_TEST(ownership.OnJoined(other.instance, "b-2", now));
  BOOST_TEST((ownership.predecessor_orders_until() == now + left));
}

// Guards against a new machine that owns the fleet and holds work back, since
// the others wait for the end of the leases that they have granted.
BOOST_AUTO_TEST_CASE(NewcomersClaimAfterTheOthers) {
  ownership.OnRecord(other, other.revision, now);
  ownership.OnRecord(std::nullopt, 41, now);
  BOOST_TEST(Find<ReadLastOwner>(ownership.TakeEffects()) != nullptr);
  ownership.OnLastOwnerRead(LastOwner{.owner = other, .followers = {"a"}}, now);
  const Time vacant = now;
  while (now < vacant + kNewcomerDelay) {
    BOOST_TEST(Find<CreateLease>(After(50)) == nullptr);
  }
  BOOST_TEST(Find<CreateLease>(After(50)) != nullptr);

  Fixture counted;
  counted.ownership.OnRecord(other, other.revision, counted.now);
  counted.ownership.OnOwnerContact(other.revision, counted.now);
  counted.ownership.OnRecord(std::nullopt, 41, counted.now);
  counted.ownership.OnLastOwnerRead(
      LastOwner{.owner = other, .followers = {"a", "c"}}, counted.now);
  BOOST_TEST(Find<CreateLease>(counted.After(20)) != nullptr);
}

// Guards against a wait that starts anew with each takeover: a successor read
// the time that was left when its predecessor began to wait.
BOOST_AUTO_TEST_CASE(WaitThatIsHandedOnHasAged) {
  BecomeOwner();
  ownership.OnLastOwner(LastOwner{.owner = other, .followers = {}}, now);
  std::optional<LastOwner> stored;
  for (Duration waited{}; waited < kPredecessorWait;
       waited += std::chrono::milliseconds(100)) {
    const auto effects = After(100);
    if (const auto* store = Find<StoreLastOwner>(effects)) {
      stored = store->last;
      ownership.OnLastOwnerStored(StoreCallResult::kOk, now);
    }
    ownership.OnRenewal(kLease, StoreCallResult::kOk, now, now);
    BOOST_REQUIRE(stored.has_value());
    const Duration left = ownership.predecessor_orders_until() - now;
    BOOST_TEST((stored->predecessor_orders <=
                std::max(Duration::zero(), left) + 2 * kWaitListingStep));
  }
}

// Guards against tasks that wait for 20 s after a rolling restart: a process
// that the last owner had not counted did not know that this owner had stopped.
BOOST_AUTO_TEST_CASE(OwnerThatHasStoppedIsNotWaitedFor) {
  BecomeOwner();
  ownership.OnLastOwner(std::nullopt, now);
  After(0);
  ownership.OnLastOwnerStored(StoreCallResult::kOk, now);
  ownership.Resign(now);
  const auto effects = ownership.TakeEffects();
  BOOST_TEST(Find<EndLease>(effects) == nullptr);
  const auto* end = Find<StoreEnd>(effects);
  BOOST_REQUIRE(end != nullptr);
  BOOST_TEST(end->lease == kLease);
  BOOST_TEST(end->last.ended);
  BOOST_TEST(end->last.owner.revision == 50);
  BOOST_TEST(Find<OwnershipLost>({effects.front()}) != nullptr);

  Ownership next({.instance = "n", .incarnation = "n-1"}, kClaimDelay);
  next.OnRecord(std::nullopt, 60, now);
  next.OnLastOwnerRead(end->last, now);
  next.Tick(now + 2 * kClaimDelay);
  BOOST_TEST(Find<CreateLease>(next.TakeEffects()) != nullptr);
  next.OnLease(StoreCallResult::kOk, kLease, now);
  next.OnClaim(kLease, StoreCallResult::kOk, 70, now);
  next.OnLastOwner(end->last, now);
  BOOST_TEST((next.predecessor_orders_until() == now));
  // What that owner waited for itself may go on.
  LastOwner waiting = end->last;
  waiting.predecessor_orders = std::chrono::seconds(7);
  next.OnLastOwner(waiting, now);
  BOOST_TEST(
      (next.predecessor_orders_until() == now + std::chrono::seconds(7)));
}

// A successor need not wait for the owner that hands over, which claims the
// fleet again only if nobody else does.
BOOST_AUTO_TEST_CASE(HandoverEndsTheTermForOthersToClaim) {
  BecomeOwner();
  ownership.OnLastOwner(std::nullopt, now);
  After(0);
  ownership.OnLastOwnerStored(StoreCallResult::kOk, now);
  BOOST_REQUIRE(ownership.HandOver(now));
  BOOST_TEST(!ownership.owner());
  const auto effects = ownership.TakeEffects();
  BOOST_TEST(Find<OwnershipLost>({effects.front()}) != nullptr);
  const auto* end = Find<StoreEnd>(effects);
  BOOST_REQUIRE(end != nullptr);
  BOOST_TEST(end->lease == kLease);
  BOOST_TEST(end->last.ended);
  BOOST_TEST(end->last.handed_over);
  ownership.OnRecord(std::nullopt, 60, now);
  BOOST_TEST(Find<CreateLease>(After(1000)) == nullptr);
  BOOST_TEST(Find<CreateLease>(After(100)) != nullptr);

  Ownership next({.instance = "n", .incarnation = "n-1"}, kClaimDelay);
  next.OnRecord(std::nullopt, 60, now);
  next.OnLastOwnerRead(end->last, now);
  next.Tick(now + 2 * kClaimDelay);
  next.OnLease(StoreCallResult::kOk, kLease, now);
  next.OnClaim(kLease, StoreCallResult::kOk, 70, now);
  next.OnLastOwner(end->last, now);
  BOOST_TEST(next.follows_handover());
  BOOST_TEST((next.predecessor_orders_until() == now));
}

// Guards against a fleet without an owner: others claim nothing while they have
// granted a lease, and wait for an owner that is not stored as the last one.
BOOST_AUTO_TEST_CASE(NothingIsHandedOverThatOthersCannotClaimAtOnce) {
  BOOST_TEST(!ownership.HandOver(now));
  BecomeOwner();
  BOOST_TEST(!ownership.HandOver(now));  // not stored as the last owner
  ownership.OnLastOwner(std::nullopt, now);
  After(0);
  ownership.OnLastOwnerStored(StoreCallResult::kOk, now);
  After(300);  // the renewal has no answer
  BOOST_TEST(!ownership.HandOver(now));
  After(100);
  ownership.OnRenewal(kLease, StoreCallResult::kOk, now, now);
  BOOST_TEST(!ownership.HandOver(now));  // leases may be granted
  for (int i = 0; i < 11; ++i) {
    After(100);
    ownership.OnRenewal(kLease, StoreCallResult::kOk, now, now);
  }
  BOOST_TEST(ownership.HandOver(now));
}

// Guards against a successor that is not told of the end: it is stored on the
// condition that the owner's record as the last one has not changed.
BOOST_AUTO_TEST_CASE(NothingIsHandedOverWhileTheOwnersRecordIsWritten) {
  BecomeOwner();
  ownership.OnLastOwner(std::nullopt, now);
  After(0);
  ownership.OnLastOwnerStored(StoreCallResult::kOk, now);
  ownership.followers().OnContact("b", "b-1", now);
  const auto stores_itself_within = [this](int ms) {
    for (; ms > 0; ms -= 50) {
      const auto effects = After(50);
      ownership.OnRenewal(kLease, StoreCallResult::kOk, now, now);
      if (Find<StoreLastOwner>(effects) != nullptr) {
        return true;
      }
    }
    return false;
  };
  BOOST_REQUIRE(stores_itself_within(500));
  BOOST_TEST(!ownership.HandOver(now));
  // The write may have been carried out.
  ownership.OnLastOwnerStored(StoreCallResult::kUnknown, now);
  BOOST_TEST(!ownership.HandOver(now));
  BOOST_REQUIRE(stores_itself_within(100));
  ownership.OnLastOwnerStored(StoreCallResult::kOk, now);
  BOOST_TEST(ownership.HandOver(now));
}

// Guards against an owner that takes the fleet back before anyone else could
// claim it: the answer to the end of its lease is lost, so others see its
// record until the lease is over.
BOOST_AUTO_TEST_CASE(FleetIsNotTakenBackWhileOthersSeeAnOwner) {
  BecomeOwner();
  ownership.OnLastOwner(std::nullopt, now);
  After(0);
  ownership.OnLastOwnerStored(StoreCallResult::kOk, now);
  const Time lease_until = ownership.lease_until();
  BOOST_REQUIRE(ownership.HandOver(now));
  static_cast<void>(ownership.TakeEffects());
  while (now < lease_until + kMaxCandidateDelay) {
    BOOST_REQUIRE(Find<CreateLease>(After(50)) == nullptr);
  }
  // Nobody else claims.
  BOOST_TEST(Find<CreateLease>(After(1000)) != nullptr);
}

// Guards against a lease that is ended before it is stored that the owner gives
// no more orders: the record of the owner is listed again meanwhile.
BOOST_AUTO_TEST_CASE(HandoverIsStoredBeforeItsLeaseEnds) {
  BecomeOwner();
  ownership.OnLastOwner(std::nullopt, now);
  After(0);
  ownership.OnLastOwnerStored(StoreCallResult::kOk, now);
  const std::optional<OwnerRecord> own = ownership.observed_owner();
  BOOST_REQUIRE(ownership.HandOver(now));
  static_cast<void>(ownership.TakeEffects());
  ownership.OnRecord(own, own->revision, now);
  BOOST_TEST(Find<EndLease>(ownership.TakeEffects()) == nullptr);
}

BOOST_AUTO_TEST_CASE(LastOwnerRoundTrips) {
  const LastOwner last{.owner = other,
                       .followers = {"a", "c"},
                       .predecessor_orders = std::chrono::seconds(3),
                       .ended = true,
                       .handed_over = true};
  const auto read = DecodeLastOwner(Encode(last));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((*read == last));
  // As stored by an earlier version.
  const auto earlier = DecodeLastOwner(
      R"({"instance":"b","incarnation":"b-1","address":"h:2","revision":40})");
  BOOST_REQUIRE(earlier.has_value());
  BOOST_TEST((earlier->owner == other));
  BOOST_TEST(earlier->followers.empty());
  for (const std::string text : {"", "7", "{}", R"({"revision":-1})",
                                 R"({"revision":1})", R"({"instance":"b"})"}) {
    BOOST_TEST(!DecodeLastOwner(text).has_value());
  }
}

BOOST_AUTO_TEST_CASE(LosesOwnershipWhenItsLeaseEndsOrAnotherOwnsTheFleet) {
  BecomeOwner();
  static_cast<void>(ownership.TakeEffects());
  ownership.OnRenewal(kLease, StoreCallResult::kMissing, now, now);
  BOOST_TEST(Find<OwnershipLost>(ownership.TakeEffects()) != nullptr);

  Fixture second;
  second.BecomeOwner();
  static_cast<void>(second.ownership.TakeEffects());
  second.other.revision = 60;
  second.ownership.OnRecord(second.other, second.other.revision, second.now);
  BOOST_TEST(Find<OwnershipLost>(second.ownership.TakeEffects()) != nullptr);
  BOOST_TEST(second.After(10'000).empty());
}

// An outage lets the owner's lease lapse, and the owner claims the fleet anew.
// Guards against taking what it hears late of its earlier term for the end of
// the new one: two takeovers within a second.
BOOST_AUTO_TEST_CASE(LateNewsOfAnEarlierTermDoNotEndThisOne) {
  BecomeOwner();
  ownership.OnRenewal(kLease, StoreCallResult::kMissing, now, now);
  constexpr std::uint64_t lease = 8;
  After(300);
  ownership.OnLease(StoreCallResult::kOk, lease, now);
  ownership.OnClaim(kLease, StoreCallResult::kOk, 58, now);
  BOOST_TEST(!ownership.owner());
  ownership.OnClaim(lease, StoreCallResult::kOk, 60, now);
  static_cast<void>(ownership.TakeEffects());
  BOOST_TEST(!ownership.OnRecord(std::nullopt, 55, now));
  other.revision = 45;
  BOOST_TEST(!ownership.OnRecord(other, other.revision, now));
  ownership.OnRenewal(kLease, StoreCallResult::kMissing, now, now);
  BOOST_TEST(Find<OwnershipLost>(ownership.TakeEffects()) == nullptr);
  BOOST_TEST(ownership.fence() == 60);
  const Time until = ownership.lease_until();
  ownership.OnRenewal(kLease, StoreCallResult::kOk,
                      now + std::chrono::milliseconds(100), now);
  BOOST_TEST((ownership.lease_until() == until));
  BOOST_TEST(ownership.OnRecord(std::nullopt, 61, now));
  BOOST_TEST(Find<OwnershipLost>(ownership.TakeEffects()) != nullptr);
}

// Guards against two terms with one fencing token. An owner that gave up after
// a suspension found its own record, continued under the same token, and took
// replies to writes of its earlier scheduler for replies to the new one.
BOOST_AUTO_TEST_CASE(NewTermHasANewFence) {
  BecomeOwner();
  static_cast<void>(ownership.TakeEffects());
  ownership.OnSuperseded(now);
  static_cast<void>(ownership.TakeEffects());
  ownership.OnRecord(OwnerRecord{.instance = "a",
                                 .incarnation = "a-1",
                                 .address = "h:1",
                                 .revision = 50},
                     50, now);
  const auto effects = ownership.TakeEffects();
  BOOST_TEST(Find<OwnershipGained>(effects) == nullptr);
  BOOST_TEST(Find<EndLease>(effects) != nullptr);
  BOOST_TEST(Find<CreateLease>(After(20)) != nullptr);
  ownership.OnLease(StoreCallResult::kOk, 8, now);
  ownership.OnClaim(8, StoreCallResult::kOk, 60, now);
  BOOST_TEST(ownership.fence() == 60);
}

BOOST_AUTO_TEST_CASE(ResigningEndsTheLeaseAndClaimsNoMore) {
  BecomeOwner();
  static_cast<void>(ownership.TakeEffects());
  ownership.Resign(now);
  const auto effects = ownership.TakeEffects();
  BOOST_TEST(Find<EndLease>(effects) != nullptr);
  ownership.OnRecord(std::nullopt, 51, now);
  BOOST_TEST(After(10'000).empty());
}

// Guards against a small machine that owns the fleet while a larger one is
// available: the decisions of a takeover and of a load peak are bounded by the
// CPU of one process.
BOOST_AUTO_TEST_CASE(LargerMachineClaimsBeforeASmallerOne) {
  for (int i = 0; i < 100; ++i) {
    const std::string name = "e" + std::to_string(i);
    BOOST_TEST(CandidateDelay(0.12, name).count() >
               CandidateDelay(0.25, "x" + name).count());
    BOOST_TEST(CandidateDelay(0.25, name).count() >
               CandidateDelay(0.5, "x" + name).count());
    BOOST_TEST(CandidateDelay(0.001, name).count() ==
               kMaxCandidateDelay.count());
  }
  BOOST_TEST(CandidateDelay(0.5, "a").count() !=
             CandidateDelay(0.5, "b").count());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::lead
