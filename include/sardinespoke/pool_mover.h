#pragma once

#include "sardinespoke/availability.h"
#include "sardinespoke/clock.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardinespoke {

/// Cost of moving a host between pools.
struct MoveCost
{
  std::chrono::milliseconds drain_{ 5000 }; ///< From the start of the drain to the end of the move.
  std::chrono::milliseconds warmUp_{ 5000 }; ///< Until the host runs at full speed in its new pool.

  /// @returns Host time spent on a move and the move back.
  std::chrono::milliseconds RoundTrip() const { return 2 * (drain_ + warmUp_); }
};

/// A move to start now.
struct PlannedMove
{
  std::string host_;
  std::string from_;
  std::string to_;
};

/// Decides when hosts move between pools by the ski-rental rule (docs/design.md, section 6): the
/// n-th additional host moves to a pool once the unmet demand that it would have served since the
/// shortage began exceeds the cost of a move and the move back. The total cost of waiting and
/// moving is therefore at most twice the cost of the better choice in hindsight. Does no I/O. The
/// shortages are kept in memory only, so a new holder of the planner lease starts without them.
class PoolMover
{
public:
  explicit PoolMover(MoveCost aCost);

  /// Adds the unmet demand since the last call to the shortages and plans moves.
  /// @param aFleet Document that the moves will change.
  /// @param aAvailability Counts of that document; hosts to move are marked unavailable in it.
  /// @param aDemandSlots Queued and running requests per pool, in slots.
  /// @param aSkipped Hosts that must not move now, such as those whose drain was cancelled.
  std::vector<PlannedMove> Plan(const FleetMap& aFleet,
                                const ProfileSet& aProfiles,
                                Availability& aAvailability,
                                const std::map<std::string, double>& aDemandSlots,
                                const std::set<std::string>& aSkipped,
                                TimePoint aNow);

private:
  struct Shortage
  {
    /// Unmet demand since the shortage began that the n-th additional host would have served.
    std::vector<double> unmetHostSeconds_;
  };

  struct PoolLoad
  {
    double capacity_ = 0; ///< Hosts that serve in the pool or are moving to it.
    double demand_ = 0;   ///< Hosts that the demand or the floor requires.
  };

  std::map<std::string, PoolLoad> ComputeLoads(
    const FleetMap& aFleet,
    const ProfileSet& aProfiles,
    const std::map<std::string, double>& aDemandSlots) const;
  void RecordArrivals(const FleetMap& aFleet, TimePoint aNow);
  uint32_t CountDueMoves(const std::string& aPool, const PoolLoad& aLoad, double aSeconds);
  const FleetHost* ChooseHost(const FleetMap& aFleet,
                              const ProfileSet& aProfiles,
                              const Availability& aAvailability,
                              const std::set<std::string>& aSkipped,
                              const std::map<std::string, PoolLoad>& aLoads,
                              const std::string& aTo,
                              TimePoint aNow) const;
  bool CanDonateHost(const PoolRules& aRules, const PoolLoad& aLoad, TimePoint aNow) const;

  const MoveCost cost_;
  TimePoint lastPlanAt_{};
  std::map<std::string, Shortage> shortages_;
  std::map<std::string, std::string> knownPools_; ///< Pool of each host at the last call.
  std::map<std::string, TimePoint> lastArrival_;  ///< When the last host moved to each pool.
};

}
