#include "upkeep/mover.h"

#include <algorithm>
#include <utility>

namespace kch::upkeep {

std::set<MachineId> Mover::moving() const {
  std::set<MachineId> ids;
  for (const auto& [id, move] : this->moves) {
    ids.insert(id);
  }
  return ids;
}

void Mover::FinishMoves(const MachineList& machines, Time now) {
  for (auto row = this->moves.begin(); row != this->moves.end();) {
    const Move& move = row->second;
    const auto machine = machines.find(row->first);
    const bool arrived = machine != machines.end() &&
                         machine->second.pool == move.to &&
                         machine->second.state == MachineState::kUp;
    const bool overdue = now - move.ordered > 4 * this->limits.move_duration;
    if (move.done && (arrived || overdue || machine == machines.end())) {
      this->cooldown_until[row->first] = now + this->limits.cooldown;
      row = this->moves.erase(row);
    } else {
      ++row;
    }
  }
}

// The free capacity that each pool without a backlog reserves.
jobs::Resources Mover::ReservePerPool(
    const MachineList& machines,
    const std::map<PoolId, PoolDemand>& pools) const {
  jobs::Resources total;
  for (const auto& [id, machine] : machines) {
    total += machine.capacity;
  }
  const auto active_pools = std::ranges::count_if(
      pools, [](const auto& row) { return !row.second.standby; });
  const double fraction = this->limits.reserve_fraction /
                          static_cast<double>(std::max<long>(1, active_pools));
  const auto scale = [fraction](std::int64_t amount) {
    return static_cast<std::int64_t>(fraction * static_cast<double>(amount));
  };
  return {scale(total.cpu_m), scale(total.memory_mb), 0};
}

// Machines without tasks, including standby machines.
std::vector<const Machine*> Mover::FindIdle(
    const MachineList& machines,
    const std::set<MachineId>& busy,
    const std::map<PoolId, PoolDemand>& pools,
    const VmLoadLookup& load_of,
    Time now) const {
  std::vector<const Machine*> idle;
  for (const auto& [id, machine] : machines) {
    const auto cooldown_end = this->cooldown_until.find(id);
    const auto pool = pools.find(machine.pool);
    if (machine.state != MachineState::kUp || busy.contains(id) ||
        this->moves.contains(id) || pool == pools.end() ||
        (cooldown_end != this->cooldown_until.end() &&
         now < cooldown_end->second)) {
      continue;
    }
    if (!pool->second.standby) {
      const auto load = load_of(machine.vm);
      if (!load || !load->responsive || load->runs > 0) {
        continue;
      }
    }
    idle.push_back(&machine);
  }
  return idle;
}

// Returns idle machines in this order: those beyond the reserve of their pool,
// standby machines, and those in the reserve of pools with little demand.
std::vector<const Machine*> Mover::FindDonors(
    const std::vector<const Machine*>& idle,
    const std::set<ZoneId>& excluded_zones,
    const std::map<PoolId, PoolDemand>& pools,
    const jobs::Resources& reserve,
    const PoolId& to) const {
  std::vector<const Machine*> surplus;
  std::vector<const Machine*> standby;
  std::vector<const Machine*> reserved;
  std::map<PoolId, jobs::Resources> donated;
  for (const Machine* machine : idle) {
    const PoolDemand& pool = pools.at(machine->pool);
    if (machine->pool == to || excluded_zones.contains(machine->zone)) {
      continue;
    }
    if (pool.standby) {
      standby.push_back(machine);
      continue;
    }
    jobs::Resources& pool_donated = donated[machine->pool];
    const jobs::Resources remaining =
        pool.capacity - pool_donated - machine->capacity;
    const jobs::Resources demand = pool.used + pool.waiting;
    if ((demand + reserve).Within(remaining)) {
      surplus.push_back(machine);
    } else if (remaining.cpu_m > 0 && jobs::DominantShare(demand, remaining) <=
                                          this->limits.max_donor_utilization) {
      reserved.push_back(machine);
    } else {
      continue;
    }
    pool_donated += machine->capacity;
  }
  std::vector<const Machine*> donors = std::move(surplus);
  donors.insert(donors.end(), standby.begin(), standby.end());
  donors.insert(donors.end(), reserved.begin(), reserved.end());
  return donors;
}

void Mover::Tick(const MachineList& machines,
                 const std::set<MachineId>& busy,
                 const std::set<ZoneId>& excluded_zones,
                 const std::map<PoolId, PoolDemand>& pools,
                 const VmLoadLookup& load_of,
                 Time now) {
  this->FinishMoves(machines, now);
  for (auto& [id, move] : this->moves) {
    if (!move.done && !move.order_sent && now >= move.retry_at) {
      move.order_sent = true;
      this->effects.emplace_back(OrderMove{id, move.to});
    }
  }
  const jobs::Resources reserve = this->ReservePerPool(machines, pools);
  std::vector<const Machine*> idle =
      this->FindIdle(machines, busy, pools, load_of, now);
  bool backlogged = false;
  for (const auto& [id, pool] : pools) {
    if (pool.standby) {
      continue;
    }
    jobs::Resources capacity = pool.capacity;
    for (const auto& [machine, move] : this->moves) {
      if (move.to == id) {
        capacity += move.capacity;
      }
    }
    const double backlog = jobs::DominantShare(pool.waiting, capacity);
    backlogged = backlogged || backlog >= this->limits.backlog_threshold / 2;
    if (backlog < this->limits.backlog_threshold) {
      continue;
    }
    const std::vector<const Machine*> donors =
        this->FindDonors(idle, excluded_zones, pools, reserve, id);
    jobs::Resources deficit = pool.used + pool.waiting - capacity;
    for (const Machine* machine : donors) {
      if (deficit.cpu_m <= 0 && deficit.memory_mb <= 0) {
        break;
      }
      deficit -= machine->capacity;
      this->StartMove(*machine, id, "backlog " + std::to_string(backlog), now);
    }
    std::erase_if(idle, [this](const Machine* machine) {
      return this->moves.contains(machine->id);
    });
  }
  std::map<MachineId, Time> still_idle;
  for (const Machine* machine : idle) {
    const auto previous = this->idle_since.find(machine->id);
    still_idle[machine->id] =
        previous == this->idle_since.end() ? now : previous->second;
  }
  this->idle_since = std::move(still_idle);
  if (!backlogged) {
    this->MoveToStandby(idle, pools, reserve, now);
  }
}

void Mover::StartMove(const Machine& machine,
                      const PoolId& to,
                      const std::string& reason,
                      Time now) {
  this->moves[machine.id] = {
      .to = to, .vm = machine.vm, .capacity = machine.capacity, .ordered = now};
  if (!machine.vm.empty()) {
    this->effects.emplace_back(SetCordon{machine.vm, true});
  }
  this->effects.emplace_back(OrderMove{machine.id, to});
  this->effects.emplace_back(LogEvent{"machine_move",
                                      {{"machine", machine.id.str()},
                                       {"from", machine.pool.str()},
                                       {"to", to.str()},
                                       {"reason", reason}}});
}

// Machines outside of the standby pool cost money even while idle.
void Mover::MoveToStandby(const std::vector<const Machine*>& idle,
                          const std::map<PoolId, PoolDemand>& pools,
                          const jobs::Resources& reserve,
                          Time now) {
  const auto standby = std::ranges::find_if(
      pools, [](const auto& row) { return row.second.standby; });
  if (standby == pools.end()) {
    return;
  }
  std::map<PoolId, jobs::Resources> donated;
  for (const Machine* machine : idle) {
    const PoolDemand& pool = pools.at(machine->pool);
    if (pool.standby ||
        now - this->idle_since.at(machine->id) < this->limits.standby_delay) {
      continue;
    }
    jobs::Resources& pool_donated = donated[machine->pool];
    const jobs::Resources remaining =
        pool.capacity - pool_donated - machine->capacity;
    if ((pool.used + pool.waiting + reserve).Within(remaining)) {
      pool_donated += machine->capacity;
      this->StartMove(*machine, standby->first, "idle", now);
    }
  }
}

void Mover::OnOrderAnswer(const MachineId& id, OrderAnswer answer, Time now) {
  const auto found = this->moves.find(id);
  if (found == this->moves.end()) {
    return;
  }
  Move& move = found->second;
  move.order_sent = false;
  this->effects.emplace_back(LogEvent{
      "move_order",
      {{"machine", id.str()}, {"answer", std::string(NameOf(answer))}}});
  switch (answer) {
    case OrderAnswer::kDone:
      move.done = true;
      if (!move.vm.empty()) {
        this->effects.emplace_back(VmTerminated{move.vm});
      }
      return;
    case OrderAnswer::kFenced:
      this->effects.emplace_back(Superseded{});
      return;
    case OrderAnswer::kUnknown:
      // The order may be carried out at any time, so the VM stays cordoned and
      // the order is repeated until the platform answers.
      move.retry_at = now + this->limits.order_retry_interval;
      return;
    default:
      if (!move.vm.empty()) {
        this->effects.emplace_back(SetCordon{move.vm, false});
      }
      this->cooldown_until[id] = now + this->limits.cooldown;
      this->moves.erase(found);
      return;
  }
}

std::vector<Effect> Mover::TakeEffects() {
  return std::exchange(this->effects, {});
}

}  // namespace kch::upkeep
