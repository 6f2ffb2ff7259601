#pragma once

#include <string>
#include <vector>

namespace sardinespoke {

/// Splits a comma-separated list.
/// @returns The elements, without empty ones.
std::vector<std::string>
SplitList(const std::string& aText);

}
