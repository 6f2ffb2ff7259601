#include "run_limits_p.h"
#include "sardinespoke/logging.h"
#include "sardinespoke/run_tracker.h"

#include <nlohmann/json.hpp>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

// Time without new work after a backend server refused a start.
constexpr milliseconds kRefusedBackoff{ 150 };
// Time without new work for each further consecutive start without a response.
constexpr milliseconds kNoResponseBackoff{ 500 };
// Age of a start without a response from which it is not sent again: its deadline is near.
constexpr milliseconds kLastStartCopy{ 1000 };

}

void
RunTracker::Start(const TaskRef& aTask,
                  BackendHandle aBackend,
                  int64_t aRun,
                  const std::string& aTicket)
{
  const TimePoint now = clock_.Now();
  Backend& backend = backends_.At(aBackend);
  BackendRun run;
  run.id_ = RunId{ jobs_.IdOf(aTask).Text(), aRun };
  run.sentAt_ = now;
  run.progressAt_ = now;
  run.deadline_ = backend.ClockNow(now) + kStartDeadline.count();
  run.fencingToken_ = backend.fencingToken_;
  DescribeRun(run, aTask);
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
  command.fencingToken_ = backend.fencingToken_;
  backend.leaseEnd_ = std::max(backend.leaseEnd_, now + WithClockDrift(kStartDeadline));
  jobs_.Activate(aTask, aRun, aBackend, now);
  backends_.AddRun(aBackend, std::move(run));
  SendStart(aBackend, command);
}

void
RunTracker::DescribeRun(BackendRun& aRun, const TaskRef& aTask) const
{
  const StepSpec& spec = jobs_.SpecOf(aTask);
  aRun.task_ = aTask;
  aRun.resources_ = spec.Need();
  aRun.hasLatencyTarget_ = spec.latencyTarget_ > milliseconds(0);
  aRun.isBestEffort_ = spec.bestEffort_;
  aRun.isContinuous_ = spec.continuous_;
  aRun.isSuspect_ = jobs_.CrashesOf(aTask) > 0;
}

void
RunTracker::SendStart(BackendHandle aBackend, const StartCommand& aCommand)
{
  ++backends_.At(aBackend).FindRun(aCommand.run_)->startsSent_;
  const std::weak_ptr<bool> alive = alive_;
  commands_.Start(
    aCommand, [this, alive, aBackend, aCommand, sent = clock_.Now()](const CommandResult& aResult) {
      if (alive.lock()) {
        OnStarted(aBackend, aCommand, sent, aResult);
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
                      const StartCommand& aCommand,
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
  BackendRun* run = backend.FindRun(aCommand.run_);
  // A refusal of one copy tells nothing about the others.
  const bool isOnlyCopy = !run || run->startsSent_ == 1;
  if (aResult.outcome_ == CommandOutcome::Done ||
      (isOnlyCopy && aResult.outcome_ != CommandOutcome::Unknown)) {
    SettleLateStart(latest, aCommand.run_);
  }
  switch (aResult.outcome_) {
    case CommandOutcome::Done:
      backend.startsWithoutResponse_ = 0;
      if (latest == aBackend && !fromNext) {
        ConfirmLease(backend, aCommand.deadline_, aResult.clock_);
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
      // The next incarnation refuses commands to this one; its lists of runs tell what it runs.
      if (latest == aBackend) {
        NoteFenced(backend, aCommand.fencingToken_, aResult);
      }
      return;
    case CommandOutcome::OtherIncarnation:
      if (latest == aBackend) {
        EndIncarnation(aBackend, "another incarnation answers", IncarnationEnd::Replaced);
      } else {
        DropRun(latest, aCommand.run_, "");
      }
      return;
    case CommandOutcome::Unknown:
      OnStartUnanswered(aBackend, run, aCommand);
      return;
    default:
      OnStartRefused(latest, aCommand.run_, aResult);
      return;
  }
}

bool
RunTracker::MayRepeatStart(const Backend& aBackend, const BackendRun& aRun) const
{
  return aRun.phase_ == RunPhase::Starting && aBackend.verified_ && !aBackend.hasEnded_ &&
         !aBackend.restartSuspectedAt_ && mayExtendRuns_ &&
         clock_.Now() - aRun.sentAt_ <= kLastStartCopy;
}

void
RunTracker::AwaitOutcome(BackendHandle aBackend, BackendRun& aRun)
{
  // A stop could end a task that serves already, beyond the availability budget of its step. A
  // poll or the deadline of the start shows whether it runs; on a later incarnation the deadline
  // shows nothing.
  const BackendHandle latest = backends_.Latest(aBackend);
  const bool hasBudget = aRun.task_ && jobs_.SpecOf(*aRun.task_).maxUnavailable_ > 0;
  if (!hasBudget || latest != aBackend) {
    Stop(latest, aRun);
  } else if (aRun.phase_ != RunPhase::Stopping) {
    aRun.phase_ = RunPhase::Uncertain;
  }
}

void
RunTracker::OnStartUnanswered(BackendHandle aBackend,
                              BackendRun* aRun,
                              const StartCommand& aCommand)
{
  const BackendHandle latest = backends_.Latest(aBackend);
  Backend& backend = backends_.At(latest);
  const TimePoint now = clock_.Now();
  if (aRun && !aRun->everConfirmed_) {
    LateStart& late = RememberStart(backend.entry_.id_, *aRun);
    if (latest == aBackend && MayRepeatStart(backend, *aRun)) {
      late.hasCopies_ = true;
      SendStart(aBackend, aCommand);
    } else {
      AwaitOutcome(aBackend, *aRun);
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
  BackendRun* run = backend.FindRun(aRun);
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
  if (run && run->startsSent_ > 1) {
    AwaitOutcome(aBackend, *run); // An earlier copy may have been carried out.
    return;
  }
  DropRun(aBackend, aRun, "");
}

}
