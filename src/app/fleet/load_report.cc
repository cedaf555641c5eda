#include <chrono>

#include "app/fleet/driver.h"
#include "app/fleet/keys.h"

// What the owner tells the other processes about the load.

namespace kch::app {

void Driver::ReportLoad(Time now) {
  if (now < this->next_load_report || !this->fleet_config ||
      this->scheduler->recovering()) {
    return;
  }
  this->next_load_report = now + admit::kReportInterval;
  admit::LoadReport report;
  for (const auto& [id, facts] : this->fleet_config->pools) {
    const auto demand = this->scheduler->DemandOf(id, now);
    admit::PoolBacklog backlog{.capacity = demand.capacity +
                                           this->mover->Arriving(id) -
                                           demand.endless};
    for (const auto& row : this->scheduler->QueuedWorkOf(id, now)) {
      const auto queue = this->fleet_config->queues.find(row.queue);
      const auto team = this->fleet_config->teams.find(row.team);
      backlog.teams.push_back(
          {.queue = row.queue,
           .priority = queue == this->fleet_config->queues.end()
                           ? 0
                           : queue->second.priority,
           .team = row.team,
           .weight = team == this->fleet_config->teams.end()
                         ? 1
                         : team->second.weight,
           .resource_ms = row.resource_ms});
    }
    admit::AddWaits(backlog, report);
  }
  if (report.queues.empty() && this->last_load.queues.empty()) {
    return;
  }
  for (const auto& [queue, load] : report.queues) {
    this->parts.metrics.Set("queue_wait_seconds", ToSeconds(load.wait),
                            {{"queue", queue.str()}});
    net::LogEvent("queue_wait",
                  {{"queue", queue.str()},
                   {"wait_ms", std::to_string(ToMs(load.wait))},
                   {"teams", std::to_string(load.team_waits.size())}});
  }
  for (const auto& [queue, load] : this->last_load.queues) {
    if (!report.queues.contains(queue)) {
      this->parts.metrics.Set("queue_wait_seconds", 0,
                              {{"queue", queue.str()}});
    }
  }
  platform::Transaction transaction;
  transaction.conditions.push_back({std::string(kOwnerKey), this->fence});
  transaction.puts.push_back({std::string(kLoadKey), admit::Encode(report), 0});
  // Not repeated: the next report follows.
  this->parts.store.Write(transaction,
                          static_cast<int>(ToMs(admit::kReportInterval)),
                          [](const platform::WriteReply&) {});
  this->last_load = std::move(report);
}

}  // namespace kch::app
