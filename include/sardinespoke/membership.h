#pragma once

#include "sardinespoke/entry_record.h"
#include "sardinespoke/fleet_map.h"

#include <map>
#include <string>
#include <vector>

namespace sardinespoke {

/// Live entry records, keyed by entry host id.
using EntryRoster = std::map<std::string, EntryRecord>;

/// Number of daemons that watch the store and poll the host list on behalf of the others.
inline constexpr size_t kObserverCount = 2;

/// @returns The ids of the observers: the first live members in lexical order.
std::vector<std::string>
Observers(const FleetMap* aFleet, const EntryRoster& aRoster);

/// @returns Whether an incarnation belongs to the process. An incarnation is the process identifier
/// and a counter, which grows each time the process registers after its lease has expired.
bool
SameProcess(const std::string& aIncarnation, const std::string& aProcess);

}
