#pragma once

#include "sardinespoke/duration_model.h"

#include <vector>

namespace sardinespoke {

/// Decides in which order waiting jobs of a pool get capacity.
///
/// Load pattern: one queue asks for several times what its pool holds for some seconds. Served in
/// order of arrival, all jobs become late together. The order is by priority; then lasting work,
/// which is small and loses value with every second; then jobs that can still meet their objective,
/// least work left first; then those that are late, in the same order.
class WaitOrder
{
public:
  explicit WaitOrder(const DurationModel& aDurations);

  /// Sorts indices of jobs.
  void Sort(const JobTable& aJobs, TimePoint aNow, std::vector<uint32_t>& aWaiting) const;

  /// @returns True if the job cannot be finished within its objective any more.
  bool IsLate(const Job& aJob, TimePoint aNow) const;

private:
  const DurationModel& durations_;
};

}
