#include "sardinespoke/run_tracker.h"

#include "run_limits_p.h"
#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <unordered_map>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr char kHostTaken[] = "a newer backend server has its host";
constexpr char kAddressTaken[] = "a newer backend server has its address";

/// A backend server that crashes comes back on its host. One whose address belongs to another host
/// has been replaced, which tells nothing about its tasks.
IncarnationEnd
EndOfTakenAddress(bool aIsHostKnown)
{
  return aIsHostKnown ? IncarnationEnd::Planned : IncarnationEnd::Unplanned;
}

}

void
RunTracker::CheckRestart(BackendHandle aBackend, const BackendEntry& aEntry)
{
  Backend& backend = backends_.At(aBackend);
  backend.registered_ = true;
  if (backend.successor_ && backend.successor_->startTimeMs_ == aEntry.startTimeMs_) {
    backend.successor_ = aEntry;
    return;
  }
  // An entry may come from another writer: only the answer to a poll shows that its runs are gone.
  backend.successor_ = aEntry;
  backend.recorded_ = backend.recorded_ && backend.entry_.address_ == aEntry.address_;
  backend.entry_.address_ = aEntry.address_;
  backend.verified_ = false;
  // The answer to an earlier poll may be of the incarnation that has ended.
  backend.restartSuspectedAt_ = clock_.Now();
  SendPoll(aBackend);
}

void
RunTracker::EndReplacedBy(BackendHandle aBackend)
{
  const BackendEntry newer = backends_.At(aBackend).entry_;
  const auto live = backends_.Live();
  for (const BackendHandle handle : live) {
    const BackendEntry& entry = backends_.At(handle).entry_;
    if (entry.startTimeMs_ == 0 || entry.startTimeMs_ >= newer.startTimeMs_) {
      continue;
    }
    const bool isHostKnown = !entry.host_.empty() && !newer.host_.empty();
    if (isHostKnown && entry.host_ == newer.host_) {
      EndIncarnation(handle, kHostTaken);
    } else if (entry.address_ == newer.address_) {
      EndIncarnation(handle, kAddressTaken, EndOfTakenAddress(isHostKnown));
    }
  }
}

void
RunTracker::EndReplacedIncarnations()
{
  // A host or an address has one backend server at a time; a newer one that answers means that the
  // earlier one has ended. An entry alone may come from another writer.
  std::unordered_map<std::string, int64_t> newest;
  const auto recordStart = [&newest](const std::string& aPlace, int64_t aStartTimeMs) {
    int64_t& startTimeMs = newest[aPlace];
    startTimeMs = std::max(startTimeMs, aStartTimeMs);
  };
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& backend = backends_.At(handle);
    if (!backend.registered_ || !backend.verified_) {
      continue;
    }
    recordStart(backend.entry_.address_, backend.entry_.startTimeMs_);
    if (!backend.entry_.host_.empty()) {
      recordStart(backend.entry_.host_, backend.entry_.startTimeMs_);
    }
  }
  const auto live = backends_.Live();
  for (const BackendHandle handle : live) {
    const BackendEntry& entry = backends_.At(handle).entry_;
    if (entry.startTimeMs_ == 0) {
      continue;
    }
    const bool isHostKnown = !entry.host_.empty();
    if (isHostKnown && newest[entry.host_] > entry.startTimeMs_) {
      EndIncarnation(handle, kHostTaken);
    } else if (newest[entry.address_] > entry.startTimeMs_) {
      EndIncarnation(handle, kAddressTaken, EndOfTakenAddress(isHostKnown));
    }
  }
}

bool
RunTracker::SuspectRestart(BackendHandle aBackend, TimePoint aSent, const CommandResult& aResult)
{
  Backend& backend = backends_.At(aBackend);
  if (aResult.outcome_ == CommandOutcome::OtherIncarnation || !backend.IsFromNext(aSent, aResult)) {
    return false;
  }
  if (!backend.restartSuspectedAt_) {
    Log(LogLevel::Info,
        "backend.restart_suspected",
        { { "backend", backend.entry_.id_ },
          { "clock_ms", aResult.clock_ },
          { "known_clock_ms", backend.clock_ } });
    backend.restartSuspectedAt_ = clock_.Now();
    SendPoll(aBackend);
  }
  return true;
}

BackendHandle
RunTracker::BeginNext(BackendHandle aBackend, const BackendEntry& aEntry, const char* aReason)
{
  const BackendHandle next = AddIncarnation(aEntry);
  Backend& earlier = backends_.At(aBackend);
  Backend& backend = backends_.At(next);
  // It may be of another kind, so that it gets no work before the registry lists it.
  backend.registered_ = earlier.registered_ && earlier.successor_ &&
                        earlier.successor_->startTimeMs_ == aEntry.startTimeMs_;
  backend.unreconciled_ = earlier.unreconciled_;
  size_t carried = 0;
  for (const BackendRun& run : earlier.runs_) {
    // The others have ended with the incarnation that ran them.
    if (MayReachNext(earlier, run)) {
      CarryOver(run, aBackend, next);
      ++carried;
    }
  }
  Log(LogLevel::Info,
      "backend.restarted",
      { { "backend", backend.entry_.id_ }, { "carried", carried } });
  // The record leads a later leader to the next incarnation as well.
  backend.recorded_ = earlier.recorded_ && earlier.entry_.address_ == backend.entry_.address_;
  earlier.recorded_ = false;
  EndIncarnation(aBackend, aReason);
  if (aEntry.startTimeMs_ < earlier.entry_.startTimeMs_) {
    // Another writer's entry had named a later start: it must not bar the real backend server.
    endedIncarnations_.erase(aEntry.id_);
  }
  earlier.next_ = next;
  std::replace(inheritedWitnesses_.begin(), inheritedWitnesses_.end(), aBackend, next);
  for (BackendRun& run : backend.runs_) {
    if (run.phase_ == RunPhase::Uncertain || run.phase_ == RunPhase::Stopping) {
      Stop(next, run);
    }
  }
  SendPoll(next);
  return next;
}

void
RunTracker::CarryOver(BackendRun aRun, BackendHandle aFrom, BackendHandle aTo)
{
  if (aRun.everConfirmed_ && !aRun.confirmedByNext_) {
    // The earlier incarnation has carried out one copy of its start, the next one may get another.
    aRun.everConfirmed_ = false;
    aRun.phase_ = RunPhase::Uncertain;
  }
  aRun.confirmedByNext_ = false;
  aRun.stopDone_ = false;
  aRun.throttleInFlight_ = false;
  aRun.progressAt_ = clock_.Now();
  if (aRun.task_) {
    jobs_.AddService(jobs_.At(aRun.task_->job_), backends_.At(aTo).entry_.service_);
    Task& task = jobs_.At(*aRun.task_);
    if (task.phase_ == TaskPhase::Active && task.run_ == aRun.id_.run_ && task.backend_ == aFrom) {
      task.backend_ = aTo;
    }
  }
  backends_.AddRun(aTo, std::move(aRun));
}

const RunTracker::LateStart*
RunTracker::FindLateStart(const std::string& aBackend, const RunId& aRun) const
{
  const auto starts = lateStarts_.find(aBackend);
  if (starts == lateStarts_.end()) {
    return nullptr;
  }
  for (const LateStart& start : starts->second) {
    if (start.run_.id_ == aRun) {
      return &start;
    }
  }
  return nullptr;
}

RunTracker::LateStart*
RunTracker::FindLateStart(const std::string& aBackend, const RunId& aRun)
{
  return const_cast<LateStart*>(std::as_const(*this).FindLateStart(aBackend, aRun));
}

RunTracker::LateStart&
RunTracker::RememberStart(const std::string& aBackend, const BackendRun& aRun)
{
  LateStart* known = FindLateStart(aBackend, aRun.id_);
  LateStart& start = known ? *known : lateStarts_[aBackend].emplace_back();
  start.run_ = aRun;
  return start;
}

void
RunTracker::SettleLateStart(BackendHandle aBackend, const RunId& aRun)
{
  const auto starts = lateStarts_.find(backends_.At(aBackend).entry_.id_);
  if (starts == lateStarts_.end()) {
    return;
  }
  for (LateStart& start : starts->second) {
    start.stoppedOn_ = start.run_.id_ == aRun ? aBackend : start.stoppedOn_;
  }
  std::erase_if(starts->second, [&aRun](const LateStart& aStart) {
    return aStart.run_.id_ == aRun && !aStart.hasCopies_ && !aStart.heldFor_.IsValid();
  });
  if (starts->second.empty()) {
    lateStarts_.erase(starts);
  }
}

void
RunTracker::ForgetOldLateStarts()
{
  const TimePoint now = clock_.Now();
  for (auto& [id, starts] : lateStarts_) {
    std::erase_if(starts, [now](const LateStart& aStart) {
      return now - aStart.run_.sentAt_ > kLateCommandLimit;
    });
  }
  std::erase_if(lateStarts_, [](const auto& aStarts) { return aStarts.second.empty(); });
}

void
RunTracker::StopLateStarts(BackendHandle aBackend, int64_t aToken, const PollResult& aResult)
{
  Backend& backend = backends_.At(aBackend);
  const auto starts = lateStarts_.find(backend.entry_.id_);
  if (starts == lateStarts_.end()) {
    return;
  }
  for (LateStart& start : starts->second) {
    const bool isRefused = start.stoppedOn_ == aBackend || start.run_.fencingToken_ < aToken ||
                           aResult.clock_ > start.run_.deadline_;
    if (start.heldFor_.IsValid()) {
      if (isRefused && !aResult.hasMoreEnds_) {
        ReleaseHeld(start, "refused from now on");
      }
      continue; // If it begins first, it goes on.
    }
    if (isRefused || backend.FindRun(start.run_.id_)) {
      continue;
    }
    BackendRun run = start.run_;
    // Its job may have been removed since.
    TaskId id;
    TaskRef ref;
    run.task_.reset();
    if (TaskId::Parse(run.id_.task_, id) && jobs_.Locate(id, ref)) {
      run.task_ = ref;
    }
    backends_.AddRun(aBackend, run);
    Stop(aBackend, *backend.FindRun(run.id_));
  }
}

}
