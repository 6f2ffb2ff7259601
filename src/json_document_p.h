#pragma once

#include "sardinespoke/errors.h"

#include <nlohmann/json.hpp>

#include <string>

namespace sardinespoke {

/// Parses JSON text and refuses duplicate keys, which most parsers accept silently.
/// Errors: ConfigError::NotJson.
leaf::result<nlohmann::json>
ParseStrictJson(const std::string& aText);

/// Checks a document against a JSON Schema (draft 7).
/// Errors: ConfigError::Schema with the path of the first offending field.
leaf::result<void>
CheckSchema(const nlohmann::json& aDocument, const nlohmann::json& aSchema);

}
