#include "app/maintain/status.h"

#include <chrono>
#include <nlohmann/json.hpp>

namespace kch::app {
namespace {

using net::Now;
using nlohmann::json;

std::string WaitingFor(const Driver& driver,
                       const maintain::PoolRecord& record,
                       const maintain::VmRow& vm,
                       Time now) {
  const auto advice =
      maintain::Advance(record, vm.id, driver.decisions().observations(), now,
                        driver.settings().limits);
  if (!advice) {
    return advice.error().message;
  }
  return advice->record ? "the next write of the record" : advice->waiting_for;
}

json VmJson(const Driver& driver,
            const maintain::PoolRecord& record,
            const maintain::VmRow& vm,
            Time now) {
  const maintain::Observations& facts = driver.decisions().observations();
  json result{
      {"vm", vm.id.str()},
      {"address", vm.address},
      {"zone", vm.zone.str()},
      {"rack", vm.rack.str()},
      {"slots", vm.slots},
      {"state", NameOf(vm.state)},
      {"lost", record.ledger.contains(vm.id) || maintain::IsLost(facts, vm.id)},
      {"maintained_s", vm.maintained_s},
      {"due", maintain::IsDue(record, vm, facts.wall_s)}};
  if (vm.state != maintain::VmState::kServing) {
    result["purpose"] = NameOf(vm.purpose);
    result["to"] = vm.to.str();
    result["operation"] = vm.operation;
    result["since_s"] = vm.since_s;
    result["reason"] = vm.reason;
    result["waiting"] = WaitingFor(driver, record, vm, now);
  }
  return result;
}

// What keeps an order from its reservation.
std::string OrderWaitsFor(const Driver& driver,
                          const maintain::PoolRecord& record,
                          const maintain::OrderRow& order) {
  const auto vm = record.vms.find(order.vm);
  const auto pool = driver.settings().pools.find(record.pool);
  if (vm == record.vms.end() || pool == driver.settings().pools.end()) {
    return "";
  }
  if (vm->second.state != maintain::VmState::kServing) {
    return "the VM to serve again";
  }
  const auto fits = maintain::CheckBudget(
      vm->second,
      maintain::CountUsage(record, driver.decisions().observations()),
      pool->second.budget);
  return fits ? "the next write of the record" : fits.error().message;
}

template <typename Key>
json CountsJson(const std::map<Key, std::uint32_t>& counts) {
  json result = json::object();
  for (const auto& [key, count] : counts) {
    result[key.str()] = count;
  }
  return result;
}

json BudgetJson(const Driver& driver, const maintain::PoolRecord& record) {
  const auto usage =
      maintain::CountUsage(record, driver.decisions().observations());
  json result{{"unavailable", usage.unavailable},
              {"by_zone", CountsJson(usage.by_zone)},
              {"by_rack", CountsJson(usage.by_rack)}};
  const auto pool = driver.settings().pools.find(record.pool);
  if (pool != driver.settings().pools.end()) {
    result["max_unavailable"] = pool->second.budget.max_unavailable;
    result["max_per_zone"] = pool->second.budget.per_zone;
    result["max_per_rack"] = pool->second.budget.per_rack;
  }
  return result;
}

json PoolJson(const Driver& driver,
              const maintain::PoolRecord& record,
              Time now) {
  json vms = json::array();
  std::uint32_t due = 0;
  for (const auto& [id, vm] : record.vms) {
    vms.push_back(VmJson(driver, record, vm, now));
    due += vms.back()["due"] == true ? 1 : 0;
  }
  json orders = json::array();
  for (const auto& order : record.orders) {
    orders.push_back({{"vm", order.vm.str()},
                      {"purpose", NameOf(order.purpose)},
                      {"to", order.to.str()},
                      {"reason", order.reason},
                      {"waiting", OrderWaitsFor(driver, record, order)}});
  }
  json forwards = json::array();
  for (const auto& [id, forward] : record.forwards) {
    forwards.push_back({{"vm", id.str()}, {"to", forward.to.str()}});
  }
  json lost = json::object();
  for (const auto& [id, since_s] : record.ledger) {
    lost[id.str()] = since_s;
  }
  return {{"pool", record.pool.str()},
          {"generation", record.generation},
          {"budget", BudgetJson(driver, record)},
          {"due", due},
          {"rollout_s", record.rollout_s},
          {"vms", std::move(vms)},
          {"orders", std::move(orders)},
          {"forwards", std::move(forwards)},
          {"lost_since_s", std::move(lost)}};
}

}  // namespace

std::string StatusJson(const Driver& driver) {
  const Time now = Now();
  json pools = json::array();
  for (const auto& [id, record] : driver.decisions().records()) {
    pools.push_back(PoolJson(driver, record, now));
  }
  json entries = json::array();
  for (const auto& [id, entry] : driver.entries()) {
    json seen = json::object();
    const auto& facts = driver.decisions().observations().entries;
    if (const auto fact = facts.find(id); fact != facts.end()) {
      for (const auto& [pool, word] : fact->second.pool_reports) {
        seen[pool.str()] = word.generation;
      }
    }
    entries.push_back({{"instance", id.str()},
                       {"incarnation", entry.incarnation},
                       {"heard_ms_ago", ToMs(now - entry.heard_at)},
                       {"generations", std::move(seen)}});
  }
  const json status{{"revision", driver.configuration().revision},
                    {"ready", driver.ready()},
                    {"conflicts", driver.decisions().conflicts()},
                    {"entries", std::move(entries)},
                    {"pools", std::move(pools)}};
  return status.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace kch::app
