#pragma once

#include "sardinespoke/clock.h"

#include <optional>

namespace sardinespoke {

/// Maximum time for which a confirmation of a view permits dispatching.
inline constexpr std::chrono::milliseconds kViewLimit{ 2500 };

/// Tracks when a view (the fleet document or the host list) was last confirmed.
class ViewLease
{
public:
  /// @param aLimit Time for which a confirmation is valid.
  explicit ViewLease(std::chrono::nanoseconds aLimit = kViewLimit)
    : limit_(aLimit)
  {
  }

  /// Records a confirmation by the service itself.
  /// @param aSentAt When the confirming request was sent. The arrival of the response must not be
  /// used, because the process may have been paused in between.
  void Confirm(TimePoint aSentAt);

  /// Records a confirmation by a peer that has the same revision in force.
  /// @param aSentAt When the request was sent to the peer.
  /// @param aPeerAge Age of the peer's own confirmation when it replied.
  void ConfirmFromPeer(TimePoint aSentAt, std::chrono::nanoseconds aPeerAge);

  /// @returns The time of the latest confirmation; empty if there is none.
  std::optional<TimePoint> ConfirmedAt() const { return confirmedAt_; }

  /// @returns The first time at which the view no longer permits dispatching.
  TimePoint ValidUntil() const;

  bool MayDispatch(TimePoint aNow) const { return aNow < ValidUntil(); }

private:
  std::chrono::nanoseconds limit_;
  std::optional<TimePoint> confirmedAt_;
};

}
