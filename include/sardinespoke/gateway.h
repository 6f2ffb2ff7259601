#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/errors.h"
#include "sardinespoke/gateway_error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace sardinespoke {

class BackendLinkI;
class DispatcherI;
class EventLogI;
class RequestClaimsI;
class RetryBudget;

/// Settings and limits of the caller-facing HTTP server.
struct GatewaySettings
{
  std::string listenAddress_; ///< IPv4 "ip:port"; port 0 selects a free one.
  std::string attemptPrefix_; ///< Prefix of attempt ids: entry host id and incarnation.
  size_t maxBodyBytes_ = 1024 * 1024;
  size_t maxHeaderCount_ = 64;
  size_t maxHeaderBytes_ = 16 * 1024;
  size_t maxTargetBytes_ = 8 * 1024;
  uint32_t maxConnections_ = 512; ///< Each uses one thread.
  uint32_t maxAttempts_ = 3;      ///< Per request, not counting attempts whose slot was refused.
  uint32_t maxSlotRefusals_ = 3;  ///< Retries per request after refused slots.
  std::chrono::seconds idleTimeout_{ 60 };
  std::chrono::milliseconds hangupPollInterval_{ 50 }; ///< Of the checks for disconnected callers.
  /// Additional condition of the health check, such as a confirmed view; may be empty.
  std::function<bool()> healthy_;
};

/// Totals since process start; inFlight_ is the current number of requests.
struct GatewayCounters
{
  uint64_t ok_ = 0;
  uint64_t notRun_ = 0;
  uint64_t unknown_ = 0;
  uint64_t alreadyRun_ = 0;
  uint64_t retries_ = 0;
  uint64_t slotRefusals_ = 0;
  uint64_t callerDisconnects_ = 0;
  uint64_t connections_ = 0;
  uint64_t inFlight_ = 0;
};

/// The caller-facing HTTP server of an entry host (docs/design.md, 5.1).
///
/// Graceful stop: FailHealth(), so that the load balancer stops routing to this entry host, then
/// RefuseNewRequests(), then WaitIdle() until no request is in flight, then Shutdown().
class Gateway
{
public:
  Gateway(GatewaySettings aSettings,
          const ClockI& aClock,
          DispatcherI& aDispatcher,
          BackendLinkI& aBackends,
          RequestClaimsI& aClaims,
          RetryBudget& aBudget,
          EventLogI& aEvents);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// Binds the listener and starts serving. Errors: GatewayError.
  leaf::result<void> Init();

  /// Fails the health check while requests are still served.
  void FailHealth();

  /// Refuses new requests with the outcome "not-run".
  void RefuseNewRequests();

  /// Waits until no request is in flight.
  /// @returns False if the limit passed first.
  bool WaitIdle(std::chrono::milliseconds aLimit);

  /// Closes the listener and all connections; aborts requests that are still in flight.
  void Shutdown();

  /// @returns The bound port; 0 before Init().
  uint16_t Port() const;

  GatewayCounters Counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}
