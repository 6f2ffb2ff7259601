#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace sardinespoke {

/// One run of a request at a backend server.
struct RunEntry
{
  std::string attempt_;
  std::string requestId_;
  std::string service_;
  std::string nonce_; ///< Chosen by the caller, the same for all attempts at one request.
  uint32_t worker_ = 0;
  int status_ = 0;
  int64_t startUs_ = 0; ///< Monotonic clock of the process.
  int64_t endUs_ = 0;   ///< 0 while it runs.
};

void
to_json(nlohmann::json& aJson, const RunEntry& aRun);
void
from_json(const nlohmann::json& aJson, RunEntry& aRun);

/// What all workers of one process ran, in order of the starts. Thread-safe; bounded.
class RunRecord
{
public:
  explicit RunRecord(size_t aMaxRuns);

  /// @returns The index of the run for Finish().
  size_t Start(RunEntry aRun);

  void Finish(size_t aIndex);

  /// @param aFrom Index of the first run.
  /// @returns At most aLimit runs.
  std::vector<RunEntry> Runs(size_t aFrom, size_t aLimit) const;

  size_t Size() const;

  /// @returns Runs that were not recorded because the record was full. A check needs 0.
  uint64_t Dropped() const;

private:
  const size_t maxRuns_;
  mutable std::mutex mutex_;
  std::vector<RunEntry> runs_;
  uint64_t dropped_ = 0;
};

/// @returns Microseconds of the monotonic clock.
int64_t
NowUs();

}
