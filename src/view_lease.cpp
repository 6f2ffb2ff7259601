#include "sardinespoke/view_lease.h"

#include <algorithm>

namespace sardinespoke {

void
ViewLease::Confirm(TimePoint aSentAt)
{
  confirmedAt_ = std::max(confirmedAt_.value_or(aSentAt), aSentAt);
}

void
ViewLease::ConfirmFromPeer(TimePoint aSentAt, std::chrono::nanoseconds aPeerAge)
{
  Confirm(aSentAt - std::max(aPeerAge, std::chrono::nanoseconds::zero()));
}

TimePoint
ViewLease::ValidUntil() const
{
  return confirmedAt_ ? *confirmedAt_ + limit_ : TimePoint::min();
}

}
