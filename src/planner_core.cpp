#include "sardinespoke/planner_core.h"

#include "planner_draft_p.h"
#include "sardinespoke/fleet_transitions.h"
#include "sardinespoke/spare_planner.h"

#include <algorithm>
#include <utility>

namespace sardinespoke {

namespace {

/// @returns The pool for new hosts: the spare pool, or the first pool if none is marked as spare.
std::string
PoolForNewHosts(const ProfileSet& aProfiles)
{
  std::string spare = SparePool(aProfiles);
  if (!spare.empty() || aProfiles.pools_.empty()) {
    return spare;
  }
  return aProfiles.pools_.begin()->first;
}

const ObservedPower*
FindPower(const PlannerObservation& aObserved, const std::string& aHost)
{
  const auto found = aObserved.power_.find(aHost);
  return found == aObserved.power_.end() ? nullptr : &found->second;
}

bool
IsUp(const ObservedPower* aPower)
{
  return aPower != nullptr && aPower->known_ && aPower->power_.state_ == HostPower::State::Up;
}

bool
IsGone(const ObservedPower* aPower)
{
  return aPower != nullptr && (!aPower->known_ || aPower->power_.state_ == HostPower::State::Down);
}

}

std::set<std::string>
FindSuspects(const std::vector<EntryReport>& aEntries)
{
  std::map<std::string, size_t> votes;
  for (const EntryReport& entry : aEntries) {
    for (const std::string& host : entry.suspects_) {
      ++votes[host];
    }
  }
  std::set<std::string> suspects;
  for (const auto& [host, count] : votes) {
    if (2 * count >= aEntries.size()) {
      suspects.insert(host);
    }
  }
  return suspects;
}

PlannerCore::PlannerCore(PlannerOptions aOptions, std::string aWriter)
  : options_(aOptions)
  , writer_(std::move(aWriter))
  , members_(aOptions.members_)
  , mover_(aOptions.moveCost_)
{
}

std::vector<std::string>
PlannerCore::HostsToPoll(const FleetMap& aFleet,
                         const std::optional<HostListSnapshot>& aList,
                         const std::vector<EntryReport>& aEntries,
                         size_t aMost)
{
  std::set<std::string> listed;
  if (aList) {
    for (const ListedHost& host : aList->hosts_) {
      listed.insert(host.id_);
    }
  }
  const std::set<std::string> suspects = FindSuspects(aEntries);
  std::vector<std::string> polled;
  std::vector<std::string> others;
  for (const auto& [id, host] : aFleet.hosts_) {
    const bool absent = aList && listed.count(id) == 0;
    if (host.state_ == HostState::Maintenance || host.reason_ == DrainReason::Maintenance) {
      polled.push_back(id);
    } else if (host.state_ == HostState::Failed || absent || suspects.count(id) > 0) {
      others.push_back(id);
    }
  }
  polled.resize(std::min(polled.size(), aMost));
  const size_t rest = std::min(others.size(), aMost - polled.size());
  for (size_t i = 0; i < rest; ++i) {
    polled.push_back(others[nextPoll_++ % others.size()]);
  }
  return polled;
}

std::optional<FleetMap>
PlannerCore::FirstDocument(const FleetMap& aFleet,
                           const HostListSnapshot& aList,
                           const ProfileSet& aProfiles,
                           const std::string& aChangeId) const
{
  const std::map<std::string, std::string> pools = DistributeHosts(aList.hosts_, aProfiles);
  if (pools.empty()) {
    return std::nullopt;
  }
  FleetMap fleet = aFleet;
  fleet.BeginWrite(writer_, aChangeId);
  for (const ListedHost& host : aList.hosts_) {
    const auto pool = pools.find(host.id_);
    if (pool != pools.end()) {
      static_cast<void>(AddHost(fleet, host, pool->second));
    }
  }
  return fleet;
}

void
PlannerCore::ObserveHosts(const PlannerObservation& aObserved)
{
  std::set<std::string> listed;
  if (aObserved.list_) {
    for (const ListedHost& host : aObserved.list_->hosts_) {
      listed.insert(host.id_);
    }
  }
  std::map<std::string, HostTimes> times;
  for (const auto& [id, host] : aObserved.fleet_.hosts_) {
    HostTimes& now = times[id];
    const auto known = hosts_.find(id);
    if (known != hosts_.end()) {
      now = known->second;
    }
    if (known == hosts_.end() || now.changedRevision_ != host.changedRevision_) {
      now.changedRevision_ = host.changedRevision_;
      now.since_ = aObserved.now_;
      now.rebootCalled_.reset();
    }
    if (listed.count(id) > 0) {
      now.absentSince_.reset();
    } else if (aObserved.list_ && !now.absentSince_) {
      now.absentSince_ = aObserved.now_;
    }
  }
  hosts_ = std::move(times);
}

PlannerStep
PlannerCore::Decide(const PlannerObservation& aObserved, const std::string& aChangeId)
{
  ObserveHosts(aObserved);
  members_.Observe(aObserved.fleet_, aObserved.entries_, aObserved.now_);
  Draft draft(aObserved.fleet_);
  draft.fleet_.BeginWrite(writer_, aChangeId);
  RemoveMembers(aObserved, draft);
  if (aObserved.list_) {
    Reconcile(aObserved, draft);
  }
  Advance(aObserved, draft);
  Availability availability(draft.fleet_, aObserved.profiles_, FindSuspects(aObserved.entries_));
  // Moves are planned first, because a roll-out uses all of the remaining availability budget.
  PlanMoves(aObserved, availability, draft);
  PlanRollout(aObserved, availability, draft);
  if (!draft.changed_ && members_.HasUnstoredJoinAcks(draft.fleet_)) {
    draft.AddEvent("member.acks_written", "", "a member has acknowledged the joining of another");
  }
  if (draft.changed_) {
    members_.CopyAcks(draft.fleet_);
    draft.step_.next_ = std::move(draft.fleet_);
  }
  return std::move(draft.step_);
}

void
PlannerCore::RemoveMembers(const PlannerObservation& aObserved, Draft& aDraft) const
{
  for (const std::string& id : members_.StoppedMembers(aObserved.fleet_, aObserved.now_)) {
    aDraft.fleet_.members_.erase(id);
    aDraft.AddEvent("member.removed", id, "its entry record has expired");
  }
}

void
PlannerCore::Reconcile(const PlannerObservation& aObserved, Draft& aDraft) const
{
  for (const ListedHost& listed : aObserved.list_->hosts_) {
    ReconcileListed(aObserved, listed, aDraft);
  }
  for (const auto& [id, host] : aObserved.fleet_.hosts_) {
    if (hosts_.at(id).absentSince_) {
      ReconcileAbsent(aObserved, host, aDraft);
    }
  }
}

void
PlannerCore::ReconcileListed(const PlannerObservation& aObserved,
                             const ListedHost& aListed,
                             Draft& aDraft) const
{
  const auto found = aDraft.fleet_.hosts_.find(aListed.id_);
  if (found == aDraft.fleet_.hosts_.end()) {
    if (!aListed.leaving_) {
      aDraft.ApplyTransition(AddHost(aDraft.fleet_, aListed, PoolForNewHosts(aObserved.profiles_)),
                             "host.added",
                             aListed.id_,
                             "new in the host list");
    }
    return;
  }
  FleetHost& host = found->second;
  const bool moved = host.address_ != aListed.address_ || host.rack_ != aListed.rack_ ||
                     host.zone_ != aListed.zone_ || host.region_ != aListed.region_;
  if (moved) {
    host.address_ = aListed.address_;
    host.rack_ = aListed.rack_;
    host.zone_ = aListed.zone_;
    host.region_ = aListed.region_;
    host.changedRevision_ = aDraft.fleet_.revision_;
    aDraft.AddEvent("host.relocated", host.id_, "the host list shows another address or domain");
  }
  if (aListed.leaving_) {
    aDraft.ApplyTransition(StartLeavingDrain(aDraft.fleet_, host.id_),
                           "host.drain_started",
                           host.id_,
                           "the host list shows it as leaving");
  } else if (host.state_ == HostState::Leaving) {
    aDraft.ApplyTransition(ReturnToService(aDraft.fleet_, host.id_),
                           "host.returned",
                           host.id_,
                           "the host list no longer shows it as leaving");
  }
}

void
PlannerCore::ReconcileAbsent(const PlannerObservation& aObserved,
                             const FleetHost& aHost,
                             Draft& aDraft) const
{
  if (aHost.state_ == HostState::Maintenance) {
    return; // AdvanceMaintenance() applies the reboot limit.
  }
  const auto absent = aObserved.now_ - *hosts_.at(aHost.id_).absentSince_;
  const bool failed = aHost.state_ == HostState::Failed;
  const bool out = aHost.state_ == HostState::Leaving || failed;
  if (out && (!failed || absent >= options_.failedHostExpiry_)) {
    // A member that has not acknowledged the change may still send work to the host, and a host
    // that returns under the same id could then be in another pool.
    if (!members_.DrainBlocker(aHost, aObserved.fleet_, aObserved.now_)) {
      aDraft.ApplyTransition(
        RemoveHost(aDraft.fleet_, aHost.id_), "host.removed", aHost.id_, "gone from the host list");
    }
    return;
  }
  // The list may be incomplete, so a missing host is marked as failed only if it isn't running.
  if (!out && IsGone(FindPower(aObserved, aHost.id_))) {
    aDraft.ApplyTransition(MarkFailed(aDraft.fleet_, aHost.id_),
                           "host.failed",
                           aHost.id_,
                           "missing in the host list and not running");
  }
}

void
PlannerCore::Advance(const PlannerObservation& aObserved, Draft& aDraft)
{
  for (const auto& [id, host] : aObserved.fleet_.hosts_) {
    const auto current = aDraft.fleet_.hosts_.find(id);
    if (current == aDraft.fleet_.hosts_.end() || current->second != host) {
      continue;
    }
    const ObservedPower* power = FindPower(aObserved, id);
    const bool inUse = host.state_ == HostState::Serving || host.state_ == HostState::Draining;
    if (inUse && power != nullptr && power->known_ && IsGone(power)) {
      aDraft.ApplyTransition(MarkFailed(aDraft.fleet_, id), "host.failed", id, "its power is down");
    } else if (host.state_ == HostState::Draining) {
      AdvanceDraining(aObserved, host, aDraft);
    } else if (host.state_ == HostState::Maintenance) {
      AdvanceMaintenance(aObserved, host, aDraft);
    } else if (host.state_ == HostState::Failed) {
      AdvanceFailed(aObserved, host, aDraft);
    }
  }
}

void
PlannerCore::AdvanceDraining(const PlannerObservation& aObserved,
                             const FleetHost& aHost,
                             Draft& aDraft)
{
  const std::string& id = aHost.id_;
  const std::optional<std::string> waits =
    members_.DrainBlocker(aHost, aObserved.fleet_, aObserved.now_);
  const bool maintenance = aHost.reason_ == DrainReason::Maintenance;
  const ObservedPower* power = FindPower(aObserved, id);
  if (!waits && aHost.reason_ == DrainReason::Leaving) {
    aDraft.ApplyTransition(
      MarkLeaving(aDraft.fleet_, id), "host.drained", id, "it leaves the fleet");
    return;
  }
  const bool poolGone =
    aHost.reason_ == DrainReason::Move && aObserved.profiles_.pools_.count(aHost.targetPool_) == 0;
  if (!waits && aHost.reason_ == DrainReason::Move && !poolGone) {
    aDraft.ApplyTransition(
      FinishMove(aDraft.fleet_, id), "host.moved", id, "to " + aHost.targetPool_);
    return;
  }
  if (!waits && maintenance && IsUp(power)) {
    const bool started = aDraft.ApplyTransition(StartReboot(aDraft.fleet_, id, power->power_.boot_),
                                                "host.maintenance_started",
                                                id,
                                                "it is drained");
    if (started) {
      aDraft.step_.rebootAfterWrite_.push_back(id);
    }
    return;
  }
  const auto limit =
    StrictestRules(aObserved.profiles_, aHost.pool_).drainLimit_ + options_.drainMargin_;
  HostTimes& times = hosts_.at(id);
  if (!poolGone && aObserved.now_ - times.since_ < limit) {
    return;
  }
  const bool cancelled = aDraft.ApplyTransition(CancelDrain(aDraft.fleet_, id),
                                                "host.drain_cancelled",
                                                id,
                                                waits.value_or("it cannot be completed"));
  if (cancelled) {
    times.drainCancelled_ = aObserved.now_;
  }
}

void
PlannerCore::AdvanceMaintenance(const PlannerObservation& aObserved,
                                const FleetHost& aHost,
                                Draft& aDraft)
{
  const std::string& id = aHost.id_;
  const ObservedPower* power = FindPower(aObserved, id);
  if (IsUp(power) && power->power_.boot_ > aHost.boot_) {
    aDraft.ApplyTransition(
      ReturnToService(aDraft.fleet_, id), "host.returned", id, "it has rebooted");
    return;
  }
  HostTimes& times = hosts_.at(id);
  const auto limit = StrictestRules(aObserved.profiles_, aHost.pool_).rebootLimit_;
  if (aObserved.now_ - times.since_ >= limit) {
    aDraft.ApplyTransition(
      MarkFailed(aDraft.fleet_, id), "host.failed", id, "it did not come back");
    return;
  }
  const bool notBegun =
    power != nullptr && power->known_ && power->power_.state_ != HostPower::State::Rebooting;
  const bool callNow =
    !times.rebootCalled_ || aObserved.now_ - *times.rebootCalled_ >= options_.rebootRetryInterval_;
  if (notBegun && callNow) {
    times.rebootCalled_ = aObserved.now_;
    aDraft.step_.reboot_.push_back(id);
  }
}

void
PlannerCore::AdvanceFailed(const PlannerObservation& aObserved,
                           const FleetHost& aHost,
                           Draft& aDraft) const
{
  const ObservedPower* power = FindPower(aObserved, aHost.id_);
  if (!aObserved.list_ || hosts_.at(aHost.id_).absentSince_ || !IsUp(power)) {
    return;
  }
  if (aHost.boot_ == 0 || power->power_.boot_ > aHost.boot_) {
    aDraft.ApplyTransition(ReturnToService(aDraft.fleet_, aHost.id_),
                           "host.returned",
                           aHost.id_,
                           "it is listed and runs again");
  }
}

void
PlannerCore::PlanRollout(const PlannerObservation& aObserved,
                         Availability& aAvailability,
                         Draft& aDraft)
{
  if (!aDraft.fleet_.rollout_.active_) {
    return;
  }
  const MaintenancePlan plan =
    PlanMaintenance(aDraft.fleet_, aAvailability, CancelledDrains(aObserved.now_));
  for (const std::string& id : plan.reboot_) {
    const FleetHost& host = aDraft.fleet_.hosts_.at(id);
    const ObservedPower* power = FindPower(aObserved, id);
    const bool ready =
      power != nullptr && power->known_ && power->power_.state_ != HostPower::State::Rebooting;
    if (ready && !members_.DrainBlocker(host, aObserved.fleet_, aObserved.now_)) {
      aDraft.ApplyTransition(StartReboot(aDraft.fleet_, id, power->power_.boot_),
                             "host.maintenance_started",
                             id,
                             "it had failed");
    }
  }
  for (const std::string& id : plan.drain_) {
    aDraft.ApplyTransition(StartMaintenanceDrain(aDraft.fleet_, id),
                           "host.drain_started",
                           id,
                           "roll-out " + std::to_string(aDraft.fleet_.rollout_.number_));
  }
  if (plan.finished_) {
    aDraft.fleet_.rollout_.active_ = false;
    aDraft.AddEvent("rollout.finished", {}, "every host was maintained");
  }
}

void
PlannerCore::PlanMoves(const PlannerObservation& aObserved,
                       Availability& aAvailability,
                       Draft& aDraft)
{
  const std::vector<PlannedMove> moves = mover_.Plan(aDraft.fleet_,
                                                     aObserved.profiles_,
                                                     aAvailability,
                                                     aObserved.demandSlots_,
                                                     CancelledDrains(aObserved.now_),
                                                     aObserved.now_);
  for (const PlannedMove& move : moves) {
    aDraft.ApplyTransition(StartMove(aDraft.fleet_, move.host_, move.to_),
                           "host.drain_started",
                           move.host_,
                           "unmet demand in pool " + move.to_);
  }
}

std::set<std::string>
PlannerCore::CancelledDrains(TimePoint aNow) const
{
  std::set<std::string> hosts;
  for (const auto& [id, times] : hosts_) {
    if (times.drainCancelled_ && aNow - *times.drainCancelled_ < options_.cancelledDrainBackOff_) {
      hosts.insert(id);
    }
  }
  return hosts;
}

}
