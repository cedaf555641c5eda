#ifndef APP_ENTRY_DRIVER_H_
#define APP_ENTRY_DRIVER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "app/entry/worker_client.h"
#include "engine/engine.h"
#include "net/net.h"

namespace kch::app {

/*! @brief Clients and logs that a driver uses. */
struct DriverParts {
  net::HttpClient& traffic;  // to targets
  net::HttpClient& control;  // to the platform
  net::PeerBus& bus;
  net::StoreClient& store;
  net::EventLog& events;
  net::Metrics& metrics;
  std::string platform;  // host:port of the VM list
};

/*! @brief Runs an entry's decisions on the calling thread and performs their
 * effects through the adapters' threads. */
class Driver {
 public:
  using OnOutcome = std::function<void(engine::Outcome)>;
  using OnChange = std::function<void(engine::ReplyOperator)>;

  Driver(engine::Entry& entry, DriverParts parts);

  /*! @brief Handles events until the entry has shut down. */
  void Run();
  /*! @brief Queues an event for the control thread. Any thread. */
  void Post(engine::Event event);
  /*! @brief Queues a caller's event whose answer goes to `done`. The event's
   * call number is set here. Any thread. */
  void Call(engine::CallerRequest request, OnOutcome done);
  void Call(engine::CancelRequest request, OnOutcome done);
  void Call(engine::OperatorChange request, OnChange done);
  /*! @brief Runs a function on the control thread. Any thread. */
  void Inspect(std::function<void(const engine::Entry&)> function);
  /*! @brief The configuration in force. Any thread. */
  [[nodiscard]] std::shared_ptr<const config::State> configuration() const;
  /*! @brief Whether callers may be sent here. Any thread. */
  [[nodiscard]] bool ready() const { return this->is_ready; }

 private:
  friend struct EffectVisitor;

  void Handle(engine::Event event);
  void OnTick();
  void ReadVmList();

  engine::Entry& entry;
  DriverParts parts;
  WorkerClient workers;
  asio::io_context context;
  asio::steady_timer timer;
  std::uint64_t last_call = 0;
  std::map<engine::CallId, OnOutcome> callers;
  std::map<engine::CallId, OnChange> operators;
  Time next_vm_list;
  std::uint64_t listed_members = 0;  // version of their record at the last read
  bool vm_list_pending = false;
  std::uint64_t vm_list_version = 0;
  std::atomic<bool> is_ready = false;
  std::atomic<std::shared_ptr<const config::State>> published;
};

}  // namespace kch::app

#endif  // APP_ENTRY_DRIVER_H_
