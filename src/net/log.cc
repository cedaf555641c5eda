#include "net/log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace kch::net {
namespace {

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
    output << line.dump() << '\n';
  }
};

log4cplus::Logger& Target() {
  static log4cplus::Logger logger = log4cplus::Logger::getRoot();
  return logger;
}

}  // namespace

void StartLog(const std::string& instance) {
  static const log4cplus::Initializer initializer;
  log4cplus::SharedAppenderPtr appender(
      new log4cplus::ConsoleAppender(true, true));
  appender->setLayout(std::make_unique<JsonLayout>());
  Target() = log4cplus::Logger::getInstance(instance);
  Target().removeAllAppenders();
  Target().setAdditivity(false);
  Target().addAppender(std::move(appender));
}

void Log(LogLevel level, const std::string& text) {
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
