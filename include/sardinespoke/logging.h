#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace sardinespoke {

/// Severity of a log line.
enum class LogLevel
{
  Debug,
  Info,
  Warn,
  Error,
  Count
};

/// Output stream of the log.
enum class LogTarget
{
  Error,  ///< Standard error.
  Output, ///< Standard output.
  Count
};

/// Starts logging, one JSON object per line.
/// @param aProcess Process name in each line, such as the entry host id.
/// @param aLevel "debug", "info", "warn" or "error".
void
InitLogging(const std::string& aProcess,
            const std::string& aLevel,
            LogTarget aTarget = LogTarget::Error);

/// Starts logging to a descriptor. A reader that stops does not hold up the process: lines wait in
/// a bounded queue, and those that do not fit are dropped and counted.
void
InitLoggingTo(int aDescriptor, const std::string& aProcess, const std::string& aLevel);

/// Writes lines that wait for the reader, as far as it takes them. Log() does so as well.
void
FlushLog();

/// @returns Lines dropped since the start because the reader did not keep up.
uint64_t
DroppedLogLines();

/// Changes the minimum level of the lines that are written.
/// @param aLevel "debug", "info", "warn" or "error".
void
SetLogLevel(const std::string& aLevel);

/// Flushes and stops logging; later calls of Log() do nothing.
void
ShutdownLogging();

/// Writes one line.
/// @param aEvent Stable name such as "store.unreachable"; see docs/events.md.
/// @param aFields JSON object with the event's fields.
void
Log(LogLevel aLevel, const std::string& aEvent, const nlohmann::json& aFields);

}
