#pragma once

#include "sardinespoke/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinespoke {

/// Tells a worker that fails everything from a kind of work that can never run, from the results
/// of one pool. A failure counts against a worker only if the same kind succeeds on other workers;
/// a kind that fails everywhere is therefore no evidence against any worker.
class FaultAttribution
{
public:
  /// Results older than two windows are forgotten.
  static constexpr std::chrono::milliseconds kWindow{ 5000 };
  /// Failures needed before a worker is blamed; a single one may have other causes.
  static constexpr uint32_t kMinEvidence = 3;
  /// Kinds come from caller-supplied paths; results of further kinds in a window are not recorded.
  static constexpr size_t kMaxKinds = 256;

  /// Records the result of one attempt.
  void Record(const std::string& aWorker, const std::string& aKind, bool aOk, TimePoint aNow);

  /// @returns Workers to take out of use, strongest evidence first. Most results of such a worker
  /// are failures of kinds that succeed elsewhere. Empty without a failure since the last call.
  std::vector<std::string> FailingWorkers(TimePoint aNow);

  /// Forgets the results of a worker, after it was taken out of use.
  void Forget(const std::string& aWorker);

  /// @returns How many workers of a pool may be out of use by attribution at once: a tenth, at
  /// least one.
  static size_t RemovalCap(size_t aPoolWorkers);

private:
  struct Results
  {
    uint32_t ok_ = 0;
    uint32_t failed_ = 0;
  };
  using ByWorker = std::map<std::string, Results>;
  using ByKind = std::map<std::string, ByWorker>;

  void Rotate(TimePoint aNow);

  std::array<ByKind, 2> windows_; ///< Current and previous.
  bool newFailure_ = false;       ///< Since the last evaluation.
  TimePoint windowStart_;
};

}
