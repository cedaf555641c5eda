#ifndef RELAY_ROSTER_H_
#define RELAY_ROSTER_H_

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
inline constexpr std::size_t kDirectVms = 64;
/*! @brief Of more VMs, one relay serves this many. */
inline constexpr std::size_t kVmsPerRelay = 32;
/*! @brief A relay with calls that has told nothing for this long is lost; it
 * reports at least at the interval below. */
inline constexpr Duration kRelaySilence = std::chrono::milliseconds(900);
inline constexpr Duration kReportInterval = std::chrono::milliseconds(250);
/*! @brief A process is chosen as a relay if it has reported within this time;
 * older orders than its guard admits would be dated by an earlier report. */
inline constexpr Duration kCandidateSilence = std::chrono::milliseconds(1250);
/*! @brief As kRelaySilence and kReportInterval, for a process without calls. */
inline constexpr Duration kIdleSilence = std::chrono::milliseconds(2500);
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
  Orders orders;
};
/*! @brief A call for this process to make. */
struct CallHere {
  Call call;
};
/*! @brief The reply to an order of Give, whoever carried it out. */
struct Deliver {
  Order order;  // without what only the VM needs
  Reply reply;
  Time given;
};
/*! @brief A process follows a later owner. */
struct Superseded {
  InstanceId seen_at;
};
/*! @brief A decision to log. */
struct Note {
  std::string_view event;
  std::vector<std::pair<std::string_view, std::string>> fields;
};

using Effect = std::
    variant<Connect, Disconnect, Forward, CallHere, Deliver, Superseded, Note>;

/*! @brief Shares an owner's calls to VMs among the other processes.
 *
 * Each VM's calls go through one process at a time. The loss of a relay loses
 * no order: those that may be repeated are, and a start counts as one without
 * an answer. */
class Roster {
 public:
  /*! @brief Processes are expected to report until `join_until`; calls wait
   * that long for a first relay. */
  Roster(std::uint64_t fence, Time join_until);

  void OnReport(const Report& report, Time now);
  /*! @brief The reply to a CallHere. */
  void OnAnswer(Answer answer);
  /*! @brief Has an order carried out; the reply comes by Deliver. */
  void Give(Order order, Time now);
  /*! @brief VMs that are known; the number of relays follows it. */
  void SetVmCount(std::size_t count);
  void ForgetVm(const VmId& vm);
  /*! @brief Finds lost relays and late calls. */
  void Tick(Time now);
  /*! @brief Removes and returns the effects decided so far. */
  [[nodiscard]] std::vector<Effect> Take();

  [[nodiscard]] std::size_t relay_count() const { return this->serving.size(); }
  [[nodiscard]] std::size_t open_calls() const { return this->calls.size(); }

 private:
  struct Member {
    std::string incarnation;
    std::string address;
    std::int64_t clock_ms = 0;
    Time heard;
    bool connected = false;
    Time barred_until;  // it was lost; not chosen before
    std::size_t vms = 0;
    std::set<std::uint64_t> calls;  // given to it and not answered
  };
  struct Open {
    Order order;
    std::optional<InstanceId> relay;  // nothing: this process
    Time given;
    Time due;  // a relay that has not answered by then is late
  };

  [[nodiscard]] std::size_t Wanted() const;
  void Join(const Report& report, Time now);
  void FillServing(Time now);
  void ShedSurplus();
  std::optional<InstanceId> RelayOf(const VmId& vm);
  void Send(std::uint64_t number, Open open, Time now);
  void Retire(const InstanceId& relay, std::string_view reason, Time now);
  void Lose(const InstanceId& relay, std::string_view reason, Time now);
  void LoseOverdue(Time now);
  void Excuse(Duration stalled);
  void Repeat(std::uint64_t number, Time now);
  void Finish(std::uint64_t number, Reply reply);

  std::uint64_t fence;
  Time join_until;
  std::size_t vm_count = 0;
  std::map<InstanceId, Member> members;
  std::set<InstanceId> serving;
  std::unordered_map<VmId, InstanceId> assigned;
  std::uint64_t last_number = 0;
  std::unordered_map<std::uint64_t, Open> calls;
  std::deque<std::pair<Order, Time>> held;  // until there is a relay
  std::map<InstanceId, std::vector<Call>> batches;
  Time last_tick;
  std::vector<Effect> effects;
};

}  // namespace kch::relay

#endif  // RELAY_ROSTER_H_
