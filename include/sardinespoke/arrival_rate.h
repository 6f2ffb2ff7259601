#pragma once

#include "sardinespoke/clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace sardinespoke {

/// CPU demand of recently submitted jobs, by service. A burst shows in the submissions at once, but
/// in the utilization of hosts only with a delay of about one task duration.
class ArrivalRate
{
public:
  /// @param aCoreMs Work of the job in core-milliseconds.
  void Add(const std::string& aService, int64_t aCoreMs, TimePoint aNow);

  /// @returns CPU demand of the jobs of the last second, in thousandths of a core; 0 for a single
  /// job, which does not determine a rate.
  int64_t CpuMilli(const std::string& aService, TimePoint aNow);

  /// @returns The same of the jobs that need no more than some work, also of a single one.
  int64_t CpuMilliUpTo(const std::string& aService, int64_t aCoreMs, TimePoint aNow);

private:
  struct Arrival
  {
    TimePoint at_{};
    int64_t coreMs_ = 0;
  };
  std::map<std::string, std::deque<Arrival>> arrivals_;
};

}
