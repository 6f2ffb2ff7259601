#pragma once

#include "sardinespoke/errors.h"

namespace sardinespoke {

/// @returns The error code of a call to the platform, or Count if it succeeded.
template<typename Call>
StoreError::Code
CodeOf(const Call& aCall)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<StoreError::Code> {
      BOOST_LEAF_CHECK(aCall());
      return StoreError::Code::Count;
    },
    [](const StoreError& aError) { return aError.code_; },
    [] { return StoreError::Code::Malformed; });
}

}
