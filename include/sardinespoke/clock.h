#pragma once

#include <chrono>

namespace sardinespoke {

/// A point in monotonic time. All decisions use monotonic time, never the wall clock.
using TimePoint = std::chrono::steady_clock::time_point;

/// Source of monotonic time; tests use ManualClock instead of the system clock.
class ClockI
{
public:
  virtual ~ClockI() = default;

  /// @returns The current time; never decreases.
  virtual TimePoint Now() const = 0;
};

}
