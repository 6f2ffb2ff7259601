#include "sardinespoke/run_tracker.h"

#include "run_limits_p.h"
#include "sardinespoke/logging.h"
#include "sardinespoke/witness_quorum.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

// Time without new work after a backend server refused a start.
constexpr milliseconds kRefusedBackoff{ 150 };
// A stop is repeated if its run still exists after this.
constexpr milliseconds kStopRetry{ 500 };
// Consecutive failures of different jobs after which a backend server is ejected.
constexpr uint32_t kFailuresToEject = 2;
constexpr milliseconds kEjectionTime{ 4000 };
// Time without new work for each further consecutive start without a response.
constexpr milliseconds kNoResponseBackoff{ 500 };
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
RunTracker::AddRecorded(const BackendEntry& aEntry)
{
  const BackendHandle handle = backends_.Add(aEntry);
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
      handle = backends_.Add(entry);
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
         !aBackend.cordoned_ && !aBackend.entry_.draining_ && aBackend.failedPolls_ == 0 &&
         aBackend.clock_ != 0 && !aBackend.restartSuspectedAt_ && !aBackend.listedGone_ &&
         aBackend.ejectedUntil_ <= clock_.Now();
}

std::set<std::string>
RunTracker::UnreconciledServices() const
{
  std::set<std::string> services;
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& backend = backends_.At(handle);
    if (backend.unreconciled_ && !IsLeaseOver(backend)) {
      services.insert(backend.entry_.service_);
    }
  }
  return services;
}

bool
RunTracker::HasUnresponsive() const
{
  const auto& live = backends_.Live();
  return std::any_of(live.begin(), live.end(), [this](const BackendHandle& aHandle) {
    const Backend& backend = backends_.At(aHandle);
    return backend.failedPolls_ > 0 && (backend.unreconciled_ || !backend.runs_.empty());
  });
}

void
RunTracker::ApplyHosts(const std::map<std::string, HostEntry>& aHosts, TimePoint aAskedAt)
{
  NoteLostHosts(aHosts, aAskedAt);
  const auto live = backends_.Live();
  for (const BackendHandle handle : live) {
    const Backend& backend = backends_.At(handle);
    const auto found = aHosts.find(backend.entry_.host_);
    // A backend server that responds is running, and the list may be older than its incarnation.
    if (found == aHosts.end() || backend.failedPolls_ == 0 ||
        backend.unresponsiveSince_ >= aAskedAt) {
      continue;
    }
    const HostEntry& host = found->second;
    if (host.state_ != HostState::Up || host.backend_ != backend.entry_.id_) {
      EndIncarnation(handle, "host control lists its host without it");
    }
  }
}

void
RunTracker::Start(const TaskRef& aTask,
                  BackendHandle aBackend,
                  int64_t aRun,
                  const std::string& aTicket)
{
  const TimePoint now = clock_.Now();
  Backend& backend = backends_.At(aBackend);
  const StepSpec& spec = jobs_.SpecOf(aTask);
  BackendRun run;
  run.task_ = aTask;
  run.id_ = RunId{ jobs_.IdOf(aTask).Text(), aRun };
  run.sentAt_ = now;
  run.progressAt_ = now;
  run.deadline_ = backend.ClockNow(now) + kStartDeadline.count();
  run.resources_ = spec.Need();
  run.hasLatencyTarget_ = spec.latencyTarget_ > milliseconds(0);
  run.isBestEffort_ = spec.bestEffort_;
  run.isContinuous_ = spec.continuous_;
  run.isSuspect_ = jobs_.CrashesOf(aTask) > 0;
  if (run.isSuspect_) {
    ++crashCounts_.isolated_;
    Log(LogLevel::Info,
        "task.isolated",
        { { "task", run.id_.task_ },
          { "run", aRun },
          { "backend", backend.entry_.id_ },
          { "crashes", jobs_.CrashesOf(aTask) },
          { "proven_beside", backend.runs_.size() } });
  }
  StartCommand command;
  command.to_ = backend.Address();
  command.run_ = run.id_;
  command.payload_ = jobs_.At(aTask.job_).spec_.payload_;
  command.checkpoint_ = jobs_.CheckpointOf(aTask);
  command.ticket_ = aTicket;
  command.deadline_ = run.deadline_;
  command.fencingToken_ = fencingToken_;
  backend.leaseEnd_ = std::max(backend.leaseEnd_, now + WithClockDrift(kStartDeadline));
  jobs_.Activate(aTask, aRun, aBackend, now);
  const RunId id = run.id_;
  backends_.AddRun(aBackend, std::move(run));
  const std::weak_ptr<bool> alive = alive_;
  commands_.Start(command, [this, alive, aBackend, id, now](const CommandResult& aResult) {
    if (alive.lock()) {
      OnStarted(aBackend, id, now, aResult);
    }
  });
}

void
RunTracker::ReadClock(Backend& aBackend, TimePoint aSent, const CommandResult& aResult)
{
  const TimePoint now = clock_.Now();
  // A response that was read late tells less than what is known. One that contradicts it is of a
  // new incarnation, or the clock has stood still.
  const bool isLate = aResult.clock_ < aBackend.ClockNow(now) &&
                      aResult.clock_ >= aBackend.ClockNow(aSent) && !aBackend.restartSuspectedAt_;
  if (aResult.clock_ == 0 || (aBackend.clock_ != 0 && isLate)) {
    return;
  }
  aBackend.clock_ = aResult.clock_;
  aBackend.clockAt_ = now;
}

void
RunTracker::OnStarted(BackendHandle aBackend,
                      const RunId& aRun,
                      TimePoint aSent,
                      const CommandResult& aResult)
{
  // The next incarnation may have carried out the command; the next poll tells.
  const BackendHandle latest = backends_.Latest(aBackend);
  Backend& backend = backends_.At(latest);
  if (backend.hasEnded_) {
    return;
  }
  const TimePoint now = clock_.Now();
  const bool fromNext = latest == aBackend && SuspectRestart(latest, aSent, aResult);
  if (latest == aBackend && !fromNext) {
    ReadClock(backend, aSent, aResult);
  }
  BackendRun* run = backend.FindRun(aRun);
  if (aResult.outcome_ != CommandOutcome::Unknown) {
    ForgetLateStart(backend.entry_.id_, aRun);
  }
  switch (aResult.outcome_) {
    case CommandOutcome::Done:
      backend.startsWithoutResponse_ = 0;
      if (run && latest == aBackend && !fromNext) {
        ConfirmLease(backend, run->deadline_, aResult.clock_);
      }
      if (run) {
        run->everConfirmed_ = true;
        run->confirmedByNext_ = fromNext;
        run->confirmedAt_ = now;
        run->confirmedClock_ = run->confirmedClock_ == 0 ? aResult.clock_ : run->confirmedClock_;
        run->phase_ = run->phase_ == RunPhase::Stopping ? run->phase_ : RunPhase::Running;
      }
      if (run && run->isSuspect_) {
        SendPoll(latest); // Another poll may wait for long; others wait for the proof.
      } else if (backend.pollsInFlight_ == 0) {
        backend.nextPollAt_ = std::min(backend.nextPollAt_, now + kMinPollInterval);
      }
      return;
    case CommandOutcome::Fenced:
      fenced_ = true;
      return;
    case CommandOutcome::OtherIncarnation:
      if (latest == aBackend) {
        EndIncarnation(aBackend, "another incarnation answers", IncarnationEnd::Replaced);
      } else {
        DropRun(latest, aRun, "");
      }
      return;
    case CommandOutcome::Unknown:
      OnStartUnanswered(aBackend, run);
      return;
    default:
      OnStartRefused(latest, aRun, aResult);
      return;
  }
}

void
RunTracker::OnStartUnanswered(BackendHandle aBackend, BackendRun* aRun)
{
  const BackendHandle latest = backends_.Latest(aBackend);
  Backend& backend = backends_.At(latest);
  const TimePoint now = clock_.Now();
  if (aRun && !aRun->everConfirmed_) {
    lateStarts_[backend.entry_.id_].push_back(LateStart{ *aRun, BackendHandle{} });
    // A stop could end a task that serves already, beyond the availability budget of its step. A
    // poll or the deadline of the start shows whether it runs; on a later incarnation the deadline
    // shows nothing.
    const bool hasBudget = aRun->task_ && jobs_.SpecOf(*aRun->task_).maxUnavailable_ > 0;
    if (!hasBudget || latest != aBackend) {
      Stop(latest, *aRun);
    } else if (aRun->phase_ != RunPhase::Stopping) {
      aRun->phase_ = RunPhase::Uncertain;
    }
  }
  backend.nextPollAt_ = now;
  // A single response may be lost on the network; several in a row indicate a fault of the
  // backend server.
  if (++backend.startsWithoutResponse_ > 1) {
    const auto pause = kNoResponseBackoff * (backend.startsWithoutResponse_ - 1);
    backend.ejectedUntil_ = now + std::min<milliseconds>(pause, kEjectionTime);
  }
}

void
RunTracker::OnStartRefused(BackendHandle aBackend, const RunId& aRun, const CommandResult& aResult)
{
  Backend& backend = backends_.At(aBackend);
  const TimePoint now = clock_.Now();
  const BackendRun* run = backend.FindRun(aRun);
  Log(LogLevel::Info,
      "run.refused",
      { { "task", aRun.task_ },
        { "run", aRun.run_ },
        { "backend", backend.entry_.id_ },
        { "outcome", static_cast<int>(aResult.outcome_) } });
  if (aResult.outcome_ == CommandOutcome::TargetNotFound) {
    backend.unresponsiveSince_ = backend.failedPolls_ == 0 ? now : backend.unresponsiveSince_;
    ++backend.failedPolls_;
    backend.nextPollAt_ = now;
  }
  if (aResult.outcome_ == CommandOutcome::InvalidTicket && onInvalidTicket_ && run && run->task_) {
    onInvalidTicket_(jobs_.IdOf(*run->task_).StepText(), backend.entry_.id_);
  }
  if (aResult.outcome_ == CommandOutcome::Refused) {
    backend.ejectedUntil_ = now + kRefusedBackoff;
  }
  DropRun(aBackend, aRun, "");
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
    StopCommand{ backend.Address(), id, fencingToken_ },
    [this, alive, aBackend, id, sent = aRun.stopSentAt_](const CommandResult& aResult) {
      if (alive.lock()) {
        OnStopped(aBackend, id, sent, aResult);
      }
    });
}

void
RunTracker::OnStopped(BackendHandle aBackend,
                      const RunId& aRun,
                      TimePoint aSent,
                      const CommandResult& aResult)
{
  Backend& backend = backends_.At(aBackend);
  if (backend.hasEnded_ || SuspectRestart(aBackend, aSent, aResult)) {
    return; // The next incarnation gets its own stop command.
  }
  ReadClock(backend, aSent, aResult);
  if (aResult.outcome_ == CommandOutcome::Fenced) {
    fenced_ = true;
  }
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
  const std::vector<uint32_t> failedJobs = AttributeLoss(backend, aReason, aEnd);
  DropAllRuns(aBackend);
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
RunTracker::ApplyEnd(BackendHandle aBackend, const EndedTask& aEnd)
{
  Backend& backend = backends_.At(aBackend);
  const TimePoint now = clock_.Now();
  const BackendRun* run = backend.FindRun(aEnd.run_);
  UpdateFailureStreak(backend, run, aEnd);
  ForgetLateStart(backend.entry_.id_, aEnd.run_);
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
  if (aEnd.kind_ == RunOutcome::Done) {
    const Task& task = jobs_.At(ref);
    // After a change of leader, ends of runs that only the earlier one knew are usual.
    const bool isInherited = !run && task.run_ == 0 && jobs_.At(ref.job_).inherited_;
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
      DropAllRuns(handle);
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
    const bool isDue = !backend.HasOpenPoll() && now >= backend.nextPollAt_ && NeedsPoll(backend);
    if (isDue || LacksLease(backend)) {
      SendPoll(handle);
    } else if (IsAnswerOverdue(backend)) {
      SendPoll(handle, PollKind::Repeat);
    } else if (LacksContact(backend)) {
      SendPoll(handle, PollKind::Contact);
    }
  }
}

TimePoint
RunTracker::NextDue() const
{
  TimePoint due = clock_.Now() + kPollRetryMax;
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& backend = backends_.At(handle);
    if (!backend.HasOpenPoll() && NeedsPoll(backend)) {
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
