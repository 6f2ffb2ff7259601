#include "pool_scheduler_p.h"

#include <algorithm>
#include <cmath>

namespace sardinespoke {

namespace {

constexpr int kEntitledTier = 0;
constexpr int kAllocatedTier = 1;
constexpr int kSurplusTier = 2; // The urgency class is added.
constexpr int kNoTier = 100;

/// @returns For long work the probability that it runs longer than kSlotReturnTime; 0 for short
/// work.
double
LateReturnProbability(const CostModel& aCosts, const std::string& aKind, TimePoint aNow)
{
  const auto mean = aCosts.OccupancyMean(aKind, aNow);
  if (!mean.has_value()) {
    return 1; // Work without a completed run may be long.
  }
  if (*mean * kP95PerMean <= kLongWorkP95) {
    return 0;
  }
  const std::chrono::duration<double> returnTime = kSlotReturnTime;
  return std::exp(-returnTime / std::chrono::duration<double>(*mean));
}

}

PoolScheduler::PoolScheduler(PoolRules aRules, std::vector<std::string> aMembers)
  : rules_(std::move(aRules))
  , members_(std::move(aMembers))
{
}

void
PoolScheduler::AddProfile(const Profile& aProfile)
{
  profiles_[aProfile.name_].rules_ = aProfile;
}

void
PoolScheduler::AddWorker(const FleetHost& aHost)
{
  WorkerState& worker = workers_[aHost.id_];
  worker.host_ = &aHost;
  workerList_.push_back(&worker);
}

void
PoolScheduler::AddRunning(const std::string& aProfile,
                          const std::string& aHost,
                          double aLateProbability)
{
  if (const auto profile = profiles_.find(aProfile); profile != profiles_.end()) {
    ++profile->second.running_;
    profile->second.longRunning_ += aLateProbability > 0 ? 1 : 0;
    profile->second.lateProbabilitySum_ += aLateProbability;
    UpdatePeakDemand(aProfile, profile->second);
  }
  if (const auto worker = workers_.find(aHost); worker != workers_.end()) {
    ++worker->second.running_;
  }
}

void
PoolScheduler::EndRunning(const std::string& aProfile,
                          const std::string& aHost,
                          double aLateProbability)
{
  if (const auto profile = profiles_.find(aProfile); profile != profiles_.end()) {
    --profile->second.running_;
    profile->second.longRunning_ -= aLateProbability > 0 ? 1 : 0;
    // Reset to 0 when no long work runs, so that rounding errors don't accumulate.
    const bool none = profile->second.longRunning_ == 0;
    profile->second.lateProbabilitySum_ =
      none ? 0 : profile->second.lateProbabilitySum_ - aLateProbability;
  }
  if (const auto worker = workers_.find(aHost); worker != workers_.end()) {
    --worker->second.running_;
  }
}

void
PoolScheduler::UpdateShares(const DemandTable& aTable, const std::string& aSelf)
{
  DemandTable own = FilterByProfile(aTable);
  if (lastTable_.has_value() && lastTable_->byEntryHost_ == own.byEntryHost_) {
    return;
  }
  lastTable_ = std::move(own);
  PoolCapacity capacity;
  capacity.slotsPerWorker_ = rules_.slotsPerHost_;
  capacity.connectionsPerWorker_ = rules_.connectionsPerHost_;
  capacity.members_ = members_;
  for (const auto& [id, worker] : workers_) {
    capacity.workers_.push_back(id);
  }
  for (const auto& [name, profile] : profiles_) {
    capacity.profiles_.push_back(profile.rules_);
  }
  const SlotShares shares = ComputeSlotShares(capacity, *lastTable_, aSelf);
  totalSlots_ = shares.totalSlots_;
  for (auto& [id, worker] : workers_) {
    worker.slots_ = shares.workers_.at(id).slots_;
  }
  for (auto& [name, profile] : profiles_) {
    profile.share_ = shares.profiles_.at(name);
  }
}

DemandTable
PoolScheduler::FilterByProfile(const DemandTable& aTable) const
{
  DemandTable filtered;
  for (const auto& [host, report] : aTable.byEntryHost_) {
    DemandReport& filteredReport = filtered.byEntryHost_[host];
    filteredReport.entryHost_ = host;
    for (const auto& [name, profile] : profiles_) {
      const auto demand = report.byProfile_.find(name);
      if (demand != report.byProfile_.end()) {
        filteredReport.byProfile_.emplace_hint(filteredReport.byProfile_.end(), *demand);
      }
    }
  }
  return filtered;
}

std::optional<AdmissionError::Code>
PoolScheduler::Submit(const std::string& aProfile, QueuedItem aItem, TimePoint aNow)
{
  if (workers_.empty()) {
    return AdmissionError::Code::NoBackend;
  }
  ProfileState& profile = profiles_.at(aProfile);
  const ProfileShare& share = profile.share_;
  QueueLimits limits;
  limits.length_ = profile.rules_.queueLength_;
  limits.slots_ = std::max({ share.entitled_, share.allocated_, profile.running_, 1U });
  const auto refused = queue_.Add(aProfile, std::move(aItem), limits, aNow);
  UpdatePeakDemand(aProfile, profile);
  return refused;
}

std::optional<PoolScheduler::Match>
PoolScheduler::Next(const CostModel& aCosts,
                    const BreakerMap& aBreakers,
                    Placement& aPlacement,
                    TimePoint aNow)
{
  if (queue_.Size() == 0) {
    return std::nullopt;
  }
  const std::vector<PlacementCandidate> candidates = Candidates(aBreakers, aNow);
  if (candidates.empty()) {
    return std::nullopt;
  }

  int bestTier = kNoTier;
  std::vector<std::pair<std::string, uint32_t>> best;
  for (const auto& [name, profile] : profiles_) {
    const int tier = DispatchTier(name, profile, aCosts, aNow);
    if (tier == kNoTier || tier > bestTier) {
      continue;
    }
    if (tier < bestTier) {
      bestTier = tier;
      best.clear();
    }
    best.emplace_back(name, std::max(profile.rules_.entitledSlots_, 1U));
  }
  if (best.empty()) {
    return std::nullopt;
  }

  Match match;
  match.profile_ = best[queue_.ChooseNext(best)].first;
  const std::string& avoid = queue_.Front(match.profile_)->item_.avoidHost_;
  const size_t chosen = *aPlacement.Choose(candidates, avoid);
  match.host_ = workerList_[chosen]->host_;
  match.item_ = queue_.Pop(match.profile_);
  match.lateProbability_ = LateReturnProbability(aCosts, match.item_.item_.kind_, aNow);
  AddRunning(match.profile_, match.host_->id_, match.lateProbability_);
  return match;
}

void
PoolScheduler::MarkFull(const std::string& aHost, std::chrono::nanoseconds aCost, TimePoint aNow)
{
  if (const auto worker = workers_.find(aHost); worker != workers_.end()) {
    const std::chrono::nanoseconds least = kMinFullBackoff;
    const std::chrono::nanoseconds most = kMaxFullBackoff;
    worker->second.fullUntil_ = aNow + std::clamp(aCost / 4, least, most);
  }
}

void
PoolScheduler::SampleDemand()
{
  for (auto& [name, profile] : profiles_) {
    // Demand above the profile's maximum is of no use to the other entry hosts. Without this bound
    // an early advantage would persist, because a queue bounded by deadline grows with its slots.
    const uint32_t most = std::max(profile.rules_.maxSlots_, profile.rules_.entitledSlots_);
    const auto queued = static_cast<uint32_t>(queue_.Length(name));
    profile.sampledDemand_ += std::min(queued + profile.running_, most);
    ++profile.samples_;
  }
}

void
PoolScheduler::TakeDemand(std::map<std::string, uint32_t>& aReport)
{
  for (auto& [name, profile] : profiles_) {
    UpdateReportedDemand(profile);
    if (profile.reported_ > 0) {
      aReport[name] = profile.reported_;
    }
    profile.peakDemand_ = 0;
    UpdatePeakDemand(name, profile);
  }
}

const Profile*
PoolScheduler::FindProfile(const std::string& aProfile) const
{
  const auto found = profiles_.find(aProfile);
  return found == profiles_.end() ? nullptr : &found->second.rules_;
}

std::vector<PlacementCandidate>
PoolScheduler::Candidates(const BreakerMap& aBreakers, TimePoint aNow) const
{
  std::vector<PlacementCandidate> candidates;
  size_t index = 0;
  for (const WorkerState* worker : workerList_) {
    const size_t current = index++;
    if (worker->running_ >= worker->slots_ || aNow < worker->fullUntil_) {
      continue;
    }
    const auto breaker = aBreakers.find(worker->host_->id_);
    if (breaker != aBreakers.end() && !breaker->second.AllowsRequest(aNow)) {
      continue;
    }
    candidates.push_back({ current,
                           worker->host_->id_,
                           worker->host_->zone_,
                           worker->slots_ - worker->running_,
                           worker->running_ });
  }
  return candidates;
}

int
PoolScheduler::DispatchTier(const std::string& aName,
                            const ProfileState& aProfile,
                            const CostModel& aCosts,
                            TimePoint aNow) const
{
  const QueuedItem* front = queue_.Front(aName);
  if (front == nullptr || aProfile.running_ >= aProfile.share_.max_) {
    return kNoTier;
  }
  const double lateProbability = LateReturnProbability(aCosts, front->item_.kind_, aNow);
  if (aProfile.running_ < aProfile.share_.entitled_) {
    return kEntitledTier;
  }
  if (lateProbability > 0 && !MayBorrowForLongWork(aProfile, lateProbability)) {
    return kNoTier;
  }
  if (aProfile.running_ < aProfile.share_.unusedEntitled_) {
    return kEntitledTier;
  }
  if (aProfile.running_ < aProfile.share_.allocated_) {
    return kAllocatedTier;
  }
  return kSurplusTier + static_cast<int>(aProfile.rules_.urgency_);
}

bool
PoolScheduler::MayBorrowForLongWork(const ProfileState& aProfile, double aLateProbability) const
{
  uint32_t entitled = 0;
  uint32_t borrowed = 0;
  double expectedLate = 0;
  for (const auto& [name, profile] : profiles_) {
    entitled += profile.share_.entitled_;
    const bool asks = &profile == &aProfile;
    const uint32_t running = profile.longRunning_ + (asks ? 1 : 0);
    if (running <= profile.share_.entitled_) {
      continue;
    }
    const uint32_t above = running - profile.share_.entitled_;
    borrowed += above;
    expectedLate += above * (profile.lateProbabilitySum_ + (asks ? aLateProbability : 0)) / running;
  }
  const bool coversEntitlements = borrowed + entitled <= totalSlots_;
  return coversEntitlements || expectedLate * kLongWorkReserveDivisor <= totalSlots_;
}

void
PoolScheduler::UpdateReportedDemand(ProfileState& aProfile)
{
  const double interval = aProfile.samples_ == 0
                            ? aProfile.peakDemand_
                            : static_cast<double>(aProfile.sampledDemand_) / aProfile.samples_;
  aProfile.sampledDemand_ = 0;
  aProfile.samples_ = 0;
  const double change = interval - aProfile.demand_;
  const bool jump = std::abs(change) > kDemandJumpDeviations * std::sqrt(aProfile.demand_ + 1);
  const double gain = change < 0 ? kDemandFallGain : kDemandGain;
  aProfile.demand_ += jump ? change : gain * change;
  if (aProfile.peakDemand_ == 0 && aProfile.demand_ < 0.5) {
    aProfile.reported_ = 0;
    return;
  }
  const double difference = std::abs(aProfile.demand_ - aProfile.reported_);
  if (aProfile.reported_ == 0 ||
      difference > std::max(2.0, kMinReportChange * aProfile.reported_)) {
    aProfile.reported_ = static_cast<uint32_t>(std::ceil(aProfile.demand_));
  }
}

void
PoolScheduler::UpdatePeakDemand(const std::string& aName, ProfileState& aProfile)
{
  const auto queued = static_cast<uint32_t>(queue_.Length(aName));
  aProfile.peakDemand_ = std::max(aProfile.peakDemand_, queued + aProfile.running_);
}

}
