#include "upkeep/planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace kch::upkeep {
namespace {

// Delay after a failed write of a wave.
constexpr auto kSaveRetryDelay = std::chrono::milliseconds(200);
// Machines named in one log line at most.
constexpr std::size_t kMaxLoggedMachines = 8;

// The machines that `list` has and `other` lacks; the first few by name.
std::string NamesMissingIn(const MachineList& other, const MachineList& list) {
  std::string names;
  std::size_t count = 0;
  for (const auto& [id, machine] : list) {
    if (!other.contains(id) && ++count <= kMaxLoggedMachines) {
      names += (names.empty() ? "" : " ") + id.str();
    }
  }
  if (count > kMaxLoggedMachines) {
    names += " and " + std::to_string(count - kMaxLoggedMachines) + " more";
  }
  return names;
}

// Whether two revisions tell that a wave was removed and created again.
bool IsRecreated(std::uint64_t created, std::uint64_t other) {
  return created != 0 && other != 0 && created != other;
}

}  // namespace

void ObservedWave::Observe(const WaveOrder& newest,
                           std::uint64_t at_revision,
                           Time now) {
  this->revision = at_revision;
  if (newest != this->order) {
    this->order = newest;
    this->since = now;
  }
}

Planner::Planner(const Limits& limits, Time start)
    : limits(limits), start(start) {}

void Planner::EmitLogEvent(
    std::string_view event,
    std::vector<std::pair<std::string_view, std::string>> fields) {
  this->effects.emplace_back(LogEvent{event, std::move(fields)});
}

const Machine* Planner::FindMachine(const MachineId& id) const {
  const auto found = this->list.find(id);
  return found == this->list.end() ? nullptr : &found->second;
}

void Planner::SetWave(const ObservedWave& observed, Time now) {
  const WaveOrder& order = observed.order;
  const auto known = this->waves.find(order.id);
  if (known != this->waves.end() &&
      IsRecreated(known->second.order.created, order.created)) {
    this->RemoveWave(order.id, now);
  }
  Wave& wave = this->waves[order.id];
  if (wave.since != observed.since) {
    for (auto& [id, item] : wave.items) {
      item.absence = {};  // by lists that are older than the wave's content
    }
  }
  wave.order = order;
  wave.since = observed.since;
  wave.revision = observed.revision;
  for (const MachineId& id : order.machines) {
    WaveItem& item = wave.items[id];
    if (item.stage == Stage::kUnavailable) {
      continue;
    }
    if (wave.started.contains(id)) {
      item.stage = Stage::kDone;
    } else if (item.stage == Stage::kDone) {
      item.stage = Stage::kDue;  // it was not named meanwhile
    }
  }
  // An ordered machine stays until its order is answered.
  std::erase_if(wave.items, [&](const auto& row) {
    const auto& [id, item] = row;
    const bool released =
        !order.machines.contains(id) &&
        (item.stage == Stage::kDue || item.stage == Stage::kDraining);
    if (released && item.stage == Stage::kDraining) {
      this->effects.emplace_back(SetCordon{item.vm, false});
    }
    return released;
  });
  if (wave.completed && !IsFinished(wave)) {
    this->Reopen(wave);
  }
}

bool Planner::IsFinished(const Wave& wave) {
  return std::ranges::all_of(wave.items, [&](const auto& row) {
    const auto& [id, item] = row;
    return item.stage == Stage::kDone || wave.started.contains(id) ||
           item.absence.has_left() || !wave.order.machines.contains(id);
  });
}

// The wave may name machines that have joined since an older list was read.
void Planner::ObservePresence(const Wave& wave,
                              const MachineId& id,
                              WaveItem& item) {
  const bool listed = this->FindMachine(id) != nullptr;
  if (listed || this->read_at > wave.since) {
    item.absence.OnList(listed, this->read_at);
  }
}

// Each write expects the revision of the one before it.
void Planner::Save(Wave& wave) {
  wave.has_unsaved = wave.save_pending;
  if (wave.save_pending) {
    return;
  }
  wave.save_pending = true;
  wave.save_again_at.reset();
  this->effects.emplace_back(SaveWave{wave.order.id,
                                      {wave.started, wave.order.created},
                                      wave.completed,
                                      wave.revision});
}

void Planner::Reopen(Wave& wave) {
  wave.completed = false;
  this->Save(wave);
  this->EmitLogEvent("wave_reopened",
                     {{"wave", wave.order.id.str()},
                      {"machines", std::to_string(wave.order.machines.size())},
                      {"started", std::to_string(wave.started.size())}});
}

// Machines that are down, or may go down by an order without an answer, keep
// their places in a wave that is created again under this number.
void Planner::RemoveWave(const WaveId& id, Time now) {
  const auto found = this->waves.find(id);
  if (found == this->waves.end()) {
    return;
  }
  std::map<MachineId, WaveItem> down;
  for (const auto& [machine, item] : found->second.items) {
    if (item.stage == Stage::kDraining) {
      this->effects.emplace_back(SetCordon{item.vm, false});
    } else if (item.stage == Stage::kUnavailable) {
      down[machine] = item;
    } else if (item.stage == Stage::kOrdered) {
      down[machine] = {
          .stage = Stage::kUnavailable, .vm = item.vm, .since = now};
      this->predecessor_orders[machine] = {item.vm,
                                           now + this->limits.late_order_time};
    }
  }
  if (down.empty()) {
    this->waves.erase(found);
  } else {
    found->second = {};
    found->second.items = std::move(down);
  }
}

void Planner::SetStarted(const WaveId& id, const StartedMachines& started) {
  const auto known = this->waves.find(id);
  if (known != this->waves.end() &&
      IsRecreated(known->second.order.created, started.created)) {
    return;
  }
  Wave& wave = this->waves[id];
  wave.order.created = std::max(wave.order.created, started.created);
  wave.started.insert(started.machines.begin(), started.machines.end());
  for (const MachineId& machine : started.machines) {
    wave.items[machine].stage = Stage::kDone;
  }
}

void Planner::SetPredecessorOrders(const OrderedMachines& machines, Time now) {
  const Time until = std::max(now, this->start) + this->limits.late_order_time;
  for (const auto& [machine, vm] : machines) {
    this->ordered_vms.Add(machine, vm, now);
    this->predecessor_orders[machine] = {vm, until};
  }
}

const Planner::PredecessorOrder* Planner::FindPredecessorOrder(
    const MachineId& id,
    Time now) const {
  const auto found = this->predecessor_orders.find(id);
  return found == this->predecessor_orders.end() || now >= found->second.until
             ? nullptr
             : &found->second;
}

void Planner::OnMachineList(const std::vector<Machine>& machines, Time now) {
  const MachineList previous = std::exchange(this->list, {});
  for (const Machine& machine : machines) {
    this->list[machine.id] = machine;
  }
  const std::string joined = NamesMissingIn(previous, this->list);
  const std::string left = NamesMissingIn(this->list, previous);
  if (!joined.empty() || !left.empty()) {
    this->EmitLogEvent(
        "machines",
        {{"listed", std::to_string(this->list.size())},
         {"joined", joined},
         {"left", left},
         {"read_ms", std::to_string(ToMs(now - this->read_started))}});
  }
  this->has_list = true;
  this->read_pending = false;
  this->read_failed = false;
  this->read_at = this->read_started;
  const bool busy = std::ranges::any_of(this->waves, [](const auto& wave) {
    return std::ranges::any_of(wave.second.items, [](const auto& item) {
      return item.second.stage != Stage::kDue &&
             item.second.stage != Stage::kDone;
    });
  });
  this->next_read = now + (busy ? this->limits.active_read_interval
                                : this->limits.idle_read_interval);
}

void Planner::OnMachineListFailed(Time now) {
  this->read_pending = false;
  this->read_failed = true;
  this->next_read = now + this->limits.active_read_interval;
}

void Planner::OnOrderAnswer(const MachineId& id,
                            const WaveId& wave_id,
                            OrderAnswer answer,
                            Time now) {
  const auto found = this->waves.find(wave_id);
  if (found == this->waves.end()) {
    return;
  }
  Wave& wave = found->second;
  const auto ordered = wave.items.find(id);
  if (ordered == wave.items.end() || ordered->second.stage != Stage::kOrdered) {
    return;  // ordered before the wave was created again
  }
  WaveItem& item = ordered->second;
  item.order_sent = false;
  this->EmitLogEvent("upkeep_order", {{"machine", id.str()},
                                      {"wave", wave_id.str()},
                                      {"vm", item.vm.str()},
                                      {"answer", std::string(NameOf(answer))}});
  switch (answer) {
    case OrderAnswer::kDone:
      item.stage = Stage::kUnavailable;
      item.since = now;
      wave.started.insert(id);
      this->predecessor_orders.erase(id);
      this->ordered_vms.Add(id, item.vm, now);
      this->Save(wave);
      break;
    case OrderAnswer::kFenced:
      this->effects.emplace_back(Superseded{});
      break;
    case OrderAnswer::kNotInWave:
    case OrderAnswer::kNoMachine:
      this->OnRefusal(wave, id, now);
      break;
    case OrderAnswer::kBusy:
    case OrderAnswer::kRateLimited:
      // The order was not carried out: the machine continues to drain and is
      // ordered again.
      if (!wave.order.machines.contains(id)) {
        this->effects.emplace_back(SetCordon{item.vm, false});
        wave.items.erase(id);
        break;
      }
      item.stage = Stage::kDraining;
      item.retry_at = now + this->limits.order_retry_interval;
      break;
    case OrderAnswer::kUnknown:
      // The order may be carried out at any time, so the machine counts as
      // unavailable until a repeated order is answered.
      item.unanswered = true;
      item.retry_at = now + this->limits.order_retry_interval;
      break;
  }
}

// The platform may not know the machine yet, or not the wave as it was written
// last. If the machine has left or the wave does not name it, the next list or
// record tells.
void Planner::OnRefusal(Wave& wave, const MachineId& id, Time now) {
  WaveItem& item = wave.items[id];
  const Duration delay =
      std::min(this->limits.refusal_delay * (1 << std::min(item.refusals, 8)),
               this->limits.max_refusal_delay);
  ++item.refusals;
  item.retry_at = now + delay;
  this->RequestEarlyRead(now);
  if (std::exchange(item.unanswered, false)) {
    // An earlier order may have been carried out: the next list tells.
    item.stage = Stage::kUnavailable;
    item.since = now;
    return;
  }
  if (!item.vm.empty()) {
    this->effects.emplace_back(SetCordon{item.vm, false});
  }
  if (!wave.order.machines.contains(id)) {
    wave.items.erase(id);
    return;
  }
  item.stage = Stage::kDue;
}

void Planner::Tick(Time now, const VmLoadLookup& load_of) {
  for (const VmId& vm :
       this->ordered_vms.TakeEnded(this->list, this->read_at)) {
    this->effects.emplace_back(VmTerminated{vm});
  }
  const bool due = now >= this->next_read ||
                   (!this->read_failed &&
                    this->ordered_vms.RunsAwaitList(load_of, this->read_at));
  if (!this->read_pending && due) {
    this->read_pending = true;
    this->read_started = now;
    this->effects.emplace_back(ReadMachines{});
  }
  for (auto& [id, wave] : this->waves) {
    if (wave.save_again_at && now >= *wave.save_again_at) {
      this->Save(wave);
    }
  }
  if (!this->has_list || now < this->start) {
    return;
  }
  for (auto& [id, wave] : this->waves) {
    // A wave without an order was removed while machines were down for it, or
    // is known by its record only.
    if (!wave.completed && !wave.order.id.empty()) {
      this->TickWave(wave, now, load_of);
      continue;
    }
    // The last machines of a completed wave have yet to return, and orders of
    // machines that it names no longer are yet to be answered. A machine that
    // had left may return.
    for (auto& [machine, item] : wave.items) {
      if (item.absence.has_left()) {
        this->ObservePresence(wave, machine, item);
      }
      if (item.stage == Stage::kOrdered || item.stage == Stage::kUnavailable) {
        this->AdvanceItem(wave, machine, item, false, now, load_of);
      }
    }
    if (wave.completed && !IsFinished(wave)) {
      this->Reopen(wave);
    }
  }
}

void Planner::OnWaveSaved(const WaveId& id, bool stored, Time now) {
  const auto found = this->waves.find(id);
  if (found == this->waves.end()) {
    return;
  }
  Wave& wave = found->second;
  if (wave.order.id.empty()) {
    return;  // removed since
  }
  wave.save_pending = false;
  if (!stored) {
    wave.save_again_at = now + kSaveRetryDelay;
  } else if (wave.has_unsaved) {
    this->Save(wave);
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

void Planner::RequestEarlyRead(Time now) {
  this->next_read =
      std::min(this->next_read, now + this->limits.active_read_interval);
}

bool Planner::IsUrgent(const Wave& wave, Time now) const {
  const auto left = std::ranges::count_if(wave.items, [](const auto& row) {
    const WaveItem& item = row.second;
    return !item.absence.has_left() &&
           (item.stage == Stage::kDue || item.stage == Stage::kDraining);
  });
  const double rounds =
      std::ceil(static_cast<double>(left) /
                static_cast<double>(std::max(1, wave.order.max_unavailable)));
  const double needed = rounds * ToSeconds(this->limits.upkeep_duration +
                                           this->limits.drain_duration);
  return ToSeconds(wave.since + wave.order.duration - now) <
         needed * this->limits.urgency_factor;
}

void Planner::TickWave(Wave& wave, Time now, const VmLoadLookup& load_of) {
  if (!wave.recorded) {
    wave.recorded = true;
    this->Save(wave);
  }
  const bool urgent = this->IsUrgent(wave, now);
  for (auto& [id, item] : wave.items) {
    this->AdvanceItem(wave, id, item, urgent, now, load_of);
  }
  this->AdmitMachines(wave, urgent, now, load_of);
  if (IsFinished(wave)) {
    wave.completed = true;
    this->Save(wave);
    const auto left =
        std::ranges::count_if(wave.order.machines, [&](const MachineId& id) {
          return wave.items.at(id).absence.has_left();
        });
    this->EmitLogEvent("wave_completed",
                       {{"wave", wave.order.id.str()},
                        {"after_ms", std::to_string(ToMs(now - wave.since))},
                        {"machines", std::to_string(wave.started.size())},
                        {"left", std::to_string(left)}});
  }
}

void Planner::AdvanceItem(Wave& wave,
                          const MachineId& id,
                          WaveItem& item,
                          bool urgent,
                          Time now,
                          const VmLoadLookup& load_of) {
  const Machine* machine = this->FindMachine(id);
  switch (item.stage) {
    case Stage::kDone:
      break;
    case Stage::kDue:
      this->ObservePresence(wave, id, item);
      if (machine == nullptr && !item.absence.has_left()) {
        this->RequestEarlyRead(now);
      }
      break;
    case Stage::kDraining: {
      this->ObservePresence(wave, id, item);
      if (machine == nullptr) {
        if (item.absence.has_left()) {
          item.stage = Stage::kDue;
          this->effects.emplace_back(SetCordon{item.vm, false});
        }
        break;
      }
      if (machine->vm != item.vm) {
        item.vm = machine->vm;  // the machine restarted in the meantime
        this->effects.emplace_back(SetCordon{item.vm, true});
      }
      const auto load = load_of(item.vm);
      const bool empty = !load || (load->runs == 0 && load->runs_known);
      const bool overdue = urgent && load && load->responsive &&
                           load->runs_known && load->long_running == 0 &&
                           now - item.since >= this->limits.max_drain_duration;
      if (!empty) {
        this->effects.emplace_back(Evict{item.vm});
      }
      if ((empty || overdue) && now >= item.retry_at) {
        item.stage = Stage::kOrdered;
        item.order_sent = true;
        this->effects.emplace_back(OrderUpkeep{id, wave.order.id, item.vm});
      }
      break;
    }
    case Stage::kOrdered:
      if (!item.order_sent && now >= item.retry_at) {
        item.order_sent = true;
        this->effects.emplace_back(OrderUpkeep{id, wave.order.id, item.vm});
      }
      break;
    case Stage::kUnavailable: {
      // A list read before the order may still show the machine as up, and with
      // a VM other than `item.vm` if the machine was moved.
      const bool up = machine != nullptr && this->read_at > item.since &&
                      machine->state == MachineState::kUp;
      const bool same_vm = up && !item.vm.empty() && machine->vm == item.vm;
      const bool returned =
          up && !same_vm && now - item.since >= this->limits.upkeep_duration;
      // One list may leave out a machine that is down.
      const bool gone = machine == nullptr && this->read_at > item.since &&
                        now - item.since >= this->limits.upkeep_duration;
      if (same_vm || (gone && !item.vm.empty())) {
        // Its VM may work on: the order had been carried out before it began.
        this->effects.emplace_back(SetCordon{item.vm, false});
      }
      if (gone || same_vm || returned) {
        const bool due =
            wave.order.machines.contains(id) && !wave.started.contains(id);
        item.stage = due ? Stage::kDue : Stage::kDone;
      }
      break;
    }
  }
}

// A machine that this process has not taken may be down by an order of a
// predecessor, also if its upkeep is recorded as started.
Planner::Unavailable Planner::CountUnavailable(const Wave& wave,
                                               Time now) const {
  Unavailable count;
  for (const auto& [id, item] : wave.items) {
    const Machine* machine = this->FindMachine(id);
    const bool in_progress =
        item.stage != Stage::kDue && item.stage != Stage::kDone;
    // Ordered by a predecessor, it may be down and left out of one list.
    const bool unlisted = machine == nullptr && !item.absence.has_left() &&
                          now < this->start + this->limits.upkeep_duration &&
                          this->FindPredecessorOrder(id, now) != nullptr;
    if (in_progress || unlisted ||
        (machine != nullptr && machine->state == MachineState::kUpkeep)) {
      ++count.taken;
    } else if (item.stage == Stage::kDue && !item.absence.has_left() &&
               this->FindPredecessorOrder(id, now) != nullptr) {
      ++count.may_go_down;
    }
  }
  // One that the operators no longer name is down for this wave or another.
  for (const auto& [id, order] : this->predecessor_orders) {
    const Machine* machine = this->FindMachine(id);
    if (!wave.items.contains(id) && now < order.until && machine != nullptr &&
        machine->state == MachineState::kUpkeep) {
      ++count.taken;
    }
  }
  return count;
}

// Starts to drain further machines: first those that a predecessor may have
// ordered, then those with the least pool utilization and the fewest runs.
// Draining machines count as unavailable, since they may go down at any moment.
void Planner::AdmitMachines(Wave& wave,
                            bool urgent,
                            Time now,
                            const VmLoadLookup& load_of) {
  // The order of a machine that still runs the VM it was ordered with has not
  // been carried out yet.
  enum class Predecessor : std::uint8_t { kOrderOpen, kOrdered, kNone };
  struct Candidate {
    Predecessor predecessor = Predecessor::kNone;
    double utilization = 0;
    std::size_t runs = 0;
    MachineId id;

    bool operator<(const Candidate& other) const {
      return std::tie(this->predecessor, this->utilization, this->runs,
                      this->id) < std::tie(other.predecessor, other.utilization,
                                           other.runs, other.id);
    }
  };
  std::vector<Candidate> candidates;
  for (const auto& [id, item] : wave.items) {
    const Machine* machine = this->FindMachine(id);
    if (item.stage != Stage::kDue || now < item.retry_at ||
        machine == nullptr || machine->state != MachineState::kUp) {
      continue;
    }
    auto predecessor = Predecessor::kNone;
    if (const auto* order = this->FindPredecessorOrder(id, now)) {
      predecessor = order->vm.empty() || order->vm == machine->vm
                        ? Predecessor::kOrderOpen
                        : Predecessor::kOrdered;
    }
    const auto load = load_of(machine->vm);
    candidates.push_back({predecessor,
                          load ? load->pool_utilization_without : 0,
                          load ? load->runs : 0, id});
  }
  std::sort(candidates.begin(), candidates.end());
  Unavailable unavailable = this->CountUnavailable(wave, now);
  std::map<PoolId, std::int32_t> admitted_by_pool;
  for (const Candidate& candidate : candidates) {
    const bool ordered_before = candidate.predecessor != Predecessor::kNone;
    if (unavailable.taken + (ordered_before ? 0 : unavailable.may_go_down) >=
        wave.order.max_unavailable) {
      return;
    }
    const Machine& machine = *this->FindMachine(candidate.id);
    if (!urgent && !ordered_before) {
      // `candidate.utilization` is the utilization without one machine; each
      // further machine of the same pool raises it by about 15 %.
      const double utilization =
          candidate.utilization * (1 + 0.15 * admitted_by_pool[machine.pool]);
      if (utilization > this->limits.max_pool_utilization) {
        continue;
      }
    }
    ++admitted_by_pool[machine.pool];
    WaveItem& item = wave.items[candidate.id];
    item.stage = Stage::kDraining;
    item.vm = machine.vm;
    item.since = now;
    ++unavailable.taken;
    unavailable.may_go_down -= ordered_before ? 1 : 0;
    if (!item.vm.empty()) {
      this->effects.emplace_back(SetCordon{item.vm, true});
    }
    this->EmitLogEvent("upkeep_drain",
                       {{"machine", candidate.id.str()},
                        {"wave", wave.order.id.str()},
                        {"vm", item.vm.str()},
                        {"runs", std::to_string(candidate.runs)},
                        {"pressed", urgent ? "yes" : "no"},
                        {"ordered_before", ordered_before ? "yes" : "no"}});
  }
}

std::vector<Effect> Planner::TakeEffects() {
  return std::exchange(this->effects, {});
}

}  // namespace kch::upkeep
