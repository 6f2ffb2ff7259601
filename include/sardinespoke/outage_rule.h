#pragma once

#include "sardinespoke/view_lease.h"

#include <map>
#include <set>
#include <string>

namespace sardinespoke {

/// A peer's report of its own access to a platform service (key-value service or host list).
struct PeerReachability
{
  bool reachable_ = true;
  /// Latest possible time of the peer's last successful call; nullopt if there was none.
  std::optional<TimePoint> lastContact_;
  TimePoint sentAt_; ///< When the request for this report was sent.
};

/// The all-peers rule (docs/design.md, 5.2): a view that can't be confirmed stays valid while
/// every other member reports that it can't reach the service either.
class OutageRule
{
public:
  explicit OutageRule(std::chrono::nanoseconds aLimit = kViewLimit)
    : limit_(aLimit)
  {
  }

  void SetPeerReachability(const std::string& aPeer, const PeerReachability& aAnswer)
  {
    reachabilityByPeer_[aPeer] = aAnswer;
  }

  /// @param aOthers All other members of the last known member list.
  /// @param aConfirmedAt Time of the view's last confirmation.
  /// @returns The time from which the rule no longer holds. The rule doesn't hold if a member
  /// reached the service more than one view limit after the confirmation: that member may have seen
  /// a newer document, and may still be registered when the planner removes this daemon.
  TimePoint ValidUntil(const std::set<std::string>& aOthers,
                       std::optional<TimePoint> aConfirmedAt) const;

private:
  std::chrono::nanoseconds limit_;
  std::map<std::string, PeerReachability> reachabilityByPeer_;
};

}
