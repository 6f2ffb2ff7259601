#pragma once

#include "sardinespoke/fleet_map.h"
#include "sardinespoke/host_list.h"
#include "sardinespoke/profile_set.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinespoke {

/// How many spare hosts the pools need and in which racks.
struct SparePlan
{
  /// Largest shortfall that the loss of one rack leaves: the sum over pools of the floor minus the
  /// hosts left.
  uint32_t needed_ = 0;
  /// Spare hosts to hold, which is more than needed_ if a rack's loss also takes spare hosts.
  uint32_t hosts_ = 0;
  std::map<std::string, uint32_t> byRack_;
  bool feasible_ = true; ///< False if the racks have no room for enough spare hosts.
};

/// @returns The pool that is marked as spare, or an empty string.
std::string
SparePool(const ProfileSet& aProfiles);

/// Plans the smallest set of spare hosts that covers the loss of any one rack (docs/design.md,
/// section 6). Exact for given places of the pools' hosts. Pure.
/// @param aPoolRacks Hosts of each pool by rack, without spare hosts.
/// @param aFloors Floor of each pool.
/// @param aRoom Places for spare hosts by rack.
SparePlan
PlanSpare(const std::map<std::string, std::map<std::string, uint32_t>>& aPoolRacks,
          const std::map<std::string, uint32_t>& aFloors,
          const std::map<std::string, uint32_t>& aRoom);

/// Shortfall over all pools but the spare one that the worst loss of a rack would leave now, for
/// the hosts of a fleet document that serve.
uint32_t
SpareNeeded(const FleetMap& aFleet, const ProfileSet& aProfiles);

/// Distributes hosts over the pools in proportion to the floors, each pool spread over the racks.
/// Used when no fleet document exists yet.
/// @returns The pool of each host.
std::map<std::string, std::string>
DistributeHosts(const std::vector<ListedHost>& aHosts, const ProfileSet& aProfiles);

}
