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

/// Outlier detection for the workers of one pool: distinguishes a worker that fails all requests
/// from a kind of work that fails on every worker. Each worker has a CUSUM statistic of
/// log-likelihood ratios. The alternative hypothesis is that the worker fails at kFailingRate, the
/// null hypothesis that it fails this kind at the current rate of the other workers. A kind that
/// fails at the same rate on all workers therefore adds no evidence, and because the statistic
/// doesn't fall below 0, successes before the fault began don't delay detection.
class FaultAttribution
{
public:
  /// Log-likelihood ratio above which a worker is ejected. The chance for a healthy worker is about
  /// 1 in 10 million; it must be low because 7 entry hosts test 50 workers continuously. Four
  /// failures of a kind that always succeeds on the other workers exceed it.
  static constexpr double kEjectionThreshold = 16;
  /// Assumed failure rate of a failing worker.
  static constexpr double kFailingRate = 0.95;
  /// Weight of the newest result in a worker's moving failure rate of a kind. It is high, so that a
  /// kind that begins to fail everywhere is detected after one or two results of each worker.
  static constexpr double kRateGain = 0.3;
  /// Size of the window of a kind's latest results on all workers, which detects immediately that
  /// the kind begins to fail everywhere.
  static constexpr size_t kRecentResults = 32;
  /// Bounds the memory, because kinds come from caller-supplied paths; results of further kinds are
  /// not recorded until unused kinds expire.
  static constexpr size_t kMaxKinds = 256;
  static constexpr std::chrono::seconds kKindExpiry{ 10 };

  /// Records the result of one attempt.
  void Record(const std::string& aWorker, const std::string& aKind, bool aOk, TimePoint aNow);

  /// @returns Workers to eject, strongest evidence first.
  std::vector<std::string> FailingWorkers() const;

  /// Removes the results of a worker, after it was ejected.
  void RemoveWorker(const std::string& aWorker);

  /// Removes the results of all other workers.
  void RetainWorkers(const std::set<std::string>& aWorkers);

  /// @returns Whether a kind fails more often than not on the other workers.
  bool FailsOnOtherWorkers(const std::string& aWorker, const std::string& aKind) const;

  /// @returns Maximum number of workers of a pool that may be ejected at once: a tenth, at least
  /// one.
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

  /// @returns The failure rate of a kind on the other workers; 0 if it ran on none.
  static double RateOnOtherWorkers(const KindRates& aKind, const std::string& aWorker);
  KindRates* FindKind(const std::string& aKind, TimePoint aNow);

  std::map<std::string, KindRates> kinds_;
  std::map<std::string, double> evidence_; ///< Per worker.
};

}
