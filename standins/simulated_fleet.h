#pragma once

#include "checkpoint_ledger.h"
#include "event_queue.h"
#include "memory_record_store.h"
#include "sardinespoke/backend_commands.h"
#include "sardinespoke/fleet_format.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace sardinespoke {

/// Violations of invariants that the simulated fleet has detected.
struct FleetViolations
{
  /// Concurrent runs of one task, or starts of one that is not continuous after its end was
  /// acknowledged.
  size_t duplicateRuns_ = 0;
  size_t overCapacity_ = 0; ///< Starts beyond the present capacity of a backend server.
  size_t tooManyDown_ = 0;  ///< Hosts that a roll-out takes down beyond its limit.
  /// Starts with a checkpoint of another task, or with another one than the rest of their gang.
  size_t wrongCheckpoints_ = 0;
  std::string first_;

  bool Any() const { return duplicateRuns_ + overCapacity_ + tooManyDown_ + wrongCheckpoints_ > 0; }
};

/// Simulates backend servers and host control on a manual clock, with leases, fencing tokens, end
/// reports and fault injection.
class SimulatedFleet
{
  struct Server;

public:
  /// Injected faults of a backend server.
  struct Behaviour
  {
    bool unresponsive_ = false; ///< Neither receives nor answers commands.
    bool delaysStarts_ = false; ///< Executes start commands late without answering them.
    std::chrono::milliseconds startDelay_{ 1000 }; ///< Delay of such a start.
    /// Polls with a lease that it executes late without answering them, from the next one on.
    size_t pollsToDelay_ = 0;
    std::chrono::milliseconds pollDelay_{ 1000 }; ///< Delay of such a poll.
    bool losesStops_ = false; ///< Stop commands have no effect and get no answer.
    bool losesPolls_ = false; ///< Polls have no effect and get no answer.
    /// Additional time until the answer to a poll that waited for an end arrives.
    std::chrono::milliseconds waitedPollDelay_{ 0 };
    /// All responses name the incarnation, not only lists of runs and registry entries.
    bool alwaysNamesIncarnation_ = false;
    bool losesAnswers_ = false; ///< Executes starts, but answers neither them nor polls.
    bool failsAll_ = false;     ///< Every task fails.
    bool hangs_ = false;        ///< Tasks make no progress.
    double slowdown_ = 1.0;
  };

  /// Size, duration and latency of a task.
  struct TaskShape
  {
    Resources resources_;
    std::chrono::milliseconds duration_{ 1000 };
    bool continuous_ = false;
    /// How a continuous task ends by itself after its duration; empty: it does not.
    std::optional<RunOutcome> ownEnd_;
    bool fails_ = false;
    bool isBestEffort_ = false;
    bool checkpointing_ = false;
    bool gang_ = false; ///< The end of one run of the step ends all with the same number.
    /// Time from its start to the crash of its backend server; 0: it does not crash it.
    std::chrono::milliseconds crashesAfter_{ 0 };
    int64_t tailLatencyMs_ = 0;          ///< Tail latency of a task with a latency target.
    int64_t disturbedTailLatencyMs_ = 0; ///< The same beside a best-effort task at full speed.
  };
  using ShapeOf = std::function<TaskShape(const std::string&)>;

  SimulatedFleet(ManualClock& aClock,
                 EventQueue& aEvents,
                 MemoryRecordStore& aStore,
                 const FleetFormatI& aFormat,
                 ShapeOf aShapes);

  /// Adds hosts to a pool; each starts a backend server and publishes its registry entry.
  void AddHosts(const std::string& aPool, size_t aCount, Resources aCapacity);

  /// @returns The faults of the nth backend server of a pool, which may be modified.
  Behaviour& BehaviourOf(const std::string& aPool, size_t aIndex);

  /// @returns The id of the nth host of a pool.
  std::string HostOf(const std::string& aPool, size_t aIndex) const;

  /// Ends a backend server immediately; its registry entry expires after three heartbeats.
  void Crash(const std::string& aPool, size_t aIndex);
  /// Ends a backend server immediately, if the host has one; the host starts another one after some
  /// seconds.
  void CrashForSeconds(const std::string& aPool, size_t aIndex);
  /// Restarts a backend server under its id: all it knew and ran is lost and its clock starts anew.
  /// @param aPublishes Whether it reaches the registry; if not, its earlier entry expires.
  void RestartInPlace(const std::string& aPool, size_t aIndex, bool aPublishes);

  /// Writes the registry entry of a backend server, as its next heartbeat does.
  void PublishEntry(const std::string& aPool, size_t aIndex);

  /// Removes the registry entry of a backend server that runs on but does not reach the store.
  void RemoveEntry(const std::string& aPool, size_t aIndex);

  /// Changes the capacity of a backend server, which ends none of its runs. Host control's list and
  /// the next backend server of the host keep the host's capacity.
  /// @param aPublishes Whether it reaches the registry; if not, PublishEntry() shows it.
  void SetCapacity(const std::string& aPool,
                   size_t aIndex,
                   Resources aCapacity,
                   bool aPublishes = true);

  /// Changes the state of a host in host control's list only.
  void SetHostState(const std::string& aPool, size_t aIndex, HostState aState);

  /// Removes a host permanently, even while it is down for maintenance.
  void RemoveHost(const std::string& aPool, size_t aIndex);

  /// Fault of one command to host control.
  enum class HostCommandFault
  {
    None,
    Lost,         ///< Has no effect and no response.
    ResponseLost, ///< Takes effect; the response is lost.
    Refused,      ///< Has no effect: host control is over its rate.
    Count
  };

  /// Injects faults into the next commands to host control, in order.
  void FailHostCommands(std::deque<HostCommandFault> aFaults)
  {
    hostCommandFaults_ = std::move(aFaults);
  }

  void SetDraining(const std::string& aPool, size_t aIndex);

  /// Advances tasks and leases to the present time.
  void Step();

  /// The connection of one entry host to the fleet.
  class Client final : public BackendCommandsI
  {
  public:
    explicit Client(SimulatedFleet& aFleet)
      : fleet_(aFleet)
    {
    }

    void Start(const StartCommand& aOrder, OnResult aDone) override;
    void Stop(const StopCommand& aOrder, OnResult aDone) override;
    void Throttle(const ThrottleCommand& aOrder, OnResult aDone) override;
    void Poll(const PollCommand& aOrder, OnPollResult aDone) override;
    void ChangeHost(const HostCommand& aOrder, OnResult aDone) override;
    void ListHosts(OnHosts aDone) override;
    void Advise(const AdviceQuery& aQuery, OnAdvice aDone) override;

    bool disconnected_ = false; ///< No command of this entry host reaches the fleet.
    /// Hosts whose backend servers no command of this entry host reaches.
    std::set<std::string> unreachableHosts_;
    bool losesHostCommands_ = false; ///< Commands to host control have no effect and no response.
    size_t hostCommands_ = 0;        ///< Commands to host control.

  private:
    /// @returns Whether this entry host is cut off from a backend server.
    bool IsCut(const BackendAddress& aTo) const;
    /// @returns The backend server that a command reaches, or nullptr.
    Server* Reach(const BackendAddress& aTo) const;

    SimulatedFleet& fleet_;
  };

  /// @returns Number of hosts outside a pool, including moving and unavailable ones.
  size_t CountHostsOutside(const std::string& aPool) const;

  const FleetViolations& Violations() const { return violations_; }
  size_t Starts() const { return starts_; }
  size_t Polls() const { return looks_; }
  /// @returns Delayed polls that have arrived.
  size_t LatePolls() const { return latePolls_; }
  size_t Maintained() const { return maintained_.size(); }
  size_t RunsOf(const std::string& aTask) const;
  size_t StartsOf(const std::string& aTask) const;

  /// @returns Number of ends that backend servers still list, as nobody has acknowledged them.
  size_t UnacknowledgedEnds() const;

  /// @returns Number of runs on the nth backend server of a pool.
  size_t RunsOn(const std::string& aPool, size_t aIndex) const;

  /// @returns CPU limit of a task in percent; 0 if it does not run.
  uint32_t ThrottleOf(const std::string& aTask) const;

  /// Whether best-effort tasks raise the latency of other tasks on their host.
  bool bestEffortDisturbs_ = true;

private:
  friend class Client;

  /// Time from a command to its effect and its response.
  static constexpr std::chrono::milliseconds kLatency{ 2 };

  struct Run
  {
    std::string task_;
    int64_t run_ = 0;
    TaskShape shape_;
    TimePoint begin_{};
    TimePoint progressedAt_{}; ///< Time up to which progress_ is computed.
    double progress_ = 0.0;
    std::string checkpoint_;
    double savedProgress_ = 0.0; ///< Progress at the checkpoint.
    uint32_t throttle_ = 100;
    bool stopping_ = false;
    TimePoint stopAt_{};
  };
  struct PendingPoll
  {
    int64_t seen_ = 0;
    TimePoint until_{};
    BackendCommandsI::OnPollResult done_;
  };
  struct Server
  {
    BackendEntry entry_;
    Behaviour behaviour_;
    TimePoint startTimeMs_{};
    bool alive_ = true;
    int64_t fencingToken_ = 0;
    TimePoint leaseEnd_{};
    int64_t nextEnd_ = 1;
    std::vector<Run> runs_;
    std::vector<EndedTask> ended_;
    std::map<std::string, int64_t> stopped_; ///< Highest run that was stopped or ended, by task.
    std::vector<PendingPoll> pendingPolls_;
  };

  Server* FindReachable(const BackendAddress& aTo);
  std::string Boot(const std::string& aHost);
  void Publish(const Server& aServer);
  CommandResult MakeResult(const Server& aServer, CommandOutcome aOutcome) const;
  CommandResult StartOn(Server& aServer, const StartCommand& aOrder);
  PollResult MakePollResult(const Server& aServer) const;
  void ExtendLease(Server& aServer, int64_t aDeadline);
  void EndRun(Server& aServer, size_t aRun, RunOutcome aKind);
  void EndGang(const Run& aRun, RunOutcome aKind);
  void SaveCheckpoint(Run& aRun);
  void AdvanceRuns(Server& aServer);
  void AcknowledgeEnds(Server& aServer, int64_t aAcknowledgedUpTo);
  /// Executes a poll.
  /// @returns False if the server has seen a higher fencing token.
  bool AcceptPoll(Server& aServer, const PollCommand& aOrder);
  CommandResult ApplyHostCommand(const HostCommand& aOrder);
  void RecordViolation(size_t& aCounter, const std::string& aWhat);
  void ScheduleEntryRemoval(const std::string& aId);
  void KillRuns(Server& aServer);
  /// Ends the backend server if one of its runs crashes it now.
  bool CrashIfDue(Server& aServer);
  /// @param aPollDelay When the polls that wait there fail.
  void EndServer(Server& aServer, std::chrono::milliseconds aPollDelay);
  void CrashForSeconds(Server& aServer);
  void FailPendingPolls(Server& aServer, std::chrono::milliseconds aDelay);

  ManualClock& clock_;
  EventQueue& events_;
  MemoryRecordStore& store_;
  const FleetFormatI& format_;
  ShapeOf shapes_;
  std::map<std::string, Server> servers_;
  std::map<std::string, HostEntry> hosts_;
  std::map<std::string, std::vector<std::string>> pools_; ///< Hosts in the order of AddHosts().
  std::map<std::string, int64_t> hostFences_;
  std::deque<HostCommandFault> hostCommandFaults_;
  std::set<std::pair<int64_t, std::string>> maintained_;
  std::map<int64_t, size_t> down_;
  std::set<std::string> acknowledgedDone_;
  CheckpointLedger checkpoints_;
  FleetViolations violations_;
  size_t starts_ = 0;
  std::map<std::string, size_t> startsOf_;
  size_t looks_ = 0;
  size_t latePolls_ = 0;
  size_t nextId_ = 1;

public:
  uint32_t maxDown_ = 1000;    ///< Limit for FleetViolations::tooManyDown_.
  size_t maxListedEnds_ = 500; ///< Most end reports in a response; the protocol's limit.
  /// Hosts on which steps of advised queues may run; if empty, starts need no ticket.
  std::set<std::string> advisedHosts_;
  size_t adviceQueries_ = 0;
};

}
