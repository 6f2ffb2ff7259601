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

  /// @returns Number of continuous tasks of a pool that the last Run() could not place.
  uint32_t UnplacedContinuousTasks(const std::string& aService) const;

private:
  /// The usable backend servers of one pool.
  using Pool = std::vector<BackendHandle>;

  /// While backend servers have not told a new leader what they run, counts the inherited tasks
  /// that they may run.
  void CountUnseen();
  /// Adds the tasks of a step that found no place to the demand of its pool, as far as the cap of
  /// their tenant lets them run.
  void AddDemand(uint32_t aJob, const Step& aStep, uint32_t aStepIndex, size_t aTasks);
  /// Logs the tenants whose tasks wait for their cap, once each time.
  void LogCapped();
  size_t PlaceJob(uint32_t aJob, const Pool& aPool);
  size_t PlaceStep(uint32_t aJob, uint32_t aOccurrence, uint32_t aStep, const Pool& aPool);
  Pool AllowedBackends(uint32_t aJob, uint32_t aOccurrence, uint32_t aStep, const Pool& aPool);
  void StartTask(const TaskRef& aTask, BackendHandle aBackend, int64_t aRun);
  size_t PlaceGang(uint32_t aJob, uint32_t aOccurrence, uint32_t aStep, const Pool& aPool);
  BackendHandle Pick(const TaskRef& aTask, const StepSpec& aSpec, const Pool& aPool) const;
  /// @returns True if the task failed there a short time ago and the pool has other backend
  /// servers.
  bool MustAvoid(const TaskRef& aTask, BackendHandle aBackend, const Pool& aPool) const;
  BackendHandle PickForSuspect(const TaskRef& aTask, const StepSpec& aSpec, const Pool& aPool);
  /// Keeps the places of a group in question until no other run there is in question.
  /// @returns True if the group may start.
  bool MayStartGang(const TaskRef& aFirst, const std::vector<BackendHandle>& aPlaces);
  double Score(const Backend& aBackend, const StepSpec& aSpec) const;

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
  std::map<std::string, int64_t> waitingCoreMs_;
  std::map<std::string, uint32_t> unplacedContinuousTasks_; ///< By pool.
  std::map<TenantUsage::Id, Resources> demand_;             ///< Counted in the last Run().
  std::set<TenantUsage::Id> capped_;    ///< Tenants with tasks that wait for their cap.
  std::set<TenantUsage::Id> wasCapped_; ///< The same as last logged.
  bool hasUnseen_ = false;
  TimePoint nextUnseenCount_{};
};

}
