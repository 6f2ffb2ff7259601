#pragma once

#include "measure_writer.h"

#include <cstdint>
#include <string>

namespace sardinespoke {

/// Measures what every queue keeps while each queue in turn floods, for the product and baselines.
/// @param aDeployment "inyana" or "atlas".
void
RunFloodMeasures(MeasureWriter& aWriter, const std::string& aDeployment, uint64_t aSeed);

/// Measures what other queues get when they wake up while long work has borrowed their slots.
void
RunLongMeasures(MeasureWriter& aWriter, const std::string& aDeployment, uint64_t aSeed);

/// Measures the capacity lost when one entry host sees most of the load.
void
RunEntryMeasures(MeasureWriter& aWriter, const std::string& aDeployment, uint64_t aSeed);

/// Measures how fast a worker that fails everything is out of use, and whether work that can never
/// run removes workers.
void
RunFaultMeasures(MeasureWriter& aWriter, const std::string& aDeployment, uint64_t aSeed);

}
