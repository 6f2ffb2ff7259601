#pragma once

#include "sardinespoke/fleet_map.h"
#include "sardinespoke/host_list.h"

#include <string>

/// Legal changes of host records. Each function edits a document that is about to be written: its
/// revision_ is already the revision it will be written with, and becomes the record's
/// changedRevision_. An illegal change leaves the document as it was and fails with PlannerError
/// (UnknownHost or InvalidTransition). A host changes pools only in FinishMove().
namespace sardinespoke {

/// Serving to draining, with a target pool.
leaf::result<void>
StartMove(FleetMap& aFleet, const std::string& aHost, const std::string& aTargetPool);

/// Serving to draining for the roll-out in progress.
leaf::result<void>
StartMaintenanceDrain(FleetMap& aFleet, const std::string& aHost);

/// Serving, or draining for another reason, to draining because the platform takes the host away.
leaf::result<void>
StartLeavingDrain(FleetMap& aFleet, const std::string& aHost);

/// Draining for a move to serving in the target pool.
leaf::result<void>
FinishMove(FleetMap& aFleet, const std::string& aHost);

/// Draining for a move or for maintenance back to serving in the same pool.
leaf::result<void>
CancelDrain(FleetMap& aFleet, const std::string& aHost);

/// Draining for maintenance, or failed, to maintenance. The host counts as maintained by the
/// roll-out from here on, so that one that does not come back is not rebooted again.
/// @param aBoot Boot count before the reboot.
leaf::result<void>
StartReboot(FleetMap& aFleet, const std::string& aHost, uint64_t aBoot);

/// Maintenance, failed or leaving to serving in the same pool.
leaf::result<void>
ReturnToService(FleetMap& aFleet, const std::string& aHost);

/// Any state but failed to failed. Keeps the boot count only when the host was in maintenance,
/// so that a host that did not come back from a reboot must show a greater one.
leaf::result<void>
MarkFailed(FleetMap& aFleet, const std::string& aHost);

/// Draining because it leaves, to leaving: it holds no work and may be taken away.
leaf::result<void>
MarkLeaving(FleetMap& aFleet, const std::string& aHost);

/// Removes a leaving or failed host from the document.
leaf::result<void>
RemoveHost(FleetMap& aFleet, const std::string& aHost);

/// Adds a host that serves in a pool; refused if the host is known already.
leaf::result<void>
AddHost(FleetMap& aFleet, const ListedHost& aListed, const std::string& aPool);

}
