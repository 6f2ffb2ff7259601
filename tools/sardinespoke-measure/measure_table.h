#pragma once

#include "measure_writer.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// One group of measures that the program can run.
struct MeasureGroup
{
  const char* name_ = "";
  const char* help_ = "";
  void (*run_)(MeasureWriter& aWriter, const std::string& aDeployment, uint64_t aSeed) = nullptr;
};

/// @returns All groups. A new group is one more line here.
const std::vector<MeasureGroup>&
MeasureGroups();

}
