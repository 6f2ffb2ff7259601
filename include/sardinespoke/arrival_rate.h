#pragma once

#include "sardinespoke/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace sardinespoke {

/// Work handed in lately, by service. A queue whose turn begins shows in its arrivals at once, but
/// in busy hosts only after the time of its tasks.
class ArrivalRate
{
public:
  /// @param aWork Thousandths of a core-second.
  void Add(const std::string& aService, int64_t aWork, TimePoint aNow);

  /// @returns Thousandths of a core that the arrivals of the last second keep busy. One job alone
  /// says nothing about a rate.
  int64_t CpuMilli(const std::string& aService, TimePoint aNow);

private:
  struct Arrival
  {
    TimePoint at_{};
    int64_t coreMs_ = 0;
  };
  std::map<std::string, std::deque<Arrival>> arrivals_;
};

}
