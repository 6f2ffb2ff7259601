#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/tenant_usage.h"

#include <chrono>
#include <map>
#include <string>
#include <utility>

namespace sardinespoke {

/// What is known of a submission and of the pool that it is for.
struct SubmissionLoad
{
  double cores_ = 0.0; ///< Of the pool's usable backend servers.
  /// Core-seconds of the jobs before it, as long as it can meet its objective; at most those of its
  /// tenant divided by the tenant's share of the pool.
  double workAhead_ = 0.0;
  /// Core-seconds of the late jobs that come before it once it is late as well.
  double lateWorkAhead_ = 0.0;
  double work_ = 0.0; ///< Its own core-seconds.
  std::chrono::milliseconds criticalPath_{ 0 };
  std::chrono::milliseconds objective_{ 0 };
};

/// Decides which submissions are turned away because they are hopeless, and when they may return.
///
/// Load pattern: for longer than a pool can grow, a queue asks for several times its capacity.
/// Accepted jobs that miss their objective wait behind all others; a caller who is told so at once
/// can do something else. A job is worth nothing to its caller once it takes more than three times
/// its objective, so only a submission that would take longer is turned away.
///
/// The order of return follows the order of refusals, tenant by tenant: each refusal takes the next
/// place in a queue that moves on as fast as its tenant's part of the pool can work, so that the
/// refused do not return in one wave.
class OverloadPolicy
{
public:
  /// @param aShare Part of the pool that the tenant is entitled to, above 0 and up to 1.
  /// @returns Zero if the submission is admitted, else the time after which to submit it again.
  std::chrono::milliseconds RetryAfter(const SubmissionLoad& aLoad,
                                       const std::string& aPool,
                                       TenantUsage::Id aTenant,
                                       double aShare,
                                       TimePoint aNow);

  /// @returns True if a job would take more than three times its objective, although the pool grows
  /// meanwhile.
  static bool IsHopeless(const SubmissionLoad& aLoad);

private:
  /// When the next refused submission may return, by pool and tenant.
  std::map<std::pair<std::string, TenantUsage::Id>, TimePoint> nextReturn_;
};

}
