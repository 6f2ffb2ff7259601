#pragma once

#include "sardinespoke/entry_record.h"
#include "sardinespoke/fleet_map.h"

#include <map>
#include <string>
#include <vector>

namespace sardinespoke {

/// Live entry records by entry host id.
using EntryRoster = std::map<std::string, EntryRecord>;

/// Number of daemons that watch the store and poll the host list for the others.
inline constexpr size_t kObserverCount = 2;

/// @returns The ids of the observers: the first live members in lexical order.
std::vector<std::string>
Observers(const FleetMap* aFleet, const EntryRoster& aRoster);

/// @returns Whether an incarnation belongs to the process; a process appends a counter to its own
/// identifier each time it registers after a lapsed lease.
bool
SameProcess(const std::string& aIncarnation, const std::string& aProcess);

}
