#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/tenant_usage.h"

#include <vector>

namespace sardinespoke {

/// Tells which submissions of a tenant exceed its weight in jobs a second: a token bucket for each
/// tenant that holds the jobs of one second.
///
/// Load pattern: one tenant sends many times its usual load. What exceeds its weight is accepted,
/// but waits behind what others send within theirs.
class SubmissionRates
{
public:
  /// Counts a submission.
  /// @param aWeight Jobs a second.
  /// @returns True if it is within the weight.
  bool Take(TenantUsage::Id aTenant, double aWeight, TimePoint aNow);

private:
  struct Bucket
  {
    double tokens_ = 0.0;
    TimePoint filledAt_{}; ///< Unset until the first submission, which finds it full.
  };

  std::vector<Bucket> buckets_; ///< By tenant.
};

}
