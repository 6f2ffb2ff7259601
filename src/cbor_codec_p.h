#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <vector>

namespace sardinespoke {

/// Maximum nesting of a peer message. The decoder recurses once per level, so deeply nested arrays
/// would otherwise exhaust the stack.
inline constexpr size_t kMaxMessageDepth = 16;

/// @returns The decoded value; empty if the bytes are not a single CBOR value within the depth
/// limit.
std::optional<nlohmann::json>
DecodeCbor(const uint8_t* aData, size_t aSize);

}
