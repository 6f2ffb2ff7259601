#include "sardinespoke/job_control.h"

#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <array>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kRetryAfter{ 1000 };

JobResponse
Answer(JobResponseKind aKind, const std::string& aMessage = "")
{
  JobResponse answer;
  answer.kind_ = aKind;
  answer.message_ = aMessage;
  answer.retryAfter_ = kRetryAfter;
  return answer;
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
           ? Answer(JobResponseKind::NoJob)
           : Answer(JobResponseKind::Refused, "the ownership of the pools is not confirmed");
}

JobResponse
JobControl::StateResponse(const Job& aJob) const
{
  JobResponse answer = Answer(JobResponseKind::State);
  const JobState now = JobTable::StateOf(aJob);
  const bool isFinal = now != JobState::Queued && now != JobState::Running;
  answer.state_ = now;
  if (isFinal && aJob.visibleState_ != now) {
    answer.state_ = JobState::Running;
  }
  return answer;
}

void
JobControl::Handle(const JobRequest& aCall, const JobResponseCallback& aAnswer)
{
  const QueuePolicy* queue = FindQueue(aCall.host_, aCall.path_);
  if (!queue) {
    aAnswer(Answer(JobResponseKind::NoQueue));
    return;
  }
  const std::string id = aCall.path_.substr(queue->prefix_.size());
  if (aCall.kind_ == JobRequestKind::Submit) {
    Submit(aCall, *queue, aAnswer);
    return;
  }
  if (id.empty()) {
    JobResponse answer = Answer(JobResponseKind::Pending);
    answer.pending_ = jobs_.CountPending(queue->name_);
    aAnswer(answer);
    return;
  }
  Job* job = jobs_.Find(id);
  if (!job) {
    aAnswer(UnknownJob());
    return;
  }
  if (!job->stored_) {
    aAnswer(Answer(JobResponseKind::Unknown, "the job is being stored"));
    return;
  }
  if (aCall.kind_ == JobRequestKind::State) {
    aAnswer(StateResponse(*job));
    return;
  }
  TaskRef ref;
  jobs_.Locate(TaskId{ id, 0, 0, 0 }, ref);
  Cancel(ref.job_, aAnswer);
}

void
JobControl::Submit(const JobRequest& aCall,
                   const QueuePolicy& aQueue,
                   const JobResponseCallback& aAnswer)
{
  const std::string id = aCall.path_.substr(aQueue.prefix_.size());
  constexpr size_t kIdLength = 16;
  const bool isHex = id.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
  if (config_.maxBodyBytes_ > 0 && aCall.bodyBytes_ > config_.maxBodyBytes_) {
    aAnswer(
      Answer(JobResponseKind::Invalid,
             "the body is above the limit of " + std::to_string(config_.maxBodyBytes_) + " bytes"));
    return;
  }
  if (!aCall.problem_.empty() || id.size() != kIdLength || !isHex) {
    aAnswer(Answer(JobResponseKind::Invalid,
                   aCall.problem_.empty() ? "a job id has 16 hexadecimal digits" : aCall.problem_));
    return;
  }
  Job* known = jobs_.Find(id);
  if (known && known->stored_) {
    aAnswer(Answer(JobResponseKind::Accepted));
    return;
  }
  if (known || !leadership_.MaySendCommands() || journal_.IsStalled()) {
    aAnswer(Answer(known ? JobResponseKind::Unknown : JobResponseKind::Refused,
                   "the store does not answer"));
    return;
  }
  JobSpec spec = aCall.spec_;
  spec.id_ = id;
  spec.queue_ = aQueue.name_;
  const uint32_t index = jobs_.Add(std::move(spec), aQueue, clock_.Now(), wall_);
  jobs_.OpenDueOccurrences(jobs_.At(index), wall_);
  journal_.Submit(index, [this, index, id, aAnswer](JournalOutcome aOutcome) {
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
      aAnswer(Answer(JobResponseKind::Accepted));
      return;
    }
    if (aOutcome == JournalOutcome::NotStored) {
      jobs_.Remove(index);
      aAnswer(Answer(JobResponseKind::Refused, "the store does not answer"));
      return;
    }
    aAnswer(Answer(JobResponseKind::Unknown, "the store has not confirmed the job"));
  });
}

void
JobControl::CountArrival(const Job& aJob)
{
  if (aJob.HasContinuousSteps() || aJob.spec_.repeats_ > 0) {
    return;
  }
  constexpr double kMilli = 1000.0;
  const auto work = static_cast<int64_t>(durations_.WorkLeft(aJob) * kMilli);
  arrivals_.Add(aJob.policy_.service_, work, clock_.Now());
}

void
JobControl::Cancel(uint32_t aJob, const JobResponseCallback& aAnswer)
{
  Job& job = jobs_.At(aJob);
  if (job.HasEnded() && job.visibleState_ == JobTable::StateOf(job)) {
    aAnswer(Answer(JobResponseKind::Cancelled));
    return;
  }
  if (!job.HasEnded()) {
    job.cancelled_ = true;
    job.endedAt_ = clock_.Now();
    runs_.StopJob(aJob);
    Log(LogLevel::Info, "job.cancelled", { { "job", job.spec_.id_ } });
  }
  jobs_.Touch(aJob);
  journal_.AfterStored(aJob, [aAnswer](JournalOutcome aOutcome) {
    aAnswer(aOutcome == JournalOutcome::Stored
              ? Answer(JobResponseKind::Cancelled)
              : Answer(JobResponseKind::Unknown, "the store has not confirmed the cancellation"));
  });
}

}
