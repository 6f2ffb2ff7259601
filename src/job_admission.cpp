#include "sardinespoke/job_admission.h"

#include <algorithm>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kMinRetryAfter{ 1000 };
constexpr milliseconds kMaxRetryAfter{ 15000 };

}

AdmissionVerdict
JobAdmission::Judge(const AdmissionInputs& aInputs)
{
  if (aInputs.reachableCpuMilli_ <= 0 || aInputs.aheadCoreMs_ <= 0) {
    return AdmissionVerdict{};
  }
  const milliseconds wait{ aInputs.aheadCoreMs_ * 1000 / aInputs.reachableCpuMilli_ };
  const milliseconds needed = wait + aInputs.criticalPath_;
  if (needed <= aInputs.objective_ * kUsefulObjectives) {
    return AdmissionVerdict{};
  }
  return AdmissionVerdict{
    false, std::clamp(needed - aInputs.objective_, kMinRetryAfter, kMaxRetryAfter)
  };
}

}
