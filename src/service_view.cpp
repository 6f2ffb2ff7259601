#include "service_view_p.h"

#include <algorithm>

namespace sardinespoke {

namespace {

std::optional<std::chrono::microseconds>
AgeOf(const std::optional<TimePoint>& aTime, TimePoint aNow)
{
  if (!aTime) {
    return std::nullopt;
  }
  return std::chrono::ceil<std::chrono::microseconds>(aNow - *aTime);
}

}

TimePoint
ServiceView::ValidUntil(const std::set<std::string>& aOthers) const
{
  const TimePoint leased = lease_.ValidUntil();
  if (reachable_) {
    return leased;
  }
  return std::max(leased, outage_.ValidUntil(aOthers, lease_.ConfirmedAt()));
}

ServiceReport
ServiceView::Report(TimePoint aNow) const
{
  return { AgeOf(lease_.ConfirmedAt(), aNow), reachable_, AgeOf(lastContact_, aNow) };
}

void
ServiceView::OnReport(const std::string& aPeer,
                      const ServiceReport& aReport,
                      TimePoint aSentAt,
                      TimePoint aNow)
{
  PeerReachability answer;
  answer.reachable_ = aReport.reachable_;
  answer.sentAt_ = aSentAt;
  if (aReport.contactAge_) {
    // The age was measured before aNow, so the peer's last contact was not later than this.
    answer.lastContact_ = aNow - *aReport.contactAge_;
  }
  outage_.SetPeerReachability(aPeer, answer);
}

}
