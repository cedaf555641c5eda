#ifndef REVIEW_STANDIN_PROXY_H_
#define REVIEW_STANDIN_PROXY_H_

#include <atomic>
#include <cstdint>
#include <thread>

namespace review {

/*! @brief Forwards TCP connections on loopback to a port. Its far side can go
 * away, as the process behind an address does when it crashes. */
class Proxy {
 public:
  explicit Proxy(std::uint16_t target);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  [[nodiscard]] std::uint16_t port() const { return this->own_port; }
  /*! @brief Resets all connections and refuses new ones. */
  void Close();
  /*! @brief Resets all connections and goes on to accept new ones. */
  void ResetConnections() { ++this->resets; }
  /*! @brief Listens again at the same port. */
  void Open();

 private:
  void Accept(int listener);
  void Forward(int from, std::uint64_t life);

  std::uint16_t target;
  std::uint16_t own_port = 0;
  std::atomic<int> connections = 0;
  std::atomic<std::uint64_t> life = 0;  // odd: open
  std::atomic<std::uint64_t> resets = 0;
  std::thread acceptor;
};

}  // namespace review

#endif  // REVIEW_STANDIN_PROXY_H_
