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
                BackendCommandsI& aCommands,
                HostDirectory& aDirectory,
                const RolloutRunner& aRollouts,
                const ClockI& aClock,
                Leadership& aLeadership,
                HostOperationTimes aSettings);

  /// Starts the moves that are due. To be called often; decides once per sizing period.
  void Tick(const FleetConfig& aConfig);

  /// @returns Capacity that a pool has, gets by moves in progress or could get from the spare pool,
  /// in milli-cores; 0 if it is not known yet.
  int64_t ReachableCpuMilli(const std::string& aService) const;

private:
  /// A host that is moving to another pool.
  struct PendingMove
  {
    std::string to_;
    std::string oldBackend_;
    TimePoint since_{};
    bool acceptedByHostControl_ = false; ///< Host control confirmed the move.
    bool arrived_ = false;               ///< Its backend server accepts work in the new pool.
  };

  std::vector<PoolState> CollectPools(const FleetConfig& aConfig);
  void AddHost(const HostEntry& aHost, std::map<std::string, PoolState>& aPools);
  uint32_t MinHosts(const std::string& aService) const;
  void UpdatePendingMoves();
  bool HasLoadHistory();
  /// Tells the scheduler which pools are short and keeps the capacity that each can reach.
  void PublishPools(const std::vector<PoolState>& aPools);
  void LogPools(const std::vector<PoolState>& aPools) const;
  void SendMoveCommand(const std::string& aHost);
  void OnMoveResult(const std::string& aHost, const CommandResult& aResult);

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
  const HostOperationTimes settings_;
  const PoolSizing sizing_;
  std::map<std::string, PendingMove> pendingMoves_;
  std::map<std::string, int64_t> reachableCpuMilli_; ///< By pool, as of the last decision.
  std::map<std::string, TimePoint> moveBackoffUntil_;
  TimePoint firstJobAcceptedAt_{}; ///< Of jobs without continuous tasks.
  TimePoint nextDecision_{};
  TimePoint nextReport_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
