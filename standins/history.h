#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <iosfwd>
#include <mutex>
#include <string>
#include <vector>

namespace sardinespoke {

/// One line of a history: the start of a request or its end as its caller saw it.
enum class HistoryType
{
  Invoke,
  Ok,
  NotRun,
  Unknown,
  AlreadyRun,
  Count
};

/// Result of comparing an answer with the one that the stand-in must have given.
enum class ResponseCheck
{
  None, ///< There was no answer of a backend server.
  Right,
  Wrong, ///< Another request's answer, or only a part.
  Count
};

/// A line of a history.
struct HistoryLine
{
  HistoryType type_ = HistoryType::Invoke;
  std::string nonce_; ///< Unique per request, the same for all of its attempts.
  std::string service_;
  std::string requestId_;
  bool idempotent_ = true;
  ResponseCheck answer_ = ResponseCheck::None;
  int status_ = 0;
  uint32_t tries_ = 0;
  int64_t timeUs_ = 0; ///< Monotonic clock of the machine.
};

/// @returns "invoke", "ok", "not-run", "unknown" or "already-run".
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
  /// @param aOut May be null; then nothing is written.
  explicit HistoryWriter(std::ostream* aOut);

  void Write(const HistoryLine& aLine);

private:
  std::mutex mutex_;
  std::ostream* out_;
};

/// Reads JSON lines. Throws nlohmann::json::exception on a line that is not valid.
std::vector<HistoryLine>
ReadHistory(std::istream& aIn);

}
