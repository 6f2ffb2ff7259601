#include "sardinespoke/cost_model.h"

#include <algorithm>
#include <cmath>

namespace sardinespoke {

namespace {

constexpr double kGain = 0.1;            // Weight of the newest run time in the moving averages.
constexpr double kDecaySeconds = 30;     // Decay time constant of slot-seconds and completions.
constexpr double kP95Deviations = 1.645; // 95th percentile of the standard normal distribution.
const char* const kOverflowKind = "*";

std::chrono::nanoseconds
ClampCost(double aNanoseconds)
{
  const std::chrono::nanoseconds value(static_cast<int64_t>(aNanoseconds));
  return std::clamp(value, CostModel::kMinCost, CostModel::kMaxCost);
}

}

void
CostModel::OnStart(const std::string& aKind, TimePoint aNow)
{
  Estimate& estimate = FindOrAdd(aKind);
  Advance(estimate, aNow);
  ++estimate.running_;
}

void
CostModel::OnEnd(const std::string& aKind, bool aCompleted, TimePoint aNow)
{
  Estimate& estimate = FindOrAdd(aKind);
  Advance(estimate, aNow);
  estimate.running_ -= estimate.running_ > 0 ? 1 : 0;
  estimate.completions_ += aCompleted ? 1 : 0;
}

std::optional<std::chrono::nanoseconds>
CostModel::OccupancyMean(const std::string& aKind, TimePoint aNow) const
{
  const Estimate* found = Find(aKind);
  if (found == nullptr || found->completions_ == 0) {
    return std::nullopt;
  }
  Estimate estimate = *found;
  Advance(estimate, aNow);
  const std::chrono::duration<double> mean(estimate.slotSeconds_ / estimate.completions_);
  return ClampCost(std::chrono::duration<double, std::nano>(mean).count());
}

void
CostModel::RecordRunTime(const std::string& aKind, Nanoseconds aRunTime)
{
  const auto sample = static_cast<double>(std::clamp(aRunTime, kMinCost, kMaxCost).count());
  Estimate& estimate = FindOrAdd(aKind);
  if (!estimate.learned_) {
    estimate.learned_ = true;
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
  const bool known = estimate != nullptr && estimate->learned_;
  return known ? ClampCost(estimate->mean_) : kInitialCost;
}

std::chrono::nanoseconds
CostModel::P95(const std::string& aKind) const
{
  const Estimate* estimate = Find(aKind);
  if (estimate == nullptr || !estimate->learned_) {
    return kInitialCost;
  }
  return ClampCost(estimate->mean_ + kP95Deviations * std::sqrt(estimate->variance_));
}

CostModel::Estimate&
CostModel::FindOrAdd(const std::string& aKind)
{
  const bool known = kinds_.contains(aKind);
  return kinds_[known || kinds_.size() < kMaxKinds ? aKind : kOverflowKind];
}

void
CostModel::Advance(Estimate& aEstimate, TimePoint aNow)
{
  const std::chrono::duration<double> passed = aNow - aEstimate.updated_;
  const double decay = std::exp(-passed.count() / kDecaySeconds);
  aEstimate.slotSeconds_ = aEstimate.slotSeconds_ * decay + aEstimate.running_ * passed.count();
  aEstimate.completions_ *= decay;
  aEstimate.updated_ = aNow;
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
