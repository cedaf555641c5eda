#ifndef RELAY_RELAY_POOL_H_
#define RELAY_RELAY_POOL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "relay/call.h"

namespace kch::relay {

/*! @brief Up to this many VMs are called by the owner itself. */
inline constexpr std::size_t kMaxDirectVms = 64;
/*! @brief Number of VMs that one relay serves in a larger fleet. */
inline constexpr std::size_t kVmsPerRelay = 32;
/*! @brief Starts that may be open for each active relay, in all of them
 * together. Slow relays answer them late, so fewer are ordered, and polls do
 * not wait long behind them. */
inline constexpr std::size_t kMaxOpenStartsPerRelay = 64;
/*! @brief A relay with open calls that has not reported for this long has
 * failed. */
inline constexpr Duration kRelayTimeout = std::chrono::milliseconds(900);
/*! @brief A process that has received calls recently reports at least at this
 * interval. */
inline constexpr Duration kReportInterval = std::chrono::milliseconds(250);
/*! @brief A process is activated as a relay only if it has reported within this
 * time. A batch carries the clock of the relay's last report; with that of an
 * earlier report, it would be too old for the relay's BatchFilter, which
 * rejects batches older than kMaxBatchAgeMs (batch_filter.cc). */
inline constexpr Duration kMaxCandidateReportAge =
    std::chrono::milliseconds(1250);
/*! @brief As kRelayTimeout, for a relay without open calls. */
inline constexpr Duration kIdleRelayTimeout = std::chrono::milliseconds(2500);
/*! @brief As kReportInterval, for a process that has received no calls
 * recently. */
inline constexpr Duration kIdleReportInterval = std::chrono::milliseconds(1000);

/*! @brief Interval of messages to a process that receives no calls, which tell
 * it that the owner counts it as a follower. */
inline constexpr Duration kContactInterval = std::chrono::milliseconds(5000);

/*! @brief Opens a connection to a process. */
struct Connect {
  InstanceId relay;
  std::string address;
};
/*! @brief Drops the connection to a process that no longer reports. */
struct Disconnect {
  InstanceId relay;
};
/*! @brief Sends a batch, which may have no calls, to a process. Unless it is
 * leaving, it relies on being counted as a follower from then on. */
struct Forward {
  InstanceId relay;
  std::string incarnation;
  bool leaving = false;
  OrderBatch batch;
};
/*! @brief A call that this process makes itself. */
struct DirectCall {
  Call call;
};
/*! @brief The reply to a submitted order, whichever process executed it. */
struct DeliverReply {
  // A StartRun has only `to`, `task` and `run`; its payload and the rest are
  // needed only by the VM.
  Order order;
  Reply reply;
  Time submitted_at;
};
/*! @brief A poll that was sent again has been answered after all. The report is
 * older than what is known of the VM. */
struct DeliverLateReport {
  VmId vm;
  jobs::VmReport report;
};
/*! @brief A process reported that it follows a later owner. */
struct Superseded {
  InstanceId reported_by;
};
/*! @brief A line of the structured log. */
struct LogEvent {
  std::string_view event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};

using Effect = std::variant<Connect,
                            Disconnect,
                            Forward,
                            DirectCall,
                            DeliverReply,
                            DeliverLateReport,
                            Superseded,
                            LogEvent>;

/*! @brief Distributes an owner's calls to VMs over the other processes.
 *
 * Each VM's calls go through one process at a time. The failure of a relay
 * loses no order: orders that may be repeated are resent, and a start is
 * reported as kRelayLost, with its outcome unknown. So are single orders that a
 * relay leaves unanswered while it answers others. If a relay refuses a batch
 * as stale, a start is reported as kNotCarried and other orders are resent. */
class RelayPool {
 public:
  /*! @brief `fence` is the one of the owner. Calls wait until `join_until` for
   * a first process to report. */
  RelayPool(std::uint64_t fence, Time join_until);

  void OnReport(const Report& report, Time now);
  /*! @brief The reply to a DirectCall. RelayPool sets no deadline for a
   * DirectCall; the caller must end it by a timeout and report it here. */
  void OnReply(CallReply answer);
  /*! @brief Requests a lease from each process that is not leaving. */
  void RequestLeases(std::int64_t request_ms, Time now);
  /*! @brief Has an order executed; its reply follows as a DeliverReply. */
  void Submit(Order order, Time now);
  /*! @brief Sets the number of known VMs, which determines the number of
   * relays. */
  void SetVmCount(std::size_t count);
  void RemoveVm(const VmId& vm);
  /*! @brief Detects failed relays and overdue calls through relays, and sends
   * queued calls. */
  void Tick(Time now);
  /*! @brief Returns the effects gathered so far and empties the list. */
  [[nodiscard]] std::vector<Effect> TakeEffects();

  /*! @brief Number of starts that may be submitted now; unset: any number, as
   * without relays. */
  [[nodiscard]] std::optional<std::size_t> StartRoom() const;
  /*! @brief CPU cores of the largest process that has reported lately and is
   * not leaving; 0 if there is none. */
  [[nodiscard]] double LargestMember(Time now) const;
  [[nodiscard]] std::size_t relay_count() const { return this->active.size(); }
  [[nodiscard]] std::size_t open_call_count() const {
    return this->calls.size();
  }

 private:
  struct Member {
    std::string incarnation;
    std::string address;
    std::int64_t clock_ms = 0;
    Time last_contact;
    Time last_report;
    Time last_reply;  // to a call
    Time last_batch;  // sent to it
    bool connected = false;
    bool leaving = false;
    double cores = 0;
    Time excluded_until;  // not activated before; set on failure or leaving
    std::size_t assigned_vms = 0;
    std::set<std::uint64_t> calls;  // assigned to it and not answered
  };
  struct OpenCall {
    Order order;
    std::optional<InstanceId> relay;  // none: this process
    Time submitted_at;
    Time deadline;  // its relay is late without a reply by then
  };

  [[nodiscard]] std::size_t RequiredRelays() const;
  void RegisterMember(const Report& report, Time now);
  [[nodiscard]] static bool AcceptsBatches(const Member& member, Time now);
  void SendBatch(const InstanceId& to, OrderBatch batch, Time now);
  void ActivateRelays(Time now);
  void UnassignSurplusVms();
  std::optional<InstanceId> RelayOf(const VmId& vm);
  void Send(std::uint64_t number, OpenCall open, Time now);
  void Deactivate(const InstanceId& relay, std::string_view reason, Time now);
  void FailRelay(const InstanceId& relay, std::string_view reason, Time now);
  void HandleLateReply(CallReply answer);
  void FailOverdueRelays(Time now);
  void GiveUpOverdueCalls(Time now);
  void GiveUp(std::uint64_t number, Time now);
  void ExtendDeadlines(Duration stalled);
  void Resend(std::uint64_t number, Time now);
  void Complete(std::uint64_t number, Reply reply);

  std::uint64_t fence;
  Time join_until;
  std::size_t vm_count = 0;
  std::map<InstanceId, Member> members;
  std::set<InstanceId> active;
  std::unordered_map<VmId, InstanceId> relay_by_vm;
  std::uint64_t last_call_number = 0;
  std::unordered_map<std::uint64_t, OpenCall> calls;
  std::size_t open_starts = 0;  // of `calls` and `queued`
  struct ResentPoll {
    VmId vm;
    Time resent_at;
  };
  std::map<std::uint64_t, ResentPoll> resent_polls;  // by their first numbers
  std::deque<std::pair<Order, Time>> queued;         // until there is a relay
  std::map<InstanceId, std::vector<Call>> batches;
  Time last_tick;
  Time next_overdue_check;
  std::vector<Effect> effects;
};

}  // namespace kch::relay

#endif  // RELAY_RELAY_POOL_H_
