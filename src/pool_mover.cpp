#include "sardinespoke/pool_mover.h"

#include "sardinespoke/spare_planner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace sardinespoke {

namespace {

double
Seconds(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

/// @returns Number of hosts in a pool or moving to it, by rack.
std::map<std::string, uint32_t>
CountByRack(const FleetMap& aFleet, const std::string& aPool)
{
  std::map<std::string, uint32_t> counts;
  for (const auto& [id, host] : aFleet.hosts_) {
    if (host.pool_ == aPool || host.targetPool_ == aPool) {
      ++counts[RackKey(host)];
    }
  }
  return counts;
}

}

PoolMover::PoolMover(MoveCost aCost)
  : cost_(aCost)
{
}

void
PoolMover::RecordArrivals(const FleetMap& aFleet, TimePoint aNow)
{
  std::map<std::string, std::string> pools;
  for (const auto& [id, host] : aFleet.hosts_) {
    pools[id] = host.pool_;
    const auto known = knownPools_.find(id);
    const bool first = knownPools_.empty();
    // A new holder of the planner lease doesn't know when hosts moved and assumes that all moved
    // just now.
    if (first || (known != knownPools_.end() && known->second != host.pool_)) {
      lastArrival_[host.pool_] = aNow;
    }
    if (host.reason_ == DrainReason::Move) {
      lastArrival_[host.targetPool_] = aNow;
    }
  }
  knownPools_ = std::move(pools);
}

std::map<std::string, PoolMover::PoolLoad>
PoolMover::ComputeLoads(const FleetMap& aFleet,
                        const ProfileSet& aProfiles,
                        const std::map<std::string, double>& aDemandSlots) const
{
  std::set<std::string> used;
  for (const auto& [name, service] : aProfiles.services_) {
    used.insert(service.pool_);
  }
  std::map<std::string, PoolLoad> loads;
  for (const auto& [name, rules] : aProfiles.pools_) {
    PoolLoad& load = loads[name];
    const auto demand = aDemandSlots.find(name);
    const double slots = demand == aDemandSlots.end() ? 0 : demand->second;
    const double floor = rules.floorHosts_ + (rules.spare_ ? SpareNeeded(aFleet, aProfiles) : 0);
    // A pool without hosts refuses every request and so never reports demand.
    const double least = used.count(name) > 0 ? 1 : 0;
    load.demand_ = std::max({ slots / std::max(1U, rules.slotsPerHost_), floor, least });
  }
  for (const auto& [id, host] : aFleet.hosts_) {
    const bool moving = host.reason_ == DrainReason::Move;
    const auto load = loads.find(moving ? host.targetPool_ : host.pool_);
    if (load != loads.end() && (moving || host.state_ == HostState::Serving)) {
      load->second.capacity_ += 1;
    }
  }
  return loads;
}

uint32_t
PoolMover::CountDueMoves(const std::string& aPool, const PoolLoad& aLoad, double aSeconds)
{
  std::vector<double>& levels = shortages_[aPool].unmetHostSeconds_;
  const double unmet = std::max(0.0, aLoad.demand_ - aLoad.capacity_);
  levels.resize(static_cast<size_t>(std::ceil(unmet)), 0.0);
  uint32_t due = 0;
  for (size_t i = 0; i < levels.size(); ++i) {
    levels[i] += std::min(1.0, unmet - static_cast<double>(i)) * aSeconds;
    due += levels[i] > Seconds(cost_.RoundTrip()) ? 1 : 0;
  }
  return due;
}

bool
PoolMover::CanDonateHost(const PoolRules& aRules, const PoolLoad& aLoad, TimePoint aNow) const
{
  const auto arrival = lastArrival_.find(aRules.name_);
  if (arrival != lastArrival_.end() && aNow - arrival->second < cost_.RoundTrip()) {
    return false;
  }
  const double needed = aRules.spare_ ? aRules.floorHosts_ : aLoad.demand_;
  return aLoad.capacity_ - 1 >= needed;
}

const FleetHost*
PoolMover::ChooseHost(const FleetMap& aFleet,
                      const ProfileSet& aProfiles,
                      const Availability& aAvailability,
                      const std::set<std::string>& aSkipped,
                      const std::map<std::string, PoolLoad>& aLoads,
                      const std::string& aTo,
                      TimePoint aNow) const
{
  // Prefers the spare pool, then the pool with the most unused hosts, then the rack in which the
  // target pool has the fewest hosts.
  using Rank = std::tuple<bool, double, uint32_t>;
  const FleetHost* best = nullptr;
  Rank bestRank;
  std::map<std::string, uint32_t> inRack = CountByRack(aFleet, aTo);
  for (const auto& [id, host] : aFleet.hosts_) {
    const auto rules = aProfiles.pools_.find(host.pool_);
    if (host.state_ != HostState::Serving || host.pool_ == aTo || rules == aProfiles.pools_.end()) {
      continue;
    }
    const PoolLoad& load = aLoads.at(host.pool_);
    // Hosts selected earlier in this call are already marked unavailable, although the document
    // still shows them as serving.
    if (aSkipped.count(id) > 0 || aAvailability.IsUnavailable(host)) {
      continue;
    }
    if (!CanDonateHost(rules->second, load, aNow) ||
        aAvailability.CheckMoveOut(host) != Availability::BlockReason::None) {
      continue;
    }
    const Rank rank{ !rules->second.spare_, load.demand_ - load.capacity_, inRack[RackKey(host)] };
    if (best == nullptr || rank < bestRank) {
      best = &host;
      bestRank = rank;
    }
  }
  return best;
}

std::vector<PlannedMove>
PoolMover::Plan(const FleetMap& aFleet,
                const ProfileSet& aProfiles,
                Availability& aAvailability,
                const std::map<std::string, double>& aDemandSlots,
                const std::set<std::string>& aSkipped,
                TimePoint aNow)
{
  RecordArrivals(aFleet, aNow);
  const double elapsed = lastPlanAt_ == TimePoint{} ? 0 : Seconds(aNow - lastPlanAt_);
  lastPlanAt_ = aNow;
  std::map<std::string, PoolLoad> loads = ComputeLoads(aFleet, aProfiles, aDemandSlots);
  std::vector<PlannedMove> moves;
  for (auto& [pool, load] : loads) {
    const uint32_t due = CountDueMoves(pool, load, elapsed);
    for (uint32_t i = 0; i < due; ++i) {
      const FleetHost* host =
        ChooseHost(aFleet, aProfiles, aAvailability, aSkipped, loads, pool, aNow);
      if (host == nullptr) {
        break;
      }
      moves.push_back({ host->id_, host->pool_, pool });
      aAvailability.MarkUnavailable(*host);
      loads.at(host->pool_).capacity_ -= 1;
      load.capacity_ += 1;
      std::vector<double>& levels = shortages_[pool].unmetHostSeconds_;
      levels.erase(levels.begin());
    }
  }
  return moves;
}

}
