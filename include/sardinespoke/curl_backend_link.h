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
  size_t maxIdleConnections_ = 4096; ///< Across all backend servers.
  size_t maxResponseBytes_ = 8 * 1024 * 1024;
  std::chrono::milliseconds connectTimeout_{ 1000 };
  /// Connections idle for longer are closed.
  std::chrono::milliseconds idleConnectionTimeout_{ 60000 };
  /// Interval at which each transfer in flight checks for cancellation.
  std::chrono::milliseconds cancelPollInterval_{ 50 };
};

/// Totals since process start.
struct CurlLinkCounters
{
  uint64_t transfers_ = 0;
  uint64_t connectionsOpened_ = 0;
  uint64_t resendsBlocked_ = 0; ///< Automatic resends by libcurl that were blocked.
};

/// BackendLinkI over libcurl with persistent connections. Thread-safe.
///
/// Each pooled handle owns at most one connection and carries one transfer at a time. A handle
/// returns to the pool only after a complete response; a timeout or an error closes its connection.
/// A response whose `Sardinespoke-Attempt` differs from the request's belongs to another request
/// and is rejected as Incomplete.
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
