#pragma once

#include "sardinespoke/clock.h"

namespace sardinespoke {

/// Time since boot, including suspension of the machine. The steady clock excludes it and would
/// hide that a lease expired during a suspension.
class BootClock final : public ClockI
{
public:
  TimePoint Now() const override;
};

}
