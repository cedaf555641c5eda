#include "load/load.h"

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace kch::load {
namespace {

Answer DoneAnswer(const std::string& id) {
  return {.outcome = Outcome::kDone,
          .task = "t-" + id,
          .worker_task = "t-" + id,
          .worker_team = "north",
          .worker_echo = id};
}

std::vector<Run> DoneRuns(const std::string& id) {
  return {{.id = id, .task = "t-" + id, .team = "north", .start = true},
          {.id = id, .task = "t-" + id, .team = "north", .outcome = "done"}};
}

// Reconciles one unrepeatable request of team north and returns the faults.
std::map<Fault, std::uint64_t> FaultsOf(const Answer& answer,
                                        const std::vector<Run>& runs) {
  Ledger ledger;
  ledger.Sent({"r", "north", true});
  ledger.Answered("r", answer);
  return ledger.Reconcile(runs, true, false).faults;
}

using Faults = std::map<Fault, std::uint64_t>;

// Guards against false alarms on a run without faults.
BOOST_AUTO_TEST_CASE(CleanRunHasNoFaults) {
  BOOST_TEST(FaultsOf(DoneAnswer("r"), DoneRuns("r")).empty());
  BOOST_TEST(FaultsOf({.outcome = Outcome::kNotRun}, {}).empty());
}

// Guards against passing a load in which a request never got an answer.
BOOST_AUTO_TEST_CASE(MissingAnswerIsLost) {
  Ledger ledger;
  ledger.Sent({"r", "north", false});
  BOOST_TEST(
      (ledger.Reconcile({}, true, true).faults == Faults{{Fault::kLost, 1}}));
  ledger.Answered("r", {.outcome = Outcome::kBroken});
  BOOST_TEST(
      (ledger.Reconcile({}, true, false).faults == Faults{{Fault::kLost, 1}}));
  BOOST_TEST(ledger.Reconcile({}, true, true).Clean());
}

// Guards against missing an answer that went to the wrong caller.
BOOST_AUTO_TEST_CASE(AnswerOfAnotherRequestIsMixedUp) {
  const auto mixed = [](auto change) {
    Answer answer = DoneAnswer("r");
    change(answer);
    return FaultsOf(answer, DoneRuns("r")) == Faults{{Fault::kMixedUp, 1}};
  };
  BOOST_TEST(mixed([](Answer& a) { a.worker_echo = "other"; }));
  BOOST_TEST(mixed([](Answer& a) { a.worker_team = "south"; }));
  BOOST_TEST(mixed([](Answer& a) { a.worker_task = "t-other"; }));
}

// Guards against missing a refusal that is untrue.
BOOST_AUTO_TEST_CASE(NotRunThatRanIsFound) {
  BOOST_TEST((FaultsOf({.outcome = Outcome::kNotRun}, DoneRuns("r")) ==
              Faults{{Fault::kNotRunButRan, 1}}));
}

// Guards against missing a second start, and against taking the continuation
// of a checkpoint for one.
BOOST_AUTO_TEST_CASE(SecondStartOfUnrepeatableIsFound) {
  std::vector<Run> runs = DoneRuns("r");
  runs.push_back({.id = "r", .task = "t2", .team = "north", .start = true});
  BOOST_TEST(
      (FaultsOf(DoneAnswer("r"), runs) == Faults{{Fault::kRanTwice, 1}}));
  runs.push_back(
      {.id = "r", .task = "t2", .team = "north", .outcome = "checkpointed"});
  BOOST_TEST(FaultsOf(DoneAnswer("r"), runs).empty());
}

// Guards against missing an invented answer or a run under another team's key.
BOOST_AUTO_TEST_CASE(AnswerWithoutRunAndWrongTeamAreFound) {
  BOOST_TEST(
      (FaultsOf(DoneAnswer("r"), {}) == Faults{{Fault::kDoneButNotRun, 1}}));
  std::vector<Run> runs = DoneRuns("r");
  runs[0].team = "south";
  BOOST_TEST(
      (FaultsOf(DoneAnswer("r"), runs) == Faults{{Fault::kWrongTeam, 1}}));
}

// Guards against counting an incomplete or foreign answer as done.
BOOST_AUTO_TEST_CASE(MalformedAnswersAreInvalid) {
  const std::string body = R"({\"task\":\"t\",\"team\":\"a\",\"echo\":\"e\"})";
  const Answer whole =
      ParseAnswer(R"({"outcome":"done","task":"t","body":")" + body + "\"}");
  BOOST_TEST((whole.outcome == Outcome::kDone));
  BOOST_TEST(whole.worker_echo == "e");
  for (const std::string text :
       {R"({"outcome":"done","task":"t","body":"{\"task\":"})",
        R"({"outcome":"done","task":"t"})", R"({"outcome":"broken"})",
        R"({"outcome":"not_run")", "[]", ""}) {
    BOOST_TEST((ParseAnswer(text).outcome == Outcome::kInvalid), text);
  }
}

// Guards against arrivals out of order, ids used twice, and load that does not
// follow the peaks.
BOOST_AUTO_TEST_CASE(PlanIsOrderedAndPeaksInTurn) {
  const bool held = rc::check([] {
    const PlanOptions options{
        .entries = 3,
        .teams = 2,
        .queues = 4,
        .rate = 100,
        .peak_factor = 5,
        .peak = std::chrono::milliseconds(500),
        .duration = std::chrono::seconds(2),
        .id_prefix = "p",
        .seed = *rc::gen::inRange<std::uint64_t>(0, 1000)};
    Plan plan(options);
    Duration last{0};
    std::uint64_t count = 0;
    std::uint64_t in_peak = 0;
    while (const auto next = plan.Next()) {
      RC_ASSERT(next->at >= last);
      RC_ASSERT(next->id == "p" + std::to_string(++count));
      RC_ASSERT(next->entry < 3 && next->team < 2 && next->queue < 4);
      last = next->at;
      in_peak +=
          next->queue == static_cast<std::size_t>(next->at / options.peak) ? 1
                                                                           : 0;
    }
    // 1600 are expected, 1000 of them on the queue that is at its peak.
    RC_ASSERT(count > 1300 && count < 1900);
    RC_ASSERT(in_peak * 100 > count * 55 && in_peak * 100 < count * 70);
  });
  BOOST_TEST(held);
}

// Guards against quantiles of an empty team and of the wrong rank.
BOOST_AUTO_TEST_CASE(DelaysHaveQuantiles) {
  Delays delays;
  BOOST_TEST(delays.p99_ms() == 0);
  BOOST_TEST(delays.max_ms() == 0);
  for (int i = 0; i < 1000; ++i) {
    delays.Add((i * 7) % 1000);
  }
  BOOST_TEST(delays.count() == 1000U);
  BOOST_TEST(delays.max_ms() == 999);
  BOOST_TEST(std::abs(delays.p50_ms() - 500) < 20);
  BOOST_TEST(std::abs(delays.p90_ms() - 900) < 20);
  BOOST_TEST(std::abs(delays.p99_ms() - 990) < 10);
}

}  // namespace
}  // namespace kch::load
