#pragma once

#include "sardinespoke/job.h"

#include <functional>

namespace sardinespoke {

enum class JobCallKind
{
  Submit,
  State,
  Cancel,
  Count
};

/// A caller's request about a job or a queue.
struct JobCall
{
  JobCallKind kind_ = JobCallKind::State;
  std::string host_;
  std::string path_;
  JobSpec spec_; ///< The job of a submission, without id and queue.
  size_t bodyBytes_ = 0;
  std::string problem_; ///< Why the body is unusable; empty if it is usable.
};

enum class JobAnswerKind
{
  Accepted,
  Cancelled,
  State,
  Pending,
  NoQueue,
  NoJob,
  Invalid,
  Refused, ///< No effect; the caller should retry later.
  Unknown, ///< The request may have taken effect.
  Count
};

struct JobAnswer
{
  JobAnswerKind kind_ = JobAnswerKind::Refused;
  JobState state_ = JobState::Queued;
  size_t pending_ = 0;
  std::string message_;
  std::chrono::milliseconds retryAfter_{ 1000 };
};

using JobAnswerCallback = std::function<void(const JobAnswer&)>;

}
