#pragma once

#include <chrono>

namespace sardinespoke {

/// A point on the monotonic clock. All decisions use monotonic time, never wall-clock time.
using TimePoint = std::chrono::steady_clock::time_point;

/// Source of monotonic time; tests replace it by a clock that they advance by hand.
class ClockI
{
public:
  virtual ~ClockI() = default;

  /// @returns The current monotonic time.
  virtual TimePoint Now() const = 0;
};

}
