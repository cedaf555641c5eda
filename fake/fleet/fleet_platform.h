#ifndef FAKE_FLEET_FLEET_PLATFORM_H_
#define FAKE_FLEET_FLEET_PLATFORM_H_

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake/event_loop.h"
#include "fake/fleet/key_store.h"
#include "fake/vms/vm_model.h"
#include "net/net.h"

namespace kch::fake {

/*! @brief What happens to one call. */
enum class CallFault : std::uint8_t {
  kNone,
  kRefuse,      // 503 without effect
  kLoseCall,    // no effect and no answer
  kLoseAnswer,  // takes effect without an answer
  kLate,        // takes effect seconds later, without an answer
  kSlow,        // takes effect at once; the answer follows after kSlowAnswer
};

/*! @brief Delay of the answer to a call with CallFault::kSlow. */
inline constexpr Duration kSlowAnswer = std::chrono::milliseconds(900);

/*! @brief Decides on the fault of a call: `store/kv-txn`, `vm0/run-start`,
 * `machines/machine-upkeep`, `advice/advise`; `body` of a call that reads the
 * store is its prefix. Runs on the loop's thread. */
using FaultRule =
    std::function<CallFault(const std::string& call, const std::string& body)>;

/*! @brief Stand-in for the users' platform on loopback: its store, VMs, list
 * of machines and advice service. */
class FleetPlatform {
 public:
  /*! @brief Size of the fleet. */
  struct Options {
    std::size_t vms = 6;
    std::size_t addresses = 3;  // of the store, one for each of its callers
    jobs::Resources vm_size{8000, 100'000, 0};
    std::int64_t upkeep_ms = 400;  // that a machine is away
    std::int64_t move_ms = 400;    // the same for a move
    // Pools of the VMs, in turn; each has a queue of its name, but the first
    // has those of VmModel.
    std::vector<std::string> pools{"p"};
    bool last_pool_stands_by = false;
    std::int64_t max_lease_ms = 6000;
  };

  [[nodiscard]] static Result<std::unique_ptr<FleetPlatform>> Create(
      const Options& options);
  ~FleetPlatform();
  FleetPlatform(const FleetPlatform&) = delete;
  FleetPlatform& operator=(const FleetPlatform&) = delete;

  /*! @brief host:port of the store, the machine list and the advice service for
   * one of the callers. */
  [[nodiscard]] std::string address(std::size_t caller) const;
  /*! @brief The store refuses a caller while it serves the others, or not. */
  void CutOff(std::size_t caller, bool cut);
  /*! @brief Answers of the store to a caller are lost, those to open calls too,
   * or not. */
  void Mute(std::size_t caller, bool muted);
  /*! @brief Calls that a caller makes as owner of the fleet do not reach the
   * VMs of a zone, or do. */
  void CutVms(std::size_t caller, const std::string& zone, bool cut);
  /*! @brief Runs a function with the model and the store; no other call is
   * handled meanwhile. */
  template <typename F>
  auto With(F function) {
    return this->loop.Call(
        [this, &function] { return function(this->world, this->store); });
  }
  /*! @brief Replaces the rule; an empty one ends all faults. */
  void SetFaults(FaultRule rule);
  /*! @brief Writes the configuration that the model holds, but for queues that
   * are left out. */
  void PublishConfig(const std::set<jobs::QueueId>& left_out = {});
  /*! @brief Writes or removes a VM's registration. */
  void Register(const std::string& vm, bool present = true);
  /*! @brief The VMs of the machines that are up. */
  [[nodiscard]] std::vector<std::string> VmsUp();
  [[nodiscard]] bool IsUp(const std::string& vm);
  /*! @brief The callers that have owned the fleet, in order. */
  [[nodiscard]] std::vector<std::size_t> Owners();
  /*! @brief Requests that machines have their upkeep within `length_s`. A wave
   * whose record was removed is another one under the same number. */
  void RequestWave(int number,
                   std::vector<std::string> machines,
                   int most,
                   int length_s = 30);
  /*! @brief Most machines that were away for upkeep at once. */
  [[nodiscard]] int most_away();

 private:
  struct Machine {
    std::string vm;
    std::string state = "up";
    std::uint64_t fence = 0;
    std::set<std::int64_t> waves;  // whose upkeep it has begun
    int lives = 0;
  };
  struct Waiting {
    std::string vm;
    std::int64_t boot_ms = 0;
    jobs::PollVm look;
    Time until;
    net::HttpReply reply;
  };

  explicit FleetPlatform(const Options& options);
  Result<void> Start();
  void Advance();
  void Tick();
  void HandleShared(std::size_t caller,
                    const net::HttpRequest& request,
                    const net::HttpReply& reply);
  void HandleVm(const std::string& machine,
                const net::HttpRequest& request,
                const net::HttpReply& reply);
  void Execute(const std::string& machine,
               const std::string& call,
               const net::HttpRequest& request,
               const net::HttpReply& reply);
  void Look(FakeVm& vm,
            const nlohmann::json& body,
            const net::HttpReply& reply);
  bool AnswerLook(const Waiting& waiting);
  void Advise(const nlohmann::json& body, const net::HttpReply& reply);
  void OrderMachine(const std::string& call,
                    const net::HttpRequest& request,
                    const net::HttpReply& reply);
  void TakeDown(Machine& machine, const std::string& state);
  void BringUp(const std::string& name);
  void ListMachines(const net::HttpReply& reply);
  void WriteRegistration(const std::string& vm);
  /*! @brief Whether a call under a fence is cut off from a VM. */
  [[nodiscard]] bool IsCut(std::uint64_t fence, const FakeVm& vm) const;
  void Faulted(const std::string& call,
               const net::HttpRequest& request,
               const net::HttpReply& reply,
               std::function<void(const net::HttpReply&)> execute);

  Options options;
  VmModel world;
  KeyStore store;
  FaultRule faults;
  std::set<std::size_t> cut_off;  // callers that the store refuses
  std::set<std::size_t> muted;    // callers that get no answer
  std::set<std::pair<std::size_t, ZoneId>> cut_vms;  // by caller and zone
  std::map<std::uint64_t, std::size_t> owners;       // caller by fence
  std::int64_t late_calls = 0;
  std::map<std::string, Machine> machines;  // by name, as `m0`
  std::vector<Waiting> looks;
  std::vector<net::HttpReply> silent;  // connections that hang
  std::multimap<Time, std::function<void()>> later;
  Time started;
  int away = 0;
  int most_machines_away = 0;
  EventLoop loop;
  asio::steady_timer timer;
  std::vector<std::unique_ptr<net::HttpServer>> shared;   // by caller
  std::vector<std::unique_ptr<net::HttpServer>> servers;  // of VMs
};

}  // namespace kch::fake

#endif  // FAKE_FLEET_FLEET_PLATFORM_H_
