#ifndef APP_ENTRY_HTTP_API_H_
#define APP_ENTRY_HTTP_API_H_

#include <cstdint>
#include <memory>
#include <string>

#include "app/entry/driver.h"
#include "net/net.h"

namespace kch::app {

/*! @brief Bounds and secrets of the HTTP interface. */
struct ApiOptions {
  std::string operator_key_sha256;  // hex; empty: operators are refused
  std::size_t max_id_length = 128;
};

/*! @brief HTTP interface for callers, operators and probes; docs/interface.md
 * describes it. */
class HttpApi {
 public:
  HttpApi(Driver& driver,
          net::EventLog& events,
          net::Metrics& metrics,
          net::PeerBus& bus,
          net::StoreClient& store,
          ApiOptions options);

  /*! @brief Handles a request; called on traffic threads. */
  void Handle(net::HttpRequest request, const net::HttpReply& reply);

 private:
  void Submit(net::HttpRequest request, const net::HttpReply& reply);
  void Fetch(net::HttpRequest request, const net::HttpReply& reply);
  void Cancel(const net::HttpRequest& request, const net::HttpReply& reply);
  void Change(const net::HttpRequest& request, const net::HttpReply& reply);
  void Admin(const net::HttpRequest& request, const net::HttpReply& reply);
  [[nodiscard]] bool IsOperator(const net::HttpRequest& request) const;
  [[nodiscard]] std::string MetricsJson() const;

  Driver& driver;
  net::EventLog& events;
  net::Metrics& metrics;
  net::PeerBus& bus;
  net::StoreClient& store;
  ApiOptions options;
};

}  // namespace kch::app

#endif  // APP_ENTRY_HTTP_API_H_
