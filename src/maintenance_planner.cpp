#include "sardinespoke/maintenance_planner.h"

#include <algorithm>
#include <map>
#include <utility>

namespace sardinespoke {

namespace {

using HostsByRack = std::map<std::string, std::vector<const FleetHost*>>;

bool
IsMaintained(const FleetMap& aFleet, const FleetHost& aHost)
{
  return aHost.maintainedRollout_ >= aFleet.rollout_.number_;
}

/// @returns Candidates of one pool in the order of selection.
std::vector<const FleetHost*>
OrderCandidates(const HostsByRack& aRacks)
{
  struct RackCursor
  {
    const std::vector<const FleetHost*>* hosts_;
    size_t next_ = 0;
  };
  std::vector<RackCursor> racks;
  racks.reserve(aRacks.size());
  for (const auto& [rack, hosts] : aRacks) {
    racks.push_back({ &hosts });
  }
  const auto fewer = [](const RackCursor& aOne, const RackCursor& aOther) {
    return aOne.hosts_->size() - aOne.next_ < aOther.hosts_->size() - aOther.next_;
  };
  std::vector<const FleetHost*> order;
  for (;;) {
    const auto fullest = std::max_element(racks.begin(), racks.end(), fewer);
    if (fullest == racks.end() || fullest->next_ == fullest->hosts_->size()) {
      return order;
    }
    order.push_back((*fullest->hosts_)[fullest->next_++]);
  }
}

/// @returns Pools ordered by remaining rounds, most first. Those pools determine the end of the
/// roll-out, and the margin for the loss of a rack is shared by all pools.
std::vector<std::string>
OrderPools(const std::map<std::string, HostsByRack>& aCandidates, const Availability& aAvailability)
{
  std::vector<std::pair<double, std::string>> rounds;
  rounds.reserve(aCandidates.size());
  for (const auto& [pool, racks] : aCandidates) {
    size_t hosts = 0;
    for (const auto& [rack, inRack] : racks) {
      hosts += inRack.size();
    }
    const uint32_t budget = std::max(1U, aAvailability.Pool(pool).budget_);
    rounds.emplace_back(-static_cast<double>(hosts) / budget, pool);
  }
  std::sort(rounds.begin(), rounds.end());
  std::vector<std::string> order;
  order.reserve(rounds.size());
  for (const auto& [negative, pool] : rounds) {
    order.push_back(pool);
  }
  return order;
}

void
PlanPool(const HostsByRack& aRacks, Availability& aAvailability, MaintenancePlan& aPlan)
{
  for (const FleetHost* host : OrderCandidates(aRacks)) {
    const Availability::BlockReason block = aAvailability.CheckDisruption(*host);
    if (block == Availability::BlockReason::Budget) {
      return;
    }
    if (block != Availability::BlockReason::None) {
      continue;
    }
    aAvailability.MarkUnavailable(*host);
    aPlan.drain_.push_back(host->id_);
  }
}

}

MaintenancePlan
PlanMaintenance(const FleetMap& aFleet,
                Availability& aAvailability,
                const std::set<std::string>& aSkipped)
{
  MaintenancePlan plan;
  if (!aFleet.rollout_.active_) {
    return plan;
  }
  std::map<std::string, HostsByRack> candidates;
  bool busy = false;
  for (const auto& [id, host] : aFleet.hosts_) {
    const bool rebooting = host.state_ == HostState::Maintenance;
    busy = busy || rebooting;
    if (rebooting || host.state_ == HostState::Leaving || IsMaintained(aFleet, host)) {
      continue;
    }
    if (host.state_ == HostState::Draining && host.reason_ == DrainReason::Leaving) {
      continue;
    }
    ++plan.remaining_;
    if (aSkipped.count(id) > 0) {
      continue;
    }
    if (host.state_ == HostState::Failed) {
      plan.reboot_.push_back(id);
    }
    if (host.state_ == HostState::Serving) {
      candidates[host.pool_][RackKey(host)].push_back(&host);
    }
  }
  plan.finished_ = plan.remaining_ == 0 && !busy;
  if (aFleet.rollout_.paused_) {
    plan.reboot_.clear();
    return plan;
  }
  for (const std::string& pool : OrderPools(candidates, aAvailability)) {
    PlanPool(candidates[pool], aAvailability, plan);
  }
  return plan;
}

}
