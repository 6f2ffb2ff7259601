#pragma once

#include "sardinespoke/fleet_map.h"
#include "sardinespoke/profile_set.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace sardinespoke {

/// Availability of one pool. Serving hosts that are suspect count as unavailable.
struct PoolAvailability
{
  uint32_t hosts_ = 0;
  uint32_t serving_ = 0;
  uint32_t unavailable_ = 0;
  std::map<std::string, uint32_t> unavailableByRack_;
  uint32_t budget_ = 1;     ///< Hosts that may be unavailable at once.
  uint32_t maxPerRack_ = 1; ///< Hosts of one rack that may be unavailable at once.
  uint32_t floor_ = 0;
};

/// The strictest maintenance rules of all profiles whose services run in a pool: the smallest
/// limits on hosts, the longest drain and reboot limits. A pool without services gets the defaults.
MaintenanceRules
StrictestRules(const ProfileSet& aProfiles, const std::string& aPool);

/// @returns The rack's name together with its zone, since racks of two zones may share a name.
std::string
RackKey(const FleetHost& aHost);

/// Counts what is unavailable in a fleet document and decides what may be taken out on top of it
/// (docs/design.md, section 6). Pure.
class Availability
{
public:
  /// Why a host may not be taken out; None if it may.
  enum class BlockReason
  {
    None,
    Budget,   ///< The pool's availability budget is used up.
    Rack,     ///< Too many hosts of the pool are unavailable in this rack.
    Floor,    ///< The pool would have fewer serving hosts than its floor.
    RackLoss, ///< After the loss of a rack, all hosts together would not reach the floors.
    Count
  };

  /// @param aSuspects Hosts held open by the breakers of at least half of the entry hosts.
  Availability(const FleetMap& aFleet,
               const ProfileSet& aProfiles,
               const std::set<std::string>& aSuspects);

  /// Decides whether a host may be taken out of service for a while. A host that is unavailable
  /// already takes no further budget.
  BlockReason CheckDisruption(const FleetHost& aHost) const;

  /// Decides whether a host may leave its pool for another one. The move keeps the number of
  /// serving hosts, so the loss of a rack is not checked.
  BlockReason CheckMoveOut(const FleetHost& aHost) const;

  /// Counts a serving host as unavailable from now on.
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

/// @returns The block's name in events: "budget", "rack" and so on.
const char*
BlockReasonName(Availability::BlockReason aBlock);

}
