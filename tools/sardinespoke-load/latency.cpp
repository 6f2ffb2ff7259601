#include "latency.h"

#include <algorithm>

namespace sardinespoke {

void
LatencySet::Merge(const LatencySet& aOther)
{
  values_.insert(values_.end(), aOther.values_.begin(), aOther.values_.end());
}

double
LatencySet::Percentile(double aShare)
{
  constexpr double kMicrosecondsPerMillisecond = 1000.0;
  if (values_.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(values_.size() - 1);
  const auto rank = values_.begin() + static_cast<std::ptrdiff_t>(aShare * last);
  std::nth_element(values_.begin(), rank, values_.end());
  return static_cast<double>(*rank) / kMicrosecondsPerMillisecond;
}

}
