#pragma once

#include "sardinespoke/clock.h"

namespace sardinespoke {

/// Time since boot, including the time in which the machine was suspended. A lease that ran out
/// during a suspension is seen as such, which the steady clock would hide.
class BootClock final : public ClockI
{
public:
  TimePoint Now() const override;
};

}
