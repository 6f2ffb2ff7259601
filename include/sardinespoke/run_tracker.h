#pragma once

#include "sardinespoke/backend_table.h"
#include "sardinespoke/crash_rate.h"
#include "sardinespoke/handover.h"
#include "sardinespoke/lease_state.h"

#include <functional>
#include <set>
#include <utility>

namespace sardinespoke {

/// Time limits of runs, from the platform's settings.
struct RunLimits
{
  /// Longest lease that a backend server grants to its runs.
  std::chrono::milliseconds holdMax_{ 6000 };
  std::chrono::milliseconds leaseTime_{ 4500 }; ///< Lease requested with each poll.
};

/// The end of a run, for logs, metrics and the duration model.
struct RunEvent
{
  TaskRef task_;
  RunId run_;
  BackendHandle backend_;
  RunOutcome kind_ = RunOutcome::Done;
  std::chrono::milliseconds lasted_{ 0 };
};

/// Decisions on tasks that crash their backend servers since this leader took over.
struct CrashCounts
{
  uint64_t attributed_ = 0; ///< Tasks in question when their backend server crashed.
  uint64_t isolated_ = 0;   ///< Starts of suspects.
  uint64_t cleared_ = 0;    ///< Suspects that have worked for long enough.
  uint64_t givenUp_ = 0;    ///< Jobs that failed.
};

enum class IncarnationEnd
{
  Planned,   ///< Its host is moved or maintained.
  Unplanned, ///< It has crashed, or its host has failed.
  Uncertain, ///< It does not respond and the lease of its runs is over; it may return.
  Replaced,  ///< Another backend server answers for it, and refuses the starts in flight.
  HostDown,  ///< It has crashed, and host control lists no other backend server on its host.
  Count
};

/// Starts and stops runs on backend servers and polls which runs exist and which have ended. At
/// most one run of a task may exist: a start without a response occupies its backend server and its
/// task until it is certain that it will not be carried out.
class RunTracker
{
public:
  RunTracker(JobTable& aJobs,
             BackendTable& aBackends,
             BackendCommandsI& aCommands,
             const ClockI& aClock,
             RunLimits aLimits,
             int64_t aFence);

  /// Applies the current contents of the registry.
  /// @param aEntries All entries that could be decoded.
  void ApplyRegistry(const std::vector<BackendEntry>& aEntries);

  /// Adds a backend server that an earlier leader used; the registry may no longer list it.
  BackendHandle AddRecorded(const BackendEntry& aEntry);

  /// Tells when the runs on a recorded backend server have lapsed if it does not respond.
  /// @param aRemaining As the leader that resigned has counted it.
  void InheritLease(BackendHandle aBackend, std::chrono::milliseconds aRemaining);

  /// Remembers a start of an earlier leader. Call after AddRecorded().
  void InheritStart(const OpenStart& aStart);

  /// @returns The leases of the recorded backend servers and the starts that may still be carried
  /// out.
  Handover MakeHandover() const;

  /// Sends a start command. The task must be waiting and the backend server usable.
  /// @param aTicket Ticket of the advice service; empty if the step is not advised.
  void Start(const TaskRef& aTask,
             BackendHandle aBackend,
             int64_t aRun,
             const std::string& aTicket = "");

  /// Sends a stop command, which is repeated until the run is gone.
  void Stop(BackendHandle aBackend, BackendRun& aRun);

  /// Stops all runs of a job.
  void StopJob(uint32_t aJob);

  /// Marks an incarnation of a backend server as ended, with all its runs.
  void EndIncarnation(BackendHandle aBackend,
                      const char* aReason,
                      IncarnationEnd aEnd = IncarnationEnd::Unplanned);

  /// Settles a run in question of a waiting task that an earlier leader has started.
  /// @returns False if the task is given up.
  bool SettleTrial(const TaskRef& aTask);

  const CrashCounts& Crashes() const { return crashCounts_; }

  /// @returns Polls sent since the last call.
  uint64_t TakePolls() { return std::exchange(polls_, 0); }

  /// @returns Those of them that repeated one without a response, since the last call.
  uint64_t TakeRepeatedPolls() { return std::exchange(repeatedPolls_, 0); }

  /// Call before Tick(). Without a certain lease, the leader goes on only while the backend servers
  /// show that no other host has taken over; see WitnessQuorum.
  void SetLeaseState(LeaseState aState);

  /// Call before the first backend server is added if there has been another leader.
  void SetHasPredecessor() { hasPredecessor_ = true; }

  /// Call before Tick().
  /// @param aToken Fencing tokens up to this one are lower than those of all later leaders.
  void SetHighestToken(int64_t aToken) { highestToken_ = aToken; }

  /// @returns True if runs may be started and their leases renewed.
  bool MayExtendRuns() const { return mayExtendRuns_; }

  /// Sends polls and repeated stops that are due; drops runs whose lease has expired.
  void Tick();

  /// Marks end reports up to the given numbers as stored, by index of the backend server.
  void EndsStored(const std::map<uint32_t, int64_t>& aUpTo);

  /// Last applied but not yet stored end report by index of the backend server. Has to be stored
  /// together with the progress that the end reports caused.
  std::map<uint32_t, int64_t> EndsApplied() const;

  /// @returns Whether EndsApplied() has any.
  bool HasUnstoredEnds() const;

  bool IsUsable(const Backend& aBackend) const;

  /// Ends the incarnations that no longer run according to host control's list.
  /// @param aAskedAt When the list was requested; it does not contain later incarnations.
  void ApplyHosts(const std::map<std::string, HostEntry>& aHosts, TimePoint aAskedAt);

  /// @returns Services with a backend server that may run inherited tasks and has not responded
  /// yet.
  std::set<std::string> UnreconciledServices() const;

  /// Forgets the services on which no run of an open job can be, so that a successor does not wait
  /// for their backend servers. The present service of a job is kept.
  void ForgetUnusedServices();

  /// @returns Capacity of the backend servers that may run inherited tasks and have not responded
  /// yet.
  Resources UnreconciledCapacity() const;

  /// @returns True if a backend server with work does not respond, so that a fresh list of hosts is
  /// needed.
  bool HasUnresponsive() const;

  /// @returns True once a backend server has seen a higher fencing token.
  bool IsFenced() const { return fenced_; }

  int64_t NextRun() { return nextRun_++; }

  /// True if capacity or tasks became free since the last call.
  bool TakeChanged();

  /// @returns When Tick() has something to do next.
  TimePoint NextDue() const;

  void OnEnd(std::function<void(const RunEvent&)> aListener) { listener_ = std::move(aListener); }

  /// Called with the step and the backend server that refused its ticket.
  void OnInvalidTicket(std::function<void(const std::string&, const std::string&)> aListener)
  {
    onInvalidTicket_ = std::move(aListener);
  }

  /// Called with the id of each backend server that has a record in the store and has ended.
  void OnIncarnationEnded(std::function<void(const std::string&)> aListener)
  {
    onIncarnationEnded_ = std::move(aListener);
  }

private:
  /// A start without a response. A later incarnation under the same id may still carry it out: its
  /// clock begins anew, so the deadline of the start does not prevent it.
  struct LateStart
  {
    BackendRun run_;
    /// Last incarnation that has acknowledged its stop, or that a copy of it has reached.
    BackendHandle stoppedOn_;
    bool hasCopies_ = false; ///< It was sent again; any of the copies may still be in flight.
    /// The lost incarnation whose task stays active, so that it does not start elsewhere yet.
    BackendHandle heldFor_;
  };

  enum class PollKind
  {
    Regular, ///< May wait for a run to end.
    Contact, ///< Only shows whether another leader has polled the backend server.
    Repeat,  ///< Sent beside one without a response; asks for the same lease and does not wait.
    Count
  };

  /// A run that was lost while another leader might have learned its end.
  struct LostRun
  {
    TaskRef task_;
    BackendHandle backend_;
    int64_t run_ = 0;
    std::string checkpoint_;
  };

  /// @returns Age from which the response of a witness no longer counts.
  std::chrono::milliseconds WitnessAge() const;
  /// @returns Backend servers whose latest response shows that no other leader has polled them.
  size_t FreshWitnesses() const;
  void UpdateMayExtend();
  /// Decides whether the runs of silent backend servers may be given up.
  void CheckTakeover();
  /// @returns True if a poll is due only to learn whether another leader has polled it.
  bool LacksContact(const Backend& aBackend) const;
  void ReleaseDeferredLosses();
  void ReleaseTask(const TaskRef& aTask,
                   BackendHandle aBackend,
                   int64_t aRun,
                   const std::string& aCheckpoint);

  /// Adds an incarnation with a fencing token of its own.
  BackendHandle AddIncarnation(const BackendEntry& aEntry);
  /// Gives an incarnation its own fencing token, unless a later leader could have that one.
  void RaiseToken(Backend& aBackend) const;
  void EndReplacedIncarnations();
  void EndReplacedBy(BackendHandle aBackend);
  void CheckRestart(BackendHandle aBackend, const BackendEntry& aEntry);
  void SendPoll(BackendHandle aBackend, PollKind aKind = PollKind::Regular);
  void SendStart(BackendHandle aBackend, const StartCommand& aCommand);
  void OnStarted(BackendHandle aBackend,
                 const StartCommand& aCommand,
                 TimePoint aSent,
                 const CommandResult& aResult);
  void OnStartUnanswered(BackendHandle aBackend, BackendRun* aRun, const StartCommand& aCommand);
  /// @returns True if a start without a response can be sent again: it is carried out once at most.
  bool MayRepeatStart(const Backend& aBackend, const BackendRun& aRun) const;
  /// Stops a run whose start may have been carried out or, if its step has an availability budget,
  /// waits for a poll.
  void AwaitOutcome(BackendHandle aBackend, BackendRun& aRun);
  void OnStartRefused(BackendHandle aBackend, const RunId& aRun, const CommandResult& aResult);
  void OnStopped(BackendHandle aBackend,
                 const RunId& aRun,
                 int64_t aToken,
                 TimePoint aSent,
                 const CommandResult& aResult);

  /// Notes whether a backend server has refused a command for the token of another leader.
  /// @param aToken Fencing token of the command.
  void NoteFenced(const Backend& aBackend, int64_t aToken, const CommandResult& aResult);

  /// Polls a backend server if a response seems to be of its next incarnation.
  /// @returns True if it does; its clock must not be read then.
  bool SuspectRestart(BackendHandle aBackend, TimePoint aSent, const CommandResult& aResult);
  /// Ends an incarnation and carries over the runs whose start the next one may have received.
  /// @returns The next incarnation.
  BackendHandle BeginNext(BackendHandle aBackend, const BackendEntry& aEntry, const char* aReason);
  void CarryOver(BackendRun aRun, BackendHandle aFrom, BackendHandle aTo);
  /// Stops late starts that this incarnation would still carry out.
  /// @param aToken Fencing token of the poll that it has answered.
  void StopLateStarts(BackendHandle aBackend, int64_t aToken, const PollResult& aResult);
  LateStart* FindLateStart(const std::string& aBackend, const RunId& aRun);
  const LateStart* FindLateStart(const std::string& aBackend, const RunId& aRun) const;
  /// @returns The record of a start that may still be carried out.
  LateStart& RememberStart(const std::string& aBackend, const BackendRun& aRun);
  /// Notes that the start, or a copy of it, has reached a backend server.
  void SettleLateStart(BackendHandle aBackend, const RunId& aRun);
  void ForgetOldLateStarts();
  void OnPollResult(BackendHandle aPolled,
                    TimePoint aSent,
                    int64_t aToken,
                    const PollResult& aResult);
  void OnPollFailed(BackendHandle aBackend,
                    TimePoint aSent,
                    int64_t aToken,
                    const PollResult& aResult);
  void NoteCutOffEnds(Backend& aBackend, const PollResult& aResult);
  void ApplyRunning(BackendHandle aBackend,
                    TimePoint aSent,
                    int64_t aToken,
                    const PollResult& aResult);
  void Adopt(BackendHandle aBackend, const RunningTask& aRunning, TimePoint aSent, int64_t aClock);
  /// Sets what a run has from the step of its task.
  void DescribeRun(BackendRun& aRun, const TaskRef& aTask) const;
  /// @param aClock Clock of its backend server in ms.
  void Confirm(BackendRun& aRun, const RunningTask& aRunning, int64_t aClock);
  void ObserveWork(BackendRun& aRun, int64_t aClock);
  /// Notes hosts that host control lists without their backend server, also those that run nothing.
  void NoteLostHosts(const std::map<std::string, HostEntry>& aHosts, TimePoint aAskedAt);
  /// @returns True if all other hosts of its rack with a backend server are lost as well.
  bool IsRackLost(const Backend& aBackend);
  /// @returns Backend servers of a pool that have answered.
  size_t PoolSize(const std::string& aPool) const;
  /// @returns Tasks, of a group its first, that may be why the backend server has ended.
  /// @param aMayHaveStarted Whether runs without a confirmed start count.
  std::vector<TaskRef> InQuestion(const Backend& aBackend, bool aMayHaveStarted) const;
  /// @returns Time from the start of a task to the first sign of the crash of its backend server.
  std::chrono::milliseconds TimeInQuestion(const Backend& aBackend, const TaskRef& aTask) const;
  /// @returns True if an earlier leader started a run of the task there; when, is not known.
  bool HasAdoptedRun(const Backend& aBackend, const TaskRef& aTask) const;
  /// Counts the loss of a backend server with its runs for the tasks in question.
  /// @returns Jobs that have failed by it.
  std::vector<uint32_t> AttributeLoss(const Backend& aBackend,
                                      const char* aReason,
                                      IncarnationEnd aEnd);
  /// @param aMayReturn Whether a later incarnation may carry out the starts in flight.
  void DropAllRuns(BackendHandle aBackend, bool aMayReturn);
  /// @returns True if a start of the run may reach the next incarnation, or has reached it.
  bool MayReachNext(const Backend& aBackend, const BackendRun& aRun) const;
  /// Remembers the start of a lost run. Its task stays active until it is certain that the run does
  /// not begin.
  void Hold(BackendHandle aBackend, const BackendRun& aRun);
  bool HoldsTasks() const;
  std::vector<OpenStart> OpenStarts() const;
  void ReleaseHeld(LateStart& aStart, const char* aReason);
  void ReleaseOverdue();
  /// Ends the hold on the task of a run that has ended.
  void ReleaseEnded(BackendHandle aBackend, const EndedTask& aEnd);
  /// @returns True if a backend server does not come back to its host.
  static bool IsReplaced(const HostEntry& aHost, const std::string& aBackend)
  {
    return aHost.state_ == HostState::Moving || aHost.state_ == HostState::Maintenance ||
           (!aHost.backend_.empty() && aHost.backend_ != aBackend);
  }
  /// Releases the tasks held for backend servers whose host has another one.
  void ReleaseReplaced(const std::map<std::string, HostEntry>& aHosts, TimePoint aAskedAt);
  /// Frees a task whose run is lost, once its end cannot be one that another leader knows.
  void LoseTask(const TaskRef& aTask,
                BackendHandle aBackend,
                int64_t aRun,
                const std::string& aCheckpoint);
  /// Logs which starts and leases of an incarnation that ends got no response.
  void LogOpenCalls(const Backend& aBackend) const;
  void ApplyEnd(BackendHandle aBackend, const EndedTask& aEnd);
  /// Stops a second run of a task that is done by another one.
  void StopOtherRun(BackendHandle aBackend, const EndedTask& aEnd, const TaskRef& aTask);
  void UpdateFailureStreak(Backend& aBackend, const BackendRun* aRun, const EndedTask& aEnd);
  void RemoveMissing(BackendHandle aBackend,
                     TimePoint aSent,
                     int64_t aToken,
                     const PollResult& aResult,
                     const std::vector<RunId>& aListed);
  void DropRun(BackendHandle aBackend, const RunId& aRun, const std::string& aCheckpoint);
  void ReadClock(Backend& aBackend, TimePoint aSent, const CommandResult& aResult);
  /// @returns The incarnation that has answered a poll.
  BackendHandle FollowRestart(BackendHandle aBackend, const CommandResult& aResult);
  bool NeedsPoll(const Backend& aBackend, TimePoint aNow) const;
  /// @returns True if it runs tasks that the poll in flight has not asked a lease for.
  bool LacksLease(const Backend& aBackend, TimePoint aNow) const;
  /// @returns True if the response to the newest poll is late and a lease depends on it.
  bool IsAnswerOverdue(const Backend& aBackend, TimePoint aNow) const;
  /// @returns The deadline of the lease that a poll asks for, on its backend server's clock in ms;
  /// 0 if it asks for none.
  int64_t AskForLease(Backend& aBackend, PollKind aKind);
  std::chrono::milliseconds WaitOfPoll(const Backend& aBackend, PollKind aKind) const;
  void ObserveAnswer(TimePoint aSent, std::chrono::milliseconds aWait);
  /// Notes that a backend server has granted a lease.
  /// @param aDeadline Its end on the backend server's clock in ms.
  /// @param aClock That clock in ms when it responded.
  void ConfirmLease(Backend& aBackend, int64_t aDeadline, int64_t aClock);
  /// @returns Time that is left of a confirmed lease when the response to a poll is due, so that a
  /// lost one can be repeated.
  std::chrono::milliseconds LeaseReserve() const;
  /// @returns Time until the response to a poll that does not wait is overdue.
  std::chrono::milliseconds AnswerSlack(const Backend& aBackend) const;
  /// @returns True if responses get lost, also of backend servers that can be reached.
  bool AreAnswersLost() const;
  /// @returns True if all runs of a backend server have lapsed and a poll sent after that got no
  /// response. The responses to earlier ones may not have been read yet.
  bool IsLeaseOver(const Backend& aBackend) const;

  JobTable& jobs_;
  BackendTable& backends_;
  BackendCommandsI& commands_;
  const ClockI& clock_;
  const RunLimits limits_;
  const int64_t fencingToken_;
  int64_t highestToken_ = 0;
  int64_t nextRun_;
  const TimePoint leaderSince_;
  bool hasPredecessor_ = false; ///< Leases of another leader may still arrive.
  LeaseState lease_ = LeaseState::Valid;
  TimePoint leaseOverSince_{};
  size_t witnesses_ = 0; ///< When the lease was over.
  bool mayExtendRuns_ = true;
  bool hasTakenOver_ = false;
  std::vector<BackendHandle> inheritedWitnesses_; ///< Those that an earlier leader recorded.
  std::vector<LostRun> deferredLosses_;
  bool fenced_ = false;
  bool changed_ = true;
  std::function<void(const RunEvent&)> listener_;
  std::function<void(const std::string&)> onIncarnationEnded_;
  std::function<void(const std::string&, const std::string&)> onInvalidTicket_;
  CrashCounts crashCounts_;
  CrashRate crashRate_;
  uint64_t polls_ = 0;
  uint64_t repeatedPolls_ = 0;
  std::chrono::microseconds answerDelay_{ 0 }; ///< Of polls that were answered, smoothed.
  /// Share of the polls without a response though a later one got one, smoothed.
  double lostAnswers_ = 0;
  /// When hosts were lost, by rack and host.
  std::map<std::string, std::map<std::string, TimePoint>> lostHosts_;
  std::map<std::string, std::vector<LateStart>> lateStarts_; ///< By id of the backend server.
  std::map<std::string, int64_t> incarnations_; ///< Number of them that were known, by id.
  /// Start time of the latest ended incarnation by id.
  std::map<std::string, int64_t> endedIncarnations_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
