// Measures maintenance in virtual time with fixed seeds: the time of a roll-out
// against the lower bound that the budget sets, and the moves and spare VMs of
// the size planner against a policy that follows the current demand.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <utility>
#include <vector>

#include "maintain/maintain.h"

namespace kch::maintain {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kWall = 1'800'000'000;
constexpr Duration kReboot = seconds(60);
constexpr Duration kPlatformCall = seconds(1);

PoolRecord MakePool(int size) {
  PoolRecord record;
  record.pool = PoolId("p");
  record.generation = 1;
  for (int i = 0; i < size; ++i) {
    VmRow vm;
    vm.id = VmId("vm" + std::to_string(i));
    vm.rack = RackId("r" + std::to_string(i / 4));
    vm.zone = ZoneId("z" + std::to_string(i / 4 % 3));
    vm.slots = 8;
    vm.maintained_s = kWall;
    record.vms[vm.id] = vm;
  }
  return record;
}

// Time that each VM needs from the start of its drain until it serves again if
// nothing is waited for in vain.
using Needs = std::map<VmId, Duration>;

Needs DrawNeeds(const PoolRecord& record,
                bool varied,
                std::map<VmId, Duration>& drains,
                Random& random) {
  Needs needs;
  std::uniform_int_distribution<int> draw(0, 40);
  for (const auto& [id, vm] : record.vms) {
    drains[id] = seconds(varied ? draw(random) : 20);
    needs[id] = std::max(drains[id], kPlatformCall) + kReboot + kPlatformCall;
  }
  return needs;
}

// No schedule within the budget ends earlier: each pool, zone and rack has to
// fit the times of its VMs into the number of VMs it may have out at once.
double LowerBoundS(const PoolRecord& record,
                   const Budget& budget,
                   const Needs& needs) {
  double all = 0;
  double longest = 0;
  std::map<ZoneId, double> zones;
  std::map<RackId, double> racks;
  bool equal = true;
  for (const auto& [id, vm] : record.vms) {
    const double need = ToSeconds(needs.at(id));
    equal = equal && needs.at(id) == needs.begin()->second;
    all += need;
    zones[vm.zone] += need;
    racks[vm.rack] += need;
    longest = std::max(longest, need);
  }
  double bound = std::max(longest, all / budget.max_unavailable);
  for (const auto& [zone, sum] : zones) {
    bound = std::max(bound, sum / budget.per_zone);
  }
  for (const auto& [rack, sum] : racks) {
    bound = std::max(bound, sum / budget.per_rack);
  }
  // VMs that need the same time leave in whole waves.
  return equal ? std::max(bound,
                          longest * LowerBoundWaves(record, budget, kWall + 1))
               : bound;
}

// Baseline: reserves what the budget allows in the order of names and waits
// for the whole wave.
double NaiveWavesS(const PoolRecord& record,
                   const Budget& budget,
                   const Needs& needs) {
  double total = 0;
  Observations facts;
  facts.platform_vms_at = Time{};
  for (const auto& [id, vm] : record.vms) {
    facts.platform_vms[id] = {true};
  }
  std::vector<VmId> left;
  for (const auto& [id, vm] : record.vms) {
    left.push_back(id);
  }
  while (!left.empty()) {
    PoolRecord wave = record;
    double longest = 0;
    std::erase_if(left, [&](const VmId& id) {
      auto next = Reserve(wave, id, {Purpose::kReboot, PoolId(), "wave"},
                          budget, facts, Time{}, Limits{});
      if (!next) {
        return false;
      }
      wave = *std::move(next);
      longest = std::max(longest, ToSeconds(needs.at(id)));
      return true;
    });
    total += longest;
  }
  return total;
}

struct RolloutRun {
  double seconds = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t writes = 0;
  std::size_t record_bytes = 0;
};

// Several Maintainers over a store and a platform without faults. Replies
// arrive in the next step, 100 ms later.
RolloutRun RunRollout(PoolRecord record,
                      const Budget& budget,
                      const std::map<VmId, Duration>& drains,
                      int maintainers,
                      std::uint64_t seed) {
  Settings settings;
  settings.pools[record.pool] = {budget, 1, 0};
  settings.resize = false;
  RolloutRun run;
  Time now{seconds(1'000'000)};
  const Time start = now;
  std::string value = Encode(record);
  std::uint64_t version = 1;
  std::map<std::string, Time> operations;  // when done
  std::map<VmId, Time> drained;            // when its last task ends
  std::map<VmId, Time> up_at;
  std::map<VmId, int> boots;
  std::vector<std::unique_ptr<Maintainer>> processes;
  std::vector<std::vector<Event>> queues(static_cast<std::size_t>(maintainers));
  Random random(seed);
  processes.reserve(queues.size());
  for (int i = 0; i < maintainers; ++i) {
    processes.push_back(
        std::make_unique<Maintainer>(settings, Random(random())));
  }
  queues[0].emplace_back(Order{"rollout", OrderKind::kRollout, record.pool,
                               VmId(), PoolId(), "bench"});
  const auto state_of = [&](const std::string& operation) {
    const auto found = operations.find(operation);
    return found == operations.end() ? OperationState::kNotFound
           : found->second <= now    ? OperationState::kDone
                                     : OperationState::kRunning;
  };
  const auto serve = [&](const StoreOp& op) {
    if (const auto* get = std::get_if<StoreGet>(&op)) {
      return StoreReply{get->key, false, StoreStatus::kOk, value, version};
    }
    const auto& cas = std::get<StoreCas>(op);
    if (cas.version != version) {
      return StoreReply{cas.key, true, StoreStatus::kConflict, std::nullopt, 0};
    }
    value = cas.value;
    record = *Decode<PoolRecord>(value);
    ++run.writes;
    run.record_bytes = std::max(run.record_bytes, value.size());
    return StoreReply{cas.key, true, StoreStatus::kOk, std::nullopt, ++version};
  };
  const auto call = [&](const PlatformCall& made) {
    if (!operations.contains(made.operation)) {
      const bool reboot = made.verb == PlatformVerb::kReboot;
      operations[made.operation] = now + (reboot ? kReboot : kPlatformCall);
      if (reboot) {
        ++boots[made.vm];
        up_at[made.vm] = operations[made.operation];
      }
    }
    return OperationObserved{made.operation, state_of(made.operation)};
  };
  const auto is_done = [&] {
    return record.rollout_s > 0 &&
           std::all_of(record.vms.begin(), record.vms.end(),
                       [&](const auto& entry) {
                         return entry.second.state == VmState::kServing &&
                                entry.second.maintained_s >= record.rollout_s;
                       });
  };
  for (int step = 0; !is_done() && step < 1'000'000; ++step) {
    now += milliseconds(100);
    for (const auto& [id, vm] : record.vms) {
      if (vm.state == VmState::kServing) {
        drained.erase(id);
      } else {
        drained.try_emplace(id, now + drains.at(id));
      }
    }
    for (std::size_t i = 0; i < processes.size(); ++i) {
      auto& queue = queues[i];
      if (step % 5 == static_cast<int>(i) % 5) {
        PlatformList list{{}, now};
        for (const auto& [id, vm] : record.vms) {
          const bool up = !up_at.contains(id) || now >= up_at[id];
          list.vms[id].up = up;
          const bool busy = drained.contains(id) && now < drained[id];
          if (up && vm.state != VmState::kServing) {
            WorkerReport report{id, std::to_string(boots[id]), {}, now};
            if (busy) {
              report.tasks.push_back({TaskId("t" + id.str()),
                                      DrainBehaviour::kWait, seconds(600)});
            }
            queue.emplace_back(report);
          }
        }
        queue.emplace_back(list);
        queue.emplace_back(MembersObserved{{InstanceId("e")}, now});
        queue.emplace_back(
            EntryReport{InstanceId("e"), record.pool, {record.generation, {}}});
      }
      queue.emplace_back(Tick{kWall + 10 + ToMs(now - start) / 1000});
      const auto events = std::exchange(queue, {});
      for (const auto& event : events) {
        for (const auto& effect : processes[i]->Step(event, now)) {
          if (const auto* op = std::get_if<StoreOp>(&effect)) {
            queue.emplace_back(serve(*op));
          } else if (const auto* made = std::get_if<PlatformCall>(&effect)) {
            queue.emplace_back(call(*made));
          } else if (const auto* read = std::get_if<ReadOperation>(&effect)) {
            queue.emplace_back(
                OperationObserved{read->operation, state_of(read->operation)});
          }
        }
      }
    }
  }
  run.seconds = ToSeconds(now - start);
  for (const auto& process : processes) {
    run.conflicts += process->conflicts();
  }
  return run;
}

void PrintRollouts() {
  std::printf(
      "\nroll-out time, 3 maintainers, reboot 60 s, median of 3 seeds (424: "
      "1)\n"
      "%5s %-10s %-8s %9s %9s %9s %7s %7s %9s %6s\n",
      "vms", "budget", "drain", "bound s", "took s", "naive s", "/bound",
      "/naive", "conflicts", "writes");
  struct Case {
    int size;
    Budget budget;
  };
  for (const auto& [size, budget] :
       {Case{8, {1, 1, 1}}, Case{8, {2, 1, 1}}, Case{10, {2, 1, 1}},
        Case{12, {2, 1, 1}}, Case{12, {3, 1, 1}}, Case{424, {21, 8, 1}},
        Case{424, {42, 16, 1}}}) {
    for (const bool varied : {false, true}) {
      std::vector<std::pair<double, std::vector<double>>> rows;
      for (const std::uint64_t seed : {1, 2, 3}) {
        if (size > 100 && seed > 1) {
          break;
        }
        Random random(seed);
        const PoolRecord record = MakePool(size);
        std::map<VmId, Duration> drains;
        const Needs needs = DrawNeeds(record, varied, drains, random);
        PoolRecord due = record;
        due.rollout_s = kWall + 1;
        const double bound = LowerBoundS(due, budget, needs);
        const auto run = RunRollout(record, budget, drains, 3, seed);
        rows.push_back({run.seconds / bound,
                        {bound, run.seconds, NaiveWavesS(record, budget, needs),
                         static_cast<double>(run.conflicts),
                         static_cast<double>(run.writes)}});
      }
      std::sort(rows.begin(), rows.end());
      const auto& row = rows[rows.size() / 2].second;
      const std::string name = std::to_string(budget.max_unavailable) + "/" +
                               std::to_string(budget.per_zone) + "/" +
                               std::to_string(budget.per_rack);
      std::printf("%5d %-10s %-8s %9.0f %9.0f %9.0f %7.2f %7.2f %9.0f %6.0f\n",
                  size, name.c_str(), varied ? "0-40 s" : "20 s", row[0],
                  row[1], row[2], row[1] / row[0], row[1] / row[2], row[3],
                  row[4]);
      std::fflush(stdout);
    }
  }
}

struct SizeRun {
  int moves = 0;
  double spare_mean = 0;
  double above = 0;  // share of the demand above the pools' capacity
};

// Five pools of 10 VMs of 8 slots and 6 spare VMs. Each demand peaks in turn
// at 5 times its mean for 5 s and falls to a twentieth in between. A VM serves
// neither pool while it moves.
SizeRun RunSizes(bool naive, bool drift, int move_s, std::uint64_t seed) {
  constexpr int pool_count = 5;
  constexpr int length_s = 4 * 3600;
  constexpr int turn_s = 26;
  const SizePolicy policy;
  Random random(seed);
  std::uniform_real_distribution<double> noise(0.8, 1.2);
  std::map<PoolId, PoolDemand> pools;
  std::map<PoolId, DemandWindow> windows;
  std::map<PoolId, int> changed;
  std::uint32_t spare = 6;
  for (int i = 0; i < pool_count; ++i) {
    const PoolId pool("p" + std::to_string(i));
    pools[pool] = {std::nullopt, 10, 8, 1, 0, false};
    changed[pool] = -length_s;
  }
  SizeRun run;
  double demand_total = 0;
  double above = 0;
  std::map<PoolId, std::vector<int>> arrivals;  // when moved VMs serve
  for (int s = 0; s < length_s; ++s) {
    int index = 0;
    std::map<PoolId, double> current;
    for (auto& [name, pool] : pools) {
      // With drift, the demand of one pool rises by half in the second hour.
      const double growth =
          drift && index == 0 ? std::clamp((s - 3600) / 3600.0, 0.0, 1.0) : 0;
      const double mean = 48 * (1 + growth / 2);
      const bool peak = s % turn_s / 5 == index;
      const double demand = (peak ? 5 : 0.05) * mean * noise(random);
      current[name] = demand;
      windows[name].Add(demand, Time{seconds(s)});
      pool.slots = windows[name].Quantile(policy.quantile);
      pool.in_dwell_time = s - changed[name] < policy.dwell_s;
      demand_total += demand;
      auto& moving = arrivals[name];
      std::erase_if(moving, [&](int at) { return at <= s; });
      const double serving =
          std::max(0.0, static_cast<double>(pool.vms) -
                            static_cast<double>(moving.size()));
      above += std::max(0.0, demand - serving * 8.0);
      ++index;
    }
    if (naive) {
      const auto wanted = [&](const PoolId& name) {
        return std::max(1U, static_cast<std::uint32_t>(
                                std::ceil(current[name] * 1.15 / 8)));
      };
      for (auto& [name, pool] : pools) {
        if (wanted(name) < pool.vms) {
          run.moves += static_cast<int>(pool.vms - wanted(name));
          spare += pool.vms - wanted(name);
          // VMs that have not arrived yet leave first.
          auto& moving = arrivals[name];
          moving.resize(
              moving.size() -
              std::min<std::size_t>(moving.size(), pool.vms - wanted(name)));
          pool.vms = wanted(name);
        }
      }
      for (auto& [name, pool] : pools) {
        const auto more =
            std::min(spare, wanted(name) - std::min(wanted(name), pool.vms));
        run.moves += static_cast<int>(more);
        spare -= more;
        pool.vms += more;
        arrivals[name].insert(arrivals[name].end(), more, s + move_s);
      }
    } else {
      const auto plan = PlanSizes(pools, PoolId("spare"), spare, policy);
      for (const auto& move : plan.moves) {
        ++run.moves;
        for (const auto& end : {move.from, move.to}) {
          if (const auto pool = pools.find(end); pool != pools.end()) {
            pool->second.vms += end == move.to ? 1 : -1;
            changed[end] = s;
            if (end == move.to) {
              arrivals[end].push_back(s + move_s);
            }
          }
        }
      }
      spare = plan.spare_vms;
    }
    run.spare_mean += spare;
  }
  run.spare_mean /= length_s;
  run.above = above / demand_total;
  return run;
}

void PrintSizes() {
  std::printf(
      "pool sizes, 5 pools of 10 VMs, 6 spare, 4 h, median of 3 seeds\n"
      "%-8s %-12s %7s %7s %11s %15s\n",
      "demand", "policy", "move s", "moves", "spare VMs", "above capacity");
  for (const bool drift : {false, true}) {
    for (const int move_s : {0, 30}) {
      for (const bool naive : {false, true}) {
        std::vector<SizeRun> runs;
        for (const std::uint64_t seed : {1, 2, 3}) {
          runs.push_back(RunSizes(naive, drift, move_s, seed));
        }
        std::sort(runs.begin(), runs.end(), [](const auto& a, const auto& b) {
          return a.moves < b.moves;
        });
        std::printf("%-8s %-12s %7d %7d %11.1f %14.1f%%\n",
                    drift ? "rising" : "steady",
                    naive ? "current" : "PlanSizes", move_s, runs[1].moves,
                    runs[1].spare_mean, runs[1].above * 100);
        std::fflush(stdout);
      }
    }
  }
}

}  // namespace
}  // namespace kch::maintain

int main() {
  kch::maintain::PrintSizes();
  kch::maintain::PrintRollouts();
  return 0;
}
