#include "wire/relay_codec.h"

#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>

#include "relay.pb.h"
#include "wire/enum_number.h"

namespace kch::wire {
namespace {

using relay::ControlReply;
using relay::Order;
using relay::PollOutcome;
using relay::PollReply;
using relay::StartReply;

enum class OrderKind : std::uint8_t { kStart = 1, kStop, kPace, kLook };
enum class ReplyKind : std::uint8_t { kStart = 1, kOrder, kLook, kNotCarried };

// The tasks of a step share their text, which is sent once a message.
class PayloadTable {
 public:
  explicit PayloadTable(RelayOrders& to) : to(to) {}

  std::uint32_t PlaceOf(const std::string& payload) {
    if (payload.empty()) {
      return 0;
    }
    const auto [row, added] = this->places.try_emplace(payload, 0);
    if (added) {
      this->to.add_payloads(payload);
      row->second = static_cast<std::uint32_t>(this->to.payloads_size());
    }
    return row->second;
  }

 private:
  RelayOrders& to;
  std::unordered_map<std::string_view, std::uint32_t> places;
};

struct PutOrder {
  RelayCall& to;
  PayloadTable& payloads;

  void operator()(const jobs::StartRun& order) const {
    this->PutRun(OrderKind::kStart, order.task, order.run);
    this->to.set_until_ms(order.lease_until_ms);
    this->to.set_checkpoint(order.checkpoint);
    this->to.set_permit(order.permit);
    this->to.set_payload(this->payloads.PlaceOf(order.payload));
  }
  void operator()(const jobs::StopRun& order) const {
    this->PutRun(OrderKind::kStop, order.task, order.run);
  }
  void operator()(const jobs::PaceRun& order) const {
    this->PutRun(OrderKind::kPace, order.task, order.run);
    this->to.set_percent(order.percent);
  }
  void operator()(const jobs::PollVm& order) const {
    this->to.set_kind(ToNumber(OrderKind::kLook));
    this->to.set_renews(order.lease_until_ms.has_value());
    this->to.set_until_ms(order.lease_until_ms.value_or(0));
    this->to.set_last_seen(order.recorded_end);
    this->to.set_wait_ms(order.wait_ms);
  }

 private:
  void PutRun(OrderKind kind,
              const jobs::TaskRef& task,
              std::int64_t run) const {
    this->to.set_kind(ToNumber(kind));
    this->to.set_task(task.Name());
    this->to.set_run(run);
  }
};

std::optional<Order> TakeOrder(const RelayCall& from, const RelayOrders& all) {
  const jobs::Destination to{VmId(from.vm()), from.address()};
  if (from.kind() == ToNumber(OrderKind::kLook)) {
    jobs::PollVm look{
        .to = to, .recorded_end = from.last_seen(), .wait_ms = from.wait_ms()};
    if (from.renews()) {
      look.lease_until_ms = from.until_ms();
    }
    return look;
  }
  const auto task = jobs::TaskRef::Parse(from.task());
  if (!task) {
    return std::nullopt;
  }
  if (from.kind() == ToNumber(OrderKind::kStop)) {
    return jobs::StopRun{to, *task, from.run()};
  }
  if (from.kind() == ToNumber(OrderKind::kPace)) {
    return jobs::PaceRun{to, *task, from.run(), from.percent()};
  }
  const auto place = static_cast<int>(from.payload());
  if (from.kind() != ToNumber(OrderKind::kStart) || place < 0 ||
      place > all.payloads_size()) {
    return std::nullopt;
  }
  return jobs::StartRun{
      .to = to,
      .task = *task,
      .run = from.run(),
      .payload = place == 0 ? std::string() : all.payloads(place - 1),
      .lease_until_ms = from.until_ms(),
      .checkpoint = from.checkpoint(),
      .permit = from.permit()};
}

struct PutReply {
  RelayAnswer& to;

  void operator()(const StartReply& reply) const {
    this->to.set_kind(ToNumber(ReplyKind::kStart));
    this->to.set_outcome(ToNumber(reply.answer));
    this->to.set_clock_ms(reply.clock_ms);
  }
  void operator()(const ControlReply& reply) const {
    this->to.set_kind(ToNumber(ReplyKind::kOrder));
    this->to.set_outcome(reply.answered ? 1 : 0);
  }
  void operator()(const relay::NotSentToVm& /*reply*/) const {
    this->to.set_kind(ToNumber(ReplyKind::kNotCarried));
  }
  void operator()(const PollReply& reply) const {
    this->to.set_kind(ToNumber(ReplyKind::kLook));
    this->to.set_outcome(ToNumber(reply.outcome));
    this->to.set_clock_ms(reply.report.clock_ms);
    this->to.set_boot_ms(reply.report.boot_ms);
    this->to.set_more_ends(reply.report.more_ends);
    for (const jobs::RunningRow& row : reply.report.running) {
      RunningRow& put = *this->to.add_running();
      put.set_task(row.task);
      put.set_run(row.run);
      put.set_checkpoint(row.checkpoint);
      put.set_percent(row.percent);
      put.set_gauge(row.gauge);
    }
    for (const jobs::EndedRow& row : reply.report.ended) {
      EndedRow& put = *this->to.add_ended();
      put.set_number(row.number);
      put.set_task(row.task);
      put.set_run(row.run);
      put.set_how(ToNumber(row.how));
      put.set_checkpoint(row.checkpoint);
    }
  }
};

std::optional<relay::Reply> TakeLook(const RelayAnswer& from) {
  const auto outcome = ToEnum<PollOutcome>(from.outcome());
  if (!outcome) {
    return std::nullopt;
  }
  PollReply reply{.outcome = *outcome,
                  .report = {.clock_ms = from.clock_ms(),
                             .boot_ms = from.boot_ms(),
                             .more_ends = from.more_ends()}};
  for (const RunningRow& row : from.running()) {
    reply.report.running.push_back({.task = row.task(),
                                    .run = row.run(),
                                    .checkpoint = row.checkpoint(),
                                    .percent = row.percent(),
                                    .gauge = row.gauge()});
  }
  for (const EndedRow& row : from.ended()) {
    const auto how = ToEnum<jobs::RunEnd>(row.how());
    if (!how) {
      return std::nullopt;
    }
    reply.report.ended.push_back({.number = row.number(),
                                  .task = row.task(),
                                  .run = row.run(),
                                  .how = *how,
                                  .checkpoint = row.checkpoint()});
  }
  return reply;
}

std::optional<relay::Reply> TakeReply(const RelayAnswer& from) {
  if (from.kind() == ToNumber(ReplyKind::kLook)) {
    return TakeLook(from);
  }
  if (from.kind() == ToNumber(ReplyKind::kOrder)) {
    return ControlReply{from.outcome() != 0};
  }
  if (from.kind() == ToNumber(ReplyKind::kNotCarried)) {
    return relay::NotSentToVm{};
  }
  const auto answer = ToEnum<jobs::StartAnswer>(from.outcome());
  if (from.kind() != ToNumber(ReplyKind::kStart) || !answer) {
    return std::nullopt;
  }
  return StartReply{*answer, from.clock_ms()};
}

struct PutMessage {
  RelayMessage& to;

  void operator()(const relay::OrderBatch& orders) const {
    RelayOrders& put = *this->to.mutable_orders();
    put.set_fence(orders.fence);
    put.set_clock_ms(orders.clock_ms);
    put.set_lease_request_ms(orders.lease_request_ms);
    PayloadTable payloads(put);
    for (const relay::Call& call : orders.calls) {
      RelayCall& row = *put.add_calls();
      const jobs::Destination& to = relay::DestinationOf(call.order);
      row.set_number(call.number);
      row.set_vm(to.vm.str());
      row.set_address(to.address);
      std::visit(PutOrder{row, payloads}, call.order);
    }
  }
  void operator()(const relay::Report& report) const {
    RelayReport& put = *this->to.mutable_report();
    put.set_fence(report.fence);
    put.set_instance(report.instance.str());
    put.set_incarnation(report.incarnation);
    put.set_address(report.address);
    put.set_clock_ms(report.clock_ms);
    put.set_leaving(report.leaving);
    put.set_lease_granted_ms(report.lease_granted_ms);
    put.set_cores(report.cores);
    for (const relay::CallReply& answer : report.replies) {
      RelayAnswer& row = *put.add_answers();
      row.set_number(answer.number);
      std::visit(PutReply{row}, answer.reply);
    }
  }
};

tl::unexpected<Error> Corrupt(const std::string& what) {
  return Fail(ErrorKind::kCorrupt, "a relay's message has " + what,
              "run the same version on all instances");
}

}  // namespace

std::string Encode(const relay::Message& message) {
  RelayMessage put;
  std::visit(PutMessage{put}, message);
  return put.SerializeAsString();
}

Result<relay::Message> DecodeRelay(std::string_view bytes) {
  RelayMessage from;
  if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Corrupt("unreadable bytes");
  }
  if (from.has_orders()) {
    relay::OrderBatch orders{
        .fence = from.orders().fence(),
        .clock_ms = from.orders().clock_ms(),
        .lease_request_ms = from.orders().lease_request_ms()};
    for (const RelayCall& row : from.orders().calls()) {
      auto order = TakeOrder(row, from.orders());
      if (!order) {
        return Corrupt("an order of an unknown kind");
      }
      orders.calls.push_back({row.number(), *std::move(order)});
    }
    return orders;
  }
  if (!from.has_report()) {
    return Corrupt("an unknown kind");
  }
  const RelayReport& row = from.report();
  relay::Report report{.fence = row.fence(),
                       .instance = InstanceId(row.instance()),
                       .incarnation = row.incarnation(),
                       .address = row.address(),
                       .clock_ms = row.clock_ms(),
                       .leaving = row.leaving(),
                       .cores = row.cores(),
                       .lease_granted_ms = row.lease_granted_ms()};
  for (const RelayAnswer& answer : row.answers()) {
    auto reply = TakeReply(answer);
    if (!reply) {
      return Corrupt("an answer of an unknown kind");
    }
    report.replies.push_back({answer.number(), *std::move(reply)});
  }
  return report;
}

}  // namespace kch::wire
