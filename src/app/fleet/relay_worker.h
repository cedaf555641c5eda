#ifndef APP_FLEET_RELAY_WORKER_H_
#define APP_FLEET_RELAY_WORKER_H_

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "lead/lead.h"
#include "net/net.h"
#include "platform/platform.h"
#include "relay/relay.h"

namespace kch::app {

/*! @brief Makes calls to VMs for the owner of the fleet while that is another
 * process. */
class RelayWorker {
 public:
  struct Parts {
    net::HttpClient& client;
    platform::VmClient& vms;
    net::PeerBus& bus;
    net::Metrics& metrics;
  };

  /*! @brief `self` is what this process reports of itself. */
  RelayWorker(relay::Report self, Parts parts);

  /*! @brief Reports to this owner from now on, if it is a later one. */
  void Follow(const std::optional<lead::OwnerRecord>& owner);
  /*! @brief Carries out an owner's calls if it may. Any thread. */
  relay::BatchVerdict Carry(const relay::OrderBatch& orders);
  /*! @brief Tells the owner with this fence that its request for a lease is
   * granted. */
  void ReportGrant(std::uint64_t fence, std::int64_t lease_request_ms);
  /*! @brief Sends the report that is due. */
  void Tick(Time now);
  /*! @brief Takes no more calls; those under way are answered. */
  void BeginShutdown();
  /*! @brief Reports nothing more. */
  void Stop();

 private:
  void Add(std::uint64_t fence, relay::CallReply answer);
  void Flush();
  void Send(std::vector<relay::CallReply> with,
            const std::string& to,
            std::int64_t lease_granted_ms = 0);

  Parts parts;

  std::mutex mutex;  // guards the members below
  relay::Report self;
  relay::BatchFilter guard;
  std::optional<lead::OwnerRecord> owner;
  std::string left;  // instance of the owner before; empty: none
  std::vector<relay::CallReply> answers;  // to the present owner
  bool flush_set = false;
  Time next_report;
  Time last_orders;
};

}  // namespace kch::app

#endif  // APP_FLEET_RELAY_WORKER_H_
