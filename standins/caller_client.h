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

/// One request as a caller sends it.
struct ClientRequest
{
  std::string service_;
  std::string nonce_;
  bool idempotent_ = true;
  std::chrono::milliseconds runTime_{ 0 };
  size_t responseBytes_ = 0;
};

/// What a caller does when it gets no definite answer.
struct ClientSettings
{
  std::vector<std::string> targets_; ///< Caller addresses of the entry hosts.
  std::chrono::milliseconds timeout_{ 40000 };
  std::chrono::milliseconds deadline_{ 0 }; ///< Longest wait in the queue; 0 = the profile's.
  uint32_t tries_ = 4;
  std::chrono::milliseconds retryDelay_{ 100 };
};

/// A caller of the entry hosts: picks one per request like a load balancer and, after a broken
/// connection or an unknown outcome, asks another one with the same request id. Thread-safe.
class CallerClient
{
public:
  using Random = std::mt19937_64;

  explicit CallerClient(ClientSettings aSettings);

  /// @returns How the request ended; timeUs_ is the time of the end.
  HistoryLine Call(const ClientRequest& aRequest, Random& aRandom);

  uint64_t ConnectionsOpened() const { return link_.Counters().connectionsOpened_; }

private:
  /// The end of one try.
  struct SendResult
  {
    HistoryType type_ = HistoryType::Unknown;
    bool connected_ = true;
    BackendAnswer answer_;
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
