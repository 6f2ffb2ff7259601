#include "load_shape.h"

#include <algorithm>

namespace sardinespoke {

namespace {

// Five times the mean during a burst and a twentieth in between (docs/design.md, 1.1).
constexpr double kBurstFactor = 5;
constexpr double kQuietFactor = 0.05;
// Longest run time over the mean; bounds how long the tool waits for its last requests.
constexpr double kMaxRunFactor = 8;

}

double
LoadShape::RateFactor(std::chrono::microseconds aSinceStart,
                      uint32_t aService,
                      uint32_t aServices) const
{
  if (burst_.count() == 0) {
    return 1;
  }
  const auto turn = static_cast<uint64_t>(aSinceStart / burst_);
  return turn % aServices == aService ? burstFactor_ : quietFactor_;
}

std::chrono::milliseconds
LoadShape::RunTime(std::chrono::milliseconds aMean, std::mt19937_64& aRandom) const
{
  if (aMean.count() == 0) {
    return aMean;
  }
  const auto mean = static_cast<double>(aMean.count());
  std::exponential_distribution<double> around(1.0);
  double factor = std::min(around(aRandom), kMaxRunFactor);
  if (std::bernoulli_distribution(longShare_)(aRandom)) {
    factor = longFactor_;
  }
  return std::chrono::milliseconds(static_cast<int64_t>(mean * factor));
}

LoadShape
FindLoadShape(const std::string& aName)
{
  LoadShape shape;
  shape.name_ = aName;
  if (aName == "flat") {
    return shape;
  }
  shape.burstFactor_ = kBurstFactor;
  shape.quietFactor_ = kQuietFactor;
  if (aName == "inyana") {
    shape.burst_ = std::chrono::seconds(4);
    return shape;
  }
  if (aName == "atlas") {
    // Overnight catalogue jobs among quick renders.
    shape.burst_ = std::chrono::seconds(3);
    shape.longShare_ = 0.02;
    shape.longFactor_ = 20;
    return shape;
  }
  return LoadShape{};
}

}
