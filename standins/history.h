#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <iosfwd>
#include <mutex>
#include <string>
#include <vector>

namespace sardinespoke {

/// Kind of a history line: the start of a request, or its outcome as reported to the caller.
enum class HistoryType
{
  Invoke,
  Ok,
  NotRun,
  Unknown,
  AlreadyRun,
  Count
};

/// Result of comparing a response with the expected one.
enum class ResponseCheck
{
  None, ///< No response of a backend server was received.
  Right,
  Wrong, ///< The response to another request, or a truncated one.
  Count
};

/// A line of a history.
struct HistoryLine
{
  HistoryType type_ = HistoryType::Invoke;
  std::string nonce_; ///< Unique per request and shared by all of its attempts.
  std::string service_;
  std::string requestId_;
  bool idempotent_ = true;
  ResponseCheck answer_ = ResponseCheck::None;
  int status_ = 0;
  uint32_t tries_ = 0;
  int64_t timeUs_ = 0; ///< Monotonic clock of the machine.
};

/// @returns The name of a type: "invoke", "ok", "not-run", "unknown" or "already-run".
const char*
HistoryTypeName(HistoryType aType);

void
to_json(nlohmann::json& aJson, const HistoryLine& aLine);
/// Throws nlohmann::json::exception if a field is missing or has a wrong type.
void
from_json(const nlohmann::json& aJson, HistoryLine& aLine);

/// Writes a history as JSON lines. Thread-safe.
class HistoryWriter
{
public:
  /// @param aOut Null discards all lines.
  explicit HistoryWriter(std::ostream* aOut);

  void Write(const HistoryLine& aLine);

private:
  std::mutex mutex_;
  std::ostream* out_;
};

/// Reads a history from JSON lines. Throws nlohmann::json::exception for an invalid line.
std::vector<HistoryLine>
ReadHistory(std::istream& aIn);

}
