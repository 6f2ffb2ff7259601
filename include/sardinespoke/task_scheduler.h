#pragma once

#include "sardinespoke/advice_cache.h"
#include "sardinespoke/refused_needs.h"
#include "sardinespoke/run_tracker.h"
#include "sardinespoke/suspect_placement.h"
#include "sardinespoke/wait_order.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardinespoke {

/// Assigns waiting tasks to backend servers of their pools.
class TaskScheduler
{
public:
  TaskScheduler(JobTable& aJobs,
                BackendTable& aBackends,
                RunTracker& aRuns,
                AdviceCache& aAdvice,
                const DurationModel& aDurations,
                const WaitOrder& aOrder,
                const ClockI& aClock);

  /// Starts every ready task that fits on a backend server.
  /// @returns Number of tasks started.
  size_t Run();

  /// @returns Work of the ready tasks of a pool that the last Run() could not place and that can
  /// still meet their objective, in core-milliseconds.
  int64_t WaitingCoreMs(const std::string& aService) const;

  /// Sets the pools that lack hosts for work that can still be in time. Hopeless jobs of the other
  /// pools then start only where continuous tasks run, so that their other hosts become free.
  ///
  /// Load pattern: the queues have bursts in turn. What one has left behind, too late to be of use,
  /// would keep its hosts busy while the next one's jobs become late in turn.
  void SetShortPools(std::set<std::string> aPools) { shortPools_ = std::move(aPools); }

  /// @returns Number of continuous tasks of a pool that the last Run() could not place.
  uint32_t UnplacedContinuousTasks(const std::string& aService) const;

private:
  /// The usable backend servers of one pool.
  using Pool = std::vector<BackendHandle>;

  size_t PlaceJob(uint32_t aJob, const Pool& aPool);
  /// @returns True if hopeless jobs of a pool must leave hosts free for other pools.
  bool MustYield(const std::string& aService) const;
  /// @returns True if a job is hopeless, so that it may wait until no pool is short.
  bool MayYield(uint32_t aJob) const;
  /// @returns The backend servers of a pool whose hosts cannot run empty.
  Pool WithContinuousTasks(const Pool& aPool) const;
  size_t PlaceStep(uint32_t aJob, uint32_t aOccurrence, uint32_t aStep, const Pool& aPool);
  Pool AllowedBackends(uint32_t aJob, uint32_t aOccurrence, uint32_t aStep, const Pool& aPool);
  void StartTask(const TaskRef& aTask, BackendHandle aBackend, int64_t aRun);
  size_t PlaceGang(uint32_t aJob, uint32_t aOccurrence, uint32_t aStep, const Pool& aPool);
  BackendHandle Pick(const TaskRef& aTask, const StepSpec& aSpec, const Pool& aPool) const;
  BackendHandle PickForSuspect(const TaskRef& aTask, const StepSpec& aSpec, const Pool& aPool);
  /// Keeps the places of a group in question until no other run there is in question.
  /// @returns True if the group may start.
  bool MayStartGang(const TaskRef& aFirst, const std::vector<BackendHandle>& aPlaces);
  double Score(const Backend& aBackend, const StepSpec& aSpec) const;
  bool MeetsConstraints(const Backend& aBackend, const TaskRef& aTask, const StepSpec& aSpec) const;

  JobTable& jobs_;
  BackendTable& backends_;
  RunTracker& runs_;
  AdviceCache& advice_;
  const DurationModel& durations_;
  const WaitOrder& order_;
  const ClockI& clock_;
  SuspectPlacement suspects_;
  RefusedNeeds refused_; ///< Of the pool whose jobs are being placed.
  size_t poolSize_ = 0;  ///< Of that pool.
  std::set<std::string> shortPools_;
  std::map<std::string, int64_t> waitingCoreMs_;
  std::map<std::string, uint32_t> unplacedContinuousTasks_; ///< By pool.
};

}
