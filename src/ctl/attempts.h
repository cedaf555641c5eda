#ifndef CTL_ATTEMPTS_H_
#define CTL_ATTEMPTS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"
#include "ctl/exit_code.h"

namespace kch::ctl {

/*! @brief How far a call came. */
enum class Reach : std::uint8_t {
  kAnswered,  // a complete answer arrived
  kNotSent,   // certainly did not reach the server
  kBroken,    // may have reached the server; no complete answer
};

/*! @brief What became of one call. */
struct Answer {
  Reach reach = Reach::kNotSent;
  int code = 0;
  std::string body;
  std::string error;  // unless answered
};

/*! @brief What a repeat of a call does. */
enum class CallKind : std::uint8_t {
  kRead,        // nothing
  kRepeatable,  // nothing, since the call has an id
  kOnce,        // possibly the same again
};

/*! @brief How all attempts at a call ended. */
enum class Verdict : std::uint8_t { kAnswered, kUnreachable, kUnknown };

/*! @brief The verdict, and the answer that decided it. */
struct Ending {
  Verdict verdict = Verdict::kUnreachable;
  std::size_t server = 0;
  Answer answer;
};

/*! @brief Chooses which of several equal servers to call next. */
class Attempts {
 public:
  Attempts(std::size_t servers, CallKind kind);

  /*! @brief The server to call next, or none once the call has ended. */
  [[nodiscard]] std::optional<std::size_t> Next(bool time_left) const;
  /*! @brief Whether every server was tried, so that a pause is due. */
  [[nodiscard]] bool NewRound() const;
  /*! @brief Takes the result of the call to the server named by Next. */
  void Record(Answer answer);
  /*! @brief How the call ended. */
  [[nodiscard]] Ending End() const;

 private:
  std::size_t servers;
  CallKind kind;
  std::size_t made = 0;
  std::optional<Ending> settled;
  std::optional<Ending> unknown;      // latest attempt with unknown outcome
  std::optional<Ending> unavailable;  // latest answer that did nothing
  Ending unreached;
};

/*! @brief The exit code for a call that ended in this way. */
[[nodiscard]] ExitCode ExitCodeOf(const Ending& ending);

/*! @brief Reads `host:port,host:port`; an error names the flag. */
[[nodiscard]] Result<std::vector<std::string>> ParseServers(
    const std::string& flag,
    std::string_view text);

}  // namespace kch::ctl

#endif  // CTL_ATTEMPTS_H_
