#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>

namespace sardinespoke {

/// A measured value of a policy.
struct Measure
{
  std::string deployment_; ///< "inyana" or "atlas".
  std::string measure_;
  std::string policy_; ///< "product" or the name of a baseline.
  double value_ = 0;
  std::string unit_;
  uint64_t seed_ = 0;
  std::string bound_; ///< The target, such as ">= 0.99"; empty for baselines.
};

/// Writes measures as JSON lines.
class MeasureWriter
{
public:
  explicit MeasureWriter(std::ostream& aOut);

  void Write(const Measure& aMeasure);

private:
  std::ostream& out_;
};

}
