#include "sardinespoke/job_control.h"

#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <array>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kRetryAfter{ 1000 };

JobResponse
MakeResponse(JobResponseKind aKind, const std::string& aMessage = "")
{
  JobResponse response;
  response.kind_ = aKind;
  response.message_ = aMessage;
  response.retryAfter_ = kRetryAfter;
  return response;
}

int64_t
CountDueTasks(const JobSpec& aSpec, std::chrono::milliseconds aWall)
{
  int64_t tasks = 0;
  for (const StepSpec& step : aSpec.steps_) {
    tasks += step.taskCount_;
  }
  return tasks * JobTable::DueOccurrences(aSpec, aWall);
}

}

const QueuePolicy*
JobControl::FindQueue(const std::string& aHost, const std::string& aPath) const
{
  const QueuePolicy* best = nullptr;
  for (const QueuePolicy& queue : config_.queues_) {
    if (queue.host_ != aHost || aPath.rfind(queue.prefix_, 0) != 0) {
      continue;
    }
    if (!best || queue.prefix_.size() > best->prefix_.size()) {
      best = &queue;
    }
  }
  return best;
}

JobResponse
JobControl::UnknownJob() const
{
  // Without a valid lease, another host may be the leader and have accepted the job.
  return leadership_.HoldsValidLease()
           ? MakeResponse(JobResponseKind::NoJob)
           : MakeResponse(JobResponseKind::Refused, "the ownership of the pools is not confirmed");
}

JobResponse
JobControl::StateResponse(const Job& aJob) const
{
  JobResponse response = MakeResponse(JobResponseKind::State);
  const JobState now = JobTable::StateOf(aJob);
  const bool isFinal = now != JobState::Queued && now != JobState::Running;
  response.state_ = now;
  if (isFinal && aJob.visibleState_ != now) {
    response.state_ = JobState::Running;
  }
  return response;
}

void
JobControl::Handle(const JobRequest& aRequest, const JobResponseCallback& aRespond)
{
  const QueuePolicy* queue = FindQueue(aRequest.host_, aRequest.path_);
  if (!queue) {
    aRespond(MakeResponse(JobResponseKind::NoQueue));
    return;
  }
  const std::string id = aRequest.path_.substr(queue->prefix_.size());
  if (aRequest.kind_ == JobRequestKind::Submit) {
    Submit(aRequest, *queue, aRespond);
    return;
  }
  if (id.empty()) {
    JobResponse response = MakeResponse(JobResponseKind::Pending);
    response.pending_ = jobs_.CountPending(queue->name_);
    aRespond(response);
    return;
  }
  Job* job = jobs_.Find(id);
  if (!job) {
    aRespond(UnknownJob());
    return;
  }
  if (!job->stored_) {
    aRespond(MakeResponse(JobResponseKind::Unknown, "the job is being stored"));
    return;
  }
  if (aRequest.kind_ == JobRequestKind::State) {
    aRespond(StateResponse(*job));
    return;
  }
  TaskRef ref;
  jobs_.Locate(TaskId{ id, 0, 0, 0 }, ref);
  Cancel(ref.job_, aRespond);
}

void
JobControl::Submit(const JobRequest& aRequest,
                   const QueuePolicy& aQueue,
                   const JobResponseCallback& aRespond)
{
  const std::string id = aRequest.path_.substr(aQueue.prefix_.size());
  constexpr size_t kIdLength = 16;
  const bool isHex = id.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
  if (config_.maxBodyBytes_ > 0 && aRequest.bodyBytes_ > config_.maxBodyBytes_) {
    aRespond(MakeResponse(JobResponseKind::Invalid,
                          "the body is above the limit of " +
                            std::to_string(config_.maxBodyBytes_) + " bytes"));
    return;
  }
  if (!aRequest.problem_.empty() || id.size() != kIdLength || !isHex) {
    aRespond(MakeResponse(JobResponseKind::Invalid,
                          aRequest.problem_.empty() ? "a job id has 16 hexadecimal digits"
                                                    : aRequest.problem_));
    return;
  }
  Job* known = jobs_.Find(id);
  if (known && known->stored_) {
    aRespond(MakeResponse(JobResponseKind::Accepted));
    return;
  }
  if (CountDueTasks(aRequest.spec_, wall_) > kMaxTasksPerRequest) {
    aRespond(MakeResponse(JobResponseKind::Invalid, "too many occurrences are due at once"));
    return;
  }
  if (known || !leadership_.MaySendCommands() || journal_.IsStalled()) {
    aRespond(MakeResponse(known ? JobResponseKind::Unknown : JobResponseKind::Refused,
                          "the store does not answer"));
    return;
  }
  JobSpec spec = aRequest.spec_;
  spec.id_ = id;
  spec.queue_ = aQueue.name_;
  const uint32_t index = jobs_.Add(std::move(spec), aQueue, clock_.Now(), wall_);
  jobs_.OpenDueOccurrences(jobs_.At(index), wall_);
  journal_.Submit(index, [this, index, id, aRespond](JournalOutcome aOutcome) {
    constexpr std::array<const char*, static_cast<size_t>(JournalOutcome::Count)> kOutcomes{
      "stored", "not_stored", "unknown"
    };
    const char* outcome = kOutcomes[static_cast<size_t>(aOutcome)];
    metrics_.Count(std::string("job_submissions{outcome=\"") + outcome + "\"}");
    Log(LogLevel::Info,
        "job.submitted",
        { { "job", id },
          { "queue", jobs_.At(index).spec_.queue_ },
          { "config_version", config_.version_ },
          { "outcome", outcome } });
    if (aOutcome == JournalOutcome::Stored) {
      CountArrival(jobs_.At(index));
      nextSchedule_ = TimePoint{};
      aRespond(MakeResponse(JobResponseKind::Accepted));
      return;
    }
    if (aOutcome == JournalOutcome::NotStored) {
      jobs_.Remove(index);
      aRespond(MakeResponse(JobResponseKind::Refused, "the store does not answer"));
      return;
    }
    aRespond(MakeResponse(JobResponseKind::Unknown, "the store has not confirmed the job"));
  });
}

void
JobControl::CountArrival(const Job& aJob)
{
  if (aJob.HasContinuousSteps() || aJob.spec_.repeats_ > 0) {
    return;
  }
  constexpr double kMilli = 1000.0;
  const auto work = static_cast<int64_t>(durations_.RemainingWork(aJob) * kMilli);
  arrivals_.Add(aJob.policy_.service_, work, clock_.Now());
}

void
JobControl::Cancel(uint32_t aJob, const JobResponseCallback& aRespond)
{
  Job& job = jobs_.At(aJob);
  if (job.HasEnded() && job.visibleState_ == JobTable::StateOf(job)) {
    aRespond(MakeResponse(JobResponseKind::Cancelled));
    return;
  }
  if (!job.HasEnded()) {
    job.cancelled_ = true;
    job.endedAt_ = clock_.Now();
    runs_.StopJob(aJob);
    Log(LogLevel::Info, "job.cancelled", { { "job", job.spec_.id_ } });
  }
  jobs_.Touch(aJob);
  journal_.AfterStored(aJob, [aRespond](JournalOutcome aOutcome) {
    aRespond(
      aOutcome == JournalOutcome::Stored
        ? MakeResponse(JobResponseKind::Cancelled)
        : MakeResponse(JobResponseKind::Unknown, "the store has not confirmed the cancellation"));
  });
}

}
