#include "sardinespoke/logging.h"

#include "json_layout_p.h"
#include "stream_appender_p.h"

#include <nlohmann/json.hpp>

#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/spi/loggingevent.h>

#include <unistd.h>

#include <array>
#include <memory>
#include <set>

namespace sardinespoke {

namespace {

constexpr std::array<log4cplus::LogLevel, static_cast<size_t>(LogLevel::Count)> kLevels{
  log4cplus::DEBUG_LOG_LEVEL,
  log4cplus::INFO_LOG_LEVEL,
  log4cplus::WARN_LOG_LEVEL,
  log4cplus::ERROR_LOG_LEVEL,
};

std::unique_ptr<log4cplus::Initializer>&
LoggingLibrary()
{
  static std::unique_ptr<log4cplus::Initializer> library;
  return library;
}

log4cplus::SharedAppenderPtr&
Appender()
{
  static log4cplus::SharedAppenderPtr appender;
  return appender;
}

/// @returns Whether a line tells of the process's own state or of the leader.
bool
IsImportant(const std::string& aEvent)
{
  static const std::set<std::string> kEvents{ "node.started", "node.stopping", "node.stopped",
                                              "leader.won",   "leader.seen",   "config.applied" };
  return kEvents.count(aEvent) > 0;
}

log4cplus::LogLevel
ParseLevel(const std::string& aName)
{
  if (aName == "debug") {
    return log4cplus::DEBUG_LOG_LEVEL;
  }
  if (aName == "warn") {
    return log4cplus::WARN_LOG_LEVEL;
  }
  if (aName == "error") {
    return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

}

JsonLayout::JsonLayout(std::string aProcess)
  : process_(std::move(aProcess))
{
}

void
JsonLayout::formatAndAppend(log4cplus::tostream& aOutput,
                            const log4cplus::spi::InternalLoggingEvent& aEvent)
{
  const nlohmann::json head{
    { "time",
      log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ", aEvent.getTimestamp(), true) },
    { "level", log4cplus::getLogLevelManager().toString(aEvent.getLogLevel()) },
    { "process", process_ }
  };
  const std::string& message = aEvent.getMessage();
  // Log() passes serialized objects, which are joined as text: parsing a line costs as much as
  // serializing it. Other messages come from log4cplus itself.
  const bool isObject = message.size() > 2 && message.front() == '{' && message.back() == '}';
  const std::string tail = isObject ? message
                                    : nlohmann::json{ { "message", message } }.dump(
                                        -1, ' ', false, nlohmann::json::error_handler_t::replace);
  std::string line = head.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  line.back() = ',';
  aOutput << line << std::string_view(tail).substr(1) << '\n';
}

void
InitLogging(const std::string& aProcess, const std::string& aLevel, LogTarget aTarget)
{
  InitLoggingTo(aTarget == LogTarget::Error ? STDERR_FILENO : STDOUT_FILENO, aProcess, aLevel);
}

void
InitLoggingTo(int aDescriptor, const std::string& aProcess, const std::string& aLevel)
{
  if (!LoggingLibrary()) {
    LoggingLibrary() = std::make_unique<log4cplus::Initializer>(); // The library starts only once.
  }
  const log4cplus::SharedAppenderPtr appender(new StreamAppender(aDescriptor));
  appender->setLayout(std::make_unique<JsonLayout>(aProcess));
  auto root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(appender);
  Appender() = appender;
  SetLogLevel(aLevel);
}

void
FlushLog()
{
  if (auto* appender = dynamic_cast<StreamAppender*>(Appender().get())) {
    appender->Flush();
  }
}

uint64_t
DroppedLogLines()
{
  const auto* appender = dynamic_cast<StreamAppender*>(Appender().get());
  return appender ? appender->Dropped() : 0;
}

void
SetLogLevel(const std::string& aLevel)
{
  log4cplus::Logger::getRoot().setLogLevel(ParseLevel(aLevel));
}

void
ShutdownLogging()
{
  Appender() = log4cplus::SharedAppenderPtr();
  LoggingLibrary().reset();
}

void
Log(LogLevel aLevel, const std::string& aEvent, const nlohmann::json& aFields)
{
  if (!LoggingLibrary()) {
    return;
  }
  auto logger = IsImportant(aEvent)
                  ? log4cplus::Logger::getInstance(StreamAppender::kImportantLogger)
                  : log4cplus::Logger::getRoot();
  const auto level = kLevels[static_cast<size_t>(aLevel)];
  if (!logger.isEnabledFor(level)) {
    return;
  }
  auto line = aFields.is_object() ? aFields : nlohmann::json::object();
  if (!aFields.is_object() && !aFields.is_null()) {
    line["detail"] = aFields;
  }
  line["event"] = aEvent;
  logger.forcedLog(level, line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
}

}
