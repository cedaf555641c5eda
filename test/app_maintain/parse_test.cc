#include <boost/test/unit_test.hpp>

#include <string>

#include "app/maintain/requests.h"
#include "app/maintain/targets.h"

namespace kch::app {
namespace {

net::HttpResult Answered(int code, std::string body) {
  return {.status = net::CallStatus::kAnswered,
          .code = code,
          .body = std::move(body)};
}

// Guards against orders whose missing fields are read as empty names.
BOOST_AUTO_TEST_CASE(OrdersAreValidated) {
  const auto good =
      ParseOrder(R"({"id":"o1","kind":"move","pool":"a","vm":"v1","to":"b"})");
  BOOST_REQUIRE(good.has_value());
  BOOST_TEST((good->kind == maintain::OrderKind::kMove));
  BOOST_TEST(good->to.str() == "b");
  BOOST_TEST(
      ParseOrder(R"({"id":"o1","kind":"rollout","pool":"a"})").has_value());
  for (const char* body :
       {"", "[]", R"({"id":"o1","kind":"move","pool":"a","vm":"v1"})",
        R"({"id":"o1","kind":"reboot","pool":"a"})",
        R"({"kind":"rollout","pool":"a"})",
        R"({"id":"o1","kind":"erase","pool":"a"})",
        R"({"id":"o1","kind":"rollout","pool":"a/b"})",
        R"({"id":7,"kind":"rollout","pool":"a"})"}) {
    BOOST_TEST(!ParseOrder(body).has_value(), body);
  }
}

// Guards against VMs without a valid address or without slots.
BOOST_AUTO_TEST_CASE(RegistrationsAreValidated) {
  BOOST_TEST(ParseRegistration(R"({"pool":"a","id":"v","address":"h:1",)"
                               R"("zone":"z","rack":"r","slots":8})")
                 .has_value());
  BOOST_TEST(!ParseRegistration(R"({"pool":"a","id":"v","address":"h",)"
                                R"("zone":"z","rack":"r","slots":8})")
                  .has_value());
  BOOST_TEST(!ParseRegistration(R"({"pool":"a","id":"v","address":"h:1",)"
                                R"("zone":"z","rack":"r","slots":0})")
                  .has_value());
}

// Guards against a failed or malformed report that is read as an idle worker: a
// drain would then end while tasks run.
BOOST_AUTO_TEST_CASE(IncompleteReportsAreRejected) {
  config::State state;
  state.profiles[ProfileId("p")].value.on_drain = config::OnDrain::kThrottle;
  const VmId vm("v1");
  for (const auto& bad :
       {Answered(200, "{}"), Answered(200, R"({"boot":"b"})"),
        Answered(500, R"({"boot":"b","tasks":[]})"), net::HttpResult{}}) {
    BOOST_TEST(!ParseTasks(vm, bad, state, Time()).has_value());
  }
  const auto report = ParseTasks(
      vm, Answered(200, R"({"boot":"b","tasks":[{"task":"t","profile":"p"}]})"),
      state, Time());
  BOOST_REQUIRE(report.has_value());
  BOOST_REQUIRE(report->tasks.size() == 1U);
  BOOST_TEST(
      (report->tasks[0].behaviour == maintain::DrainBehaviour::kThrottle));
}

// Guards against an ambiguous reply that is read as the state of an operation:
// a reboot could then run twice or be skipped.
BOOST_AUTO_TEST_CASE(AmbiguousRepliesHaveNoState) {
  using maintain::OperationState;
  BOOST_TEST(
      (ParseOperation(Answered(404, ""), true) == OperationState::kNotFound));
  BOOST_TEST(!ParseOperation(Answered(404, ""), false).has_value());
  BOOST_TEST(!ParseOperation(Answered(500, ""), true).has_value());
  BOOST_TEST(!ParseOperation({}, true).has_value());
  BOOST_TEST((ParseOperation(Answered(202, R"({"state":"pending"})"), false) ==
              OperationState::kRunning));
  BOOST_TEST((ParseOperation(Answered(200, R"({"state":"done"})"), true) ==
              OperationState::kDone));
}

}  // namespace
}  // namespace kch::app
