#pragma once

#include "sardinespoke/errors.h"

#include <optional>
#include <utility>

namespace sardinespoke {

/// The value of a call to the store, or its error code.
template<typename Value>
struct StoreOutcome
{
  std::optional<Value> value_;
  StoreError::Code code_ = StoreError::Code::Count; ///< Count if there is a value.
};

/// Makes a call that returns leaf::result<Value> and converts its result.
template<typename Value, typename Call>
StoreOutcome<Value>
CallStore(Call&& aCall)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<StoreOutcome<Value>> {
      BOOST_LEAF_AUTO(value, std::forward<Call>(aCall)());
      return StoreOutcome<Value>{ std::move(value), StoreError::Code::Count };
    },
    [](const StoreError& aError) {
      return StoreOutcome<Value>{ std::nullopt, aError.code_ };
    },
    []() {
      return StoreOutcome<Value>{ std::nullopt, StoreError::Code::Malformed };
    });
}

/// Makes a call without a value. @returns Its error code; StoreError::Code::Count if it succeeded.
template<typename Call>
StoreError::Code
CallStoreVoid(Call&& aCall)
{
  return CallStore<bool>([&]() -> leaf::result<bool> {
           BOOST_LEAF_CHECK(std::forward<Call>(aCall)());
           return true;
         })
    .code_;
}

}
