#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "maintain/maintain.h"

namespace kch::maintain {
namespace {

constexpr std::int64_t kWallS = 1'000'000'000;

// Fault of a store operation.
enum class Fault : std::uint8_t { kNone, kLostReply, kLostCall, kRefused };

class Store {
 public:
  StoreReply Perform(const StoreOp& operation, Fault fault = Fault::kNone) {
    if (const auto* get = std::get_if<StoreGet>(&operation)) {
      StoreReply reply{.key = get->key};
      if (fault == Fault::kNone) {
        reply.status = StoreStatus::kOk;
        if (const auto found = this->records.find(get->key);
            found != this->records.end()) {
          reply.value = found->second.first;
          reply.version = found->second.second;
        }
      }
      return reply;
    }
    const auto& cas = std::get<StoreCas>(operation);
    StoreReply reply{.key = cas.key, .is_write = true};
    if (fault == Fault::kRefused) {
      return reply;
    }
    reply.status = StoreStatus::kUnknown;
    if (fault == Fault::kLostCall) {
      return reply;
    }
    auto& record = this->records[cas.key];
    const bool fits = record.second == cas.version;
    if (fits) {
      record = {cas.value, ++this->last};
    }
    if (fault == Fault::kNone) {
      reply.status = fits ? StoreStatus::kOk : StoreStatus::kConflict;
      reply.version = record.second;
    }
    return reply;
  }

  PoolRecord Pool(const std::string& pool) {
    const auto found = this->records.find("pool/" + pool);
    return found == this->records.end()
               ? PoolRecord{}
               : Decode<PoolRecord>(found->second.first).value();
  }

  void Put(const PoolRecord& record) {
    this->records[KeyOf(record.pool)] = {Encode(record), ++this->last};
  }

 private:
  std::map<std::string, std::pair<std::string, std::uint64_t>> records;
  std::uint64_t last = 0;
};

VmRow Vm(const std::string& id) {
  VmRow vm;
  vm.id = VmId(id);
  vm.address = "127.0.0.1:1";
  vm.zone = ZoneId("z1");
  vm.rack = RackId("r1");
  vm.slots = 8;
  return vm;
}

Registration InPool(const std::string& pool) {
  return {PoolId(pool), Vm("v1"), {PoolId(pool == "a" ? "b" : "a")}, kWallS};
}

Result<void> Run(Store& store, Registration registration) {
  auto next = registration.Begin();
  while (!next.result) {
    next = registration.OnReply(store.Perform(*next.operation));
  }
  return *next.result;
}

// Guards against a VM in two pools when operators register it concurrently and
// replies are lost, and against a reported success without a row.
BOOST_AUTO_TEST_CASE(RacingRegistrationsListAVmOnce) {
  BOOST_TEST(rc::check([](const std::vector<std::uint8_t>& picks) {
    Store store;
    std::vector<Registration> running{InPool("a"), InPool("b"), InPool("a")};
    std::vector<Registration::Next> next;
    next.reserve(running.size());
    for (auto& registration : running) {
      next.push_back(registration.Begin());
    }
    const auto step = [&](std::size_t i, Fault fault) {
      if (!next[i].result) {
        next[i] = running[i].OnReply(store.Perform(*next[i].operation, fault));
      }
    };
    for (const auto pick : picks) {
      step(pick % 3, static_cast<Fault>(pick / 3 % 8 < 4 ? pick / 3 % 4 : 0));
    }
    for (int round = 0; round < 200; ++round) {
      for (std::size_t i = 0; i < running.size(); ++i) {
        step(i, Fault::kNone);
      }
    }
    const bool in_a = store.Pool("a").vms.contains(VmId("v1"));
    const bool in_b = store.Pool("b").vms.contains(VmId("v1"));
    RC_ASSERT(!(in_a && in_b));
    for (std::size_t i = 0; i < running.size(); ++i) {
      RC_ASSERT(next[i].result.has_value());
      RC_ASSERT(!*next[i].result || (i == 1 ? in_b : in_a));
    }
  }));
}

// Guards against a repeated registration that lists a VM again in the pool it
// has left: the claim still names that pool.
BOOST_AUTO_TEST_CASE(RepeatAfterAMoveIsRefused) {
  Store store;
  BOOST_TEST(Run(store, InPool("a")).has_value());
  PoolRecord a = store.Pool("a");
  PoolRecord b{.pool = PoolId("b"), .generation = 1};
  a.forwards[VmId("v1")] = {a.vms.at(VmId("v1")), PoolId("b"), 2, {}};
  a.vms.clear();
  store.Put(a);
  BOOST_TEST(!Run(store, InPool("a")).has_value());
  a.forwards.clear();
  b.vms[VmId("v1")] = Vm("v1");
  store.Put(a);
  store.Put(b);
  const auto repeated = Run(store, InPool("a"));
  BOOST_REQUIRE(!repeated.has_value());
  BOOST_TEST((repeated.error().kind == ErrorKind::kConflict));
  BOOST_TEST(store.Pool("a").vms.empty());
}

// Guards against a reboot right after the registration, and against a repeat
// that changes the record or reuses the id of another VM.
BOOST_AUTO_TEST_CASE(NewVmIsNotDueAndARepeatChangesNothing) {
  const PoolRecord empty{.pool = PoolId("a"), .generation = 4};
  const auto record = Register(empty, Vm("v1"), kWallS);
  BOOST_REQUIRE(record.has_value());
  BOOST_TEST(record->generation == 5U);
  BOOST_TEST(!IsDue(*record, record->vms.at(VmId("v1")), kWallS));
  BOOST_TEST((Register(*record, Vm("v1"), kWallS + 9) == *record));
  VmRow other = Vm("v1");
  other.address = "127.0.0.1:2";
  BOOST_TEST(!Register(*record, other, kWallS).has_value());
}

// Guards against changes that are missing from the event log or repeated in it.
BOOST_AUTO_TEST_CASE(ChangesOfARecordAreReported) {
  auto before = *Register({.pool = PoolId("a")}, Vm("v1"), kWallS);
  before = *Register(before, Vm("v2"), kWallS);
  before.ledger[VmId("v2")] = kWallS;
  BOOST_TEST(ChangesBetween(before, before).empty());
  PoolRecord after = before;
  EnterState(after, VmId("v1"), VmState::kReserved);
  after.ledger.erase(VmId("v2"));
  after.forwards[VmId("v3")] = {Vm("v3"), PoolId("b"), 3, {}};
  std::vector<std::string> names;
  for (const auto& change : ChangesBetween(before, after)) {
    names.push_back(std::string(NameOf(change.kind)) + " " + change.vm.str());
  }
  const std::vector<std::string> wanted{"vm_reserved v1", "vm_moved v3",
                                        "vm_back v2"};
  BOOST_TEST(names == wanted, boost::test_tools::per_element());
}

}  // namespace
}  // namespace kch::maintain
