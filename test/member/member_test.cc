#include "member/member.h"

#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace kch::member {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

InstanceId Instance(std::uint64_t index) {
  return InstanceId("e" + std::to_string(index));
}

Member Row(std::uint64_t index, std::uint64_t incarnation) {
  return {Instance(index), incarnation,  VmId("vm" + std::to_string(index)),
          ZoneId("z"),     "10.0.0.1:1", "10.0.0.1:2"};
}

// Runs one membership under random heartbeats, pauses and stops, and compares
// its results with those derived from a log of these events. The membership
// under test is that of instance 0.
class MembershipModel {
 public:
  explicit MembershipModel(std::uint64_t seed)
      : random(seed),
        size(1 + this->Draw(6)),
        view(Row(0, 1), this->now),
        last_call(this->now) {
    for (std::uint64_t i = 0; i < this->size; ++i) {
      this->record = *Join(std::move(this->record), Row(i, 1));
      this->running[Instance(i)] = 1;
      this->vms.insert(Row(i, 1).vm);
    }
    this->view.OnRecord(++this->version, this->record, this->now);
    this->RefreshVmList();
  }

  void Run(int steps) {
    // A mode lasts for several steps, so that contact can be lost for seconds.
    std::uint64_t mode = 0;
    for (int i = 0; i < steps; ++i) {
      if (this->Draw(25) == 0) {
        mode = this->Draw(4);
      }
      this->now += milliseconds(this->Draw(40) == 0 ? 900 + this->Draw(2'500)
                                                    : this->Draw(120));
      RC_ASSERT(!this->view.HasFreshContact(this->now) ||
                this->MayStart(Duration{}));
      switch (this->Draw(8)) {
        case 0:
        case 1:
        case 2:
          if (mode != 1 && mode != 3) {
            this->Heartbeat(1 + this->Draw(this->size));
          }
          break;
        case 3:
          if (mode == 0 || mode == 1) {
            this->TrackPause();
            this->view.OnStoreContact(this->now);
            this->store = this->now;
          }
          break;
        case 4:
          if (this->Draw(6) == 0) {
            this->Stop(1 + this->Draw(this->size));
          }
          break;
        default:
          if (this->Draw(30) == 0) {
            this->RefreshVmList();
          }
          // The list lags: it has its last content until it is refreshed.
          this->view.OnVmList(++this->list_version, this->listed_vms);
          this->TrackPause();
          this->view.OnStep(this->now);
      }
      this->Check();
    }
  }

 private:
  std::uint64_t Draw(std::uint64_t bound) { return this->random() % bound; }

  void RefreshVmList() {
    this->listed_vms = this->vms;
    this->view.OnVmList(++this->list_version, this->listed_vms);
  }

  // Records a gap between calls that the membership must treat as a pause.
  void TrackPause() {
    if (this->now - this->last_call > seconds(1)) {
      this->resumed = this->now;
    }
    this->last_call = this->now;
  }

  void Heartbeat(std::uint64_t index) {
    const InstanceId peer = Instance(index);
    this->TrackPause();
    // Some heartbeats are from an earlier process or are duplicates.
    const std::uint64_t incarnation =
        this->Draw(8) == 0 ? 1 : this->running[peer];
    const std::uint64_t sequence =
        this->Draw(8) == 0 ? this->sequence : ++this->sequence;
    const auto key = std::tuple(peer, incarnation, sequence);
    const bool repeated = !this->reports.insert(key).second;
    const bool fresh = this->view.OnHeartbeat(peer, incarnation, sequence, 1,
                                              false, this->now);
    if (fresh) {
      RC_ASSERT(!repeated);
      RC_ASSERT(this->record.members.contains(peer));
      RC_ASSERT(!this->rejected.contains({peer, incarnation}));
      this->last_reports[peer] = this->now;
    }
  }

  // Stops a process, in most cases with a proof of the stop.
  void Stop(std::uint64_t index) {
    const InstanceId peer = Instance(index);
    const auto row = this->record.members.find(peer);
    if (row == this->record.members.end()) {
      return;
    }
    const Member member = row->second;
    const std::uint64_t ended = member.incarnation;
    const std::uint64_t old_version = this->version;
    const Record old_record = this->record;
    const auto kind = this->Draw(5);
    switch (kind) {
      case 0:
        this->record = Leave(this->record, peer, ended);
        break;
      case 1:
        this->record = *Join(this->record, Row(index, ended + 1));
        this->running[peer] = ended + 1;
        this->last_reports.erase(peer);
        // A restarted VM runs before the list has it again.
        this->vms.insert(member.vm);
        break;
      case 2:
        this->RefreshVmList();
        this->vms.erase(member.vm);
        this->RefreshVmList();
        for (int i = 0; i < 4; ++i) {
          this->now += milliseconds(900);
          this->TrackPause();
          this->view.OnStep(this->now);
        }
        break;
      case 3:
        this->view.OnRetired(peer, ended);
        break;
      default:
        // The process is unresponsive. Neither a list that is not newer nor one
        // without the own VM is a proof.
        this->view.OnVmList(this->list_version, {VmId("vm0")});
        this->view.OnVmList(this->list_version + 1, {});
        return;
    }
    for (std::uint64_t i = 1; i <= ended; ++i) {
      this->stopped.insert({peer, i});
      if (kind != 2) {
        this->rejected.insert({peer, i});
      }
    }
    this->TrackPause();
    this->view.OnRecord(++this->version, this->record, this->now);
    this->view.OnRecord(old_version, old_record, this->now);  // outdated
    RC_ASSERT(this->view.record() == this->record);
    RC_ASSERT(this->view.StopProofOf(peer, ended).has_value());
  }

  // Whether work may start, derived from the log. `settle` is the time after a
  // pause during which contact is ignored.
  [[nodiscard]] bool MayStart(Duration settle) const {
    const auto counts = [&](std::optional<Time> contact) {
      return contact && this->now - *contact <= seconds(2) &&
             (!this->resumed || *contact >= *this->resumed + settle);
    };
    if (this->now - this->last_call > seconds(1)) {
      return false;
    }
    std::size_t in_contact = 1;
    for (const auto& [peer, at] : this->last_reports) {
      in_contact += this->record.members.contains(peer) && counts(at) ? 1 : 0;
    }
    return counts(this->store) ||
           (in_contact > 1 && 2 * in_contact > this->record.members.size());
  }

  void Check() {
    const bool fresh = this->view.HasFreshContact(this->now);
    RC_ASSERT(!fresh || this->MayStart(Duration{}));
    RC_ASSERT(fresh || !this->MayStart(kResumeHoldOff));
    for (std::uint64_t i = 1; i <= this->size; ++i) {
      for (std::uint64_t n = 1; n <= this->running[Instance(i)]; ++n) {
        if (const auto proof = this->view.StopProofOf(Instance(i), n)) {
          RC_ASSERT(this->stopped.contains({Instance(i), n}));
          RC_ASSERT(proof->incarnation >= n);
        }
      }
    }
    const auto live = this->view.LiveMembers(this->now);
    RC_ASSERT(std::count(live.begin(), live.end(), Instance(0)) == 1);
    const auto owner = this->view.OwnerOf(PoolId("p"), this->now);
    RC_ASSERT(owner && std::count(live.begin(), live.end(), *owner) == 1);
    RC_ASSERT(!this->view.IsSuperseded());
  }

  std::mt19937_64 random;
  Time now;
  std::uint64_t size;
  Membership view;
  Record record;
  std::uint64_t version = 0;
  std::uint64_t list_version = 10;
  std::uint64_t sequence = 0;
  std::set<VmId> vms;
  std::set<VmId> listed_vms;  // content of the last list
  std::map<InstanceId, std::uint64_t> running;
  std::set<std::tuple<InstanceId, std::uint64_t, std::uint64_t>> reports;
  std::set<std::pair<InstanceId, std::uint64_t>> stopped;
  std::set<std::pair<InstanceId, std::uint64_t>>
      rejected;  // their heartbeats have to be ignored
  std::map<InstanceId, Time> last_reports;
  std::optional<Time> store;
  std::optional<Time> resumed;
  Time last_call;
};

// Guards against starts without contact or, after a pause, on outdated contact,
// and against permits that are released although their holder may still run.
BOOST_AUTO_TEST_CASE(ContactAndStopProofsMatchTheModel) {
  BOOST_TEST(rc::check([] {
    const auto seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    MembershipModel(seed).Run(2'000);
  }));
}

// Guards against contact that was buffered during a pause and counts
// afterwards.
BOOST_AUTO_TEST_CASE(BufferedContactDoesNotCountAfterAPause) {
  Membership view(Row(0, 1), Time());
  view.OnRecord(1, *Join(*Join({}, Row(0, 1)), Row(1, 1)), Time());
  view.OnStoreContact(Time());
  BOOST_TEST(view.HasFreshContact(Time() + milliseconds(900)));
  Time now = Time() + milliseconds(1'500);
  BOOST_TEST(!view.HasFreshContact(now));
  view.OnHeartbeat(Instance(1), 1, 1, 0, false, now);
  view.OnStoreContact(now);
  view.OnStep(now);
  BOOST_TEST(!view.HasFreshContact(now));
  now += kResumeHoldOff;
  view.OnHeartbeat(Instance(1), 1, 2, 0, false, now);
  BOOST_TEST(view.HasFreshContact(now));
}

// Guards against an unresponsive connection that is not replaced, and a peer
// that remains the owner of its pools although it is down.
BOOST_AUTO_TEST_CASE(UnresponsivePeerIsReconnectedThenReplacedAsOwner) {
  Membership view(Row(0, 1), Time());
  view.OnRecord(1, *Join(*Join({}, Row(0, 1)), Row(1, 1)), Time());
  std::map<std::int64_t, std::vector<PeerEventKind>> events;
  std::uint64_t sequence = 0;
  for (std::int64_t ms = 0; ms <= 5'000; ms += 100) {
    const Time now = Time() + milliseconds(ms);
    if (ms <= 500 || ms == 4'000) {
      view.OnHeartbeat(Instance(1), 1, ++sequence, 0, false, now);
    }
    for (const PeerEvent& event : view.OnStep(now)) {
      events[ms].push_back(event.kind);
    }
    BOOST_TEST(view.LiveMembers(now).size() ==
               (ms < 2'500 || ms >= 4'000 ? 2U : 1U));
  }
  using enum PeerEventKind;
  const std::map<std::int64_t, std::vector<PeerEventKind>> expected{
      {1'500, {kReconnect}},
      {2'500, {kReconnect, kDown}},
      {3'500, {kReconnect}},
      {4'000, {kRecovered}},
      {5'000, {kReconnect}}};
  BOOST_TEST((events == expected));
}

// Guards against pools that move between remaining members, and against members
// that disagree on the owner of a pool.
BOOST_AUTO_TEST_CASE(OnlyPoolsOfALeavingMemberMove) {
  Record record;
  for (std::uint64_t i = 0; i < 9; ++i) {
    record = *Join(std::move(record), Row(i, 1));
  }
  Membership first(Row(0, 1), Time());
  Membership second(Row(1, 1), Time());
  first.OnRecord(1, record, Time());
  second.OnRecord(1, record, Time());
  std::map<InstanceId, int> owned;
  for (int i = 0; i < 900; ++i) {
    const PoolId pool("p" + std::to_string(i));
    const auto ranks = first.RankedOwners(pool, Time());
    BOOST_REQUIRE(ranks.size() == 9U);
    BOOST_TEST(*second.OwnerOf(pool, Time()) == ranks[0]);
    ++owned[ranks[0]];
    Membership rest(Row(0, 1), Time());
    rest.OnRecord(1, Leave(record, Instance(5), 1), Time());
    BOOST_TEST(*rest.OwnerOf(pool, Time()) ==
               (ranks[0] == Instance(5) ? ranks[1] : ranks[0]));
  }
  for (const auto& [id, count] : owned) {
    BOOST_TEST(count > 60);
    BOOST_TEST(count < 140);
  }
  first.SetDraining(true);
  for (const InstanceId& id : first.RankedOwners(PoolId("p"), Time())) {
    BOOST_TEST(id != Instance(0));
  }
}

// Guards against a replaced or stopped process that continues to start work or
// restores its row.
BOOST_AUTO_TEST_CASE(ReplacedProcessMustExit) {
  const Record first = *Join({}, Row(0, 1));
  const Record second = *Join(first, Row(0, 2));
  BOOST_TEST(!Join(second, Row(0, 1)).has_value());
  BOOST_TEST((Leave(second, Instance(0), 1) == second));
  BOOST_TEST(!Join(Leave(second, Instance(0), 2), Row(0, 2)).has_value());
  BOOST_TEST(Join(Leave(second, Instance(0), 2), Row(0, 3)).has_value());
  for (const Record& record : {second, Leave(first, Instance(0), 1)}) {
    Membership view(Row(0, 1), Time());
    view.OnRecord(1, first, Time());
    view.OnStoreContact(Time());
    BOOST_TEST(view.HasFreshContact(Time()));
    view.OnRecord(2, record, Time());
    BOOST_TEST(view.IsSuperseded());
    BOOST_TEST(!view.HasFreshContact(Time()));
  }
  // An absent row, as after a loss of data, is no proof of a stop.
  Membership view(Row(1, 1), Time());
  view.OnRecord(1, first, Time());
  view.OnRecord(2, Record{}, Time());
  BOOST_TEST(!view.StopProofOf(Instance(0), 1).has_value());
}

// Guards against a VM that counts as unlisted before it was ever listed, or
// while it is listed again.
BOOST_AUTO_TEST_CASE(VmCountsAsUnlistedOnlyAfterHavingBeenListed) {
  Membership view(Row(0, 1), Time());
  view.OnRecord(1, *Join(*Join({}, Row(0, 1)), Row(1, 1)), Time());
  const VmId own("vm0");
  const VmId other("vm1");
  view.OnVmList(1, {own});
  BOOST_TEST(!view.StopProofOf(Instance(1), 1).has_value());
  view.OnVmList(2, {own, other});
  view.OnVmList(3, {});
  BOOST_TEST(!view.StopProofOf(Instance(1), 1).has_value());
  view.OnVmList(4, {own});
  BOOST_TEST(!view.StopProofOf(Instance(1), 1).has_value());
  view.OnStep(Time() + milliseconds(1'000));
  view.OnStep(Time() + milliseconds(2'000));
  BOOST_TEST((view.StopProofOf(Instance(1), 1)->kind == StopKind::kVmUnlisted));
  BOOST_TEST(!view.StopProofOf(Instance(1), 2).has_value());
  BOOST_TEST(view.OnHeartbeat(Instance(1), 1, 1, 0, false,
                              Time() + milliseconds(2'100)));
  BOOST_TEST(!view.StopProofOf(Instance(1), 1).has_value());
  view.OnStep(Time() + milliseconds(3'100));
  view.OnStep(Time() + milliseconds(4'100));
  BOOST_TEST(view.StopProofOf(Instance(1), 1).has_value());
  view.OnVmList(5, {own, other});
  BOOST_TEST(!view.StopProofOf(Instance(1), 1).has_value());
}

// Guards against a record that loses a field, grows without bound, or is
// decoded although it is corrupt.
BOOST_AUTO_TEST_CASE(RecordRoundTripsAndIsBounded) {
  Record record;
  for (std::uint64_t i = 0; i < kMaxStopRecords + 40; ++i) {
    record = Leave(*Join(std::move(record), Row(i, 1)), Instance(i), 1);
  }
  BOOST_TEST(record.stopped.size() == kMaxStopRecords);
  BOOST_TEST(!record.stopped.contains(Instance(0)));
  Member draining = Row(7, 4);
  draining.draining = true;
  record = *Join(std::move(record), draining);
  BOOST_TEST((*Decode<Record>(Encode(record)) == record));
  for (const char* text :
       {"", "{}", "[]", R"({"members":[{}],"stopped":[],"next_serial":1})",
        R"({"members":[],"stopped":[],"next_serial":1,"more":1})"}) {
    BOOST_TEST(!Decode<Record>(text).has_value());
  }
  BOOST_TEST(!Join({}, Row(1, 0)).has_value());
}

}  // namespace
}  // namespace kch::member
