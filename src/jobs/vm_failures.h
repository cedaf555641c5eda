#ifndef JOBS_VM_FAILURES_H_
#define JOBS_VM_FAILURES_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>

#include "base/time.h"
#include "jobs/model.h"

namespace kch::jobs {

/*! @brief Tells failures of runs that are their VM's fault from those that are
 * their step's.
 *
 * A failure counts against its VM unless tasks of the step have failed on other
 * VMs as well and none has been done. */
class VmFailures {
 public:
  /*! @brief A step of a job; its tasks are equal, so they fail alike. */
  struct StepKey {
    JobId job;
    std::int32_t step = 0;

    auto operator<=>(const StepKey&) const = default;
  };

  /*! @brief A run failed; `has_done` tells that a task of the step has been
   * done. Returns the VM against which an earlier failure of the step no longer
   * counts because of this one, if any. */
  std::optional<VmId> OnFailure(const VmId& vm,
                                const StepKey& step,
                                bool has_done,
                                Time now);
  /*! @brief A task of the step is done, so its failures count. */
  void OnDone(const StepKey& step);
  /*! @brief A run has succeeded on the VM, or the VM has ended: earlier
   * failures there no longer count against it. */
  void Clear(const VmId& vm);
  /*! @brief True if the latest failure of the step on the VM counts against the
   * VM. */
  [[nodiscard]] bool Counts(const VmId& vm, const StepKey& step) const;
  /*! @brief True if failures of at least `jobs` different jobs count against
   * the VM. */
  [[nodiscard]] bool FailsJobs(const VmId& vm, std::size_t jobs) const;

 private:
  struct Failure {
    Time at;               // the latest one
    bool cleared = false;  // the VM has proved sound since
  };
  struct StepFailures {
    std::map<VmId, Failure> by_vm;
    bool has_done = false;
  };
  // An entry of `steps` that is removed unless a failure follows.
  struct Expiry {
    Time at;
    StepKey step;
    VmId vm;
  };

  void RemoveOld(Time now);

  std::map<StepKey, StepFailures> steps;
  std::map<VmId, std::set<StepKey>> steps_by_vm;
  std::deque<Expiry> expiries;  // one for each step and VM, oldest first
};

}  // namespace kch::jobs

#endif  // JOBS_VM_FAILURES_H_
