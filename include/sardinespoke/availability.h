#pragma once

#include "sardinespoke/fleet_map.h"
#include "sardinespoke/profile_set.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace sardinespoke {

/// Availability of one pool. A serving host counts as unavailable if it is suspect.
struct PoolAvailability
{
  uint32_t hosts_ = 0;
  uint32_t serving_ = 0;
  uint32_t unavailable_ = 0;
  std::map<std::string, uint32_t> unavailableByRack_;
  uint32_t budget_ = 1;     ///< Maximum number of hosts that may be unavailable at once.
  uint32_t maxPerRack_ = 1; ///< Maximum number of unavailable hosts in one rack.
  uint32_t floor_ = 0;      ///< Minimum number of serving hosts.
};

/// @returns The combined maintenance rules of all profiles whose services run in a pool: the
/// smallest host limits and the longest drain and reboot limits; the defaults if there are none.
MaintenanceRules
StrictestRules(const ProfileSet& aProfiles, const std::string& aPool);

/// @returns "zone/rack", because rack names are unique only within a zone.
std::string
RackKey(const FleetHost& aHost);

/// Counts the unavailable hosts of a fleet document and decides which further hosts may be taken
/// out of service under the availability budgets (docs/design.md, section 6). Does no I/O.
class Availability
{
public:
  /// Why a disruption of a host is refused; None if it is allowed.
  enum class BlockReason
  {
    None,
    Budget,   ///< The pool's availability budget is used up.
    Rack,     ///< Too many hosts of the pool are unavailable in this rack.
    Floor,    ///< The pool would have fewer serving hosts than its floor.
    RackLoss, ///< After the loss of a rack, the remaining hosts would not cover all floors.
    Count
  };

  /// @param aSuspects Hosts whose circuit breaker is open at half or more of the entry hosts.
  Availability(const FleetMap& aFleet,
               const ProfileSet& aProfiles,
               const std::set<std::string>& aSuspects);

  /// Decides whether a host may be taken out of service temporarily. A host that is already
  /// unavailable uses no further budget.
  BlockReason CheckDisruption(const FleetHost& aHost) const;

  /// Decides whether a host may move to another pool. A move doesn't change the number of serving
  /// hosts of the fleet, so the loss of a rack is not checked.
  BlockReason CheckMoveOut(const FleetHost& aHost) const;

  /// Counts a serving host as unavailable in all further checks.
  void MarkUnavailable(const FleetHost& aHost);

  const std::map<std::string, PoolAvailability>& Pools() const { return pools_; }
  const PoolAvailability& Pool(const std::string& aPool) const;

  /// @returns Whether the host counts as unavailable.
  bool IsUnavailable(const FleetHost& aHost) const;

private:
  bool SurvivesRackLossWithout(const std::string& aRack) const;

  const std::set<std::string> suspects_;
  std::set<std::string> markedUnavailable_;
  std::map<std::string, PoolAvailability> pools_;
  std::map<std::string, uint32_t> hostsByRack_;
  std::map<std::string, uint32_t> servingByRack_;
  uint32_t hosts_ = 0;
  uint32_t serving_ = 0;
  uint32_t floors_ = 0;
};

/// @returns The reason's name in events: "budget", "rack" and so on.
const char*
BlockReasonName(Availability::BlockReason aBlock);

}
