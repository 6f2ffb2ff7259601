#include "sardinespoke/spare_planner.h"

#include "sardinespoke/availability.h"

#include <algorithm>
#include <utility>

namespace sardinespoke {

namespace {

using RackCounts = std::map<std::string, uint32_t>;

uint32_t
CountAt(const RackCounts& aCounts, const std::string& aRack)
{
  const auto found = aCounts.find(aRack);
  return found == aCounts.end() ? 0 : found->second;
}

/// @returns For each rack, the shortfall over all pools after its loss.
RackCounts
ShortfallsByRack(const std::map<std::string, RackCounts>& aPoolRacks, const RackCounts& aFloors)
{
  // The loss of a rack adds only to the shortfall of pools with hosts in that rack.
  RackCounts rackShortfalls;
  uint32_t currentShortfall = 0;
  for (const auto& [pool, counts] : aPoolRacks) {
    const uint32_t floor = CountAt(aFloors, pool);
    const auto shortfallOf = [floor](uint32_t aHosts) {
      return floor > aHosts ? floor - aHosts : 0;
    };
    uint32_t total = 0;
    for (const auto& [rack, hosts] : counts) {
      total += hosts;
    }
    currentShortfall += shortfallOf(total);
    for (const auto& [rack, hosts] : counts) {
      rackShortfalls[rack] += shortfallOf(total - hosts) - shortfallOf(total);
    }
  }
  for (auto& [rack, value] : rackShortfalls) {
    value += currentShortfall;
  }
  return rackShortfalls;
}

/// @returns Maximum number of spare hosts in a rack if there are aHosts in total: those in the
/// other racks must cover its loss.
uint32_t
MaxSparesInRack(uint32_t aHosts, uint32_t aShortfall, uint32_t aRackCapacity)
{
  return aHosts < aShortfall ? 0 : std::min(aRackCapacity, aHosts - aShortfall);
}

/// Places spare hosts one at a time in the rack with the fewest spare hosts.
RackCounts
PlaceSpareHosts(uint32_t aHosts, const RackCounts& aShortfalls, const RackCounts& aRackCapacity)
{
  RackCounts placed;
  for (uint32_t i = 0; i < aHosts; ++i) {
    const std::string* best = nullptr;
    for (const auto& [rack, capacity] : aRackCapacity) {
      const uint32_t limit = MaxSparesInRack(aHosts, CountAt(aShortfalls, rack), capacity);
      const uint32_t sparesInRack = CountAt(placed, rack);
      if (sparesInRack < limit && (best == nullptr || sparesInRack < CountAt(placed, *best))) {
        best = &rack;
      }
    }
    if (best == nullptr) {
      break;
    }
    ++placed[*best];
  }
  return placed;
}

/// @returns Hosts per pool in proportion to the floors, by the largest remainder method.
RackCounts
PoolSizes(size_t aHosts, const ProfileSet& aProfiles)
{
  uint64_t floors = 0;
  for (const auto& [name, rules] : aProfiles.pools_) {
    floors += rules.floorHosts_;
  }
  RackCounts sizes;
  std::vector<std::pair<double, std::string>> remainders;
  size_t assigned = 0;
  for (const auto& [name, rules] : aProfiles.pools_) {
    const double weight = floors == 0 ? 1.0 / static_cast<double>(aProfiles.pools_.size())
                                      : static_cast<double>(rules.floorHosts_) / floors;
    const double share = weight * static_cast<double>(aHosts);
    sizes[name] = static_cast<uint32_t>(share);
    assigned += sizes[name];
    remainders.emplace_back(sizes[name] - share, name);
  }
  std::sort(remainders.begin(), remainders.end());
  for (size_t i = 0; assigned < aHosts && !remainders.empty(); ++i, ++assigned) {
    ++sizes[remainders[i % remainders.size()].second];
  }
  return sizes;
}

}

std::string
SparePool(const ProfileSet& aProfiles)
{
  for (const auto& [name, rules] : aProfiles.pools_) {
    if (rules.spare_) {
      return name;
    }
  }
  return {};
}

SparePlan
PlanSpare(const std::map<std::string, RackCounts>& aPoolRacks,
          const RackCounts& aFloors,
          const RackCounts& aRackCapacity)
{
  const RackCounts shortfalls = ShortfallsByRack(aPoolRacks, aFloors);
  SparePlan plan;
  for (const auto& [rack, shortfall] : shortfalls) {
    plan.needed_ = std::max(plan.needed_, shortfall);
  }
  uint32_t totalCapacity = 0;
  for (const auto& [rack, rackCapacity] : aRackCapacity) {
    totalCapacity += rackCapacity;
  }
  for (plan.hosts_ = plan.needed_; plan.hosts_ <= totalCapacity; ++plan.hosts_) {
    uint32_t placeable = 0;
    for (const auto& [rack, rackCapacity] : aRackCapacity) {
      placeable += MaxSparesInRack(plan.hosts_, CountAt(shortfalls, rack), rackCapacity);
    }
    if (placeable >= plan.hosts_) {
      plan.byRack_ = PlaceSpareHosts(plan.hosts_, shortfalls, aRackCapacity);
      return plan;
    }
  }
  plan.feasible_ = false;
  plan.hosts_ = totalCapacity;
  plan.byRack_ = aRackCapacity;
  return plan;
}

uint32_t
SpareNeeded(const FleetMap& aFleet, const ProfileSet& aProfiles)
{
  std::map<std::string, RackCounts> racks;
  RackCounts floors;
  for (const auto& [name, rules] : aProfiles.pools_) {
    if (!rules.spare_) {
      floors[name] = rules.floorHosts_;
      racks[name];
    }
  }
  for (const auto& [id, host] : aFleet.hosts_) {
    const auto pool = racks.find(host.pool_);
    if (pool != racks.end() && host.state_ == HostState::Serving) {
      ++pool->second[RackKey(host)];
    }
  }
  uint32_t needed = 0;
  for (const auto& [rack, shortfall] : ShortfallsByRack(racks, floors)) {
    needed = std::max(needed, shortfall);
  }
  return needed;
}

std::map<std::string, std::string>
DistributeHosts(const std::vector<ListedHost>& aHosts, const ProfileSet& aProfiles)
{
  std::map<std::string, std::vector<const ListedHost*>> racks;
  size_t count = 0;
  for (const ListedHost& host : aHosts) {
    if (host.leaving_) {
      continue;
    }
    racks[host.zone_ + "/" + host.rack_].push_back(&host);
    ++count;
  }
  RackCounts unassigned = PoolSizes(count, aProfiles);
  std::map<std::string, std::string> pools;
  for (const auto& [rack, hosts] : racks) {
    RackCounts inRack;
    for (const ListedHost* host : hosts) {
      // Selects the pool with the fewest hosts in this rack, then the one with the most hosts still
      // to be placed.
      const std::string* best = nullptr;
      for (const auto& [pool, poolHosts] : unassigned) {
        if (poolHosts == 0) {
          continue;
        }
        if (best == nullptr || std::make_pair(inRack[pool], unassigned[*best]) <
                                 std::make_pair(inRack[*best], poolHosts)) {
          best = &pool;
        }
      }
      if (best == nullptr) {
        return pools;
      }
      pools[host->id_] = *best;
      ++inRack[*best];
      --unassigned[*best];
    }
  }
  return pools;
}

}
