#ifndef TEST_ENGINE_FAKE_WORKER_H_
#define TEST_ENGINE_FAKE_WORKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/base.h"
#include "engine/engine.h"

namespace kch::engine::test {

/*! @brief Fault of a fake worker. */
enum class WorkerFault : std::uint8_t {
  kNone,
  kFailAll,       // every task fails at once
  kRefuse,        // refuses every start
  kDropResults,   // tasks run, but the waiting connection gets no answer
  kUnresponsive,  // tasks run, but no connection is answered
};

/*! @brief Fake worker in virtual time with slots, leases, results and
 * attach. */
struct FakeWorker {
  using Answer = std::function<void(AttemptResult)>;

  struct Task {
    TaskId id;
    Job job;
    bool running = true;
    Time ends;
    Time lease_ends;
    AttemptResult result;
    std::vector<Answer> waiting;
  };

  VmId vm;
  ZoneId zone;
  std::int64_t slots = 8;
  WorkerFault fault = WorkerFault::kNone;
  PoolId pool;
  std::map<TaskId, Task> tasks;
  std::set<TaskId> active;  // ids of running tasks

  [[nodiscard]] std::int64_t Running() const {
    return static_cast<std::int64_t>(this->active.size());
  }
};

}  // namespace kch::engine::test

#endif  // TEST_ENGINE_FAKE_WORKER_H_
