#include "sardinespoke/cost_model.h"

#include <algorithm>
#include <cmath>

namespace sardinespoke {

namespace {

constexpr double kGain = 0.1;            // Weight of the newest run time.
constexpr double kP95Deviations = 1.645; // 95th percentile of a normal distribution.
const char* const kOverflowKind = "*";

std::chrono::nanoseconds
Bounded(double aNanoseconds)
{
  const std::chrono::nanoseconds value(static_cast<int64_t>(aNanoseconds));
  return std::clamp(value, CostModel::kMinCost, CostModel::kMaxCost);
}

}

void
CostModel::Learn(const std::string& aKind, Nanoseconds aRunTime)
{
  const auto sample = static_cast<double>(std::clamp(aRunTime, kMinCost, kMaxCost).count());
  const bool known = kinds_.contains(aKind);
  const std::string& kind = known || kinds_.size() < kMaxKinds ? aKind : kOverflowKind;
  const auto [found, added] = kinds_.try_emplace(kind);
  Estimate& estimate = found->second;
  if (added) {
    estimate.mean_ = sample;
    return;
  }
  const double difference = sample - estimate.mean_;
  estimate.mean_ += kGain * difference;
  estimate.variance_ = (1 - kGain) * (estimate.variance_ + kGain * difference * difference);
}

std::chrono::nanoseconds
CostModel::Mean(const std::string& aKind) const
{
  const Estimate* estimate = Find(aKind);
  return estimate == nullptr ? kInitialCost : Bounded(estimate->mean_);
}

std::chrono::nanoseconds
CostModel::P95(const std::string& aKind) const
{
  const Estimate* estimate = Find(aKind);
  if (estimate == nullptr) {
    return kInitialCost;
  }
  return Bounded(estimate->mean_ + kP95Deviations * std::sqrt(estimate->variance_));
}

const CostModel::Estimate*
CostModel::Find(const std::string& aKind) const
{
  auto found = kinds_.find(aKind);
  if (found == kinds_.end()) {
    found = kinds_.find(kOverflowKind);
  }
  return found == kinds_.end() ? nullptr : &found->second;
}

}
