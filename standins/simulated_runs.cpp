#include "simulated_fleet.h"

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCheckpointInterval{ 500 }; // Of work.
constexpr milliseconds kRestartTime{ 2500 };       // Of a backend server after a crash.

}

void
SimulatedFleet::KillRuns(Server& aServer)
{
  std::vector<Run> killed;
  killed.swap(aServer.runs_);
  for (const Run& run : killed) {
    EndGang(run, RunOutcome::GroupMemberEnded);
  }
}

void
SimulatedFleet::EndServer(Server& aServer, milliseconds aPollDelay)
{
  aServer.alive_ = false;
  KillRuns(aServer);
  FailPendingPolls(aServer, aPollDelay);
  ScheduleEntryRemoval(aServer.entry_.id_);
}

void
SimulatedFleet::CrashForSeconds(Server& aServer)
{
  EndServer(aServer, kLatency);
  hosts_.at(aServer.entry_.host_).backend_.clear();
  events_.ScheduleAfter(kRestartTime, [this, host = aServer.entry_.host_] {
    if (hosts_.count(host) > 0) {
      Boot(host);
    }
  });
}

void
SimulatedFleet::CrashForSeconds(const std::string& aPool, size_t aIndex)
{
  const auto server = servers_.find(hosts_.at(HostOf(aPool, aIndex)).backend_);
  if (server != servers_.end()) {
    CrashForSeconds(server->second);
  }
}

bool
SimulatedFleet::CrashIfDue(Server& aServer)
{
  const TimePoint now = clock_.Now();
  const bool due = std::any_of(aServer.runs_.begin(), aServer.runs_.end(), [now](const Run& aRun) {
    const milliseconds delay = aRun.shape_.crashesAfter_;
    return delay > milliseconds(0) && now - aRun.begin_ >= delay;
  });
  if (due) {
    CrashForSeconds(aServer);
  }
  return due;
}

size_t
SimulatedFleet::StartsOf(const std::string& aTask) const
{
  const auto found = startsOf_.find(aTask);
  return found == startsOf_.end() ? 0 : found->second;
}

void
SimulatedFleet::EndRun(Server& aServer, size_t aRun, RunOutcome aKind)
{
  if (aKind == RunOutcome::Stopped) {
    SaveCheckpoint(aServer.runs_[aRun]);
  }
  const Run run = aServer.runs_[aRun];
  aServer.runs_.erase(aServer.runs_.begin() + static_cast<ptrdiff_t>(aRun));
  int64_t& highest = aServer.stopped_[run.task_];
  highest = std::max(highest, run.run_);
  const bool isDone = aKind == RunOutcome::Done;
  aServer.ended_.push_back(EndedTask{
    aServer.nextEnd_++, RunId{ run.task_, run.run_ }, aKind, isDone ? "" : run.checkpoint_ });
  EndGang(run, isDone ? RunOutcome::Done : RunOutcome::GroupMemberEnded);
}

void
SimulatedFleet::EndGang(const Run& aRun, RunOutcome aKind)
{
  TaskId id;
  if (!aRun.shape_.gang_ || !TaskId::Parse(aRun.task_, id)) {
    return;
  }
  const std::string members = id.StepText() + ".";
  for (auto& [serverId, server] : servers_) {
    const auto member =
      std::find_if(server.runs_.begin(), server.runs_.end(), [&](const Run& aOther) {
        return aOther.run_ == aRun.run_ && aOther.task_.rfind(members, 0) == 0;
      });
    if (member != server.runs_.end()) {
      // Ends the rest of the gang in turn.
      EndRun(server, static_cast<size_t>(member - server.runs_.begin()), aKind);
      return;
    }
  }
}

void
SimulatedFleet::SaveCheckpoint(Run& aRun)
{
  if (!aRun.shape_.checkpointing_) {
    return;
  }
  aRun.checkpoint_ = checkpoints_.Save(aRun.task_, aRun.progress_);
  aRun.savedProgress_ = aRun.progress_;
}

void
SimulatedFleet::AdvanceRuns(Server& aServer)
{
  const TimePoint now = clock_.Now();
  for (size_t index = aServer.runs_.size(); index-- > 0;) {
    if (index >= aServer.runs_.size()) {
      continue; // The end of a gang has ended several runs.
    }
    Run& run = aServer.runs_[index];
    if (now >= aServer.leaseEnd_) {
      EndRun(aServer, index, RunOutcome::LeaseExpired);
      continue;
    }
    if (run.stopping_ && now >= run.stopAt_) {
      EndRun(aServer, index, RunOutcome::Stopped);
      continue;
    }
    const double worked = std::chrono::duration<double>(now - run.progressedAt_).count();
    run.progressedAt_ = now;
    const bool runsOn = run.shape_.continuous_ && !run.shape_.ownEnd_;
    if (aServer.behaviour_.hangs_ || runsOn) {
      continue;
    }
    const double durationSeconds = std::chrono::duration<double>(run.shape_.duration_).count();
    run.progress_ += worked / durationSeconds / aServer.behaviour_.slowdown_;
    const double interval = std::chrono::duration<double>(kCheckpointInterval).count();
    if (run.progress_ - run.savedProgress_ >= interval / durationSeconds) {
      SaveCheckpoint(run);
    }
    const bool fails = run.shape_.fails_ || aServer.behaviour_.failsAll_;
    constexpr double kFailsAt = 0.3;
    if (fails && run.progress_ >= kFailsAt) {
      EndRun(aServer, index, RunOutcome::Failed);
    } else if (run.progress_ >= 1.0) {
      EndRun(aServer, index, run.shape_.ownEnd_.value_or(RunOutcome::Done));
    }
  }
}

void
SimulatedFleet::Step()
{
  for (auto& [id, server] : servers_) {
    if (!server.alive_ || CrashIfDue(server)) {
      continue;
    }
    AdvanceRuns(server);
    for (size_t index = server.pendingPolls_.size(); index-- > 0;) {
      const bool due = clock_.Now() >= server.pendingPolls_[index].until_ || !server.ended_.empty();
      if (!due) {
        continue;
      }
      const auto done = server.pendingPolls_[index].done_;
      server.pendingPolls_.erase(server.pendingPolls_.begin() + static_cast<ptrdiff_t>(index));
      const bool unresponsive = server.behaviour_.unresponsive_ || server.behaviour_.losesAnswers_;
      const PollResult pollResult = MakePollResult(server);
      events_.ScheduleAfter(
        kLatency + server.behaviour_.waitedPollDelay_,
        [done, pollResult, unresponsive] { done(unresponsive ? PollResult() : pollResult); });
    }
  }
}

}
