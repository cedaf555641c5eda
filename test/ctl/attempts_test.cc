#include "ctl/attempts.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace kch::ctl {
namespace {

const Answer kNotSent{.reach = Reach::kNotSent};
const Answer kBroken{.reach = Reach::kBroken};

Answer Code(int code) {
  return {.reach = Reach::kAnswered, .code = code};
}

struct Run {
  std::vector<std::size_t> called;
  ExitCode code;
};

// Feeds results to the attempts until they end or the results are used up.
Run Play(CallKind kind, std::size_t servers, std::vector<Answer> results) {
  Attempts attempts(servers, kind);
  Run run;
  std::size_t used = 0;
  while (const auto server = attempts.Next(used < results.size())) {
    run.called.push_back(*server);
    attempts.Record(results[used++]);
  }
  run.code = ExitCodeOf(attempts.End());
  return run;
}

using Called = std::vector<std::size_t>;

// Guards against exit codes that differ from those that scripts rely on.
BOOST_AUTO_TEST_CASE(ExitCodesKeepTheirNumbers) {
  BOOST_TEST(static_cast<int>(ExitCode::kDone) == 0);
  BOOST_TEST(static_cast<int>(ExitCode::kRefused) == 1);
  BOOST_TEST(static_cast<int>(ExitCode::kUsage) == 2);
  BOOST_TEST(static_cast<int>(ExitCode::kUnreachable) == 3);
  BOOST_TEST(static_cast<int>(ExitCode::kUnknown) == 4);
}

// Guards against a command that fails although another entry works, and one
// that asks on after an answer.
BOOST_AUTO_TEST_CASE(ReadGoesOnToAnEntryThatAnswers) {
  const Run run = Play(CallKind::kRead, 4,
                       {kNotSent, kBroken, Code(503), Code(200), Code(200)});
  BOOST_TEST(run.called == (Called{0, 1, 2, 3}));
  BOOST_TEST((run.code == ExitCode::kDone));
  const Run refused = Play(CallKind::kRead, 2, {Code(403), Code(200)});
  BOOST_TEST(refused.called == (Called{0}));
  BOOST_TEST((refused.code == ExitCode::kRefused));
}

// Guards against endless attempts while nothing answers.
BOOST_AUTO_TEST_CASE(UnreachableEntriesAreTriedOnce) {
  const Run run =
      Play(CallKind::kRepeatable, 2, {kNotSent, kNotSent, kNotSent, kNotSent});
  BOOST_TEST(run.called == (Called{0, 1}));
  BOOST_TEST((run.code == ExitCode::kUnreachable));
  const Run read = Play(CallKind::kRead, 2, {kBroken, kBroken, kBroken});
  BOOST_TEST(read.called == (Called{0, 1}));
  BOOST_TEST((read.code == ExitCode::kUnreachable));
}

// Guards against "refused" for a change that an earlier attempt may have made.
BOOST_AUTO_TEST_CASE(UnknownOutcomeIsRepeatedUntilSettled) {
  const Run found = Play(CallKind::kRepeatable, 2,
                         {kBroken, Code(503), Code(504), Code(200)});
  BOOST_TEST(found.called == (Called{0, 1, 0, 1}));
  BOOST_TEST((found.code == ExitCode::kDone));
  const Run unavailable =
      Play(CallKind::kRepeatable, 2, {Code(504), Code(503), Code(503)});
  BOOST_TEST((unavailable.code == ExitCode::kUnknown));
  const Run forbidden =
      Play(CallKind::kRepeatable, 2, {kBroken, Code(403), kNotSent});
  BOOST_TEST((forbidden.code == ExitCode::kUnknown));
  const Run conflict =
      Play(CallKind::kRepeatable, 2, {kBroken, Code(409), Code(200)});
  BOOST_TEST((conflict.code == ExitCode::kRefused));
}

// Guards against "unknown" for a change that no entry has made.
BOOST_AUTO_TEST_CASE(UnavailableStoreRefusesAChange) {
  const Run run =
      Play(CallKind::kRepeatable, 2, {Code(503), kNotSent, Code(200)});
  BOOST_TEST(run.called == (Called{0, 1}));
  BOOST_TEST((run.code == ExitCode::kRefused));
}

// Guards against a call without an id that is made twice.
BOOST_AUTO_TEST_CASE(CallWithoutIdIsRepeatedOnlyIfNotSent) {
  const Run sent = Play(CallKind::kOnce, 2, {kNotSent, Code(200)});
  BOOST_TEST(sent.called == (Called{0, 1}));
  BOOST_TEST((sent.code == ExitCode::kDone));
  for (const Answer& lost : {kBroken, Code(500), Code(504)}) {
    const Run run = Play(CallKind::kOnce, 2, {lost, Code(200)});
    BOOST_TEST(run.called == (Called{0}));
    BOOST_TEST((run.code == ExitCode::kUnknown));
  }
}

// Guards against addresses that end up as another URL.
BOOST_AUTO_TEST_CASE(ServersAreChecked) {
  const auto servers =
      ParseServers("--entries", "127.0.0.1:80,host-1:65535,127.0.0.1:80");
  BOOST_REQUIRE(servers.has_value());
  BOOST_TEST(*servers ==
             (std::vector<std::string>{"127.0.0.1:80", "host-1:65535"}));
  for (const char* bad :
       {"", "host", "host:", ":80", "host:0", "host:65536", "http://host:80",
        "a@host:80", "host:80,", "host:+8", "host:80 "}) {
    const auto refused = ParseServers("--entries", bad);
    BOOST_TEST_CONTEXT(bad) {
      BOOST_REQUIRE(!refused.has_value());
      BOOST_TEST(refused.error().message.starts_with(
          "--entries has the value '" + std::string(bad) + "', allowed is"));
    }
  }
}

}  // namespace
}  // namespace kch::ctl
