#include "sardinespoke/fault_attribution.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace sardinespoke {

namespace {

// Bounds of the estimated rates, so that a single result can't decide alone: at a rate of 0 or 1
// its log-likelihood ratio would be infinite.
constexpr double kMinRate = 0.01;
constexpr double kMaxRate = 0.99;

}

void
FaultAttribution::Record(const std::string& aWorker,
                         const std::string& aKind,
                         bool aOk,
                         TimePoint aNow)
{
  KindRates* kind = FindKind(aKind, aNow);
  if (kind == nullptr) {
    return;
  }
  kind->lastSeen_ = aNow;
  const auto [rate, added] = kind->byWorker_.try_emplace(aWorker, 0);
  if (kind->byWorker_.size() > 1) {
    const double elsewhere = RateOnOtherWorkers(*kind, aWorker);
    const double expected = std::clamp(elsewhere, kMinRate, kMaxRate);
    const double change =
      aOk ? std::log((1 - kFailingRate) / (1 - expected)) : std::log(kFailingRate / expected);
    double& evidence = evidence_[aWorker];
    evidence = std::max(evidence + change, 0.0);
  }
  kind->recent_.emplace_back(aWorker, !aOk);
  if (kind->recent_.size() > kRecentResults) {
    kind->recent_.pop_front();
  }
  const double result = aOk ? 0 : 1;
  const double change = (added ? 1 : kRateGain) * (result - rate->second);
  rate->second += change;
  kind->sum_ += change;
}

std::vector<std::string>
FaultAttribution::FailingWorkers() const
{
  std::vector<std::pair<double, std::string>> failing;
  for (const auto& [worker, evidence] : evidence_) {
    if (evidence > kEjectionThreshold) {
      failing.emplace_back(evidence, worker);
    }
  }
  std::sort(failing.rbegin(), failing.rend());
  std::vector<std::string> workers;
  workers.reserve(failing.size());
  for (auto& [evidence, worker] : failing) {
    workers.push_back(std::move(worker));
  }
  return workers;
}

void
FaultAttribution::RemoveWorker(const std::string& aWorker)
{
  evidence_.erase(aWorker);
  for (auto& [name, kind] : kinds_) {
    const auto rate = kind.byWorker_.find(aWorker);
    if (rate == kind.byWorker_.end()) {
      continue;
    }
    kind.sum_ -= rate->second;
    kind.byWorker_.erase(rate);
  }
}

void
FaultAttribution::RetainWorkers(const std::set<std::string>& aWorkers)
{
  std::set<std::string> recorded;
  for (const auto& [worker, evidence] : evidence_) {
    recorded.insert(worker);
  }
  for (const auto& [name, kind] : kinds_) {
    for (const auto& [worker, rate] : kind.byWorker_) {
      recorded.insert(worker);
    }
  }
  for (const std::string& worker : recorded) {
    if (!aWorkers.contains(worker)) {
      RemoveWorker(worker);
    }
  }
}

bool
FaultAttribution::FailsOnOtherWorkers(const std::string& aWorker, const std::string& aKind) const
{
  const auto kind = kinds_.find(aKind);
  return kind != kinds_.end() && RateOnOtherWorkers(kind->second, aWorker) > 0.5;
}

size_t
FaultAttribution::MaxEjectedWorkers(size_t aPoolWorkers)
{
  return std::max<size_t>(aPoolWorkers / 10, 1);
}

double
FaultAttribution::RateOnOtherWorkers(const KindRates& aKind, const std::string& aWorker)
{
  const auto own = aKind.byWorker_.find(aWorker);
  const bool known = own != aKind.byWorker_.end();
  const size_t others = aKind.byWorker_.size() - (known ? 1 : 0);
  if (others == 0) {
    return 0;
  }
  const double byWorker = (aKind.sum_ - (known ? own->second : 0)) / static_cast<double>(others);
  double failed = 0;
  double results = 0;
  for (const auto& [worker, fails] : aKind.recent_) {
    const bool elsewhere = worker != aWorker;
    results += elsewhere ? 1 : 0;
    failed += elsewhere && fails ? 1 : 0;
  }
  return results == 0 ? byWorker : std::max(byWorker, failed / results);
}

FaultAttribution::KindRates*
FaultAttribution::FindKind(const std::string& aKind, TimePoint aNow)
{
  const auto found = kinds_.find(aKind);
  if (found != kinds_.end()) {
    return &found->second;
  }
  if (kinds_.size() >= kMaxKinds) {
    std::erase_if(kinds_,
                  [&](const auto& aEntry) { return aNow - aEntry.second.lastSeen_ > kKindExpiry; });
  }
  return kinds_.size() < kMaxKinds ? &kinds_[aKind] : nullptr;
}

}
