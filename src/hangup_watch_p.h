#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace sardinespoke {

/// Detects callers that close their connection while they wait for a response.
///
/// The HTTP library reads a connection only between requests, so one thread polls the sockets of
/// all requests in flight. A caller that shuts down only its sending side counts as disconnected,
/// because a half-closed connection cannot be distinguished from a closed one.
class HangupWatch
{
public:
  using Flag = std::shared_ptr<std::atomic<bool>>;

  explicit HangupWatch(std::chrono::milliseconds aInterval);
  ~HangupWatch();
  HangupWatch(const HangupWatch&) = delete;
  HangupWatch& operator=(const HangupWatch&) = delete;

  /// @param aSocket Must stay open until Remove().
  /// @param aFlag Set when the caller disconnects.
  /// @returns A handle for Remove().
  uint64_t Add(int aSocket, Flag aFlag);

  void Remove(uint64_t aHandle);

  /// @returns Number of callers that disconnected before their response.
  uint64_t Disconnects() const { return disconnects_; }

private:
  struct Entry
  {
    int socket_ = -1;
    Flag flag_;
  };

  void Loop();
  void PollOnce();

  const std::chrono::milliseconds interval_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::map<uint64_t, Entry> entries_;
  uint64_t nextHandle_ = 1;
  bool stop_ = false;
  std::atomic<uint64_t> disconnects_{ 0 };
  std::thread thread_;
};

}
