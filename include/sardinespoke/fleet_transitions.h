#pragma once

#include "sardinespoke/fleet_map.h"
#include "sardinespoke/host_list.h"

#include <string>

/// State transitions of host records. Each function edits a document that is about to be written:
/// its revision_ is already the revision it will be written with, and becomes the record's
/// changedRevision_. An invalid transition leaves the document unchanged and fails with
/// PlannerError (UnknownHost or InvalidTransition). Only FinishMove() changes a host's pool.
namespace sardinespoke {

/// Serving to draining, with a target pool.
leaf::result<void>
StartMove(FleetMap& aFleet, const std::string& aHost, const std::string& aTargetPool);

/// Serving to draining for the roll-out in progress.
leaf::result<void>
StartMaintenanceDrain(FleetMap& aFleet, const std::string& aHost);

/// Serving, or draining for another reason, to draining because the platform removes the host.
leaf::result<void>
StartLeavingDrain(FleetMap& aFleet, const std::string& aHost);

/// Draining for a move to serving in the target pool.
leaf::result<void>
FinishMove(FleetMap& aFleet, const std::string& aHost);

/// Draining for a move or for maintenance back to serving in the same pool.
leaf::result<void>
CancelDrain(FleetMap& aFleet, const std::string& aHost);

/// Draining for maintenance, or failed, to maintenance. The host counts as maintained by the
/// roll-out from here on, so that a host that fails to boot is not rebooted again.
/// @param aBoot Boot count before the reboot.
leaf::result<void>
StartReboot(FleetMap& aFleet, const std::string& aHost, uint64_t aBoot);

/// Maintenance, failed or leaving to serving in the same pool.
leaf::result<void>
ReturnToService(FleetMap& aFleet, const std::string& aHost);

/// Any state but failed to failed. Keeps the boot count only if the host was in maintenance, so
/// that a host that failed to boot must report a greater count before it counts as rebooted.
leaf::result<void>
MarkFailed(FleetMap& aFleet, const std::string& aHost);

/// Draining because it leaves, to leaving: the host runs no work and the platform may remove it.
leaf::result<void>
MarkLeaving(FleetMap& aFleet, const std::string& aHost);

/// Removes a leaving or failed host from the document.
leaf::result<void>
RemoveHost(FleetMap& aFleet, const std::string& aHost);

/// Adds a serving host to a pool; fails if the document already contains the host.
leaf::result<void>
AddHost(FleetMap& aFleet, const ListedHost& aListed, const std::string& aPool);

}
