#include "measure_table.h"

#include "fleet_measures.h"
#include "flood_measures.h"

namespace sardinespoke {

const std::vector<MeasureGroup>&
MeasureGroups()
{
  static const std::vector<MeasureGroup> groups = {
    { "flood", "what other work keeps during a flood; baselines included", RunFloodMeasures },
    { "long", "what others get back from long work that borrowed their slots", RunLongMeasures },
    { "entry", "capacity lost when one entry host sees most of the load", RunEntryMeasures },
    { "fault", "failing workers and work that can never run", RunFaultMeasures },
    { "fleet", "roll-out time, spare hosts, host moves, budget violations", RunFleetMeasures },
  };
  return groups;
}

}
