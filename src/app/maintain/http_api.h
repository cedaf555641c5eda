#ifndef APP_MAINTAIN_HTTP_API_H_
#define APP_MAINTAIN_HTTP_API_H_

#include <string>

#include "app/maintain/driver.h"
#include "net/net.h"

namespace kch::app {

/*! @brief HTTP interface for operators and probes; docs/interface.md describes
 * it. */
class HttpApi {
 public:
  /*! @brief The hash is that of the operators' key as hex; an empty one refuses
   * operators. */
  HttpApi(Driver& driver,
          net::EventLog& events,
          net::Metrics& metrics,
          std::string operator_key_sha256);

  /*! @brief Handles a request; called on traffic threads. */
  void Handle(const net::HttpRequest& request, const net::HttpReply& reply);

 private:
  void Admin(const net::HttpRequest& request, const net::HttpReply& reply);
  void Order(const net::HttpRequest& request, const net::HttpReply& reply);
  void Register(const net::HttpRequest& request, const net::HttpReply& reply);

  Driver& driver;
  net::EventLog& events;
  net::Metrics& metrics;
  std::string operator_key_sha256;
};

}  // namespace kch::app

#endif  // APP_MAINTAIN_HTTP_API_H_
