#pragma once

#include "sardinespoke/clock.h"

namespace sardinespoke {

/// A clock that advances only when told to; used by tests, scenarios and the measurement tools.
class ManualClock final : public ClockI
{
public:
  TimePoint Now() const override { return now_; }

  /// Moves the clock forward.
  /// @param aStep Time to add.
  void Advance(std::chrono::nanoseconds aStep) { now_ += aStep; }

private:
  // Starts well after the epoch, so that a subtraction cannot give a time before it.
  TimePoint now_{ std::chrono::hours(24) };
};

}
