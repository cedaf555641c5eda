#include <boost/test/unit_test.hpp>
#include <set>

#include "once/once.h"

namespace kch::once {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const RequestId kRequest("booking-1");
constexpr std::int64_t kWall = 1'700'000'000;

// One claim registry; the test supplies the replies to its store operations.
struct Fixture {
  Time now{seconds(1000)};
  ClaimRegistry registry{Settings{}, 1};
  std::string key = KeyOf(BucketOf(kRequest));
  std::uint64_t version = 4;

  std::vector<StoreOp> Claim(const std::string& token) {
    return this->registry.Claim(kRequest, token, this->now, kWall);
  }

  std::vector<StoreOp> Read(const Bucket& bucket) {
    return this->registry.OnReply(
        {this->key, false, StoreStatus::kOk, Encode(bucket), this->version},
        this->now, kWall);
  }

  std::vector<StoreOp> Written(StoreStatus status) {
    this->version += status == StoreStatus::kOk ? 1 : 0;
    return this->registry.OnReply(
        {this->key, true, status, std::nullopt, this->version}, this->now,
        kWall);
  }

  std::vector<StoreOp> TickAfter(Duration duration) {
    this->now += duration;
    return this->registry.Tick(this->now, kWall);
  }

  static Bucket BucketIn(const std::vector<StoreOp>& ops) {
    BOOST_REQUIRE(ops.size() == 1U);
    BOOST_REQUIRE(std::holds_alternative<StoreCas>(ops[0]));
    return *Decode<Bucket>(std::get<StoreCas>(ops[0]).value);
  }

  ClaimResult Only() {
    const auto results = this->registry.TakeResults();
    BOOST_REQUIRE(results.size() == 1U);
    return results[0];
  }
};

// Guards against records that schedulers interpret differently.
BOOST_AUTO_TEST_CASE(BucketsRoundTripAndCorruptOnesAreRefused) {
  const Bucket bucket{{{kRequest, "t\"1", 5}, {RequestId("b"), "t2", 6}}};
  BOOST_TEST((*Decode<Bucket>(Encode(bucket)) == bucket));
  for (const char* text : {"", "{}", "[]", R"({"claims":[["a","b"]]})"}) {
    BOOST_TEST((Decode<Bucket>(text).error().kind == ErrorKind::kCorrupt));
  }
  BOOST_TEST(*BucketOfKey("claim/63") == 63U);
  BOOST_TEST(!BucketOfKey("claim/64").has_value());
  BOOST_TEST(!BucketOfKey("claim/1x").has_value());
}

// Guards against a hash that leaves some records unused.
BOOST_AUTO_TEST_CASE(RequestIdsSpreadOverAllBuckets) {
  std::set<std::uint32_t> buckets;
  for (int i = 0; i < 1000; ++i) {
    buckets.insert(BucketOf(RequestId("r" + std::to_string(i))));
  }
  BOOST_TEST(buckets.size() == kBucketCount);
}

// Guards against one write per claim: later claims must share the next write.
BOOST_AUTO_TEST_CASE(ClaimsDuringAWriteShareTheNextWrite) {
  Fixture f;
  BOOST_TEST(f.Claim("t1").size() == 1U);
  BOOST_TEST(Fixture::BucketIn(f.Read({})).claims.size() == 1U);
  std::vector<RequestId> same_bucket;
  for (int i = 0; same_bucket.size() < 3; ++i) {
    const RequestId other("other-" + std::to_string(i));
    if (BucketOf(other) == BucketOf(kRequest)) {
      same_bucket.push_back(other);
      BOOST_TEST(
          f.registry.Claim(other, "t" + other.str(), f.now, kWall).empty());
    }
  }
  BOOST_TEST(f.Written(StoreStatus::kOk).empty());
  BOOST_TEST((f.Only().outcome == ClaimOutcome::kClaimed));
  const auto ops = f.TickAfter(milliseconds(20));
  BOOST_TEST(Fixture::BucketIn(ops).claims.size() == 4U);
}

// Guards against reporting a claim, and with it a request, as unknown although
// the store was never reached.
BOOST_AUTO_TEST_CASE(StoreOutageIsADefiniteRefusal) {
  Fixture f;
  f.Claim("t1");
  f.Read({});
  f.Written(StoreStatus::kUnavailable);
  f.TickAfter(seconds(3));
  const ClaimResult result = f.Only();
  BOOST_TEST((result.outcome == ClaimOutcome::kUnavailable));
  BOOST_TEST((result.refusal == ClaimRefusal::kDeadline));
}

// Guards against records above the store's size limit for values.
BOOST_AUTO_TEST_CASE(FullRecordRefusesNewClaims) {
  Fixture f;
  Bucket full;
  const std::string token(100, 't');
  std::size_t bytes = Encode(full).size();
  while (bytes + 200 < Settings{}.max_record_bytes) {
    full.claims.push_back(
        {RequestId("f" + std::to_string(full.claims.size())), token, kWall});
    bytes += EncodedSize(full.claims.back());
  }
  f.registry.Claim(kRequest, std::string(190, 'x'), f.now, kWall);
  BOOST_TEST(f.Read(full).empty());
  BOOST_TEST((f.Only().refusal == ClaimRefusal::kFull));
}

// Guards against a purge before the retention has ended on the claimer's clock,
// and against claims that are never purged.
BOOST_AUTO_TEST_CASE(ClaimsArePurgedAfterRetentionAndMargin) {
  const std::int64_t lifetime_s =
      Settings{}.retention_s + Settings{}.clock_margin_s;
  for (const bool old : {false, true}) {
    Fixture f;
    f.Claim("t1");
    const auto ops =
        f.Read({{{kRequest, "t0", kWall - lifetime_s - (old ? 1 : 0)}}});
    if (old) {
      BOOST_TEST(Fixture::BucketIn(ops).claims.at(0).token == "t1");
    } else {
      BOOST_TEST((f.Only().outcome == ClaimOutcome::kTaken));
    }
  }
}

// Guards against ids that JSON would change, which would never be found again.
BOOST_AUTO_TEST_CASE(UnprintableIdsAreRefused) {
  Fixture f;
  f.registry.Claim(RequestId("a\xff"), "t1", f.now, kWall);
  BOOST_TEST((f.Only().refusal == ClaimRefusal::kInvalid));
}

}  // namespace
}  // namespace kch::once
