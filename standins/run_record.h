#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace sardinespoke {

/// One execution of a request by a backend server.
struct RunEntry
{
  std::string attempt_;
  std::string requestId_;
  std::string service_;
  std::string nonce_; ///< Chosen by the caller; the same for all attempts of one request.
  uint32_t worker_ = 0;
  int status_ = 0;
  int64_t startUs_ = 0; ///< Microseconds of the monotonic clock.
  int64_t endUs_ = 0;   ///< 0 while the run is in progress.
};

void
to_json(nlohmann::json& aJson, const RunEntry& aRun);
void
from_json(const nlohmann::json& aJson, RunEntry& aRun);

/// Log of the runs of all workers of one process, ordered by start. Thread-safe, of bounded size.
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

  /// @returns Number of runs that were not recorded because the log was full. A check of the log is
  /// valid only if this is 0.
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
