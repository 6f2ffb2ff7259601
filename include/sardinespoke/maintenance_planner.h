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
  std::vector<std::string> reboot_; ///< Failed hosts to reboot; they are unavailable already.
  bool finished_ = false;           ///< No host is left to maintain and none is rebooting.
  uint32_t remaining_ = 0;          ///< Hosts that are not maintained yet.
};

/// Selects the next hosts of the active roll-out within the availability budgets, rack limits and
/// floors (docs/design.md, section 6). The plan depends only on the document, so a planner that
/// takes over continues where the previous one stopped. While failures use up a pool's budget, no
/// host of that pool is drained.
///
/// Pools are planned independently. Within a pool, the rack with the most remaining hosts goes
/// first. Otherwise the last hosts could all be in one rack, where the rack limit delays them.
/// @param aAvailability Counts of the same document; hosts to drain are marked unavailable in it.
/// @param aSkipped Hosts that must not be drained now, such as those whose drain was cancelled.
MaintenancePlan
PlanMaintenance(const FleetMap& aFleet,
                Availability& aAvailability,
                const std::set<std::string>& aSkipped);

}
