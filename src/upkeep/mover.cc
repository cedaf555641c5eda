#include "upkeep/mover.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace kch::upkeep {
namespace {

using jobs::Resources;

// What a pool occupies, would occupy if it had the room, or has to hold soon.
Resources DemandOf(const PoolDemand& pool) {
  const Resources present = pool.used + pool.waiting;
  return {std::max(present.cpu_m, pool.need.cpu_m),
          std::max(present.memory_mb, pool.need.memory_mb),
          std::max(present.gpus, pool.need.gpus)};
}

// Whether a pool could serve its peak with this capacity.
bool ServesPeak(const PoolDemand& pool, const Resources& capacity) {
  return pool.peak && pool.peak->Within(capacity);
}

bool HasDeficit(const Resources& deficit) {
  return deficit.cpu_m > 0 || deficit.memory_mb > 0;
}

// Places that a machine's VM would offer in its pool.
std::int64_t PlacesOn(const Machine& machine, const jobs::PlacementNeed& need) {
  return need.rule.PlacesOn(machine.capacity, machine.labels, need.tasks);
}

// Whether the steps of a pool keep enough VMs that they may use without a
// machine and the places, by need, that it has given up in the same pass.
bool KeepsPlaces(const PoolDemand& pool,
                 const std::vector<std::int64_t>& given_up,
                 const Machine& machine) {
  for (std::size_t i = 0; i < pool.placement.size(); ++i) {
    const jobs::PlacementNeed& need = pool.placement[i];
    if (need.rule.all_or_none && need.places < need.tasks) {
      continue;  // the places are of no use
    }
    const std::int64_t before =
        need.places - (given_up.empty() ? 0 : given_up[i]);
    const std::int64_t places = PlacesOn(machine, need);
    if (places > 0 && before - places < need.tasks) {
      return false;
    }
  }
  return true;
}

}  // namespace

// What a deficit asks of a machine, and what is left of it with one.
struct Mover::DeficitVisitor {
  const Machine& machine;

  [[nodiscard]] static bool Remains(const Deficit& deficit) {
    const auto* capacity = std::get_if<Resources>(&deficit);
    return capacity != nullptr
               ? HasDeficit(*capacity)
               : std::get<jobs::PlacementNeed>(deficit).Missing() > 0;
  }
  [[nodiscard]] static bool Serves(const Deficit& deficit,
                                   const Machine& machine) {
    const auto* need = std::get_if<jobs::PlacementNeed>(&deficit);
    return need == nullptr || PlacesOn(machine, *need) > 0;
  }
  void operator()(Resources& capacity) const {
    capacity -= this->machine.capacity;
  }
  void operator()(jobs::PlacementNeed& need) const {
    need.places += PlacesOn(this->machine, need);
  }
};

void Mover::Donated::Add(const PoolDemand& pool, const Machine& machine) {
  this->capacity += machine.capacity;
  this->places.resize(pool.placement.size());
  for (std::size_t i = 0; i < this->places.size(); ++i) {
    this->places[i] += PlacesOn(machine, pool.placement[i]);
  }
}

std::set<MachineId> Mover::moving() const {
  std::set<MachineId> ids;
  for (const auto& [id, move] : this->moves) {
    ids.insert(id);
  }
  return ids;
}

Resources Mover::Arriving(const PoolId& pool) const {
  Resources sum;
  for (const auto& [id, move] : this->moves) {
    if (move.to == pool) {
      sum += move.capacity;
    }
  }
  return sum;
}

void Mover::FinishMoves(const MachineList& machines, Time read_at, Time now) {
  std::erase_if(this->cooldown_until,
                [now](const auto& row) { return now >= row.second; });
  for (auto row = this->moves.begin(); row != this->moves.end();) {
    Move& move = row->second;
    const auto machine = machines.find(row->first);
    const bool listed = machine != machines.end();
    move.absence.OnList(listed, read_at);
    const bool arrived = listed && machine->second.pool == move.to &&
                         machine->second.state == MachineState::kUp;
    const bool overdue = now - move.ordered > 4 * this->limits.move_duration;
    if (!move.done || !(arrived || overdue || move.absence.has_left())) {
      ++row;
      continue;
    }
    // Its VM may work on: the order had been carried out before the VM began.
    if (!move.vm.empty() && (!listed || machine->second.vm == move.vm)) {
      this->effects.emplace_back(SetCordon{move.vm, false});
    }
    this->cooldown_until[row->first] = now + this->limits.cooldown;
    row = this->moves.erase(row);
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
    const auto pool = pools.find(machine.pool);
    if (machine.state != MachineState::kUp || pool == pools.end()) {
      continue;
    }
    // Most machines of a busy fleet have runs.
    if (!pool->second.standby) {
      const auto load = load_of(machine.vm);
      if (!load || !load->responsive || !load->runs_known || load->runs > 0) {
        continue;
      }
    }
    const auto cooldown_end = this->cooldown_until.find(id);
    if (busy.contains(id) || this->moves.contains(id) ||
        (cooldown_end != this->cooldown_until.end() &&
         now < cooldown_end->second)) {
      continue;
    }
    idle.push_back(&machine);
  }
  return idle;
}

// Which machines a pool can spare, the most dispensable first.
enum class Mover::Spare : std::uint8_t {
  kBeyondPeak,     // beyond the reserve, and what the pool needs at its peaks
  kStandby,        // powered off
  kBeyondReserve,  // beyond the reserve
  kReserve,        // in the reserve of a pool with little demand
  kNone,
};

Mover::Spare Mover::SpareOf(const PoolDemand& pool,
                            const Resources& reserve,
                            const Resources& remaining) const {
  if (pool.standby) {
    return Spare::kStandby;
  }
  const Resources demand = DemandOf(pool);
  if ((demand + reserve).Within(remaining)) {
    return ServesPeak(pool, remaining) ? Spare::kBeyondPeak
                                       : Spare::kBeyondReserve;
  }
  const bool little_demand =
      remaining.cpu_m > 0 && jobs::DominantShare(demand, remaining) <=
                                 this->limits.max_donor_utilization;
  return little_demand ? Spare::kReserve : Spare::kNone;
}

// Selects idle machines of other pools until they make up for a deficit. Of
// pools that can spare equally well, the one with the most room left gives the
// next machine, so that no pool is emptied while others have plenty.
std::vector<const Machine*> Mover::SelectDonors(
    const std::vector<const Machine*>& idle,
    const std::set<ZoneId>& excluded_zones,
    const std::map<PoolId, PoolDemand>& pools,
    const Resources& reserve,
    const PoolId& to,
    Deficit deficit,
    Spare most_needed,
    DonatedByPool& donated) const {
  struct Donor {
    const PoolDemand* pool = nullptr;
    std::vector<const Machine*> machines;  // the next one last
    Resources remaining;
  };
  std::map<PoolId, Donor> donors;
  for (const Machine* machine : idle) {
    if (machine->pool != to && !excluded_zones.contains(machine->zone) &&
        DeficitVisitor::Serves(deficit, *machine)) {
      const PoolDemand& pool = pools.at(machine->pool);
      Donor& donor = donors[machine->pool];
      donor.pool = &pool;
      donor.remaining = pool.capacity - donated[machine->pool].capacity;
      donor.machines.push_back(machine);
    }
  }
  for (auto& [id, donor] : donors) {
    std::ranges::reverse(donor.machines);
  }
  std::vector<const Machine*> selected;
  while (DeficitVisitor::Remains(deficit)) {
    Donor* best = nullptr;
    std::pair<Spare, std::int64_t> best_rank{Spare::kNone, 0};
    for (auto& [id, donor] : donors) {
      while (!donor.machines.empty() &&
             !KeepsPlaces(*donor.pool, donated[id].places,
                          *donor.machines.back())) {
        donor.machines.pop_back();
      }
      if (donor.machines.empty()) {
        continue;
      }
      const Resources remaining =
          donor.remaining - donor.machines.back()->capacity;
      const std::pair rank{this->SpareOf(*donor.pool, reserve, remaining),
                           DemandOf(*donor.pool).cpu_m - remaining.cpu_m};
      if (rank.first <= most_needed && (best == nullptr || rank < best_rank)) {
        best = &donor;
        best_rank = rank;
      }
    }
    if (best == nullptr) {
      break;
    }
    const Machine& machine = *best->machines.back();
    selected.push_back(&machine);
    best->machines.pop_back();
    best->remaining -= machine.capacity;
    donated[machine.pool].Add(*best->pool, machine);
    std::visit(DeficitVisitor{machine}, deficit);
  }
  return selected;
}

void Mover::Tick(const MachineList& machines,
                 Time read_at,
                 const std::set<MachineId>& busy,
                 const std::set<ZoneId>& excluded_zones,
                 const std::map<PoolId, PoolDemand>& pools,
                 const VmLoadLookup& load_of,
                 Time now) {
  for (const VmId& vm : this->ordered_vms.TakeEnded(machines, read_at)) {
    this->effects.emplace_back(VmTerminated{vm});
  }
  this->FinishMoves(machines, read_at, now);
  for (auto& [id, move] : this->moves) {
    if (!move.done && !move.order_sent && now >= move.retry_at) {
      move.order_sent = true;
      this->effects.emplace_back(OrderMove{id, move.to, move.vm});
    }
  }
  const Resources reserve = this->ReservePerPool(machines, pools);
  std::vector<const Machine*> idle =
      this->FindIdle(machines, busy, pools, load_of, now);
  bool backlogged = false;
  // Several pools, and standby, may receive machines of one donor.
  DonatedByPool donated;
  this->ServePlacement(machines, idle, excluded_zones, pools, load_of, reserve,
                       donated, now);
  for (const auto& [id, pool] : pools) {
    if (pool.standby) {
      continue;
    }
    const Resources arriving = this->Arriving(id);
    const Resources capacity = pool.capacity + arriving;
    const double backlog = jobs::DominantShare(pool.waiting, capacity);
    backlogged = backlogged || backlog >= this->limits.backlog_threshold / 2;
    const double load = jobs::DominantShare(pool.need, capacity);
    // Once machines are on their way, a need that still rises is followed.
    const bool receiving = arriving.cpu_m > 0 || arriving.memory_mb > 0;
    if (load < (receiving ? 1.0 : this->limits.need_threshold)) {
      continue;
    }
    for (const Machine* machine :
         this->SelectDonors(idle, excluded_zones, pools, reserve, id,
                            pool.need - capacity, Spare::kReserve, donated)) {
      this->StartMove(*machine, id, "load " + std::to_string(load), now);
    }
    this->EraseMoving(idle);
  }
  // Turns that have not begun yet come after the need of the present.
  for (const auto& [id, pool] : pools) {
    const Resources deficit =
        pool.expected - (pool.capacity + this->Arriving(id));
    if (pool.standby || !HasDeficit(deficit)) {
      continue;
    }
    for (const Machine* machine :
         this->SelectDonors(idle, excluded_zones, pools, reserve, id, deficit,
                            Spare::kStandby, donated)) {
      this->StartMove(*machine, id, "turn", now);
    }
    this->EraseMoving(idle);
  }
  std::map<MachineId, Time> still_idle;
  for (const Machine* machine : idle) {
    const auto previous = this->idle_since.find(machine->id);
    still_idle[machine->id] =
        previous == this->idle_since.end() ? now : previous->second;
  }
  this->idle_since = std::move(still_idle);
  if (!backlogged) {
    this->MoveToStandby(idle, pools, reserve, donated, now);
  }
}

// Machines on their way to a pool, and those whose VM the scheduler does not
// know yet, since it has just arrived.
std::vector<Mover::Arrival> Mover::ArrivalsAt(
    const PoolId& pool,
    const MachineList& machines,
    const VmLoadLookup& load_of) const {
  std::vector<Arrival> arrivals;
  for (const auto& [id, move] : this->moves) {
    if (move.to == pool) {
      arrivals.push_back({move.capacity, move.capacity, move.labels});
    }
  }
  for (const auto& [id, until] : this->cooldown_until) {
    const auto machine = machines.find(id);
    if (machine != machines.end() && machine->second.pool == pool &&
        !this->moves.contains(id) && !load_of(machine->second.vm)) {
      const Machine& arrived = machine->second;
      arrivals.push_back({arrived.capacity, arrived.capacity, arrived.labels});
    }
  }
  return arrivals;
}

// Adds the places on arriving machines to a need. Those that tasks wait for are
// taken, so that the tasks of the next need do not wait for the same ones.
void Mover::AddArrivals(std::vector<Arrival>& arrivals,
                        jobs::PlacementNeed& need) {
  for (Arrival& arrival : arrivals) {
    const Resources& room = need.exclusive ? arrival.room : arrival.capacity;
    const std::int64_t places = need.rule.PlacesOn(
        room, arrival.labels, need.exclusive ? need.Missing() : need.tasks);
    need.places += places;
    if (need.exclusive) {
      arrival.room -= need.rule.task * places;
    }
  }
}

// Moves machines to pools that have the capacity for their tasks, but not on
// VMs that may take them.
void Mover::ServePlacement(const MachineList& machines,
                           std::vector<const Machine*>& idle,
                           const std::set<ZoneId>& excluded_zones,
                           const std::map<PoolId, PoolDemand>& pools,
                           const VmLoadLookup& load_of,
                           const Resources& reserve,
                           DonatedByPool& donated,
                           Time now) {
  std::map<std::pair<PoolId, jobs::PlacementRule>, Time> lacking;
  for (const auto& [id, pool] : pools) {
    if (pool.standby || pool.placement.empty()) {
      continue;
    }
    std::vector<Arrival> arrivals = this->ArrivalsAt(id, machines, load_of);
    for (jobs::PlacementNeed need : pool.placement) {
      AddArrivals(arrivals, need);
      if (need.Missing() == 0) {
        continue;
      }
      const std::pair key{id, need.rule};
      const auto known = this->lacks_places_since.find(key);
      const Time since =
          known == this->lacks_places_since.end() ? now : known->second;
      lacking[key] = since;
      if (now - since < this->limits.placement_delay) {
        continue;
      }
      DonatedByPool donated_next = donated;
      const std::vector<const Machine*> selected =
          this->SelectDonors(idle, excluded_zones, pools, reserve, id, need,
                             Spare::kReserve, donated_next);
      std::int64_t places = 0;
      for (const Machine* machine : selected) {
        places += PlacesOn(*machine, need);
      }
      if (need.rule.all_or_none && places < need.Missing()) {
        continue;
      }
      donated = std::move(donated_next);
      for (const Machine* machine : selected) {
        this->StartMove(*machine, id,
                        "places " + std::to_string(need.places) + " of " +
                            std::to_string(need.startable),
                        now);
        arrivals.push_back(
            {machine->capacity, machine->capacity, machine->labels});
      }
      if (need.exclusive) {
        std::vector<Arrival> added(arrivals.end() - std::ssize(selected),
                                   arrivals.end());
        AddArrivals(added, need);
        std::ranges::copy(added, arrivals.end() - std::ssize(selected));
      }
      this->EraseMoving(idle);
    }
  }
  this->lacks_places_since = std::move(lacking);
}

void Mover::EraseMoving(std::vector<const Machine*>& machines) const {
  std::erase_if(machines, [this](const Machine* machine) {
    return this->moves.contains(machine->id);
  });
}

void Mover::StartMove(const Machine& machine,
                      const PoolId& to,
                      const std::string& reason,
                      Time now) {
  this->moves[machine.id] = {.to = to,
                             .vm = machine.vm,
                             .capacity = machine.capacity,
                             .labels = machine.labels,
                             .ordered = now};
  if (!machine.vm.empty()) {
    this->effects.emplace_back(SetCordon{machine.vm, true});
  }
  this->effects.emplace_back(OrderMove{machine.id, to, machine.vm});
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
                          DonatedByPool& donated,
                          Time now) {
  const auto standby = std::ranges::find_if(
      pools, [](const auto& row) { return row.second.standby; });
  if (standby == pools.end()) {
    return;
  }
  for (const Machine* machine : idle) {
    const PoolDemand& pool = pools.at(machine->pool);
    if (pool.standby ||
        now - this->idle_since.at(machine->id) < this->limits.standby_delay) {
      continue;
    }
    Donated& from_pool = donated[machine->pool];
    const jobs::Resources remaining =
        pool.capacity - from_pool.capacity - machine->capacity;
    if ((DemandOf(pool) + reserve).Within(remaining) &&
        ServesPeak(pool, remaining) &&
        KeepsPlaces(pool, from_pool.places, *machine)) {
      from_pool.Add(pool, *machine);
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
      this->ordered_vms.Add(id, move.vm, now);
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
