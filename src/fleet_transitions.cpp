#include "sardinespoke/fleet_transitions.h"

namespace sardinespoke {

namespace {

leaf::result<FleetHost*>
FindHost(FleetMap& aFleet, const std::string& aHost)
{
  const auto found = aFleet.hosts_.find(aHost);
  if (found == aFleet.hosts_.end()) {
    return leaf::new_error(
      PlannerError{ PlannerError::Code::UnknownHost, "host " + aHost + " is not in the fleet" });
  }
  return &found->second;
}

leaf::error_id
Refuse(const FleetHost& aHost, const std::string& aChange)
{
  std::string text = "host " + aHost.id_ + " cannot " + aChange + ": it is ";
  text += HostStateName(aHost.state_);
  text += ", drain reason ";
  text += DrainReasonName(aHost.reason_);
  return leaf::new_error(PlannerError{ PlannerError::Code::InvalidTransition, text });
}

bool
IsDrainingFor(const FleetHost& aHost, DrainReason aReason)
{
  return aHost.state_ == HostState::Draining && aHost.reason_ == aReason;
}

void
SetState(const FleetMap& aFleet,
         FleetHost& aHost,
         HostState aState,
         DrainReason aReason = DrainReason::None,
         const std::string& aTargetPool = {})
{
  aHost.state_ = aState;
  aHost.reason_ = aReason;
  aHost.targetPool_ = aTargetPool;
  aHost.changedRevision_ = aFleet.revision_;
}

}

leaf::result<void>
StartMove(FleetMap& aFleet, const std::string& aHost, const std::string& aTargetPool)
{
  BOOST_LEAF_AUTO(host, FindHost(aFleet, aHost));
  if (host->state_ != HostState::Serving || aTargetPool.empty() || aTargetPool == host->pool_) {
    return Refuse(*host, "move to pool \"" + aTargetPool + "\"");
  }
  SetState(aFleet, *host, HostState::Draining, DrainReason::Move, aTargetPool);
  return {};
}

leaf::result<void>
StartMaintenanceDrain(FleetMap& aFleet, const std::string& aHost)
{
  BOOST_LEAF_AUTO(host, FindHost(aFleet, aHost));
  if (host->state_ != HostState::Serving || !aFleet.rollout_.active_) {
    return Refuse(*host, "drain for maintenance");
  }
  SetState(aFleet, *host, HostState::Draining, DrainReason::Maintenance);
  return {};
}

leaf::result<void>
StartLeavingDrain(FleetMap& aFleet, const std::string& aHost)
{
  BOOST_LEAF_AUTO(host, FindHost(aFleet, aHost));
  const bool draining =
    host->state_ == HostState::Draining && host->reason_ != DrainReason::Leaving;
  if (host->state_ != HostState::Serving && !draining) {
    return Refuse(*host, "drain for leaving");
  }
  SetState(aFleet, *host, HostState::Draining, DrainReason::Leaving);
  return {};
}

leaf::result<void>
FinishMove(FleetMap& aFleet, const std::string& aHost)
{
  BOOST_LEAF_AUTO(host, FindHost(aFleet, aHost));
  if (!IsDrainingFor(*host, DrainReason::Move)) {
    return Refuse(*host, "finish a move");
  }
  host->pool_ = host->targetPool_;
  SetState(aFleet, *host, HostState::Serving);
  return {};
}

leaf::result<void>
CancelDrain(FleetMap& aFleet, const std::string& aHost)
{
  BOOST_LEAF_AUTO(host, FindHost(aFleet, aHost));
  if (!IsDrainingFor(*host, DrainReason::Move) && !IsDrainingFor(*host, DrainReason::Maintenance)) {
    return Refuse(*host, "cancel a drain");
  }
  SetState(aFleet, *host, HostState::Serving);
  return {};
}

leaf::result<void>
StartReboot(FleetMap& aFleet, const std::string& aHost, uint64_t aBoot)
{
  BOOST_LEAF_AUTO(host, FindHost(aFleet, aHost));
  const bool drained = IsDrainingFor(*host, DrainReason::Maintenance);
  if (!drained && host->state_ != HostState::Failed) {
    return Refuse(*host, "reboot");
  }
  host->boot_ = aBoot;
  host->maintainedRollout_ = aFleet.rollout_.number_;
  SetState(aFleet, *host, HostState::Maintenance);
  return {};
}

leaf::result<void>
ReturnToService(FleetMap& aFleet, const std::string& aHost)
{
  BOOST_LEAF_AUTO(host, FindHost(aFleet, aHost));
  const bool out = host->state_ == HostState::Maintenance || host->state_ == HostState::Failed ||
                   host->state_ == HostState::Leaving;
  if (!out) {
    return Refuse(*host, "return to service");
  }
  SetState(aFleet, *host, HostState::Serving);
  return {};
}

leaf::result<void>
MarkFailed(FleetMap& aFleet, const std::string& aHost)
{
  BOOST_LEAF_AUTO(host, FindHost(aFleet, aHost));
  if (host->state_ == HostState::Failed) {
    return Refuse(*host, "fail");
  }
  if (host->state_ != HostState::Maintenance) {
    host->boot_ = 0;
  }
  SetState(aFleet, *host, HostState::Failed);
  return {};
}

leaf::result<void>
MarkLeaving(FleetMap& aFleet, const std::string& aHost)
{
  BOOST_LEAF_AUTO(host, FindHost(aFleet, aHost));
  if (!IsDrainingFor(*host, DrainReason::Leaving)) {
    return Refuse(*host, "be marked as leaving");
  }
  SetState(aFleet, *host, HostState::Leaving);
  return {};
}

leaf::result<void>
RemoveHost(FleetMap& aFleet, const std::string& aHost)
{
  BOOST_LEAF_AUTO(host, FindHost(aFleet, aHost));
  if (host->state_ != HostState::Leaving && host->state_ != HostState::Failed) {
    return Refuse(*host, "be removed");
  }
  aFleet.hosts_.erase(aHost);
  return {};
}

leaf::result<void>
AddHost(FleetMap& aFleet, const ListedHost& aListed, const std::string& aPool)
{
  const auto found = aFleet.hosts_.find(aListed.id_);
  if (found != aFleet.hosts_.end()) {
    return Refuse(found->second, "be added");
  }
  if (aPool.empty() || aListed.leaving_) {
    return leaf::new_error(
      PlannerError{ PlannerError::Code::InvalidTransition,
                    "host " + aListed.id_ + " is leaving, or no pool takes new hosts" });
  }
  FleetHost host;
  host.id_ = aListed.id_;
  host.address_ = aListed.address_;
  host.rack_ = aListed.rack_;
  host.zone_ = aListed.zone_;
  host.region_ = aListed.region_;
  host.pool_ = aPool;
  host.changedRevision_ = aFleet.revision_;
  aFleet.hosts_.emplace(host.id_, host);
  return {};
}

}
