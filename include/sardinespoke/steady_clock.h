#pragma once

#include "sardinespoke/clock.h"

namespace sardinespoke {

/// The machine's monotonic clock.
class SteadyClock final : public ClockI
{
public:
  TimePoint Now() const override { return std::chrono::steady_clock::now(); }
};

}
