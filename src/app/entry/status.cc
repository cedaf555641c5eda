#include "app/entry/status.h"

#include <chrono>
#include <nlohmann/json.hpp>

#include "net/net.h"

namespace kch::app {
namespace {

using net::Now;
using nlohmann::json;

std::string_view StateName(member::PeerState state) {
  switch (state) {
    case member::PeerState::kConnected:
      return "connected";
    case member::PeerState::kUnresponsive:
      return "silent";
    case member::PeerState::kDown:
      break;
  }
  return "down";
}

json InstancesJson(const engine::Entry& entry, Time now) {
  json result = json::array();
  const member::Membership& members = entry.membership();
  for (const auto& [id, row] : members.record().members) {
    const bool own = id == members.self().instance;
    result.push_back(
        {{"instance", id.str()},
         {"incarnation", row.incarnation},
         {"vm", row.vm.str()},
         {"zone", row.zone.str()},
         {"draining", row.draining},
         {"state", own ? "self" : StateName(members.StateOf(id, now))},
         {"revision", own ? entry.configuration()->revision
                          : members.config_revision_of(id)}});
  }
  return result;
}

json VmJson(const engine::Pool& pool,
            const VmId& id,
            const maintain::VmRow& row,
            Time now) {
  const route::TargetCounters counters = pool.targets.Counters(id, now);
  return {{"vm", id.str()},
          {"zone", row.zone.str()},
          {"rack", row.rack.str()},
          {"address", row.address},
          {"state", NameOf(row.state)},
          {"slots", row.slots},
          {"running", counters.running},
          {"free", counters.free},
          {"usable", counters.usable},
          {"health", NameOf(counters.health)},
          {"reason", row.reason}};
}

json PoolJson(const engine::Entry& entry, const engine::Pool& pool, Time now) {
  json vms = json::array();
  for (const auto& [id, row] : pool.record.vms) {
    vms.push_back(VmJson(pool, id, row, now));
  }
  json teams = json::object();
  for (const auto& [team, value] : entry.configuration()->teams) {
    const share::TeamCounters counters = pool.queue.Counters(team, now);
    if (counters.waiting + counters.running > 0 || counters.slot_seconds > 0) {
      teams[team.str()] = {{"waiting", counters.waiting},
                           {"running", counters.running},
                           {"share", counters.share},
                           {"slot_seconds", counters.slot_seconds}};
    }
  }
  const auto owner = entry.membership().OwnerOf(pool.id, now);
  return {{"pool", pool.id.str()},
          {"generation", pool.record.generation},
          {"scheduler", owner ? owner->str() : ""},
          {"slots", pool.targets.usable_slots()},
          {"free", pool.targets.TotalFreeSlots(now)},
          {"waiting", pool.queue.waiting()},
          {"running", pool.queue.running()},
          {"ejected", pool.targets.ejected_count()},
          {"vms", std::move(vms)},
          {"teams", std::move(teams)}};
}

json LimitsJson(const engine::Entry& entry) {
  json result = json::array();
  for (const permit::Subject& subject : entry.permits().Subjects()) {
    result.push_back({{"kind", NameOf(subject.kind)},
                      {"name", subject.name},
                      {"busy", entry.permits().Busy(subject)},
                      {"usable", entry.permits().Usable(subject)},
                      {"spare", entry.permits().Spare(subject)},
                      {"blocked", entry.permits().Blocked(subject)},
                      {"excess", entry.permits().Excess(subject)}});
  }
  return result;
}

json WorkJson(const engine::WorkItem& work, Time now) {
  json result{{"request", work.job.request.str()},
              {"job", work.job.id.str()},
              {"team", work.job.team.str()},
              {"profile", work.job.profile.str()},
              {"pool", work.job.pool.str()},
              {"state", NameOf(work.state)},
              {"repeatable", work.job.repeatable},
              {"refusals", work.refusals},
              {"failed_targets", work.failed_vms.size()},
              {"age_ms", ToMs(now - work.enqueued)}};
  if (work.attempt) {
    result["task"] = work.attempt->task.str();
    result["vm"] = work.attempt->vm.str();
    result["permit_of"] = work.attempt->holder.instance.str();
  }
  if (work.state == engine::WorkItemState::kFinished) {
    result["outcome"] = NameOf(work.outcome.kind);
    result["reason"] = NameOf(work.outcome.reason);
  }
  return result;
}

}  // namespace

std::string StatusJson(const engine::Entry& entry) {
  const Time now = Now();
  json pools = json::array();
  for (const auto& [id, pool] : entry.scheduler().pools()) {
    pools.push_back(PoolJson(entry, *pool, now));
  }
  const json status{{"instance", entry.membership().self().instance.str()},
                    {"revision", entry.configuration()->revision},
                    {"fresh", entry.membership().HasFreshContact(now)},
                    {"ready", entry.Ready()},
                    {"waiting_callers", entry.waiting_callers()},
                    {"running_tasks", entry.scheduler().running()},
                    {"instances", InstancesJson(entry, now)},
                    {"pools", std::move(pools)},
                    {"limits", LimitsJson(entry)}};
  return status.dump();
}

std::string ExplainJson(const engine::Entry& entry, const std::string& id) {
  const Time now = Now();
  json result{{"id", id}, {"found", false}};
  if (const engine::WorkItem* work = entry.scheduler().Find(id)) {
    result["found"] = true;
    result["request"] = WorkJson(*work, now);
  }
  for (const auto& [name, pool] : entry.scheduler().pools()) {
    const auto row = pool->record.vms.find(VmId(id));
    if (row != pool->record.vms.end()) {
      result["found"] = true;
      result["vm"] = VmJson(*pool, row->first, row->second, now);
      result["vm"]["pool"] = name.str();
      result["vm"]["zone_in_service"] =
          entry.configuration()->InService(row->second.zone);
    }
  }
  return result.dump();
}

}  // namespace kch::app
