#ifndef APP_FLEET_DRIVER_H_
#define APP_FLEET_DRIVER_H_

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "admit/admit.h"
#include "app/fleet/front.h"
#include "app/fleet/load_meter.h"
#include "app/fleet/relay_worker.h"
#include "jobs/jobs.h"
#include "lead/lead.h"
#include "platform/platform.h"
#include "relay/relay.h"
#include "upkeep/upkeep.h"

namespace kch::app {

/*! @brief Who this process is and how it may behave. */
struct FleetOptions {
  std::string instance;
  std::string incarnation;
  std::string peer_address;  // host:port of this process for others
  std::string bus_address;   // host:port of its bus for relays
  double cores = 1;          // processor time that this process may use
  jobs::Limits limits;
  upkeep::Limits upkeep_limits;
  upkeep::MoveLimits move_limits{};
  Duration shutdown_time{};  // from SIGTERM until the process must have ended
};

/*! @brief What a scheduler needs before it may start work. */
struct Takeover {
  Time since;
  std::size_t bytes = 0;  // of the records read so far
  std::map<std::string, platform::Item> progress;
  bool progress_known = false;
  bool intake_known = false;
  bool vms_known = false;
  bool waves_known = false;
  bool kept_known = false;
  std::vector<jobs::VmRecord> kept_vms;
  bool orders_known = false;
  bool ended_known = false;
  std::vector<std::pair<VmId, std::int64_t>> ended_vms;  // with boot times
  std::vector<jobs::JobSpec> early_jobs;
  std::vector<jobs::JobId> early_cancels;
};

/*! @brief Runs the decisions of one process on the calling thread: ownership
 * of the fleet and, while it lasts, the scheduler. */
class Driver {
 public:
  struct Parts {
    net::HttpClient& client;
    platform::Store& store;
    platform::Store& lease_store;  // for claims and renewals
    platform::VmClient& vms;
    platform::MachineClient& machines;
    platform::AdviceClient& advice;
    Front& front;
    net::PeerBus& bus;
    RelayWorker& relay;
    net::Metrics& metrics;
  };

  Driver(FleetOptions options, Parts parts);

  /*! @brief Handles events until a shutdown is complete. */
  void Run();
  /*! @brief Whether callers should be sent here. Any thread. */
  [[nodiscard]] bool ready() const { return this->is_ready; }

  // Questions to this process's scheduler. Any thread.
  void AskJob(const jobs::JobId& job, std::function<void(JobAnswer)> done);
  void AskPending(const jobs::QueueId& queue,
                  std::function<void(PendingAnswer)> done);
  void TellCancel(const jobs::JobId& job);
  /*! @brief Another process's report to this one as the owner. Any thread. */
  void OnRelayReport(relay::Report report);
  /*! @brief The owner with this fence has sent a batch, with a request for a
   * lease unless that is 0. Any thread. */
  void OnOwnerContact(std::uint64_t owner_fence, std::int64_t lease_request_ms);

 private:
  friend struct FleetEffectVisitor;
  friend struct LeadEffectVisitor;
  friend struct UpkeepEffectVisitor;
  friend struct RelayEffectVisitor;

  // A record of the owner; without a value it is erased.
  struct OwnersRecord {
    std::string key;
    std::optional<std::string> value;
    std::vector<platform::Put> beside;              // written with it
    std::vector<platform::Condition> conditions{};  // beside its own revision
  };
  struct OpenRecord {
    OwnersRecord record;
    std::function<void(platform::Outcome)> done;
  };
  void WriteRecords(std::vector<OpenRecord> records);

  void Post(std::function<void()> event);
  /*! @brief As Post, for a scheduler; dropped if another one came since. */
  void PostFor(std::uint64_t fence, std::function<void()> event);
  void ScheduleTurn();
  void Turn();
  void Decide(Time now);
  void LogLeaseState(Time now);
  void OnTick();
  void OnSignal(int signal);
  void BeginShutdown();

  void FollowOperators();
  void FollowOwner();
  void FollowLoad();
  void OnOperatorItem(const platform::Item& item);
  void OnOperatorRemoval(const std::string& key);
  void OnOwnerItem(const std::optional<platform::Item>& item,
                   std::uint64_t seen_at);
  void OnFollowerReport(const relay::Report& report);
  void OnWake(Time now);
  void OnLoad(const lead::OwnerLoad& load, Time now);

  void Gain(std::uint64_t fence);
  void Lose(const std::string& reason);
  void ReadProgress(std::uint64_t fence);
  using UseItems = std::function<void(const std::vector<platform::Item>&)>;
  void ReadAll(std::string_view prefix,
               std::uint64_t fence,
               UseItems use,
               std::vector<platform::Item> read = {});
  void NoteRead(std::string_view prefix,
                const std::vector<platform::Item>& items);
  void ReadKeptVms(std::uint64_t fence);
  void ReadEndedVms(std::uint64_t fence);
  void ReadWaves(std::uint64_t fence);
  void ReadOrders(std::uint64_t fence);
  void ReadLastOwner(std::uint64_t fence);
  /*! @brief Writes a record at the revision that is known, so that a write
   * which is carried out late takes no later one back. After a conflict the
   * revision in force is known. `done` is dropped once this term is over. */
  void WriteRecord(OwnersRecord record,
                   std::function<void(platform::Outcome)> done);
  /*! @brief The same with others that wait, in few transactions: many machines
   * move at once. Sent at the end of the pass or event. */
  void WriteVmRecord(OwnersRecord record,
                     std::function<void(platform::Outcome)> done);
  void FlushVmRecords();
  void OnWave(const platform::Item& item);
  void FollowIntake(std::uint64_t fence);
  void FollowVms(std::uint64_t fence);
  void OnIntake(const platform::Item& item);
  void AddJob(jobs::JobSpec spec, bool inherited);
  void OnVmItem(const platform::Item& item);
  void FinishTakeover();
  void ReadEndedJobs(std::uint64_t fence, const std::string& after);
  void OnEndedJob(const platform::Item& item);

  void Perform(std::vector<lead::Effect> decided);
  void Perform(std::vector<jobs::Effect> decided);
  void Perform(std::vector<upkeep::Effect> decided);
  void Perform(std::vector<relay::Effect> decided);
  void PassOrders(std::vector<upkeep::Effect> decided);
  void TickMachines(Time now);
  void PublishGauges(Time now);
  /*! @brief Writes the waits in the queues for all instances, if there are
   * any. */
  void ReportLoad(Time now);
  void WakeForWrite(Time now);

  FleetOptions options;
  Parts parts;
  LoadMeter load;
  asio::io_context context;
  asio::steady_timer timer;
  asio::steady_timer write_timer;
  bool write_timer_set = false;
  asio::steady_timer turn_timer;
  bool turn_set = false;
  Time next_turn;
  asio::signal_set signals;
  lead::SuspensionDetector suspension;

  std::uint64_t config_version = 0;
  Time config_since;
  Time next_gauges;
  Time next_machines;
  std::optional<jobs::FleetConfig> fleet_config;
  bool operators_read = false;  // all of the operators' records, once
  std::set<ZoneId> zones_out;
  lead::Ownership ownership;
  lead::HandoverPolicy handover;
  Time last_pass;                    // of decisions
  bool lease_expired = false;        // at the last pass
  bool orders_held = false;          // at the last pass
  std::int64_t unleased_starts = 0;  // ordered without a valid lease, this term
  std::unique_ptr<jobs::Scheduler> scheduler;
  std::uint64_t fence = 0;
  std::optional<Takeover> takeover;
  // Of records that WriteRecord writes, by key, as known in this term; of one
  // that is not named here 0: absent.
  std::map<std::string, std::uint64_t> revisions;
  std::vector<OpenRecord> vm_records;  // to be written
  lead::StoreContact store_contact;
  std::map<std::string, upkeep::ObservedWave> waves;  // by key
  std::unique_ptr<upkeep::Planner> planner;
  std::unique_ptr<upkeep::Mover> mover;
  std::optional<upkeep::FleetForecast> forecast;  // of this term
  std::unique_ptr<upkeep::OrderGate> gate;
  std::optional<relay::RelayPool> roster;
  Time next_load_report;
  admit::LoadReport last_load;  // as last reported in this term

  std::shared_ptr<platform::PrefixView> operators;
  std::shared_ptr<platform::PrefixView> owner_view;
  std::shared_ptr<platform::PrefixView> load_view;
  std::shared_ptr<platform::PrefixView> intake;
  std::shared_ptr<platform::PrefixView> vm_view;

  std::optional<Time> shutdown_begun;
  std::atomic<bool> is_ready = false;
};

}  // namespace kch::app

#endif  // APP_FLEET_DRIVER_H_
