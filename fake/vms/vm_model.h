#ifndef FAKE_VMS_VM_MODEL_H_
#define FAKE_VMS_VM_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jobs/jobs.h"

namespace kch::fake {

/*! @brief A run on a fake VM. */
struct VmRun {
  jobs::TaskRef task;
  std::int64_t run = 0;
  std::int64_t remaining_ms = 0;
  bool endless = false;
  bool gang = false;
  std::int64_t waited_ms = 0;  // for the other members of its gang
  bool fails = false;
  bool stopping = false;
  std::int64_t stops_at_ms = 0;
  jobs::Resources occupied;
  jobs::Resources need;
  TeamId team;
  std::int32_t percent = 100;
};

/*! @brief A VM of the users' platform: leases, fences, lists of runs and ends.
 */
struct FakeVm {
  jobs::VmFacts facts;
  std::int64_t clock_offset_ms = 0;
  double clock_rate = 1;      // against the time of the model
  std::int64_t lapse_ms = 0;  // from the end of its lease to that of its runs
  std::uint64_t fence = 0;
  std::int64_t lease_until_ms = 0;  // on its clock
  std::map<std::string, VmRun> runs;
  std::map<std::string, std::int64_t>
      refused_runs;  // runs up to here are refused
  std::deque<jobs::EndedRow> ended;
  std::int64_t last_number = 0;
  std::int64_t lapsed_end = 0;  // ends up to here precede a lapse of its lease
  // Ends of `done` runs whose tasks have been started since.
  std::set<std::int64_t> repeated_ends;
  bool unresponsive = false;         // does not answer, but its runs continue
  bool refuses_connections = false;  // orders to it are not sent
  bool fails_all = false;
  bool drops_responses = false;  // carries out orders without an answer
  // Orders to start and stop runs are carried out this much later, without an
  // answer.
  std::int64_t order_delay_ms = 0;
  std::int64_t stop_ms = 40;  // from an order to stop until the run has ended
  std::int64_t tail_ms = 0;   // gauge of serving tasks

  /*! @brief Restarts under its id without any earlier state; its clock starts
   * anew. */
  void Restart(Time now);
};

/*! @brief The advice service: which VMs may run a step of an advised queue. */
struct FakeAdvice {
  struct Permit {
    std::string step;
    std::string vm;
    std::int64_t boot_ms = 0;
    Time valid_until;
  };
  std::map<std::string, Permit> permits;  // by token
  std::function<bool(const std::string& job, const std::string& vm)> allows =
      [](const std::string&, const std::string&) { return true; };
  std::int64_t valid_ms = 3000;
  std::int64_t decision_ms = 20;
  std::int64_t per_vm_ms = 2;
  bool down = false;  // refuses questions
  int open_requests = 0;
  int max_open_requests = 0;  // questions at once
  int request_count = 0;
  int refused_starts = 0;  // without a valid permit

  /*! @brief Time to answer a request. */
  [[nodiscard]] std::int64_t DelayMs(
      const jobs::RequestAdvice& advice_request) const;
};

/*! @brief The platform's VMs, without any transport and with the time passed
 * in, so that one model serves tests in virtual time and stand-ins over
 * sockets. Checks the invariants at each start of a task. */
class VmModel {
 public:
  VmModel();

  /*! @brief Adds a VM that is up. */
  FakeVm& Add(const std::string& id,
              const std::string& pool,
              jobs::Resources capacity,
              const std::string& rack);
  /*! @brief Advances all runs by a time that ends at `now`. */
  void RunTasks(std::int64_t ms);

  // Calls of VMs.
  jobs::StartAnswer HandleStart(FakeVm& vm,
                                const jobs::StartRun& order,
                                std::uint64_t sender_fence);
  /*! @brief False: the fence is too low. */
  bool HandleStop(FakeVm& vm,
                  const jobs::StopRun& order,
                  std::uint64_t sender_fence);
  bool HandlePace(FakeVm& vm,
                  const jobs::PaceRun& order,
                  std::uint64_t sender_fence);
  /*! @brief Renews the lease and acknowledges ends. */
  bool HandlePoll(FakeVm& vm,
                  const jobs::PollVm& poll,
                  std::uint64_t sender_fence);
  [[nodiscard]] jobs::VmReport ReportOf(const FakeVm& vm) const;
  [[nodiscard]] std::int64_t ClockOf(const FakeVm& vm) const;
  /*! @brief Permits of the requested VMs that may run the step. */
  std::map<VmId, std::string> Advise(const jobs::RequestAdvice& advice_request);

  [[nodiscard]] bool Runs(const std::string& task) const;
  /*! @brief What VMs have done to the runs of each task, a line each. */
  [[nodiscard]] const std::map<std::string, std::vector<std::string>>& history()
      const {
    return this->run_history;
  }
  [[nodiscard]] std::int64_t starts() const { return this->start_count; }

  jobs::FleetConfig config;
  std::map<std::string, std::unique_ptr<FakeVm>> vms;
  std::map<jobs::JobId, jobs::JobSpec> submitted;
  FakeAdvice advice;
  std::vector<std::string> violations;
  std::vector<std::string> endless_stopped;  // endless tasks ended by a stop
  std::int64_t max_lease_ms = 6000;          // longer leases are cut to this
  std::size_t max_listed_ends = 500;         // in one report, the earliest
  Time now{std::chrono::seconds(1000)};

 private:
  void End(FakeVm& vm, const std::string& task, jobs::RunEnd how);
  void Note(const FakeVm& vm,
            const std::string& task,
            std::int64_t run,
            const std::string& event);
  void CheckStart(const FakeVm& vm, const VmRun& run);
  void ExtendLease(FakeVm& vm, std::int64_t until_ms) const;
  /*! @brief True if all members of a gang's run are present or done. */
  [[nodiscard]] bool GangAssembled(const VmRun& run) const;
  [[nodiscard]] bool HasValidPermit(const FakeVm& vm,
                                    const jobs::StartRun& order) const;

  std::set<std::string> done;  // tasks whose end was acknowledged
  std::set<std::string> ever_done;
  std::map<std::string, std::vector<std::string>> run_history;  // by task
  std::int64_t start_count = 0;
};

}  // namespace kch::fake

#endif  // FAKE_VMS_VM_MODEL_H_
