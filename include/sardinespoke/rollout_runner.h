#pragma once

#include "sardinespoke/fleet_format.h"
#include "sardinespoke/host_directory.h"
#include "sardinespoke/job_journal.h"

#include <map>
#include <set>
#include <string>

namespace sardinespoke {

/// Expected durations of host control's operations, from the settings.
struct HostOperationTimes
{
  std::chrono::milliseconds moveTime_{ 1500 }; ///< Until the new backend server runs.
  std::chrono::milliseconds maintenanceTime_{ 2000 };
};

/// Sends hosts to maintenance within the limits of roll-outs and of availability budgets.
///
/// A host of a roll-out is drained: it gets no new work. Its maintenance begins once it runs only
/// continuous tasks whose availability budget allows the disruption.
class RolloutRunner
{
public:
  RolloutRunner(JobTable& aJobs,
                BackendTable& aBackends,
                RunTracker& aRuns,
                JobJournal& aJournal,
                BackendCommandsI& aCommands,
                HostDirectory& aDirectory,
                const FleetFormatI& aFormat,
                const ClockI& aClock,
                Leadership& aLeadership,
                HostOperationTimes aSettings);

  /// Restores the progress of a roll-out that an earlier leader stored.
  /// @returns False if the text is not a valid record.
  bool RestoreRecord(const std::string& aText);

  /// @returns Key prefix of the progress records.
  static std::string RecordPrefix();

  /// Sends no commands before that time, since commands of an earlier leader may still be in
  /// flight.
  void NoCommandsBefore(TimePoint aTime) { noCommandsBefore_ = aTime; }

  /// Accepts new roll-outs and advances those in progress. Call it periodically.
  /// @param aRequests Requested roll-outs by number.
  void Tick(const std::map<int64_t, RolloutRequest>& aRequests);

  /// @returns True if a roll-out is draining or maintaining the host.
  bool IsBusy(const std::string& aHost) const;

  /// @returns Refresh period of the host list that the current roll-outs need.
  std::chrono::milliseconds ListPeriod() const;

private:
  enum class Stage
  {
    Planned,
    Draining,  ///< Gets no new work.
    Commanded, ///< Maintenance was requested; the outcome may be unknown.
    Down,      ///< Host control has taken it down.
    Maintained,
    Count
  };
  struct HostProgress
  {
    Stage stage_ = Stage::Planned;
    TimePoint since_{};
    std::string oldBackend_;     ///< Backend server before the maintenance.
    int64_t oldStartTimeMs_ = 0; ///< Start time of that backend server.
    /// A command of this or an earlier leader may have taken effect; counts as down.
    bool mayBeCommanded_ = false;
    bool returnShownOnlyByList_ = false; ///< No earlier backend server is known: only the host list
                                         ///< shows that the host is back.
    uint64_t storedByWrite_ = 0;         ///< Journal write that records it for later leaders.
  };
  struct Rollout
  {
    RolloutRequest request_;
    TimePoint firstSeenAt_{};
    std::map<std::string, HostProgress> hosts_;
    bool inherited_ = false; ///< An earlier leader may have sent commands that were not recorded.
    std::set<std::string> maintained_; ///< Hosts whose maintenance is complete, as stored.
    std::set<std::string> selected_;   ///< Hosts selected for maintenance, as stored.
    bool reportedRunning_ = false;
    bool reportedDone_ = false;
  };

  void AdvanceRollout(Rollout& aRollout);
  void CheckReturned(Rollout& aRollout, const std::string& aHost, HostProgress& aProgress);
  uint64_t StoreRecord(const Rollout& aRollout);
  /// Whether another roll-out has sent this host to maintenance or was about to.
  bool IsSelectedByAnother(const Rollout& aRollout, const std::string& aHost) const;
  void ResolveUnknownCommands(Rollout& aRollout);
  /// Takes back a command that had no effect; it is sent again after a delay.
  void ReturnToDraining(HostProgress& aProgress);
  void StartDraining(Rollout& aRollout, uint32_t aDown, uint32_t aDraining);
  void SendMaintenanceCommand(Rollout& aRollout, const std::string& aHost, HostProgress& aProgress);
  void OnMaintenanceResult(int64_t aRollout,
                           const std::string& aHost,
                           const CommandResult& aResult);
  /// Moves tasks that last off the backend servers that leave by themselves.
  void EvacuateLeaving();
  /// @returns True if another backend server of the pool has room for a run.
  bool HasRoomElsewhere(BackendHandle aBackend, const BackendRun& aRun) const;
  /// @returns True if a stop keeps to the availability budget of a continuous task.
  bool MayStopContinuous(const BackendRun& aRun) const;
  void DrainBackend(BackendHandle aBackend, TimePoint aSince);
  bool MayStillRunTasks(const std::string& aHost) const;
  bool MayInterrupt(const Backend& aBackend) const;
  uint32_t UnavailableTasks(const TaskRef& aTask) const;
  uint32_t TasksOfStep(const Backend& aBackend, const TaskRef& aTask) const;

  JobTable& jobs_;
  BackendTable& backends_;
  RunTracker& runs_;
  JobJournal& journal_;
  BackendCommandsI& commands_;
  HostDirectory& directory_;
  const FleetFormatI& format_;
  const ClockI& clock_;
  Leadership& leadership_;
  const HostOperationTimes settings_;
  std::map<int64_t, Rollout> rollouts_;
  const TimePoint leaderSince_;
  TimePoint noCommandsBefore_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
