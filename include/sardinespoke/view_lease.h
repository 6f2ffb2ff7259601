#pragma once

#include "sardinespoke/clock.h"

#include <optional>

namespace sardinespoke {

/// Longest time for which a confirmation of a view permits dispatching.
inline constexpr std::chrono::milliseconds kViewLimit{ 2500 };

/// Remembers when a view (the fleet document or the host list) was last confirmed.
class ViewLease
{
public:
  /// @param aLimit Time for which a confirmation counts.
  explicit ViewLease(std::chrono::nanoseconds aLimit = kViewLimit)
    : limit_(aLimit)
  {
  }

  /// Records a confirmation by the service itself.
  /// @param aSentAt When the confirming request was sent. The answer's arrival is no substitute:
  /// the process may have been paused between the two.
  void Confirm(TimePoint aSentAt);

  /// Records a confirmation by a peer that has the same revision in force.
  /// @param aSentAt When the question was sent to the peer.
  /// @param aPeerAge Age of the peer's own confirmation when it answered.
  void ConfirmFromPeer(TimePoint aSentAt, std::chrono::nanoseconds aPeerAge);

  /// @returns The time of the latest confirmation; empty if there never was one.
  std::optional<TimePoint> ConfirmedAt() const { return confirmedAt_; }

  /// @returns The first time at which the view no longer permits dispatching.
  TimePoint ValidUntil() const;

  bool MayDispatch(TimePoint aNow) const { return aNow < ValidUntil(); }

private:
  std::chrono::nanoseconds limit_;
  std::optional<TimePoint> confirmedAt_;
};

}
