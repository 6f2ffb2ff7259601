#pragma once

#include "sardinespoke/backend_link.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace sardinespoke {

class CurlTransfer;

/// Limits of the connections to backend servers.
struct CurlLinkSettings
{
  size_t connectionsPerHost_ = 64;
  size_t maxIdleConnections_ = 4096; ///< Over all backend servers.
  size_t maxAnswerBytes_ = 8 * 1024 * 1024;
  std::chrono::milliseconds connectTimeout_{ 1000 };
  std::chrono::milliseconds idleConnectionTimeout_{
    60000
  }; ///< Idle connections older than this are closed.
  /// Longest delay until a cancelled transfer is cut. Every transfer in flight wakes up this often.
  std::chrono::milliseconds cancelPoll_{ 50 };
};

/// Totals since the start.
struct CurlLinkCounters
{
  uint64_t transfers_ = 0;
  uint64_t connectionsOpened_ = 0;
  uint64_t resendsBlocked_ = 0; ///< Repeats by libcurl that the guard stopped.
};

/// BackendLinkI over libcurl with kept connections. Thread-safe.
///
/// Each kept handle owns at most one connection and carries one transfer at a time. A handle is
/// kept only after a whole answer; after every timeout or error its connection is closed.
/// An answer that repeats `Sardinespoke-Attempt` with another value than the request's belongs to
/// another request and is refused as Incomplete.
class CurlBackendLink final : public BackendLinkI
{
public:
  explicit CurlBackendLink(CurlLinkSettings aSettings);
  ~CurlBackendLink() override;
  CurlBackendLink(const CurlBackendLink&) = delete;
  CurlBackendLink& operator=(const CurlBackendLink&) = delete;

  leaf::result<BackendResponse> Send(const BackendRequest& aRequest) override;

  CurlLinkCounters Counters() const;

private:
  using Clock = std::chrono::steady_clock;

  struct IdleHandle
  {
    std::unique_ptr<CurlTransfer> transfer_;
    Clock::time_point since_;
  };
  struct Host
  {
    size_t inUse_ = 0;
    std::deque<IdleHandle> idle_; ///< Most recently used last.
  };

  std::unique_ptr<CurlTransfer> AcquireHandle(const std::string& aAddress);
  void ReleaseHandle(const std::string& aAddress, std::unique_ptr<CurlTransfer> aTransfer);
  void CloseExpired(Clock::time_point aNow, std::deque<IdleHandle>& aClosed);

  const CurlLinkSettings settings_;
  mutable std::mutex mutex_;
  std::unordered_map<std::string, Host> hosts_;
  size_t idleCount_ = 0;
  Clock::time_point nextSweep_{};
  CurlLinkCounters counters_;
};

}
