#include "sardinespoke/run_tracker.h"

#include "run_limits_p.h"
#include "sardinespoke/logging.h"
#include "sardinespoke/witness_quorum.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// A stop is repeated if its run still exists after this.
constexpr milliseconds kStopRetry{ 500 };
// Consecutive failures of different jobs after which a backend server is ejected.
constexpr uint32_t kFailuresToEject = 2;
// Run numbers for each leader: its fencing token forms the upper bits of the number.
constexpr int64_t kRunsPerFencingToken = 1 << 20;

}

RunTracker::RunTracker(JobTable& aJobs,
                       BackendTable& aBackends,
                       BackendCommandsI& aCommands,
                       const ClockI& aClock,
                       RunLimits aLimits,
                       int64_t aFence)
  : jobs_(aJobs)
  , backends_(aBackends)
  , commands_(aCommands)
  , clock_(aClock)
  , limits_(aLimits)
  , fencingToken_(aFence)
  , nextRun_(aFence * kRunsPerFencingToken + 1)
  , leaderSince_(aClock.Now())
{
}

BackendHandle
RunTracker::AddIncarnation(const BackendEntry& aEntry)
{
  const BackendHandle handle = backends_.Add(aEntry);
  Backend& backend = backends_.At(handle);
  backend.number_ = incarnations_[aEntry.id_]++;
  backend.fencingToken_ = fencingToken_;
  RaiseToken(backend);
  const TimePoint now = clock_.Now();
  if (backend.number_ > 0 || (hasPredecessor_ && now - leaderSince_ < kLateCommandLimit)) {
    // A late lease of an earlier incarnation would be the longest, as the clock began anew. It may
    // have been asked for by an earlier leader.
    backend.leaseEnd_ = now + WithClockDrift(limits_.holdMax_ + kStartDeadline);
  }
  return handle;
}

void
RunTracker::RaiseToken(Backend& aBackend) const
{
  // The id alone does not keep a command to an earlier incarnation from it.
  const int64_t token = fencingToken_ + aBackend.number_;
  if (token <= highestToken_) {
    aBackend.fencingToken_ = token;
  }
}

BackendHandle
RunTracker::AddRecorded(const BackendEntry& aEntry)
{
  const BackendHandle handle = AddIncarnation(aEntry);
  Backend& backend = backends_.At(handle);
  backend.recorded_ = true;
  backend.unreconciled_ = true;
  // Until CheckTakeover(), an earlier leader may still renew it.
  backend.leaseEnd_ =
    leaderSince_ + WitnessQuorum::kTakeoverLimit + WithClockDrift(limits_.holdMax_);
  inheritedWitnesses_.push_back(handle);
  return handle;
}

void
RunTracker::ApplyRegistry(const std::vector<BackendEntry>& aEntries)
{
  for (const BackendHandle handle : backends_.Live()) {
    backends_.At(handle).registered_ = false;
  }
  for (const BackendEntry& entry : aEntries) {
    // The registry still lists an incarnation for some time after its end.
    const auto ended = endedIncarnations_.find(entry.id_);
    if (ended != endedIncarnations_.end() && entry.startTimeMs_ <= ended->second) {
      continue;
    }
    BackendHandle handle = backends_.Find(entry.id_);
    if (handle.IsValid()) {
      const int64_t known = backends_.At(handle).entry_.startTimeMs_;
      if (known != 0 && known < entry.startTimeMs_) {
        CheckRestart(handle, entry);
        continue;
      }
      if (known > entry.startTimeMs_) {
        continue;
      }
    }
    if (!handle.IsValid()) {
      handle = AddIncarnation(entry);
      changed_ = true;
    }
    Backend& backend = backends_.At(handle);
    const bool wasDraining = backend.entry_.draining_;
    const int64_t startTimeMs = backend.entry_.startTimeMs_;
    backend.entry_ = entry;
    backend.entry_.startTimeMs_ = entry.startTimeMs_ != 0 ? entry.startTimeMs_ : startTimeMs;
    backend.registered_ = true;
    if (entry.draining_ && !wasDraining) {
      Log(
        LogLevel::Info, "backend.draining", { { "backend", entry.id_ }, { "host", entry.host_ } });
    }
  }
  backends_.InvalidateHostIndex();
  EndReplacedIncarnations();
}

bool
RunTracker::IsUsable(const Backend& aBackend) const
{
  return aBackend.registered_ && aBackend.verified_ && aBackend.recorded_ && !aBackend.hasEnded_ &&
         aBackend.refusesEarlier_ && !aBackend.cordoned_ && !aBackend.entry_.draining_ &&
         aBackend.failedPolls_ == 0 && aBackend.clock_ != 0 && !aBackend.restartSuspectedAt_ &&
         !aBackend.listedGone_ &&
         (aBackend.ejectedUntil_ == TimePoint{} || aBackend.ejectedUntil_ <= clock_.Now());
}

Resources
RunTracker::UnreconciledCapacity() const
{
  Resources sum;
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& backend = backends_.At(handle);
    if (!backend.unreconciled_ || IsLeaseOver(backend)) {
      continue;
    }
    sum.cpuMilli_ += backend.entry_.capacity_.cpuMilli_;
    sum.memoryMb_ += backend.entry_.capacity_.memoryMb_;
    sum.accelerators_ += backend.entry_.capacity_.accelerators_;
  }
  return sum;
}

bool
RunTracker::HasUnresponsive() const
{
  const auto& live = backends_.Live();
  const bool hasSilent = std::any_of(live.begin(), live.end(), [this](BackendHandle aHandle) {
    const Backend& backend = backends_.At(aHandle);
    return backend.failedPolls_ > 0 && (backend.unreconciled_ || !backend.runs_.empty());
  });
  return hasSilent || HoldsTasks();
}

void
RunTracker::ApplyHosts(const std::map<std::string, HostEntry>& aHosts, TimePoint aAskedAt)
{
  NoteLostHosts(aHosts, aAskedAt);
  const auto live = backends_.Live();
  for (const BackendHandle handle : live) {
    Backend& backend = backends_.At(handle);
    const auto found = aHosts.find(backend.entry_.host_);
    const auto missedBefore = std::exchange(backend.missingInListOf_, std::nullopt);
    // A backend server that responds is running, and the list may be older than its incarnation.
    if (backend.failedPolls_ == 0 || backend.unresponsiveSince_ >= aAskedAt) {
      continue;
    }
    if (found == aHosts.end()) {
      const bool isHostKnown = !aHosts.empty() && !backend.entry_.host_.empty();
      // A list is read in pages, between which hosts may change their places.
      if (isHostKnown && missedBefore && *missedBefore < aAskedAt) {
        EndIncarnation(handle, "host control no longer lists its host", IncarnationEnd::Planned);
      } else if (isHostKnown) {
        backend.missingInListOf_ = missedBefore.value_or(aAskedAt);
      }
      continue;
    }
    const HostEntry& host = found->second;
    if (host.state_ != HostState::Up || host.backend_ != backend.entry_.id_) {
      Log(LogLevel::Info,
          "backend.unlisted",
          { { "backend", backend.entry_.id_ },
            { "host_state", static_cast<int>(host.state_) },
            { "listed", host.backend_ } });
      EndIncarnation(handle,
                     "host control lists its host without it",
                     IsReplaced(host, backend.entry_.id_) ? IncarnationEnd::Unplanned
                                                          : IncarnationEnd::HostDown);
    }
  }
  ReleaseReplaced(aHosts, aAskedAt);
}

void
RunTracker::Stop(BackendHandle aBackend, BackendRun& aRun)
{
  aRun.phase_ = RunPhase::Stopping;
  aRun.stopSentAt_ = clock_.Now();
  aRun.stopDone_ = false;
  Backend& backend = backends_.At(aBackend);
  const RunId id = aRun.id_;
  const std::weak_ptr<bool> alive = alive_;
  commands_.Stop(
    StopCommand{ backend.Address(), id, backend.fencingToken_ },
    [this, alive, aBackend, id, token = backend.fencingToken_, sent = aRun.stopSentAt_](
      const CommandResult& aResult) {
      if (alive.lock()) {
        OnStopped(aBackend, id, token, sent, aResult);
      }
    });
}

void
RunTracker::OnStopped(BackendHandle aBackend,
                      const RunId& aRun,
                      int64_t aToken,
                      TimePoint aSent,
                      const CommandResult& aResult)
{
  Backend& backend = backends_.At(aBackend);
  if (backend.hasEnded_ || SuspectRestart(aBackend, aSent, aResult)) {
    return; // The next incarnation gets its own stop command.
  }
  ReadClock(backend, aSent, aResult);
  NoteFenced(backend, aToken, aResult);
  if (aResult.outcome_ == CommandOutcome::OtherIncarnation) {
    EndIncarnation(aBackend, "another incarnation answers", IncarnationEnd::Replaced);
    return;
  }
  if (aResult.outcome_ != CommandOutcome::Done) {
    return;
  }
  if (LateStart* late = FindLateStart(backend.entry_.id_, aRun)) {
    late->stoppedOn_ = aBackend;
  }
  BackendRun* run = backend.FindRun(aRun);
  if (!run) {
    return;
  }
  run->stopDone_ = true;
  run->stopDoneAt_ = clock_.Now();
  if (!run->everConfirmed_ || backend.pollsInFlight_ == 0) {
    backend.nextPollAt_ = std::min(backend.nextPollAt_, run->stopDoneAt_ + milliseconds(5));
  }
}

void
RunTracker::NoteFenced(const Backend& aBackend, int64_t aToken, const CommandResult& aResult)
{
  // One that was sent before the token was raised has been refused for a later one of ours.
  if (aResult.outcome_ == CommandOutcome::Fenced && aToken >= aBackend.fencingToken_) {
    fenced_ = true;
  }
}

void
RunTracker::StopJob(uint32_t aJob)
{
  for (const BackendHandle handle : backends_.Live()) {
    for (BackendRun& run : backends_.At(handle).runs_) {
      if (run.task_ && run.task_->job_ == aJob && run.phase_ != RunPhase::Stopping) {
        Stop(handle, run);
      }
    }
  }
}

void
RunTracker::DropRun(BackendHandle aBackend, const RunId& aRun, const std::string& aCheckpoint)
{
  const BackendRun* run = backends_.At(aBackend).FindRun(aRun);
  if (!run) {
    return;
  }
  if (run->task_) {
    ReleaseTask(
      *run->task_, aBackend, aRun.run_, aCheckpoint.empty() ? run->checkpoint_ : aCheckpoint);
  }
  backends_.RemoveRun(aBackend, aRun);
  changed_ = true;
}

void
RunTracker::ReleaseTask(const TaskRef& aTask,
                        BackendHandle aBackend,
                        int64_t aRun,
                        const std::string& aCheckpoint)
{
  const Task& task = jobs_.At(aTask);
  if (task.phase_ == TaskPhase::Active && task.run_ == aRun && task.backend_ == aBackend) {
    jobs_.Release(aTask, aCheckpoint);
  }
}

void
RunTracker::EndIncarnation(BackendHandle aBackend, const char* aReason, IncarnationEnd aEnd)
{
  Backend& backend = backends_.At(aBackend);
  Log(LogLevel::Info,
      "backend.over",
      { { "backend", backend.entry_.id_ },
        { "host", backend.entry_.host_ },
        { "reason", aReason },
        { "runs", backend.runs_.size() } });
  LogOpenCalls(backend);
  const std::vector<uint32_t> failedJobs = AttributeLoss(backend, aReason, aEnd);
  DropAllRuns(aBackend, aEnd == IncarnationEnd::HostDown);
  endedIncarnations_[backend.entry_.id_] = backend.entry_.startTimeMs_;
  if (backend.recorded_ && onIncarnationEnded_) {
    onIncarnationEnded_(backend.entry_.id_);
  }
  backends_.Close(aBackend);
  changed_ = true;
  for (const uint32_t job : failedJobs) {
    StopJob(job);
  }
}

void
RunTracker::LogOpenCalls(const Backend& aBackend) const
{
  const TimePoint now = clock_.Now();
  json starts = json::array();
  for (const BackendRun& run : aBackend.runs_) {
    if (!run.everConfirmed_) {
      starts.push_back({ { "task", run.id_.task_ },
                         { "run", run.id_.run_ },
                         { "age_ms", MillisecondsBetween(run.sentAt_, now) } });
    }
  }
  const bool hasOpenLease = aBackend.leasePollSentAt_ > aBackend.answeredPollSentAt_;
  if (starts.empty() && !hasOpenLease) {
    return;
  }
  Log(LogLevel::Info,
      "backend.open_calls",
      { { "backend", aBackend.entry_.id_ },
        { "starts", std::move(starts) },
        { "polls", aBackend.pollsInFlight_ },
        { "lease_age_ms", hasOpenLease ? MillisecondsBetween(aBackend.leasePollSentAt_, now) : -1 },
        { "lease_clock_ms", hasOpenLease ? aBackend.renewedDeadline_ : 0 } });
}

void
RunTracker::UpdateFailureStreak(Backend& aBackend, const BackendRun* aRun, const EndedTask& aEnd)
{
  if (aEnd.kind_ == RunOutcome::Done) {
    aBackend.failuresInRow_ = 0;
    return;
  }
  if (aEnd.kind_ != RunOutcome::Failed || !aRun || !aRun->task_) {
    return;
  }
  // Repeated failures of the same job do not indicate a fault of the backend server.
  const std::string& job = jobs_.At(aRun->task_->job_).spec_.id_;
  if (job == aBackend.lastFailedJob_) {
    return;
  }
  aBackend.lastFailedJob_ = job;
  ++aBackend.failuresInRow_;
  if (aBackend.failuresInRow_ >= kFailuresToEject) {
    aBackend.ejectedUntil_ = clock_.Now() + kEjectionTime;
    Log(LogLevel::Info,
        "backend.shunned",
        { { "backend", aBackend.entry_.id_ }, { "failures", aBackend.failuresInRow_ } });
  }
}

void
RunTracker::StopOtherRun(BackendHandle aBackend, const EndedTask& aEnd, const TaskRef& aTask)
{
  Backend& backend = backends_.At(aBackend);
  const BackendRun* run = backend.FindRun(aEnd.run_);
  const Task& task = jobs_.At(aTask);
  // After a change of leader, ends of runs that only the earlier one knew are usual.
  const bool isInherited = !run && task.run_ == 0 && jobs_.At(aTask.job_).inherited_;
  if (task.phase_ != TaskPhase::Done && task.run_ != aEnd.run_.run_ && !isInherited) {
    Log(LogLevel::Warn,
        "run.done_after_release",
        { { "task", aEnd.run_.task_ },
          { "run", aEnd.run_.run_ },
          { "backend", backend.entry_.id_ },
          { "known_there", run != nullptr },
          { "active", task.phase_ == TaskPhase::Active },
          { "latest_run", task.run_ } });
  }
  if (task.phase_ == TaskPhase::Active && task.run_ != aEnd.run_.run_) {
    Backend& other = backends_.At(task.backend_);
    if (BackendRun* second = other.FindRun(RunId{ aEnd.run_.task_, task.run_ })) {
      Stop(task.backend_, *second);
    }
  }
}

void
RunTracker::ApplyEnd(BackendHandle aBackend, const EndedTask& aEnd)
{
  Backend& backend = backends_.At(aBackend);
  const TimePoint now = clock_.Now();
  const BackendRun* run = backend.FindRun(aEnd.run_);
  UpdateFailureStreak(backend, run, aEnd);
  ReleaseEnded(aBackend, aEnd);
  SettleLateStart(aBackend, aEnd.run_);
  TaskId id;
  TaskRef ref;
  if (!TaskId::Parse(aEnd.run_.task_, id) || !jobs_.Locate(id, ref)) {
    Log(LogLevel::Warn, "run.end_of_unknown_task", { { "task", aEnd.run_.task_ } });
    backends_.RemoveRun(aBackend, aEnd.run_);
    return;
  }
  RunEvent event{ ref, aEnd.run_, aBackend, aEnd.kind_, milliseconds(0) };
  if (run) {
    event.lasted_ = std::chrono::duration_cast<milliseconds>(now - run->sentAt_);
  }
  const bool isDone = aEnd.kind_ == RunOutcome::Done;
  const bool isContinuous = jobs_.SpecOf(ref).continuous_;
  if (isDone && !isContinuous) {
    StopOtherRun(aBackend, aEnd, ref);
    jobs_.Finish(ref, now);
  }
  if (aEnd.kind_ == RunOutcome::Failed) {
    jobs_.Avoid(ref, aBackend, now);
    if (jobs_.Fail(ref, aEnd.run_.run_, now)) {
      StopJob(ref.job_);
    }
  }
  if (jobs_.At(ref).phase_ != TaskPhase::Active) {
    jobs_.EndTrial(ref);
  }
  DropRun(aBackend, aEnd.run_, aEnd.checkpoint_);
  if (isDone && isContinuous) {
    jobs_.DropCheckpoint(ref, aEnd.run_.run_); // It stands for work that is done.
  }
  changed_ = true;
  if (listener_) {
    listener_(event);
  }
}

void
RunTracker::Tick()
{
  const TimePoint now = clock_.Now();
  if (!hasTakenOver_) {
    CheckTakeover();
  }
  ReleaseOverdue();
  ForgetOldLateStarts();
  const auto live = backends_.Live();
  for (const BackendHandle handle : live) {
    Backend& backend = backends_.At(handle);
    const bool unresponsive = backend.failedPolls_ > 0 || !backend.verified_;
    if (unresponsive && IsLeaseOver(backend) && !backend.runs_.empty()) {
      Log(LogLevel::Info,
          "backend.lapsed",
          { { "backend", backend.entry_.id_ },
            { "runs", backend.runs_.size() },
            { "failed_polls", backend.failedPolls_ },
            { "lease_over_ms", MillisecondsBetween(backend.leaseEnd_, now) },
            { "last_answer_ms", MillisecondsBetween(backend.answeredPollSentAt_, now) } });
      const auto failedJobs =
        AttributeLoss(backend, "the lease of its runs is over", IncarnationEnd::Uncertain);
      DropAllRuns(handle, true);
      for (const uint32_t job : failedJobs) {
        StopJob(job);
      }
    }
    if (!backend.registered_ && backend.runs_.empty() && IsLeaseOver(backend) && unresponsive) {
      EndIncarnation(handle, "gone from the registry and unresponsive");
      // The incarnation may return: only its lease has expired.
      endedIncarnations_.erase(backends_.At(handle).entry_.id_);
      continue;
    }
    for (BackendRun& run : backend.runs_) {
      if (run.phase_ == RunPhase::Stopping && now - run.stopSentAt_ > kStopRetry) {
        Stop(handle, run);
      }
    }
    if (!backend.HasOwnToken(fencingToken_)) {
      RaiseToken(backend);
      backend.nextPollAt_ = backend.HasOwnToken(fencingToken_) ? now : backend.nextPollAt_;
    }
    const bool isDue =
      !backend.HasOpenPoll() && now >= backend.nextPollAt_ && NeedsPoll(backend, now);
    if (isDue || LacksLease(backend, now)) {
      SendPoll(handle);
    } else if (IsAnswerOverdue(backend, now)) {
      SendPoll(handle, PollKind::Repeat);
    } else if (LacksContact(backend)) {
      SendPoll(handle, PollKind::Contact);
    }
  }
}

TimePoint
RunTracker::NextDue() const
{
  const TimePoint now = clock_.Now();
  TimePoint due = now + kPollRetryMax;
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& backend = backends_.At(handle);
    if (!backend.HasOpenPoll() && NeedsPoll(backend, now)) {
      due = std::min(due, backend.nextPollAt_);
    }
  }
  return due;
}

std::map<uint32_t, int64_t>
RunTracker::EndsApplied() const
{
  std::map<uint32_t, int64_t> applied;
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& backend = backends_.At(handle);
    if (backend.endsApplied_ > backend.endsStored_) {
      applied[handle.index_] = backend.endsApplied_;
    }
  }
  return applied;
}

bool
RunTracker::HasUnstoredEnds() const
{
  const auto& live = backends_.Live();
  return std::any_of(live.begin(), live.end(), [this](BackendHandle aHandle) {
    const Backend& backend = backends_.At(aHandle);
    return backend.endsApplied_ > backend.endsStored_;
  });
}

void
RunTracker::EndsStored(const std::map<uint32_t, int64_t>& aUpTo)
{
  for (const auto& [index, number] : aUpTo) {
    Backend& backend = backends_.At(BackendHandle{ index });
    backend.endsStored_ = std::max(backend.endsStored_, number);
    if (backend.endsStored_ >= backend.endsApplied_) {
      backend.nextPollAt_ = std::min(backend.nextPollAt_, clock_.Now() + kMinPollInterval);
    }
  }
}

bool
RunTracker::TakeChanged()
{
  const bool changed = changed_;
  changed_ = false;
  return changed;
}

}
