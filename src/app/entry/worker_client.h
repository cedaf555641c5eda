#ifndef APP_ENTRY_WORKER_CLIENT_H_
#define APP_ENTRY_WORKER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

#include "engine/engine.h"
#include "net/net.h"

namespace kch::app {

/*! @brief Starts, follows and orders tasks on workers over HTTP. */
class WorkerClient {
 public:
  /*! @brief Called on the HTTP client's thread; must not block. */
  using OnEvent = std::function<void(engine::Event)>;

  /*! @brief The HTTP client must outlive this object's calls. */
  WorkerClient(net::HttpClient& client, OnEvent on_event);

  void Start(engine::StartTask start);
  void Attach(const engine::AttachTask& attach);
  void Abort(const TaskId& task);
  void Poll(const engine::PollWorker& poll);
  void Order(const engine::OrderTask& order);

 private:
  void Follow(const TaskId& task, net::HttpCall call, bool attach);

  net::HttpClient& client;
  OnEvent on_event;
  std::mutex mutex;
  std::map<TaskId, std::uint64_t> calls;  // calls that wait for a task
};

/*! @brief Reads a worker's answer about a task. `attach`: the answer is to a
 * GET of the task, so that 404 means that the worker does not know it. */
[[nodiscard]] engine::AttemptResult ParseAnswer(const TaskId& task,
                                                net::HttpResult result,
                                                bool attach);

}  // namespace kch::app

#endif  // APP_ENTRY_WORKER_CLIENT_H_
