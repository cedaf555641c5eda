#ifndef RELAY_CALL_H_
#define RELAY_CALL_H_

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "jobs/jobs.h"

namespace kch::relay {

/*! @brief An order of the scheduler to one VM. */
using Order =
    std::variant<jobs::StartRun, jobs::StopRun, jobs::PaceRun, jobs::PollVm>;

[[nodiscard]] const jobs::Destination& DestinationOf(const Order& order);

/*! @brief An order with a number, assigned by the owner, that its reply
 * repeats. */
struct Call {
  std::uint64_t number = 0;
  Order order;
};

/*! @brief Reply to an order to start a run. */
struct StartReply {
  jobs::StartAnswer answer = jobs::StartAnswer::kNoAnswer;
  std::int64_t clock_ms = 0;  // the VM's clock; 0: not reported
};

/*! @brief Reply to an order to stop or pace a run. */
struct ControlReply {
  // False without an answer and if the order was rejected, as by its fence.
  bool answered = false;
};

/*! @brief Outcome of a poll of a VM. */
enum class PollOutcome : std::uint8_t { kReport, kFenced, kOtherVm, kNoAnswer };

/*! @brief Reply to a poll. */
struct PollReply {
  PollOutcome outcome = PollOutcome::kNoAnswer;
  jobs::VmReport report;
};

/*! @brief The relay did not send the order to the VM. */
struct NotSentToVm {};

using Reply = std::variant<StartReply, ControlReply, PollReply, NotSentToVm>;

/*! @brief A reply and the number of its call. */
struct CallReply {
  std::uint64_t number = 0;
  Reply reply;
};

/*! @brief Calls that an owner sends to one relay in one message. */
struct OrderBatch {
  std::uint64_t fence = 0;
  std::int64_t clock_ms = 0;  // latest Report::clock_ms of the relay
  // The owner's clock when it requests a lease of its follower; 0: no request.
  std::int64_t lease_request_ms = 0;
  std::vector<Call> calls;  // may be empty
};

/*! @brief Report of a process to the owner: its availability as a relay, and
 * replies to calls. */
struct Report {
  std::uint64_t fence = 0;  // of the owner that it follows
  InstanceId instance;
  std::string incarnation;    // differs between starts of one instance
  std::string address;        // host:port of its peer bus
  std::int64_t clock_ms = 0;  // its host's boot-time clock, with suspensions
  bool leaving = false;       // it shuts down and accepts no more calls
  double cores = 0;           // that it may use; 0: not reported
  // OrderBatch::lease_request_ms of the lease that it grants; 0: none.
  std::int64_t lease_granted_ms = 0;
  std::vector<CallReply> replies;
};

using Message = std::variant<OrderBatch, Report>;

}  // namespace kch::relay

template <>
struct kch::NameTable<kch::relay::PollOutcome> {
  using E = kch::relay::PollOutcome;
  static constexpr std::array<std::pair<E, std::string_view>, 4> kEntries{
      {{E::kReport, "report"},
       {E::kFenced, "fenced"},
       {E::kOtherVm, "other_vm"},
       {E::kNoAnswer, "no_answer"}}};
};

#endif  // RELAY_CALL_H_
