#include "ctl/attempts.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace kch::ctl {
namespace {

constexpr int kOk = 200;
constexpr int kInvalid = 400;
constexpr int kConflict = 409;
constexpr int kServerError = 500;
constexpr int kUnavailable = 503;
constexpr unsigned kMaxPort = 65535;

bool IsSuccess(int code) {
  return code >= kOk && code < kOk + 100;
}

// Letters, digits and the marks of names and IP numbers. Others, such as / and
// @, would change the meaning of the URL that is built from the text.
constexpr std::string_view kHostCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-";

bool IsServer(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0 ||
      text.substr(0, colon).find_first_not_of(kHostCharacters) !=
          std::string_view::npos) {
    return false;
  }
  const std::string_view digits = text.substr(colon + 1);
  const char* end = digits.data() + digits.size();
  unsigned port = 0;
  const auto [stop, code] = std::from_chars(digits.data(), end, port);
  return code == std::errc() && stop == end && port >= 1 && port <= kMaxPort;
}

}  // namespace

Attempts::Attempts(std::size_t servers, CallKind kind)
    : servers(servers), kind(kind) {}

std::optional<std::size_t> Attempts::Next(bool time_left) const {
  if (this->settled || !time_left || this->servers == 0) {
    return std::nullopt;
  }
  // Only an unknown outcome is worth another round: the servers may learn it.
  if (this->NewRound() && !this->unknown) {
    return std::nullopt;
  }
  return this->made % this->servers;
}

bool Attempts::NewRound() const {
  return this->made > 0 && this->made % this->servers == 0;
}

void Attempts::Record(Answer answer) {
  const Ending ending{Verdict::kAnswered, this->made % this->servers,
                      std::move(answer)};
  ++this->made;
  const int code = ending.answer.code;
  if (ending.answer.reach == Reach::kNotSent) {
    this->unreached = ending;
    this->unreached.verdict = Verdict::kUnreachable;
  } else if (this->kind == CallKind::kRead) {
    if (ending.answer.reach == Reach::kBroken) {
      this->unreached = ending;
      this->unreached.verdict = Verdict::kUnreachable;
    } else if (code >= kServerError) {
      this->unavailable = ending;
    } else {
      this->settled = ending;
    }
  } else if (ending.answer.reach == Reach::kBroken ||
             (code >= kServerError && code != kUnavailable)) {
    this->unknown = ending;
    this->unknown->verdict = Verdict::kUnknown;
    if (this->kind == CallKind::kOnce) {
      this->settled = this->unknown;
    }
  } else if (code == kUnavailable) {
    this->unavailable = ending;
  } else if (!this->unknown || IsSuccess(code) || code == kInvalid ||
             code == kConflict) {
    // After an unknown outcome a refusal of another kind, such as a wrong key
    // at this server, says nothing about the earlier attempt.
    this->settled = ending;
  }
}

Ending Attempts::End() const {
  if (this->settled) {
    return *this->settled;
  }
  if (this->unknown) {
    return *this->unknown;
  }
  if (this->unavailable) {
    return *this->unavailable;
  }
  return this->unreached;
}

ExitCode ExitCodeOf(const Ending& ending) {
  switch (ending.verdict) {
    case Verdict::kUnreachable:
      return ExitCode::kUnreachable;
    case Verdict::kUnknown:
      return ExitCode::kUnknown;
    case Verdict::kAnswered:
      break;
  }
  return IsSuccess(ending.answer.code) ? ExitCode::kDone : ExitCode::kRefused;
}

Result<std::vector<std::string>> ParseServers(const std::string& flag,
                                              std::string_view text) {
  std::vector<std::string> servers;
  std::size_t begin = 0;
  while (begin <= text.size()) {
    const std::size_t end = std::min(text.find(',', begin), text.size());
    std::string item(text.substr(begin, end - begin));
    if (!IsServer(item)) {
      std::string remedy = "give " + flag;
      if (!text.empty()) {
        remedy = "correct '";
        remedy += item;
        remedy += "' in ";
        remedy += flag;
      }
      return Fail(ErrorKind::kInvalid,
                  flag + " has the value '" + std::string(text) +
                      "', allowed is host:port with a port from 1 to 65535, "
                      "or several separated by commas",
                  std::move(remedy));
    }
    if (std::ranges::find(servers, item) == servers.end()) {
      servers.push_back(std::move(item));
    }
    begin = end + 1;
  }
  return servers;
}

}  // namespace kch::ctl
