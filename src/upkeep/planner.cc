#include "upkeep/planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace kch::upkeep {

Planner::Planner(const Limits& limits, Time start)
    : limits(limits), start(start) {}

void Planner::NoteThat(
    std::string_view event,
    std::vector<std::pair<std::string_view, std::string>> fields) {
  this->effects.emplace_back(Note{event, std::move(fields)});
}

const Machine* Planner::Find(const MachineId& id) const {
  const auto found = this->list.find(id);
  return found == this->list.end() ? nullptr : &found->second;
}

void Planner::SetWave(const WaveOrder& order, Time since) {
  Wave& wave = this->waves[order.id];
  wave.order = order;
  wave.since = since;
  for (const MachineId& id : order.machines) {
    Item& item = wave.items[id];
    if (wave.begun.contains(id)) {
      item.stage = Stage::kDone;
    }
  }
}

void Planner::RemoveWave(const WaveId& id) {
  const auto found = this->waves.find(id);
  if (found == this->waves.end()) {
    return;
  }
  for (const auto& [machine, item] : found->second.items) {
    if (item.stage == Stage::kDraining) {
      this->effects.emplace_back(SetCordon{item.vm, false});
    }
  }
  this->waves.erase(found);
}

void Planner::SetBegun(const WaveId& id, const std::set<MachineId>& begun) {
  Wave& wave = this->waves[id];
  wave.begun.insert(begun.begin(), begun.end());
  for (const MachineId& machine : begun) {
    wave.items[machine].stage = Stage::kDone;
  }
}

void Planner::OnMachines(const std::vector<Machine>& machines, Time now) {
  this->list.clear();
  for (const Machine& machine : machines) {
    this->list[machine.id] = machine;
  }
  this->listed = true;
  this->reading = false;
  this->list_as_of = this->read_began;
  const bool busy = std::ranges::any_of(this->waves, [](const auto& wave) {
    return std::ranges::any_of(wave.second.items, [](const auto& item) {
      return item.second.stage != Stage::kDue &&
             item.second.stage != Stage::kDone;
    });
  });
  this->next_read =
      now + (busy ? this->limits.read_busy : this->limits.read_calm);
}

void Planner::OnNoMachines(Time now) {
  this->reading = false;
  this->next_read = now + this->limits.read_busy;
}

void Planner::OnOrder(const MachineId& id,
                      const WaveId& wave_id,
                      OrderAnswer answer,
                      Time now) {
  const auto found = this->waves.find(wave_id);
  if (found == this->waves.end()) {
    return;
  }
  Wave& wave = found->second;
  Item& item = wave.items[id];
  item.order_sent = false;
  this->NoteThat("upkeep_order", {{"machine", id.str()},
                                  {"wave", wave_id.str()},
                                  {"vm", item.vm.str()},
                                  {"answer", std::string(NameOf(answer))}});
  switch (answer) {
    case OrderAnswer::kDone:
      item.stage = Stage::kAway;
      item.since = now;
      wave.begun.insert(id);
      if (!item.vm.empty()) {
        this->effects.emplace_back(VmEnded{item.vm});
      }
      this->effects.emplace_back(SaveWave{wave_id, wave.begun, false});
      break;
    case OrderAnswer::kFenced:
      this->effects.emplace_back(Superseded{});
      break;
    case OrderAnswer::kNotInWave:
    case OrderAnswer::kNoMachine:
      item.stage = Stage::kDone;
      if (!item.vm.empty()) {
        this->effects.emplace_back(SetCordon{item.vm, false});
      }
      break;
    case OrderAnswer::kBusy:
    case OrderAnswer::kLater:
      // Not done: it drains on and is ordered again.
      item.stage = Stage::kDraining;
      item.retry_at = now + this->limits.order_retry;
      break;
    case OrderAnswer::kUnknown:
      // It may be carried out at any time, so the machine counts as away until
      // a repeated order tells.
      item.retry_at = now + this->limits.order_retry;
      break;
  }
}

void Planner::Tick(Time now, const LoadOf& load_of) {
  if (!this->reading && now >= this->next_read) {
    this->reading = true;
    this->read_began = now;
    this->effects.emplace_back(ReadMachines{});
  }
  if (!this->listed || now < this->start) {
    return;
  }
  for (auto& [id, wave] : this->waves) {
    if (!wave.completed && !wave.order.machines.empty()) {
      this->TickWave(wave, now, load_of);
    }
  }
}

std::set<MachineId> Planner::claimed() const {
  std::set<MachineId> ids;
  for (const auto& [wave_id, wave] : this->waves) {
    for (const auto& [id, item] : wave.items) {
      if (item.stage != Stage::kDone) {
        ids.insert(id);
      }
    }
  }
  return ids;
}

void Planner::ReadSoon(Time now) {
  this->next_read = std::min(this->next_read, now + this->limits.read_busy);
}

bool Planner::Pressed(const Wave& wave, Time now) const {
  const auto left = std::ranges::count_if(wave.items, [](const auto& item) {
    return item.second.stage == Stage::kDue ||
           item.second.stage == Stage::kDraining;
  });
  const double rounds =
      std::ceil(static_cast<double>(left) /
                static_cast<double>(std::max(1, wave.order.most_away)));
  const double needed =
      rounds * ToSeconds(this->limits.away + this->limits.drain);
  return ToSeconds(wave.since + wave.order.length - now) <
         needed * this->limits.pressure;
}

void Planner::TickWave(Wave& wave, Time now, const LoadOf& load_of) {
  if (!wave.announced) {
    wave.announced = true;
    this->effects.emplace_back(SaveWave{wave.order.id, wave.begun, false});
  }
  const bool pressed = this->Pressed(wave, now);
  for (auto& [id, item] : wave.items) {
    this->Advance(wave, id, item, pressed, now, load_of);
  }
  this->Admit(wave, pressed, now, load_of);
  const bool all_done = std::ranges::all_of(wave.items, [](const auto& item) {
    return item.second.stage == Stage::kDone ||
           item.second.stage == Stage::kAway;
  });
  if (all_done) {
    wave.completed = true;
    this->effects.emplace_back(SaveWave{wave.order.id, wave.begun, true});
    this->NoteThat("wave_completed",
                   {{"wave", wave.order.id.str()},
                    {"after_ms", std::to_string(ToMs(now - wave.since))},
                    {"machines", std::to_string(wave.begun.size())}});
  }
}

void Planner::Advance(Wave& wave,
                      const MachineId& id,
                      Item& item,
                      bool pressed,
                      Time now,
                      const LoadOf& load_of) {
  const Machine* machine = this->Find(id);
  switch (item.stage) {
    case Stage::kDone:
      break;
    case Stage::kDue:
      if (machine == nullptr) {
        item.stage = Stage::kDone;  // it has left the fleet
      }
      break;
    case Stage::kDraining: {
      if (machine == nullptr) {
        item.stage = Stage::kDone;
        break;
      }
      if (machine->vm != item.vm) {
        item.vm = machine->vm;  // it restarted meanwhile
        this->effects.emplace_back(SetCordon{item.vm, true});
      }
      const auto load = load_of(item.vm);
      const bool empty = !load || load->runs == 0;
      const bool overdue = pressed && load && load->answers &&
                           load->endless == 0 &&
                           now - item.since >= this->limits.longest_drain;
      if (!empty) {
        this->effects.emplace_back(Evict{item.vm});
      }
      if ((empty || overdue) && now >= item.retry_at) {
        item.stage = Stage::kOrdered;
        item.order_sent = true;
        this->effects.emplace_back(OrderUpkeep{id, wave.order.id});
      }
      break;
    }
    case Stage::kOrdered:
      if (!item.order_sent && now >= item.retry_at) {
        item.order_sent = true;
        this->effects.emplace_back(OrderUpkeep{id, wave.order.id});
      }
      break;
    case Stage::kAway: {
      // A list read before the order may show a machine that was moved, with
      // another VM than the one known here, as up.
      const bool up = machine != nullptr && this->list_as_of > item.since &&
                      now - item.since >= this->limits.away &&
                      machine->state == MachineState::kUp;
      const bool other_vm = up && (item.vm.empty() || machine->vm != item.vm);
      if (machine == nullptr || other_vm) {
        item.stage = Stage::kDone;
      }
      break;
    }
  }
}

// Takes further machines out, those first that cost least. What drains counts
// as away, since it may go at any moment.
void Planner::Admit(Wave& wave, bool pressed, Time now, const LoadOf& load_of) {
  std::int64_t taken = 0;
  for (const auto& [id, item] : wave.items) {
    taken += item.stage == Stage::kDraining || item.stage == Stage::kOrdered ||
             item.stage == Stage::kAway;
  }
  struct Candidate {
    double use = 0;
    std::size_t runs = 0;
    MachineId id;

    bool operator<(const Candidate& other) const {
      return std::tie(this->use, this->runs, this->id) <
             std::tie(other.use, other.runs, other.id);
    }
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, item] : wave.items) {
    const Machine* machine = this->Find(id);
    if (item.stage != Stage::kDue || machine == nullptr ||
        machine->state != MachineState::kUp) {
      continue;
    }
    const auto load = load_of(machine->vm);
    candidates.push_back(
        {load ? load->pool_use_without : 0, load ? load->runs : 0, id});
  }
  std::sort(candidates.begin(), candidates.end());
  std::map<PoolId, std::int32_t> from_pool;
  for (const Candidate& candidate : candidates) {
    if (taken >= wave.order.most_away) {
      return;
    }
    const Machine& machine = *this->Find(candidate.id);
    if (!pressed) {
      // The use is that of one machine less; each further one of the same pool
      // adds about as much again.
      const double use = candidate.use * (1 + 0.15 * from_pool[machine.pool]);
      if (use > this->limits.calm_use) {
        continue;
      }
    }
    ++from_pool[machine.pool];
    Item& item = wave.items[candidate.id];
    item.stage = Stage::kDraining;
    item.vm = machine.vm;
    item.since = now;
    ++taken;
    if (!item.vm.empty()) {
      this->effects.emplace_back(SetCordon{item.vm, true});
    }
    this->NoteThat("upkeep_drain", {{"machine", candidate.id.str()},
                                    {"wave", wave.order.id.str()},
                                    {"vm", item.vm.str()},
                                    {"runs", std::to_string(candidate.runs)},
                                    {"pressed", pressed ? "yes" : "no"}});
  }
}

std::vector<Effect> Planner::Take() {
  return std::exchange(this->effects, {});
}

}  // namespace kch::upkeep
