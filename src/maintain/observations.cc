#include "maintain/observations.h"

#include <utility>

namespace kch::maintain {

void RecordWorkerReport(Observations& observations,
                        const VmId& vm,
                        std::string boot,
                        std::vector<TaskReport> tasks,
                        Time requested_at,
                        const Limits& limits) {
  const auto [found, is_new] = observations.workers.try_emplace(vm);
  auto& worker = found->second;
  if (!is_new && requested_at < worker.requested_at) {
    return;
  }
  // A task may have started and ended between two reports that are far apart.
  const bool continues =
      !is_new && worker.tasks.empty() && tasks.empty() && worker.boot == boot &&
      requested_at - worker.requested_at <= limits.max_report_age;
  if (!continues) {
    worker.idle_since = requested_at;
  }
  worker.boot = std::move(boot);
  worker.tasks = std::move(tasks);
  worker.requested_at = requested_at;
}

bool IsLost(const Observations& observations, const VmId& vm) {
  if (!observations.platform_vms_at) {
    return false;
  }
  const auto found = observations.platform_vms.find(vm);
  return found == observations.platform_vms.end() || !found->second.up;
}

}  // namespace kch::maintain
