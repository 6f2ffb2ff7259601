#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace sardinespoke {

/// Latencies of one kind of request. Exact: keeps every value.
class LatencySet
{
public:
  void Add(int64_t aMicroseconds) { values_.push_back(aMicroseconds); }
  void Merge(const LatencySet& aOther);
  size_t Size() const { return values_.size(); }

  /// @param aShare Between 0 and 1.
  /// @returns Milliseconds, or 0 without values.
  double Percentile(double aShare);

private:
  std::vector<int64_t> values_;
};

}
