#include "sardinespoke/submission_rates.h"

#include <algorithm>

namespace sardinespoke {

bool
SubmissionRates::Take(TenantUsage::Id aTenant, double aWeight, TimePoint aNow)
{
  if (aTenant == TenantUsage::kNoTenant) {
    return true;
  }
  if (aTenant >= buckets_.size()) {
    buckets_.resize(aTenant + 1);
  }
  Bucket& bucket = buckets_[aTenant];
  // A tenant with a weight below 1 may send a job from time to time.
  const double size = std::max(aWeight, 1.0);
  const std::chrono::duration<double> passed = aNow - bucket.filledAt_;
  bucket.tokens_ = bucket.filledAt_ == TimePoint{}
                     ? size
                     : std::min(bucket.tokens_ + passed.count() * aWeight, size);
  bucket.filledAt_ = aNow;
  if (bucket.tokens_ < 1.0) {
    return false;
  }
  bucket.tokens_ -= 1.0;
  return true;
}

}
