#ifndef NET_HTTP_SERVER_H_
#define NET_HTTP_SERVER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/error.h"
#include "net/http.h"

namespace kch::net {

/*! @brief Where a server listens and what it accepts. */
struct HttpServerOptions {
  std::string address = "127.0.0.1";
  std::uint16_t port = 0;  // 0: the kernel picks one
  std::size_t threads = 2;
  std::size_t max_body_bytes = 1U << 20U;
  std::size_t max_header_bytes = 8U << 10U;
  std::size_t max_headers = 64;
  int request_timeout_ms = 24 * 3600 * 1000;  // a task may run all night
};

/*! @brief HTTP/1.1 server on threads of its own. */
class HttpServer {
 public:
  /*! @brief Binds and starts to serve. */
  [[nodiscard]] static Result<std::unique_ptr<HttpServer>> Create(
      const HttpServerOptions& options,
      HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /*! @brief The bound port. */
  [[nodiscard]] std::uint16_t port() const;

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace kch::net

#endif  // NET_HTTP_SERVER_H_
