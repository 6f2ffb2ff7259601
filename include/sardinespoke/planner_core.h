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
  /// Added to the pool's drain limit before an unfinished drain is cancelled; covers the time until
  /// a stopped member has expired and was removed.
  std::chrono::milliseconds drainMargin_{ 15000 };
  /// Delay before a cancelled drain is started again.
  std::chrono::milliseconds cancelledDrainBackOff_{ 60000 };
  /// Absence from the host list after which a failed host is removed from the document.
  std::chrono::milliseconds failedHostExpiry_{ 600000 };
  /// Delay before a reboot call without effect is repeated.
  std::chrono::milliseconds rebootRetryInterval_{ 5000 };
};

/// Power state of a host as observed in one step.
struct ObservedPower
{
  bool known_ = true; ///< False if the platform does not know the host.
  HostPower power_;
};

/// Input of one planner step.
struct PlannerObservation
{
  TimePoint now_{};
  FleetMap fleet_; ///< As read from the store in this step.
  ProfileSet profiles_;
  std::vector<EntryReport> entries_;
  std::optional<HostListSnapshot> list_; ///< Nullopt if the host list did not answer.
  std::map<std::string, ObservedPower> power_;
  std::map<std::string, double> demandSlots_;
};

/// One decision with its cause, for the event log.
struct PlannerEvent
{
  std::string type_; ///< Such as "host.drain_started".
  std::string host_;
  std::string cause_;
};

/// Result of one planner step.
struct PlannerStep
{
  std::optional<FleetMap> next_;              ///< Document to write; nullopt if nothing changes.
  std::vector<std::string> reboot_;           ///< Hosts to reboot that are already in maintenance.
  std::vector<std::string> rebootAfterWrite_; ///< Hosts to reboot once next_ is written.
  std::vector<PlannerEvent> events_;
};

/// Decision logic of the planner: reconciles the fleet document with the host list, completes
/// drains, moves and reboots, and starts new ones (docs/design.md, sections 5.2 and 6). Does no I/O
/// and reads no clock. All changes of a step are in one document, so that an availability budget is
/// checked and used in the same compare-and-swap. Timers are not stored: a new holder of the
/// planner lease restarts them, which only delays decisions.
class PlannerCore
{
public:
  PlannerCore(PlannerOptions aOptions, std::string aWriter);

  /// @returns Up to aMost hosts whose power state the next step needs.
  std::vector<std::string> HostsToPoll(const FleetMap& aFleet,
                                       const std::optional<HostListSnapshot>& aList,
                                       const std::vector<EntryReport>& aEntries,
                                       size_t aMost);

  /// Computes the changes of one step.
  /// @param aChangeId Unique change id of the document, if one is written.
  PlannerStep Decide(const PlannerObservation& aObserved, const std::string& aChangeId);

  /// @param aFleet A document without hosts; members may have joined already.
  /// @returns The document with the listed hosts distributed over the pools; nullopt if there are
  /// none.
  std::optional<FleetMap> FirstDocument(const FleetMap& aFleet,
                                        const HostListSnapshot& aList,
                                        const ProfileSet& aProfiles,
                                        const std::string& aChangeId) const;

private:
  struct HostTimes
  {
    uint64_t changedRevision_ = 0;
    TimePoint since_{};                    ///< When this planner first observed changedRevision_.
    std::optional<TimePoint> absentSince_; ///< Set while the host is missing in the host list.
    std::optional<TimePoint> rebootCalled_;
    std::optional<TimePoint> drainCancelled_;
  };

  struct Draft; ///< The document under construction.

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

/// @returns Hosts whose circuit breaker is open at half or more of the reporting entry hosts.
std::set<std::string>
FindSuspects(const std::vector<EntryReport>& aEntries);

}
