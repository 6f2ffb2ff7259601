#pragma once

#include "measure_writer.h"

#include <cstdint>
#include <string>

namespace sardinespoke {

/// Measures of maintenance, spare hosts and host moves, each with its baselines: roll-out time,
/// spare hosts, moves and budget violations under faults.
/// @param aDeployment "inyana" or "atlas".
void
RunFleetMeasures(MeasureWriter& aWriter, const std::string& aDeployment, uint64_t aSeed);

}
