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

private:
  /// A host that is moving to another pool.
  struct PendingMove
  {
    std::string to_;
    std::string oldBackend_;
    TimePoint since_{};
    bool acceptedByHostControl_ = false; ///< Host control confirmed the move.
    bool arrived_ = false;               ///< Its backend server accepts work in the new pool.
    bool awaitsLease_ = false; ///< No response; sent again once the leader's lease is certain.
  };

  std::vector<PoolState> CollectPools(const FleetConfig& aConfig);
  void AddHost(const HostEntry& aHost, std::map<std::string, PoolState>& aPools);
  uint32_t MinHosts(const std::string& aService) const;
  void UpdatePendingMoves();
  bool HasLoadHistory();
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
  std::map<std::string, TimePoint> moveBackoffUntil_;
  TimePoint firstJobAcceptedAt_{}; ///< Of jobs without continuous tasks.
  TimePoint nextDecision_{};
  TimePoint nextReport_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
