#include "sardinespoke/event_log_ring.h"

#include <algorithm>
#include <chrono>

namespace sardinespoke {

namespace {

uint64_t
SystemMicroseconds()
{
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

}

EventLogRing::EventLogRing(std::string aProcess, std::function<uint64_t()> aWallMicroseconds)
  : process_(std::move(aProcess))
  , wallMicroseconds_(aWallMicroseconds ? std::move(aWallMicroseconds) : SystemMicroseconds)
{
}

void
EventLogRing::Record(const std::string& aType, const std::string& aCause, nlohmann::json aDetail)
{
  const std::lock_guard lock(mutex_);
  events_.push_back({ ++sequence_, NextTime(), process_, aType, aCause, std::move(aDetail) });
  if (events_.size() > kCapacity) {
    events_.pop_front();
  }
}

std::vector<Event>
EventLogRing::After(uint64_t aSequence) const
{
  const std::lock_guard lock(mutex_);
  auto first = std::upper_bound(
    events_.begin(), events_.end(), aSequence, [](uint64_t aValue, const Event& aEvent) {
      return aValue < aEvent.sequence_;
    });
  return { first, events_.end() };
}

uint64_t
EventLogRing::HybridTime()
{
  const std::lock_guard lock(mutex_);
  return NextTime();
}

void
EventLogRing::Observe(uint64_t aHybridTime)
{
  const std::lock_guard lock(mutex_);
  if (aHybridTime <= wallMicroseconds_() + kMaxAheadMicroseconds) {
    lastTime_ = std::max(lastTime_, aHybridTime);
  }
}

uint64_t
EventLogRing::NextTime()
{
  lastTime_ = std::max(lastTime_ + 1, wallMicroseconds_());
  return lastTime_;
}

}
