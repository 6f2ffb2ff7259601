#pragma once

#include <functional>
#include <iosfwd>
#include <string>
#include <utility>
#include <vector>

namespace sardinespoke {

/// Measured values of one quantity at several sizes.
struct SlopeSeries
{
  std::string name_;
  std::string size_;                              ///< What is varied, such as "hosts".
  std::string unit_;                              ///< Unit of the measured value.
  std::vector<std::pair<double, double>> points_; ///< Size and value; at least four.
  double goal_ = 0; ///< Most that the value may be at the greatest size; 0: none.
};

/// Straight line through points by least squares.
struct SlopeFit
{
  double slope_ = 0;
  double intercept_ = 0;
};

/// @returns The line with the least sum of squared residuals; the slope is 0 if all sizes are
/// equal.
SlopeFit
FitLine(const std::vector<std::pair<double, double>>& aPoints);

/// Writes a series as one JSON line with its fit, its residuals and the line's value at the
/// greatest size.
void
WriteSlope(std::ostream& aOut, const SlopeSeries& aSeries);

/// @returns Processor time of this thread in microseconds for one call; the least of several
/// measurements, because interruptions only add to it.
double
CpuMicroseconds(const std::function<void()>& aCall);

/// @returns Processor time of this thread in microseconds for this call.
double
ThreadMicrosecondsOf(const std::function<void()>& aCall);

/// @returns Bytes that the heap holds more after the call than before it.
double
HeapBytes(const std::function<void()>& aCall);

}
