#pragma once

#include "history.h"
#include "sardinespoke/curl_backend_link.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace sardinespoke {

/// A request of a caller.
struct ClientRequest
{
  std::string service_;
  std::string nonce_;
  bool idempotent_ = true;
  std::chrono::milliseconds runTime_{ 0 };
  size_t responseBytes_ = 0;
};

/// Targets, timeouts and retry policy of a caller.
struct ClientSettings
{
  std::vector<std::string> targets_; ///< Caller addresses of the entry hosts.
  std::chrono::milliseconds timeout_{ 40000 };
  std::chrono::milliseconds deadline_{ 0 }; ///< Maximum queueing time; 0 uses the profile's.
  uint32_t tries_ = 4;
  std::chrono::milliseconds retryDelay_{ 100 };
};

/// A caller of the entry hosts. Like a load balancer, picks a random entry host per request;
/// retries on another one with the same request id if the connection fails or the outcome is
/// unknown. Thread-safe.
class CallerClient
{
public:
  using Random = std::mt19937_64;

  explicit CallerClient(ClientSettings aSettings);

  /// Sends a request, with retries.
  /// @returns The outcome of the request; timeUs_ is the time at which it ended.
  HistoryLine Call(const ClientRequest& aRequest, Random& aRandom);

  uint64_t ConnectionsOpened() const { return link_.Counters().connectionsOpened_; }

private:
  /// The result of sending one request once.
  struct SendResult
  {
    HistoryType type_ = HistoryType::Unknown;
    bool connected_ = true;
    BackendResponse answer_;
  };

  size_t NextTarget(size_t aPrevious, Random& aRandom) const;
  SendResult SendTo(const std::string& aTarget,
                    const ClientRequest& aRequest,
                    const std::string& aRequestId);
  SendResult Send(const BackendRequest& aRequest);
  std::string TakeRequestId(Random& aRandom);

  const ClientSettings settings_;
  CurlBackendLink link_;
  std::mutex idMutex_;
  std::deque<std::string> ids_;
};

}
