#include <algorithm>
#include <utility>

#include "jobs/scheduler.h"

// Permits of the advice service, which decides which VMs may run a step of an
// advised queue. It handles one request of an instance at a time, and its
// response time grows with each VM named. So the request for the most urgent
// step is sent first, and names only VMs that have room for its tasks now.

namespace kch::jobs {
namespace {

// VMs named in one request: the platform's objective for a step allows for one
// request with this many.
constexpr std::size_t kMaxVmsPerRequest = 30;
// Pause after a request that the service refused or did not answer; it refuses
// requests while many are queued.
constexpr auto kAdviceRetry = std::chrono::milliseconds(300);
// A permit must still be valid when the order arrives at its VM.
constexpr auto kOrderDeliveryTime = std::chrono::milliseconds(200);

}  // namespace

const std::string* Scheduler::PermitOf(const StepRef& step_ref,
                                       const VmId& vm,
                                       Time now) const {
  const auto row = this->advice.find(step_ref);
  if (row == this->advice.end()) {
    return nullptr;
  }
  const auto permit = row->second.permits.find(vm);
  return permit != row->second.permits.end() &&
                 permit->second.valid_until > now + kOrderDeliveryTime
             ? &permit->second.token
             : nullptr;
}

// Prepares a request for the VMs that lack only the permit to run a task of the
// step.
void Scheduler::PrepareAdviceRequest(const RankedStep& ranked,
                                     const Pool& pool,
                                     Time now) {
  const StepRef& step_ref = ranked.step_ref;
  if (!this->QueueOf(*step_ref.job).advised || this->advice_pending ||
      now < this->advice_not_before ||
      (this->advice_request && this->advice_request->first <= ranked.rank)) {
    return;
  }
  const StepSpec& spec = step_ref.spec();
  const auto known = this->advice.find(step_ref);
  std::vector<const Vm*> candidates;
  for (const auto& [id, vm] : pool.vms) {
    const bool denied =
        known != this->advice.end() && known->second.denied.contains(id);
    if (!denied && this->Usable(*vm, now) &&
        spec.Occupies().Within(vm->Free()) && vm->facts.HasLabel(spec.label) &&
        this->PermitOf(step_ref, id, now) == nullptr) {
      candidates.push_back(vm);
    }
  }
  if (candidates.empty()) {
    return;
  }
  std::ranges::stable_sort(
      candidates, [&spec](const Vm* left, const Vm* right) {
        const bool left_near = left->facts.rack == spec.preferred_rack;
        const bool right_near = right->facts.rack == spec.preferred_rack;
        return left_near != right_near ? left_near
                                       : left->FreeShare() > right->FreeShare();
      });
  candidates.resize(std::min(candidates.size(), kMaxVmsPerRequest));
  RequestAdvice ask{
      step_ref.job->spec.id, step_ref.occurrence, step_ref.step, {}};
  for (const Vm* vm : candidates) {
    ask.vms.push_back(vm->facts.id);
  }
  this->advice_request = {ranked.rank, std::move(ask)};
}

void Scheduler::SendAdviceRequest() {
  if (this->advice_request) {
    this->advice_pending = true;
    this->effects.emplace_back(std::move(this->advice_request->second));
    this->advice_request.reset();
  }
}

void Scheduler::OnAdvice(const RequestAdvice& asked,
                         const std::map<VmId, std::string>& permits,
                         Duration valid_for,
                         Time now) {
  this->advice_pending = false;
  this->EmitLogEvent("advice", {{"job", asked.job.str()},
                                {"step", std::to_string(asked.occurrence) +
                                             "." + std::to_string(asked.step)},
                                {"asked", std::to_string(asked.vms.size())},
                                {"allowed", std::to_string(permits.size())},
                                {"valid_ms", std::to_string(ToMs(valid_for))}});
  Job* job = this->FindJob(asked.job);
  if (job == nullptr || job->Ended() || !job->open.contains(asked.occurrence)) {
    return;
  }
  Advice& row = this->advice[{job, asked.occurrence, asked.step}];
  for (const VmId& vm : asked.vms) {
    const auto permit = permits.find(vm);
    if (this->FindVm(vm) == nullptr) {
      continue;  // removed while the request was pending
    }
    if (permit == permits.end()) {
      row.denied.insert(vm);
    } else {
      row.permits[vm] = {permit->second, now + valid_for};
    }
  }
}

void Scheduler::OnAdviceFailed(Time now) {
  this->advice_pending = false;
  this->advice_not_before = now + kAdviceRetry;
}

// A permit is valid only for one incarnation of its VM, and the next one may
// differ in kind.
void Scheduler::DropAdvice(const VmId& vm) {
  for (auto& [step_ref, row] : this->advice) {
    row.permits.erase(vm);
    row.denied.erase(vm);
  }
}

// Without an occurrence, drops the advice for all occurrences.
void Scheduler::DropAdvice(Job& job, std::optional<std::int32_t> occurrence) {
  auto row = this->advice.lower_bound({&job, occurrence.value_or(0), 0});
  while (row != this->advice.end() && row->first.job == &job &&
         (!occurrence || row->first.occurrence == *occurrence)) {
    row = this->advice.erase(row);
  }
}

}  // namespace kch::jobs
