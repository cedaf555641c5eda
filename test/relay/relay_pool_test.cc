#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "relay/relay.h"

namespace kch::relay {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kVms = 352;
constexpr std::uint64_t kFence = 7;

jobs::Destination VmAt(std::size_t vm) {
  return {VmId("vm" + std::to_string(vm)), "10.0.0.1:1"};
}

Order PollOf(std::size_t vm) {
  return jobs::PollVm{.to = VmAt(vm), .recorded_end = 3, .wait_ms = 1200};
}

Order StartOf(std::size_t vm, std::int64_t run = 1) {
  return jobs::StartRun{.to = VmAt(vm),
                        .task = {jobs::JobId("a"), 0, 0, 0},
                        .run = run,
                        .payload = "text"};
}

// An owner's relay pool with processes that report while they are in `alive`.
struct Fixture {
  Time now{std::chrono::seconds(100)};
  RelayPool pool{kFence, this->now + milliseconds(500)};
  std::map<InstanceId, std::vector<Call>> sent;  // by relay, not answered yet
  std::map<InstanceId, std::string> alive;       // with incarnation
  std::vector<Call> direct_calls;
  std::vector<DeliverReply> delivered;
  std::vector<DeliverLateReport> late_reports;
  int connects = 0;
  bool superseded = false;

  explicit Fixture(int processes, std::size_t vms = kVms) {
    this->pool.SetVmCount(vms);
    for (int i = 0; i < processes; ++i) {
      this->alive[InstanceId("p" + std::to_string(i))] = "1";
    }
    this->Run(1);
  }

  Report ReportOf(const InstanceId& id) const {
    return {.fence = kFence,
            .instance = id,
            .incarnation = this->alive.at(id),
            .address = "10.0.1.1:1",
            .clock_ms = ToMs(this->now.time_since_epoch())};
  }
  // Advances the time in steps; every process in `alive` reports in each.
  void Run(std::int64_t ms) {
    constexpr std::int64_t step = 50;
    for (std::int64_t passed = 0; passed < ms; passed += step) {
      this->now += milliseconds(std::min(step, ms - passed));
      for (const auto& [id, incarnation] : this->alive) {
        this->pool.OnReport(this->ReportOf(id), this->now);
      }
      this->ApplyEffects();
    }
  }
  void ApplyEffects() {
    this->pool.Tick(this->now);
    for (Effect& effect : this->pool.TakeEffects()) {
      if (auto* forward = std::get_if<Forward>(&effect)) {
        BOOST_TEST(forward->batch.fence == kFence);
        for (Call& call : forward->batch.calls) {
          this->sent[forward->relay].push_back(std::move(call));
        }
      } else if (auto* call = std::get_if<DirectCall>(&effect)) {
        this->direct_calls.push_back(std::move(call->call));
      } else if (auto* reply = std::get_if<DeliverReply>(&effect)) {
        this->delivered.push_back(std::move(*reply));
      } else if (auto* report = std::get_if<DeliverLateReport>(&effect)) {
        this->late_reports.push_back(std::move(*report));
      } else if (std::holds_alternative<Superseded>(effect)) {
        this->superseded = true;
      } else {
        this->connects += std::holds_alternative<Connect>(effect) ? 1 : 0;
      }
    }
  }
  void AnswerAll(const InstanceId& relay) {
    Report report = this->ReportOf(relay);
    for (const Call& call : std::exchange(this->sent[relay], {})) {
      report.replies.push_back({call.number, UnansweredReply(call.order)});
    }
    this->pool.OnReport(report, this->now);
    this->ApplyEffects();
  }
  // The process with the most unanswered calls.
  InstanceId Busiest() const {
    return std::ranges::max_element(
               this->sent, {},
               [](const auto& row) { return row.second.size(); })
        ->first;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(RelayPoolTest)

// Guards against the cascade of a fleet that is left to a few small machines: a
// relay that is only slow was passed over, and its calls and VMs made the
// others slow as well.
BOOST_AUTO_TEST_CASE(SlowRelayThatAnswersKeepsItsVms) {
  Fixture fixture(3, 90);
  std::size_t submitted = 0;
  const auto submit = [&] {
    for (std::size_t vm = 0; vm < 90; vm += 9) {
      fixture.pool.Submit(StartOf(vm, static_cast<std::int64_t>(submitted)),
                          fixture.now);
      ++submitted;
    }
  };
  // Every call is answered, after a time that grows up to 1.6 s.
  constexpr std::int64_t step_ms = 100;
  constexpr int max_steps_late = 16;
  std::deque<std::map<InstanceId, std::vector<Call>>> open;
  for (int i = 0; i < 80; ++i) {
    submit();
    fixture.Run(step_ms);
    open.push_back(std::exchange(fixture.sent, {}));
    const int steps_late = std::min(i / 2, max_steps_late);
    while (open.size() > static_cast<std::size_t>(steps_late)) {
      for (auto& [relay, calls] : open.front()) {
        fixture.sent[relay] = std::move(calls);
        fixture.AnswerAll(relay);
      }
      open.pop_front();
    }
  }
  BOOST_TEST(fixture.pool.relay_count() == 3);
  BOOST_TEST(fixture.delivered.size() > 0);
  for (const DeliverReply& reply : fixture.delivered) {
    BOOST_TEST((std::get<StartReply>(reply.reply).answer !=
                jobs::StartAnswer::kRelayLost));
  }
  // One that answers nothing more is passed over although it reports.
  fixture.Run(4000);
  BOOST_TEST(fixture.delivered.size() == submitted);
}

// Guards against a call that waits for ever for a reply that was lost on the
// way from a relay that answers others.
BOOST_AUTO_TEST_CASE(LostReplyOfABusyRelayIsGivenUp) {
  Fixture fixture(3, 90);
  fixture.pool.Submit(StartOf(0), fixture.now);
  fixture.ApplyEffects();
  const InstanceId relay = fixture.sent.begin()->first;
  fixture.sent.clear();
  for (int i = 0; i < 30; ++i) {
    fixture.pool.Submit(StartOf(0, 2 + i), fixture.now);
    fixture.Run(100);
    fixture.AnswerAll(relay);
  }
  BOOST_TEST(fixture.pool.open_call_count() == 0);
  BOOST_TEST(
      (std::ranges::count_if(fixture.delivered, [](const DeliverReply& reply) {
         return std::get<StartReply>(reply.reply).answer ==
                jobs::StartAnswer::kRelayLost;
       }) == 1));
}

// Guards against runs that lapse with a single lost poll: what renews their
// lease until then is the poll before, which was sent a long wait earlier.
BOOST_AUTO_TEST_CASE(LostPollOfABusyRelayIsResentWithinTheLease) {
  Fixture fixture(3, 90);
  const Time renewed = fixture.now;
  fixture.pool.Submit(PollOf(0), fixture.now);
  fixture.Run(1200);
  const InstanceId relay = fixture.sent.begin()->first;
  fixture.AnswerAll(relay);
  BOOST_REQUIRE(fixture.pool.open_call_count() == 0);
  fixture.pool.Submit(PollOf(0), fixture.now);
  fixture.ApplyEffects();
  fixture.sent.clear();  // lost
  bool resent = false;
  for (int i = 0; !resent && i < 100; ++i) {
    fixture.pool.Submit(StartOf(0, 2 + i), fixture.now);
    fixture.Run(50);
    for (const auto& [id, calls] : fixture.sent) {
      resent |= std::ranges::any_of(calls, [](const Call& call) {
        return std::holds_alternative<jobs::PollVm>(call.order);
      });
    }
    for (const auto& [id, incarnation] : fixture.alive) {
      fixture.AnswerAll(id);
    }
  }
  BOOST_REQUIRE(resent);
  // The resent poll has to reach the VM as well.
  BOOST_TEST(ToMs(fixture.now - renewed) <=
             ToMs(jobs::Limits().lease - milliseconds(200)));
}

// Guards against polls, and with them leases, that wait behind more starts than
// a few slow relays can make.
BOOST_AUTO_TEST_CASE(OpenStartsAreBoundedByTheRelays) {
  Fixture fixture(3, 90);
  fixture.pool.Submit(PollOf(0), fixture.now);
  fixture.Run(100);
  BOOST_REQUIRE(fixture.pool.relay_count() == 3);
  const std::size_t room = 3 * kMaxOpenStartsPerRelay;
  BOOST_TEST(fixture.pool.StartRoom().value() == room);
  for (std::size_t i = 0; i < room + 5; ++i) {
    fixture.pool.Submit(StartOf(i % 90), fixture.now);
  }
  fixture.ApplyEffects();
  BOOST_TEST(fixture.pool.StartRoom().value() == 0);
  fixture.Run(100);
  std::size_t answered = 0;
  for (const auto& [id, incarnation] : fixture.alive) {
    answered += fixture.sent[id].size();
    fixture.AnswerAll(id);
  }
  BOOST_TEST(answered == room + 5 + 1);
  BOOST_TEST(fixture.pool.StartRoom().value() == room);
  BOOST_TEST(!Fixture(3, 10).pool.StartRoom().has_value());
}

// Guards against tasks that run again because the report that lists their ends
// came through a relay that had been passed over.
BOOST_AUTO_TEST_CASE(ReportOfALostRelayIsDelivered) {
  Fixture fixture(40);
  fixture.pool.Submit(PollOf(1), fixture.now);
  fixture.ApplyEffects();
  const InstanceId lost = fixture.Busiest();
  const std::uint64_t number = fixture.sent[lost][0].number;
  fixture.alive.erase(lost);
  fixture.Run(1500);
  fixture.alive[lost] = "1";
  const auto answer = [&] {
    Report report = fixture.ReportOf(lost);
    PollReply reply{.outcome = PollOutcome::kReport, .report = {}};
    reply.report.clock_ms = 42;
    report.replies.push_back({number, reply});
    fixture.pool.OnReport(report, fixture.now);
    fixture.ApplyEffects();
  };
  answer();
  BOOST_TEST(fixture.delivered.empty());
  BOOST_REQUIRE(fixture.late_reports.size() == 1);
  BOOST_TEST((fixture.late_reports[0].vm == VmAt(1).vm));
  BOOST_TEST(fixture.late_reports[0].report.clock_ms == 42);
  answer();
  BOOST_TEST(fixture.late_reports.size() == 1);
}

// Guards against a single process that makes all calls of a large fleet, which
// takes more processor time than the smallest machine has.
BOOST_AUTO_TEST_CASE(LargeFleetIsSharedAmongRelays) {
  Fixture fixture(40);
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    fixture.pool.Submit(PollOf(vm), fixture.now);
  }
  fixture.ApplyEffects();
  BOOST_TEST(fixture.direct_calls.empty());
  std::size_t calls = 0;
  for (const auto& [relay, calls_sent] : fixture.sent) {
    BOOST_TEST(calls_sent.size() <= kVmsPerRelay);
    calls += calls_sent.size();
  }
  BOOST_TEST(calls == kVms);
}

BOOST_AUTO_TEST_CASE(SmallFleetUsesNoRelay) {
  Fixture fixture(9, kMaxDirectVms);
  fixture.pool.Submit(PollOf(0), fixture.now);
  fixture.ApplyEffects();
  BOOST_TEST(fixture.direct_calls.size() == 1);
}

// Guards against orders that are never executed because no process has
// reported.
BOOST_AUTO_TEST_CASE(OwnerWithoutRelaysCallsVmsDirectly) {
  Fixture fixture(0);
  fixture.pool.Submit(PollOf(0), fixture.now);
  fixture.Run(200);
  BOOST_TEST(fixture.direct_calls.empty());
  fixture.Run(400);
  BOOST_TEST(fixture.direct_calls.size() == 1);
}

// Guards against new connections to a VM at every call.
BOOST_AUTO_TEST_CASE(VmStaysWithItsRelay) {
  Fixture fixture(40);
  fixture.pool.Submit(PollOf(5), fixture.now);
  fixture.ApplyEffects();
  const InstanceId relay = fixture.Busiest();
  fixture.AnswerAll(relay);
  for (int i = 0; i < 20; ++i) {
    fixture.Run(100);
    fixture.pool.Submit(PollOf(5), fixture.now);
    fixture.ApplyEffects();
    BOOST_TEST(fixture.sent[relay].size() == 1);
    fixture.AnswerAll(relay);
  }
}

// Guards against VMs that count as unresponsive because their relay has failed.
BOOST_AUTO_TEST_CASE(OrdersOfALostRelayAreResent) {
  Fixture fixture(40);
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    fixture.pool.Submit(PollOf(vm), fixture.now);
  }
  fixture.ApplyEffects();
  const InstanceId lost = fixture.Busiest();
  const std::size_t calls = fixture.sent.at(lost).size();
  const VmId vm = DestinationOf(fixture.sent.at(lost).front().order).vm;
  fixture.pool.Submit(StartOf(std::stoul(vm.str().substr(2))), fixture.now);
  fixture.ApplyEffects();
  fixture.sent.erase(lost);
  fixture.alive.erase(lost);
  std::size_t others = 0;
  for (const auto& [relay, calls_sent] : fixture.sent) {
    others += calls_sent.size();
  }
  fixture.Run(ToMs(kRelayTimeout) + 50);
  std::size_t after = 0;
  for (const auto& [relay, calls_sent] : fixture.sent) {
    BOOST_TEST(relay != lost);
    after += calls_sent.size();
  }
  BOOST_TEST(after == others + calls);
  // The start may still be executed, so it is not resent.
  BOOST_REQUIRE(fixture.delivered.size() == 1);
  BOOST_TEST((std::get<StartReply>(fixture.delivered[0].reply).answer ==
              jobs::StartAnswer::kRelayLost));
}

// Guards against VMs that count as unresponsive because their relay refused the
// orders as too old.
BOOST_AUTO_TEST_CASE(StaleOrderIsResent) {
  Fixture fixture(40);
  fixture.pool.Submit(PollOf(1), fixture.now);
  fixture.pool.Submit(StartOf(1), fixture.now);
  fixture.ApplyEffects();
  const InstanceId relay = fixture.Busiest();
  Report report = fixture.ReportOf(relay);
  for (const Call& call : std::exchange(fixture.sent[relay], {})) {
    report.replies.push_back({call.number, NotSentToVm{}});
  }
  fixture.pool.OnReport(report, fixture.now);
  fixture.ApplyEffects();
  BOOST_TEST(fixture.sent[relay].size() == 1);  // the poll, resent
  BOOST_REQUIRE(fixture.delivered.size() == 1);
  BOOST_TEST((std::get<StartReply>(fixture.delivered[0].reply).answer ==
              jobs::StartAnswer::kNotCarried));
}

// Guards against a relay whose first batch is dated by an old report, so that
// it refuses the batch as stale.
BOOST_AUTO_TEST_CASE(RelayWithAnOldReportIsNotActivated) {
  BatchFilter filter;
  for (int wait = 0; wait <= 3000; wait += 250) {
    Fixture late_fixture(40, kMaxDirectVms);
    late_fixture.now += milliseconds(wait);
    late_fixture.pool.SetVmCount(kVms);
    late_fixture.pool.Submit(PollOf(1), late_fixture.now);
    late_fixture.pool.Tick(late_fixture.now);
    for (const Effect& effect : late_fixture.pool.TakeEffects()) {
      if (const auto* forward = std::get_if<Forward>(&effect)) {
        BOOST_TEST((filter.Check(forward->batch,
                                 ToMs(late_fixture.now.time_since_epoch())) ==
                    BatchVerdict::kAccept));
      }
    }
  }
}

// Guards against followers that the owner does not count, which would claim the
// fleet beside it, and against leases requested of processes that have left.
BOOST_AUTO_TEST_CASE(EachProcessIsContactedAndAskedForLeases) {
  Fixture fixture(3, 1);
  const auto batches = [&fixture] {
    std::map<std::string, std::int64_t> requests;
    for (const Effect& effect : fixture.pool.TakeEffects()) {
      if (const auto* forward = std::get_if<Forward>(&effect)) {
        BOOST_TEST(!forward->leaving);
        BOOST_TEST(forward->incarnation == fixture.alive.at(forward->relay));
        BOOST_TEST(forward->batch.calls.empty());
        requests[forward->relay.str()] = forward->batch.lease_request_ms;
      }
    }
    return requests;
  };
  using Requests = std::map<std::string, std::int64_t>;
  fixture.Run(4900);
  fixture.now += milliseconds(100);
  fixture.pool.Tick(fixture.now);
  BOOST_TEST((batches() == Requests{{"p0", 0}, {"p1", 0}, {"p2", 0}}));
  fixture.pool.Tick(fixture.now);
  BOOST_TEST(batches().empty());
  Report leaving = fixture.ReportOf(InstanceId("p1"));
  leaving.leaving = true;
  fixture.pool.OnReport(leaving, fixture.now);
  fixture.pool.RequestLeases(17, fixture.now);
  BOOST_TEST((batches() == Requests{{"p0", 17}, {"p2", 17}}));
  // The start of a new process is answered at once.
  fixture.alive[InstanceId("p0")] = "2";
  fixture.pool.OnReport(fixture.ReportOf(InstanceId("p0")), fixture.now);
  fixture.pool.Tick(fixture.now);
  BOOST_TEST((batches() == Requests{{"p0", 0}}));
}

BOOST_AUTO_TEST_CASE(LargestMemberCouldClaimTheFleet) {
  Fixture fixture(3, 1);
  BOOST_TEST(fixture.pool.LargestMember(fixture.now) == 0);
  Report large = fixture.ReportOf(InstanceId("p1"));
  large.cores = 0.5;
  Report small = fixture.ReportOf(InstanceId("p2"));
  small.cores = 0.12;
  fixture.pool.OnReport(large, fixture.now);
  fixture.pool.OnReport(small, fixture.now);
  BOOST_TEST(fixture.pool.LargestMember(fixture.now) == 0.5);
  large.leaving = true;
  fixture.pool.OnReport(large, fixture.now);
  BOOST_TEST(fixture.pool.LargestMember(fixture.now) == 0.12);
  fixture.now += kMaxCandidateReportAge;
  BOOST_TEST(fixture.pool.LargestMember(fixture.now) == 0);
}

// Guards against a handover to a process that has gone: a call that was
// assigned to it counted as a report.
BOOST_AUTO_TEST_CASE(SilentMemberThatReceivesACallIsNotTheLargest) {
  Fixture fixture(1);
  Report large = fixture.ReportOf(InstanceId("p0"));
  large.cores = 0.5;
  fixture.pool.OnReport(large, fixture.now);
  fixture.now += kMaxCandidateReportAge - milliseconds(50);
  fixture.pool.Submit(PollOf(0), fixture.now);
  fixture.now += milliseconds(100);
  BOOST_TEST(fixture.pool.LargestMember(fixture.now) == 0);
}

// Guards against delivery of a reply of another kind, which would terminate the
// owner's process.
BOOST_AUTO_TEST_CASE(ReplyOfAnotherKindCountsAsUnanswered) {
  Fixture fixture(40);
  fixture.pool.Submit(StartOf(1), fixture.now);
  fixture.ApplyEffects();
  const InstanceId relay = fixture.Busiest();
  Report report = fixture.ReportOf(relay);
  report.replies.push_back({fixture.sent[relay][0].number, ControlReply{true}});
  fixture.pool.OnReport(report, fixture.now);
  fixture.ApplyEffects();
  BOOST_REQUIRE(fixture.delivered.size() == 1);
  BOOST_TEST((std::get<StartReply>(fixture.delivered[0].reply).answer ==
              jobs::StartAnswer::kNoAnswer));
}

// Guards against a late reply to a call that is taken for the reply to the
// resent call.
BOOST_AUTO_TEST_CASE(ReplyOfALostRelayIsIgnored) {
  Fixture fixture(40);
  fixture.pool.Submit(PollOf(1), fixture.now);
  fixture.ApplyEffects();
  const InstanceId late = fixture.Busiest();
  // The relay reports, but its reply is overdue.
  fixture.Run(2600);
  const std::vector<Call> old = std::exchange(fixture.sent[late], {});
  BOOST_REQUIRE(old.size() == 1);
  const InstanceId next = fixture.Busiest();
  BOOST_TEST(next != late);
  BOOST_TEST(fixture.sent[next][0].number != old[0].number);
  Report report = fixture.ReportOf(late);
  report.replies.push_back({old[0].number, PollReply{}});
  fixture.pool.OnReport(report, fixture.now);
  fixture.ApplyEffects();
  BOOST_TEST(fixture.delivered.empty());
  fixture.AnswerAll(next);
  BOOST_TEST(fixture.delivered.size() == 1);
}

// Guards against relays that count as failed because they had no calls and
// therefore reported less often.
BOOST_AUTO_TEST_CASE(IdleRelayStaysActive) {
  Fixture fixture(40);
  fixture.pool.Submit(PollOf(1), fixture.now);
  fixture.ApplyEffects();
  const InstanceId relay = fixture.Busiest();
  fixture.AnswerAll(relay);
  const std::size_t relays = fixture.pool.relay_count();
  fixture.now += kIdleReportInterval;
  fixture.pool.Submit(PollOf(1), fixture.now);
  fixture.now += milliseconds(100);
  fixture.ApplyEffects();
  BOOST_TEST(fixture.pool.relay_count() == relays);
  BOOST_TEST(fixture.sent[relay].size() == 1);
}

// Guards against an owner that stalls, reads late the reports that arrived in
// time, and therefore drops all its relays.
BOOST_AUTO_TEST_CASE(StalledOwnerKeepsItsRelays) {
  Fixture fixture(40);
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    fixture.pool.Submit(PollOf(vm), fixture.now);
  }
  fixture.ApplyEffects();
  const std::size_t relays = fixture.pool.relay_count();
  fixture.now += milliseconds(5000);
  fixture.ApplyEffects();
  BOOST_TEST(fixture.pool.relay_count() == relays);
  BOOST_TEST(fixture.pool.open_call_count() == kVms);
  BOOST_TEST(fixture.delivered.empty());
}

// Guards against calls that are aborted by a planned shutdown of their relay.
BOOST_AUTO_TEST_CASE(LeavingRelayCompletesItsCalls) {
  Fixture fixture(40);
  fixture.pool.Submit(StartOf(1), fixture.now);
  fixture.ApplyEffects();
  const InstanceId leaving = fixture.Busiest();
  Report report = fixture.ReportOf(leaving);
  report.leaving = true;
  fixture.pool.OnReport(report, fixture.now);
  fixture.pool.Submit(PollOf(1), fixture.now);
  fixture.ApplyEffects();
  BOOST_TEST(fixture.sent[leaving].size() == 1);
  BOOST_TEST(fixture.delivered.empty());
  report.replies.push_back({fixture.sent[leaving][0].number,
                            StartReply{jobs::StartAnswer::kAccepted, 1}});
  fixture.pool.OnReport(report, fixture.now);
  fixture.ApplyEffects();
  BOOST_REQUIRE(fixture.delivered.size() == 1);
  BOOST_TEST((std::get<StartReply>(fixture.delivered[0].reply).answer ==
              jobs::StartAnswer::kAccepted));
}

// Guards against a reply to a call of the previous owner that has the same
// number.
BOOST_AUTO_TEST_CASE(ReplyToAnotherOwnerIsIgnored) {
  Fixture fixture(40);
  fixture.pool.Submit(StartOf(1), fixture.now);
  fixture.ApplyEffects();
  const InstanceId relay = fixture.Busiest();
  Report report = fixture.ReportOf(relay);
  report.fence = kFence - 1;
  report.replies.push_back({fixture.sent[relay][0].number,
                            StartReply{jobs::StartAnswer::kAccepted, 1}});
  fixture.pool.OnReport(report, fixture.now);
  fixture.ApplyEffects();
  BOOST_TEST(fixture.delivered.empty());
  BOOST_TEST(!fixture.superseded);
}

// Guards against an owner that continues to send orders after the other
// processes follow a later owner.
BOOST_AUTO_TEST_CASE(OwnerDetectsThatItIsSuperseded) {
  Fixture fixture(40);
  Report report = fixture.ReportOf(InstanceId("p3"));
  report.fence = kFence + 1;
  fixture.pool.OnReport(report, fixture.now);
  fixture.ApplyEffects();
  BOOST_TEST(fixture.superseded);
}

// Guards against waiting for replies of a process that lost its calls in a
// restart.
BOOST_AUTO_TEST_CASE(CallsOfARestartedRelayAreResent) {
  Fixture fixture(40);
  fixture.pool.Submit(PollOf(1), fixture.now);
  fixture.ApplyEffects();
  const InstanceId relay = fixture.Busiest();
  fixture.sent.clear();
  fixture.alive[relay] = "2";
  const int connects = fixture.connects;
  fixture.Run(50);
  BOOST_TEST(fixture.connects == connects + 1);
  std::size_t repeated = 0;
  for (const auto& [id, calls_sent] : fixture.sent) {
    repeated += calls_sent.size();
  }
  BOOST_TEST(repeated == 1);
}

// Guards against orders with no reply or with two under restarts of relays,
// stalls of the owner and lost replies.
BOOST_AUTO_TEST_CASE(EveryOrderHasExactlyOneReply) {
  for (unsigned seed = 1; seed <= 100; ++seed) {
    std::mt19937 random(seed);
    const auto chance = [&random](int percent) {
      return static_cast<int>(random() % 100) < percent;
    };
    Fixture fixture(12);
    std::size_t orders = 0;
    const std::map<InstanceId, std::string> all = fixture.alive;
    for (int step = 0; step < 400; ++step) {
      for (unsigned i = random() % 20; i > 0; --i) {
        const std::size_t vm = random() % kVms;
        fixture.pool.Submit(chance(50) ? PollOf(vm) : StartOf(vm), fixture.now);
        ++orders;
      }
      for (const auto& [id, first] : all) {
        if (!fixture.alive.contains(id)) {
          if (chance(5)) {
            fixture.alive[id] = std::to_string(step);
          }
          continue;
        }
        if (chance(1)) {
          fixture.alive.erase(id);
          fixture.sent[id].clear();
        } else if (chance(60)) {
          fixture.AnswerAll(id);
        }
      }
      if (chance(2)) {
        fixture.now += milliseconds(random() % 3000);
      }
      fixture.Run(50);
    }
    fixture.alive = all;
    for (int step = 0; step < 200; ++step) {
      for (const auto& [id, first] : all) {
        fixture.AnswerAll(id);
      }
      for (const Call& call : std::exchange(fixture.direct_calls, {})) {
        fixture.pool.OnReply({call.number, UnansweredReply(call.order)});
      }
      fixture.Run(50);
    }
    BOOST_TEST(fixture.pool.open_call_count() == 0, "seed " << seed);
    BOOST_TEST(fixture.delivered.size() == orders, "seed " << seed);
  }
}

// Guards against calls that are counted as open for ever, so that no start is
// ordered any more, and against calls of processes that are not known any more.
BOOST_AUTO_TEST_CASE(CallsOfSlowAndLostRelaysAreAllCounted) {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    std::mt19937 random(seed);
    Fixture fixture(8);
    const auto chance = [&random](int percent) {
      return std::uniform_int_distribution<int>(1, 100)(random) <= percent;
    };
    std::int64_t run = 0;
    std::size_t submitted = 0;
    for (int i = 0; i < 1500; ++i) {
      for (int k = 0; k < 4; ++k) {
        const std::size_t vm =
            std::uniform_int_distribution<std::size_t>(0, kVms - 1)(random);
        const bool start = chance(50) && fixture.pool.StartRoom() != 0;
        fixture.pool.Submit(start ? StartOf(vm, ++run) : PollOf(vm),
                            fixture.now);
        ++submitted;
      }
      fixture.Run(chance(2) ? 400 : 50);
      for (int p = 0; p < 8; ++p) {
        const InstanceId id("p" + std::to_string(p));
        const auto alive = fixture.alive.find(id);
        if (alive == fixture.alive.end()) {
          if (chance(1)) {
            fixture.alive[id] = std::to_string(i);
          }
        } else if (chance(1) && chance(40)) {
          fixture.alive.erase(alive);
          fixture.sent.erase(id);
        } else if (chance(1)) {
          Report report = fixture.ReportOf(id);
          report.leaving = chance(50);
          fixture.pool.OnReport(report, fixture.now);
        } else if (chance(3)) {
          fixture.sent.erase(id);  // lost
        } else if (chance(2 + 4 * p)) {
          fixture.AnswerAll(id);
        }
      }
      if (chance(1) && chance(10)) {
        fixture.now += std::chrono::seconds(40);  // a stall
      }
      if (chance(1)) {
        fixture.pool.SetVmCount(chance(20) ? 10 : kVms);
      }
      for (const Call& call : std::exchange(fixture.direct_calls, {})) {
        fixture.pool.OnReply({call.number, UnansweredReply(call.order)});
      }
    }
    fixture.pool.SetVmCount(kVms);
    for (int i = 0; i < 200; ++i) {
      fixture.Run(50);
      for (const auto& [id, incarnation] : std::map(fixture.alive)) {
        fixture.AnswerAll(id);
      }
      for (const Call& call : std::exchange(fixture.direct_calls, {})) {
        fixture.pool.OnReply({call.number, UnansweredReply(call.order)});
      }
    }
    fixture.ApplyEffects();
    BOOST_TEST(fixture.pool.open_call_count() == 0);
    BOOST_TEST(fixture.delivered.size() == submitted);
    BOOST_TEST(fixture.pool.StartRoom().value() ==
               kMaxOpenStartsPerRelay *
                   std::max<std::size_t>(1, fixture.pool.relay_count()));
  }
}

// Guards against a relay that continues to make the calls of most VMs because
// it was the first to report.
BOOST_AUTO_TEST_CASE(VmsAreSpreadOverLaterRelays) {
  Fixture fixture(0);
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    fixture.pool.Submit(PollOf(vm), fixture.now);
  }
  fixture.alive[InstanceId("p0")] = "1";
  fixture.Run(50);
  for (int i = 1; i < 40; ++i) {
    fixture.alive[InstanceId("p" + std::to_string(i))] = "1";
  }
  fixture.Run(200);
  for (int i = 0; i < 40; ++i) {
    fixture.AnswerAll(InstanceId("p" + std::to_string(i)));
  }
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    fixture.pool.Submit(PollOf(vm), fixture.now);
  }
  fixture.ApplyEffects();
  for (const auto& [relay, calls_sent] : fixture.sent) {
    BOOST_TEST(calls_sent.size() <= kVmsPerRelay);
  }
}

// Guards against an owner whose passes are always slow, which excludes all time
// as stalls and never detects a failed relay.
BOOST_AUTO_TEST_CASE(SlowOwnerDetectsALostRelay) {
  Fixture fixture(40);
  fixture.pool.Submit(PollOf(1), fixture.now);
  fixture.ApplyEffects();
  const InstanceId lost = fixture.Busiest();
  fixture.alive.erase(lost);
  fixture.sent.erase(lost);
  constexpr auto gap = milliseconds(160);
  for (int pass = 0; pass < 10; ++pass) {
    fixture.now += gap;
    for (const auto& [id, incarnation] : fixture.alive) {
      fixture.pool.OnReport(fixture.ReportOf(id), fixture.now);
    }
    fixture.ApplyEffects();
  }
  BOOST_TEST(fixture.sent.size() == 1);
}

// Guards against runs whose leases expire while a resent poll waits at the VM,
// and against acknowledgements to a VM that has restarted since they were
// decided.
BOOST_AUTO_TEST_CASE(ResentPollNeitherWaitsNorAcknowledges) {
  Fixture fixture(40);
  fixture.pool.Submit(PollOf(1), fixture.now);
  fixture.ApplyEffects();
  const InstanceId lost = fixture.Busiest();
  fixture.alive.erase(lost);
  fixture.sent.erase(lost);
  fixture.Run(ToMs(kRelayTimeout) + 50);
  BOOST_REQUIRE(fixture.sent.size() == 1);
  const auto& poll =
      std::get<jobs::PollVm>(fixture.sent.begin()->second.front().order);
  BOOST_TEST(poll.wait_ms == 0);
  BOOST_TEST(poll.recorded_end == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BatchFilterTest)

// Guards against starts that a suspended relay sends to a VM long after they
// were submitted, when the VM may be draining or its zone unavailable.
BOOST_AUTO_TEST_CASE(OldOrdersAreRefusedAfterASuspension) {
  BatchFilter filter;
  const OrderBatch orders{.fence = kFence, .clock_ms = 10'000};
  BOOST_TEST((filter.Check(orders, 10'400) == BatchVerdict::kAccept));
  BOOST_TEST((filter.Check(orders, 14'000) == BatchVerdict::kStale));
  // Sent to the process that ran before the machine was restarted.
  BOOST_TEST((filter.Check(orders, 9'000) == BatchVerdict::kStale));
}

// Guards against two owners whose orders reach VMs alternately.
BOOST_AUTO_TEST_CASE(OrdersOfASupersededOwnerAreRefused) {
  BatchFilter filter;
  BOOST_TEST((filter.Check({.fence = kFence}, 0) == BatchVerdict::kAccept));
  BOOST_TEST((filter.Check({.fence = kFence - 1}, 0) == BatchVerdict::kFenced));
  filter.OnFenceRejected(kFence);
  BOOST_TEST((filter.Check({.fence = kFence}, 0) == BatchVerdict::kFenced));
  BOOST_TEST((filter.Check({.fence = kFence + 1}, 0) == BatchVerdict::kAccept));
  filter.OnFenceObserved(kFence + 5);
  BOOST_TEST((filter.Check({.fence = kFence + 4}, 0) == BatchVerdict::kFenced));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::relay
