#include "measure_writer.h"

#include <nlohmann/json.hpp>

#include <ostream>

namespace sardinespoke {

MeasureWriter::MeasureWriter(std::ostream& aOut)
  : out_(aOut)
{
}

void
MeasureWriter::Write(const Measure& aMeasure)
{
  const nlohmann::json line = {
    { "deployment", aMeasure.deployment_ },
    { "measure", aMeasure.measure_ },
    { "policy", aMeasure.policy_ },
    { "value", aMeasure.value_ },
    { "unit", aMeasure.unit_ },
    { "seed", aMeasure.seed_ },
    { "bound", aMeasure.bound_ },
  };
  out_ << line.dump() << '\n' << std::flush;
}

}
