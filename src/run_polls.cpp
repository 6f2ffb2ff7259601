#include "sardinespoke/run_tracker.h"

#include "run_limits_p.h"
#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

// Longest wait of a poll for a run to end; the limit of the protocol.
constexpr milliseconds kPollWait{ 2000 };
// Wait of a poll while a start or stop has no confirmed outcome.
constexpr milliseconds kPendingCommandWait{ 150 };
// Wait of a poll while a suspect is in question there: it shows that it works on.
constexpr milliseconds kTrialWait{ 350 };
constexpr milliseconds kPollRetry{ 150 };
// A poll is repeated beside one whose response is this late, and later by some times the usual
// delay, so that a slow leader does not repeat what it has not read yet.
constexpr milliseconds kRepeatDelay{ 150 };
constexpr int kDelayFactor = 4;
constexpr uint32_t kMaxOpenPolls = 4; // To one backend server.
// The same while a new leader asks all backend servers at once.
constexpr uint32_t kMaxFirstPolls = 2;
constexpr milliseconds kLeaseReserve{ 1000 };
// The same while more than this share of the responses gets lost.
constexpr milliseconds kLossyLeaseReserve{ 2500 };
constexpr double kLostAnswersLimit = 0.05;
constexpr int kLossSmoothing = 16; // Polls.
// Time between polls that list the same ends again because the store has not taken them yet, so
// that a backlog does not make a busy leader busier. Far below the lease.
constexpr milliseconds kUnstoredEndsPollInterval{ 300 };
// Time between polls of a backend server that runs nothing but may still get a late start.
constexpr milliseconds kIdlePollPeriod{ 1000 };
// Time between polls of one that runs nothing. Its clock is known as a lower bound that falls
// behind by 2 %; a start still has most of its time until the deadline.
constexpr milliseconds kClockPollPeriod{ 20000 };

}

bool
RunTracker::NeedsPoll(const Backend& aBackend, TimePoint aNow) const
{
  const bool awaitsOwnToken = !aBackend.refusesEarlier_ && aBackend.HasOwnToken(fencingToken_);
  if (aBackend.verified_ && !awaitsOwnToken && !aBackend.runs_.empty()) {
    return true;
  }
  const bool mayStartLate = !lateStarts_.empty() && lateStarts_.count(aBackend.entry_.id_) > 0;
  if (!aBackend.verified_ || awaitsOwnToken) {
    return aBackend.registered_ || mayStartLate || !IsLeaseOver(aBackend);
  }
  return (mayStartLate && aNow >= aBackend.nextIdlePollAt_) ||
         aNow - aBackend.answeredPollSentAt_ >= kClockPollPeriod ||
         aBackend.endsStored_ > aBackend.endsAcknowledged_ ||
         (aBackend.failedPolls_ > 0 && aBackend.registered_);
}

bool
RunTracker::LacksLease(const Backend& aBackend, TimePoint aNow) const
{
  // A start is a lease of its own, but a short one. The poll in flight may have been sent before.
  return !aBackend.runs_.empty() && aBackend.verified_ && aBackend.failedPolls_ == 0 &&
         !aBackend.restartSuspectedAt_ && aBackend.pollsInFlight_ == 1 && mayExtendRuns_ &&
         aBackend.renewedUntil_ < aNow + kStartDeadline;
}

bool
RunTracker::IsLeaseOver(const Backend& aBackend) const
{
  if (lease_ == LeaseState::Over) {
    return false; // Another leader may renew it.
  }
  return clock_.Now() > aBackend.leaseEnd_ && aBackend.failedPollSentAt_ > aBackend.leaseEnd_;
}

bool
RunTracker::IsAnswerOverdue(const Backend& aBackend, TimePoint aNow) const
{
  if (aBackend.restartSuspectedAt_ || !aBackend.HasOpenPoll()) {
    return false;
  }
  if (!aBackend.verified_) {
    // Tasks wait for it; see UnreconciledServices().
    return aBackend.unreconciled_ && aBackend.pollsInFlight_ < kMaxFirstPolls &&
           aNow >= aBackend.answerDueAt_ && !IsLeaseOver(aBackend);
  }
  const milliseconds slack = AnswerSlack(aBackend);
  const TimePoint reserveEnd = aBackend.grantedUntil_ - LeaseReserve() + slack;
  const TimePoint due =
    std::min(aBackend.answerDueAt_,
             std::max(reserveEnd, aBackend.lastPollAt_ + kPendingCommandWait + slack));
  return !aBackend.runs_.empty() && mayExtendRuns_ && aBackend.pollsInFlight_ < kMaxOpenPolls &&
         aNow >= due && aNow < aBackend.renewedUntil_;
}

int64_t
RunTracker::AskForLease(Backend& aBackend, PollKind aKind)
{
  const TimePoint now = clock_.Now();
  if (aBackend.clock_ == 0 || !aBackend.verified_ || aBackend.restartSuspectedAt_ ||
      aBackend.runs_.empty() || !mayExtendRuns_) {
    return 0;
  }
  if (aKind == PollKind::Repeat || aBackend.failedPolls_ > 0) {
    // The same lease again: one that does not answer must lapse in time for its tasks to start
    // elsewhere.
    return now < aBackend.renewedUntil_ ? aBackend.renewedDeadline_ : 0;
  }
  aBackend.renewedDeadline_ = aBackend.ClockNow(now) + limits_.leaseTime_.count();
  aBackend.leaseEnd_ = std::max(aBackend.leaseEnd_, now + WithClockDrift(limits_.leaseTime_));
  aBackend.renewedUntil_ = now + limits_.leaseTime_;
  return aBackend.renewedDeadline_;
}

milliseconds
RunTracker::WaitOfPoll(const Backend& aBackend, PollKind aKind) const
{
  const bool isKnown = aBackend.failedPolls_ == 0 && !aBackend.restartSuspectedAt_;
  if (aKind != PollKind::Regular || !aBackend.verified_ || !isKnown || aBackend.runs_.empty()) {
    return milliseconds(0);
  }
  const auto& runs = aBackend.runs_;
  const bool allRunning = std::all_of(runs.begin(), runs.end(), [](const BackendRun& aRun) {
    return aRun.phase_ == RunPhase::Running;
  });
  const bool hasTrial = std::any_of(runs.begin(), runs.end(), [](const BackendRun& aRun) {
    return aRun.isSuspect_ && !aRun.proven_;
  });
  if (!allRunning) {
    return kPendingCommandWait;
  }
  const auto left = std::chrono::duration_cast<milliseconds>(aBackend.grantedUntil_ - clock_.Now());
  const milliseconds longest = hasTrial ? kTrialWait : kPollWait;
  return std::clamp(left - LeaseReserve(), std::min(kPendingCommandWait, longest), longest);
}

void
RunTracker::ConfirmLease(Backend& aBackend, int64_t aDeadline, int64_t aClock)
{
  if (aDeadline > 0 && aClock > 0) {
    aBackend.grantedUntil_ =
      std::max(aBackend.grantedUntil_,
               clock_.Now() + std::min(milliseconds(aDeadline - aClock), limits_.holdMax_));
  }
}

milliseconds
RunTracker::LeaseReserve() const
{
  return AreAnswersLost() ? kLossyLeaseReserve : kLeaseReserve;
}

milliseconds
RunTracker::AnswerSlack(const Backend& aBackend) const
{
  const uint32_t failures = AreAnswersLost() ? 0 : aBackend.failedPolls_;
  return kRepeatDelay * std::max(failures, 1U) +
         std::chrono::ceil<milliseconds>(answerDelay_ * kDelayFactor);
}

bool
RunTracker::AreAnswersLost() const
{
  return lostAnswers_ > kLostAnswersLimit;
}

void
RunTracker::SendPoll(BackendHandle aBackend, PollKind aKind)
{
  const TimePoint now = clock_.Now();
  Backend& backend = backends_.At(aBackend);
  PollCommand command;
  command.to_ = backend.Address();
  command.fencingToken_ = backend.fencingToken_;
  const bool isKnown = backend.failedPolls_ == 0 && !backend.restartSuspectedAt_;
  command.acknowledgedUpTo_ = backend.verified_ && isKnown ? backend.endsStored_ : 0;
  command.deadline_ = AskForLease(backend, aKind);
  command.wait_ = WaitOfPoll(backend, aKind);
  backend.lastPollAt_ = now;
  backend.leasePollSentAt_ = command.deadline_ != 0 ? now : backend.leasePollSentAt_;
  backend.answerDueAt_ = now + command.wait_ + AnswerSlack(backend);
  ++backend.pollsInFlight_;
  const uint64_t number = ++backend.lastPoll_;
  ++polls_;
  repeatedPolls_ += aKind == PollKind::Repeat ? 1 : 0;
  const std::weak_ptr<bool> alive = alive_;
  commands_.Poll(command, [this, alive, aBackend, now, number, command](const PollResult& aResult) {
    if (!alive.lock()) {
      return;
    }
    Backend& answered = backends_.At(aBackend);
    --answered.pollsInFlight_;
    if (aResult.outcome_ == CommandOutcome::Done) {
      answered.answeredPoll_ = std::max(answered.answeredPoll_, number);
      answered.endsAcknowledged_ = std::max(answered.endsAcknowledged_, command.acknowledgedUpTo_);
      ObserveAnswer(now, command.wait_);
      ConfirmLease(answered, command.deadline_, aResult.clock_);
    }
    OnPollResult(aBackend, now, command.fencingToken_, aResult);
  });
}

void
RunTracker::ObserveAnswer(TimePoint aSent, milliseconds aWait)
{
  constexpr int kSmoothing = 8;
  lostAnswers_ -= lostAnswers_ / kLossSmoothing;
  const auto delay =
    std::chrono::duration_cast<std::chrono::microseconds>(clock_.Now() - aSent - aWait);
  if (delay >= std::chrono::microseconds(0)) { // Else a run has ended during the wait.
    answerDelay_ += (delay - answerDelay_) / kSmoothing;
  }
}

BackendHandle
RunTracker::FollowRestart(BackendHandle aBackend, const CommandResult& aResult)
{
  Backend& backend = backends_.At(aBackend);
  if (aResult.startTimeMs_ == 0 || backend.entry_.startTimeMs_ == 0 ||
      aResult.startTimeMs_ == backend.entry_.startTimeMs_) {
    backend.entry_.startTimeMs_ =
      aResult.startTimeMs_ != 0 ? aResult.startTimeMs_ : backend.entry_.startTimeMs_;
    return aBackend;
  }
  const bool announced =
    backend.successor_ && backend.successor_->startTimeMs_ == aResult.startTimeMs_;
  BackendEntry entry = announced ? *backend.successor_ : backend.entry_;
  entry.startTimeMs_ = aResult.startTimeMs_;
  return BeginNext(aBackend, entry, "restarted under the same id");
}

void
RunTracker::OnPollFailed(BackendHandle aBackend,
                         TimePoint aSent,
                         int64_t aToken,
                         const PollResult& aResult)
{
  Backend& backend = backends_.At(aBackend);
  if (aResult.outcome_ == CommandOutcome::Fenced) {
    NoteFenced(backend, aToken, aResult);
    return;
  }
  if (aResult.outcome_ == CommandOutcome::OtherIncarnation) {
    EndIncarnation(aBackend, "another incarnation answers", IncarnationEnd::Replaced);
    return;
  }
  if (aSent < backend.answeredPollSentAt_) {
    lostAnswers_ += (1 - lostAnswers_) / kLossSmoothing;
    return; // It has answered a later poll.
  }
  backend.failedPollSentAt_ = std::max(backend.failedPollSentAt_, aSent);
  const TimePoint now = clock_.Now();
  if (backend.failedPolls_ == 0) {
    Log(LogLevel::Info,
        "backend.silent",
        { { "backend", backend.entry_.id_ },
          { "runs", backend.runs_.size() },
          { "lease_left_ms", MillisecondsBetween(now, std::max(now, backend.grantedUntil_)) },
          { "outcome", static_cast<int>(aResult.outcome_) } });
  }
  if (backend.failedPolls_ == 0) {
    backend.unresponsiveSince_ = now;
  }
  ++backend.failedPolls_;
  const auto pause = std::min(kPollRetry * backend.failedPolls_, kPollRetryMax);
  backend.nextPollAt_ = now + pause;
}

void
RunTracker::OnPollResult(BackendHandle aPolled,
                         TimePoint aSent,
                         int64_t aToken,
                         const PollResult& aResult)
{
  if (backends_.At(aPolled).hasEnded_) {
    return;
  }
  if (aResult.outcome_ != CommandOutcome::Done) {
    OnPollFailed(aPolled, aSent, aToken, aResult);
    return;
  }
  const BackendHandle current = FollowRestart(aPolled, aResult);
  const TimePoint now = clock_.Now();
  Backend& backend = backends_.At(current);
  ReadClock(backend, aSent, aResult);
  if (backend.restartSuspectedAt_ && aSent >= *backend.restartSuspectedAt_) {
    backend.restartSuspectedAt_.reset();
    changed_ = true;
  }
  NoteCutOffEnds(backend, aResult);
  const TimePoint longestLeaseEnd = now + WithClockDrift(limits_.holdMax_);
  if (current == aPolled && !backend.refusesEarlier_ && aToken == fencingToken_ + backend.number_) {
    // From here on it refuses commands of other leaders and to earlier incarnations.
    backend.refusesEarlier_ = true;
    backend.leaseEnd_ = std::min(backend.leaseEnd_, longestLeaseEnd);
  }
  if (!backend.verified_ || backend.failedPolls_ > 0) {
    backend.leaseEnd_ =
      backend.refusesEarlier_ ? std::min(backend.leaseEnd_, longestLeaseEnd) : backend.leaseEnd_;
    backend.verified_ = true;
    backend.failedPolls_ = 0;
    changed_ = true;
    backends_.InvalidateHostIndex();
    if (backend.registered_) {
      EndReplacedBy(current);
    }
  }
  bool hasRepeatedEnds = false;
  for (const EndedTask& end : aResult.ended_) {
    if (end.number_ > backend.endsApplied_) {
      ApplyEnd(current, end);
      backend.endsApplied_ = end.number_;
    } else {
      hasRepeatedEnds = true;
    }
  }
  if (aSent >= backend.answeredPollSentAt_) {
    backend.answeredPollSentAt_ = aSent;
    ApplyRunning(current, aSent, aToken, aResult);
    StopLateStarts(current, aToken, aResult);
  }
  backend.nextIdlePollAt_ = now + kIdlePollPeriod;
  const bool waitedForEnd = aResult.ended_.empty() && !backend.runs_.empty();
  backend.nextPollAt_ = now + (waitedForEnd ? milliseconds(0) : kMinPollInterval);
  if (hasRepeatedEnds && backend.endsStored_ < backend.endsApplied_) {
    // Until the ends are stored, polls do not wait and list them again; see EndsStored().
    backend.nextPollAt_ = now + kUnstoredEndsPollInterval;
  }
}

void
RunTracker::NoteCutOffEnds(Backend& aBackend, const PollResult& aResult)
{
  if (!aResult.hasMoreEnds_) {
    aBackend.unreconciled_ = false;
  }
  if (aBackend.hasUnlistedEnds_ != aResult.hasMoreEnds_) {
    Log(LogLevel::Info,
        aResult.hasMoreEnds_ ? "backend.ends_cut_off" : "backend.ends_complete",
        { { "backend", aBackend.entry_.id_ },
          { "ends_listed", aResult.ended_.size() },
          { "runs_known", aBackend.runs_.size() },
          { "runs_listed", aResult.running_.size() } });
  }
  aBackend.hasUnlistedEnds_ = aResult.hasMoreEnds_;
}

void
RunTracker::ApplyRunning(BackendHandle aBackend,
                         TimePoint aSent,
                         int64_t aToken,
                         const PollResult& aResult)
{
  Backend& backend = backends_.At(aBackend);
  std::vector<RunId> listed;
  for (const RunningTask& running : aResult.running_) {
    listed.push_back(running.run_);
    SettleLateStart(aBackend, running.run_);
    if (BackendRun* run = backend.FindRun(running.run_)) {
      Confirm(*run, running, aResult.clock_);
      continue;
    }
    Adopt(aBackend, running, aSent, aResult.clock_);
  }
  // With further ends to come, a run in neither list may be one that has ended.
  if (!aResult.hasMoreEnds_) {
    RemoveMissing(aBackend, aSent, aToken, aResult, listed);
  }
}

void
RunTracker::Confirm(BackendRun& aRun, const RunningTask& aRunning, int64_t aClock)
{
  const TimePoint now = clock_.Now();
  if (!aRun.everConfirmed_) {
    aRun.everConfirmed_ = true;
    aRun.confirmedAt_ = now;
  }
  if (aRun.phase_ == RunPhase::Starting || aRun.phase_ == RunPhase::Uncertain) {
    aRun.phase_ = RunPhase::Running;
  }
  if (aRunning.percent_ != aRun.percent_) {
    aRun.percent_ = aRunning.percent_;
    aRun.progressAt_ = now;
  }
  ObserveWork(aRun, aClock);
  aRun.load_ = aRunning.load_;
  aRun.checkpoint_ = aRunning.checkpoint_;
}

void
RunTracker::Adopt(BackendHandle aBackend,
                  const RunningTask& aRunning,
                  TimePoint aSent,
                  int64_t aClock)
{
  Backend& backend = backends_.At(aBackend);
  const TimePoint now = clock_.Now();
  BackendRun run;
  run.id_ = aRunning.run_;
  run.isAdopted_ = true;
  run.confirmedCpuPercent_ = kUnknownCpuPercent;
  run.fencingToken_ = backend.fencingToken_;
  run.everConfirmed_ = true;
  run.confirmedAt_ = aSent;
  run.sentAt_ = aSent;
  run.phase_ = RunPhase::Running;
  run.progressAt_ = now;
  run.resources_ = backend.entry_.capacity_;
  run.isSizeUnknown_ = true;
  TaskId id;
  TaskRef ref;
  bool isTasksRun = false;
  bool wanted = false;
  if (TaskId::Parse(aRunning.run_.task_, id) && jobs_.Locate(id, ref)) {
    DescribeRun(run, ref);
    run.isSizeUnknown_ = false;
    const Task& task = jobs_.At(ref);
    const bool isHeld = task.phase_ == TaskPhase::Active && task.run_ == run.id_.run_;
    // An earlier leader has stored that it works on.
    run.proven_ = run.isSuspect_ && !isHeld && !jobs_.IsInTrial(ref);
    isTasksRun = task.phase_ == TaskPhase::Waiting || isHeld;
    wanted = isTasksRun && !jobs_.At(ref.job_).HasEnded();
    jobs_.AddService(jobs_.At(ref.job_), backend.entry_.service_);
  }
  Confirm(run, aRunning, aClock);
  if (LateStart* late = FindLateStart(backend.entry_.id_, run.id_)) {
    late->heldFor_ = BackendHandle{};
  }
  if (isTasksRun) {
    // One of an ended job counts for its tenant until it has stopped.
    jobs_.Activate(ref, run.id_.run_, aBackend, TimePoint{});
    if (run.proven_) {
      jobs_.EndTrial(ref);
    }
  }
  Log(LogLevel::Info,
      wanted ? "run.adopted" : "run.unwanted",
      { { "task", run.id_.task_ }, { "run", run.id_.run_ }, { "backend", backend.entry_.id_ } });
  const RunId runId = run.id_;
  backends_.AddRun(aBackend, std::move(run));
  if (!wanted) {
    Stop(aBackend, *backend.FindRun(runId));
  }
}

void
RunTracker::RemoveMissing(BackendHandle aBackend,
                          TimePoint aSent,
                          int64_t aToken,
                          const PollResult& aResult,
                          const std::vector<RunId>& aListed)
{
  Backend& backend = backends_.At(aBackend);
  std::vector<RunId> gone;
  const TimePoint now = clock_.Now();
  for (const BackendRun& run : backend.runs_) {
    const bool isListed = std::find(aListed.begin(), aListed.end(), run.id_) != aListed.end();
    if (isListed) {
      continue;
    }
    const bool seenBefore = run.everConfirmed_ && run.confirmedAt_ < aSent;
    const bool stopped =
      run.phase_ == RunPhase::Stopping && run.stopDone_ && run.stopDoneAt_ < aSent;
    const bool expired = run.deadline_ != 0 && aResult.clock_ > run.deadline_ &&
                         run.phase_ != RunPhase::Starting && !run.everConfirmed_;
    const bool refused = run.fencingToken_ < aToken;
    if (seenBefore || stopped || expired || refused) {
      gone.push_back(run.id_);
      const char* notBegun = refused ? "sent to an earlier incarnation" : "deadline over";
      const char* unlisted = stopped ? "stopped" : notBegun;
      Log(LogLevel::Info,
          "run.gone",
          { { "task", run.id_.task_ },
            { "run", run.id_.run_ },
            { "backend", backend.entry_.id_ },
            { "reason", seenBefore ? "listed before" : unlisted },
            { "start_age_ms", MillisecondsBetween(run.sentAt_, now) },
            { "poll_age_ms", MillisecondsBetween(aSent, now) },
            { "ends_listed", aResult.ended_.size() } });
      if (!run.everConfirmed_) {
        RememberStart(backend.entry_.id_, run).stoppedOn_ = aBackend;
      }
    }
  }
  for (const RunId& id : gone) {
    DropRun(aBackend, id, "");
  }
}

}
