#ifndef NET_HTTP_H_
#define NET_HTTP_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kch::net {

/*! @brief Header names in lower case, and their values. */
using HttpHeaders = std::map<std::string, std::string, std::less<>>;

/*! @brief A request as a server received it. */
struct HttpRequest {
  std::string method;
  std::string path;  // without the query
  std::map<std::string, std::string, std::less<>> query;
  HttpHeaders headers;
  std::string body;

  /*! @brief Value of a header, or an empty text. */
  [[nodiscard]] std::string_view Header(std::string_view name) const;
  /*! @brief Value of a query parameter, or an empty text. */
  [[nodiscard]] std::string_view Query(std::string_view name) const;
};

/*! @brief A server's answer. */
struct HttpResponse {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  std::vector<std::pair<std::string, std::string>> headers;
};

/*! @brief Sends the answer; call it once, from any thread. */
using HttpReply = std::function<void(HttpResponse)>;

/*! @brief Called on a traffic thread for each request. */
using HttpHandler = std::function<void(HttpRequest, HttpReply)>;

}  // namespace kch::net

#endif  // NET_HTTP_H_
