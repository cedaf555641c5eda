#include "maintain/facts.h"

#include <utility>

namespace kch::maintain {

void NoteWorker(Facts& facts,
                const VmId& vm,
                std::string boot,
                std::vector<TaskFact> tasks,
                Time asked_at,
                const Limits& limits) {
  const auto [found, is_new] = facts.workers.try_emplace(vm);
  auto& worker = found->second;
  if (!is_new && asked_at < worker.asked_at) {
    return;
  }
  // A task may have come and gone between two reports that are far apart.
  const bool continues = !is_new && worker.tasks.empty() && tasks.empty() &&
                         worker.boot == boot &&
                         asked_at - worker.asked_at <= limits.report_age;
  if (!continues) {
    worker.idle_since = asked_at;
  }
  worker.boot = std::move(boot);
  worker.tasks = std::move(tasks);
  worker.asked_at = asked_at;
}

bool IsLost(const Facts& facts, const VmId& vm) {
  if (!facts.listed_at) {
    return false;
  }
  const auto found = facts.listed.find(vm);
  return found == facts.listed.end() || !found->second.up;
}

}  // namespace kch::maintain
