#pragma once

#include "sardinespoke/errors.h"

#include <nlohmann/json.hpp>

#include <string>

namespace sardinespoke {

/// Parses JSON text. Rejects duplicate keys, of which the parser would silently drop all but one,
/// and nesting deeper than in any valid document.
/// @param aPath Path of the value within its document, for error messages.
/// Errors: ConfigError::NotJson, ConfigError::Schema.
leaf::result<nlohmann::json>
ParseStrict(const std::string& aText, const std::string& aPath);

/// @returns The value as JSON text, truncated for error messages.
std::string
Shorten(const nlohmann::json& aValue);

}
