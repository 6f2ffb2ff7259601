#pragma once

#include "sardinespoke/profile_set.h"

#include <nlohmann/json.hpp>

namespace sardinespoke {

/// Checks keys, types, units, ranges and names of a configuration document.
/// Errors: ConfigError::Schema with the path of the field.
leaf::result<void>
CheckSchema(const nlohmann::json& aDocument);

/// Checks the references between entries of a document, its entitlements and its limits.
/// @param aFleetSlots Slots of the whole fleet; 0 skips the checks against the fleet.
/// Errors: ConfigError::Semantic with the path of the field.
leaf::result<void>
CheckSemantics(const ProfileSet& aSet, uint64_t aFleetSlots);

/// Validates and parses a document. Errors: ConfigError.
leaf::result<ProfileSet>
ReadProfileSet(const nlohmann::json& aDocument, uint64_t aFleetSlots);

nlohmann::json
ToJson(const ProfileSet& aSet);

}
