#include "sardinespoke/job_control.h"

#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

// Best-effort tasks get no processor time once a task was above its latency target for this long.
constexpr milliseconds kAboveTargetTime{ 600 };
constexpr uint32_t kFullCpuPercent = 100;
// They get processor time back once every task was well below its latency target for this long.
constexpr milliseconds kBelowTargetTime{ 3000 };
constexpr int64_t kNearTargetPercent = 80;
constexpr uint32_t kThrottleStepPercent = 25;

}

void
JobControl::ThrottleBestEffort(BackendHandle aBackend)
{
  Backend& backend = backends_.At(aBackend);
  const uint32_t percent = backend.bestEffortCpuPercent_;
  for (BackendRun& run : backend.runs_) {
    if (!run.isBestEffort_ || run.confirmedCpuPercent_ == percent || run.throttleInFlight_ ||
        run.phase_ != RunPhase::Running) {
      continue;
    }
    run.throttleInFlight_ = true;
    Log(LogLevel::Info,
        "run.throttled",
        { { "task", run.id_.task_ }, { "backend", backend.entry_.id_ }, { "percent", percent } });
    const RunId id = run.id_;
    const std::weak_ptr<bool> alive = alive_;
    commands_.Throttle(ThrottleCommand{ backend.Address(), id, percent, backend.fencingToken_ },
                       [this, alive, aBackend, id, percent](const CommandResult& aResult) {
                         BackendRun* throttled =
                           alive.lock() ? backends_.At(aBackend).FindRun(id) : nullptr;
                         if (!throttled) {
                           return;
                         }
                         throttled->throttleInFlight_ = false;
                         if (aResult.outcome_ == CommandOutcome::Done) {
                           throttled->confirmedCpuPercent_ = percent;
                         }
                       });
  }
}

void
JobControl::UpdateBestEffortLimit(Backend& aBackend)
{
  const TimePoint now = clock_.Now();
  bool hasTarget = false;
  bool violated = false;
  bool nearTarget = false;
  for (BackendRun& run : aBackend.runs_) {
    if (!run.hasLatencyTarget_ || !run.task_) {
      continue;
    }
    hasTarget = true;
    const int64_t target = jobs_.SpecOf(*run.task_).latencyTarget_.count();
    const bool above = run.load_ > target;
    if (above && !run.aboveTarget_) {
      run.aboveTargetSince_ = now;
    }
    run.aboveTarget_ = above;
    nearTarget = nearTarget || run.load_ * 100 > target * kNearTargetPercent;
    violated = violated || (above && now - run.aboveTargetSince_ >= kAboveTargetTime);
  }
  if (nearTarget) {
    aBackend.belowTargetSince_ = now;
  }
  if (!hasTarget) {
    aBackend.bestEffortCpuPercent_ = kFullCpuPercent;
  } else if (violated) {
    aBackend.bestEffortCpuPercent_ = 0;
  } else if (aBackend.bestEffortCpuPercent_ < kFullCpuPercent &&
             now - aBackend.belowTargetSince_ >= kBelowTargetTime) {
    // Raised in steps: the effect of a best-effort task on latencies shows only while it runs.
    aBackend.bestEffortCpuPercent_ =
      std::min(aBackend.bestEffortCpuPercent_ + kThrottleStepPercent, kFullCpuPercent);
    aBackend.belowTargetSince_ = now;
  }
}

void
JobControl::EnforceLatencyTargets()
{
  for (const BackendHandle handle : backends_.Live()) {
    UpdateBestEffortLimit(backends_.At(handle));
    ThrottleBestEffort(handle);
  }
}

}
