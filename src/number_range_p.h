#pragma once

#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>

namespace sardinespoke {

/// The numbers that a field may have, bounds included.
struct NumberRange
{
  int64_t min_ = 0;
  int64_t max_ = 0;
};

/// Counts, sizes and short times in milliseconds: the product of two of them fits in 64 bits.
inline constexpr NumberRange kCountRange{ 0, std::numeric_limits<int32_t>::max() };

/// Serial numbers, which are only compared.
inline constexpr NumberRange kSerialRange{ 0, std::numeric_limits<int64_t>::max() };

/// Milliseconds, up to 100 years: the sum of two and the present time fits in 64 bits as
/// nanoseconds.
inline constexpr NumberRange kDurationRange{ 0, int64_t{ 100 } * 365 * 24 * 3600 * 1000 };

/// Unix milliseconds, up to the year 9999.
inline constexpr NumberRange kUnixTimeRange{ 0, 253402300799999 };

/// @returns The number without its fraction; empty if the value is no number or is out of range.
std::optional<int64_t>
ReadInteger(const nlohmann::json& aValue, NumberRange aRange);

/// @returns The number; empty if the value is no number or is out of range.
std::optional<double>
ReadNumber(const nlohmann::json& aValue, NumberRange aRange);

}
