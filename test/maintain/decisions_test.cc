#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "maintain/maintain.h"

namespace kch::maintain {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const Limits kLimits;

// A pool of serving VMs, 4 per rack, with the racks spread over 3 zones.
PoolRecord Pool(const std::string& name, int size) {
  PoolRecord record;
  record.pool = PoolId(name);
  record.generation = 1;
  for (int i = 0; i < size; ++i) {
    VmRow vm;
    vm.id = VmId(name + std::to_string(i));
    vm.rack = RackId("r" + std::to_string(i / 4));
    vm.zone = ZoneId("z" + std::to_string(i / 4 % 3));
    vm.slots = 8;
    record.vms[vm.id] = vm;
  }
  return record;
}

Observations AllUp(const PoolRecord& record, Time now) {
  Observations observations;
  observations.entries_at = observations.platform_vms_at = now;
  observations.wall_s = 1'000'000'000;
  for (const auto& [id, vm] : record.vms) {
    observations.platform_vms[id] = {true};
  }
  return observations;
}

// Guards against fields that are lost when a record is encoded and decoded.
BOOST_AUTO_TEST_CASE(RecordRoundTrips) {
  BOOST_TEST(rc::check([](std::uint64_t a, std::uint32_t b, std::int64_t c,
                          const std::vector<std::uint8_t>& picks) {
    PoolRecord record = Pool("a", 5);
    record.generation = a;
    record.rollout_s = c;
    record.resized_s = -c;
    record.adopted[PoolId("b")] = a / 2;
    record.based_on[PoolId("c")] = a / 3;
    record.ledger[VmId("a1")] = c;
    record.order_ids = {"x", "\"y\""};
    for (const auto pick : picks) {
      VmRow& vm = record.vms[VmId("a" + std::to_string(pick % 5))];
      vm.state = static_cast<VmState>(pick % 6);
      vm.purpose = static_cast<Purpose>(pick % 3);
      vm.address = "127.0.0.1:" + std::to_string(pick);
      vm.cpus = vm.memory_mb = vm.accelerators = vm.step = b;
      vm.since = vm.epoch = a;
      vm.since_s = vm.maintained_s = c;
      vm.to = PoolId("b");
      vm.operation = vm.boot = vm.reason = std::to_string(pick);
      const OrderRow order{vm.id, vm.purpose, vm.to, "o"};
      record.orders.push_back(order);
      record.forwards[VmId("f" + std::to_string(pick))] = {
          vm, PoolId("d"), a, {order}};
      record.forwards[VmId("f" + std::to_string(pick))].vm.id =
          VmId("f" + std::to_string(pick));
    }
    const auto decoded = Decode<PoolRecord>(Encode(record));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == record);
  }));
}

// Guards against a maintainer that acts on a damaged record.
BOOST_AUTO_TEST_CASE(DamagedRecordIsRefused) {
  std::string text = Encode(Pool("a", 2));
  BOOST_TEST(!Decode<PoolRecord>(text.substr(0, text.size() / 2)));
  text.replace(text.find("serving"), 7, "resting");
  const auto decoded = Decode<PoolRecord>(text);
  BOOST_REQUIRE(!decoded);
  BOOST_TEST((decoded.error().kind == ErrorKind::kCorrupt));
  BOOST_TEST(decoded.error().message.find("resting") != std::string::npos);
}

// Guards against reservations that, with lost VMs, exceed the budget, and
// against roll-outs that leave budget unused.
BOOST_AUTO_TEST_CASE(ReservationsStayWithinTheBudget) {
  BOOST_TEST(rc::check([](std::uint8_t all, std::uint8_t zone,
                          std::uint8_t rack,
                          const std::vector<std::uint8_t>& lost,
                          const std::vector<std::uint8_t>& picks) {
    PoolRecord record = Pool("a", 24);
    const Time now{seconds(1000)};
    Observations observations = AllUp(record, now);
    const Budget budget{all % 8U, zone % 5U, rack % 3U, 1, 1};
    std::set<VmId> out;
    for (std::size_t i = 0; i < std::min<std::size_t>(lost.size(), 4); ++i) {
      const VmId id("a" + std::to_string(lost[i] % 24));
      out.insert(id);
      if (lost[i] % 2 == 0) {
        observations.platform_vms[id].up = false;
      } else {
        record.ledger[id] = 1;
      }
    }
    const std::set<VmId> lost_vms = out;
    const auto check = [&](const VmId& id) {
      out.insert(id);
      const auto count = [&](const std::set<VmId>& vms, auto member) {
        return static_cast<std::uint32_t>(
            std::count_if(vms.begin(), vms.end(), [&](const VmId& other) {
              return record.vms.at(other).*member == record.vms.at(id).*member;
            }));
      };
      RC_ASSERT(out.size() <= budget.max_unavailable);
      RC_ASSERT(count(out, &VmRow::zone) <= budget.per_zone);
      RC_ASSERT(count(out, &VmRow::rack) <= budget.per_rack);
      RC_ASSERT(count(lost_vms, &VmRow::zone) == 0U);
      RC_ASSERT(count(lost_vms, &VmRow::rack) == 0U);
    };
    for (const auto pick : picks) {
      const VmId id("a" + std::to_string(pick % 24));
      const auto next = Reserve(record, id, {Purpose::kReboot, PoolId(), "t"},
                                budget, observations, now, kLimits);
      if (next) {
        RC_ASSERT(!out.contains(id));
        RC_ASSERT(next->generation > record.generation);
        record = *next;
        check(id);
      }
    }
    record.rollout_s = 1;
    for (const auto& id :
         PlanRollout(record, budget, observations, observations.wall_s)) {
      const auto next = Reserve(record, id, {Purpose::kReboot, PoolId(), "t"},
                                budget, observations, now, kLimits);
      RC_ASSERT(next.has_value());
      record = *next;
      check(id);
    }
    RC_ASSERT(
        PlanRollout(record, budget, observations, observations.wall_s).empty());
    for (const auto& [id, vm] : record.vms) {
      RC_ASSERT(!Reserve(record, id, {Purpose::kReboot, PoolId(), "t"}, budget,
                         observations, now, kLimits));
    }
  }));
}

// Guards against reservations based on a VM list that predates the latest
// losses.
BOOST_AUTO_TEST_CASE(OutdatedListAllowsNoReservation) {
  const PoolRecord record = Pool("a", 4);
  const Time now{seconds(1000)};
  const Observations observations = AllUp(record, now);
  const Reservation reboot{Purpose::kReboot, PoolId(), "t"};
  BOOST_TEST(Reserve(record, VmId("a0"), reboot, Budget{}, observations,
                     now + kLimits.max_list_age, kLimits)
                 .has_value());
  BOOST_TEST(!Reserve(record, VmId("a0"), reboot, Budget{}, observations,
                      now + kLimits.max_list_age + milliseconds(1), kLimits)
                  .has_value());
}

// Guards against a lagging VM list that cancels a loss recorded by another
// maintainer.
BOOST_AUTO_TEST_CASE(RecoveryRequiresAWorkerReport) {
  PoolRecord record = Pool("a", 4);
  const Time now{seconds(1000)};
  Observations observations = AllUp(record, now);
  record.ledger[VmId("a0")] = 1;
  BOOST_TEST(!UpdateLedger(record, observations, now, kLimits));
  RecordWorkerReport(observations, VmId("a0"), "2", {}, now, kLimits);
  BOOST_TEST(UpdateLedger(record, observations, now, kLimits));
  BOOST_TEST(record.ledger.empty());
}

// A draining VM whose worker has reported since the drain was observed.
struct Drain {
  PoolRecord record = Pool("a", 4);
  VmId vm{"a0"};
  Time start{seconds(1000)};
  Observations observations = AllUp(record, start);

  Drain() {
    auto next =
        Reserve(this->record, this->vm, {Purpose::kReboot, PoolId(), "t"},
                Budget{}, this->observations, this->start, kLimits);
    this->record =
        *Advance(*next, this->vm, this->observations, this->start, kLimits)
             ->record;
    this->observations.observed_reservations[this->vm] = {
        this->record.vms[this->vm].operation, this->start};
  }

  bool QuietAt(Time now, std::vector<TaskReport> tasks = {}) {
    RecordWorkerReport(this->observations, this->vm, "1", std::move(tasks), now,
                       kLimits);
    this->observations.entries_at = now;
    return CheckQuiet(this->record, this->record.vms[this->vm],
                      this->observations, now, kLimits)
        .has_value();
  }
};

// Guards against a reboot while the result of a task of an unresponsive entry
// may still be used, and against an unresponsive entry that blocks a drain
// forever.
BOOST_AUTO_TEST_CASE(UnresponsiveEntryDelaysADrainByOneLease) {
  Drain drain;
  drain.observations.entries[InstanceId("e")].last_contact_at = drain.start;
  const Duration wait = kLimits.max_lease + kLimits.start_validity;
  for (Duration t{}; t < wait; t += milliseconds(500)) {
    BOOST_TEST(!drain.QuietAt(drain.start + t));
  }
  BOOST_TEST(drain.QuietAt(drain.start + wait));
  // A task during the wait restarts the wait, and so does a gap between
  // reports.
  const Time again = drain.start + wait + seconds(1);
  BOOST_TEST(!drain.QuietAt(again, {TaskReport{TaskId("t")}}));
  BOOST_TEST(!drain.QuietAt(again + seconds(1)));
  BOOST_TEST(!drain.QuietAt(again + wait + seconds(1)));
  for (Duration t{}; t < wait; t += seconds(1)) {
    BOOST_TEST(!drain.QuietAt(again + wait + seconds(1) + t));
  }
}

// Guards against a reboot before a live entry has observed the drain.
BOOST_AUTO_TEST_CASE(LiveEntryMustReport) {
  Drain drain;
  auto& entry = drain.observations.entries[InstanceId("e")];
  auto& pool_report = entry.pool_reports[PoolId("a")];
  const auto since = drain.record.vms[drain.vm].since;
  const auto quiet_at = [&](int s) {
    entry.last_contact_at = drain.start + seconds(s);
    return drain.QuietAt(drain.start + seconds(s));
  };
  pool_report.generation = since - 1;
  for (int s = 0; s < 60; ++s) {
    BOOST_TEST(!quiet_at(s));
  }
  pool_report.generation = since;
  pool_report.running[drain.vm] = 1;
  BOOST_TEST(!quiet_at(60));
  pool_report.running.clear();
  BOOST_TEST(quiet_at(61));
}

// Guards against endless tasks that block a roll-out forever.
BOOST_AUTO_TEST_CASE(TasksAreBoundedByTheirProfile) {
  Drain drain;
  drain.observations.operations[OperationId(drain.record.vms[drain.vm],
                                            PlatformVerb::kDrain)] =
      OperationState::kDone;
  const auto verbs_at = [&](int s) {
    drain.observations.wall_s = drain.record.vms[drain.vm].since_s + s;
    const Time now = drain.start + seconds(s);
    drain.QuietAt(now, {{TaskId("t"), DrainBehaviour::kThrottle, seconds(20)},
                        {TaskId("w"), DrainBehaviour::kWait, seconds(10)}});
    std::string verbs;
    const auto actions =
        Advance(drain.record, drain.vm, drain.observations, now, kLimits);
    for (const auto& call : actions->workers) {
      verbs +=
          call.task.str() + std::to_string(static_cast<int>(call.verb)) + " ";
    }
    return verbs;
  };
  BOOST_TEST(verbs_at(0) == "t1 ");
  BOOST_TEST(verbs_at(10) == "t1 w0 ");
  BOOST_TEST(verbs_at(20) == "t0 w0 ");
  BOOST_TEST(verbs_at(40) == "t0 w2 ");
  BOOST_TEST(verbs_at(50) == "t2 w2 ");
  // An old record must not stop tasks of a VM that serves again.
  drain.observations.observed_reservations[drain.vm].observed_at =
      drain.start + seconds(50);
  BOOST_TEST(verbs_at(51) == "t0 w0 ");
  BOOST_TEST(verbs_at(52) == "t2 w2 ");
}

// Guards against VMs in no pool or in two, for any combination of record
// versions at the maintainers and a reader.
BOOST_AUTO_TEST_CASE(EachReaderFindsExactlyOnePool) {
  BOOST_TEST(rc::check([](const std::vector<std::uint16_t>& picks) {
    const std::vector<PoolId> pools{PoolId("a"), PoolId("b"), PoolId("c")};
    std::map<PoolId, std::vector<PoolRecord>> history;
    Records reader;
    std::map<VmId, std::vector<PoolId>> owners;
    std::map<VmId, std::size_t> positions;
    const Time now{seconds(1000)};
    for (const auto& pool : pools) {
      history[pool] = {Pool(pool.str(), 2)};
      reader[pool] = history[pool].back();
      for (const auto& [id, vm] : reader[pool].vms) {
        owners[id] = {pool};
      }
    }
    std::uint64_t state = 1;
    for (std::size_t i = 0; i < picks.size() * 8; ++i) {
      state = (state + picks[i / 8]) * 6364136223846793005ULL + 1442695ULL;
      const auto draw = [&](std::size_t n) {
        state = state * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<std::size_t>(state >> 33) % n;
      };
      const PoolId& pool = pools[draw(3)];
      const PoolId& other = pools[draw(3)];
      const auto& versions = history[other];
      const auto& old =
          versions[versions.size() - 1 -
                   draw(std::min<std::size_t>(versions.size(), 4))];
      const PoolRecord& current = history[pool].back();
      Result<PoolRecord> next = Fail(ErrorKind::kInvalid, "", "");
      const auto kind = draw(4);
      if (kind == 0 && !current.vms.empty() && pool != other) {
        const VmId id =
            std::next(current.vms.begin(),
                      static_cast<std::ptrdiff_t>(draw(current.vms.size())))
                ->first;
        PoolRecord quiet = current;
        quiet.vms[id].state = VmState::kQuiet;
        quiet.vms[id].purpose = Purpose::kMove;
        quiet.vms[id].to = other;
        Observations observations = AllUp(quiet, now);
        observations.observed_reservations[id] = {"", now};
        RecordWorkerReport(observations, id, "1", {}, now - seconds(1),
                           kLimits);
        RecordWorkerReport(observations, id, "1", {}, now, kLimits);
        next = Forward(quiet, id, other, observations, now, kLimits);
        RC_ASSERT(next.has_value());
        owners[id].push_back(other);
      } else if (kind == 1 && pool != other) {
        next = Adopt(current, old);
      } else if (kind == 2 && !current.forwards.empty()) {
        next = DropForward(current, old, current.forwards.begin()->first);
      } else {
        reader[pool] = current;
      }
      if (next) {
        history[pool].push_back(*next);
      }
      for (const auto& [id, owner] : owners) {
        const auto found = PoolOf(id, reader);
        if (!found) {
          RC_ASSERT(found.error().kind == ErrorKind::kUnavailable);
          continue;
        }
        // The reader observes the VM's moves in order and never an earlier
        // pool.
        auto& position = positions[id];
        while (position < owner.size() && owner[position] != *found) {
          ++position;
        }
        RC_ASSERT(position < owner.size());
      }
      Records latest;
      for (const auto& name : pools) {
        latest[name] = history[name].back();
      }
      for (const auto& [id, owner] : owners) {
        RC_ASSERT(PoolOf(id, latest) == owner.back());
        RC_ASSERT(std::count_if(latest.begin(), latest.end(),
                                [&, &id = id](const auto& entry) {
                                  return entry.second.vms.contains(id);
                                }) <= 1);
      }
    }
  }));
}

// Guards against VMs that are maintained twice or not at all in a period.
BOOST_AUTO_TEST_CASE(EachVmIsDueOncePerPeriod) {
  PoolRecord record = Pool("a", 4);
  VmRow& vm = record.vms[VmId("a0")];
  vm.maintained_s = 1000;
  BOOST_TEST(!IsDue(record, vm, 1000 + kMaintenancePeriodS - 1));
  BOOST_TEST(IsDue(record, vm, 1000 + kMaintenancePeriodS));
  record.rollout_s = 1000;
  BOOST_TEST(!IsDue(record, vm, 1000));
  record.rollout_s = 1001;
  BOOST_TEST(IsDue(record, vm, 1001));
}

// Guards against moves caused by demand peaks of seconds, and against pool
// sizes that do not follow a lasting change.
BOOST_AUTO_TEST_CASE(ShortPeaksCauseNoMoves) {
  DemandWindow window;
  const SizePolicy policy;
  PoolDemand pool{std::nullopt, 10, 8, 1, 0, false};
  const auto plan_at = [&](int s, double mean) {
    // 5 times the mean for 5 of 26 s, a twentieth in between.
    window.Add(s % 26 < 5 ? 5 * mean : mean / 20, Time{seconds(s)});
    pool.slots = window.Quantile(policy.quantile);
    return PlanSizes({{PoolId("a"), pool}}, PoolId("spare"), 4, policy);
  };
  int s = 0;
  for (; s < 3600; ++s) {
    BOOST_TEST(plan_at(s, 48).moves.empty());
  }
  SizePlan plan;
  for (; s < 6000; ++s) {
    plan = plan_at(s, 70);
  }
  BOOST_TEST(plan.moves.size() >= 1U);
  BOOST_TEST(plan.spare_vms + plan.moves.size() == 4U);
  pool.in_dwell_time = true;
  BOOST_TEST(plan_at(s, 70).moves.empty());
}

// Guards against VMs that move back and forth between pools at constant demand.
BOOST_AUTO_TEST_CASE(SizesConverge) {
  BOOST_TEST(rc::check([](std::uint16_t a, std::uint16_t b,
                          std::uint8_t spare) {
    std::map<PoolId, PoolDemand> pools;
    pools[PoolId("a")] = {a % 160 / 1.5, 10, 8, 1, 0, false};
    pools[PoolId("b")] = {b % 160 / 1.5, 10, 8, 1, 0, false};
    std::uint32_t spare_vms = spare % 6;
    for (int round = 0; round < 2; ++round) {
      const auto plan = PlanSizes(pools, PoolId("s"), spare_vms, SizePolicy{});
      RC_ASSERT(round == 0 || plan.moves.empty());
      for (const auto& move : plan.moves) {
        for (auto& [name, pool] : pools) {
          pool.vms += name == move.to ? 1 : 0;
          pool.vms -= name == move.from ? 1 : 0;
        }
      }
      spare_vms = plan.spare_vms;
      RC_ASSERT(pools[PoolId("a")].vms + pools[PoolId("b")].vms + spare_vms ==
                20U + spare % 6U);
    }
  }));
}

// Guards against an order that is recorded twice or reported as refused because
// the reply to its write was lost.
BOOST_AUTO_TEST_CASE(OrderSurvivesALostReply) {
  Settings settings;
  settings.pools[PoolId("a")] = {};
  Maintainer maintainer(settings, Random(1));
  const Time now{seconds(1000)};
  const Order order{"o1",       OrderKind::kReboot, PoolId("a"),
                    VmId("a0"), PoolId(),           "t"};
  std::uint64_t version = 1;
  std::string value = Encode(Pool("a", 4));
  std::vector<std::string> done;
  const auto run = [&](std::vector<Effect> effects, StoreStatus status,
                       Time at) {
    while (!effects.empty()) {
      std::vector<Effect> more;
      for (const auto& effect : effects) {
        StoreReply reply{"pool/a", false, StoreStatus::kOk, value, version};
        if (const auto* result = std::get_if<OrderResult>(&effect)) {
          BOOST_TEST(result->result.has_value());
          done.push_back(result->id);
          continue;
        }
        const auto* op = std::get_if<StoreOp>(&effect);
        if (op == nullptr) {
          continue;
        }
        if (const auto* cas = std::get_if<StoreCas>(op)) {
          value = cas->value;
          reply = {"pool/a", true, status, std::nullopt, ++version};
        }
        const auto next = maintainer.Step(reply, at);
        more.insert(more.end(), next.begin(), next.end());
      }
      effects = more;
    }
  };
  BOOST_TEST(maintainer.Step(order, now).empty());
  run(maintainer.Step(Tick{5000}, now), StoreStatus::kUnknown, now);
  BOOST_TEST(done.empty());
  run(maintainer.Step(Tick{5003}, now + seconds(3)), StoreStatus::kOk,
      now + seconds(3));
  BOOST_TEST(done == std::vector<std::string>{"o1"},
             boost::test_tools::per_element());
  const auto record = Decode<PoolRecord>(value);
  BOOST_TEST(record->orders.size() == 1U);
}

}  // namespace
}  // namespace kch::maintain
