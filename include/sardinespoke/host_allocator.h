#pragma once

#include "sardinespoke/arrival_rate.h"
#include "sardinespoke/host_directory.h"
#include "sardinespoke/pool_sizing.h"
#include "sardinespoke/rollout_runner.h"
#include "sardinespoke/task_scheduler.h"

#include <map>
#include <string>

namespace sardinespoke {

/// Moves hosts between pools as PoolSizing decides.
class HostAllocator
{
public:
  HostAllocator(JobTable& aJobs,
                BackendTable& aBackends,
                RunTracker& aRuns,
                TaskScheduler& aScheduler,
                ArrivalRate& aArrivals,
                BackendCommandsI& aOrders,
                HostDirectory& aDirectory,
                const RolloutRunner& aRollouts,
                const ClockI& aClock,
                Leadership& aLeadership,
                HostTimes aSettings);

  void Tick(const FleetConfig& aConfig);

private:
  /// A host on its way to another pool.
  struct Journey
  {
    std::string to_;
    std::string oldBackend_;
    TimePoint since_{};
    bool done_ = false;    ///< Host control has accepted the move.
    bool arrived_ = false; ///< Its backend server serves in the new pool.
  };

  std::vector<SizedPool> Survey(const FleetConfig& aConfig);
  void AddHost(const HostEntry& aHost, std::map<std::string, SizedPool>& aPools);
  uint32_t MinHosts(const std::string& aService) const;
  void EndJourneys();
  bool KnowsLoad();
  void Report(const std::vector<SizedPool>& aPools) const;
  void Order(const std::string& aHost);
  void OnOrdered(const std::string& aHost, const CommandResult& aResult);

  JobTable& jobs_;
  BackendTable& backends_;
  RunTracker& runs_;
  TaskScheduler& scheduler_;
  ArrivalRate& arrivals_;
  BackendCommandsI& commands_;
  HostDirectory& directory_;
  const RolloutRunner& rollouts_;
  const ClockI& clock_;
  Leadership& leadership_;
  const HostTimes settings_;
  const PoolSizing sizing_;
  std::map<std::string, Journey> journeys_;
  std::map<std::string, TimePoint> refusedUntil_;
  TimePoint firstJob_{}; ///< When the first job that does not last was accepted.
  TimePoint nextDecision_{};
  TimePoint nextReport_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
