#include "sardinespoke/suspect_placement.h"

#include "sardinespoke/crash_suspects.h"
#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

namespace {

// A reservation ends unless a later round of the scheduler renews it.
constexpr std::chrono::milliseconds kReservationTime{ 600 };

bool
HoldsSuspect(const Backend& aBackend)
{
  return std::any_of(aBackend.runs_.begin(), aBackend.runs_.end(), [](const BackendRun& aRun) {
    return aRun.isSuspect_ && !aRun.proven_;
  });
}

/// @returns Whether a task fits there once the runs in question have ended.
bool
WillFit(const Backend& aBackend, const Resources& aNeed)
{
  Resources sum = aNeed;
  for (const BackendRun& run : aBackend.runs_) {
    if (run.proven_) {
      sum.cpuMilli_ += run.resources_.cpuMilli_;
      sum.memoryMb_ += run.resources_.memoryMb_;
      sum.accelerators_ += run.resources_.accelerators_;
    }
  }
  const Resources& all = aBackend.entry_.capacity_;
  return sum.cpuMilli_ <= all.cpuMilli_ && sum.memoryMb_ <= all.memoryMb_ &&
         sum.accelerators_ <= all.accelerators_;
}

}

SuspectPlacement::SuspectPlacement(BackendTable& aBackends, const ClockI& aClock)
  : backends_(aBackends)
  , clock_(aClock)
{
}

bool
SuspectPlacement::IsReserved(const Backend& aBackend) const
{
  return aBackend.reservedUntil_ > clock_.Now();
}

bool
SuspectPlacement::IsInUse(const Backend& aBackend) const
{
  return IsReserved(aBackend) || HoldsSuspect(aBackend);
}

bool
SuspectPlacement::IsClaimed(BackendHandle aBackend) const
{
  return std::find(claimed_.begin(), claimed_.end(), aBackend) != claimed_.end();
}

bool
SuspectPlacement::Admits(const Backend& aBackend) const
{
  return !IsInUse(aBackend);
}

bool
SuspectPlacement::IsClean(const Backend& aBackend)
{
  return std::all_of(aBackend.runs_.begin(), aBackend.runs_.end(), [](const BackendRun& aRun) {
    return aRun.proven_;
  });
}

void
SuspectPlacement::Reserve(BackendHandle aBackend)
{
  Backend& backend = backends_.At(aBackend);
  if (!IsReserved(backend)) {
    Log(LogLevel::Info,
        "backend.reserved",
        { { "backend", backend.entry_.id_ }, { "runs", backend.runs_.size() } });
  }
  backend.reservedUntil_ = clock_.Now() + kReservationTime;
  claimed_.push_back(aBackend);
}

BackendHandle
SuspectPlacement::Place(const std::vector<BackendHandle>& aPool,
                        const std::vector<BackendHandle>& aEligible,
                        const Resources& aNeed)
{
  const auto inUse =
    std::count_if(aPool.begin(), aPool.end(), [this](const BackendHandle& aHandle) {
      return IsInUse(backends_.At(aHandle));
    });
  const bool mayUseMore =
    static_cast<uint32_t>(inUse) < CrashSuspects::MostTrials(static_cast<uint32_t>(aPool.size()));
  BackendHandle place;
  BackendHandle later;
  // A crash should end as little as possible.
  const auto isBetter = [this](BackendHandle aLeft, BackendHandle aRight) {
    const Backend& left = backends_.At(aLeft);
    const Backend& right = backends_.At(aRight);
    const bool isReserved = IsReserved(left);
    return isReserved == IsReserved(right) ? left.runs_.size() < right.runs_.size() : isReserved;
  };
  for (const BackendHandle handle : aEligible) {
    const Backend& backend = backends_.At(handle);
    const bool mayUse = !HoldsSuspect(backend) && (mayUseMore || IsReserved(backend));
    if (!mayUse) {
      continue;
    }
    if (IsClean(backend) && backend.Fits(aNeed)) {
      place = !place.IsValid() || isBetter(handle, place) ? handle : place;
    } else if (!IsClaimed(handle) && WillFit(backend, aNeed)) {
      later = !later.IsValid() || isBetter(handle, later) ? handle : later;
    }
  }
  if (!place.IsValid() && later.IsValid()) {
    Reserve(later);
  }
  return place;
}

}
