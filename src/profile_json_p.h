#pragma once

#include "sardinespoke/profile_set.h"

#include <nlohmann/json.hpp>

namespace sardinespoke {

/// Parses JSON text. Refuses duplicated keys, which would hide a part of what an operator wrote,
/// and nesting deeper than any valid document.
/// @param aPath Path of the parsed value within the document, for errors.
/// Errors: ConfigError::NotJson, ConfigError::Schema.
leaf::result<nlohmann::json>
ParseStrict(const std::string& aText, const std::string& aPath);

/// Checks keys, types, units and names of a configuration document.
/// Errors: ConfigError::Schema with the path of the field.
leaf::result<void>
CheckSchema(const nlohmann::json& aDocument);

/// Checks a document's references, entitlements and limits.
/// @param aFleetSlots Slots of the whole fleet; 0 skips the checks against the fleet.
/// Errors: ConfigError::Semantic with the path of the field.
leaf::result<void>
CheckSemantics(const ProfileSet& aSet, uint64_t aFleetSlots);

/// Checks and reads a document. Errors: ConfigError.
leaf::result<ProfileSet>
ReadProfileSet(const nlohmann::json& aDocument, uint64_t aFleetSlots);

nlohmann::json
ToJson(const ProfileSet& aSet);

/// @returns The value as JSON text, shortened for messages.
std::string
Shorten(const nlohmann::json& aValue);

}
