#pragma once

#include "deployment.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sardinespoke {

/// One fleet document as the store had it for a while.
struct FleetSpan
{
  FleetMap fleet_;
  int64_t firstReceivedUs_ = 0; ///< End of the first call that read it.
  int64_t lastSentUs_ = 0;      ///< Start of the last call that read it.
};

/// The fleet documents of a run in the order in which the store had them.
class FleetHistory
{
public:
  void Add(FleetMap aFleet, int64_t aSentUs, int64_t aReceivedUs);

  /// @returns Whether a host may have been in a pool at a time. A document counts from the last
  /// read of the one before until the first read of the one after.
  bool MayHaveBeenInPool(const std::string& aHost, const std::string& aPool, int64_t aTimeUs) const;

  /// P2: runs of a service at a worker that was not in the service's pool.
  /// @param aServices The "services" of a profile document.
  std::vector<std::string> WrongPoolRuns(const std::vector<RunEntry>& aRuns,
                                         const nlohmann::json& aServices) const;

  /// P1: documents in which a pool has more hosts out for the roll-out than its budget, or in which
  /// the roll-out takes a host while everything unavailable already uses the budget.
  std::vector<std::string> BudgetViolations(uint32_t aBudget) const;

  /// @returns Moves that were completed.
  uint32_t Moves() const;

  const std::vector<FleetSpan>& Spans() const { return spans_; }

private:
  std::vector<FleetSpan> spans_;
};

/// P8: the revisions in force at each daemon, as its status showed them one after the other.
class RevisionLog
{
public:
  /// @param aStatus Answer of GET /v1/status.
  void Add(const nlohmann::json& aStatus);

  /// @returns Revisions that went back at a daemon.
  const std::vector<std::string>& Reverts() const { return reverts_; }
  uint64_t Samples() const { return samples_; }

private:
  void Compare(const nlohmann::json& aStatus, const char* aField);

  std::map<std::string, uint64_t> greatest_;
  std::vector<std::string> reverts_;
  uint64_t samples_ = 0;
};

/// Samples the store and the status of all entry hosts beside a test.
class DeploymentWatch
{
public:
  explicit DeploymentWatch(Deployment& aDeployment);
  ~DeploymentWatch();
  DeploymentWatch(const DeploymentWatch&) = delete;
  DeploymentWatch& operator=(const DeploymentWatch&) = delete;

  /// Ends the sampling.
  void Stop();

  /// @returns The documents; only after Stop().
  const FleetHistory& Fleet() const { return fleet_; }

  /// @returns The revisions in force; only after Stop().
  const RevisionLog& Revisions() const { return revisions_; }

  /// P1: samples of the platform in which more hosts of a pool rebooted than its budget of one;
  /// only after Stop().
  const std::vector<std::string>& RebootViolations() const { return rebootViolations_; }
  uint32_t MostRebooting() const { return mostRebooting_; }

private:
  void WatchFleet();
  void WatchStatus();
  void WatchReboots();

  Deployment& deployment_;
  std::atomic<bool> stop_{ false };
  FleetHistory fleet_;
  std::mutex fleetMutex_;
  FleetMap latest_;
  RevisionLog revisions_;
  std::vector<std::string> rebootViolations_;
  uint32_t mostRebooting_ = 0;
  std::vector<std::thread> threads_;
};

/// @returns The lines, for the message of a failed check.
std::string
FirstLines(const std::vector<std::string>& aLines);

}
