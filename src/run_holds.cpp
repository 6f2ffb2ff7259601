#include "run_limits_p.h"
#include "sardinespoke/logging.h"
#include "sardinespoke/run_tracker.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace sardinespoke {

using std::chrono::milliseconds;

bool
RunTracker::MayReachNext(const Backend& aBackend, const BackendRun& aRun) const
{
  const LateStart* late = FindLateStart(aBackend.entry_.id_, aRun.id_);
  return !aRun.everConfirmed_ || aRun.confirmedByNext_ || (late && late->hasCopies_);
}

void
RunTracker::Hold(BackendHandle aBackend, const BackendRun& aRun)
{
  const std::string& id = backends_.At(aBackend).entry_.id_;
  RememberStart(id, aRun).heldFor_ = aBackend;
  Log(LogLevel::Info,
      "run.held",
      { { "task", aRun.id_.task_ },
        { "run", aRun.id_.run_ },
        { "backend", id },
        { "start_age_ms", MillisecondsBetween(aRun.sentAt_, clock_.Now()) } });
}

bool
RunTracker::HoldsTasks() const
{
  return std::any_of(lateStarts_.begin(), lateStarts_.end(), [](const auto& aStarts) {
    return std::any_of(aStarts.second.begin(), aStarts.second.end(), [](const LateStart& aStart) {
      return aStart.heldFor_.IsValid();
    });
  });
}

void
RunTracker::ReleaseHeld(LateStart& aStart, const char* aReason)
{
  const BackendHandle lost = std::exchange(aStart.heldFor_, BackendHandle{});
  const BackendRun& run = aStart.run_;
  Log(LogLevel::Info,
      "run.released",
      { { "task", run.id_.task_ },
        { "run", run.id_.run_ },
        { "backend", backends_.At(lost).entry_.id_ },
        { "reason", aReason },
        { "start_age_ms", MillisecondsBetween(run.sentAt_, clock_.Now()) } });
  // Its job may have been removed since.
  TaskId id;
  TaskRef ref;
  if (TaskId::Parse(run.id_.task_, id) && jobs_.Locate(id, ref)) {
    LoseTask(ref, lost, run.id_.run_, run.checkpoint_);
  }
  changed_ = true;
}

void
RunTracker::ReleaseEnded(BackendHandle aBackend, const EndedTask& aEnd)
{
  LateStart* late = FindLateStart(backends_.At(aBackend).entry_.id_, aEnd.run_);
  if (!late || !late->heldFor_.IsValid()) {
    return;
  }
  if (!aEnd.checkpoint_.empty()) {
    late->run_.checkpoint_ = aEnd.checkpoint_;
  }
  ReleaseHeld(*late, "ended");
}

void
RunTracker::ReleaseReplaced(const std::map<std::string, HostEntry>& aHosts, TimePoint aAskedAt)
{
  for (auto& [id, starts] : lateStarts_) {
    for (LateStart& start : starts) {
      if (!start.heldFor_.IsValid() || aAskedAt <= start.run_.sentAt_) {
        continue;
      }
      const auto host = aHosts.find(backends_.At(start.heldFor_).entry_.host_);
      if (host != aHosts.end() && IsReplaced(host->second, id)) {
        ReleaseHeld(start, "its host has another backend server");
      }
    }
  }
}

void
RunTracker::ReleaseOverdue()
{
  const TimePoint now = clock_.Now();
  for (auto& [id, starts] : lateStarts_) {
    for (LateStart& start : starts) {
      if (start.heldFor_.IsValid() && now - start.run_.sentAt_ > kHoldLimit) {
        ReleaseHeld(start, "not begun in time");
      }
    }
  }
}

std::vector<OpenStart>
RunTracker::OpenStarts() const
{
  std::vector<OpenStart> starts;
  const TimePoint now = clock_.Now();
  const auto add = [&](const BackendEntry& aEntry, const BackendRun& aRun, bool aBlocks) {
    const auto age = std::chrono::floor<milliseconds>(now - aRun.sentAt_);
    starts.push_back(
      OpenStart{ aEntry.id_, aEntry.host_, aRun.id_.task_, aRun.id_.run_, age, aBlocks });
  };
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& backend = backends_.At(handle);
    for (const BackendRun& run : backend.runs_) {
      if (MayReachNext(backend, run)) {
        const Task* task = run.task_ ? &jobs_.At(*run.task_) : nullptr;
        const bool isTasksRun =
          task && task->phase_ == TaskPhase::Active && task->run_ == run.id_.run_;
        add(backend.entry_, run, isTasksRun);
      }
    }
  }
  for (const auto& [id, late] : lateStarts_) {
    const BackendHandle live = backends_.Find(id);
    for (const LateStart& start : late) {
      if (start.heldFor_.IsValid()) {
        add(backends_.At(start.heldFor_).entry_, start.run_, true);
      } else if (!live.IsValid() || !backends_.At(live).FindRun(start.run_.id_)) {
        BackendEntry entry;
        entry.id_ = id;
        add(entry, start.run_, false);
      }
    }
  }
  return starts;
}

void
RunTracker::InheritStart(const OpenStart& aStart)
{
  BackendRun run;
  run.id_ = RunId{ aStart.task_, aStart.run_ };
  run.isAdopted_ = true;
  run.confirmedCpuPercent_ = kUnknownCpuPercent;
  run.phase_ = RunPhase::Uncertain;
  run.sentAt_ = clock_.Now() - aStart.age_;
  run.progressAt_ = clock_.Now();
  TaskId id;
  TaskRef ref;
  const bool isKnown = TaskId::Parse(aStart.task_, id) && jobs_.Locate(id, ref);
  if (!aStart.blocksTask_ || !isKnown || jobs_.At(ref).phase_ != TaskPhase::Waiting ||
      jobs_.At(ref.job_).HasEnded()) {
    RememberStart(aStart.backend_, run);
    return;
  }
  DescribeRun(run, ref);
  const BackendHandle live = backends_.Find(aStart.backend_);
  if (live.IsValid()) {
    jobs_.Activate(ref, aStart.run_, live, run.sentAt_);
    backends_.AddRun(live, std::move(run));
    return;
  }
  BackendEntry entry;
  entry.id_ = aStart.backend_;
  entry.host_ = aStart.host_;
  const BackendHandle ended = backends_.Add(entry);
  backends_.Close(ended);
  jobs_.Activate(ref, aStart.run_, ended, run.sentAt_);
  Hold(ended, run);
}

}
