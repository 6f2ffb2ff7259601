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
    Open,     ///< Gets no work until the open time has passed.
    HalfOpen, ///< Gets one probe; its result decides.
    Count
  };

  /// Consecutive connection failures that open the breaker. One may be a restart of the server.
  static constexpr uint32_t kFailuresToOpen = 3;
  static constexpr std::chrono::milliseconds kInitialOpenTime{ 2000 };
  static constexpr std::chrono::milliseconds kMaxOpenTime{ 30000 };

  /// @returns The state at aNow; an open breaker becomes half-open when its time has passed.
  State StateAt(TimePoint aNow) const;

  /// @returns Whether work may be sent now. In the half-open state only one probe may.
  bool AllowsRequest(TimePoint aNow) const;

  /// Records that work was sent; in the half-open state it becomes the probe.
  /// @param aGrant Id of the grant.
  void OnStart(uint64_t aGrant, TimePoint aNow);

  void OnSuccess(uint64_t aGrant);
  void OnFailure(uint64_t aGrant, TimePoint aNow);

  /// The attempt ended without telling anything about the server; a probe may be repeated.
  void OnInconclusive(uint64_t aGrant);

  /// Opens the breaker because fault attribution blames the server.
  void ForceOpen(TimePoint aNow);

private:
  void Open(TimePoint aNow);

  bool open_ = false;
  TimePoint openUntil_;
  std::chrono::milliseconds openTime_ = kInitialOpenTime;
  uint32_t failures_ = 0; ///< Consecutive.
  uint64_t probe_ = 0;    ///< Grant that probes; 0 = none.
};

}
