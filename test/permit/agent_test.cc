#include <boost/test/unit_test.hpp>

#include "permit/permit.h"

namespace kch::permit {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Subject kTeam{SubjectKind::kTeam, "sketch"};
const Holder kSelf{InstanceId("entry-a"), 7};
const Holder kPeer{InstanceId("entry-b"), 3};

// One agent; the test supplies the replies to its store operations.
struct Fixture {
  Time now{seconds(1000)};
  Agent agent{kSelf, Settings{}, 1};
  std::uint64_t version = 10;
  Record current;

  std::vector<StoreOp> Ops(const Effects& effects) {
    std::vector<StoreOp> ops;
    for (const Effect& effect : effects) {
      if (const auto* op = std::get_if<StoreOp>(&effect)) {
        ops.push_back(*op);
      }
    }
    return ops;
  }

  Effects Read(const Record& record) {
    this->current = record;
    return this->agent.OnReply(
        {KeyOf(kTeam), false, StoreStatus::kOk, Encode(record), this->version},
        this->now);
  }

  Effects Written(StoreStatus status) {
    this->version += status == StoreStatus::kOk ? 1 : 0;
    return this->agent.OnReply(
        {KeyOf(kTeam), true, status, std::nullopt, this->version}, this->now);
  }

  Effects TickAfter(Duration duration) {
    this->now += duration;
    return this->agent.Tick(this->now);
  }

  // The first write that is due within a second, if any; reads are answered
  // with the current record.
  std::optional<Record> NextWrite(Effects effects) {
    for (int i = 0; i < 20; ++i) {
      bool reads = false;
      for (const StoreOp& op : Ops(effects)) {
        if (const auto* cas = std::get_if<StoreCas>(&op)) {
          return *Decode<Record>(cas->value);
        }
        reads = true;
      }
      effects = reads ? Read(this->current) : TickAfter(milliseconds(50));
    }
    return std::nullopt;
  }

  // The write that must be sent within a second.
  Record Write(const Effects& effects) {
    const auto write = NextWrite(effects);
    BOOST_REQUIRE(write.has_value());
    return *write;
  }

  // An agent with `count` of `cap` permits, cap revision 1.
  void Hold(std::uint32_t count, std::uint32_t cap, std::uint32_t peer) {
    this->agent.SetLimit(kTeam, cap, 1, this->now);
    this->agent.SetDemand(kTeam, count, this->now);
    Read({cap, 1, {{kSelf, count, false, 0}, {kPeer, peer, false, 0}}});
    BOOST_TEST(this->agent.Usable(kTeam) == count);
  }
};

// Guards against records that instances interpret differently, and against
// acceptance of a record whose counts exceed the cap.
BOOST_AUTO_TEST_CASE(RecordsRoundTripAndCorruptOnesAreRefused) {
  const Record record{5, 9, {{kSelf, 2, false, 4}, {kPeer, 3, true, 1}}};
  BOOST_TEST((*Decode<Record>(Encode(record)) == record));
  const Record excessive{4, 9, {{kSelf, 2, false, 4}, {kPeer, 3, true, 1}}};
  for (const std::string& text :
       {std::string("{"), std::string("{}"), std::string("[]"),
        std::string(R"({"cap":-1,"cap_revision":1,"holdings":[]})"),
        std::string(R"({"cap":1,"cap_revision":1,"holdings":[{}]})"),
        Encode(excessive)}) {
    BOOST_TEST((Decode<Record>(text).error().kind == ErrorKind::kCorrupt));
  }
  BOOST_TEST((SubjectOf(KeyOf(kTeam)) == kTeam));
  BOOST_TEST(!SubjectOf("permit/pool/x").has_value());
}

// Guards against starts under a lowered limit, and against idle permits that
// keep the cap from being rewritten while work is queued here.
BOOST_AUTO_TEST_CASE(LoweredLimitBlocksUntilTheCapIsRewritten) {
  Fixture f;
  f.Hold(5, 10, 4);
  BOOST_TEST(f.agent.TryAcquire(kTeam));
  auto effects = f.agent.SetLimit(kTeam, 5, 2, f.now);
  BOOST_TEST(!f.agent.TryAcquire(kTeam));
  auto write = f.Write(effects);
  BOOST_TEST(write.Find(kSelf)->count == 1U);
  BOOST_TEST(write.cap == 5U);
  BOOST_TEST(!f.agent.TryAcquire(kTeam));
  f.Written(StoreStatus::kOk);
  BOOST_TEST(!f.agent.Blocked(kTeam));
  BOOST_TEST(!f.agent.TryAcquire(kTeam));  // the only permit is busy
}

// Guards against a cap below the permits in use, and against a rewrite that
// never happens.
BOOST_AUTO_TEST_CASE(CapIsRewrittenOnceTheLastExcessTaskEnds) {
  Fixture f;
  f.Hold(2, 4, 2);
  BOOST_TEST(f.agent.TryAcquire(kTeam));
  BOOST_TEST(f.agent.TryAcquire(kTeam));
  const auto none = f.NextWrite(f.agent.SetLimit(kTeam, 3, 2, f.now));
  BOOST_TEST(!none.has_value());
  BOOST_TEST(f.agent.Excess(kTeam) == 1U);
  const auto write = f.Write(f.agent.ReturnPermit(kTeam, f.now));
  BOOST_TEST(write.cap == 3U);
  BOOST_TEST(write.Sum() == 3U);
}

// Guards against starts above a lowered limit when another instance raised the
// cap before and this instance has not read it yet.
BOOST_AUTO_TEST_CASE(LoweredLimitIsVerifiedBeforeTheNextStart) {
  Fixture f;
  f.Hold(2, 4, 0);
  f.agent.SetLimit(kTeam, 9, 2, f.now);
  f.agent.SetLimit(kTeam, 4, 3, f.now);
  BOOST_TEST(!f.agent.CanAcquire(kTeam));
  f.Read({4, 1, {{kSelf, 2, false, 0}}});
  BOOST_TEST(f.agent.CanAcquire(kTeam));
}

// Guards against a transfer to a stopped holder, whose permits would only
// return after it is retired again.
BOOST_AUTO_TEST_CASE(StoppedHoldersReceiveNoTransfer) {
  Fixture f;
  f.Hold(6, 10, 1);
  f.agent.SetDemand(kTeam, 0, f.now);
  f.agent.Retire(kPeer, f.now);
  const auto write = f.Write(f.agent.OnTransferRequest(kTeam, kPeer, 2, f.now));
  BOOST_TEST(write.Find(kPeer)->count == 1U);
  BOOST_TEST(write.Find(kPeer)->retired);
}

// Guards against counting adopted permits as idle before the move is confirmed:
// the tasks of the stopped holder already use them.
BOOST_AUTO_TEST_CASE(AdoptedPermitsAreBusyFromTheStart) {
  Fixture f;
  f.agent.SetLimit(kTeam, 10, 1, f.now);
  f.Hold(3, 10, 4);
  BOOST_TEST(f.agent.TryAcquire(kTeam));
  f.agent.SetDemand(kTeam, 1, f.now);
  f.TickAfter(seconds(3));
  f.TickAfter(seconds(3));
  f.Read({10, 1, {{kSelf, 3, false, 0}, {kPeer, 4, false, 0}}});
  f.agent.Retire(kPeer, f.now);
  f.agent.Adopt(kTeam, kPeer, 2, f.now);
  const auto write =
      f.Write(f.Read({10, 1, {{kSelf, 3, false, 0}, {kPeer, 4, false, 0}}}));
  BOOST_TEST(write.Find(kSelf)->count == 3U);  // 1 busy, 2 adopted
  BOOST_TEST(write.Find(kPeer)->count == 2U);
  BOOST_TEST(write.Find(kPeer)->retired);
  BOOST_TEST(f.agent.Usable(kTeam) == 1U);
  const auto effects = f.Written(StoreStatus::kOk);
  BOOST_TEST(std::holds_alternative<Adopted>(effects.at(0)));
  BOOST_TEST(f.agent.Busy(kTeam) == 3U);
}

// Guards against an early reclaim while tasks of a stopped holder still run.
BOOST_AUTO_TEST_CASE(RetiredPermitsReturnAfterTheLongestLease) {
  Fixture f;
  f.Hold(0, 4, 4);
  f.agent.SetDemand(kTeam, 2, f.now);
  f.agent.Retire(kPeer, f.now);
  const Record marked{4, 1, {{kPeer, 4, true, 0}}};
  ++f.version;
  f.Read(marked);
  f.now += Settings{}.max_task_lease + Settings{}.reclaim_margin -
           milliseconds(1200);
  f.Read(marked);
  BOOST_TEST(!f.NextWrite({}).has_value());
  f.now += milliseconds(250);
  const auto write = f.Write(f.Read(marked));
  BOOST_TEST(write.Find(kPeer) == nullptr);
  BOOST_TEST(write.Find(kSelf)->count == 2U);
}

// Guards against a shutdown that retains idle permits or returns busy ones.
BOOST_AUTO_TEST_CASE(ReleaseReturnsIdleThenBusyPermits) {
  Fixture f;
  f.Hold(3, 4, 1);
  BOOST_TEST(f.agent.TryAcquire(kTeam));
  auto write = f.Write(f.agent.ReleaseAll(f.now));
  BOOST_TEST(write.Find(kSelf)->count == 1U);
  BOOST_TEST(!f.agent.TryAcquire(kTeam));
  f.Written(StoreStatus::kOk);
  BOOST_TEST(!f.agent.AllReleased());
  write = f.Write(f.agent.ReturnPermit(kTeam, f.now));
  BOOST_TEST(write.Find(kSelf) == nullptr);
  f.Written(StoreStatus::kOk);
  BOOST_TEST(f.agent.AllReleased());
}

// Guards against starts on a record that cannot be read, whose own count may be
// lower than the last known one.
BOOST_AUTO_TEST_CASE(CorruptRecordStopsStarts) {
  Fixture f;
  f.Hold(3, 4, 1);
  f.agent.OnReply({KeyOf(kTeam), false, StoreStatus::kOk, "{", 11}, f.now);
  BOOST_TEST(!f.agent.CanAcquire(kTeam));
  f.Read({4,
          1,
          {{kSelf, 3, false, 0}}});  // a late event with the previous version
  BOOST_TEST(!f.agent.CanAcquire(kTeam));
  f.version = 12;
  f.Read({4, 1, {{kSelf, 3, false, 0}}});
  BOOST_TEST(f.agent.CanAcquire(kTeam));
}

}  // namespace
}  // namespace kch::permit
