#include "upkeep/mover.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace kch::upkeep {

std::set<MachineId> Mover::moving() const {
  std::set<MachineId> ids;
  for (const auto& [id, move] : this->moves) {
    ids.insert(id);
  }
  return ids;
}

void Mover::Finish(const MachineList& machines, Time now) {
  for (auto row = this->moves.begin(); row != this->moves.end();) {
    const Move& move = row->second;
    const auto machine = machines.find(row->first);
    const bool arrived = machine != machines.end() &&
                         machine->second.pool == move.to &&
                         machine->second.state == MachineState::kUp;
    const bool overdue = now - move.ordered > 4 * this->limits.away;
    if (move.done && (arrived || overdue || machine == machines.end())) {
      this->settled[row->first] = now + this->limits.settle;
      row = this->moves.erase(row);
    } else {
      ++row;
    }
  }
}

// Idle machines of pools that can spare them, those of the calmest pool first;
// machines that stand by come last, since they cost while they are in use.
std::vector<const Machine*> Mover::Donors(
    const MachineList& machines,
    const std::set<MachineId>& busy,
    const std::set<ZoneId>& zones_out,
    const std::map<PoolId, PoolDemand>& pools,
    const LoadOf& load_of,
    const PoolId& to,
    bool wake,
    Time now) const {
  struct Candidate {
    bool standby = false;
    double use = 0;
    const Machine* machine = nullptr;
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, machine] : machines) {
    const auto settled_at = this->settled.find(id);
    const auto pool = pools.find(machine.pool);
    if (machine.pool == to || machine.state != MachineState::kUp ||
        busy.contains(id) || zones_out.contains(machine.zone) ||
        this->moves.contains(id) || pool == pools.end() ||
        (settled_at != this->settled.end() && now < settled_at->second)) {
      continue;
    }
    if (pool->second.standby) {
      if (wake) {
        candidates.push_back({true, 0, &machine});
      }
      continue;
    }
    const auto load = load_of(machine.vm);
    if (!load || !load->answers || load->runs > 0 ||
        load->pool_use_without > this->limits.give_use) {
      continue;
    }
    candidates.push_back({false, load->pool_use_without, &machine});
  }
  std::ranges::sort(
      candidates, [](const Candidate& left, const Candidate& right) {
        return std::tie(left.standby, left.use, left.machine->id) <
               std::tie(right.standby, right.use, right.machine->id);
      });
  std::vector<const Machine*> donors;
  std::map<PoolId, jobs::Resources> given;
  for (const Candidate& candidate : candidates) {
    const PoolDemand& pool = pools.at(candidate.machine->pool);
    jobs::Resources& gone = given[candidate.machine->pool];
    const jobs::Resources left =
        pool.capacity - gone - candidate.machine->capacity;
    if (!candidate.standby &&
        jobs::ScarcerShare(pool.used + pool.waiting, left) >
            this->limits.give_use) {
      continue;
    }
    gone += candidate.machine->capacity;
    donors.push_back(candidate.machine);
  }
  return donors;
}

void Mover::Tick(const MachineList& machines,
                 const std::set<MachineId>& busy,
                 const std::set<ZoneId>& zones_out,
                 const std::map<PoolId, PoolDemand>& pools,
                 const LoadOf& load_of,
                 Time now) {
  this->Finish(machines, now);
  for (auto& [id, move] : this->moves) {
    if (!move.done && !move.order_sent && now >= move.retry_at) {
      move.order_sent = true;
      this->effects.emplace_back(OrderMove{id, move.to});
    }
  }
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
    const double backlog = jobs::ScarcerShare(pool.waiting, capacity);
    if (backlog < this->limits.take_backlog) {
      continue;
    }
    const std::vector<const Machine*> donors =
        this->Donors(machines, busy, zones_out, pools, load_of, id,
                     backlog >= this->limits.wake_backlog, now);
    jobs::Resources missing = pool.used + pool.waiting - capacity;
    for (const Machine* machine : donors) {
      if (missing.cpu_m <= 0 && missing.memory_mb <= 0) {
        break;
      }
      missing -= machine->capacity;
      this->Send(*machine, id, "backlog " + std::to_string(backlog), now);
    }
  }
  this->FollowTurns(pools, now);
  this->Park(machines, busy, pools, load_of, now);
}

void Mover::Send(const Machine& machine,
                 const PoolId& to,
                 const std::string& reason,
                 Time now) {
  this->moves[machine.id] = {
      .to = to, .vm = machine.vm, .capacity = machine.capacity, .ordered = now};
  if (!machine.vm.empty()) {
    this->effects.emplace_back(SetCordon{machine.vm, true});
  }
  this->effects.emplace_back(OrderMove{machine.id, to});
  this->effects.emplace_back(Note{"machine_move",
                                  {{"machine", machine.id.str()},
                                   {"from", machine.pool.str()},
                                   {"to", to.str()},
                                   {"reason", reason}}});
}

void Mover::FollowTurns(const std::map<PoolId, PoolDemand>& pools, Time now) {
  // A pause of this length separates two turns.
  constexpr auto between_turns = std::chrono::seconds(3);
  for (const auto& [id, pool] : pools) {
    if (pool.standby ||
        jobs::ScarcerShare(pool.used + pool.waiting, pool.capacity) <
            this->limits.turn_use) {
      continue;
    }
    Turn& turn = this->turns[id];
    if (now - turn.last > between_turns) {
      turn.most_used = {};
    }
    turn.last = now;
    turn.most_used.cpu_m = std::max(turn.most_used.cpu_m, pool.used.cpu_m);
    turn.most_used.memory_mb =
        std::max(turn.most_used.memory_mb, pool.used.memory_mb);
  }
}

// Machines in a pool cost whether they work or not. Those that are idle after
// their pool's turn stand by until a pool has a backlog.
void Mover::Park(const MachineList& machines,
                 const std::set<MachineId>& busy,
                 const std::map<PoolId, PoolDemand>& pools,
                 const LoadOf& load_of,
                 Time now) {
  const auto standby = std::ranges::find_if(
      pools, [](const auto& row) { return row.second.standby; });
  const bool backlog = std::ranges::any_of(pools, [this](const auto& row) {
    return jobs::ScarcerShare(row.second.waiting, row.second.capacity) >=
           this->limits.take_backlog / 2;
  });
  if (standby == pools.end()) {
    return;
  }
  std::map<PoolId, jobs::Resources> left;
  for (const auto& [id, machine] : machines) {
    const auto pool = pools.find(machine.pool);
    const auto load = load_of(machine.vm);
    if (pool == pools.end() || pool->second.standby || !load ||
        !load->answers || load->runs > 0 || busy.contains(id) ||
        machine.state != MachineState::kUp || this->moves.contains(id)) {
      this->idle_since.erase(id);
      continue;
    }
    const Time since = this->idle_since.emplace(id, now).first->second;
    const auto turn = this->turns.find(machine.pool);
    const auto settled_at = this->settled.find(id);
    if (backlog || turn == this->turns.end() ||
        now - since < this->limits.park_after ||
        now - turn->second.last < this->limits.park_after ||
        (settled_at != this->settled.end() && now < settled_at->second)) {
      continue;
    }
    jobs::Resources& capacity =
        left.emplace(machine.pool, pool->second.capacity).first->second;
    const jobs::Resources without = capacity - machine.capacity;
    if (jobs::ScarcerShare(turn->second.most_used, without) *
                this->limits.keep_share >
            1 ||
        jobs::ScarcerShare(pool->second.used + pool->second.waiting, without) >
            this->limits.give_use) {
      continue;
    }
    capacity = without;
    this->Send(machine, standby->first, "idle", now);
  }
}

void Mover::OnOrder(const MachineId& id, OrderAnswer answer, Time now) {
  const auto found = this->moves.find(id);
  if (found == this->moves.end()) {
    return;
  }
  Move& move = found->second;
  move.order_sent = false;
  this->effects.emplace_back(
      Note{"move_order",
           {{"machine", id.str()}, {"answer", std::string(NameOf(answer))}}});
  switch (answer) {
    case OrderAnswer::kDone:
      move.done = true;
      if (!move.vm.empty()) {
        this->effects.emplace_back(VmEnded{move.vm});
      }
      return;
    case OrderAnswer::kFenced:
      this->effects.emplace_back(Superseded{});
      return;
    case OrderAnswer::kUnknown:
      // It may be carried out at any time, so the VM stays closed and the order
      // is repeated until the answer tells.
      move.retry_at = now + this->limits.order_retry;
      return;
    default:
      if (!move.vm.empty()) {
        this->effects.emplace_back(SetCordon{move.vm, false});
      }
      this->settled[id] = now + this->limits.settle;
      this->moves.erase(found);
      return;
  }
}

std::vector<Effect> Mover::Take() {
  return std::exchange(this->effects, {});
}

}  // namespace kch::upkeep
