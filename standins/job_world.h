#pragma once

#include "plain_fleet_format.h"
#include "sardinespoke/job_control.h"
#include "simulated_fleet.h"

#include <memory>
#include <optional>

namespace sardinespoke {

/// Simulated deployment on a manual clock: entry hosts, the store and the fleet.
class JobWorld
{
public:
  /// @param aHosts Number of entry hosts.
  explicit JobWorld(size_t aHosts = 2);

  /// Adds a pool with a queue of the same name at host "callers" and path "/<name>/".
  void AddPool(const std::string& aName,
               size_t aHosts,
               Resources aCapacity,
               uint32_t aMaxAttempts = 3,
               bool aSpare = false);

  /// Writes the configuration to the store, as an operator does.
  void Configure();
  void RequestRollout(const RolloutRequest& aRequest);

  /// Advances the clock in steps of 5 ms.
  void Run(std::chrono::milliseconds aTime);

  /// Runs until a condition holds.
  /// @returns False if it does not hold within the limit.
  bool RunUntil(const std::function<bool()>& aCondition, std::chrono::milliseconds aLimit);

  /// @returns Index of the entry host that is the leader and ready; empty if there is none.
  std::optional<size_t> Leader() const;

  /// @returns True if an entry host considers itself the leader and is ready; several may after a
  /// loss of the leader's record.
  bool IsLeader(size_t aHost) const;

  /// Sets the API key of the calls from now on.
  void UseKey(const std::string& aKey) { apiKey_ = aKey; }

  /// Sends a call to the leader; dropped without an answer if there is no leader.
  void Send(const JobRequest& aCall, const JobResponseCallback& aAnswer);
  void SendSubmit(const std::string& aPool,
                  const std::string& aId,
                  std::vector<StepSpec> aSteps,
                  const JobResponseCallback& aAnswer);
  void SendCancel(const std::string& aPool,
                  const std::string& aId,
                  const JobResponseCallback& aAnswer);

  /// Sends a call to the leader and waits for the answer.
  JobResponse Call(const JobRequest& aCall);

  /// Sends a call to an entry host that considers itself the leader and waits for the answer.
  JobResponse CallAt(size_t aHost, const JobRequest& aCall);

  /// @returns The call that submits a job, whose tasks behave as their steps say.
  JobRequest SubmitCall(const std::string& aPool,
                        const std::string& aId,
                        std::vector<StepSpec> aSteps);

  /// Submits a job of one step.
  JobResponse Submit(const std::string& aPool, const std::string& aId, const StepSpec& aStep);
  JobResponse Submit(const std::string& aPool,
                     const std::string& aId,
                     std::vector<StepSpec> aSteps);
  JobState StateOf(const std::string& aPool, const std::string& aId);
  JobResponse Cancel(const std::string& aPool, const std::string& aId);
  JobResponse SubmitAt(size_t aHost,
                       const std::string& aPool,
                       const std::string& aId,
                       std::vector<StepSpec> aSteps);
  JobResponse CancelAt(size_t aHost, const std::string& aPool, const std::string& aId);

  /// Stops an entry host from running until ResumeHost().
  void PauseHost(size_t aHost) { nodes_[aHost].paused_ = true; }
  void ResumeHost(size_t aHost);

  /// Restarts an entry host after it has resigned, as an operator does.
  void Stop(size_t aHost);

  /// Restarts an entry host, which loses its state in memory.
  void Restart(size_t aHost);

  /// Sets the duration of all tasks of a job; by default they take their declared duration.
  void SetDuration(const std::string& aJob, std::chrono::milliseconds aDuration);
  /// Lets the continuous tasks of a job end by themselves from their next start on.
  void SetOwnEnd(const std::string& aJob, RunOutcome aOutcome, std::chrono::milliseconds aAfter);
  void SetPoison(const std::string& aJob) { poison_.insert(aJob); }
  /// Makes a task crash each backend server that starts it.
  /// @param aAfter Time from its start to the crash.
  void SetDeadly(const std::string& aTask,
                 std::chrono::milliseconds aAfter = std::chrono::milliseconds(100))
  {
    deadly_[aTask] = aAfter;
  }

  MemoryRecordStore::Client& StoreOf(size_t aHost) { return *nodes_[aHost].store_; }
  SimulatedFleet::Client& FleetOf(size_t aHost) { return *nodes_[aHost].commands_; }
  SimulatedFleet& Fleet() { return *fleet_; }
  size_t Starts() const { return fleet_->Starts(); }
  size_t Polls() const { return fleet_->Polls(); }
  size_t StoreCalls() const;
  /// @returns The metrics of all entry hosts together, in the Prometheus text format.
  std::string MetricsText() const { return metrics_.Exposition(); }
  MemoryRecordStore& Store() { return *store_; }
  ManualClock& Clock() { return clock_; }

  /// @returns Unix time as seen by the entry hosts.
  std::chrono::milliseconds Wall() const { return wall_; }
  FleetConfig& Config() { return config_; }

  /// Settings of leaders elected from now on.
  JobControlSettings& Settings() { return settings_; }

private:
  struct Node
  {
    std::unique_ptr<MemoryRecordStore::Client> store_;
    std::unique_ptr<SimulatedFleet::Client> commands_;
    std::unique_ptr<Leadership> leadership_;
    std::unique_ptr<JobControl> control_;
    bool paused_ = false;
    size_t bootCount_ = 0;
  };

  void Boot(size_t aHost);
  /// @returns A call to a path below that of a pool's queue.
  JobRequest CallTo(JobRequestKind aKind, const std::string& aPool, const std::string& aId) const;
  void Tick(Node& aNode);
  SimulatedFleet::TaskShape ShapeOf(const std::string& aTask) const;

  ManualClock clock_;
  EventQueue events_{ clock_ };
  PlainFleetFormat format_;
  std::unique_ptr<MemoryRecordStore> store_;
  std::unique_ptr<SimulatedFleet> fleet_;
  std::vector<Node> nodes_;
  FleetConfig config_;
  std::string apiKey_;
  Metrics metrics_;
  JobControlSettings settings_;
  std::map<std::string, std::vector<StepSpec>> specs_;
  std::map<std::string, std::chrono::milliseconds> durations_;
  std::map<std::string, RunOutcome> ownEnds_;
  std::set<std::string> poison_;
  std::map<std::string, std::chrono::milliseconds> deadly_;
  std::chrono::milliseconds wall_{ 1000000 };
};

}
