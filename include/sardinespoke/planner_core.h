#pragma once

#include "sardinespoke/host_control.h"
#include "sardinespoke/host_list.h"
#include "sardinespoke/maintenance_planner.h"
#include "sardinespoke/member_watch.h"
#include "sardinespoke/pool_mover.h"

#include <optional>

namespace sardinespoke {

/// Limits of the planner's decisions.
struct PlannerOptions
{
  MemberLimits members_;
  MoveCost moveCost_;
  /// A drain that is not done after the pool's drain limit and this time is cancelled; covers the
  /// time until a member has expired and was removed.
  std::chrono::milliseconds drainMargin_{ 15000 };
  std::chrono::milliseconds cancelledDrainBackOff_{
    60000
  }; ///< Before a cancelled drain is tried again.
  std::chrono::milliseconds failedHostExpiry_{
    600000
  }; ///< Absence after which a failed host is gone.
  std::chrono::milliseconds rebootRetryInterval_{ 5000 }; ///< Before a reboot that shows no effect.
};

/// Power state of a host as one step observed it.
struct ObservedPower
{
  bool known_ = true; ///< False if the platform does not know the host.
  HostPower power_;
};

/// Everything that one step decides on.
struct PlannerObservation
{
  TimePoint now_{};
  FleetMap fleet_; ///< As read from the store in this step.
  ProfileSet profiles_;
  std::vector<EntryReport> entries_;
  std::optional<HostListSnapshot> list_; ///< Not set if the host list did not answer.
  std::map<std::string, ObservedPower> power_;
  std::map<std::string, double> demandSlots_;
};

/// One decision with its cause, for the time line.
struct PlannerEvent
{
  std::string type_; ///< Such as "host.drain_started".
  std::string host_;
  std::string cause_;
};

/// What one step decides.
struct PlannerStep
{
  std::optional<FleetMap> next_;    ///< Document to write; not set if nothing changes.
  std::vector<std::string> reboot_; ///< Hosts to reboot; they are in maintenance in the document.
  std::vector<std::string> rebootAfterWrite_; ///< Hosts that next_ puts into maintenance.
  std::vector<PlannerEvent> events_;
};

/// Decisions of the planner duty: reconciles the fleet with the host list, finishes drains, moves
/// and reboots, and starts new ones (docs/design.md, sections 5.2 and 6). Does no I/O and reads no
/// clock. All changes of a step are in one document, so that a budget unit is checked and spent in
/// the same compare-and-swap. Timers are volatile: a new holder starts them afresh, which only
/// delays decisions.
class PlannerCore
{
public:
  PlannerCore(PlannerOptions aOptions, std::string aWriter);

  /// @returns Hosts whose power state the next step needs, at most aMost.
  std::vector<std::string> HostsToPoll(const FleetMap& aFleet,
                                       const std::optional<HostListSnapshot>& aList,
                                       const std::vector<EntryReport>& aEntries,
                                       size_t aMost);

  /// @param aChangeId Unique id for the document, if one is written.
  PlannerStep Decide(const PlannerObservation& aObserved, const std::string& aChangeId);

  /// @param aFleet A document without hosts; members may have joined already.
  /// @returns The first document with hosts, made of the listed ones, if there are any.
  std::optional<FleetMap> FirstDocument(const FleetMap& aFleet,
                                        const HostListSnapshot& aList,
                                        const ProfileSet& aProfiles,
                                        const std::string& aChangeId) const;

private:
  struct HostTimes
  {
    uint64_t changedRevision_ = 0;
    TimePoint since_{}; ///< When this planner first saw the record in its present state.
    std::optional<TimePoint> absentSince_; ///< Missing in the host list.
    std::optional<TimePoint> rebootCalled_;
    std::optional<TimePoint> drainCancelled_;
  };

  struct Draft; ///< The document that a step builds.

  void ObserveHosts(const PlannerObservation& aObserved);
  void RemoveMembers(const PlannerObservation& aObserved, Draft& aDraft) const;
  void Reconcile(const PlannerObservation& aObserved, Draft& aDraft) const;
  void ReconcileListed(const PlannerObservation& aObserved,
                       const ListedHost& aListed,
                       Draft& aDraft) const;
  void ReconcileAbsent(const PlannerObservation& aObserved,
                       const FleetHost& aHost,
                       Draft& aDraft) const;
  void Advance(const PlannerObservation& aObserved, Draft& aDraft);
  void AdvanceDraining(const PlannerObservation& aObserved, const FleetHost& aHost, Draft& aDraft);
  void AdvanceMaintenance(const PlannerObservation& aObserved,
                          const FleetHost& aHost,
                          Draft& aDraft);
  void AdvanceFailed(const PlannerObservation& aObserved,
                     const FleetHost& aHost,
                     Draft& aDraft) const;
  void PlanRollout(const PlannerObservation& aObserved, Availability& aAvailability, Draft& aDraft);
  void PlanMoves(const PlannerObservation& aObserved, Availability& aAvailability, Draft& aDraft);
  std::set<std::string> CancelledDrains(TimePoint aNow) const;

  const PlannerOptions options_;
  const std::string writer_;
  MemberWatch members_;
  PoolMover mover_;
  std::map<std::string, HostTimes> hosts_;
  size_t nextPoll_ = 0;
};

/// @returns Hosts that at least half of the reporting entry hosts hold open.
std::set<std::string>
FindSuspects(const std::vector<EntryReport>& aEntries);

}
