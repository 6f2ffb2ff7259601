#pragma once

#include "sardinespoke/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinespoke {

/// Tells a worker that fails everything from a kind of work that can never run, from the results
/// of one pool. The evidence against a worker is the logarithm of how much more likely its results
/// are if it fails nearly everything than if it fails each kind as often as the other workers do. A
/// kind that fails everywhere, or fails partly everywhere, is therefore no evidence.
class FaultAttribution
{
public:
  /// Results older than two windows are forgotten.
  static constexpr std::chrono::milliseconds kWindow{ 5000 };
  /// A worker above this evidence is blamed: a chance of about 1 in 10 million for a sound worker,
  /// because 50 workers are judged on 7 entry hosts all day. Four failures of a kind that always
  /// succeeds elsewhere reach it.
  static constexpr double kBlameEvidence = 16;
  /// Part of its results that a failing worker fails.
  static constexpr double kFailingRate = 0.95;
  /// Kinds come from caller-supplied paths; results of further kinds in a window are not recorded.
  static constexpr size_t kMaxKinds = 256;

  /// Records the result of one attempt.
  void Record(const std::string& aWorker, const std::string& aKind, bool aOk, TimePoint aNow);

  /// @returns Workers to take out of use, strongest evidence first. Empty without a failure since
  /// the last call.
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

  /// @returns Evidence of the results of one kind against a worker.
  static double Evidence(const Results& aHere, const Results& aAll);
  void Rotate(TimePoint aNow);

  std::array<ByKind, 2> windows_; ///< Current and previous.
  bool newFailure_ = false;       ///< Since the last evaluation.
  TimePoint windowStart_;
};

}
