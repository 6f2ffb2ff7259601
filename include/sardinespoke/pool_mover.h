#pragma once

#include "sardinespoke/availability.h"
#include "sardinespoke/clock.h"

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardinespoke {

/// What a move of a host costs.
struct MoveCost
{
  std::chrono::milliseconds drain_{ 5000 };  ///< From the first write to the second.
  std::chrono::milliseconds warmUp_{ 5000 }; ///< Until the host runs at full speed in its new pool.

  /// @returns Host time spent on a move and on the move back.
  std::chrono::milliseconds RoundTrip() const { return 2 * (drain_ + warmUp_); }
};

/// A move that should start now.
struct PlannedMove
{
  std::string host_;
  std::string from_;
  std::string to_;
};

/// Decides when hosts move between pools by the ski-rental rule (docs/design.md, section 6): the
/// n-th additional host moves to a pool once the demand that only it could have served, since the
/// shortage began, exceeds the cost of a move and the move back. So the cost of waiting and the
/// cost of moving are never more than twice the cost of the better choice in hindsight. Does no
/// I/O; keeps the shortages between calls, which a new holder of the planner duty starts afresh.
class PoolMover
{
public:
  explicit PoolMover(MoveCost aCost);

  /// Takes over the demand since the last call and plans moves.
  /// @param aFleet Document that the moves will change.
  /// @param aAvailability Counts of that document; moved hosts are taken out of it.
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
    std::vector<double>
      unmetHostSeconds_; ///< Unmet host seconds that the n-th additional host would serve.
  };

  struct PoolLoad
  {
    double capacity_ = 0; ///< Hosts that serve or are on their way into the pool.
    double demand_ = 0;   ///< Hosts that the demand or the floor asks for.
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
  std::map<std::string, TimePoint> lastArrival_;  ///< Last host that moved into each pool.
};

}
