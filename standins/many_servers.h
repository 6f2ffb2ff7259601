#pragma once

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

namespace sardinespoke {

/// HTTP servers at many loopback addresses on one thread. Each answers any request with an empty
/// JSON object; a request must arrive in one segment.
class ManyServers
{
public:
  ManyServers();
  ~ManyServers();
  ManyServers(const ManyServers&) = delete;
  ManyServers& operator=(const ManyServers&) = delete;

  /// @returns "ip:port" of a server; aIndex is below 60,000.
  std::string Address(uint32_t aIndex) const;

  /// Closes the connections to the servers whose index is below aCount.
  void CloseBelow(uint32_t aCount);

  size_t Connections() const;

private:
  void Run();
  void Accept();
  void Answer(int aConnection);

  int listener_ = -1;
  int epollFd_ = -1;
  uint16_t port_ = 0;
  std::atomic<bool> stopping_{ false };
  mutable std::mutex mutex_;
  std::unordered_map<int, uint32_t> indexOf_; ///< Server by connection. Guarded by mutex_.
  std::thread thread_;
};

}
