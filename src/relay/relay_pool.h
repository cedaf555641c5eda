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
/*! @brief Of more VMs, one relay serves this many. */
inline constexpr std::size_t kVmsPerRelay = 32;
/*! @brief A relay with calls that has told nothing for this long is lost; it
 * reports at least at the interval below. */
inline constexpr Duration kRelayTimeout = std::chrono::milliseconds(900);
inline constexpr Duration kReportInterval = std::chrono::milliseconds(250);
/*! @brief A process is chosen as a relay if it has reported within this time;
 * older orders than its guard admits would be dated by an earlier report. */
inline constexpr Duration kMaxCandidateReportAge =
    std::chrono::milliseconds(1250);
/*! @brief As kRelayTimeout and kReportInterval, for a process without calls. */
inline constexpr Duration kIdleRelayTimeout = std::chrono::milliseconds(2500);
inline constexpr Duration kIdleReportInterval = std::chrono::milliseconds(1000);

/*! @brief Opens a connection to a process. */
struct Connect {
  InstanceId relay;
  std::string address;
};
/*! @brief Forgets a process that is gone. */
struct Disconnect {
  InstanceId relay;
};
/*! @brief Sends calls to a relay. */
struct Forward {
  InstanceId relay;
  OrderBatch batch;
};
/*! @brief A call for this process to make. */
struct DirectCall {
  Call call;
};
/*! @brief The reply to an order of Submit, whoever carried it out. */
struct DeliverReply {
  Order order;  // without what only the VM needs
  Reply reply;
  Time submitted_at;
};
/*! @brief A process follows a later owner. */
struct Superseded {
  InstanceId reported_by;
};
/*! @brief A decision to log. */
struct LogEvent {
  std::string_view event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};

using Effect = std::variant<Connect,
                            Disconnect,
                            Forward,
                            DirectCall,
                            DeliverReply,
                            Superseded,
                            LogEvent>;

/*! @brief Shares an owner's calls to VMs among the other processes.
 *
 * Each VM's calls go through one process at a time. The loss of a relay loses
 * no order: those that may be repeated are, and a start counts as one without
 * an answer. */
class RelayPool {
 public:
  /*! @brief Processes are expected to report until `join_until`; calls wait
   * that long for a first relay. */
  RelayPool(std::uint64_t fence, Time join_until);

  void OnReport(const Report& report, Time now);
  /*! @brief The reply to a DirectCall. */
  void OnReply(CallReply answer);
  /*! @brief Has an order carried out; the reply comes by DeliverReply. */
  void Submit(Order order, Time now);
  /*! @brief VMs that are known; the number of relays follows it. */
  void SetVmCount(std::size_t count);
  void RemoveVm(const VmId& vm);
  /*! @brief Finds lost relays and late calls. */
  void Tick(Time now);
  /*! @brief Removes and returns the effects decided so far. */
  [[nodiscard]] std::vector<Effect> TakeEffects();

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
    bool connected = false;
    Time excluded_until;  // it was lost; not chosen before
    std::size_t assigned_vms = 0;
    std::set<std::uint64_t> calls;  // given to it and not answered
  };
  struct OpenCall {
    Order order;
    std::optional<InstanceId> relay;  // nothing: this process
    Time submitted_at;
    Time deadline;  // a relay that has not answered by then is late
  };

  [[nodiscard]] std::size_t RequiredRelays() const;
  void RegisterMember(const Report& report, Time now);
  void ActivateRelays(Time now);
  void UnassignSurplusVms();
  std::optional<InstanceId> RelayOf(const VmId& vm);
  void Send(std::uint64_t number, OpenCall open, Time now);
  void Deactivate(const InstanceId& relay, std::string_view reason, Time now);
  void FailRelay(const InstanceId& relay, std::string_view reason, Time now);
  void FailOverdueRelays(Time now);
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
  std::deque<std::pair<Order, Time>> queued;  // until there is a relay
  std::map<InstanceId, std::vector<Call>> batches;
  Time last_tick;
  std::vector<Effect> effects;
};

}  // namespace kch::relay

#endif  // RELAY_RELAY_POOL_H_
