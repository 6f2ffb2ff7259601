#pragma once

#include "sardinespoke/backend_table.h"

#include <functional>
#include <set>

namespace sardinespoke {

/// Time limits of running work; from the platform's settings.
struct RunLimits
{
  std::chrono::milliseconds holdMax_{ 6000 };   ///< Longest lease of running tasks.
  std::chrono::milliseconds leaseTime_{ 4500 }; ///< Lease asked for in each look.
};

/// What happened to a run, for logs and for learning.
struct RunEvent
{
  TaskRef task_;
  RunId run_;
  BackendHandle backend_;
  RunOutcome kind_ = RunOutcome::Done;
  std::chrono::milliseconds lasted_{ 0 };
};

/// Starts and stops runs on backend servers and learns from their lists what runs and what has
/// ended. A task has at most one run that may exist: a start without an answer occupies its backend
/// server and its task until it is certain that it will not be carried out.
class RunTracker
{
public:
  RunTracker(JobTable& aJobs,
             BackendTable& aBackends,
             BackendCommandsI& aOrders,
             const ClockI& aClock,
             RunLimits aLimits,
             int64_t aFence);

  /// Takes over what the registry lists now.
  /// @param aEntries All entries that could be read.
  void ApplyRegistry(const std::vector<BackendEntry>& aEntries);

  /// Adds a backend server that an earlier owner used and that the registry may not list.
  BackendHandle AddRecorded(const BackendEntry& aEntry);

  /// Sends a start. The task must be waiting and the backend server usable.
  /// @param aTicket Of an advised step; empty for others.
  void Start(const TaskRef& aTask,
             BackendHandle aBackend,
             int64_t aRun,
             const std::string& aTicket = "");

  /// Asks for the end of a run; it is repeated until the run is gone.
  void Stop(BackendHandle aBackend, BackendRun& aRun);

  /// Stops all runs of a job.
  void StopJob(uint32_t aJob);

  /// The life of a backend server has ended and everything on it.
  void EndIncarnation(BackendHandle aBackend, const char* aReason);

  /// Sends what is due: looks, repeated stops; gives up on lapsed leases.
  void Tick();

  /// The ends applied so far are in the store.
  void EndsStored(const std::map<uint32_t, int64_t>& aUpTo);

  /// Ends applied by backend server; stored together with the progress that they caused.
  std::map<uint32_t, int64_t> EndsApplied() const;

  bool IsUsable(const Backend& aBackend) const;

  /// Ends the lives that host control's list shows to be over.
  /// @param aAskedAt When the list had been asked for; later lives are not in it.
  void ApplyHosts(const std::map<std::string, HostEntry>& aHosts, TimePoint aAskedAt);

  /// @returns Services with a backend server that may run inherited tasks and has not answered.
  std::set<std::string> UnreconciledServices() const;

  /// @returns True if a backend server does not answer, so that the list of hosts matters.
  bool HasUnresponsive() const;

  /// @returns True once a backend server has seen a higher fence.
  bool IsFenced() const { return fenced_; }

  int64_t NextRun() { return nextRun_++; }

  /// Capacity or tasks became free since the last call.
  bool TakeChanged();

  /// @returns When Tick() has something to do next.
  TimePoint NextDue() const;

  void OnEnd(std::function<void(const RunEvent&)> aListener) { listener_ = std::move(aListener); }

  /// Called with the step and the backend server whose ticket was refused.
  void OnInvalidTicket(std::function<void(const std::string&, const std::string&)> aListener)
  {
    onInvalidTicket_ = std::move(aListener);
  }

  /// Called with the id of each recorded backend server whose life has ended.
  void OnIncarnationEnded(std::function<void(const std::string&)> aListener)
  {
    onIncarnationEnded_ = std::move(aListener);
  }

private:
  void EndReplacedIncarnations();
  void SendPoll(BackendHandle aBackend);
  void OnStarted(BackendHandle aBackend, const RunId& aRun, const CommandResult& aResult);
  void OnStopped(BackendHandle aBackend, const RunId& aRun, const CommandResult& aResult);
  void OnPollResult(BackendHandle aBackend, TimePoint aSent, const PollResult& aResult);
  void OnPollFailed(BackendHandle aBackend, const PollResult& aResult);
  void ApplyRunning(BackendHandle aBackend, TimePoint aSent, const PollResult& aResult);
  void Adopt(BackendHandle aBackend, const RunningTask& aRunning, TimePoint aSent);
  void Confirm(BackendRun& aRun, const RunningTask& aRunning);
  void ApplyEnd(BackendHandle aBackend, const EndedTask& aEnd);
  void UpdateFailureStreak(Backend& aBackend, const BackendRun* aRun, const EndedTask& aEnd);
  void RemoveMissing(BackendHandle aBackend,
                     TimePoint aSent,
                     const PollResult& aResult,
                     const std::vector<RunId>& aListed);
  void DropRun(BackendHandle aBackend, const RunId& aRun, const std::string& aCheckpoint);
  void ReadClock(Backend& aBackend, const CommandResult& aResult);
  bool ReplaceIfRestarted(BackendHandle aBackend, const CommandResult& aResult);
  bool NeedsPoll(const Backend& aBackend) const;

  JobTable& jobs_;
  BackendTable& backends_;
  BackendCommandsI& commands_;
  const ClockI& clock_;
  const RunLimits limits_;
  const int64_t fencingToken_;
  int64_t nextRun_;
  const TimePoint ownedSince_;
  bool fenced_ = false;
  bool changed_ = true;
  std::function<void(const RunEvent&)> listener_;
  std::function<void(const std::string&)> onIncarnationEnded_;
  std::function<void(const std::string&, const std::string&)> onInvalidTicket_;
  std::map<std::string, int64_t>
    endedIncarnations_; ///< Lives that ended, by id: when the latest was born.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
