#pragma once

#include "sardinespoke/advice_cache.h"
#include "sardinespoke/overload_policy.h"
#include "sardinespoke/refused_needs.h"
#include "sardinespoke/run_tracker.h"
#include "sardinespoke/suspect_placement.h"
#include "sardinespoke/tenant_shares.h"
#include "sardinespoke/wait_index.h"

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

  /// Notes how much of its time the control loop has worked since the last call.
  void ReportUtilization(double aUtilization, std::chrono::nanoseconds aPeriod);

  /// @returns What is known of the pool of a new job and of the jobs before it.
  SubmissionLoad LoadFor(uint32_t aJob);

  /// @returns Part of its pool that the tenant of a job is entitled to.
  double ShareFor(uint32_t aJob) const;

  /// @returns Work of the ready tasks of a pool that wait for capacity and can still meet their
  /// objective, in core-milliseconds.
  int64_t WaitingCoreMs(const std::string& aService);

  /// @returns Number of continuous tasks of a pool that wait for capacity.
  uint32_t UnplacedContinuousTasks(const std::string& aService);

private:
  /// The usable backend servers of one pool.
  using Pool = std::vector<BackendHandle>;
  struct Servers
  {
    std::string service_;
    Pool pool_;
    Resources capacity_;
  };

  /// While backend servers have not told a new leader what they run, counts the inherited tasks
  /// that they may run.
  void CountUnseen();
  /// Finds the usable backend servers of the pools with waiting jobs.
  void CollectServers();
  size_t PlacePool(const std::string& aService,
                   const WaitIndex::Pool& aWaiting,
                   const Servers& aServers);
  /// @returns Whether an earlier leader's run of the job may still exist.
  bool MayRunUnseen(const Job& aJob) const;
  /// Sums up the demand of all pools, if it may have changed.
  void UpdateDemand();
  /// Adds the waiting tasks of a job to the demand of its pool, as far as the cap of its tenant
  /// lets them run.
  void AddDemand(uint32_t aJob);
  void AddDemand(const Job& aJob, const Step& aStep, uint32_t aStepIndex, size_t aTasks);
  /// Logs the tenants whose tasks wait for their cap, each at most once a second.
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
  WaitIndex index_;
  std::map<std::string, Servers> servers_; ///< By pool.
  std::vector<Servers*> serversOf_;        ///< By index of the backend server.
  std::set<std::string> unreconciled_;     ///< See RunTracker::UnreconciledServices().
  bool demandMayHaveChanged_ = true;
  bool isLeaderBound_ = false; ///< The control loop had no time left in the last period.
  std::map<std::string, double> startedWork_;      ///< Core-seconds in this period, by pool.
  std::map<std::string, double> startedPerSecond_; ///< Of the last period, by pool.
  std::map<std::string, int64_t> waitingCoreMs_;
  std::map<std::string, uint32_t> unplacedContinuousTasks_; ///< By pool.
  std::map<TenantUsage::Id, Resources> demand_;             ///< Counted so far.
  std::set<TenantUsage::Id> capped_;                ///< Tenants with tasks that wait for their cap.
  std::map<TenantUsage::Id, TimePoint> cappedLogs_; ///< When that was last logged, by tenant.
  bool hasUnseen_ = false;
  TimePoint nextUnseenCount_{};
};

}
