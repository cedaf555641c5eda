#ifndef TEST_ENGINE_FLEET_H_
#define TEST_ENGINE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "engine/engine.h"
#include "test/engine/fake_store.h"
#include "test/engine/fake_worker.h"

namespace kch::engine::test {

/*! @brief Sizes, delays and fault rates of a simulated fleet. */
struct FleetOptions {
  std::uint64_t seed = 1;
  int entries = 3;
  int vms = 6;  // spread over 3 zones
  int slots = 4;
  Duration tick = std::chrono::milliseconds(20);
  Duration latency = std::chrono::milliseconds(1);
  Duration jitter = std::chrono::milliseconds(3);
  double drop = 0;        // of messages between entries
  double duplicate = 0;   // of messages between entries
  double lose_reply = 0;  // of store writes: applied, but the reply is lost
  // Sizes of the pools p0, p1, ... instead of the one pool p of `vms`.
  std::vector<int> pool_vms;
  bool measure_cpu = false;  // measures the CPU time of Step
  Settings settings = DefaultSettings();

  /*! @brief Settings with short leases, so that tests of expiry are short. */
  static Settings DefaultSettings();
};

/*! @brief Store operations, messages and CPU time of an entry so far. */
struct NodeCounters {
  std::uint64_t reads = 0;
  std::uint64_t writes = 0;
  std::uint64_t watches = 0;  // watch replies received
  std::uint64_t messages = 0;
  double step_seconds = 0;  // with FleetOptions::measure_cpu
};

/*! @brief A caller's request and its outcome. */
struct Caller {
  ProfileId profile;
  std::string request_id;
  std::string body;
  bool repeatable = true;
  Time sent;
  int entry = 0;
  std::uint64_t incarnation = 0;  // of the entry that holds the connection
  std::optional<Outcome> outcome;
  Time answered;
};

/*! @brief Callbacks for benchmarks; empty functions are skipped. */
struct FleetHooks {
  // A job's body starts with the number of its caller; see CallerOf.
  std::function<void(const FakeWorker&, const Job&, int entry)> on_start;
  std::function<void(const FakeWorker&, const Job&, AttemptStatus)> on_end;
  std::function<void(const Caller&, std::size_t number)> on_answer;
  std::function<void(int entry, const Message&)> on_message;
  // Called after a write took effect, before its reply and watch updates are
  // sent.
  std::function<void(const std::string& key)> on_write;
};

/*! @brief Simulates several entries over in-memory fakes in virtual time. One
 * seeded generator decides all delays and faults, so that a seed reproduces a
 * run. Every start on a worker and every answer is checked against the
 * invariants; the first violation is stored in `violation`. */
class Fleet {
 public:
  explicit Fleet(const FleetOptions& options);

  /*! @brief Advances virtual time. */
  void Run(Duration duration);
  /*! @brief Advances time until a condition holds; false if it does not hold
   * within the bound. */
  bool RunUntil(const std::function<bool()>& condition, Duration bound);

  /*! @brief Proposes a change at an entry and returns its number. */
  std::size_t Change(int entry, config::Change change);
  /*! @brief Applies the standard configuration: zones z0-z2, pool p, teams a
   * and b, queue q (and `night`, preemptible) and keys. */
  void Configure(std::uint32_t limit_a, std::uint32_t limit_b);
  /*! @brief Applies changes one after the other, then advances time by a
   * second. */
  void Apply(const std::vector<config::Change>& wanted);
  /*! @brief The secret that Submit sends for a team. */
  [[nodiscard]] static std::string SecretOf(const std::string& team);
  /*! @brief Number of the caller whose request a job is. */
  [[nodiscard]] static std::size_t CallerOf(const Job& job);
  /*! @brief Sends a request and returns its number. */
  std::size_t Submit(int entry,
                     const std::string& team,
                     Duration run,
                     const std::string& request_id = "",
                     bool repeatable = true,
                     const std::string& profile = "q",
                     std::int64_t deadline_ms = 20'000);

  void Kill(int entry);
  /*! @brief Starts an entry again under its name, with a new incarnation. */
  void Restart(int entry);
  void Pause(int entry);
  void Resume(int entry);
  void Shutdown(int entry);
  /*! @brief Drops all messages between two entries in both directions, or
   * delivers them again. */
  void SetPartitioned(int first, int second, bool partitioned);
  /*! @brief Starts or ends a store outage: operations fail, some of them after
   * taking effect. */
  void SetStoreDown(bool down);
  FakeWorker& worker(int vm) { return this->workers[vm]; }
  [[nodiscard]] int worker_count() const {
    return static_cast<int>(this->workers.size());
  }
  [[nodiscard]] const NodeCounters& counters(int index) const {
    return this->nodes[index].counters;
  }
  [[nodiscard]] std::size_t watches(int index) const {
    return this->nodes[index].watches.size();
  }
  /*! @brief Sets the state of a VM in the pool's record, as a maintainer would;
   * does nothing while the store is down. */
  void SetVmState(int vm, maintain::VmState state);

  [[nodiscard]] const Entry& entry(int index) const {
    return *this->nodes[index].entry;
  }
  [[nodiscard]] bool alive(int index) const { return this->nodes[index].alive; }
  [[nodiscard]] Time now() const { return this->clock; }
  [[nodiscard]] std::int64_t Running(const std::string& team) const;
  /*! @brief Callers without an answer whose entry still runs. */
  [[nodiscard]] std::size_t Unanswered() const;
  /*! @brief The entry that schedules pool p according to the members that
   * `entry` has read. */
  [[nodiscard]] int SchedulerAccordingTo(int entry) const;
  [[nodiscard]] std::map<std::string, int> Outcomes() const;

  std::vector<Caller> callers;
  std::vector<std::optional<ReplyOperator>> changes;
  std::string violation;  // first violated invariant; empty if none
  Random random;
  FakeStore store;
  // If set, receives the timeline of all entries.
  std::ostream* trace = nullptr;
  FleetHooks hooks;
  std::uint64_t starts = 0;
  std::uint64_t steps = 0;

 private:
  struct Node {
    InstanceId name;
    std::unique_ptr<Entry> entry;
    bool alive = false;
    bool paused = false;
    std::uint64_t incarnation = 0;
    std::vector<Event> deferred_events;  // arrived during a pause
    std::set<std::string> watches;
    std::map<CallId, std::size_t> calls;
    std::map<CallId, std::size_t> operator_calls;
    // Tasks whose connection was aborted; their answers are dropped.
    std::set<TaskId> aborted;
    NodeCounters counters;
  };
  struct Scheduled {
    Time at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator>(const Scheduled& other) const {
      return std::tie(this->at, this->order) > std::tie(other.at, other.order);
    }
  };
  friend struct FleetEffects;

  void After(Duration delay, std::function<void()> action);
  [[nodiscard]] Duration Delay();
  [[nodiscard]] bool Chance(double probability);
  void AddPool(const std::string& name, int vms);
  void Start(int index);
  void TickNode(int index, std::uint64_t incarnation);
  void Deliver(int index, std::uint64_t incarnation, Event event);
  void Perform(int index, Effects effects);
  void SendStore(int index, StoreRequest request);
  void NotifyWatches(const std::string& key);
  void StartOnWorker(int index, const StartTask& start);
  void AttachOnWorker(int index, const AttachTask& attach);
  void Poll(int index, const PollWorker& poll);
  void Order(const OrderTask& order);
  void EndTask(FakeWorker& worker, const TaskId& task, AttemptStatus status);
  void CheckLease(int vm, const TaskId& task);
  void CheckStart(const FakeWorker& worker, const Job& job, bool resumed);
  void CheckAnswer(const Caller& caller);
  void RecordChange(std::size_t number);
  void RecordHead();
  void ReportViolation(const std::string& what);
  [[nodiscard]] int WorkerAt(const std::string& address) const;

  FleetOptions options;
  Time clock{std::chrono::seconds(1000)};
  std::uint64_t scheduled = 0;
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> queue;
  std::vector<Node> nodes;
  std::vector<FakeWorker> workers;
  std::map<std::string, std::int64_t> running;  // by team
  std::set<std::pair<int, int>> partitions;
  bool store_down = false;
  CallId last_call = 0;
  std::uint64_t last_incarnation = 0;
  std::vector<config::Change> proposed;
  // Reference state of the invariant checks.
  std::map<ZoneId, Time> zone_out_since;
  std::map<ZoneId, std::uint64_t> zone_in_revision;
  std::map<std::string, Time> key_withdrawn_since;  // by team
  // Unrepeatable, without resumed runs.
  std::map<std::string, int> runs_by_request;
  std::map<std::string, int> runs_by_body;
  std::map<std::string, Time> vm_left_since;
  std::set<std::string> not_run_bodies;
};

}  // namespace kch::engine::test

#endif  // TEST_ENGINE_FLEET_H_
