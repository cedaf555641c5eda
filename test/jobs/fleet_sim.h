#ifndef TEST_JOBS_FLEET_SIM_H_
#define TEST_JOBS_FLEET_SIM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "jobs/jobs.h"

namespace kch::jobs::test {

// A VM of the platform in virtual time: leases, fences, lists of runs and ends.
struct SimVm {
  struct SimRun {
    TaskRef task;
    std::int64_t run = 0;
    std::int64_t left_ms = 0;
    bool endless = false;
    bool fails = false;
    bool stopping = false;
    std::int64_t stops_at_ms = 0;
    Resources occupied;
    Resources need;
    TeamId team;
    std::int64_t gauge = 0;
    std::int32_t percent = 100;
  };

  VmFacts facts;
  std::int64_t clock_offset_ms = 0;
  std::uint64_t fence = 0;
  std::int64_t until_ms = 0;  // on its clock
  std::map<std::string, SimRun> runs;
  std::map<std::string, std::int64_t> barred;  // runs up to here are refused
  std::deque<EndedRow> ended;
  std::int64_t last_number = 0;
  bool dark = false;  // answers nothing, but runs on
  bool fails_all = false;
  bool loses_answers = false;  // carries out orders without an answer
  std::int64_t tail_ms = 0;    // gauge of serving tasks
};

// The store's progress records.
struct SimStore {
  struct Record {
    std::uint64_t revision = 0;
    std::string value;
  };
  std::map<JobId, Record> records;
  std::uint64_t revision = 100;
  bool down = false;
  bool loses_answers = false;
  std::size_t most_entries = 0;  // largest transaction seen
};

// Drives a scheduler against VMs and a store and checks what must always hold
// at each start of a task. Breaches are collected as text.
class FleetSim {
 public:
  FleetSim();

  SimVm& AddVm(const std::string& id,
               const std::string& pool,
               Resources capacity,
               const std::string& rack = "r1");
  // Submits a job; it is in the store from then on.
  void Submit(JobSpec spec);
  void Cancel(const std::string& job);
  // Advances the time in steps of 5 ms.
  void Run(std::int64_t ms);
  // Runs until a condition holds, at most this long; false if it does not.
  bool RunUntil(const std::function<bool()>& done, std::int64_t most_ms);
  // Replaces the scheduler by one that knows only the store and the VMs.
  void Takeover();
  // A VM's registration is removed, as after missed heartbeats, or returns.
  void Deregister(const std::string& vm);
  void Register(const std::string& vm);

  [[nodiscard]] JobState StateOf(const std::string& job) const;
  [[nodiscard]] std::int64_t starts() const { return this->start_count; }
  [[nodiscard]] bool Runs(const std::string& task) const;

  FleetConfig config;
  Limits limits;
  std::map<std::string, std::unique_ptr<SimVm>> vms;
  SimStore store;
  std::unique_ptr<Scheduler> scheduler;
  std::vector<std::string> breaches;
  std::map<JobId, JobSpec> submitted;
  std::set<JobId> cancelled;
  std::set<std::string> unregistered;
  std::set<std::string> kept;  // VMs stored for successors
  std::map<VmId, std::int64_t> ended;
  std::vector<Note> notes;
  Time now{std::chrono::seconds(1000)};

 private:
  struct Visitor;
  void Later(std::int64_t ms, std::function<void()> action);
  void Work(SimVm& vm, std::int64_t ms);
  void End(SimVm& vm, const std::string& task, RunEnd how);
  void CheckStart(const SimVm& vm, const SimVm::SimRun& run);
  std::int64_t ClockOf(const SimVm& vm) const;
  void Acknowledge(SimVm& vm, std::int64_t last_seen);
  VmReport ReportOf(const SimVm& vm) const;
  StartAnswer Carry(SimVm& vm, const StartRun& order, std::uint64_t fence);
  void Write(const WriteRecords& write, std::uint64_t fence);
  void Turn();

  std::uint64_t fence = 1;
  std::multimap<Time, std::function<void()>> events;
  std::set<std::string> done;  // tasks whose end was acknowledged
  std::set<std::string> ever_done;
  std::int64_t start_count = 0;
};

// A job of one step of `count` tasks of `cpu_m` that run `ms` each.
[[nodiscard]] JobSpec SimpleJob(const std::string& id,
                                const std::string& queue,
                                std::int32_t count,
                                std::int64_t cpu_m,
                                std::int64_t ms);

}  // namespace kch::jobs::test

#endif  // TEST_JOBS_FLEET_SIM_H_
