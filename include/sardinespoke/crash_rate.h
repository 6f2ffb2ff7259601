#pragma once

#include "sardinespoke/clock.h"

#include <deque>
#include <map>
#include <string>

namespace sardinespoke {

/// How often the backend servers of a pool crash. Crashes while a suspect was on trial alone are
/// not to be added.
class CrashRate
{
public:
  void Add(const std::string& aPool, TimePoint aNow);

  /// @param aServers Backend servers of the pool.
  /// @param aTime Far below the observed time.
  /// @returns Estimate, on the high side, of the chance that one of them crashes within a time.
  double Chance(const std::string& aPool,
                size_t aServers,
                std::chrono::milliseconds aTime,
                TimePoint aNow);

private:
  std::map<std::string, std::deque<TimePoint>> crashes_; ///< By pool, the oldest first.
};

}
