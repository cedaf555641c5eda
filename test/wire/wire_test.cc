#include "wire/wire.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace kch::wire {
namespace {

using engine::MessageBody;

std::vector<MessageBody> EveryBody() {
  const permit::Subject subject{permit::SubjectKind::kProfile, "night"};
  const engine::Job job{.id = TaskId("e1.5.1"),
                        .request = RequestId("north/r1"),
                        .team = TeamId("north"),
                        .profile = ProfileId("covers"),
                        .pool = PoolId("p1"),
                        .key = KeyId("k1"),
                        .key_revision = 3,
                        .config_revision = 9,
                        .repeatable = false,
                        .attach_only = true,
                        .resources = {1, 2, 3},
                        .body = std::string("\0binary\xff", 8)};
  const engine::Attempt attempt{.task = TaskId("t"),
                                .vm = VmId("vm1"),
                                .address = "127.0.0.1:1",
                                .lease_ms = 30000,
                                .holder = {InstanceId("e2"), 7}};
  return {engine::Heartbeat{.sequence = 4,
                            .heard = 3,
                            .config_revision = 9,
                            .draining = true,
                            .contended = {{TeamId("north"), 5}},
                            .idle = {{subject, 2}},
                            .leaving = {{VmId("vm1"), 1}},
                            .pools = {{PoolId("p1"), 12}}},
          engine::Submit{job, 5000},
          engine::Started{job.id, attempt},
          engine::JobOutcome{job.id,
                             {.kind = engine::OutcomeKind::kNotRun,
                              .reason = engine::Reason::kShuttingDown,
                              .body = "b",
                              .task = TaskId("t"),
                              .vm = VmId("vm1"),
                              .retry_after_ms = 8}},
          engine::CancelJob{job.id, job.request},
          engine::Delegate{job, attempt, "c1"},
          engine::DelegateEnd{{.task = TaskId("t"),
                               .status = engine::AttemptStatus::kNotKnown,
                               .detail = "d",
                               .body = "b"}},
          engine::PermitAsk{subject, 4},
          engine::ConfigRequest{8},
          engine::ConfigOffer{"{}", "{}"},
          engine::Observe{"127.0.0.1:9"}};
}

// Guards against a field that is lost between two processes.
BOOST_AUTO_TEST_CASE(EveryMessageRoundTrips) {
  const auto bodies = EveryBody();
  BOOST_TEST(bodies.size() == std::variant_size_v<MessageBody>);
  for (const MessageBody& body : bodies) {
    const engine::Message message{InstanceId("e1"), 5, 6, body};
    const auto decoded = Decode(Encode(message));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == message));
  }
}

// Guards against a crash or a wrong message on damaged or truncated bytes.
BOOST_AUTO_TEST_CASE(DamagedBytesAreRefused) {
  BOOST_TEST(!Decode("").has_value());
  BOOST_TEST(!Decode("not a message").has_value());
  const std::string bytes = Encode({InstanceId("e1"), 5, 6, EveryBody()[0]});
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    const auto decoded = Decode(std::string_view(bytes).substr(0, length));
    BOOST_TEST((!decoded || decoded->from == InstanceId("e1")));
  }
}

}  // namespace
}  // namespace kch::wire
