#include "sardinespoke/arrival_rate.h"

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kWindow{ 1000 };

}

void
ArrivalRate::Add(const std::string& aService, int64_t aCoreMs, TimePoint aNow)
{
  arrivals_[aService].push_back(Arrival{ aNow, aCoreMs });
}

int64_t
ArrivalRate::CpuMilli(const std::string& aService, TimePoint aNow)
{
  auto& arrivals = arrivals_[aService];
  while (!arrivals.empty() && arrivals.front().at_ + kWindow < aNow) {
    arrivals.pop_front();
  }
  if (arrivals.empty()) {
    return 0;
  }
  int64_t work = 0;
  for (const Arrival& arrival : arrivals) {
    work += arrival.coreMs_;
  }
  const auto count = static_cast<int64_t>(arrivals.size());
  return work * (count - 1) / count * 1000 / kWindow.count();
}

int64_t
ArrivalRate::CpuMilliUpTo(const std::string& aService, int64_t aCoreMs, TimePoint aNow)
{
  int64_t work = 0;
  for (const Arrival& arrival : arrivals_[aService]) {
    const bool counts = arrival.at_ + kWindow >= aNow && arrival.coreMs_ <= aCoreMs;
    work += counts ? arrival.coreMs_ : 0;
  }
  return work * 1000 / kWindow.count();
}

}
