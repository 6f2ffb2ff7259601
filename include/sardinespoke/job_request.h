#pragma once

#include "sardinespoke/job.h"

#include <functional>

namespace sardinespoke {

/// Bounds the memory that one request makes the leader allocate.
inline constexpr int64_t kMaxTasksPerRequest = 10000;

enum class JobRequestKind
{
  Submit,
  State,
  Cancel,
  Count
};

/// A caller's request about a job or a queue.
struct JobRequest
{
  JobRequestKind kind_ = JobRequestKind::State;
  std::string host_;
  std::string path_;
  std::string apiKey_; ///< Empty if the call has none.
  JobSpec spec_;       ///< The job of a submission, without id, queue and tenant.
  size_t bodyBytes_ = 0;
  std::string problem_; ///< Why the body is unusable; empty if it is usable.
};

enum class JobResponseKind
{
  Accepted,
  Cancelled,
  State,
  Pending,
  NoQueue,
  NoJob,
  UnknownKey,  ///< No tenant has the key of the call.
  OtherTenant, ///< The job belongs to another tenant than the key.
  Invalid,
  Refused, ///< No effect; the caller should retry later.
  Unknown, ///< The request may have taken effect.
  Count
};

struct JobResponse
{
  JobResponseKind kind_ = JobResponseKind::Refused;
  JobState state_ = JobState::Queued;
  size_t pending_ = 0;
  std::string message_;
  std::chrono::milliseconds retryAfter_{ 1000 };
};

using JobResponseCallback = std::function<void(const JobResponse&)>;

}
