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

/// Settings and limits of the caller side.
struct GatewaySettings
{
  std::string listenAddress_; ///< "ip:port"; IPv4. Port 0 lets the system choose.
  std::string attemptPrefix_; ///< Entry host id and incarnation; makes attempt ids unique.
  size_t maxBodyBytes_ = 1024 * 1024;
  size_t maxHeaderCount_ = 64;
  size_t maxHeaderBytes_ = 16 * 1024;
  size_t maxTargetBytes_ = 8 * 1024;
  uint32_t maxConnections_ = 512; ///< One thread each.
  uint32_t maxAttempts_ = 3;      ///< Per request; refused slots are counted separately.
  uint32_t maxSlotRefusals_ = 3;  ///< Retries per request after a refused slot.
  std::chrono::seconds idleTimeout_{ 60 };
  std::chrono::milliseconds hangupPoll_{ 50 }; ///< Longest delay until a caller's exit is noticed.
  /// Extra condition of the health check, such as a confirmed view; may be empty.
  std::function<bool()> healthy_;
};

/// Totals since the start, and the number of requests in progress.
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

/// The caller HTTP server of an entry host (docs/design.md, 5.1).
///
/// Stops in three steps: FailHealth(), so that the load balancer takes the entry host out;
/// RefuseNew(); and WaitIdle() until the requests in flight have their answers. Shutdown() ends it.
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

  /// Binds the listener and starts to serve. Errors: GatewayError.
  leaf::result<void> Init();

  /// Makes the health check fail; requests are still served.
  void FailHealth();

  /// Refuses new requests with "not run".
  void RefuseNew();

  /// Waits for the requests in flight.
  /// @returns Whether none is left.
  bool WaitIdle(std::chrono::milliseconds aLimit);

  /// Closes the listener and all connections. Cuts requests that are still in flight.
  void Shutdown();

  /// @returns The port in use, 0 before Init().
  uint16_t Port() const;

  GatewayCounters Counters() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}
