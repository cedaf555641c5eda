#ifndef NET_STORE_CLIENT_H_
#define NET_STORE_CLIENT_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/store.h"
#include "net/http_client.h"

namespace kch::net {

/*! @brief The platform's store over the Consul KV HTTP interface. */
class StoreClient {
 public:
  /*! @brief Called on the HTTP client's thread; must not block. */
  using OnReply = std::function<void(StoreReply)>;

  /*! @brief Sends to the store at host:port. The HTTP client must outlive this
   * object. */
  StoreClient(HttpClient& client, const std::string& address);

  /*! @brief Performs an operation; exactly one reply comes. */
  void Send(const StoreOp& operation, OnReply on_reply);
  /*! @brief Calls back with the record's content now and after each change, for
   * as long as the HTTP client lives. */
  void Watch(const std::string& key, OnReply on_change);

  /*! @brief Calls made, each waiting watch counted as one. */
  [[nodiscard]] std::uint64_t calls() const { return *this->counted; }

 private:
  struct WatchLoop;
  HttpClient& client;
  std::string base;
  std::shared_ptr<std::atomic<std::uint64_t>> counted;
};

}  // namespace kch::net

#endif  // NET_STORE_CLIENT_H_
