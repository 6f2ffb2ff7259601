#pragma once

#include "sardinespoke/errors.h"

#include <fstream>
#include <iterator>
#include <string>

namespace sardinespoke {

/// @returns The ConfigError of a call; its code is Count if the call succeeded.
template<typename Call>
ConfigError
ConfigErrorOf(const Call& aCall)
{
  return leaf::try_handle_all(
    [&]() -> leaf::result<ConfigError> {
      BOOST_LEAF_CHECK(aCall());
      return ConfigError{ ConfigError::Code::Count, "", "" };
    },
    [](const ConfigError& aError) { return aError; },
    [] {
      return ConfigError{ ConfigError::Code::NotJson, "", "an error of another type" };
    });
}

/// @returns The text of an example document.
inline std::string
ReadExample(const std::string& aName)
{
  std::ifstream file(std::string(SOURCE_DIR) + "/examples/" + aName + ".profiles.json");
  return { std::istreambuf_iterator<char>(file), {} };
}

}
