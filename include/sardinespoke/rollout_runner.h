#pragma once

#include "sardinespoke/fleet_format.h"
#include "sardinespoke/host_directory.h"
#include "sardinespoke/job_journal.h"

#include <map>
#include <set>
#include <string>

namespace sardinespoke {

/// How long host control takes; from the platform's settings.
struct HostTimes
{
  std::chrono::milliseconds moveTime_{ 1500 }; ///< From a move to a new backend server.
  std::chrono::milliseconds maintenanceTime_{ 2000 };
};

/// Takes hosts to maintenance within the bounds of roll-outs and of availability budgets.
///
/// A host in a roll-out gets no new work; when nothing runs there but lasting tasks whose budget
/// allows it, it is sent to maintenance.
class RolloutRunner
{
public:
  RolloutRunner(JobTable& aJobs,
                BackendTable& aBackends,
                RunTracker& aRuns,
                JobJournal& aJournal,
                BackendCommandsI& aOrders,
                HostDirectory& aDirectory,
                const FleetFormatI& aFormat,
                const ClockI& aClock,
                Leadership& aLeadership,
                HostTimes aSettings);

  /// Takes over the record of a roll-out that an earlier owner began.
  /// @returns False if the text is not such a record.
  bool Inherit(const std::string& aText);

  /// @returns Prefix of the records of roll-outs.
  static std::string RecordPrefix();

  /// Orders nothing before that time: an owner before this one may still have orders under way.
  void WaitUntil(TimePoint aTime) { quietUntil_ = aTime; }

  void Tick(const std::map<int64_t, RolloutRequest>& aRequests);

  /// @returns True if a roll-out is about to maintain the host or does so.
  bool IsBusy(const std::string& aHost) const;

  /// @returns How old the host list may be for the roll-outs under way.
  std::chrono::milliseconds ListPeriod() const;

private:
  enum class Stage
  {
    Planned,
    Emptying, ///< Gets no new work.
    Ordered,  ///< Maintenance was ordered; the outcome may be open.
    Down,     ///< Host control has taken it down.
    Back,     ///< Maintained.
    Count
  };
  struct HostTask
  {
    Stage stage_ = Stage::Planned;
    TimePoint since_{};
    std::string oldBackend_; ///< Its backend server before the maintenance.
    int64_t oldBorn_ = 0;
    bool inDoubt_ = false; ///< An earlier owner may have ordered it; it counts as down.
    bool byList_ = false;  ///< Taken down by an earlier owner; only the list tells its return.
    uint64_t notedBy_ = 0; ///< The write that tells later owners of it.
  };
  struct Rollout
  {
    RolloutRequest request_;
    TimePoint seenAt_{};
    std::map<std::string, HostTask> hosts_;
    bool inherited_ = false; ///< An earlier owner may have ordered hosts that are not noted.
    std::set<std::string> maintained_; ///< As the store has it.
    std::set<std::string> begun_;      ///< Chosen for maintenance, as the store has it.
    bool saidRunning_ = false;
    bool saidDone_ = false;
  };

  void Advance(Rollout& aRollout);
  void Settle(Rollout& aRollout, const std::string& aHost, HostTask& aTask);
  uint64_t Note(const Rollout& aRollout);
  void ResolveDoubts(Rollout& aRollout);
  void Choose(Rollout& aRollout, uint32_t aDown, uint32_t aEmptying);
  void Order(Rollout& aRollout, const std::string& aHost, HostTask& aTask);
  void OnOrdered(int64_t aRollout, const std::string& aHost, const CommandResult& aResult);
  void Empty(BackendHandle aBackend, TimePoint aSince);
  bool MayRunUnseen(const std::string& aHost) const;
  bool MayInterrupt(const Backend& aBackend) const;
  uint32_t Away(const TaskRef& aTask) const;
  uint32_t SameStep(const Backend& aBackend, const TaskRef& aTask) const;

  JobTable& jobs_;
  BackendTable& backends_;
  RunTracker& runs_;
  JobJournal& journal_;
  BackendCommandsI& commands_;
  HostDirectory& directory_;
  const FleetFormatI& format_;
  const ClockI& clock_;
  Leadership& leadership_;
  const HostTimes settings_;
  std::map<int64_t, Rollout> rollouts_;
  const TimePoint ownedSince_;
  TimePoint quietUntil_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
