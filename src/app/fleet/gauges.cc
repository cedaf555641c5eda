#include "app/fleet/driver.h"

// What the process believes now, for its metrics.

namespace kch::app {
namespace {

using net::Metrics;

// Scrapes are seconds apart.
constexpr auto kGaugeInterval = std::chrono::seconds(1);
constexpr double kPerCore = 1000;

double Cores(std::int64_t cpu_m) {
  return static_cast<double>(cpu_m) / kPerCore;
}

void PublishPool(Metrics& metrics,
                 const std::string& pool,
                 const jobs::Scheduler::Demand& demand) {
  metrics.Set("pool_cores", Cores(demand.capacity.cpu_m),
              {{"pool", pool}, {"amount", "capacity"}});
  metrics.Set("pool_cores", Cores(demand.used.cpu_m),
              {{"pool", pool}, {"amount", "used"}});
  metrics.Set("pool_cores", Cores(demand.waiting.cpu_m),
              {{"pool", pool}, {"amount", "waiting"}});
}

void PublishVms(Metrics& metrics, const jobs::Scheduler& scheduler) {
  std::size_t silent = 0;
  std::size_t unrecorded = 0;
  for (const auto& [id, vm] : scheduler.vms()) {
    silent += vm->unresponsive ? 1 : 0;
    unrecorded += vm->awaited_records.size();
  }
  metrics.Set("vms", static_cast<double>(scheduler.vms().size()));
  metrics.Set("vms_silent", static_cast<double>(silent));
  metrics.Set("ends_unrecorded", static_cast<double>(unrecorded));
}

// Every state of a pool is set, so that one without machines shows as 0.
void PublishMachines(Metrics& metrics, const upkeep::MachineList& machines) {
  std::map<PoolId, std::map<upkeep::MachineState, int>> counts;
  for (const auto& [id, machine] : machines) {
    ++counts[machine.pool][machine.state];
  }
  for (auto& [pool, by_state] : counts) {
    for (const auto& [state, name] :
         NameTable<upkeep::MachineState>::kEntries) {
      metrics.Set("machines", by_state[state],
                  {{"pool", pool.str()}, {"state", std::string(name)}});
    }
  }
}

}  // namespace

void Driver::PublishGauges(Time now) {
  if (now < this->next_gauges) {
    return;
  }
  this->next_gauges = now + kGaugeInterval;
  Metrics& metrics = this->parts.metrics;
  metrics.Set("config_version", static_cast<double>(this->config_version));
  metrics.Set("followers",
              static_cast<double>(this->ownership.followers().size()));
  if (this->config_since != Time()) {
    metrics.Set("config_age_seconds", ToSeconds(now - this->config_since));
  }
  const bool owns = this->scheduler != nullptr && !this->takeover;
  metrics.Set("owner", owns ? 1 : 0);
  metrics.Set("fence", static_cast<double>(this->fence));
  if (!owns || !this->fleet_config) {
    return;
  }
  metrics.Set("jobs", static_cast<double>(this->scheduler->job_count()));
  const auto due = this->scheduler->CountDue(net::WallMs());
  metrics.Set("due_occurrences", static_cast<double>(due.open),
              {{"state", "open"}});
  metrics.Set("due_occurrences", static_cast<double>(due.held),
              {{"state", "held"}});
  for (const auto& [id, queue] : this->fleet_config->queues) {
    metrics.Set("jobs_pending",
                static_cast<double>(this->scheduler->Pending(id)),
                {{"queue", id.str()}});
  }
  for (const auto& [id, pool] : this->fleet_config->pools) {
    PublishPool(metrics, id.str(), this->scheduler->DemandOf(id, now));
  }
  const auto& use = this->scheduler->team_usage();
  for (const auto& [id, team] : this->fleet_config->teams) {
    const auto found = use.find(id);
    metrics.Set("team_cores",
                found == use.end() ? 0 : Cores(found->second.cpu_m),
                {{"team", id.str()}, {"amount", "used"}});
    metrics.Set("team_cores", Cores(team.maximum.cpu_m),
                {{"team", id.str()}, {"amount", "limit"}});
  }
  PublishVms(metrics, *this->scheduler);
  metrics.Set("relays", static_cast<double>(this->roster->relay_count()));
  metrics.Set("vm_calls_open",
              static_cast<double>(this->roster->open_call_count()));
  if (const auto room = this->roster->StartRoom()) {
    metrics.Set("start_room", static_cast<double>(*room));
  }
  PublishMachines(metrics, this->planner->machines());
}

}  // namespace kch::app
