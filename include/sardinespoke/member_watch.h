#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/fleet_map.h"
#include "sardinespoke/planner_inputs.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sardinespoke {

/// Time limits of the rules on members (docs/design.md, section 5.2).
struct MemberLimits
{
  std::chrono::milliseconds stoppedAfter_{ 8000 }; ///< Lease 4 s, view limit 2.5 s, margin 1.5 s.
  std::chrono::milliseconds stoppedAfterUnwitnessed_{
    3600000
  };                                             ///< For an expired member without a witness.
  std::chrono::milliseconds settleTime_{ 4000 }; ///< View limit 2.5 s, margin 1.5 s.
};

/// Tells which members of the fleet document have a drain in force, and which are certain to have
/// stopped. Does no I/O.
class MemberWatch
{
public:
  explicit MemberWatch(MemberLimits aLimits = {});

  /// Takes over the entry records of one answer of the store.
  void Observe(const FleetMap& aFleet, const std::vector<EntryReport>& aEntries, TimePoint aNow);

  /// @returns Members to remove, because they are certain to have stopped by themselves.
  std::vector<std::string> StoppedMembers(const FleetMap& aFleet, TimePoint aNow) const;

  /// @returns Why a draining host may still run work that was sent before its record changed;
  /// nothing if no member can still send or run such work.
  std::optional<std::string> DrainBlocker(const FleetHost& aHost,
                                          const FleetMap& aFleet,
                                          TimePoint aNow) const;

  /// @returns Whether a member is known to have acknowledged another's joining, but the document
  /// does not say so yet. A planner that starts later could not use that other member as a witness.
  bool HasUnstoredJoinAcks(const FleetMap& aFleet) const;

  /// Copies the acknowledged revisions into a document that is about to be written.
  void CopyAcks(FleetMap& aFleet) const;

private:
  using Incarnation = std::pair<std::string, std::string>; ///< Entry host id, incarnation.

  struct MemberState
  {
    std::optional<TimePoint> absentSince_;
    uint64_t acked_ = 0;         ///< Last revision it is known to have had in force.
    uint64_t reported_ = 0;      ///< Revision of its last entry record,
    std::set<std::string> busy_; ///< and the busy hosts of the same record.
  };

  bool HasWitness(const FleetMap& aFleet, const Member& aExpired) const;

  const MemberLimits limits_;
  std::map<Incarnation, MemberState> memberStates_;
  TimePoint changed_{}; ///< When a member was last seen to appear or to disappear.
};

}
