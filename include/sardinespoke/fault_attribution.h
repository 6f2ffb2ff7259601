#pragma once

#include "sardinespoke/clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sardinespoke {

/// Tells a worker that fails everything from a kind of work that can never run, from the results
/// of one pool. Each result changes the evidence against its worker by the logarithm of how much
/// more likely it is if the worker fails nearly everything than if it fails this kind as often as
/// the other workers do now (a CUSUM test). A kind that fails everywhere, or fails partly
/// everywhere, is therefore no evidence, and successes before the fault began don't delay the
/// verdict.
class FaultAttribution
{
public:
  /// A worker above this evidence is blamed: a chance of about 1 in 10 million for a sound worker,
  /// because 50 workers are judged on 7 entry hosts all day. Four failures of a kind that always
  /// succeeds elsewhere reach it.
  static constexpr double kEjectionThreshold = 16;
  /// Part of its results that a failing worker fails.
  static constexpr double kFailingRate = 0.95;
  /// Weight of the newest result in a worker's failure rate of a kind. It is large, so that a kind
  /// that begins to fail everywhere is seen after one or two results of each worker.
  static constexpr double kRateGain = 0.3;
  /// Results of a kind that show at once when it begins to fail everywhere.
  static constexpr size_t kRecentResults = 32;
  /// Kinds come from caller-supplied paths, so their number must be bounded; results of further
  /// kinds are not recorded until unused kinds are forgotten.
  static constexpr size_t kMaxKinds = 256;
  static constexpr std::chrono::seconds kKindExpiry{ 10 };

  /// Records the result of one attempt.
  void Record(const std::string& aWorker, const std::string& aKind, bool aOk, TimePoint aNow);

  /// @returns Workers to take out of use, strongest evidence first.
  std::vector<std::string> FailingWorkers() const;

  /// Forgets the results of a worker, after it was taken out of use.
  void RemoveWorker(const std::string& aWorker);

  /// Forgets all workers but these.
  void RetainWorkers(const std::set<std::string>& aWorkers);

  /// @returns Whether a kind fails on most of the other workers.
  bool FailsOnOtherWorkers(const std::string& aWorker, const std::string& aKind) const;

  /// @returns How many workers of a pool may be out of use by attribution at once: a tenth, at
  /// least one.
  static size_t MaxEjectedWorkers(size_t aPoolWorkers);

private:
  /// Failure rates of one kind.
  struct KindRates
  {
    std::map<std::string, double> byWorker_;
    double sum_ = 0;                                  ///< Over byWorker_.
    std::deque<std::pair<std::string, bool>> recent_; ///< Worker and whether it failed.
    TimePoint lastSeen_;
  };

  /// @returns The failure rate on the other workers; 0 if there are none.
  static double RateOnOtherWorkers(const KindRates& aKind, const std::string& aWorker);
  KindRates* FindKind(const std::string& aKind, TimePoint aNow);

  std::map<std::string, KindRates> kinds_;
  std::map<std::string, double> evidence_; ///< Per worker.
};

}
