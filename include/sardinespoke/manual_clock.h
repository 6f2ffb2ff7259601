#pragma once

#include "sardinespoke/clock.h"

namespace sardinespoke {

/// A clock that advances only on request; used by tests, scenarios and the measurement tools.
class ManualClock final : public ClockI
{
public:
  TimePoint Now() const override { return now_; }

  void Advance(std::chrono::nanoseconds aStep) { now_ += aStep; }

private:
  // Starts well after the epoch, so that subtracting a duration does not go below it.
  TimePoint now_{ std::chrono::hours(24) };
};

}
