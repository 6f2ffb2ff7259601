#pragma once

#include "deployment.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sardinespoke {

/// Injects a random sequence of faults and planned changes that follows from a seed. At most two
/// entry hosts are paused or stopped at once, so that the others keep serving.
class FaultInjector
{
public:
  FaultInjector(Deployment& aDeployment, uint64_t aSeed);

  /// Starts or ends one fault, or makes one planned change.
  void Step();

  /// Clears all faults and restarts stopped entry hosts. @returns Whether all entry hosts serve.
  bool Recover();

  /// A host that the host list showed as leaving, and when the mark was set and removed.
  struct LeavingHost
  {
    uint32_t worker_ = 0;
    int64_t fromUs_ = 0;
    int64_t untilUs_ = INT64_MAX;
  };

  const std::vector<LeavingHost>& LeavingHosts() const { return leaving_; }

  /// @returns Exit codes other than 0 of daemons that were stopped with SIGTERM.
  const std::vector<std::string>& BadExits() const { return badExits_; }

  /// @returns The greatest revision of the accepted profile changes.
  uint64_t AcceptedRevision() const { return acceptedRevision_; }

  /// @returns How often each action was picked, as JSON.
  std::string Summary() const;

private:
  using Action = void (FaultInjector::*)();

  void PauseEntry();
  void ResumeEntry();
  void KillEntry();
  void RestartEntry();
  void TerminateEntry();
  void StoreDown();
  void StoreUp();
  void LoseResponses();
  void SlowStore();
  void ExpireLeases();
  void BreakWorker();
  void MoveHost();
  void EditProfile();
  void MarkLeaving();
  void EndLeaving();

  uint32_t Pick(uint32_t aCount) { return static_cast<uint32_t>(random_() % aCount); }
  uint32_t PickRunning();
  bool MayDisruptEntry() const { return pausedEntries_.size() + stoppedEntries_.size() < 2; }

  Deployment& deployment_;
  std::mt19937_64 random_;
  std::set<uint32_t> pausedEntries_;
  std::set<uint32_t> stoppedEntries_;
  std::set<uint32_t> faultyWorkers_;
  std::vector<LeavingHost> leaving_;
  std::vector<std::string> badExits_;
  std::map<std::string, uint32_t> actionCounts_;
  uint64_t acceptedRevision_ = 0;
  uint32_t edits_ = 0;
};

}
