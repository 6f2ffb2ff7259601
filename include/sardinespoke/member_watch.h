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

/// Timeouts of the member rules (docs/design.md, section 5.2).
struct MemberLimits
{
  std::chrono::milliseconds stoppedAfter_{ 8000 }; ///< Lease 4 s + view limit 2.5 s + margin 1.5 s.
  std::chrono::milliseconds stoppedAfterUnwitnessed_{ 3600000 }; ///< If it has no witness.
  std::chrono::milliseconds settleTime_{ 4000 }; ///< View limit 2.5 s + margin 1.5 s.
};

/// Tracks the entry records of the fleet document's members: which members still hold up a drain,
/// and which are certain to have stopped. Does no I/O.
class MemberWatch
{
public:
  explicit MemberWatch(MemberLimits aLimits = {});

  /// Records the entry records of one read of the store.
  void Observe(const FleetMap& aFleet, const std::vector<EntryReport>& aEntries, TimePoint aNow);

  /// @returns Members to remove because they are certain to have stopped dispatching.
  std::vector<std::string> StoppedMembers(const FleetMap& aFleet, TimePoint aNow) const;

  /// @returns Why a draining host may still receive or run work dispatched before its record
  /// changed; empty if no member can still dispatch or run such work.
  std::optional<std::string> DrainBlocker(const FleetHost& aHost,
                                          const FleetMap& aFleet,
                                          TimePoint aNow) const;

  /// @returns Whether a member has acknowledged the revision in which another one joined, but the
  /// document does not record it yet. Without the record, a planner that starts later could not use
  /// that other member as a witness.
  bool HasUnstoredJoinAcks(const FleetMap& aFleet) const;

  /// Copies the acknowledged revisions into a document that is about to be written.
  void CopyAcks(FleetMap& aFleet) const;

private:
  using Incarnation = std::pair<std::string, std::string>; ///< Entry host id, incarnation.

  struct MemberState
  {
    std::optional<TimePoint> absentSince_;
    uint64_t acked_ = 0;         ///< Last revision it is known to have had in force.
    uint64_t reported_ = 0;      ///< Fleet revision of its latest entry record.
    std::set<std::string> busy_; ///< Busy hosts of its latest entry record.
  };

  /// @returns Whether a live member joined by a revision that the expired member had in force. The
  /// expired member then cannot keep dispatching by the outage rule, which needs every other
  /// member.
  bool HasWitness(const FleetMap& aFleet, const Member& aExpired) const;

  const MemberLimits limits_;
  std::map<Incarnation, MemberState> memberStates_;
  TimePoint changed_{}; ///< When the set of member incarnations last changed.
};

}
