#ifndef NET_PEER_BUS_H_
#define NET_PEER_BUS_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/error.h"
#include "base/id.h"

namespace kch::net {

/*! @brief Messages between processes over ZeroMQ, on a thread of its own.
 *
 * Delivery is not assured: a message to a peer without a working connection, or
 * behind a full queue, is dropped. Senders repeat what matters. */
class PeerBus {
 public:
  /*! @brief Called on the bus thread with each message; must not block. */
  using OnMessage = std::function<void(std::string bytes)>;

  /*! @brief Binds; port 0 lets the kernel pick one. */
  [[nodiscard]] static Result<std::unique_ptr<PeerBus>>
  Create(const std::string& address, std::uint16_t port, OnMessage on_message);
  ~PeerBus();
  PeerBus(const PeerBus&) = delete;
  PeerBus& operator=(const PeerBus&) = delete;

  /*! @brief The bound port. */
  [[nodiscard]] std::uint16_t port() const;
  /*! @brief Connects to a peer at host:port; replaces an earlier connection. */
  void Connect(const InstanceId& peer, const std::string& address);
  /*! @brief Forgets a peer. */
  void Drop(const InstanceId& peer);
  /*! @brief Sends to a connected peer; dropped if there is none. */
  void Send(const InstanceId& peer, std::string bytes);
  /*! @brief Messages and bytes sent and received. */
  struct Counters {
    std::uint64_t sent = 0;
    std::uint64_t sent_bytes = 0;
    std::uint64_t received = 0;
    std::uint64_t received_bytes = 0;
    std::uint64_t dropped = 0;
  };
  [[nodiscard]] Counters counters() const;

 private:
  class Impl;
  explicit PeerBus(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace kch::net

#endif  // NET_PEER_BUS_H_
