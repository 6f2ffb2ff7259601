#include "sardinespoke/fault_attribution.h"

#include <algorithm>
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

  ByWorker evidence;
  for (const auto& [kind, byWorker] : sums) {
    Results all;
    for (const auto& [worker, results] : byWorker) {
      all.ok_ += results.ok_;
      all.failed_ += results.failed_;
    }
    for (const auto& [worker, results] : byWorker) {
      evidence[worker].ok_ += results.ok_;
      const uint32_t okElsewhere = all.ok_ - results.ok_;
      const uint32_t failedElsewhere = all.failed_ - results.failed_;
      if (okElsewhere > failedElsewhere) {
        evidence[worker].failed_ += results.failed_;
      }
    }
  }

  std::vector<std::pair<uint32_t, std::string>> failing;
  for (const auto& [worker, results] : evidence) {
    if (results.failed_ >= kMinEvidence && results.failed_ > results.ok_) {
      failing.emplace_back(results.failed_, worker);
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
