#include "sardinespoke/rollout_runner.h"

#include "bounded_json_p.h"
#include "number_range_p.h"
#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kListPeriod{ 700 };
constexpr milliseconds kTakeoverListPeriod{ 400 };
// After this, a command of an earlier leader has been executed or is refused for its fencing token.
constexpr milliseconds kCommandSettleTime{ 1600 };
constexpr milliseconds kCommandRetryDelay{ 400 };
// Tasks may finish for this long; then tasks that can resume from a checkpoint are interrupted.
constexpr milliseconds kCheckpointingDrainDelay{ 2500 };
// Progress that a continuous task reports once it is serving.
constexpr int64_t kServingPercent = 100;

}

RolloutRunner::RolloutRunner(JobTable& aJobs,
                             BackendTable& aBackends,
                             RunTracker& aRuns,
                             JobJournal& aJournal,
                             BackendCommandsI& aCommands,
                             HostDirectory& aDirectory,
                             const FleetFormatI& aFormat,
                             const ClockI& aClock,
                             Leadership& aLeadership,
                             HostOperationTimes aSettings)
  : jobs_(aJobs)
  , backends_(aBackends)
  , runs_(aRuns)
  , journal_(aJournal)
  , commands_(aCommands)
  , directory_(aDirectory)
  , format_(aFormat)
  , clock_(aClock)
  , leadership_(aLeadership)
  , settings_(aSettings)
  , leaderSince_(aClock.Now())
{
}

uint32_t
RolloutRunner::UnavailableTasks(const TaskRef& aTask) const
{
  const Step& step = jobs_.StepOf(aTask);
  uint32_t unavailable = 0;
  for (const Task& task : step.tasks_) {
    if (task.phase_ != TaskPhase::Active) {
      ++unavailable;
      continue;
    }
    const Backend& backend = backends_.At(task.backend_);
    const bool serving =
      backend.failedPolls_ == 0 && !backend.disruptionStarted_ &&
      std::any_of(backend.runs_.begin(), backend.runs_.end(), [&](const BackendRun& aRun) {
        return aRun.task_ && aRun.id_.run_ == task.run_ && aRun.task_->job_ == aTask.job_ &&
               aRun.phase_ == RunPhase::Running && aRun.percent_ >= kServingPercent;
      });
    unavailable += serving ? 0 : 1;
  }
  return unavailable;
}

uint32_t
RolloutRunner::TasksOfStep(const Backend& aBackend, const TaskRef& aTask) const
{
  return static_cast<uint32_t>(
    std::count_if(aBackend.runs_.begin(), aBackend.runs_.end(), [&aTask](const BackendRun& aRun) {
      return aRun.task_ && aRun.task_->job_ == aTask.job_ && aRun.task_->step_ == aTask.step_;
    }));
}

bool
RolloutRunner::MayStillRunTasks(const std::string& aHost) const
{
  const auto& live = backends_.Live();
  return std::any_of(live.begin(), live.end(), [&](const BackendHandle& aHandle) {
    const Backend& backend = backends_.At(aHandle);
    const bool responds = backend.verified_ && backend.failedPolls_ == 0;
    return backend.entry_.host_ == aHost && !responds && clock_.Now() <= backend.leaseEnd_;
  });
}

bool
RolloutRunner::MayInterrupt(const Backend& aBackend) const
{
  for (const BackendRun& run : aBackend.runs_) {
    if (!run.task_ || run.phase_ != RunPhase::Running) {
      return false;
    }
    const StepSpec& spec = jobs_.SpecOf(*run.task_);
    if (!spec.continuous_) {
      return false;
    }
    // Tasks on this host count as unavailable whether they are serving or not.
    if (spec.maxUnavailable_ > 0 &&
        UnavailableTasks(*run.task_) + TasksOfStep(aBackend, *run.task_) > spec.maxUnavailable_) {
      return false;
    }
  }
  return true;
}

bool
RolloutRunner::MayStopContinuous(const BackendRun& aRun) const
{
  const uint32_t budget = jobs_.SpecOf(*aRun.task_).maxUnavailable_;
  return budget == 0 || UnavailableTasks(*aRun.task_) < budget;
}

bool
RolloutRunner::HasRoomElsewhere(BackendHandle aBackend, const BackendRun& aRun) const
{
  const std::string& service = backends_.At(aBackend).entry_.service_;
  const StepSpec& spec = jobs_.SpecOf(*aRun.task_);
  const auto& live = backends_.Live();
  return std::any_of(live.begin(), live.end(), [&](const BackendHandle& aHandle) {
    const Backend& backend = backends_.At(aHandle);
    return backend.entry_.service_ == service && runs_.IsUsable(backend) &&
           backend.MeetsConstraints(*aRun.task_, spec) && backend.Fits(spec.Need());
  });
}

void
RolloutRunner::EvacuateLeaving()
{
  for (const BackendHandle handle : backends_.Live()) {
    Backend& backend = backends_.At(handle);
    if (!backend.registered_ || !backend.entry_.draining_ || backend.failedPolls_ > 0) {
      continue;
    }
    for (BackendRun& run : backend.runs_) {
      const bool isContinuous = run.isContinuous_ && run.task_ && run.phase_ == RunPhase::Running;
      if (!isContinuous || !MayStopContinuous(run) || !HasRoomElsewhere(handle, run)) {
        continue;
      }
      Log(LogLevel::Info,
          "run.evacuated",
          { { "task", run.id_.task_ }, { "backend", backend.entry_.id_ } });
      runs_.Stop(handle, run);
    }
  }
}

void
RolloutRunner::DrainBackend(BackendHandle aBackend, TimePoint aSince)
{
  Backend& backend = backends_.At(aBackend);
  backend.cordoned_ = true;
  const bool mayFinish = clock_.Now() - aSince < kCheckpointingDrainDelay;
  for (BackendRun& run : backend.runs_) {
    if (!run.task_ || run.phase_ != RunPhase::Running) {
      continue;
    }
    const StepSpec& spec = jobs_.SpecOf(*run.task_);
    const bool keepRunning =
      spec.continuous_ ? !MayStopContinuous(run) : mayFinish || !spec.checkpointing_;
    if (!keepRunning) {
      runs_.Stop(aBackend, run);
    }
  }
}

milliseconds
RolloutRunner::ListPeriod() const
{
  const bool inherited = std::any_of(rollouts_.begin(), rollouts_.end(), [](const auto& aRollout) {
    return aRollout.second.inherited_ && !aRollout.second.reportedDone_;
  });
  return inherited ? kTakeoverListPeriod : kListPeriod;
}

bool
RolloutRunner::IsBusy(const std::string& aHost) const
{
  return std::any_of(rollouts_.begin(), rollouts_.end(), [&aHost](const auto& aRollout) {
    const auto found = aRollout.second.hosts_.find(aHost);
    return found != aRollout.second.hosts_.end() && found->second.stage_ != Stage::Planned &&
           found->second.stage_ != Stage::Maintained;
  });
}

void
RolloutRunner::Tick(const std::map<int64_t, RolloutRequest>& aRequests)
{
  for (const auto& [number, request] : aRequests) {
    Rollout& rollout = rollouts_[number];
    if (rollout.firstSeenAt_ != TimePoint{}) {
      continue;
    }
    rollout.request_ = request;
    rollout.firstSeenAt_ = clock_.Now();
    for (const std::string& host : request.hosts_) {
      rollout.hosts_[host] = HostProgress{};
      HostProgress& progress = rollout.hosts_[host];
      progress.stage_ = rollout.maintained_.count(host) > 0 ? Stage::Maintained : Stage::Planned;
      progress.mayBeCommanded_ =
        progress.stage_ == Stage::Planned && rollout.selected_.count(host) > 0;
    }
    StoreRecord(rollout);
    Log(LogLevel::Info,
        "rollout.seen",
        { { "rollout", number },
          { "hosts", request.hosts_.size() },
          { "max_down", request.maxDown_ },
          { "duration_ms", request.duration_.count() } });
  }
  if (!directory_.IsLoaded() || !leadership_.HoldsValidLease() ||
      clock_.Now() < noCommandsBefore_) {
    return;
  }
  EvacuateLeaving();
  for (auto& [number, rollout] : rollouts_) {
    if (!rollout.reportedDone_) {
      AdvanceRollout(rollout);
    }
  }
}

std::string
RolloutRunner::RecordPrefix()
{
  return std::string(JobJournal::kPrefix) + "rollout/";
}

bool
RolloutRunner::RestoreRecord(const std::string& aText)
{
  const auto record = ParseJson(aText);
  try {
    const auto number = ReadInteger(record.at("number"), kSerialRange);
    auto maintained = record.at("maintained").get<std::set<std::string>>();
    auto selected = record.value("begun", std::set<std::string>());
    if (!number) {
      return false;
    }
    Rollout& rollout = rollouts_[*number];
    rollout.inherited_ = true;
    rollout.maintained_ = std::move(maintained);
    rollout.selected_ = std::move(selected);
    return true;
  } catch (const nlohmann::json::exception&) {
    return false;
  }
}

uint64_t
RolloutRunner::StoreRecord(const Rollout& aRollout)
{
  const nlohmann::json record{ { "number", aRollout.request_.number_ },
                               { "begun", aRollout.selected_ },
                               { "maintained", aRollout.maintained_ } };
  return journal_.Write(
    RecordWrite{ RecordPrefix() + std::to_string(aRollout.request_.number_), record.dump() });
}

void
RolloutRunner::CheckReturned(Rollout& aRollout, const std::string& aHost, HostProgress& aProgress)
{
  const auto age = clock_.Now() - aProgress.since_;
  const BackendHandle handle = backends_.OnHost(aHost);
  const bool sameBackend =
    handle.IsValid() && backends_.At(handle).entry_.id_ == aProgress.oldBackend_;
  // The backend server still responds: the host had been maintained before the command.
  const bool alreadyMaintained = sameBackend && backends_.At(handle).verified_;
  // The registry may list an incarnation that started with a move just before the maintenance and
  // ended with it; only a response to a poll sent later proves that an incarnation is new.
  const bool returned = handle.IsValid() && !sameBackend &&
                        backends_.At(handle).entry_.startTimeMs_ > aProgress.oldStartTimeMs_ &&
                        backends_.At(handle).failedPolls_ == 0 &&
                        backends_.At(handle).answeredPollSentAt_ > aProgress.since_;
  // A host that failed or was removed after its maintenance began counts as maintained.
  const HostEntry* listed = directory_.Find(aHost);
  const bool ended = directory_.RequestedAt() > aProgress.since_ &&
                     (!listed || listed->state_ != HostState::Maintenance);
  // If no earlier backend server is known, only the host list shows the return.
  const bool back =
    aProgress.returnShownOnlyByList_
      ? ended
      : alreadyMaintained || returned || (ended && age > settings_.maintenanceTime_);
  if (!back) {
    return;
  }
  if (sameBackend) {
    backends_.At(handle).cordoned_ = false;
    backends_.At(handle).disruptionStarted_ = false;
  }
  aProgress.stage_ = Stage::Maintained;
  aRollout.maintained_.insert(aHost);
  StoreRecord(aRollout);
  Log(LogLevel::Info,
      "host.maintained",
      { { "host", aHost },
        { "rollout", aRollout.request_.number_ },
        { "before", alreadyMaintained } });
}

bool
RolloutRunner::IsSelectedByAnother(const Rollout& aRollout, const std::string& aHost) const
{
  return std::any_of(rollouts_.begin(), rollouts_.end(), [&](const auto& aOther) {
    return &aOther.second != &aRollout && aOther.second.selected_.count(aHost) > 0;
  });
}

void
RolloutRunner::ReturnToDraining(HostProgress& aProgress)
{
  const BackendHandle kept = backends_.Find(aProgress.oldBackend_);
  if (kept.IsValid()) {
    backends_.At(kept).disruptionStarted_ = false;
  }
  aProgress.stage_ = Stage::Draining;
  aProgress.since_ = clock_.Now() + kCommandRetryDelay;
}

void
RolloutRunner::ResolveUnknownCommands(Rollout& aRollout)
{
  for (auto& [host, progress] : aRollout.hosts_) {
    const TimePoint lastSent = std::max(leaderSince_, progress.since_);
    if (!progress.mayBeCommanded_ || directory_.RequestedAt() < lastSent + kCommandSettleTime) {
      continue;
    }
    const HostEntry* listed = directory_.Find(host);
    const bool isDown = listed && listed->state_ == HostState::Maintenance;
    // The list does not tell for which roll-out; the command, repeated later, does.
    if (isDown && IsSelectedByAnother(aRollout, host)) {
      continue;
    }
    progress.mayBeCommanded_ = false;
    progress.returnShownOnlyByList_ = isDown;
    progress.since_ = clock_.Now();
    progress.stage_ = isDown ? Stage::Down : Stage::Planned;
    if (!isDown && !progress.oldBackend_.empty()) {
      ReturnToDraining(progress);
    }
  }
}

void
RolloutRunner::AdvanceRollout(Rollout& aRollout)
{
  const TimePoint now = clock_.Now();
  ResolveUnknownCommands(aRollout);
  uint32_t down = 0;
  uint32_t draining = 0;
  uint32_t maintained = 0;
  for (auto& [host, progress] : aRollout.hosts_) {
    if (progress.stage_ == Stage::Down) {
      CheckReturned(aRollout, host, progress);
    }
    const bool isDown = progress.mayBeCommanded_ || progress.stage_ == Stage::Commanded ||
                        progress.stage_ == Stage::Down;
    down += isDown ? 1 : 0;
    draining += progress.stage_ == Stage::Draining ? 1 : 0;
    maintained += progress.stage_ == Stage::Maintained ? 1 : 0;
  }
  if (maintained == aRollout.hosts_.size()) {
    aRollout.reportedDone_ = true;
    journal_.Write(format_.RolloutStatus(aRollout.request_.number_, true));
    Log(LogLevel::Info, "rollout.done", { { "rollout", aRollout.request_.number_ } });
    return;
  }
  if (!aRollout.reportedRunning_) {
    aRollout.reportedRunning_ = true;
    journal_.Write(format_.RolloutStatus(aRollout.request_.number_, false));
  }
  for (auto& [host, progress] : aRollout.hosts_) {
    if (progress.stage_ != Stage::Draining) {
      continue;
    }
    const BackendHandle handle = backends_.OnHost(host);
    if (handle.IsValid()) {
      DrainBackend(handle, progress.since_);
      if (!MayInterrupt(backends_.At(handle))) {
        continue;
      }
    }
    const bool stored = journal_.WritesStored() >= progress.storedByWrite_;
    if (stored && !MayStillRunTasks(host) && down < aRollout.request_.maxDown_ &&
        now >= progress.since_) {
      progress.returnShownOnlyByList_ = !handle.IsValid();
      progress.oldBackend_ = handle.IsValid() ? backends_.At(handle).entry_.id_ : "";
      progress.oldStartTimeMs_ = handle.IsValid() ? backends_.At(handle).entry_.startTimeMs_ : 0;
      if (handle.IsValid()) {
        backends_.At(handle).disruptionStarted_ = true;
      }
      SendMaintenanceCommand(aRollout, host, progress);
      --draining;
      ++down;
    }
  }
  StartDraining(aRollout, down, draining);
}

void
RolloutRunner::StartDraining(Rollout& aRollout, uint32_t aDown, uint32_t aDraining)
{
  std::vector<std::pair<int64_t, std::string>> planned;
  for (const auto& [host, progress] : aRollout.hosts_) {
    if (progress.stage_ != Stage::Planned || progress.mayBeCommanded_) {
      continue;
    }
    const BackendHandle handle = backends_.OnHost(host);
    planned.emplace_back(handle.IsValid() ? backends_.At(handle).used_.cpuMilli_ : 0, host);
  }
  // One host more than may be down is drained in advance, so that it is ready when one returns.
  const uint32_t maxActive = aRollout.request_.maxDown_ + 1;
  const uint32_t free = maxActive - std::min(maxActive, aDown + aDraining);
  std::sort(planned.begin(), planned.end());
  planned.resize(std::min<size_t>(planned.size(), free));
  for (const auto& [used, host] : planned) {
    aRollout.selected_.insert(host);
  }
  const uint64_t writeNumber = planned.empty() ? 0 : StoreRecord(aRollout);
  for (const auto& [used, host] : planned) {
    HostProgress& progress = aRollout.hosts_[host];
    progress.stage_ = Stage::Draining;
    progress.since_ = clock_.Now();
    progress.storedByWrite_ = writeNumber;
  }
}

void
RolloutRunner::SendMaintenanceCommand(Rollout& aRollout,
                                      const std::string& aHost,
                                      HostProgress& aProgress)
{
  aProgress.stage_ = Stage::Commanded;
  aProgress.since_ = clock_.Now();
  HostCommand command;
  command.host_ = aHost;
  command.rollout_ = aRollout.request_.number_;
  command.fencingToken_ = leadership_.FencingToken();
  const int64_t number = aRollout.request_.number_;
  const std::weak_ptr<bool> alive = alive_;
  commands_.ChangeHost(command, [this, alive, number, aHost](const CommandResult& aResult) {
    if (alive.lock()) {
      OnMaintenanceResult(number, aHost, aResult);
    }
  });
}

void
RolloutRunner::OnMaintenanceResult(int64_t aRollout,
                                   const std::string& aHost,
                                   const CommandResult& aResult)
{
  Rollout& rollout = rollouts_[aRollout];
  HostProgress& progress = rollout.hosts_[aHost];
  Log(LogLevel::Info,
      "host.maintenance",
      { { "host", aHost },
        { "rollout", aRollout },
        { "outcome", static_cast<int>(aResult.outcome_) } });
  const TimePoint now = clock_.Now();
  switch (aResult.outcome_) {
    case CommandOutcome::Done: {
      progress.mayBeCommanded_ = false;
      progress.stage_ = Stage::Down;
      progress.since_ = now;
      const BackendHandle old = backends_.Find(progress.oldBackend_);
      if (old.IsValid() && rollout.inherited_) {
        // Done by this command or one of an earlier leader: a poll shows whether it still runs.
        backends_.At(old).verified_ = false;
        backends_.At(old).nextPollAt_ = now;
      } else if (old.IsValid()) {
        runs_.EndIncarnation(old, "its host is under maintenance", IncarnationEnd::Planned);
      }
      return;
    }
    case CommandOutcome::Fenced:
      leadership_.StepDown("host control has seen a higher fencing token");
      return;
    case CommandOutcome::TargetNotFound: // The host does not exist.
      progress.stage_ = Stage::Maintained;
      return;
    case CommandOutcome::Unknown:
      // Counts as down until the outcome is known; the command is idempotent. Without a certain
      // lease, a successor may count it as one that will have no effect any more; once the lease is
      // certain again, the host list shows the outcome.
      progress.mayBeCommanded_ = true;
      if (leadership_.HoldsValidLease()) {
        SendMaintenanceCommand(rollout, aHost, progress);
      }
      return;
    default:
      if (progress.mayBeCommanded_) {
        return; // An earlier command may have taken effect; the host list will show it.
      }
      ReturnToDraining(progress);
      return;
  }
}

}
