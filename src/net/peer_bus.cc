#include "net/peer_bus.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <variant>
#include <vector>
#include <zmq.hpp>

namespace kch::net {
namespace {

// Enough for some seconds of traffic to a peer that is about to come back.
constexpr int kQueuedMessages = 10'000;
constexpr std::int64_t kMaxMessageBytes = std::int64_t{16} << 20U;

struct ConnectOrder {
  InstanceId peer;
  std::string address;
};
struct DropOrder {
  InstanceId peer;
};
struct SendOrder {
  InstanceId peer;
  std::string bytes;
};
struct StopOrder {};
using Order = std::variant<ConnectOrder, DropOrder, SendOrder, StopOrder>;

}  // namespace

class PeerBus::Impl {
 public:
  Impl(OnMessage on_message, int wakeup)
      : on_message(std::move(on_message)),
        wakeup(wakeup),
        receiver(this->context, zmq::socket_type::pull) {}

  ~Impl() {
    if (this->thread.joinable()) {
      this->Post(StopOrder{});
      this->thread.join();
    }
    close(this->wakeup);
  }
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  void Bind(const std::string& address, std::uint16_t wanted) {
    this->receiver.set(zmq::sockopt::linger, 0);
    this->receiver.set(zmq::sockopt::rcvhwm, kQueuedMessages);
    this->receiver.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
    this->receiver.bind("tcp://" + address + ":" +
                        (wanted == 0 ? "*" : std::to_string(wanted)));
    const std::string endpoint =
        this->receiver.get(zmq::sockopt::last_endpoint);
    this->port = static_cast<std::uint16_t>(
        std::stoul(endpoint.substr(endpoint.rfind(':') + 1)));
  }

  void Start() {
    this->thread = std::thread([this] { this->Run(); });
  }

  void Post(Order order) {
    {
      const std::lock_guard lock(this->mutex);
      this->orders.push_back(std::move(order));
    }
    const std::uint64_t one = 1;
    [[maybe_unused]] const ssize_t written =
        write(this->wakeup, &one, sizeof(one));
  }

  [[nodiscard]] Counters counters() const {
    const std::lock_guard lock(this->mutex);
    return this->counted;
  }

  std::uint16_t port = 0;

 private:
  void Run() {
    while (!this->stopped) {
      std::array<zmq::pollitem_t, 2> items{
          {{this->receiver.handle(), 0, ZMQ_POLLIN, 0},
           {nullptr, this->wakeup, ZMQ_POLLIN, 0}}};
      zmq::poll(items.data(), items.size(), std::chrono::milliseconds(1000));
      if ((items[1].revents & ZMQ_POLLIN) != 0) {
        std::uint64_t count = 0;
        [[maybe_unused]] const ssize_t got =
            read(this->wakeup, &count, sizeof(count));
      }
      this->Receive();
      this->Perform();
    }
  }

  void Receive() {
    zmq::message_t message;
    while (this->receiver.recv(message, zmq::recv_flags::dontwait)) {
      {
        const std::lock_guard lock(this->mutex);
        ++this->counted.received;
        this->counted.received_bytes += message.size();
      }
      this->on_message(message.to_string());
    }
  }

  void Perform() {
    std::vector<Order> taken;
    {
      const std::lock_guard lock(this->mutex);
      taken.swap(this->orders);
    }
    for (Order& order : taken) {
      std::visit([this](auto& kind) { this->Handle(kind); }, order);
    }
  }

  void Handle(const ConnectOrder& order) {
    this->senders.erase(order.peer);
    zmq::socket_t sender(this->context, zmq::socket_type::push);
    sender.set(zmq::sockopt::linger, 0);
    sender.set(zmq::sockopt::sndhwm, kQueuedMessages);
    sender.set(zmq::sockopt::tcp_maxrt, 3000);
    sender.set(zmq::sockopt::reconnect_ivl, 50);
    sender.set(zmq::sockopt::reconnect_ivl_max, 1000);
    try {
      sender.connect("tcp://" + order.address);
    } catch (const zmq::error_t&) {
      return;  // messages to the peer are dropped and counted
    }
    this->senders.emplace(order.peer, std::move(sender));
  }

  void Handle(const DropOrder& order) { this->senders.erase(order.peer); }

  void Handle(const SendOrder& order) {
    const auto found = this->senders.find(order.peer);
    const bool sent =
        found != this->senders.end() &&
        found->second.send(zmq::buffer(order.bytes), zmq::send_flags::dontwait);
    const std::lock_guard lock(this->mutex);
    if (sent) {
      ++this->counted.sent;
      this->counted.sent_bytes += order.bytes.size();
    } else {
      ++this->counted.dropped;
    }
  }

  void Handle(const StopOrder& /*order*/) { this->stopped = true; }

  OnMessage on_message;
  int wakeup;
  zmq::context_t context{1};
  zmq::socket_t receiver;
  std::map<InstanceId, zmq::socket_t> senders;
  std::thread thread;
  bool stopped = false;

  mutable std::mutex mutex;  // guards the members below
  std::vector<Order> orders;
  Counters counted;
};

Result<std::unique_ptr<PeerBus>> PeerBus::Create(const std::string& address,
                                                 std::uint16_t port,
                                                 OnMessage on_message) {
  const int wakeup = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (wakeup < 0) {
    return Fail(ErrorKind::kUnavailable, "cannot create an eventfd",
                "raise the limit of open files");
  }
  auto impl = std::make_unique<Impl>(std::move(on_message), wakeup);
  try {
    impl->Bind(address, port);
  } catch (const zmq::error_t& error) {
    return Fail(ErrorKind::kUnavailable,
                "cannot bind the peer bus to " + address + ":" +
                    std::to_string(port) + ": " + error.what(),
                "check that the address is local and the port is free");
  }
  impl->Start();
  return std::unique_ptr<PeerBus>(new PeerBus(std::move(impl)));
}

PeerBus::PeerBus(std::unique_ptr<Impl> impl) : impl(std::move(impl)) {}
PeerBus::~PeerBus() = default;

std::uint16_t PeerBus::port() const {
  return this->impl->port;
}

void PeerBus::Connect(const InstanceId& peer, const std::string& address) {
  this->impl->Post(ConnectOrder{peer, address});
}

void PeerBus::Drop(const InstanceId& peer) {
  this->impl->Post(DropOrder{peer});
}

void PeerBus::Send(const InstanceId& peer, std::string bytes) {
  this->impl->Post(SendOrder{peer, std::move(bytes)});
}

PeerBus::Counters PeerBus::counters() const {
  return this->impl->counters();
}

}  // namespace kch::net
