#include "hangup_watch_p.h"

#include <poll.h>

#include <utility>
#include <vector>

namespace sardinespoke {

HangupWatch::HangupWatch(std::chrono::milliseconds aInterval)
  : interval_(aInterval)
  , thread_([this] { Loop(); })
{
}

HangupWatch::~HangupWatch()
{
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  wake_.notify_all();
  thread_.join();
}

uint64_t
HangupWatch::Add(int aSocket, Flag aFlag)
{
  const std::lock_guard lock(mutex_);
  const uint64_t handle = nextHandle_++;
  entries_.emplace(handle, Entry{ aSocket, std::move(aFlag) });
  return handle;
}

void
HangupWatch::Remove(uint64_t aHandle)
{
  const std::lock_guard lock(mutex_);
  entries_.erase(aHandle);
}

void
HangupWatch::Loop()
{
  std::unique_lock lock(mutex_);
  while (!wake_.wait_for(lock, interval_, [this] { return stop_; })) {
    if (entries_.empty()) {
      continue;
    }
    lock.unlock();
    PollOnce();
    lock.lock();
  }
}

void
HangupWatch::PollOnce()
{
  std::vector<uint64_t> handles;
  std::vector<pollfd> sockets;
  {
    const std::lock_guard lock(mutex_);
    for (const auto& [handle, entry] : entries_) {
      handles.push_back(handle);
      sockets.push_back(pollfd{ entry.socket_, POLLRDHUP, 0 });
    }
  }
  if (poll(sockets.data(), sockets.size(), 0) <= 0) {
    return;
  }
  const std::lock_guard lock(mutex_);
  for (size_t i = 0; i < sockets.size(); ++i) {
    if (sockets[i].revents == 0) {
      continue;
    }
    // The descriptor of a removed entry may already belong to another connection, so entries are
    // looked up by handle.
    const auto found = entries_.find(handles[i]);
    if (found == entries_.end()) {
      continue;
    }
    found->second.flag_->store(true);
    entries_.erase(found);
    ++disconnects_;
  }
}

}
