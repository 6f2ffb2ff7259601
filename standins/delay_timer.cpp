#include "delay_timer.h"

#include <utility>

namespace sardinespoke {

DelayTimer::DelayTimer()
  : thread_([this] { Loop(); })
{
}

DelayTimer::~DelayTimer()
{
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  wake_.notify_one();
  thread_.join();
}

void
DelayTimer::Add(Clock::time_point aDue, std::function<void()> aAction)
{
  {
    const std::lock_guard lock(mutex_);
    queue_.push(Entry{ aDue, sequence_++, std::move(aAction) });
  }
  wake_.notify_one();
}

void
DelayTimer::Loop()
{
  std::unique_lock lock(mutex_);
  for (;;) {
    if (queue_.empty()) {
      if (stop_) {
        return;
      }
      wake_.wait(lock);
      continue;
    }
    if (!stop_ && Clock::now() < queue_.top().due_) {
      // Copied, because another thread may push to the queue during the wait.
      const Clock::time_point due = queue_.top().due_;
      wake_.wait_until(lock, due);
      continue;
    }
    std::function<void()> action = queue_.top().action_;
    queue_.pop();
    lock.unlock();
    action();
    lock.lock();
  }
}

}
