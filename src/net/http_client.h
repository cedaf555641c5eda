#ifndef NET_HTTP_CLIENT_H_
#define NET_HTTP_CLIENT_H_

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.h"
#include "base/time.h"
#include "net/http.h"

namespace kch::net {

/*! @brief How far a call came. */
enum class CallStatus : std::uint8_t {
  kAnswered,  // a complete answer arrived, whatever its status code
  kNotSent,   // no byte of the request left this process
  kBroken,    // some of the request may have left; no complete answer
};

}  // namespace kch::net

template <>
struct kch::NameTable<kch::net::CallStatus> {
  static constexpr std::array<std::pair<kch::net::CallStatus, std::string_view>,
                              3>
      kEntries{{{kch::net::CallStatus::kAnswered, "answered"},
                {kch::net::CallStatus::kNotSent, "not_sent"},
                {kch::net::CallStatus::kBroken, "broken"}}};
};

namespace kch::net {

/*! @brief A request to send. */
struct HttpCall {
  std::string method = "GET";
  std::string url;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  int connect_timeout_ms = 1000;
  int timeout_ms = 5000;  // 0: none
  // Longest pause between parts of an answer. If set, timeout_ms limits only
  // the time to the answer's first byte, so an answer that is arriving over a
  // slow link is not broken off.
  int stall_timeout_ms = 0;
  // libcurl sends a request again if a reused connection was closed by the
  // other end (HttpResult::repeated); a new connection rules that out.
  bool new_connection = false;
  std::optional<Time> valid_until;  // not sent after this time
  // Called on the client's thread, amid its work on the call, when the first
  // part of an answer has come. It must not block and may only queue calls.
  std::function<void()> on_answer_begun;
};

/*! @brief What became of a call. */
struct HttpResult {
  CallStatus status = CallStatus::kNotSent;
  int code = 0;
  HttpHeaders headers;
  std::string body;
  std::string error;
  // libcurl has sent the request more than once. The answer is that to the last
  // sending and tells nothing of the earlier ones, which may have been carried
  // out.
  bool repeated = false;

  /*! @brief Value of an answer's header, or an empty text. */
  [[nodiscard]] std::string_view Header(std::string_view name) const;
  /*! @brief True for a complete answer with a 2xx code. */
  [[nodiscard]] bool Success() const;
};

/*! @brief Called once per call on the client's thread; must not block. */
using HttpDone = std::function<void(HttpResult)>;

/*! @brief What a client did since the last time that it was asked. */
struct ClientLoad {
  std::uint64_t open = 0;    // calls that have not ended, at present
  std::uint64_t unsent = 0;  // of these: without a connection yet
  std::uint64_t answered = 0;
  std::uint64_t not_sent = 0;
  std::uint64_t broken = 0;
  std::uint64_t sent_bytes = 0;      // of requests' bodies
  std::uint64_t received_bytes = 0;  // of answers' bodies
  Duration busy{};                   // in which its thread did not wait
  Duration longest_busy{};           // at once
};

/*! @brief HTTP client with one traffic thread for all calls. */
class HttpClient {
 public:
  /*! @brief Limits of the client. */
  struct Options {
    long max_connections_per_host = 64;
  };

  [[nodiscard]] static Result<std::unique_ptr<HttpClient>> Create(
      const Options& options);
  /*! @brief Breaks off calls in progress. */
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /*! @brief Sends a call and returns a number that Abort takes. */
  std::uint64_t Send(HttpCall call, HttpDone done);
  /*! @brief Breaks a call off; it ends as kBroken unless it has ended. */
  void Abort(std::uint64_t call);
  /*! @brief Calls back on the client's thread after a time. */
  void Delay(int delay_ms, std::function<void()> action);
  /*! @brief Sends a call and waits for its end; not for control threads. */
  [[nodiscard]] HttpResult SendAndWait(HttpCall call);
  /*! @brief Returns the load since the last call of this. */
  [[nodiscard]] ClientLoad TakeLoad();

 private:
  class Impl;
  explicit HttpClient(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl;
};

}  // namespace kch::net

#endif  // NET_HTTP_CLIENT_H_
