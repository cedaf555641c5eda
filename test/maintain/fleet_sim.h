#ifndef TEST_MAINTAIN_FLEET_SIM_H_
#define TEST_MAINTAIN_FLEET_SIM_H_

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "maintain/maintain.h"

namespace kch::maintain {

/*! @brief Simulates store, platform, workers, entries and several Maintainers
 * in virtual time, with faults drawn from a seed. Checks the invariants at
 * every write and reboot; `failure` holds the first violation. */
class FleetSim {
 public:
  static constexpr int kMaintainers = 3;
  static constexpr int kEntries = 4;

  explicit FleetSim(std::uint64_t seed) : random(seed) {
    this->settings.spare = PoolId("spare");
    this->settings.resize = false;
    this->settings.limits = {Ms(5000), Ms(500),  Ms(2000),
                             Ms(6000), Ms(2000), Ms(3000)};
    this->settings.read_interval = Ms(500);
    this->settings.call_interval = Ms(500);
    int next_vm = 0;
    for (const char* name : {"a", "b", "spare"}) {
      PoolRecord record;
      record.pool = PoolId(name);
      record.generation = 1;
      const int size = record.pool == this->settings.spare ? 4 : 8;
      for (int i = 0; i < size; ++i, ++next_vm) {
        VmRow vm;
        vm.id = VmId("vm" + std::to_string(next_vm));
        vm.zone = ZoneId("z" + std::to_string(next_vm / 4 % 3));
        vm.rack = RackId("r" + std::to_string(next_vm / 4));
        vm.slots = 8;
        vm.maintained_s = kWallS;
        this->vms[vm.id].rack = vm.rack;
        this->owners[vm.id] = {record.pool};
        record.vms[vm.id] = vm;
      }
      this->settings.pools[record.pool] = {
          Budget{static_cast<std::uint32_t>(this->Int(1, 3)),
                 static_cast<std::uint32_t>(this->Int(1, 2)),
                 static_cast<std::uint32_t>(this->Int(1, 2)), 1, 1},
          1, 0};
      this->history[KeyOf(record.pool)] = {Encode(record)};
      this->latest[record.pool] = record;
    }
    this->reader = this->latest;
    for (int i = 0; i < kMaintainers; ++i) {
      this->StartMaintainer(i);
    }
    for (int i = 0; i < kEntries; ++i) {
      this->entries[i].views = this->latest;
    }
  }

  /*! @brief Runs with faults, then without; `failure` holds the first
   * violation. */
  void Run(Duration with_faults, Duration without) {
    const Time end_faults = this->now + with_faults;
    const Time end = end_faults + without;
    while (this->now < end && this->failure.empty()) {
      if (this->faults && this->now >= end_faults) {
        this->StopFaults();
      }
      this->StepOnce();
      if (!this->faults && this->now >= this->next_return) {
        this->next_return = this->now + Ms(3000);
        this->ReturnDrainedVms();
      }
      if (!this->faults && this->now > end_faults + Ms(3000) &&
          this->Unfinished().empty()) {
        return;
      }
    }
    if (this->failure.empty()) {
      this->failure = "not finished: " + this->Unfinished();
    }
  }

  std::string failure;
  int reboots = 0;
  int moves = 0;
  int losses = 0;
  int confirmed = 0;

 private:
  static constexpr std::int64_t kWallS = 1'800'000'000;
  // All Maintainers have observed a loss within the lag and the age of a list
  // plus the latency of a write.
  static constexpr Duration kLossDetectionTime =
      std::chrono::milliseconds(11000);

  struct Task {
    int entry = 0;
    Time lease_until;
    Time ends_at;
    bool ignores_checkpoint = false;
    DrainBehaviour behaviour = DrainBehaviour::kWait;
  };
  struct Vm {
    RackId rack;
    bool up = true;
    int boot = 0;
    Time down_since;
    std::map<TaskId, Task> tasks;
  };
  struct Start {
    VmId vm;
    Time valid_until;
  };
  struct Entry {
    bool unresponsive = false;
    bool stopped = false;
    Time last_contact;
    Time removed_at;
    Records views;
    Time next_read;
    std::map<TaskId, VmId> running;  // includes starts in flight
  };
  struct Process {
    std::unique_ptr<Maintainer> maintainer;
    Time paused_until;
    std::deque<Event> queue;
    std::uint64_t incarnation = 0;
    std::int64_t skew_s = 0;
    Time next_poll;
  };

  static Duration Ms(std::int64_t ms) { return std::chrono::milliseconds(ms); }
  std::int64_t Int(std::int64_t low, std::int64_t high) {
    return std::uniform_int_distribution<std::int64_t>(low, high)(this->random);
  }
  bool Chance(double p) { return std::bernoulli_distribution(p)(this->random); }
  bool Fault(double p) { return this->faults && this->Chance(p); }
  void Schedule(Duration delay, std::function<void()> action) {
    this->scheduled.emplace(this->now + delay, std::move(action));
  }
  void RecordViolation(const std::string& what) {
    if (this->failure.empty()) {
      this->failure = "at " +
                      std::to_string(ToMs(this->now.time_since_epoch())) +
                      " ms: " + what;
    }
  }

  void StartMaintainer(int index) {
    auto& process = this->processes[index];
    process.maintainer =
        std::make_unique<Maintainer>(this->settings, Random(this->random()));
    process.queue.clear();
    process.paused_until = this->now;
    process.skew_s = this->Int(-2, 2);
    ++process.incarnation;
  }

  // Delivers to the process that sent the request, not to its replacement.
  void Deliver(int index,
               std::uint64_t incarnation,
               Duration delay,
               Event event) {
    this->Schedule(delay, [this, index, incarnation, event = std::move(event)] {
      auto& process = this->processes[index];
      if (process.incarnation == incarnation) {
        process.queue.push_back(event);
      }
    });
  }

  void StepOnce() {
    this->now += Ms(100);
    while (!this->scheduled.empty() &&
           this->scheduled.begin()->first <= this->now) {
      const auto action = std::move(this->scheduled.begin()->second);
      this->scheduled.erase(this->scheduled.begin());
      action();
    }
    this->DrawFaults();
    this->StepWorkers();
    for (int i = 0; i < kEntries; ++i) {
      this->StepEntry(i);
    }
    for (int i = 0; i < kMaintainers; ++i) {
      this->StepMaintainer(i);
    }
    this->StepReader();
  }

  void DrawFaults() {
    if (Fault(0.004)) {
      this->store_down_until = this->now + Ms(Int(500, 8000));
    }
    if (Fault(0.004)) {
      this->platform_down_until = this->now + Ms(Int(500, 8000));
    }
    for (int i = 0; i < kMaintainers; ++i) {
      if (Fault(0.003)) {
        this->StartMaintainer(i);
      } else if (Fault(0.003)) {
        this->processes[i].paused_until = this->now + Ms(Int(500, 15000));
      }
    }
    for (auto& [index, entry] : this->entries) {
      if (Fault(0.002)) {
        entry.unresponsive = !entry.unresponsive;
      } else if (Fault(0.0005) && !entry.stopped) {
        entry.stopped = true;
        entry.removed_at = this->now + Ms(Int(1000, 10000));
      }
    }
    if (Fault(0.01)) {
      auto& link =
          this->broken_links[{static_cast<int>(Int(0, kMaintainers - 1)),
                              static_cast<int>(Int(0, kEntries - 1))}];
      link = !link;
    }
    if (Fault(0.004)) {
      auto vm = std::next(this->vms.begin(),
                          Int(0, static_cast<int>(this->vms.size()) - 1));
      const RackId rack = vm->second.rack;
      const bool whole_rack = this->Chance(0.3);
      const Duration down = Ms(Int(1000, 40000));
      for (auto& [id, other] : this->vms) {
        if (id == vm->first || (whole_rack && other.rack == rack)) {
          ++this->losses;
          this->TakeDown(id, down);
        }
      }
    }
    if (Fault(0.02)) {
      this->IssueOrder();
    }
  }

  void TakeDown(const VmId& id, Duration down) {
    auto& vm = this->vms[id];
    if (vm.up) {
      vm.down_since = this->now;
    }
    vm.up = false;
    vm.tasks.clear();
    const int boot = ++vm.boot;
    this->Schedule(down, [this, id, boot] {
      if (this->vms[id].boot == boot) {
        this->vms[id].up = true;
      }
    });
  }

  void IssueOrder() {
    const auto vm = std::next(this->vms.begin(),
                              Int(0, static_cast<int>(this->vms.size()) - 1));
    Order order;
    order.id = "order" + std::to_string(++this->orders_issued);
    order.vm = vm->first;
    order.pool = this->owners[vm->first].back();
    order.kind = static_cast<OrderKind>(Int(0, 4));
    order.to = std::next(this->latest.begin(), Int(0, 2))->first;
    this->issued[order.id] = order;
    this->processes[static_cast<int>(Int(0, kMaintainers - 1))]
        .queue.emplace_back(order);
  }

  void StopFaults() {
    this->faults = false;
    this->store_down_until = this->platform_down_until = this->now;
    for (int i = 0; i < kMaintainers; ++i) {
      this->processes[i].paused_until = this->now;
    }
    for (auto& [index, entry] : this->entries) {
      entry.unresponsive = index == 0;  // one entry stays unresponsive
    }
  }

  // Drained VMs use up the budget until an operator returns them.
  void ReturnDrainedVms() {
    for (const auto& [pool, record] : this->latest) {
      for (const auto& [id, vm] : record.vms) {
        if (vm.state == VmState::kQuiet && vm.purpose == Purpose::kDrain) {
          const Order order{"return" + std::to_string(++this->orders_issued),
                            OrderKind::kReturn,
                            pool,
                            id,
                            PoolId(),
                            ""};
          this->issued[order.id] = order;
          this->processes[0].queue.emplace_back(order);
        }
      }
    }
  }

  std::string Unfinished() const {
    for (const auto& [pool, record] : this->latest) {
      if (!record.orders.empty() || !record.forwards.empty() ||
          !record.ledger.empty()) {
        return pool.str() + " has orders, forwards or losses";
      }
      for (const auto& [id, vm] : record.vms) {
        if (vm.state != VmState::kServing) {
          return id.str() + " is " + std::string(NameOf(vm.state));
        }
        if (vm.maintained_s < record.rollout_s) {
          return id.str() + " is due";
        }
      }
    }
    for (const auto& [id, vm] : this->pending_reboots) {
      return vm.str() + " was not rebooted for " + id;
    }
    return "";
  }

  void StepWorkers() {
    for (auto& [id, vm] : this->vms) {
      for (auto task = vm.tasks.begin(); task != vm.tasks.end();) {
        auto& entry = this->entries[task->second.entry];
        if (!entry.unresponsive && !entry.stopped) {
          task->second.lease_until =
              std::max(task->second.lease_until,
                       this->now + this->settings.limits.max_lease);
        }
        if (this->now >= task->second.lease_until ||
            this->now >= task->second.ends_at) {
          this->EndTask(id, task++->first);
        } else {
          ++task;
        }
      }
    }
  }

  void EndTask(const VmId& vm, const TaskId& id) {
    auto& tasks = this->vms[vm].tasks;
    if (const auto task = tasks.find(id); task != tasks.end()) {
      this->entries[task->second.entry].running.erase(id);
      tasks.erase(id);
    }
  }

  void StepEntry(int index) {
    auto& entry = this->entries[index];
    if (entry.stopped) {
      return;
    }
    if (!entry.unresponsive && this->now >= this->store_down_until) {
      entry.last_contact = this->now;
      if (this->now >= entry.next_read) {
        entry.views = this->latest;
        // A watch may lag by seconds, but by less than the duration of a lease.
        entry.next_read =
            this->now + Ms(this->Chance(0.2) ? Int(500, 4000) : 300);
      }
    }
    for (auto task = entry.running.begin(); task != entry.running.end();) {
      const bool lost = !this->in_flight.contains(task->first) &&
                        !this->vms[task->second].tasks.contains(task->first);
      task = lost ? entry.running.erase(task) : std::next(task);
    }
    // An entry starts tasks only with recent contact to the store or to peers.
    const bool fresh =
        this->now - entry.last_contact <= Ms(2000) || !entry.unresponsive;
    if (!fresh || !this->Chance(0.4)) {
      return;
    }
    const auto target = std::next(
        this->vms.begin(), Int(0, static_cast<int>(this->vms.size()) - 1));
    const auto pool = PoolOf(target->first, entry.views);
    if (!pool) {
      return;
    }
    const auto& view = entry.views.at(*pool);
    const auto row = view.vms.find(target->first);
    if (row == view.vms.end() || row->second.state != VmState::kServing) {
      return;
    }
    const TaskId id("task" + std::to_string(++this->tasks_started));
    Task task;
    task.entry = index;
    task.behaviour = static_cast<DrainBehaviour>(Int(0, 2));
    task.ignores_checkpoint = this->Chance(0.2);
    const bool endless = this->Chance(0.2);
    const VmId vm = target->first;
    const Duration length = endless ? Ms(100'000'000) : Ms(Int(100, 5000));
    entry.running[id] = vm;
    this->in_flight.insert(id);
    this->Schedule(Ms(Int(0, 400)), [this, id, vm, task, length]() mutable {
      this->in_flight.erase(id);
      if (!this->vms[vm].up) {
        return;
      }
      task.lease_until = this->now + this->settings.limits.max_lease;
      task.ends_at = this->now + length;
      this->vms[vm].tasks[id] = task;
    });
  }

  void StepMaintainer(int index) {
    auto& process = this->processes[index];
    if (this->now >= process.next_poll) {
      process.next_poll = this->now + Ms(500);
      if (this->now >= process.paused_until) {
        this->Poll(index);
      }
      this->SendHeartbeats(index);
    }
    if (this->now < process.paused_until) {
      return;
    }
    process.queue.emplace_back(Tick{kWallS + process.skew_s +
                                    ToMs(this->now.time_since_epoch()) / 1000});
    while (!process.queue.empty()) {
      const Event event = std::move(process.queue.front());
      process.queue.pop_front();
      for (auto& effect : process.maintainer->Step(event, this->now)) {
        this->Perform(index, effect);
      }
    }
  }

  void Poll(int index) {
    const auto incarnation = this->processes[index].incarnation;
    const Time requested = this->now;
    for (auto& [id, vm] : this->vms) {
      if (Fault(0.1)) {
        continue;
      }
      this->Schedule(
          Ms(Int(0, 150)), [this, index, incarnation, id = id, requested] {
            const auto& vm = this->vms[id];
            if (!vm.up) {
              return;
            }
            WorkerReport report{id, std::to_string(vm.boot), {}, requested};
            for (const auto& [task, state] : vm.tasks) {
              report.tasks.push_back({task, state.behaviour, Ms(3000)});
            }
            this->Deliver(index, incarnation, Ms(Int(0, 100)), report);
          });
    }
    if (this->now >= this->platform_down_until) {
      // The list lags behind the actual state of the VMs.
      PlatformList list{{}, requested};
      const Duration lag = Ms(this->faults ? Int(0, 3000) : 0);
      for (const auto& [id, vm] : this->vms) {
        list.vms[id].up = vm.up || this->now - vm.down_since < lag;
      }
      this->Deliver(index, incarnation, Ms(Int(0, 300)), list);
    }
    MembersObserved members{{}, requested};
    for (const auto& [i, entry] : this->entries) {
      if (!entry.stopped || this->now < entry.removed_at) {
        members.instances.emplace_back("entry" + std::to_string(i));
      }
    }
    this->Deliver(index, incarnation, Ms(Int(0, 300)), members);
  }

  void SendHeartbeats(int index) {
    for (const auto& [i, entry] : this->entries) {
      if (entry.unresponsive || entry.stopped || Fault(0.1) ||
          this->broken_links[{index, i}]) {
        continue;
      }
      for (const auto& [pool, view] : entry.views) {
        EntryReport report{InstanceId("entry" + std::to_string(i)), pool, {}};
        report.pool_report.generation = view.generation;
        for (const auto& [task, vm] : entry.running) {
          ++report.pool_report.running[vm];
        }
        this->Deliver(index, this->processes[index].incarnation,
                      Ms(Int(0, 200)), report);
      }
    }
  }

  void Perform(int index, const Effect& effect) {
    const auto incarnation = this->processes[index].incarnation;
    const Duration latency = Ms(Fault(0.02) ? Int(0, 2000) : Int(0, 30));
    if (const auto* op = std::get_if<StoreOp>(&effect)) {
      this->Schedule(latency, [this, index, incarnation, op = *op] {
        this->Deliver(index, incarnation, Ms(Int(0, 30)),
                      this->PerformStoreOp(op));
      });
    } else if (const auto* call = std::get_if<PlatformCall>(&effect)) {
      this->Schedule(latency, [this, index, incarnation, call = *call] {
        OperationObserved observed{call.operation, std::nullopt};
        if (this->now >= this->platform_down_until) {
          const auto state = this->Operate(call);
          if (!Fault(0.2)) {
            observed.state = state;
          }
        }
        this->Deliver(index, incarnation, Ms(Int(0, 30)), observed);
      });
    } else if (const auto* read = std::get_if<ReadOperation>(&effect)) {
      this->Schedule(latency, [this, index, incarnation, read = *read] {
        if (this->now < this->platform_down_until || Fault(0.1)) {
          return;
        }
        const auto found = this->operations.find(read.operation);
        this->Deliver(
            index, incarnation, Ms(Int(0, 30)),
            OperationObserved{read.operation, found == this->operations.end()
                                                  ? OperationState::kNotFound
                                                  : found->second});
      });
    } else if (const auto* task = std::get_if<WorkerCall>(&effect)) {
      this->Schedule(latency, [this, task = *task] {
        const auto& tasks = this->vms[task.vm].tasks;
        const auto found = tasks.find(task.task);
        if (found != tasks.end() && (task.verb == WorkerVerb::kStop ||
                                     (task.verb == WorkerVerb::kCheckpoint &&
                                      !found->second.ignores_checkpoint))) {
          this->EndTask(task.vm, task.task);
        }
      });
    } else if (const auto* result = std::get_if<OrderResult>(&effect)) {
      const auto& order = this->issued.at(result->id);
      if (result->result) {
        ++this->confirmed;
        if (order.kind == OrderKind::kReboot &&
            !this->rebooted_orders.contains(order.id)) {
          this->pending_reboots[order.id] = order.vm;
        }
      }
    }
  }

  StoreReply PerformStoreOp(const StoreOp& op) {
    StoreReply reply;
    const bool down = this->now < this->store_down_until;
    if (const auto* get = std::get_if<StoreGet>(&op)) {
      reply.key = get->key;
      if (!down) {
        const auto& versions = this->history.at(get->key);
        std::size_t version = versions.size();
        if (Fault(0.1)) {
          version -= static_cast<std::size_t>(
              Int(0, std::min<std::int64_t>(
                         3, static_cast<std::int64_t>(version) - 1)));
        }
        reply.status = StoreStatus::kOk;
        reply.version = version;
        reply.value = versions.at(version - 1);
      }
      return reply;
    }
    const auto& cas = std::get<StoreCas>(op);
    reply.key = cas.key;
    reply.is_write = true;
    if (down || Fault(0.03)) {
      reply.status = down ? StoreStatus::kUnavailable : StoreStatus::kUnknown;
      return reply;
    }
    auto& versions = this->history.at(cas.key);
    if (versions.size() != cas.version) {
      reply.status = StoreStatus::kConflict;
      return reply;
    }
    versions.push_back(cas.value);
    this->CheckWrite(*Decode<PoolRecord>(cas.value));
    reply.version = versions.size();
    reply.status = Fault(0.05) ? StoreStatus::kUnknown : StoreStatus::kOk;
    return reply;
  }

  bool IsKnownLost(const PoolRecord& record, const VmRow& row) const {
    const auto& vm = this->vms.at(row.id);
    return record.ledger.contains(row.id) ||
           (!vm.up && this->now - vm.down_since > kLossDetectionTime);
  }

  // At each reservation, planned and unplanned outages together are within the
  // budget.
  void CheckWrite(const PoolRecord& record) {
    const PoolRecord before = std::exchange(this->latest[record.pool], record);
    if (record.generation <= before.generation) {
      this->RecordViolation("generation did not rise in " + record.pool.str());
    }
    Usage usage;
    for (const auto& [id, vm] : record.vms) {
      if (!IsJoining(vm) &&
          (vm.state != VmState::kServing || this->IsKnownLost(record, vm))) {
        ++usage.unavailable;
        ++usage.by_zone[vm.zone];
        ++usage.by_rack[vm.rack];
      }
    }
    const auto& budget = this->settings.pools.at(record.pool).budget;
    for (const auto& [id, vm] : record.vms) {
      const auto old = before.vms.find(id);
      if (old == before.vms.end() || old->second.operation == vm.operation) {
        continue;
      }
      if (usage.unavailable > budget.max_unavailable ||
          usage.by_zone[vm.zone] > budget.per_zone ||
          usage.by_rack[vm.rack] > budget.per_rack) {
        this->RecordViolation("budget of " + record.pool.str() +
                              " exceeded by " + id.str());
      }
      for (const auto& [other, row] : record.vms) {
        if (row.rack == vm.rack && record.ledger.contains(other)) {
          this->RecordViolation("drain in the degraded rack " + vm.rack.str());
        }
      }
    }
    for (const auto& [id, forward] : record.forwards) {
      const auto old = before.forwards.find(id);
      if (old == before.forwards.end() || !(old->second == forward)) {
        if (this->owners[id].back() != record.pool) {
          this->RecordViolation(id.str() +
                                " moved by a pool that does not list it");
        }
        this->owners[id].push_back(forward.to);
        ++this->moves;
      }
    }
    for (const auto& entry : this->owners) {
      const auto& [id, owner] = entry;
      const VmId& vm = entry.first;
      const auto platform_vms = std::count_if(
          this->latest.begin(), this->latest.end(),
          [&](const auto& pool) { return pool.second.vms.contains(vm); });
      const auto pool = PoolOf(id, this->latest);
      if (platform_vms > 1 || !pool || *pool != owner.back()) {
        this->RecordViolation(
            id.str() + " is in " + std::to_string(platform_vms) +
            " pools, expected " + owner.back().str() + ", found " +
            (pool ? pool->str() : pool.error().Text()));
      }
    }
  }

  // A reader observes the versions of each record in order, but the records at
  // different ages.
  void StepReader() {
    for (auto& [pool, view] : this->reader) {
      if (this->Chance(0.05)) {
        view = this->latest.at(pool);
      }
    }
    for (const auto& [id, owner] : this->owners) {
      const auto pool = PoolOf(id, this->reader);
      if (!pool) {
        if (pool.error().kind != ErrorKind::kUnavailable) {
          this->RecordViolation("reader: " + pool.error().Text());
        }
        continue;
      }
      auto& position = this->reader_positions[id];
      const auto found =
          std::find(owner.begin() + static_cast<std::ptrdiff_t>(position),
                    owner.end(), *pool);
      if (found == owner.end()) {
        this->RecordViolation("a reader observed " + id.str() + " go back to " +
                              pool->str());
        continue;
      }
      position = static_cast<std::size_t>(found - owner.begin());
    }
  }

  OperationState Operate(const PlatformCall& call) {
    const auto [found, is_new] =
        this->operations.try_emplace(call.operation, OperationState::kRunning);
    if (!is_new) {
      return found->second;
    }
    const auto finish = [&](Duration delay) {
      this->Schedule(delay, [this, operation = call.operation] {
        this->operations[operation] = OperationState::kDone;
      });
    };
    if (Fault(0.05)) {
      found->second = OperationState::kFailed;
    } else if (call.verb != PlatformVerb::kReboot) {
      finish(Ms(Int(0, 1000)));
    } else {
      this->CheckReboot(call);
      const Duration down = Ms(Int(2000, 6000));
      this->TakeDown(call.vm, down);
      finish(down + Ms(100));
    }
    return found->second;
  }

  void CheckReboot(const PlatformCall& call) {
    ++this->reboots;
    if (!this->vms[call.vm].tasks.empty()) {
      this->RecordViolation("reboot " + call.operation +
                            " ends a running task");
    }
    const std::string stem = call.operation.substr(
        0, call.operation.rfind('.', call.operation.rfind('.') - 1));
    if (!this->rebooted.insert(stem).second) {
      this->RecordViolation("second reboot for " + stem);
    }
    // Any reboot after the order was issued fulfils it.
    for (const auto& [id, order] : this->issued) {
      if (order.vm == call.vm) {
        this->rebooted_orders.insert(id);
        this->pending_reboots.erase(id);
      }
    }
  }

  Random random;
  Settings settings;
  Time now{Ms(1'000'000)};
  bool faults = true;
  std::multimap<Time, std::function<void()>> scheduled;
  std::map<std::string, std::vector<std::string>> history;
  Records latest;
  Records reader;
  std::map<VmId, std::size_t> reader_positions;
  std::map<VmId, std::vector<PoolId>> owners;  // pools in order of moves
  std::map<VmId, Vm> vms;
  std::map<int, Entry> entries;
  std::map<int, Process> processes;
  std::map<std::pair<int, int>, bool> broken_links;  // maintainer, entry
  std::map<std::string, OperationState> operations;
  std::set<std::string> rebooted;
  std::set<TaskId> in_flight;
  std::map<std::string, Order> issued;
  std::map<std::string, VmId> pending_reboots;
  std::set<std::string> rebooted_orders;
  Time store_down_until;
  Time platform_down_until;
  Time next_return;
  int orders_issued = 0;
  int tasks_started = 0;
};

}  // namespace kch::maintain

#endif  // TEST_MAINTAIN_FLEET_SIM_H_
