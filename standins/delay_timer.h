#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <queue>
#include <thread>
#include <vector>

namespace sardinespoke {

/// Runs actions at given times on a thread of its own.
class DelayTimer
{
public:
  using Clock = std::chrono::steady_clock;

  DelayTimer();
  ~DelayTimer(); ///< Runs the remaining actions immediately.
  DelayTimer(const DelayTimer&) = delete;
  DelayTimer& operator=(const DelayTimer&) = delete;

  void Add(Clock::time_point aDue, std::function<void()> aAction);

private:
  struct Entry
  {
    Clock::time_point due_;
    uint64_t sequence_ = 0;
    std::function<void()> action_;
    bool operator>(const Entry& aOther) const
    {
      return due_ != aOther.due_ ? due_ > aOther.due_ : sequence_ > aOther.sequence_;
    }
  };

  void Loop();

  std::mutex mutex_;
  std::condition_variable wake_;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> queue_;
  uint64_t sequence_ = 0;
  bool stop_ = false;
  std::thread thread_;
};

}
