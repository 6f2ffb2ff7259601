#pragma once

#include "sardinespoke/availability.h"

#include <set>
#include <string>
#include <vector>

namespace sardinespoke {

/// Next step of a roll-out.
struct MaintenancePlan
{
  std::vector<std::string> drain_;  ///< Serving hosts to drain now.
  std::vector<std::string> reboot_; ///< Failed hosts to reboot; their budget unit is spent anyway.
  bool finished_ = false;           ///< Every host was maintained, or cannot be.
  uint32_t remaining_ = 0;          ///< Hosts that are not maintained yet.
};

/// Chooses the next hosts of the roll-out in progress under budgets, spread over racks and
/// failures (docs/design.md, section 6). Pure: the plan depends on the document only, so a planner
/// that takes over continues where the last one stopped. When failures use up a budget, the plan
/// holds no host of that pool.
///
/// Pools are independent. Inside a pool, hosts of the rack with the most hosts left go first, so
/// that the last hosts are not all in one rack and have to wait for each other.
/// @param aAvailability Counts of the same document; drained hosts are taken out of it.
/// @param aSkipped Hosts that must not be drained now, such as those whose drain was cancelled.
MaintenancePlan
PlanMaintenance(const FleetMap& aFleet,
                Availability& aAvailability,
                const std::set<std::string>& aSkipped);

}
