#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace sardinespoke {

/// Maximum nesting of a value that another process wrote. Copying, comparing, printing and the CBOR
/// decoder recurse once per level, so a deeply nested value would otherwise exhaust the stack.
inline constexpr size_t kMaxNesting = 16;

/// @returns The parsed text; a discarded value if it is not a single JSON value within the depth
/// limit.
nlohmann::json
ParseJson(const std::string& aText);

/// @returns The decoded value; empty if the bytes are not a single CBOR value within the depth
/// limit.
std::optional<nlohmann::json>
DecodeCbor(const uint8_t* aData, size_t aSize);

}
