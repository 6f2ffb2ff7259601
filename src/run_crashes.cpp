#include "sardinespoke/crash_suspects.h"
#include "sardinespoke/logging.h"
#include "sardinespoke/run_tracker.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

// Losses in one rack within this time have one cause.
constexpr milliseconds kSameCauseTime{ 3000 };
// A run on trial is in question for no longer: the trial and the poll that shows its end.
constexpr milliseconds kExposure = CrashSuspects::kTrialTime + milliseconds(100);

}

void
RunTracker::NoteLostHosts(const std::map<std::string, HostEntry>& aHosts, TimePoint aAskedAt)
{
  for (const BackendHandle handle : backends_.Live()) {
    Backend& backend = backends_.At(handle);
    const auto found = aHosts.find(backend.entry_.host_);
    const bool isOlderThanList = backend.verified_ && backend.answeredPollSentAt_ < aAskedAt;
    backend.listedGone_ =
      found != aHosts.end() && isOlderThanList &&
      (found->second.state_ != HostState::Up || found->second.backend_ != backend.entry_.id_);
    if (backend.listedGone_) {
      lostHosts_[backend.entry_.rack_].emplace(backend.entry_.host_, clock_.Now());
    }
  }
}

bool
RunTracker::IsRackLost(const Backend& aBackend)
{
  const TimePoint now = clock_.Now();
  const std::string& rack = aBackend.entry_.rack_;
  std::map<std::string, TimePoint>& lost = lostHosts_[rack];
  std::erase_if(lost, [now](const auto& aHost) { return now - aHost.second > kSameCauseTime; });
  lost[aBackend.entry_.host_] = now;
  if (rack.empty()) {
    return false;
  }
  size_t others = lost.size() - 1;
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& other = backends_.At(handle);
    if (other.entry_.rack_ != rack || lost.count(other.entry_.host_) > 0) {
      continue;
    }
    if (other.failedPolls_ == 0) {
      return false;
    }
    ++others;
  }
  return others > 0;
}

size_t
RunTracker::PoolSize(const std::string& aPool) const
{
  const auto& live = backends_.Live();
  return static_cast<size_t>(std::count_if(live.begin(), live.end(), [&](BackendHandle aHandle) {
    const Backend& backend = backends_.At(aHandle);
    return backend.verified_ && backend.entry_.service_ == aPool;
  }));
}

std::vector<TaskRef>
RunTracker::InQuestion(const Backend& aBackend, bool aMayHaveStarted) const
{
  std::vector<TaskRef> tasks;
  for (const BackendRun& run : aBackend.runs_) {
    if (run.proven_ || !run.task_ || jobs_.At(run.task_->job_).HasEnded() ||
        !(run.everConfirmed_ || aMayHaveStarted)) {
      continue;
    }
    const TaskRef first = jobs_.FirstOfGroup(*run.task_);
    if (std::find(tasks.begin(), tasks.end(), first) == tasks.end()) {
      tasks.push_back(first);
    }
  }
  return tasks;
}

milliseconds
RunTracker::TimeInQuestion(const Backend& aBackend, const TaskRef& aTask) const
{
  const TimePoint end = aBackend.failedPolls_ > 0 ? aBackend.unresponsiveSince_ : clock_.Now();
  TimePoint since = end;
  for (const BackendRun& run : aBackend.runs_) {
    if (!run.proven_ && run.task_ && jobs_.FirstOfGroup(*run.task_) == aTask) {
      since = std::min(since, run.sentAt_);
    }
  }
  return std::chrono::ceil<milliseconds>(end - since);
}

bool
RunTracker::HasAdoptedRun(const Backend& aBackend, const TaskRef& aTask) const
{
  return std::any_of(aBackend.runs_.begin(), aBackend.runs_.end(), [&](const BackendRun& aRun) {
    return aRun.isAdopted_ && aRun.task_ && jobs_.FirstOfGroup(*aRun.task_) == aTask;
  });
}

std::vector<uint32_t>
RunTracker::AttributeLoss(const Backend& aBackend, const char* aReason, IncarnationEnd aEnd)
{
  // A backend server that leaves has not crashed.
  if (aEnd == IncarnationEnd::Planned || aBackend.disruptionStarted_ || aBackend.entry_.draining_) {
    return {};
  }
  const TimePoint now = clock_.Now();
  const std::string& pool = aBackend.entry_.service_;
  const bool isRackLost = IsRackLost(aBackend);
  const bool isCertain = aEnd != IncarnationEnd::Uncertain && aEnd != IncarnationEnd::Replaced;
  const std::vector<TaskRef> tasks = InQuestion(aBackend, aEnd != IncarnationEnd::Replaced);
  const bool isOnTrial = tasks.size() == 1 && jobs_.CrashesOf(tasks.front()) > 0;
  if (!isOnTrial) {
    crashRate_.Add(pool, now);
  }
  std::vector<uint32_t> failedJobs;
  for (const TaskRef& task : tasks) {
    CrashEvidence evidence;
    evidence.crashes_ = jobs_.CrashesOf(task) + 1;
    evidence.inQuestion_ = static_cast<uint32_t>(tasks.size());
    evidence.isWeak_ = isRackLost || !isCertain || HasAdoptedRun(aBackend, task);
    evidence.isContinuous_ = jobs_.SpecOf(task).continuous_;
    if (isOnTrial && !evidence.isWeak_) {
      const milliseconds exposure = std::min(TimeInQuestion(aBackend, task), kExposure);
      evidence.doubt_ =
        jobs_.AddDoubt(task, crashRate_.Chance(pool, PoolSize(pool), exposure, now));
    }
    jobs_.SetCrashes(task, evidence.crashes_);
    ++crashCounts_.attributed_;
    const bool isGivenUp = CrashSuspects::Judge(evidence) == CrashVerdict::GivenUp;
    Log(LogLevel::Info,
        isGivenUp ? "task.given_up" : "task.suspected",
        { { "task", jobs_.IdOf(task).Text() },
          { "backend", aBackend.entry_.id_ },
          { "host", aBackend.entry_.host_ },
          { "reason", aReason },
          { "crashes", evidence.crashes_ },
          { "in_question", evidence.inQuestion_ },
          { "runs", aBackend.runs_.size() },
          { "rack_lost", isRackLost },
          { "weak", evidence.isWeak_ },
          { "doubt", evidence.doubt_ },
          { "certain", isCertain } });
    if (isGivenUp && jobs_.GiveUp(task, now)) {
      ++crashCounts_.givenUp_;
      failedJobs.push_back(task.job_);
    }
  }
  return failedJobs;
}

void
RunTracker::DropAllRuns(BackendHandle aBackend, bool aMayReturn)
{
  const Backend& backend = backends_.At(aBackend);
  while (!backend.runs_.empty()) {
    const BackendRun run = backend.runs_.back();
    backends_.RemoveRun(aBackend, run.id_);
    if (aMayReturn && MayReachNext(backend, run)) {
      Hold(aBackend, run);
    } else if (run.task_) {
      LoseTask(*run.task_, aBackend, run.id_.run_, run.checkpoint_);
    }
    changed_ = true;
  }
}

void
RunTracker::LoseTask(const TaskRef& aTask,
                     BackendHandle aBackend,
                     int64_t aRun,
                     const std::string& aCheckpoint)
{
  if (lease_ == LeaseState::Over) {
    deferredLosses_.push_back(LostRun{ aTask, aBackend, aRun, aCheckpoint });
  } else {
    ReleaseTask(aTask, aBackend, aRun, aCheckpoint);
  }
}

void
RunTracker::ObserveWork(BackendRun& aRun, int64_t aClock)
{
  if (aRun.confirmedClock_ == 0) {
    aRun.confirmedClock_ = aClock;
  }
  const milliseconds worked{ aClock - aRun.confirmedClock_ };
  if (!aRun.proven_ && CrashSuspects::IsProven(worked)) {
    aRun.proven_ = true;
    changed_ = true; // A suspect may wait for this.
    if (aRun.task_) {
      jobs_.EndTrial(*aRun.task_);
    }
  }
  if (aRun.task_ && CrashSuspects::IsCleared(worked) && jobs_.CrashesOf(*aRun.task_) > 0) {
    Log(LogLevel::Info,
        "task.cleared",
        { { "task", aRun.id_.task_ },
          { "run", aRun.id_.run_ },
          { "crashes", jobs_.CrashesOf(*aRun.task_) },
          { "worked_ms", worked.count() } });
    jobs_.SetCrashes(*aRun.task_, 0);
    ++crashCounts_.cleared_;
  }
}

bool
RunTracker::SettleTrial(const TaskRef& aTask)
{
  if (!jobs_.IsInTrial(aTask)) {
    return true;
  }
  // An earlier leader started it alone and no backend server knows of that run.
  CrashEvidence evidence;
  evidence.crashes_ = jobs_.CrashesOf(aTask) + 1;
  evidence.isWeak_ = true;
  evidence.isContinuous_ = jobs_.SpecOf(aTask).continuous_;
  jobs_.SetCrashes(aTask, evidence.crashes_);
  jobs_.EndTrial(aTask);
  ++crashCounts_.attributed_;
  const bool isGivenUp = CrashSuspects::Judge(evidence) == CrashVerdict::GivenUp;
  Log(LogLevel::Info,
      isGivenUp ? "task.given_up" : "task.suspected",
      { { "task", jobs_.IdOf(aTask).Text() },
        { "reason", "its run under an earlier leader is gone" },
        { "crashes", evidence.crashes_ } });
  if (isGivenUp && jobs_.GiveUp(aTask, clock_.Now())) {
    ++crashCounts_.givenUp_;
    StopJob(aTask.job_);
  }
  return !isGivenUp;
}

}
