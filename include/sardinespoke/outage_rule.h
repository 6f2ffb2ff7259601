#pragma once

#include "sardinespoke/view_lease.h"

#include <map>
#include <set>
#include <string>

namespace sardinespoke {

/// What a peer said about its own access to a service (key-value service or host list).
struct PeerReachability
{
  bool reachable_ = true;
  /// Latest possible time of the peer's last successful call; empty if it never had one.
  std::optional<TimePoint> lastContact_;
  TimePoint sentAt_; ///< When the question was sent.
};

/// The all-peers rule (docs/design.md, 5.2): a view that cannot be confirmed may be used while
/// every other member says that it cannot reach the service either.
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
  /// @param aConfirmedAt Latest known confirmation of the view.
  /// @returns The first time at which the rule no longer holds. A member that reached the service
  /// more than one view limit after the confirmation may have seen a newer document, so its answer
  /// does not count: it could still be registered when the planner gives this daemon up.
  TimePoint ValidUntil(const std::set<std::string>& aOthers,
                       std::optional<TimePoint> aConfirmedAt) const;

private:
  std::chrono::nanoseconds limit_;
  std::map<std::string, PeerReachability> reachabilityByPeer_;
};

}
