#pragma once

#include "sardinespoke/manual_clock.h"

#include <functional>
#include <map>

namespace sardinespoke {

/// Runs functions at given times of a manual clock.
class EventQueue
{
public:
  explicit EventQueue(ManualClock& aClock)
    : clock_(aClock)
  {
  }

  void ScheduleAfter(std::chrono::milliseconds aDelay, std::function<void()> aEvent)
  {
    events_.emplace(clock_.Now() + aDelay, std::move(aEvent));
  }

  /// Runs all events that are due, including those that they schedule.
  void Run()
  {
    while (!events_.empty() && events_.begin()->first <= clock_.Now()) {
      auto event = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      event();
    }
  }

private:
  ManualClock& clock_;
  std::multimap<TimePoint, std::function<void()>> events_;
};

}
