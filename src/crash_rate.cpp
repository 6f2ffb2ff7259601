#include "sardinespoke/crash_rate.h"

#include <algorithm>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kObserved{ 10000 };

}

void
CrashRate::Add(const std::string& aPool, TimePoint aNow)
{
  crashes_[aPool].push_back(aNow);
}

double
CrashRate::Chance(const std::string& aPool,
                  size_t aServers,
                  std::chrono::milliseconds aTime,
                  TimePoint aNow)
{
  auto& crashes = crashes_[aPool];
  while (!crashes.empty() && crashes.front() + kObserved < aNow) {
    crashes.pop_front();
  }
  // One more than was seen: the next one may be due.
  const auto expected = static_cast<double>(crashes.size() + 1);
  const auto serverTime =
    static_cast<double>(std::max<size_t>(aServers, 1)) * static_cast<double>(kObserved.count());
  return std::min(1.0, expected * static_cast<double>(aTime.count()) / serverTime);
}

}
