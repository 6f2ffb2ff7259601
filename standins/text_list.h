#pragma once

#include <string>
#include <vector>

namespace sardinespoke {

/// @returns The parts between commas, without empty ones.
std::vector<std::string>
SplitList(const std::string& aText);

}
