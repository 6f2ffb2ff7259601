#include "sardinespoke/backend_table.h"

#include <algorithm>

namespace sardinespoke {

namespace {

void
AdjustBy(Resources& aUsed, const Resources& aUse, int64_t aSign)
{
  aUsed.cpuMilli_ += aSign * aUse.cpuMilli_;
  aUsed.memoryMb_ += aSign * aUse.memoryMb_;
  aUsed.accelerators_ += aSign * aUse.accelerators_;
}

}

int64_t
Backend::ClockNow(TimePoint aNow) const
{
  // The clock of a backend server may be 2 % slow.
  constexpr int64_t kMinClockRatePercent = 98;
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(aNow - clockAt_);
  return clock_ + since.count() * kMinClockRatePercent / 100;
}

bool
Backend::IsFromNext(TimePoint aSent, const CommandResult& aResult) const
{
  if (aResult.startTimeMs_ != 0 && entry_.startTimeMs_ != 0) {
    return aResult.startTimeMs_ != entry_.startTimeMs_;
  }
  constexpr int64_t kRoundingMs = 20;
  // Clocks differ by up to 2 %: each direction from the last reading takes the lower bound.
  constexpr int64_t kMaxClockRatePercent = 102;
  const auto before = std::chrono::duration_cast<std::chrono::milliseconds>(clockAt_ - aSent);
  const int64_t lowest =
    aSent >= clockAt_ ? ClockNow(aSent) : clock_ - before.count() * kMaxClockRatePercent / 100;
  return clock_ != 0 && aResult.clock_ != 0 && aResult.clock_ < lowest - kRoundingMs;
}

BackendRun*
Backend::FindRun(const RunId& aRun)
{
  for (BackendRun& run : runs_) {
    if (run.id_ == aRun) {
      return &run;
    }
  }
  return nullptr;
}

bool
Backend::Fits(const Resources& aNeed) const
{
  const Resources& all = entry_.capacity_;
  return runsOfUnknownSize_ == 0 && used_.cpuMilli_ + aNeed.cpuMilli_ <= all.cpuMilli_ &&
         used_.memoryMb_ + aNeed.memoryMb_ <= all.memoryMb_ &&
         used_.accelerators_ + aNeed.accelerators_ <= all.accelerators_;
}

bool
Backend::MeetsConstraints(const TaskRef& aTask, const StepSpec& aSpec) const
{
  if (!aSpec.requiredLabel_.empty()) {
    const auto& labels = entry_.labels_;
    if (std::find(labels.begin(), labels.end(), aSpec.requiredLabel_) == labels.end()) {
      return false;
    }
  }
  if (aSpec.maxPerServer_ == 0) {
    return true;
  }
  const auto same = std::count_if(runs_.begin(), runs_.end(), [&](const BackendRun& aRun) {
    return aRun.task_ && aRun.task_->job_ == aTask.job_ &&
           aRun.task_->occurrence_ == aTask.occurrence_ && aRun.task_->step_ == aTask.step_;
  });
  return same < aSpec.maxPerServer_;
}

BackendHandle
BackendTable::Add(const BackendEntry& aEntry)
{
  auto backend = std::make_unique<Backend>();
  backend->entry_ = aEntry;
  const BackendHandle handle{ static_cast<uint32_t>(backends_.size()) };
  backends_.push_back(std::move(backend));
  live_.push_back(handle);
  byId_[aEntry.id_] = handle;
  hostIndexValid_ = false;
  return handle;
}

BackendHandle
BackendTable::Find(const std::string& aId) const
{
  const auto found = byId_.find(aId);
  return found == byId_.end() ? BackendHandle{} : found->second;
}

BackendHandle
BackendTable::Latest(BackendHandle aBackend) const
{
  while (At(aBackend).next_.IsValid()) {
    aBackend = At(aBackend).next_;
  }
  return aBackend;
}

void
BackendTable::Close(BackendHandle aBackend)
{
  Backend& backend = At(aBackend);
  backend.hasEnded_ = true;
  backend.runs_.clear();
  backend.runs_.shrink_to_fit();
  backend.used_ = Resources{};
  backend.runsOfUnknownSize_ = 0;
  backend.continuousRuns_ = 0;
  backend.bestEffortRuns_ = 0;
  backend.latencyTargetRuns_ = 0;
  live_.erase(std::remove(live_.begin(), live_.end(), aBackend), live_.end());
  const auto found = byId_.find(backend.entry_.id_);
  if (found != byId_.end() && found->second == aBackend) {
    byId_.erase(found);
  }
  hostIndexValid_ = false;
}

BackendHandle
BackendTable::OnHost(const std::string& aHost) const
{
  if (!hostIndexValid_) {
    byHost_.clear();
    const auto rank = [this](BackendHandle aHandle) {
      const Backend& backend = At(aHandle);
      return std::make_pair(backend.registered_, backend.verified_);
    };
    for (const BackendHandle handle : live_) {
      const auto [known, isFirst] = byHost_.emplace(At(handle).entry_.host_, handle);
      if (!isFirst && rank(handle) > rank(known->second)) {
        known->second = handle;
      }
    }
    hostIndexValid_ = true;
  }
  const auto found = byHost_.find(aHost);
  return found == byHost_.end() ? BackendHandle{} : found->second;
}

void
BackendTable::CountRun(Backend& aBackend, const BackendRun& aRun, int32_t aSign)
{
  AdjustBy(aBackend.used_, aRun.resources_, aSign);
  aBackend.runsOfUnknownSize_ += aRun.isSizeUnknown_ ? aSign : 0;
  aBackend.continuousRuns_ += aRun.isContinuous_ ? aSign : 0;
  aBackend.bestEffortRuns_ += aRun.isBestEffort_ ? aSign : 0;
  aBackend.latencyTargetRuns_ += aRun.hasLatencyTarget_ ? aSign : 0;
}

void
BackendTable::AddRun(BackendHandle aBackend, BackendRun aRun)
{
  Backend& backend = At(aBackend);
  CountRun(backend, aRun, 1);
  backend.runs_.push_back(std::move(aRun));
}

void
BackendTable::RemoveRun(BackendHandle aBackend, const RunId& aRun)
{
  Backend& backend = At(aBackend);
  const BackendRun* run = backend.FindRun(aRun);
  if (!run) {
    return;
  }
  CountRun(backend, *run, -1);
  backend.runs_.erase(backend.runs_.begin() + (run - backend.runs_.data()));
}

}
