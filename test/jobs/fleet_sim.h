#ifndef TEST_JOBS_FLEET_SIM_H_
#define TEST_JOBS_FLEET_SIM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fake/vms/vm_model.h"
#include "jobs/jobs.h"

namespace kch::jobs::test {

using fake::FakeVm;

// The store's records of progress and of ends.
struct SimStore {
  struct Record {
    std::uint64_t revision = 0;
    std::string value;
  };
  std::map<JobId, Record> records;
  std::map<JobId, Record> ended;
  std::uint64_t revision = 100;
  bool down = false;
  bool drops_responses = false;
  // Share of the transactions whose answers are lost; they end without one
  // after `response_timeout_ms`.
  double lost_share = 0;
  std::int64_t response_timeout_ms = 500;
  std::mt19937 random{7};
  std::size_t max_entries = 0;  // largest transaction seen
};

// Drives a scheduler against VMs and a store in virtual time.
class FleetSim : public fake::VmModel {
 public:
  FleetSim();

  FakeVm& AddVm(const std::string& id,
                const std::string& pool,
                Resources capacity,
                const std::string& rack = "r1");
  // Submits a job and stores it.
  void Submit(JobSpec spec);
  void Cancel(const std::string& job);
  // Advances the time in steps of 5 ms.
  void Run(std::int64_t ms);
  // Runs until a condition holds, at most this long; false if it does not.
  bool RunUntil(const std::function<bool()>& done, std::int64_t limit_ms);
  // The same for the completion of a job.
  bool Completes(const std::string& job, std::int64_t limit_ms);
  // Replaces the scheduler by one that has only the store and the VMs to
  // recover from.
  void Takeover();
  // A VM's registration is removed, as after missed heartbeats, or returns.
  void Deregister(const std::string& vm);
  void Register(const std::string& vm);

  // Unix time by the present scheduler's clock.
  [[nodiscard]] std::int64_t WallMs() const;
  [[nodiscard]] JobState StateOf(const std::string& job) const;

  Limits limits;
  SimStore store;
  std::unique_ptr<Scheduler> scheduler;
  std::set<JobId> cancelled;
  std::set<std::string> unregistered;
  std::map<std::string, VmRecord> persisted_vms;  // stored for successors
  std::map<VmId, std::int64_t> ended;
  std::vector<LogEvent> log_events;
  std::int64_t wall_offset_ms = 0;  // of the present scheduler's wall clock
  // After a takeover, until the records of ended jobs are read.
  std::int64_t ended_read_ms = 0;

 private:
  struct EffectVisitor;
  void RunAfter(std::int64_t ms, std::function<void()> action);
  void HandleAdviceRequest(const RequestAdvice& advice_request,
                           std::uint64_t sender_fence);
  void Write(const WriteRecords& write, std::uint64_t fence);
  void RunScheduler();
  void ReadEndedJobs();

  std::uint64_t fence = 1;
  std::multimap<Time, std::function<void()>> events;
};

// A process that does not renew its lease of the fleet for this long has lost
// it (lead::kOwnerLease).
inline constexpr double kOwnerLeaseS = 2;

// Processor time that an action takes, in seconds.
[[nodiscard]] double ProcessorSeconds(const std::function<void()>& action);

// A job of one step of `count` tasks of `cpu_m` that run `ms` each.
[[nodiscard]] JobSpec SimpleJob(const std::string& id,
                                const std::string& queue,
                                std::int32_t count,
                                std::int64_t cpu_m,
                                std::int64_t ms);

}  // namespace kch::jobs::test

#endif  // TEST_JOBS_FLEET_SIM_H_
