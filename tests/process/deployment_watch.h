#pragma once

#include "deployment.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace sardinespoke {

/// A fleet document and the interval in which the store returned it.
struct FleetSpan
{
  FleetMap fleet_;
  int64_t firstReceivedUs_ = 0; ///< When the first read of it ended.
  int64_t lastSentUs_ = 0;      ///< When the last read of it started.
};

/// Fleet documents of a run, in the order in which the store returned them.
class FleetHistory
{
public:
  void Add(FleetMap aFleet, int64_t aSentUs, int64_t aReceivedUs);

  /// @returns Whether a host may have been in a pool at a time. A document may apply from the last
  /// read of its predecessor until the first read of its successor.
  bool MayHaveBeenInPool(const std::string& aHost, const std::string& aPool, int64_t aTimeUs) const;

  /// P2: runs of a service on a worker that was not in the service's pool.
  /// @param aServices The "services" of a profile document.
  std::vector<std::string> WrongPoolRuns(const std::vector<RunEntry>& aRuns,
                                         const nlohmann::json& aServices) const;

  /// P1: documents in which the roll-out makes more hosts of a pool unavailable than the budget, or
  /// starts on a host while the unavailable hosts already use up the budget.
  std::vector<std::string> BudgetViolations(uint32_t aBudget) const;

  /// @returns Number of completed moves.
  uint32_t Moves() const;

  const std::vector<FleetSpan>& Spans() const { return spans_; }

private:
  std::vector<FleetSpan> spans_;
};

/// P8: the sequence of revisions in force at each daemon, from its status.
class RevisionLog
{
public:
  /// @param aStatus Response of GET /v1/status.
  void Add(const nlohmann::json& aStatus);

  /// @returns Cases in which the revision of a daemon decreased.
  const std::vector<std::string>& Reverts() const { return reverts_; }
  uint64_t Samples() const { return samples_; }

private:
  void Compare(const nlohmann::json& aStatus, const char* aField);

  std::map<std::string, uint64_t> greatest_;
  std::vector<std::string> reverts_;
  uint64_t samples_ = 0;
};

/// Samples the store, the host power states and the status of all entry hosts during a test.
class DeploymentWatch
{
public:
  explicit DeploymentWatch(Deployment& aDeployment);
  ~DeploymentWatch();
  DeploymentWatch(const DeploymentWatch&) = delete;
  DeploymentWatch& operator=(const DeploymentWatch&) = delete;

  /// Stops sampling.
  void Stop();

  /// @returns The documents; only after Stop().
  const FleetHistory& Fleet() const { return fleet_; }

  /// @returns The revisions in force; only after Stop().
  const RevisionLog& Revisions() const { return revisions_; }

  /// P1: samples in which more hosts of a pool were rebooting than its budget of one;
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

/// @returns The first lines, for the message of a failed check.
std::string
FirstLines(const std::vector<std::string>& aLines);

}
