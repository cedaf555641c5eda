#include "net/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <utility>

#include "net/clock.h"
#include "net/line_budget.h"

namespace kch::net {
namespace {

// Lines may quote what others have sent, whose bytes need not be UTF-8.
template <typename Json>
std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Writes an event as one JSON object, so that logs can be filtered by field.
class JsonLayout : public log4cplus::Layout {
 public:
  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override {
    const nlohmann::json line{
        {"wall_us", std::chrono::duration_cast<std::chrono::microseconds>(
                        event.getTimestamp().time_since_epoch())
                        .count()},
        {"level",
         log4cplus::getLogLevelManager().toString(event.getLogLevel())},
        {"instance", event.getLoggerName()},
        {"text", event.getMessage()}};
    output << Dump(line) << '\n';
  }
};

// Enough lines for the decisions of a busy scheduler at a fraction of a percent
// of a core. A line is counted before it is put together, so that one that is
// left out costs next to nothing.
struct SharedBudget {
  std::mutex mutex;  // guards the member below
  LineBudget budget{LineBudget::Limits{}};
};

SharedBudget& Budget() {
  static SharedBudget budget;
  return budget;
}

// Writes to standard output without ever waiting for its reader: a pipe that
// polls as writable takes PIPE_BUF bytes at once.
class BoundedAppender : public log4cplus::Appender {
 public:
  ~BoundedAppender() override { this->destructorImpl(); }
  void close() override { this->closed = true; }

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::string line;
    SharedBudget& shared = Budget();
    const std::lock_guard lock(shared.mutex);
    if (const std::uint64_t count = shared.budget.Report(Now()); count > 0) {
      line = R"({"event":"lines_left_out","count":)" + std::to_string(count) +
             "}\n";
    }
    line += this->formatEvent(event);
    pollfd output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    const bool room =
        poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
    if (!room || write(STDOUT_FILENO, line.data(), line.size()) <= 0) {
      shared.budget.LeaveOut();
    }
  }
};

// Adds the time and the instance to an event that is JSON already.
class EventLayout : public log4cplus::Layout {
 public:
  void formatAndAppend(
      log4cplus::tostream& output,
      const log4cplus::spi::InternalLoggingEvent& event) override {
    const std::string& text = event.getMessage();
    output << "{\"wall_ms\":"
           << std::chrono::duration_cast<std::chrono::milliseconds>(
                  event.getTimestamp().time_since_epoch())
                  .count()
           << ",\"instance\":" << Dump(nlohmann::json(event.getLoggerName()))
           << ',';
    if (text.starts_with('{')) {
      output << std::string_view(text).substr(1) << '\n';
    } else {
      output << Dump(nlohmann::json{{"text", text}}).substr(1) << '\n';
    }
  }
};

log4cplus::Logger& Target() {
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

std::atomic<bool> bounded = false;  // lines are subject to the budget

bool MayWrite(std::string_view kind) {
  if (!bounded) {
    return true;
  }
  SharedBudget& shared = Budget();
  const std::lock_guard lock(shared.mutex);
  return shared.budget.Take(kind, Now());
}

void Install(const std::string& instance,
             log4cplus::SharedAppenderPtr appender,
             std::unique_ptr<log4cplus::Layout> layout) {
  appender->setLayout(std::move(layout));
  Target() = log4cplus::Logger::getInstance(instance);
  Target().removeAllAppenders();
  Target().setAdditivity(false);
  Target().addAppender(std::move(appender));
}

}  // namespace

void StartLog(const std::string& instance) {
  static const log4cplus::Initializer initializer;
  Install(
      instance,
      log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)),
      std::make_unique<JsonLayout>());
}

void StartEventLog(const std::string& instance) {
  static const log4cplus::Initializer initializer;
  Install(instance, log4cplus::SharedAppenderPtr(new BoundedAppender()),
          std::make_unique<EventLayout>());
  bounded = true;
}

void LogEvent(std::string_view event, const LogFields& fields) {
  if (!MayWrite(event)) {
    return;
  }
  nlohmann::ordered_json line{{"event", event}};
  for (const auto& [name, value] : fields) {
    line[std::string(name)] = value;
  }
  Target().log(log4cplus::INFO_LOG_LEVEL, Dump(line));
}

void Log(LogLevel level, const std::string& text) {
  if (!MayWrite("text")) {
    return;
  }
  switch (level) {
    case LogLevel::kInfo:
      Target().log(log4cplus::INFO_LOG_LEVEL, text);
      break;
    case LogLevel::kWarning:
      Target().log(log4cplus::WARN_LOG_LEVEL, text);
      break;
    case LogLevel::kError:
      Target().log(log4cplus::ERROR_LOG_LEVEL, text);
      break;
  }
}

}  // namespace kch::net
