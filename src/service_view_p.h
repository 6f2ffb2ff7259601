#pragma once

#include "confirm_message_p.h"
#include "sardinespoke/outage_rule.h"
#include "sardinespoke/view_lease.h"

namespace sardinespoke {

/// Validity of this daemon's view of one platform service (store or host list), and its access to
/// the service.
struct ServiceView
{
  explicit ServiceView(std::chrono::milliseconds aLimit)
    : lease_(aLimit)
    , outage_(aLimit)
  {
  }

  ViewLease lease_;
  OutageRule outage_;
  bool reachable_ = true; ///< Whether the latest call succeeded; true before the first call.
  std::optional<TimePoint> lastContact_; ///< When the latest successful call returned.

  void OnSuccess(TimePoint aNow)
  {
    reachable_ = true;
    lastContact_ = aNow;
  }

  bool IsFresh(TimePoint aNow, std::chrono::milliseconds aLimit) const
  {
    return lease_.ConfirmedAt() && aNow - *lease_.ConfirmedAt() < aLimit;
  }

  /// @returns The time until which the view permits dispatching, by its lease or the all-peers
  /// rule.
  TimePoint ValidUntil(const std::set<std::string>& aOthers) const;

  /// @returns The report for a peer. Ages are rounded up, so that a peer never overestimates the
  /// time of the last contact.
  ServiceReport Report(TimePoint aNow) const;

  /// Records a peer's report of its own access.
  void OnReport(const std::string& aPeer,
                const ServiceReport& aReport,
                TimePoint aSentAt,
                TimePoint aNow);
};

}
