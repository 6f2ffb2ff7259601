#pragma once

#include "sardinespoke/duration_model.h"

#include <vector>

namespace sardinespoke {

/// Order in which the waiting jobs of a pool get capacity.
///
/// Load pattern: for some seconds one queue needs several times the capacity of its pool. In order
/// of arrival all its jobs would become late. Jobs are ordered by priority; then jobs with
/// continuous tasks, which are small and lose value with every second; then jobs that can still
/// meet their objective, least remaining work first; then late jobs, least remaining work first.
class WaitOrder
{
public:
  explicit WaitOrder(const DurationModel& aDurations);

  /// Sorts job indices.
  void Sort(const JobTable& aJobs, TimePoint aNow, std::vector<uint32_t>& aWaiting) const;

  /// @returns True if the job can no longer finish within its latency objective.
  bool IsLate(const Job& aJob, TimePoint aNow) const;

private:
  const DurationModel& durations_;
};

}
