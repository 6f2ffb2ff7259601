#pragma once

#include "sardinespoke/fleet_map.h"
#include "sardinespoke/host_list.h"
#include "sardinespoke/profile_set.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sardinespoke {

/// Number of spare hosts that the pools need, and their racks.
struct SparePlan
{
  /// Largest shortfall after the loss of one rack: the sum over pools of the floor minus the
  /// remaining hosts.
  uint32_t needed_ = 0;
  /// Number of spare hosts. More than needed_ if the loss of a rack also removes spare hosts.
  uint32_t hosts_ = 0;
  std::map<std::string, uint32_t> byRack_;
  bool feasible_ = true; ///< False if the racks have no room for enough spare hosts.
};

/// @returns The pool that is marked as spare, or an empty string.
std::string
SparePool(const ProfileSet& aProfiles);

/// Plans the smallest set of spare hosts that covers the loss of any one rack (docs/design.md,
/// section 6). The result is optimal for the given placement of the pools' hosts.
/// @param aPoolRacks Number of hosts of each pool by rack, without spare hosts.
/// @param aFloors Floor of each pool.
/// @param aRackCapacity Maximum number of spare hosts by rack.
SparePlan
PlanSpare(const std::map<std::string, std::map<std::string, uint32_t>>& aPoolRacks,
          const std::map<std::string, uint32_t>& aFloors,
          const std::map<std::string, uint32_t>& aRackCapacity);

/// @returns The largest shortfall over all pools except the spare pool that the loss of one rack
/// would leave, counting the serving hosts of a fleet document.
uint32_t
SpareNeeded(const FleetMap& aFleet, const ProfileSet& aProfiles);

/// Distributes hosts over the pools in proportion to the floors, and each pool over the racks. Used
/// while the fleet document has no hosts.
/// @returns The pool of each host.
std::map<std::string, std::string>
DistributeHosts(const std::vector<ListedHost>& aHosts, const ProfileSet& aProfiles);

}
