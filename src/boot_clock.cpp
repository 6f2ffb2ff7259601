#include "sardinespoke/boot_clock.h"

#include <ctime>

namespace sardinespoke {

TimePoint
BootClock::Now() const
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
}

}
