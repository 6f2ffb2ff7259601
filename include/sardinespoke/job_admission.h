#pragma once

#include <chrono>
#include <cstdint>

namespace sardinespoke {

/// What is known when a job is submitted.
struct AdmissionInputs
{
  std::chrono::milliseconds criticalPath_{ 0 }; ///< Expected duration without waiting.
  std::chrono::milliseconds objective_{ 0 };    ///< Time in which the caller wants it done.
  int64_t aheadCoreMs_ = 0;       ///< Work of jobs that wait and are placed before it.
  int64_t reachableCpuMilli_ = 0; ///< Capacity of its pool; 0 if it is not known.
};

struct AdmissionVerdict
{
  bool isAccepted_ = true;
  /// If refused: when the job could be done within its objective.
  std::chrono::milliseconds retryAfter_{ 0 };
};

/// Decides whether a job is taken. Without state, input and output.
///
/// Load pattern: a queue asks several times what its pool can do. Jobs that would be done too late
/// to be of use are refused at once, so that their callers can come back or do without. Each is
/// told to come back when the work that is ahead of it is done: the first refused returns first.
class JobAdmission
{
public:
  /// A job that takes longer than this many times its objective is of no use to its caller; the
  /// platform's rules name the factor.
  static constexpr int64_t kUsefulObjectives = 3;

  static AdmissionVerdict Judge(const AdmissionInputs& aInputs);
};

}
