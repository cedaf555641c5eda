#include "maintain/maintainer.h"

#include <algorithm>
#include <utility>

#include "maintain/rollout.h"

namespace kch::maintain {
namespace {

// Number of order ids retained in a record. An order is repeated within seconds
// if its reply was lost, and operators send few orders in that time.
constexpr std::size_t kMaxOrderIds = 64;
// Operations and calls are pruned beyond this number of entries.
constexpr std::size_t kPruneThreshold = 256;

template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

Purpose PurposeOf(OrderKind kind) {
  switch (kind) {
    case OrderKind::kDrain:
      return Purpose::kDrain;
    case OrderKind::kMove:
      return Purpose::kMove;
    case OrderKind::kReturn:
    case OrderKind::kReboot:
    case OrderKind::kRollout:
      break;
  }
  return Purpose::kReboot;
}

bool IsMovingOut(const VmRow& vm) {
  return vm.state != VmState::kServing && vm.purpose == Purpose::kMove &&
         !IsJoining(vm);
}

// True if the VM is already reserved for the same purpose and destination and
// has not reached its reboot.
bool IsUnderWay(const VmRow& vm, const OrderRow& order) {
  const bool before_reboot = vm.state == VmState::kReserved ||
                             vm.state == VmState::kDraining ||
                             vm.state == VmState::kQuiet;
  return before_reboot && vm.purpose == order.purpose && vm.to == order.to;
}

// Applies one order to the record; the caller records the order id.
Result<void> ApplyOrder(const Order& order,
                        const Settings& settings,
                        std::int64_t wall_s,
                        PoolRecord& record) {
  if (order.kind == OrderKind::kRollout) {
    // VMs maintained by a process whose clock was ahead are due in this
    // roll-out too.
    std::int64_t start = std::max(wall_s, record.rollout_s);
    for (const auto& [id, vm] : record.vms) {
      start = std::max(start, vm.maintained_s + 1);
    }
    record.rollout_s = start;
    return {};
  }
  if (order.kind == OrderKind::kReturn) {
    auto next = ReturnToService(record, order.vm);
    if (!next) {
      return tl::unexpected(next.error());
    }
    record = *std::move(next);
    return {};
  }
  if (!record.vms.contains(order.vm)) {
    return Fail(ErrorKind::kNotFound,
                "pool " + record.pool.str() + " has no VM " + order.vm.str(),
                "name the pool that lists the VM");
  }
  if (order.kind == OrderKind::kMove &&
      (order.to == record.pool || !settings.pools.contains(order.to))) {
    return Fail(ErrorKind::kInvalid,
                "VM " + order.vm.str() + " cannot move to pool '" +
                    order.to.str() + "'",
                "name another pool of the configuration");
  }
  const OrderRow row{order.vm, PurposeOf(order.kind),
                     order.kind == OrderKind::kMove ? order.to : PoolId(),
                     order.reason};
  const bool already_ordered = std::any_of(
      record.orders.begin(), record.orders.end(), [&](const OrderRow& other) {
        return other.vm == row.vm && other.purpose == row.purpose &&
               other.to == row.to;
      });
  if (!already_ordered) {
    record.orders.push_back(row);
  }
  return {};
}

}  // namespace

Maintainer::Maintainer(Settings settings, Random random)
    : settings(std::move(settings)), random(random) {}

void Maintainer::Configure(Settings settings) {
  this->settings = std::move(settings);
}

Duration Maintainer::Jittered(Duration mean) {
  std::uniform_int_distribution<Duration::rep> draw(mean.count() / 2,
                                                    mean.count() * 3 / 2);
  return Duration(draw(this->random));
}

std::vector<Effect> Maintainer::Step(const Event& event, Time now) {
  std::vector<Effect> effects;
  auto& observations = this->gathered;
  std::visit(
      Overloaded{
          [&](const Tick& tick) {
            observations.wall_s = tick.wall_s;
            this->OnTick(now, effects);
          },
          [&](const StoreReply& reply) { this->OnReply(reply, now, effects); },
          [&](const MembersObserved& members) {
            observations.entries_at = members.requested_at;
            std::map<InstanceId, EntryObservation> entries;
            for (const auto& instance : members.instances) {
              const auto found = observations.entries.find(instance);
              entries[instance] = found == observations.entries.end()
                                      ? EntryObservation{now, {}}
                                      : std::move(found->second);
            }
            observations.entries = std::move(entries);
          },
          [&](const EntryReport& report) {
            auto& entry = observations.entries[report.instance];
            entry.last_contact_at = now;
            auto& pool_report = entry.pool_reports[report.pool];
            if (report.pool_report.generation >= pool_report.generation) {
              pool_report = report.pool_report;
            }
          },
          [&](const WorkerReport& report) {
            RecordWorkerReport(observations, report.vm, report.boot,
                               report.tasks, report.requested_at,
                               this->settings.limits);
          },
          [&](const PlatformList& list) {
            if (!observations.platform_vms_at ||
                list.requested_at >= *observations.platform_vms_at) {
              observations.platform_vms = list.vms;
              observations.platform_vms_at = list.requested_at;
            }
          },
          [&](const OperationObserved& observed) {
            this->OnOperation(observed, now, effects);
          },
          [&](const DemandObserved& observed) {
            this->demand[observed.pool].Add(observed.slots, now);
          },
          [&](const Order& order) {
            if (!this->settings.pools.contains(order.pool)) {
              effects.emplace_back(OrderResult{
                  order.id,
                  Fail(ErrorKind::kNotFound,
                       "pool '" + order.pool.str() + "' is not configured",
                       "name a pool of the configuration")});
              return;
            }
            auto& context = this->contexts[order.pool];
            context.orders.push_back(order);
            context.next_read = now;
          }},
      event);
  return effects;
}

void Maintainer::OnOperation(const OperationObserved& observed,
                             Time now,
                             std::vector<Effect>& effects) {
  if (!observed.state) {
    // An operation with an ambiguous reply is read before any further action.
    this->gathered.operations.erase(observed.operation);
    return;
  }
  this->gathered.operations[observed.operation] = *observed.state;
  // The operation id ends with the step and the verb. The pool is advanced at
  // once, since waiting for the next read of the record would add a read
  // interval to each step of each VM.
  const auto verb = observed.operation.rfind('.');
  const auto step = verb == std::string::npos || verb == 0
                        ? std::string::npos
                        : observed.operation.rfind('.', verb - 1);
  const auto pool =
      this->operation_pools.find(observed.operation.substr(0, step));
  if (pool == this->operation_pools.end()) {
    return;
  }
  auto& context = this->contexts[pool->second];
  if (!context.pending && context.read_at &&
      now - *context.read_at <= 2 * this->settings.read_interval) {
    const PoolId name = pool->second;
    this->Decide(name, context, now, effects);
  }
}

void Maintainer::OnTick(Time now, std::vector<Effect>& effects) {
  for (const auto& [pool, pool_settings] : this->settings.pools) {
    auto& context = this->contexts[pool];
    if (!context.pending && now >= context.next_read) {
      context.pending = true;
      context.next_read = now + this->Jittered(this->settings.read_interval);
      effects.emplace_back(StoreOp(StoreGet{KeyOf(pool)}));
    }
  }
  this->Prune();
}

void Maintainer::OnReply(const StoreReply& reply,
                         Time now,
                         std::vector<Effect>& effects) {
  const auto found = std::find_if(
      this->contexts.begin(), this->contexts.end(),
      [&](const auto& entry) { return KeyOf(entry.first) == reply.key; });
  if (found == this->contexts.end()) {
    return;
  }
  const PoolId& pool = found->first;
  auto& context = found->second;
  context.pending = false;
  std::optional<std::string> value = reply.value;
  if (reply.is_write) {
    value = std::exchange(context.written, {});
    auto orders = std::exchange(context.written_orders, {});
    if (reply.status != StoreStatus::kOk) {
      // The record contains the ids of orders, so that an order whose write
      // took effect after all is recognised when it is applied again.
      context.orders.insert(context.orders.begin(), orders.begin(),
                            orders.end());
      this->cas_conflicts += reply.status == StoreStatus::kConflict ? 1 : 0;
      // The jittered pause prevents repeated conflicts between maintainers.
      context.next_read =
          now + this->Jittered(this->settings.read_interval / 5);
      return;
    }
    for (const auto& order : orders) {
      effects.emplace_back(OrderResult{order.id, {}});
    }
  }
  if (reply.status != StoreStatus::kOk) {
    return;
  }
  if (!value) {
    for (const auto& order : std::exchange(context.orders, {})) {
      effects.emplace_back(OrderResult{
          order.id,
          Fail(ErrorKind::kNotFound, "pool " + pool.str() + " has no record",
               "create the pool first")});
    }
    return;
  }
  if (reply.version < context.version) {
    return;  // a stale read
  }
  context.read_at = now;
  // Most reads return an unchanged record.
  if (reply.version != context.version || !this->cached.contains(pool)) {
    auto record = Decode<PoolRecord>(*value);
    if (!record) {
      return;
    }
    context.version = reply.version;
    this->CacheRecord(pool, *std::move(record), now);
  }
  this->Decide(pool, context, now, effects);
}

void Maintainer::CacheRecord(const PoolId& pool, PoolRecord record, Time now) {
  std::erase_if(this->operation_pools,
                [&](const auto& entry) { return entry.second == pool; });
  for (const auto& [id, vm] : record.vms) {
    if (vm.state == VmState::kServing) {
      this->gathered.observed_reservations.erase(id);
      continue;
    }
    this->operation_pools[vm.operation] = pool;
    auto& observation = this->gathered.observed_reservations[id];
    if (observation.operation != vm.operation) {
      observation = {vm.operation, now};
    }
  }
  this->cached[pool] = std::move(record);
}

void Maintainer::Decide(const PoolId& pool,
                        PoolContext& context,
                        Time now,
                        std::vector<Effect>& effects) {
  const auto pool_settings = this->settings.pools.find(pool);
  if (pool_settings == this->settings.pools.end()) {
    return;
  }
  const auto& limits = this->settings.limits;
  const PoolRecord& committed = this->cached.at(pool);
  PoolRecord next = committed;
  bool changed = UpdateLedger(next, this->gathered, now, limits);
  for (const auto& [id, vm] : committed.vms) {
    if (vm.state == VmState::kServing) {
      continue;
    }
    // Calls are derived from the committed record only: each step is in the
    // record before any call is made for it.
    const auto actions = Advance(committed, id, this->gathered, now, limits);
    if (!actions) {
      continue;
    }
    if (actions->record) {
      if (auto again = Advance(next, id, this->gathered, now, limits);
          again && again->record) {
        next = *std::move(again->record);
        changed = true;
      }
    }
    this->EmitCalls(*actions, now, effects);
  }
  changed = this->ApplyOrders(context, next, effects) || changed;
  changed = this->ApplyMoves(next) || changed;
  changed = this->ApplySizes(next) || changed;
  changed =
      this->ApplyReservations(next, pool_settings->second, now) || changed;
  if (!changed) {
    return;
  }
  context.pending = true;
  context.written = Encode(next);
  effects.emplace_back(
      StoreOp(StoreCas{KeyOf(pool), context.version, context.written}));
}

void Maintainer::EmitCalls(const NextActions& actions,
                           Time now,
                           std::vector<Effect>& effects) {
  if (actions.platform &&
      this->MayCall("call " + actions.platform->operation, now)) {
    // The operation is read next unless the reply contains its state.
    this->gathered.operations.erase(actions.platform->operation);
    effects.emplace_back(*actions.platform);
  }
  if (actions.read && this->MayCall("read " + actions.read->operation, now)) {
    effects.emplace_back(*actions.read);
  }
  for (const auto& call : actions.workers) {
    if (this->MayCall("task " + call.task.str(), now)) {
      effects.emplace_back(call);
    }
  }
}

bool Maintainer::ApplyOrders(PoolContext& context,
                             PoolRecord& record,
                             std::vector<Effect>& effects) const {
  bool changed = false;
  for (auto& order : std::exchange(context.orders, {})) {
    if (std::find(record.order_ids.begin(), record.order_ids.end(), order.id) !=
        record.order_ids.end()) {
      effects.emplace_back(OrderResult{order.id, {}});
      continue;
    }
    if (const auto entered =
            ApplyOrder(order, this->settings, this->gathered.wall_s, record);
        !entered) {
      effects.emplace_back(OrderResult{order.id, entered});
      continue;
    }
    record.order_ids.push_back(order.id);
    if (record.order_ids.size() > kMaxOrderIds) {
      record.order_ids.erase(record.order_ids.begin());
    }
    ++record.generation;
    changed = true;
    context.written_orders.push_back(std::move(order));
  }
  return changed;
}

bool Maintainer::ApplyMoves(PoolRecord& record) const {
  bool changed = false;
  for (const auto& [pool, other] : this->cached) {
    if (pool == record.pool) {
      continue;
    }
    if (auto next = Adopt(record, other); next) {
      record = *std::move(next);
      changed = true;
    }
    const auto forwards = record.forwards;
    for (const auto& [id, forward] : forwards) {
      if (auto next = DropForward(record, other, id); next) {
        record = *std::move(next);
        changed = true;
      }
    }
  }
  return changed;
}

bool Maintainer::ApplyReservations(PoolRecord& record,
                                   const PoolSettings& pool,
                                   Time now) const {
  bool changed = false;
  const auto reserve = [&](const VmId& vm, const Reservation& reservation) {
    auto next = Reserve(record, vm, reservation, pool.budget, this->gathered,
                        now, this->settings.limits);
    if (!next) {
      return false;
    }
    record = *std::move(next);
    changed = true;
    return true;
  };
  // Orders precede the roll-out, which would otherwise use up the budget.
  const auto orders = std::exchange(record.orders, {});
  for (const auto& order : orders) {
    const auto vm = record.vms.find(order.vm);
    if (vm == record.vms.end() || IsUnderWay(vm->second, order)) {
      changed = true;
      ++record.generation;
      continue;
    }
    if (!reserve(order.vm, {order.purpose, order.to, order.reason})) {
      record.orders.push_back(order);
    }
  }
  for (const auto& vm : PlanRollout(record, pool.budget, this->gathered,
                                    this->gathered.wall_s)) {
    reserve(vm, {Purpose::kReboot, PoolId(), "roll-out"});
  }
  return changed;
}

bool Maintainer::ApplySizes(PoolRecord& record) const {
  if (!this->settings.resize || this->settings.spare.empty()) {
    return false;
  }
  // At most one move at a time leaves each pool, so that a plan based on
  // outdated records is corrected before the next move.
  const bool busy =
      std::any_of(record.orders.begin(), record.orders.end(),
                  [](const OrderRow& order) {
                    return order.purpose == Purpose::kMove;
                  }) ||
      std::any_of(record.vms.begin(), record.vms.end(),
                  [](const auto& entry) { return IsMovingOut(entry.second); });
  if (busy) {
    return false;
  }
  std::map<PoolId, PoolDemand> pools;
  std::uint32_t spare_vms = 0;
  Records records = this->cached;
  records[record.pool] = record;
  for (const auto& [pool, pool_settings] : this->settings.pools) {
    if (!records.contains(pool)) {
      return false;
    }
    auto& entry = pools[pool];
    entry.min_vms = pool_settings.min_vms;
    entry.max_vms = pool_settings.max_vms;
    if (const auto window = this->demand.find(pool);
        window != this->demand.end()) {
      entry.slots = window->second.Quantile(this->settings.sizes.quantile);
    }
    entry.in_dwell_time = this->gathered.wall_s - records.at(pool).resized_s <
                          this->settings.sizes.dwell_s;
  }
  for (const auto& [pool, other] : records) {
    const auto arrive = [&](const PoolId& to) {
      if (const auto found = pools.find(to); found != pools.end()) {
        ++found->second.vms;
      }
    };
    for (const auto& [id, vm] : other.vms) {
      arrive(IsMovingOut(vm) ? vm.to : pool);
      if (const auto found = pools.find(pool); found != pools.end()) {
        found->second.slots_per_vm =
            std::max(found->second.slots_per_vm, vm.slots);
      }
    }
    for (const auto& [id, forward] : other.forwards) {
      const auto to = records.find(forward.to);
      if (to != records.end() && !to->second.vms.contains(id)) {
        arrive(forward.to);
      }
    }
    for (const auto& order : other.orders) {
      const auto from = pools.find(pool);
      if (order.purpose == Purpose::kMove && from != pools.end() &&
          from->second.vms > 0) {
        --from->second.vms;
        arrive(order.to);
      }
    }
  }
  if (const auto spare = pools.find(this->settings.spare);
      spare != pools.end()) {
    spare_vms = spare->second.vms;
    pools.erase(spare);
  }
  const auto plan =
      PlanSizes(pools, this->settings.spare, spare_vms, this->settings.sizes);
  for (const auto& move : plan.moves) {
    if (move.from != record.pool) {
      continue;
    }
    for (const auto& [id, vm] : record.vms) {
      if (vm.state == VmState::kServing && !record.ledger.contains(id) &&
          !IsLost(this->gathered, id)) {
        record.orders.push_back({id, Purpose::kMove, move.to, "pool sizes"});
        record.resized_s = this->gathered.wall_s;
        ++record.generation;
        return true;
      }
    }
  }
  return false;
}

bool Maintainer::MayCall(const std::string& key, Time now) {
  const auto [found, is_new] = this->last_calls.try_emplace(key, now);
  if (!is_new && now - found->second < this->settings.call_interval) {
    return false;
  }
  found->second = now;
  return true;
}

void Maintainer::Prune() {
  if (this->last_calls.size() > kPruneThreshold) {
    // In the worst case, a call is repeated early; calls are idempotent.
    this->last_calls.clear();
  }
  if (this->gathered.operations.size() <= kPruneThreshold) {
    return;
  }
  std::set<std::string> stems;
  for (const auto& [pool, record] : this->cached) {
    for (const auto& [id, vm] : record.vms) {
      if (vm.state != VmState::kServing) {
        stems.insert(vm.operation + "." + std::to_string(vm.step));
      }
    }
  }
  std::erase_if(this->gathered.operations, [&](const auto& entry) {
    return !stems.contains(entry.first.substr(0, entry.first.rfind('.')));
  });
}

}  // namespace kch::maintain
