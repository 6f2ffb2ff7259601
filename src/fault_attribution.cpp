#include "sardinespoke/fault_attribution.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sardinespoke {

void
FaultAttribution::Record(const std::string& aWorker,
                         const std::string& aKind,
                         bool aOk,
                         TimePoint aNow)
{
  Rotate(aNow);
  ByKind& window = windows_[0];
  if (window.size() >= kMaxKinds && !window.contains(aKind)) {
    return;
  }
  Results& results = window[aKind][aWorker];
  ++(aOk ? results.ok_ : results.failed_);
  newFailure_ = newFailure_ || !aOk;
}

std::vector<std::string>
FaultAttribution::FailingWorkers(TimePoint aNow)
{
  Rotate(aNow);
  if (!newFailure_) {
    return {};
  }
  newFailure_ = false;
  ByKind sums = windows_[0];
  for (const auto& [kind, byWorker] : windows_[1]) {
    for (const auto& [worker, results] : byWorker) {
      Results& sum = sums[kind][worker];
      sum.ok_ += results.ok_;
      sum.failed_ += results.failed_;
    }
  }

  std::map<std::string, double> evidence;
  for (const auto& [kind, byWorker] : sums) {
    Results all;
    for (const auto& [worker, results] : byWorker) {
      all.ok_ += results.ok_;
      all.failed_ += results.failed_;
    }
    for (const auto& [worker, results] : byWorker) {
      evidence[worker] += Evidence(results, all);
    }
  }

  std::vector<std::pair<double, std::string>> failing;
  for (const auto& [worker, strength] : evidence) {
    if (strength > kBlameEvidence) {
      failing.emplace_back(strength, worker);
    }
  }
  std::sort(failing.rbegin(), failing.rend());
  std::vector<std::string> workers;
  workers.reserve(failing.size());
  for (auto& [count, worker] : failing) {
    workers.push_back(std::move(worker));
  }
  return workers;
}

double
FaultAttribution::Evidence(const Results& aHere, const Results& aAll)
{
  // One failure and one success are added, so that a few results elsewhere are not taken as proof.
  const double failedElsewhere = aAll.failed_ - aHere.failed_ + 1.0;
  const double okElsewhere = aAll.ok_ - aHere.ok_ + 1.0;
  const double expected = failedElsewhere / (failedElsewhere + okElsewhere);
  return aHere.failed_ * std::log(kFailingRate / expected) +
         aHere.ok_ * std::log((1 - kFailingRate) / (1 - expected));
}

void
FaultAttribution::Forget(const std::string& aWorker)
{
  for (ByKind& window : windows_) {
    for (auto& [kind, byWorker] : window) {
      byWorker.erase(aWorker);
    }
  }
}

size_t
FaultAttribution::RemovalCap(size_t aPoolWorkers)
{
  return std::max<size_t>(aPoolWorkers / 10, 1);
}

void
FaultAttribution::Rotate(TimePoint aNow)
{
  if (aNow < windowStart_ + kWindow) {
    return;
  }
  const bool adjacent = aNow < windowStart_ + 2 * kWindow;
  windows_[1] = adjacent ? std::move(windows_[0]) : ByKind();
  windows_[0].clear();
  windowStart_ = aNow;
}

}
