#ifndef APP_MAINTAIN_DRIVER_H_
#define APP_MAINTAIN_DRIVER_H_

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/config.h"
#include "engine/message.h"
#include "maintain/maintain.h"
#include "member/member.h"
#include "net/net.h"

namespace kch::app {

/*! @brief Clients and logs that a driver uses. */
struct DriverParts {
  net::HttpClient& client;  // to the platform and to workers
  net::PeerBus& bus;
  net::StoreClient& store;
  net::EventLog& events;
  net::Metrics& metrics;
};

/*! @brief Names, addresses and periods of a driver. */
struct DriverOptions {
  InstanceId self;  // sender of peer messages
  std::uint64_t incarnation = 0;
  std::string bus_address;  // host:port at which entries reach the bus
  std::string platform;     // host:port
  maintain::Limits limits;
  Duration read_interval = std::chrono::seconds(1);
  std::uint64_t seed = 0;
};

/*! @brief An entry that this process observes. */
struct ObservedEntry {
  std::uint64_t incarnation = 0;
  std::string address;
  std::uint64_t sequence = 0;  // of the latest heartbeat
  Time heard_at;
  Time next_reconnect;
};

/*! @brief Runs a Maintainer on the calling thread and performs its effects
 * through the adapters' threads. */
class Driver {
 public:
  using OnResult = std::function<void(Result<void>)>;

  Driver(DriverOptions options, DriverParts parts);

  /*! @brief Handles events until Stop. */
  void Run();
  /*! @brief Ends Run. Nothing is lost, as each step is in the store. Any
   * thread. */
  void Stop();
  /*! @brief Takes a message from an entry. Any thread. */
  void Post(engine::Message message);
  /*! @brief Gives an order; `done` is called once it is in the record, refused
   * or overdue. Any thread. */
  void Give(maintain::Order order, OnResult done);
  /*! @brief Lists a new VM in a pool. Any thread. */
  void Register(PoolId pool, maintain::VmRow vm, OnResult done);
  /*! @brief Runs a function on the control thread. Any thread. */
  void Inspect(std::function<void(const Driver&)> function);
  /*! @brief Whether configuration and members are known. Any thread. */
  [[nodiscard]] bool ready() const { return this->is_ready; }

  /*! @brief The decisions and what they know. Control thread only, as the
   * following. */
  [[nodiscard]] const maintain::Maintainer& decisions() const {
    return this->maintainer;
  }
  /*! @brief Settings in force, made from the configuration. */
  [[nodiscard]] const maintain::Settings& settings() const {
    return this->current;
  }
  /*! @brief Configuration in force. */
  [[nodiscard]] const config::State& configuration() const {
    return *this->follower.state();
  }
  /*! @brief Entries by instance. */
  [[nodiscard]] const std::map<InstanceId, ObservedEntry>& entries() const {
    return this->observed;
  }

 private:
  friend struct EffectVisitor;

  struct PendingOrder {
    maintain::Order order;
    std::vector<OnResult> done;
    Time until;
  };
  struct WorkerPoll {
    bool pending = false;
    Time next;
  };
  struct PendingRegistration {
    maintain::Registration steps;
    OnResult done;
  };

  void Handle(const maintain::Event& event);
  void OnTick();
  void OnMessage(const engine::Message& message);
  void ReadHead();
  void OnHead(const StoreReply& reply);
  void ReadBase();
  void OnBase(const StoreReply& reply);
  void Configure();
  void ReadMembers();
  void OnMembers(const StoreReply& reply, Time asked_at);
  void ObserveEntries(Time now);
  void PollWorkers(Time now);
  void ReadVmList(Time now);
  void ExpireOrders(Time now);
  void FinishOrder(const maintain::OrderResult& result);
  void Continue(const std::shared_ptr<PendingRegistration>& registration,
                maintain::Registration::Next next);
  void NoteChanges();
  void Note(std::string_view kind,
            const VmId& vm,
            const ZoneId& zone,
            const PoolId& pool,
            const std::string& text);
  [[nodiscard]] std::string AddressOf(const VmId& vm) const;

  DriverOptions options;
  DriverParts parts;
  asio::io_context context;
  asio::steady_timer timer;
  config::Follower follower;
  bool base_pending = false;
  Time next_base;
  maintain::Settings current;
  maintain::Maintainer maintainer;
  std::map<InstanceId, ObservedEntry> observed;
  std::uint64_t members_version = 0;
  bool members_known = false;
  bool members_pending = false;
  Time next_members;
  Time next_observe;
  Time next_vm_list;
  bool vm_list_pending = false;
  std::map<VmId, WorkerPoll> polls;
  std::map<std::string, PendingOrder> orders;
  std::map<std::string, std::string> written;  // latest write by key
  std::map<PoolId, maintain::PoolRecord> noted;
  std::atomic<bool> is_ready = false;
};

}  // namespace kch::app

#endif  // APP_MAINTAIN_DRIVER_H_
