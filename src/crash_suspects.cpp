#include "sardinespoke/crash_suspects.h"

#include <algorithm>

namespace sardinespoke {

namespace {

// Crashes after which a task is given up on any evidence. A task may be started twice after the
// third crash, and the last of a leader may have gone unseen.
constexpr uint32_t kMostCrashes = 4;
// Of the backend servers of a pool, one in this many may be kept for suspects.
constexpr uint32_t kPoolShare = 3;

}

CrashVerdict
CrashSuspects::Judge(const CrashEvidence& aEvidence)
{
  if (aEvidence.isContinuous_) {
    return CrashVerdict::Suspect;
  }
  if (aEvidence.crashes_ >= kMostCrashes) {
    return CrashVerdict::GivenUp;
  }
  const bool isNamed = aEvidence.inQuestion_ == 1 && !aEvidence.isWeak_;
  const bool wasOnTrial = aEvidence.crashes_ > 1;
  return isNamed && wasOnTrial && aEvidence.doubt_ <= kMostDoubt ? CrashVerdict::GivenUp
                                                                 : CrashVerdict::Suspect;
}

uint32_t
CrashSuspects::MostTrials(uint32_t aPoolSize)
{
  return std::max<uint32_t>(1, aPoolSize / kPoolShare);
}

}
