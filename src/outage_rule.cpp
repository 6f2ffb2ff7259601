#include "sardinespoke/outage_rule.h"

#include <algorithm>

namespace sardinespoke {

TimePoint
OutageRule::ValidUntil(const std::set<std::string>& aOthers,
                       std::optional<TimePoint> aConfirmedAt) const
{
  if (!aConfirmedAt) {
    return TimePoint::min();
  }
  TimePoint until = TimePoint::max();
  for (const std::string& peer : aOthers) {
    auto found = reachabilityByPeer_.find(peer);
    if (found == reachabilityByPeer_.end()) {
      return TimePoint::min();
    }
    const PeerReachability& answer = found->second;
    const bool contactedLater =
      answer.lastContact_ && *answer.lastContact_ > *aConfirmedAt + limit_;
    if (answer.reachable_ || contactedLater) {
      return TimePoint::min();
    }
    until = std::min(until, answer.sentAt_ + limit_);
  }
  return until;
}

}
