#pragma once

#include "sardinespoke/errors.h"

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <type_traits>

namespace sardinespoke {

/// @returns The value of a result; empty if it is an error.
template<typename Call>
auto
ValueOf(const Call& aCall)
{
  using Value = std::decay_t<decltype(aCall().value())>;
  return leaf::try_handle_all(
    [&]() -> leaf::result<std::optional<Value>> {
      BOOST_LEAF_AUTO(value, aCall());
      return std::optional<Value>(std::move(value));
    },
    []() { return std::optional<Value>(); });
}

/// Ends the process if a property does not hold; the fuzzer reports the input.
inline void
Require(bool aHolds)
{
  if (!aHolds) {
    std::abort();
  }
}

inline std::string
TextOf(const uint8_t* aData, size_t aSize)
{
  return { reinterpret_cast<const char*>(aData), aSize };
}

}
