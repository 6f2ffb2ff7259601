#pragma once

#include "flood_policy.h"

#include "sardinespoke/manual_clock.h"

#include <queue>
#include <random>
#include <unordered_map>

namespace sardinespoke {

/// Runs one scenario against one policy with a clock that is advanced by hand: Poisson arrivals,
/// workers as counters of busy slots, a fixed network delay.
class FloodSimulation
{
public:
  FloodSimulation(const FloodScenario& aScenario, FloodPolicyI& aPolicy);

  FloodResult Run();

private:
  enum class EventType
  {
    Arrive, ///< A new request of a queue.
    Reach,  ///< A request reaches its worker.
    Finish, ///< The worker has run it.
    Answer, ///< The answer reaches the entry host.
    Tick,
    Count
  };

  struct Event
  {
    TimePoint at_;
    uint64_t sequence_ = 0;
    EventType type_ = EventType::Tick;
    uint64_t id_ = 0; ///< Request, or queue of an arrival.

    bool operator>(const Event& aOther) const
    {
      return at_ != aOther.at_ ? at_ > aOther.at_ : sequence_ > aOther.sequence_;
    }
  };

  struct Request
  {
    PolicyRequest policy_;
    TimePoint arrival_;
    TimePoint granted_;
    std::chrono::nanoseconds run_{ 0 };
    size_t worker_ = 0;
    AttemptResult result_ = AttemptResult::Ok;
    bool measured_ = false;
    bool poisoned_ = false;
    bool probe_ = false;
  };

  void Schedule(std::chrono::nanoseconds aDelay, EventType aType, uint64_t aId);
  void ScheduleArrival(size_t aQueue);
  void Handle(const Event& aEvent);
  void OnArrive(size_t aQueue);
  void OnReach(uint64_t aId);
  void OnFinish(uint64_t aId);
  void OnAnswer(uint64_t aId);
  void Decide();
  double Load(size_t aQueue) const;
  std::chrono::nanoseconds Elapsed() const { return clock_.Now() - start_; }
  bool Faulty(size_t aWorker) const;
  void CountBusy();

  /// @returns Seconds of the measured time between a moment and now.
  double MeasuredSince(TimePoint aFrom) const;

  const FloodScenario& scenario_;
  FloodPolicyI& policy_;
  ManualClock clock_;
  TimePoint start_;
  std::mt19937_64 random_;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
  std::unordered_map<uint64_t, Request> requests_;
  std::vector<uint32_t> busy_; ///< Per worker.
  uint32_t busySlots_ = 0;
  TimePoint busySince_;
  double busySeconds_ = 0;
  double heldSeconds_ = 0;
  uint64_t lastId_ = 0;
  uint64_t sequence_ = 0;
  FloodResult result_;
};

}
