#include "number_range_p.h"

#include <algorithm>

namespace sardinespoke {

std::optional<int64_t>
ReadInteger(const nlohmann::json& aValue, NumberRange aRange)
{
  // Larger numbers with a fraction are not exact.
  constexpr int64_t kMaxExact = int64_t{ 1 } << std::numeric_limits<double>::digits;
  const auto inRange = [&aRange](int64_t aNumber) {
    return aNumber >= aRange.min_ && aNumber <= aRange.max_ ? std::optional<int64_t>(aNumber)
                                                            : std::nullopt;
  };
  if (aValue.is_number_float()) {
    const auto number =
      ReadNumber(aValue, NumberRange{ aRange.min_, std::min(aRange.max_, kMaxExact) });
    return number ? inRange(static_cast<int64_t>(*number)) : std::nullopt;
  }
  if (aValue.is_number_unsigned()) {
    const auto number = aValue.get<uint64_t>();
    return number <= static_cast<uint64_t>(std::numeric_limits<int64_t>::max())
             ? inRange(static_cast<int64_t>(number))
             : std::nullopt;
  }
  return aValue.is_number_integer() ? inRange(aValue.get<int64_t>()) : std::nullopt;
}

std::optional<double>
ReadNumber(const nlohmann::json& aValue, NumberRange aRange)
{
  if (!aValue.is_number()) {
    return std::nullopt;
  }
  const auto number = aValue.get<double>();
  const bool inRange =
    number >= static_cast<double>(aRange.min_) && number <= static_cast<double>(aRange.max_);
  return inRange ? std::optional<double>(number) : std::nullopt;
}

}
