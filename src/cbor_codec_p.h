#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace sardinespoke {

/// Deepest nesting of a peer message. The decoder recurses once for each level, so that a message
/// of nested arrays would otherwise exhaust the stack.
inline constexpr size_t kMaxMessageDepth = 16;

/// @returns The decoded value; empty if the bytes are not one CBOR value or are nested too deeply.
std::optional<nlohmann::json>
DecodeCbor(const uint8_t* aData, size_t aSize);

}
