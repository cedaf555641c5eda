#include "maintain/moves.h"

#include <algorithm>
#include <optional>

#include "maintain/advance.h"

namespace kch::maintain {
namespace {

std::uint64_t GenerationOf(const std::map<PoolId, std::uint64_t>& map,
                           const PoolId& pool) {
  const auto found = map.find(pool);
  return found == map.end() ? 0 : found->second;
}

void RecordBasis(PoolRecord& record, const PoolRecord& other) {
  auto& generation = record.based_on[other.pool];
  generation = std::max(generation, other.generation);
}

}  // namespace

Result<PoolRecord> Forward(const PoolRecord& record,
                           const VmId& vm,
                           const PoolId& to,
                           const Observations& observations,
                           Time now,
                           const Limits& limits) {
  const auto found = record.vms.find(vm);
  if (found == record.vms.end()) {
    return Fail(ErrorKind::kNotFound,
                "pool " + record.pool.str() + " has no VM " + vm.str(),
                "name the pool that lists the VM");
  }
  const VmRow& row = found->second;
  if (row.state != VmState::kQuiet || row.purpose != Purpose::kMove ||
      row.to != to || to == record.pool) {
    return Fail(
        ErrorKind::kConflict,
        "VM " + vm.str() + " is not drained for a move to pool " + to.str(),
        "reserve it for the move and wait until it is quiet");
  }
  if (const auto quiet = CheckQuiet(record, row, observations, now, limits);
      !quiet) {
    return tl::unexpected(quiet.error());
  }
  PoolRecord next = record;
  EnterState(next, vm, VmState::kChecking);
  ForwardRow forward{next.vms.at(vm), to, next.generation, {}};
  ++forward.vm.epoch;
  next.vms.erase(vm);
  next.ledger.erase(vm);
  std::erase_if(next.orders, [&](const OrderRow& order) {
    if (order.vm != vm) {
      return false;
    }
    if (order.purpose != Purpose::kMove || order.to != to) {
      forward.orders.push_back(order);
    }
    return true;
  });
  // A VM that returns and leaves again has at most one forward here: the
  // earlier forward was adopted before the VM could return.
  next.forwards[vm] = std::move(forward);
  return next;
}

Result<PoolRecord> Adopt(const PoolRecord& destination,
                         const PoolRecord& source) {
  PoolRecord next = destination;
  // Each forward is adopted once. All forwards of a version are adopted
  // together, so one generation per source identifies the adopted ones, even
  // for a reader of an old source record after the VM has moved again.
  const std::uint64_t done = GenerationOf(destination.adopted, source.pool);
  std::uint64_t latest = done;
  for (const auto& [id, forward] : source.forwards) {
    if (forward.to != destination.pool || forward.generation <= done) {
      continue;
    }
    latest = std::max(latest, forward.generation);
    next.vms[id] = forward.vm;
    next.orders.insert(next.orders.end(), forward.orders.begin(),
                       forward.orders.end());
    next.resized_s = std::max(next.resized_s, forward.vm.since_s);
  }
  if (latest == done) {
    return Fail(ErrorKind::kNotFound,
                "pool " + source.pool.str() + " forwards no new VM to pool " +
                    destination.pool.str(),
                "read both records again");
  }
  next.adopted[source.pool] = latest;
  RecordBasis(next, source);
  ++next.generation;
  return next;
}

Result<PoolRecord> DropForward(const PoolRecord& source,
                               const PoolRecord& destination,
                               const VmId& vm) {
  const auto found = source.forwards.find(vm);
  if (found == source.forwards.end() || found->second.to != destination.pool ||
      GenerationOf(destination.adopted, source.pool) <
          found->second.generation) {
    return Fail(
        ErrorKind::kConflict,
        "pool " + destination.pool.str() + " has not adopted VM " + vm.str(),
        "wait until the destination lists the VM");
  }
  PoolRecord next = source;
  next.forwards.erase(vm);
  RecordBasis(next, destination);
  ++next.generation;
  return next;
}

Result<PoolId> PoolOf(const VmId& vm, const Records& records) {
  // Without this check, a reader with the source after the forward was dropped
  // and the destination before it was adopted would find the VM in no pool.
  for (const auto& [pool, record] : records) {
    for (const auto& [other, generation] : record.based_on) {
      const auto found = records.find(other);
      if (found == records.end() || found->second.generation < generation) {
        return Fail(ErrorKind::kUnavailable,
                    "pool record " + other.str() + " is older than " +
                        pool.str() + " is based on",
                    "read pool record " + other.str() + " again");
      }
    }
  }
  std::optional<std::uint64_t> epoch;
  PoolId owner;
  const auto consider = [&](const VmRow& row, const PoolId& pool) {
    if (!epoch || row.epoch > *epoch) {
      epoch = row.epoch;
      owner = pool;
    }
  };
  for (const auto& [pool, record] : records) {
    if (const auto row = record.vms.find(vm); row != record.vms.end()) {
      consider(row->second, pool);
    }
    if (const auto forward = record.forwards.find(vm);
        forward != record.forwards.end()) {
      consider(forward->second.vm, forward->second.to);
    }
  }
  if (!epoch) {
    return Fail(ErrorKind::kNotFound, "no pool lists VM " + vm.str(),
                "read all pool records");
  }
  return owner;
}

}  // namespace kch::maintain
