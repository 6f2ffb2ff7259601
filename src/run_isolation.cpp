#include "run_limits_p.h"
#include "sardinespoke/logging.h"
#include "sardinespoke/run_tracker.h"
#include "sardinespoke/witness_quorum.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace sardinespoke {

using std::chrono::milliseconds;

milliseconds
RunTracker::WitnessAge() const
{
  // A successor waits for the longest lease from when it has reached half of the witnesses. Until
  // then this leader must have stopped, and the last lease that it has asked for must be over.
  return std::min(WitnessQuorum::kWitnessAge, limits_.holdMax_ - limits_.leaseTime_);
}

void
RunTracker::SetLeaseState(LeaseState aState)
{
  const LeaseState before = lease_;
  lease_ = aState;
  if (aState == LeaseState::Over && before != aState) {
    leaseOverSince_ = clock_.Now();
    const auto& live = backends_.Live();
    // One whose record is being written may be known to a successor.
    witnesses_ = static_cast<size_t>(
      std::count_if(live.begin(), live.end(), [this](const BackendHandle& aHandle) {
        const Backend& backend = backends_.At(aHandle);
        return backend.recorded_ || backend.verified_;
      }));
    Log(LogLevel::Warn,
        "leader.lease_uncertain",
        { { "witnesses", witnesses_ }, { "fresh", FreshWitnesses() } });
  }
  if (before == LeaseState::Over && before != aState) {
    Log(LogLevel::Info, "leader.lease_certain", { { "losses_deferred", deferredLosses_.size() } });
    ReleaseDeferredLosses();
  }
  UpdateMayExtend();
}

size_t
RunTracker::FreshWitnesses() const
{
  const TimePoint now = clock_.Now();
  const auto& live = backends_.Live();
  return static_cast<size_t>(
    std::count_if(live.begin(), live.end(), [this, now](const BackendHandle& aHandle) {
      const Backend& backend = backends_.At(aHandle);
      return backend.recorded_ && backend.verified_ &&
             now - backend.answeredPollSentAt_ <= WitnessAge();
    }));
}

void
RunTracker::UpdateMayExtend()
{
  const TimePoint now = clock_.Now();
  const bool mayExtend =
    lease_ != LeaseState::Over || (WitnessQuorum::MayContinue(FreshWitnesses(), witnesses_) &&
                                   now - leaseOverSince_ <= WitnessQuorum::kIsolationLimit);
  if (mayExtend != mayExtendRuns_) {
    Log(LogLevel::Warn,
        mayExtend ? "leader.continues" : "leader.isolated",
        { { "witnesses", witnesses_ }, { "fresh", FreshWitnesses() } });
    mayExtendRuns_ = mayExtend;
    changed_ = true;
  }
}

void
RunTracker::CheckTakeover()
{
  const TimePoint now = clock_.Now();
  size_t witnesses = 0;
  size_t reached = 0;
  for (const BackendHandle handle : inheritedWitnesses_) {
    const Backend& backend = backends_.At(handle);
    if (backend.hasEnded_) {
      continue;
    }
    ++witnesses;
    reached += backend.verified_ ? 1 : 0;
  }
  const bool isLate = now - leaderSince_ > WitnessQuorum::kTakeoverLimit;
  if (!isLate && !WitnessQuorum::MayTakeOver(reached, witnesses)) {
    return;
  }
  hasTakenOver_ = true;
  for (const BackendHandle handle : inheritedWitnesses_) {
    Backend& backend = backends_.At(handle);
    if (backend.unreconciled_ && !backend.hasInheritedLease_) {
      backend.leaseEnd_ = now + WithClockDrift(limits_.holdMax_);
    }
  }
  Log(LogLevel::Info,
      "leader.takes_over",
      { { "witnesses", witnesses },
        { "reached", reached },
        { "after_ms", MillisecondsBetween(leaderSince_, now) } });
}

void
RunTracker::InheritLease(BackendHandle aBackend, milliseconds aRemaining)
{
  Backend& backend = backends_.At(aBackend);
  backend.leaseEnd_ = leaderSince_ + aRemaining;
  backend.hasInheritedLease_ = true;
}

Handover
RunTracker::MakeHandover() const
{
  Handover handover;
  handover.openStarts_ = OpenStarts();
  handover.LimitOpenStarts();
  // Before that, an earlier leader may still renew leases.
  if (!hasTakenOver_ || lease_ == LeaseState::Over) {
    return handover;
  }
  const TimePoint now = clock_.Now();
  for (const BackendHandle handle : backends_.Live()) {
    const Backend& backend = backends_.At(handle);
    if (!backend.recorded_) {
      continue;
    }
    const auto remaining = std::chrono::ceil<milliseconds>(backend.leaseEnd_ - now);
    handover.remainingLeases_[backend.entry_.id_] = std::max(remaining, milliseconds(0));
  }
  return handover;
}

bool
RunTracker::LacksContact(const Backend& aBackend) const
{
  // Leaves time for the response.
  const milliseconds period = WitnessAge() * 3 / 5;
  return lease_ != LeaseState::Valid && aBackend.recorded_ && aBackend.failedPolls_ == 0 &&
         aBackend.pollsInFlight_ < 2 && clock_.Now() - aBackend.lastPollAt_ >= period;
}

void
RunTracker::ReleaseDeferredLosses()
{
  std::vector<LostRun> losses;
  losses.swap(deferredLosses_);
  for (const LostRun& loss : losses) {
    ReleaseTask(loss.task_, loss.backend_, loss.run_, loss.checkpoint_);
  }
  changed_ = true;
}

}
