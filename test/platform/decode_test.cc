#include <boost/test/unit_test.hpp>

#include "platform/platform.h"

namespace kch::platform {

BOOST_AUTO_TEST_SUITE(DecodeTest)

BOOST_AUTO_TEST_CASE(Configuration) {
  const auto config = DecodeConfig(R"({
    "Version": 7,
    "Routes": [{"Name": "r1", "Host": "h.example", "Prefix": "/a/",
                "TimeoutMs": 3000, "TargetDurationMs": 600, "Priority": 1,
                "Service": "s1", "MaxAttempts": 2, "Stretch": 1.6,
                "Public": true, "Advice": {"DecisionMs": 5}}],
    "Services": [{"Name": "s1", "AdmissionCheck": true, "Standby": false}],
    "Tenants": [{"Name": "t1", "ApiKeys": ["k1", "k2"], "Weight": 52,
                 "Maximum": {"Cpu": 1000, "MemMb": 2000, "Gpu": 0}}],
    "Unknown": {}})");
  BOOST_REQUIRE(config.has_value());
  BOOST_TEST(config->version == 7);
  BOOST_TEST(config->routes[0].open);
  BOOST_TEST(config->teams_by_key.at("k2").str() == "t1");
  const jobs::Queue& queue = config->fleet.queues.at(jobs::QueueId("r1"));
  BOOST_TEST(queue.pool.str() == "s1");
  BOOST_TEST(queue.max_attempts == 2);
  BOOST_TEST(queue.advised);
  BOOST_TEST(config->fleet.pools.at(PoolId("s1")).enforces_capacity);
  BOOST_TEST(config->fleet.teams.at(TeamId("t1")).maximum.memory_mb == 2000);
}

// Entries of other writers name no VM and do no harm.
BOOST_AUTO_TEST_CASE(Registrations) {
  const std::string good =
      R"({"Service": "s", "Address": "1.2.3.4:8080", "Zone": "z",
          "State": "draining", "Capacity": {"Cpu": 8000, "MemMb": 100},
          "Labels": ["a", "r1-3"], "born": 17, "Sequence": 4})";
  const auto vm = DecodeVm(VmId("i-1"), good);
  BOOST_REQUIRE(vm.has_value());
  BOOST_TEST(vm->leaving);
  BOOST_TEST(vm->rack.str() == "r1-3");
  BOOST_TEST(vm->boot_ms == 17);
  BOOST_TEST(vm->labels.contains("a"));
  for (const char* bad :
       {"", "\xff\xfe", "[]", "{}", R"({"State": 4})",
        R"({"Service": "s", "Address": "a", "Zone": "z", "State": "odd"})"}) {
    BOOST_TEST(!DecodeVm(VmId("i-1"), bad).has_value());
  }
}

// Guards against an entry that ends or blocks the processes that read the list:
// nested very deeply, with a number too large or a port out of range.
BOOST_AUTO_TEST_CASE(OddRegistrationsNameNoVm) {
  const auto entry = [](const std::string& address, const std::string& cpu,
                        const std::string& more = "") {
    return R"({"Service": "s", "Zone": "z", "State": "ready", "Address": ")" +
           address + R"(", "Capacity": {"Cpu": )" + cpu +
           R"(, "MemMb": 100}, "Labels": ["a", "r1"])" + more + "}";
  };
  BOOST_REQUIRE(DecodeVm(VmId("i-1"), entry("1.2.3.4:65535", "8000")));
  for (const std::string address :
       {"1.2.3.4:65536", "1.2.3.4:99999999999999999999", "1.2.3.4:0",
        "1.2.3.4:-1", "1.2.3.4:", "1.2.3.4:80x", "1.2.3.4", ":80", "",
        "1.2.3.4:80/x", "u@1.2.3.4:80", "1.2.3.4 :80", "1.2.3.4\r\nA:80"}) {
    BOOST_TEST_CONTEXT(address) {
      BOOST_TEST(!DecodeVm(VmId("i-1"), entry(address, "8000")).has_value());
    }
  }
  for (const std::string id : {"", "i 1", "i/1", "i\r\nA: b"}) {
    BOOST_TEST(!DecodeVm(VmId(id), entry("1.2.3.4:80", "8000")).has_value());
  }
  for (const std::string number :
       {"1e300", "-1e300", "1e999", "-1", "9223372036854775807",
        "184467440737095516160", "\"8000\"", "{}"}) {
    BOOST_TEST_CONTEXT(number) {
      BOOST_TEST(
          !DecodeVm(VmId("i-1"), entry("1.2.3.4:80", number)).has_value());
    }
  }
  BOOST_TEST(
      !DecodeVm(VmId("i-1"), entry("1.2.3.4:80", "1", R"(, "born": 1e300)"))
           .has_value());
  for (const std::size_t depth : {100U, 10'000U, 700'000U}) {
    const std::string nested =
        std::string(depth, '[') + std::string(depth, ']');
    BOOST_TEST(!DecodeVm(VmId("i-1"), nested).has_value());
    BOOST_TEST(!DecodeVm(VmId("i-1"), std::string(depth, '[')).has_value());
    BOOST_TEST(
        !DecodeVm(VmId("i-1"), entry("1.2.3.4:80", "1", ", \"x\": " + nested))
             .has_value());
  }
}

// Guards against numbers that overflow when they are converted.
BOOST_AUTO_TEST_CASE(JobsWithNumbersOutOfRangeAreRefused) {
  for (const std::string step :
       {R"({"Count": 1e300})", R"({"Count": 4294967301})",
        R"({"Count": 1, "Cpu": 1e300})", R"({"Count": 1, "MayMiss": -1e18})"}) {
    BOOST_TEST_CONTEXT(step) {
      BOOST_TEST(!DecodeJob(R"({"Steps": [)" + step + "]}").has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(Jobs) {
  const auto job = DecodeJob(R"({
    "Spec": "text", "RepeatCount": 3, "FirstRunMs": 1000, "IntervalMs": 50,
    "Steps": [{"Count": 4, "Cpu": 500, "MemMb": 256, "EstimateMs": 900,
               "Affinity": "r1-3", "MaxPerServer": 1},
              {"Count": 2, "After": [0], "LongRunning": true, "Fills": true,
               "MayMiss": 1, "TargetMs": 40, "GangScheduled": true}]})");
  BOOST_REQUIRE(job.has_value());
  BOOST_TEST(job->payload == "text");
  BOOST_TEST(job->Occurrences() == 3);
  BOOST_TEST(job->steps[0].preferred_rack.str() == "r1-3");
  BOOST_TEST(job->steps[0].max_per_vm == 1);
  BOOST_TEST(job->steps[1].endless);
  BOOST_TEST(job->steps[1].backfill);
  BOOST_TEST(job->steps[1].max_unavailable == 1);
  for (const char* bad :
       {"", "{}", R"({"Steps": 1})", R"({"Steps": [{"Count": "x"}]})"}) {
    const auto refused = DecodeJob(bad);
    BOOST_REQUIRE(!refused.has_value());
    BOOST_TEST(!refused.error().remedy.empty());
  }
}

BOOST_AUTO_TEST_CASE(Waves) {
  const auto wave = DecodeWave(
      R"({"Wave": 3, "Machines": ["m-1", "m-2"], "DurationS": 20.5,
          "Maximum": 2})");
  BOOST_REQUIRE(wave.has_value());
  BOOST_TEST(wave->id.str() == "3");
  BOOST_TEST(wave->machines.size() == 2);
  BOOST_TEST(ToMs(wave->duration) == 20'500);
  BOOST_TEST(!DecodeWave(R"({"Wave": 3})").has_value());
}

BOOST_AUTO_TEST_CASE(Base64) {
  for (const std::string text : {"", "a", "ab", "abc", "abcd"}) {
    BOOST_TEST(net::FromBase64(net::ToBase64(text)).value() == text);
  }
  BOOST_TEST(net::ToBase64("node-1") == "bm9kZS0x");
  BOOST_TEST(!net::FromBase64("abc").has_value());
  BOOST_TEST(!net::FromBase64("****").has_value());
  // Another writer's value of padding alone ended in an exception.
  BOOST_CHECK_NO_THROW((void)net::FromBase64("===="));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace kch::platform
