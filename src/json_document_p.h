#pragma once

#include "sardinespoke/errors.h"

#include <nlohmann/json.hpp>

#include <string>

namespace sardinespoke {

/// Parses JSON text. Refuses duplicated keys, which would hide a part of what an operator wrote,
/// and nesting deeper than any valid document.
/// @param aPath Path of the parsed value within the document, for errors.
/// Errors: ConfigError::NotJson, ConfigError::Schema.
leaf::result<nlohmann::json>
ParseStrict(const std::string& aText, const std::string& aPath);

/// @returns The value as JSON text, shortened for messages.
std::string
Shorten(const nlohmann::json& aValue);

}
