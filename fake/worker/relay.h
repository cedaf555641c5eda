#ifndef FAKE_WORKER_RELAY_H_
#define FAKE_WORKER_RELAY_H_

#include <asio.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

namespace kch::fake {

/*! @brief Where a relay listens and what it forwards to. */
struct RelayOptions {
  std::string address = "127.0.0.1";
  std::uint16_t server_port = 0;
  std::size_t max_connections = 64;
  std::string path_prefix;         // put before the path of each request
  std::string excess_path_prefix;  // the same beyond max_connections
};

/*! @brief TCP relay in front of a target; its connections can be frozen, held
 * silent or refused. Used on the thread of its context only. */
class Relay {
 public:
  Relay(asio::io_context& io, RelayOptions options);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /*! @brief The port that clients connect to. */
  [[nodiscard]] std::uint16_t port() const { return this->listen_port; }
  /*! @brief Stops all bytes on open connections for good. */
  void Freeze();
  /*! @brief Whether new connections are accepted but never served. */
  void SetSilent(bool on) { this->silent = on; }
  /*! @brief Closes open connections and refuses new ones until Open. */
  void Close();
  /*! @brief Listens. */
  void Open();

 private:
  class Link;
  void Accept();

  asio::io_context& io;
  RelayOptions options;
  asio::ip::tcp::socket reservation;
  asio::ip::tcp::acceptor acceptor;
  std::uint16_t listen_port = 0;
  bool silent = false;
  std::unordered_set<std::shared_ptr<Link>> links;
  std::size_t served = 0;  // links that count against max_connections
};

}  // namespace kch::fake

#endif  // FAKE_WORKER_RELAY_H_
