#pragma once

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/detail/Results.h>

#include <sstream>
#include <utility>

namespace sardinespoke {

/// Runs a RapidCheck property with a fixed seed, so that failures are reproducible.
/// @param aReport Receives the result message, with the counterexample after a failure.
/// @returns Whether the property holds.
template<typename Property>
bool
Holds(Property&& aProperty, std::string& aReport, int aCases = 300)
{
  rc::detail::TestParams parameters;
  parameters.seed = 20261204;
  parameters.maxSuccess = aCases;
  const auto result = rc::detail::checkTestable(
    std::forward<Property>(aProperty), rc::detail::TestMetadata(), parameters);
  std::ostringstream text;
  rc::detail::printResultMessage(result, text);
  aReport = text.str();
  return result.template is<rc::detail::SuccessResult>();
}

}
