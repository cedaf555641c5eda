#include "test/upkeep/mover_sim.h"

namespace kch::upkeep::test {
namespace {

constexpr auto kMoveTime = std::chrono::milliseconds(2000);

}  // namespace

MoverSim::MoverSim() {
  this->AddPool("standby", true);
}

void MoverSim::AddPool(const std::string& name, bool standby) {
  this->sim.config.pools[PoolId(name)] = {.standby = standby};
  if (!standby) {
    jobs::Queue queue = this->sim.config.queues.at(jobs::QueueId("q"));
    queue.id = jobs::QueueId(name);
    queue.pool = PoolId(name);
    this->sim.config.queues[queue.id] = queue;
  }
  ++this->sim.config.version;
  this->sim.scheduler->SetConfig(this->sim.config, this->sim.now);
}

void MoverSim::AddMachine(const std::string& name,
                          const PoolId& pool,
                          const std::set<std::string>& labels) {
  const bool standby = pool.str() == "standby";
  const std::string vm =
      standby ? "" : "vm-" + std::to_string(++this->vm_count);
  if (!standby) {
    fake::FakeVm& added = this->sim.AddVm(vm, pool.str(), kMachineSize);
    added.facts.labels.insert(labels.begin(), labels.end());
    this->sim.scheduler->SetVm(added.facts, this->sim.now);
  }
  this->machines[MachineId(name)] = {.id = MachineId(name),
                                     .pool = pool,
                                     .vm = VmId(vm),
                                     .capacity = kMachineSize,
                                     .labels = labels};
}

void MoverSim::LoseVm(const std::string& machine) {
  const std::string vm = this->machines.at(MachineId(machine)).vm.str();
  this->machines.at(MachineId(machine)).state = MachineState::kDown;
  this->sim.vms.at(vm)->runs.clear();
  this->sim.vms.at(vm)->unresponsive = true;
  this->sim.Deregister(vm);
}

void MoverSim::Takeover() {
  this->sim.Takeover();
  this->mover = Mover(MoveLimits{});
  this->forecast = FleetForecast(MoveLimits{}.move_duration, this->sim.now);
}

void MoverSim::Run(std::int64_t ms) {
  for (std::int64_t passed = 0; passed < ms; passed += kTickMs) {
    this->Tick();
  }
}

void MoverSim::Tick() {
  this->sim.Run(kTickMs);
  const Time now = this->sim.now;
  if (this->sim.scheduler->recovering()) {
    return;
  }
  States states;
  for (const auto& [id, facts] : this->sim.config.pools) {
    states[id] = {this->sim.scheduler->DemandOf(id, now), facts.standby,
                  this->sim.scheduler->PlacementNeedsOf(id, now)};
  }
  Demands demands = this->forecast.Observe(states, now);
  if (this->adjust) {
    this->adjust(states, demands);
  }
  for (const auto& [id, machine] : this->machines) {
    this->pool_ms += machine.pool.str() == "standby" ? 0 : kTickMs;
  }
  const auto load_of = [this, now](const VmId& id) -> std::optional<VmLoad> {
    const auto found = this->sim.scheduler->vms().find(id);
    if (found == this->sim.scheduler->vms().end()) {
      return std::nullopt;
    }
    return VmLoad{
        .runs = found->second->runs.size(),
        .responsive = !found->second->unresponsive,
        .runs_known = this->sim.scheduler->RunsKnown(*found->second, now)};
  };
  this->mover.Tick(this->machines, now, {}, {}, demands, load_of, now);
  for (const Effect& effect : this->mover.TakeEffects()) {
    if (const auto* cordon = std::get_if<SetCordon>(&effect)) {
      this->sim.scheduler->Cordon(cordon->vm, cordon->on);
    } else if (const auto* ended_vm = std::get_if<VmTerminated>(&effect)) {
      this->sim.scheduler->EndVm(ended_vm->vm);
    } else if (const auto* order = std::get_if<OrderMove>(&effect)) {
      this->Move(*order);
    }
  }
  std::erase_if(this->arrivals, [this, now](const auto& row) {
    if (now < row.first) {
      return false;
    }
    const OrderMove& order = row.second;
    this->AddMachine(order.machine.str(), order.to,
                     this->machines.at(order.machine).labels);
    return true;
  });
}

void MoverSim::Move(const OrderMove& order) {
  ++this->move_count;
  Machine& machine = this->machines.at(order.machine);
  machine.state = MachineState::kMoving;
  if (!machine.vm.empty()) {
    this->sim.vms.at(machine.vm.str())->runs.clear();
    this->sim.vms.at(machine.vm.str())->unresponsive = true;
  }
  this->mover.OnOrderAnswer(order.machine, OrderAnswer::kDone, this->sim.now);
  this->arrivals.emplace_back(this->sim.now + kMoveTime, order);
}

}  // namespace kch::upkeep::test
