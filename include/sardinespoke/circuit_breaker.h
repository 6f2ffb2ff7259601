#pragma once

#include "sardinespoke/clock.h"

#include <cstdint>

namespace sardinespoke {

/// Circuit breaker of one backend server, held by one entry host.
class CircuitBreaker
{
public:
  enum class State
  {
    Closed,
    Open,     ///< Sends no requests until the open time has passed.
    HalfOpen, ///< Allows one probe request; its result closes or reopens the breaker.
    Count
  };

  /// Consecutive connection failures that open the breaker. A single one may be caused by a
  /// restart of the server.
  static constexpr uint32_t kFailuresToOpen = 3;
  static constexpr std::chrono::milliseconds kInitialOpenTime{ 2000 };
  static constexpr std::chrono::milliseconds kMaxOpenTime{ 30000 };

  /// @returns The state at aNow; an open breaker becomes half-open when its time has passed.
  State StateAt(TimePoint aNow) const;

  /// @returns Whether a request may be sent now; in the half-open state only one probe at a time.
  bool AllowsRequest(TimePoint aNow) const;

  /// Records that a request was sent; in the half-open state it becomes the probe.
  /// @param aGrant Id of the request's grant.
  void OnStart(uint64_t aGrant, TimePoint aNow);

  void OnSuccess(uint64_t aGrant);
  void OnFailure(uint64_t aGrant, TimePoint aNow);

  /// The result says nothing about the server's health. If it was the probe, another may be sent.
  void OnInconclusive(uint64_t aGrant);

  /// Opens the breaker because fault attribution ejects the server.
  void ForceOpen(TimePoint aNow);

private:
  void Open(TimePoint aNow);

  bool open_ = false;
  TimePoint openUntil_;
  std::chrono::milliseconds openTime_ = kInitialOpenTime;
  uint32_t failures_ = 0; ///< Consecutive.
  uint64_t probe_ = 0;    ///< Grant id of the probe in flight; 0 = none.
};

}
