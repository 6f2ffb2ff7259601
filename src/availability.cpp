#include "sardinespoke/availability.h"

#include <algorithm>
#include <array>

namespace sardinespoke {

MaintenanceRules
StrictestRules(const ProfileSet& aProfiles, const std::string& aPool)
{
  MaintenanceRules strictest;
  bool first = true;
  for (const auto& [name, service] : aProfiles.services_) {
    const auto profile = aProfiles.profiles_.find(service.profile_);
    if (service.pool_ != aPool || profile == aProfiles.profiles_.end()) {
      continue;
    }
    const MaintenanceRules& rules = profile->second.maintenance_;
    if (first) {
      strictest = rules;
      first = false;
      continue;
    }
    strictest.maxUnavailableHosts_ =
      std::min(strictest.maxUnavailableHosts_, rules.maxUnavailableHosts_);
    strictest.maxPerRack_ = std::min(strictest.maxPerRack_, rules.maxPerRack_);
    strictest.drainLimit_ = std::max(strictest.drainLimit_, rules.drainLimit_);
    strictest.rebootLimit_ = std::max(strictest.rebootLimit_, rules.rebootLimit_);
  }
  return strictest;
}

std::string
RackKey(const FleetHost& aHost)
{
  return aHost.zone_ + "/" + aHost.rack_;
}

Availability::Availability(const FleetMap& aFleet,
                           const ProfileSet& aProfiles,
                           const std::set<std::string>& aSuspects)
  : suspects_(aSuspects)
{
  for (const auto& [name, rules] : aProfiles.pools_) {
    PoolAvailability& pool = pools_[name];
    const MaintenanceRules strictest = StrictestRules(aProfiles, name);
    pool.budget_ = strictest.maxUnavailableHosts_;
    pool.maxPerRack_ = strictest.maxPerRack_;
    pool.floor_ = rules.floorHosts_;
    floors_ += rules.floorHosts_;
  }
  for (const auto& [id, host] : aFleet.hosts_) {
    PoolAvailability& pool = pools_[host.pool_];
    const std::string rack = RackKey(host);
    ++hosts_;
    ++pool.hosts_;
    ++hostsByRack_[rack];
    if (IsUnavailable(host)) {
      ++pool.unavailable_;
      ++pool.unavailableByRack_[rack];
      continue;
    }
    ++serving_;
    ++pool.serving_;
    ++servingByRack_[rack];
  }
}

bool
Availability::IsUnavailable(const FleetHost& aHost) const
{
  return aHost.state_ != HostState::Serving || suspects_.count(aHost.id_) > 0 ||
         markedUnavailable_.count(aHost.id_) > 0;
}

const PoolAvailability&
Availability::Pool(const std::string& aPool) const
{
  static const PoolAvailability kNone;
  const auto found = pools_.find(aPool);
  return found == pools_.end() ? kNone : found->second;
}

Availability::BlockReason
Availability::CheckMoveOut(const FleetHost& aHost) const
{
  const PoolAvailability& pool = Pool(aHost.pool_);
  if (IsUnavailable(aHost)) {
    // The host already uses a budget unit, but must not move while the budget is exceeded.
    return pool.unavailable_ > pool.budget_ ? BlockReason::Budget : BlockReason::None;
  }
  if (pool.unavailable_ >= pool.budget_) {
    return BlockReason::Budget;
  }
  const auto inRack = pool.unavailableByRack_.find(RackKey(aHost));
  if (inRack != pool.unavailableByRack_.end() && inRack->second >= pool.maxPerRack_) {
    return BlockReason::Rack;
  }
  return pool.serving_ <= pool.floor_ ? BlockReason::Floor : BlockReason::None;
}

Availability::BlockReason
Availability::CheckDisruption(const FleetHost& aHost) const
{
  const BlockReason block = CheckMoveOut(aHost);
  if (block != BlockReason::None || IsUnavailable(aHost)) {
    return block;
  }
  return SurvivesRackLossWithout(RackKey(aHost)) ? BlockReason::None : BlockReason::RackLoss;
}

bool
Availability::SurvivesRackLossWithout(const std::string& aRack) const
{
  // PoolMover refills a pool from the spare pool first and then from any pool above its floor, so
  // the loss of a rack is covered if the remaining hosts reach the sum of the floors.
  for (const auto& [rack, hosts] : hostsByRack_) {
    if (hosts_ - hosts < floors_) {
      continue; // Not covered even if every host serves, so refusing maintenance doesn't help.
    }
    const auto found = servingByRack_.find(rack);
    const uint32_t lost = found == servingByRack_.end() ? 0 : found->second;
    const uint32_t taken = rack == aRack ? 0 : 1;
    if (serving_ < floors_ + lost + taken) {
      return false;
    }
  }
  return true;
}

void
Availability::MarkUnavailable(const FleetHost& aHost)
{
  if (IsUnavailable(aHost)) {
    return;
  }
  markedUnavailable_.insert(aHost.id_);
  const std::string rack = RackKey(aHost);
  PoolAvailability& pool = pools_[aHost.pool_];
  ++pool.unavailable_;
  ++pool.unavailableByRack_[rack];
  --pool.serving_;
  --serving_;
  --servingByRack_[rack];
}

const char*
BlockReasonName(Availability::BlockReason aBlock)
{
  constexpr std::array<const char*, static_cast<size_t>(Availability::BlockReason::Count)> kNames{
    "none", "budget", "rack", "floor", "rack-loss"
  };
  return aBlock < Availability::BlockReason::Count ? kNames[static_cast<size_t>(aBlock)]
                                                   : "invalid";
}

}
