#include "wire/relay_codec.h"

#include <boost/test/unit_test.hpp>

namespace kch::wire {
namespace {

const jobs::Destination kTo{VmId("vm1"), "10.0.0.1:80"};
const jobs::TaskRef kTask{jobs::JobId("00ff"), 1, 2, 3};

jobs::StartRun StartWith(const std::string& payload) {
  return {.to = kTo,
          .task = kTask,
          .run = 4,
          .payload = payload,
          .lease_until_ms = 5,
          .checkpoint = "c",
          .permit = "p"};
}

relay::Message RoundTrip(const relay::Message& message) {
  auto decoded = DecodeRelay(Encode(message));
  BOOST_REQUIRE(decoded.has_value());
  return *std::move(decoded);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RelayCodecTest)

BOOST_AUTO_TEST_CASE(OrdersRoundTrip) {
  const std::string binary("\0\xff", 2);
  const relay::OrderBatch sent{
      .fence = 9,
      .clock_ms = 10,
      .lease_request_ms = 11,
      .calls = {{1, StartWith(binary)},
                {2, StartWith(binary)},
                {3, StartWith("")},
                {4, jobs::StopRun{kTo, kTask, 6}},
                {5, jobs::PaceRun{kTo, kTask, 6, 40}},
                {6, jobs::PollVm{kTo, std::nullopt, 7, 8}},
                {7, jobs::PollVm{kTo, 0, 7, 8}}}};
  const auto got = std::get<relay::OrderBatch>(RoundTrip(sent));
  BOOST_TEST(got.fence == 9U);
  BOOST_TEST(got.clock_ms == 10);
  BOOST_TEST(got.lease_request_ms == 11);
  BOOST_REQUIRE(got.calls.size() == 7U);
  for (const std::size_t i : {0U, 1U, 2U}) {
    const auto& start = std::get<jobs::StartRun>(got.calls[i].order);
    BOOST_TEST(got.calls[i].number == i + 1);
    BOOST_TEST(start.to.vm == kTo.vm);
    BOOST_TEST(start.to.address == kTo.address);
    BOOST_TEST((start.task == kTask));
    BOOST_TEST(start.run == 4);
    BOOST_TEST(start.payload == (i < 2 ? binary : std::string()));
    BOOST_TEST(start.lease_until_ms == 5);
    BOOST_TEST(start.checkpoint == "c");
    BOOST_TEST(start.permit == "p");
  }
  BOOST_TEST(std::get<jobs::StopRun>(got.calls[3].order).run == 6);
  BOOST_TEST(std::get<jobs::PaceRun>(got.calls[4].order).percent == 40);
  const auto& look = std::get<jobs::PollVm>(got.calls[5].order);
  BOOST_TEST(!look.lease_until_ms.has_value());
  BOOST_TEST(look.recorded_end == 7);
  BOOST_TEST(look.wait_ms == 8);
  BOOST_TEST((std::get<jobs::PollVm>(got.calls[6].order).lease_until_ms ==
              std::optional<std::int64_t>(0)));
}

BOOST_AUTO_TEST_CASE(ReportsRoundTrip) {
  relay::PollReply look{.outcome = relay::PollOutcome::kReport};
  look.report = {.clock_ms = 1, .boot_ms = 2, .more_ends = true};
  look.report.running.push_back({"a.0.0.1", 3, "c", 50, 60});
  look.report.ended.push_back({7, "a.0.0.2", 8, jobs::RunEnd::kBroken, "d"});
  const relay::Report sent{
      .fence = 13,
      .instance = InstanceId("p1"),
      .incarnation = "i",
      .address = "10.0.0.2:1",
      .clock_ms = 11,
      .leaving = true,
      .cores = 0.5,
      .lease_granted_ms = 14,
      .replies = {{1, relay::StartReply{jobs::StartAnswer::kOldRun, 12}},
                  {2, relay::ControlReply{true}},
                  {3, look},
                  {4, relay::NotSentToVm{}}}};
  const auto got = std::get<relay::Report>(RoundTrip(sent));
  BOOST_TEST(got.fence == 13U);
  BOOST_TEST(got.instance == sent.instance);
  BOOST_TEST(got.incarnation == "i");
  BOOST_TEST(got.address == sent.address);
  BOOST_TEST(got.clock_ms == 11);
  BOOST_TEST(got.leaving);
  BOOST_TEST(got.cores == 0.5);
  BOOST_TEST(got.lease_granted_ms == 14);
  BOOST_REQUIRE(got.replies.size() == 4U);
  BOOST_TEST(std::holds_alternative<relay::NotSentToVm>(got.replies[3].reply));
  const auto& start = std::get<relay::StartReply>(got.replies[0].reply);
  BOOST_TEST((start.answer == jobs::StartAnswer::kOldRun));
  BOOST_TEST(start.clock_ms == 12);
  BOOST_TEST(std::get<relay::ControlReply>(got.replies[1].reply).answered);
  const auto& back = std::get<relay::PollReply>(got.replies[2].reply);
  BOOST_TEST((back.outcome == relay::PollOutcome::kReport));
  BOOST_TEST(back.report.boot_ms == 2);
  BOOST_TEST(back.report.more_ends);
  BOOST_REQUIRE(back.report.running.size() == 1U);
  BOOST_TEST(back.report.running[0].task == "a.0.0.1");
  BOOST_TEST(back.report.running[0].percent == 50);
  BOOST_TEST(back.report.running[0].gauge == 60);
  BOOST_REQUIRE(back.report.ended.size() == 1U);
  BOOST_TEST((back.report.ended[0].how == jobs::RunEnd::kBroken));
  BOOST_TEST(back.report.ended[0].checkpoint == "d");
}

// Guards against orders that are carried out although they were not understood.
BOOST_AUTO_TEST_CASE(DamagedMessageIsCarriedOut) {
  BOOST_TEST(!DecodeRelay("\xff\xff").has_value());
  BOOST_TEST(!DecodeRelay("").has_value());
  const std::string whole = Encode(relay::Message(
      relay::OrderBatch{.fence = 1, .calls = {{1, StartWith("text")}}}));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    const auto part = DecodeRelay(whole.substr(0, size));
    BOOST_TEST(!part.has_value(), size << " of " << whole.size() << " bytes");
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::wire
