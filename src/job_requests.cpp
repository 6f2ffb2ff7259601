#include "sardinespoke/job_control.h"

#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace sardinespoke {

namespace {

constexpr std::chrono::milliseconds kRetryAfter{ 1000 };
// Concurrent reads about unknown jobs: fewer than the connections to the store, so that a flood of
// them delays neither transactions nor lease renewals.
constexpr size_t kMaxJobLookups = 4;
// Each is a record of some 400 bytes in the store for as long as ended jobs are kept.
constexpr size_t kMaxEarlyCancels = 4096;

JobResponse
MakeResponse(JobResponseKind aKind, const std::string& aMessage = "")
{
  JobResponse response;
  response.kind_ = aKind;
  response.message_ = aMessage;
  response.retryAfter_ = kRetryAfter;
  return response;
}

bool
IsJobId(const std::string& aText)
{
  constexpr size_t kIdLength = 16;
  return aText.size() == kIdLength &&
         aText.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

const char*
OutcomeName(JournalOutcome aOutcome)
{
  constexpr std::array<const char*, static_cast<size_t>(JournalOutcome::Count)> kNames{
    "stored", "not_stored", "unknown"
  };
  return kNames[static_cast<size_t>(aOutcome)];
}

/// @returns Responds once the record of a cancellation without a job is stored.
std::function<void(JournalOutcome)>
EarlyCancelResponder(const JobResponseCallback& aRespond)
{
  return [aRespond](JournalOutcome aOutcome) {
    if (aOutcome == JournalOutcome::Stored) {
      aRespond(MakeResponse(JobResponseKind::NoJob));
    } else if (aOutcome == JournalOutcome::NotStored) {
      aRespond(MakeResponse(JobResponseKind::Refused, "the store does not answer"));
    } else {
      aRespond(
        MakeResponse(JobResponseKind::Unknown, "the store has not confirmed the cancellation"));
    }
  };
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

void
JobControl::RespondToUnknownJob(const std::string& aId,
                                const JobResponseCallback& aRespond,
                                const std::function<void()>& aOnDenied)
{
  if (!IsJobId(aId)) {
    aRespond(MakeResponse(JobResponseKind::NoJob));
    return;
  }
  if (jobLookups_ >= kMaxJobLookups) {
    aRespond(MakeResponse(JobResponseKind::Refused, "too many requests about unknown jobs"));
    return;
  }
  ++jobLookups_;
  // Another host may have become the leader without notice and accepted the job.
  const std::string key = JobJournal::JobKey(aId);
  const int64_t fence = leadership_.FencingToken();
  const std::weak_ptr<bool> alive = alive_;
  store_.Range(key, "", [=, this](const RecordReply& aReply) {
    const bool isAlive = alive.lock() != nullptr;
    if (isAlive) {
      --jobLookups_;
    }
    const auto isJob = [&key](const Record& aRecord) { return aRecord.key_ == key; };
    const bool read = aReply.outcome_ == RecordOutcome::Ok;
    const bool stored = read && std::any_of(aReply.records_.begin(), aReply.records_.end(), isJob);
    Log(LogLevel::Info,
        "job.unknown",
        { { "job", aId }, { "fence", fence }, { "store_answered", read }, { "stored", stored } });
    if (read && !stored && isAlive) {
      aOnDenied();
      return;
    }
    aRespond(MakeResponse(JobResponseKind::Refused,
                          read ? "another host owns the job" : "the store does not answer"));
  });
}

void
JobControl::CancelEarly(const std::string& aId,
                        const QueuePolicy& aQueue,
                        const JobResponseCallback& aRespond)
{
  if (earlyCancels_ >= kMaxEarlyCancels) {
    aRespond(MakeResponse(JobResponseKind::Refused, "too many unknown jobs were cancelled"));
    return;
  }
  JobSpec spec;
  spec.id_ = aId;
  spec.queue_ = aQueue.name_;
  const uint32_t index = jobs_.Add(std::move(spec), aQueue, clock_.Now(), wall_);
  EndEarlyCancel(jobs_.At(index));
  const auto respond = EarlyCancelResponder(aRespond);
  journal_.Submit(index, [this, index, respond](JournalOutcome aOutcome) {
    if (aOutcome == JournalOutcome::NotStored) {
      jobs_.Remove(index);
      --earlyCancels_;
    }
    respond(aOutcome);
  });
}

void
JobControl::EndEarlyCancel(Job& aJob)
{
  aJob.cancelled_ = true;
  aJob.visibleState_ = JobState::Cancelled;
  aJob.endedAt_ = clock_.Now();
  ++earlyCancels_;
}

bool
JobControl::IsPublic(const QueuePolicy& aQueue, const Job* aJob) const
{
  if (!aQueue.isPublic_ || !aJob || aJob->spec_.queue_ == aQueue.name_) {
    return aQueue.isPublic_;
  }
  const auto& queues = config_.queues_;
  return std::any_of(queues.begin(), queues.end(), [aJob](const QueuePolicy& aOther) {
    return aOther.name_ == aJob->spec_.queue_ && aOther.isPublic_;
  });
}

std::optional<JobResponse>
JobControl::Authenticate(const JobRequest& aRequest, bool aIsPublic, std::string& aTenant)
{
  if (!keys_.AreRequired()) {
    return std::nullopt;
  }
  if (const std::string* tenant = keys_.TenantOf(aRequest.apiKey_)) {
    aTenant = *tenant;
    return std::nullopt;
  }
  if (aIsPublic) {
    return std::nullopt;
  }
  if (ConfigAge() > settings_.denyLimit_) {
    return MakeResponse(JobResponseKind::Refused, "the keys may have changed");
  }
  metrics_.Count("calls_with_unknown_key");
  Log(LogLevel::Info,
      "key.unknown",
      { { "path", aRequest.path_ },
        { "has_key", !aRequest.apiKey_.empty() },
        { "config_version", config_.version_ },
        { "confirmed_ms_ago", ConfigAge().count() },
        { "fence", leadership_.FencingToken() } });
  return MakeResponse(JobResponseKind::UnknownKey, "no tenant has this key");
}

bool
JobControl::IsOfOtherTenant(const Job& aJob, bool aIsPublic, const std::string& aTenant)
{
  return !aIsPublic && !aTenant.empty() && !aJob.spec_.tenant_.empty() &&
         aJob.spec_.tenant_ != aTenant;
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
  if (!(queue ? MayAdmit() : ConfigAge() <= settings_.denyLimit_)) {
    aRespond(MakeResponse(JobResponseKind::Refused, "the configuration may have changed"));
    return;
  }
  if (!queue) {
    Log(LogLevel::Info,
        "queue.unknown",
        { { "path", aRequest.path_ },
          { "config_version", config_.version_ },
          { "confirmed_ms_ago", ConfigAge().count() },
          { "fence", leadership_.FencingToken() } });
    aRespond(MakeResponse(JobResponseKind::NoQueue));
    return;
  }
  const std::string id = aRequest.path_.substr(queue->prefix_.size());
  Job* job = jobs_.Find(id);
  const bool isPublic = IsPublic(*queue, job);
  std::string tenant;
  if (const auto refusal = Authenticate(aRequest, isPublic, tenant)) {
    aRespond(*refusal);
    return;
  }
  if (job && IsOfOtherTenant(*job, isPublic, tenant)) {
    aRespond(MakeResponse(JobResponseKind::OtherTenant, "the job belongs to another tenant"));
    return;
  }
  if (aRequest.kind_ == JobRequestKind::Submit) {
    Submit(aRequest, *queue, tenant, aRespond);
    return;
  }
  if (id.empty()) {
    JobResponse response = MakeResponse(JobResponseKind::Pending);
    response.pending_ = jobs_.CountPending(queue->name_);
    aRespond(response);
    return;
  }
  if (!job) {
    RespondToUnknownJob(id, aRespond, [this, request = aRequest, id, aRespond] {
      const QueuePolicy* current = FindQueue(request.host_, request.path_);
      if (jobs_.Find(id)) {
        Handle(request, aRespond); // It has arrived meanwhile.
      } else if (request.kind_ == JobRequestKind::Cancel && current) {
        CancelEarly(id, *current, aRespond);
      } else {
        aRespond(MakeResponse(JobResponseKind::NoJob));
      }
    });
    return;
  }
  if (job->IsEarlyCancel()) {
    if (aRequest.kind_ == JobRequestKind::Cancel && !job->stored_) {
      journal_.AwaitSubmission(*jobs_.IndexOf(id), EarlyCancelResponder(aRespond));
    } else {
      aRespond(MakeResponse(JobResponseKind::NoJob));
    }
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
  Cancel(*jobs_.IndexOf(id), aRespond);
}

void
JobControl::Submit(const JobRequest& aRequest,
                   const QueuePolicy& aQueue,
                   const std::string& aTenant,
                   const JobResponseCallback& aRespond)
{
  const std::string id = aRequest.path_.substr(aQueue.prefix_.size());
  if (config_.maxBodyBytes_ > 0 && aRequest.bodyBytes_ > config_.maxBodyBytes_) {
    aRespond(MakeResponse(JobResponseKind::Invalid,
                          "the body is above the limit of " +
                            std::to_string(config_.maxBodyBytes_) + " bytes"));
    return;
  }
  if (!aRequest.problem_.empty() || !IsJobId(id)) {
    aRespond(MakeResponse(JobResponseKind::Invalid,
                          aRequest.problem_.empty() ? "a job id has 16 hexadecimal digits"
                                                    : aRequest.problem_));
    return;
  }
  Job* known = jobs_.Find(id);
  if (known && known->IsEarlyCancel()) {
    aRespond(MakeResponse(JobResponseKind::Refused, "the job was cancelled before it arrived"));
    return;
  }
  if (known && known->stored_) {
    aRespond(MakeResponse(JobResponseKind::Accepted));
    return;
  }
  if (CountDueTasks(aRequest.spec_, wall_) > kMaxTasksPerRequest) {
    aRespond(MakeResponse(JobResponseKind::Invalid, "too many occurrences are due at once"));
    return;
  }
  if (known) {
    AwaitSubmission(*jobs_.IndexOf(id), aRespond);
    return;
  }
  if (!leadership_.MaySendCommands() || journal_.IsStalled()) {
    aRespond(MakeResponse(JobResponseKind::Refused, "the store does not answer"));
    return;
  }
  JobSpec spec = aRequest.spec_;
  spec.id_ = id;
  spec.queue_ = aQueue.name_;
  spec.tenant_ = aTenant;
  const uint32_t index = jobs_.Add(std::move(spec), aQueue, clock_.Now(), wall_);
  Job& job = jobs_.At(index);
  jobs_.OpenDueOccurrences(job, wall_);
  if (const auto refusal = RefuseHopeless(index)) {
    jobs_.Remove(index);
    aRespond(*refusal);
    return;
  }
  const double weight = jobs_.Tenants().WeightOf(job.tenant_);
  job.isAboveRate_ = !submissionRates_.Take(job.tenant_, weight, clock_.Now());
  journal_.Submit(index, [this, index, id, aRespond](JournalOutcome aOutcome) {
    const char* outcome = OutcomeName(aOutcome);
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

std::optional<JobResponse>
JobControl::RefuseHopeless(uint32_t aJob)
{
  const Job& job = jobs_.At(aJob);
  if (!settings_.refusesHopeless_ || job.HasContinuousSteps() || job.spec_.repeats_ > 0) {
    return std::nullopt;
  }
  constexpr double kMilli = 1000.0;
  const TimePoint now = clock_.Now();
  SubmissionLoad load = scheduler_.LoadFor(aJob);
  const auto coreMs = static_cast<int64_t>(load.work_ * kMilli);
  load.arrivingAhead_ =
    static_cast<double>(arrivals_.CpuMilliUpTo(job.policy_.service_, coreMs, now)) / kMilli;
  const auto retryAfter =
    overload_.RetryAfter(load, job.policy_.service_, job.tenant_, scheduler_.ShareFor(aJob), now);
  if (retryAfter == std::chrono::milliseconds(0)) {
    return std::nullopt;
  }
  metrics_.Count("submissions_refused_hopeless");
  Log(LogLevel::Info,
      "job.refused_hopeless",
      { { "job", job.spec_.id_ },
        { "queue", job.spec_.queue_ },
        { "tenant", job.spec_.tenant_ },
        { "cores", load.cores_ },
        { "work_ahead", load.workAhead_ },
        { "arriving_ahead", load.arrivingAhead_ },
        { "late_work_ahead", load.lateWorkAhead_ },
        { "started_per_second", load.startedPerSecond_.value_or(0.0) },
        { "work", load.work_ },
        { "critical_path_ms", load.criticalPath_.count() },
        { "objective_ms", load.objective_.count() },
        { "retry_after_ms", retryAfter.count() } });
  JobResponse response =
    MakeResponse(JobResponseKind::Refused, "the job would take several times its objective");
  response.retryAfter_ = retryAfter;
  return response;
}

void
JobControl::AwaitSubmission(uint32_t aJob, const JobResponseCallback& aRespond)
{
  journal_.AwaitSubmission(aJob, [aRespond](JournalOutcome aOutcome) {
    if (aOutcome == JournalOutcome::Stored) {
      aRespond(MakeResponse(JobResponseKind::Accepted));
    } else if (aOutcome == JournalOutcome::NotStored) {
      aRespond(MakeResponse(JobResponseKind::Refused, "the store does not answer"));
    } else {
      aRespond(MakeResponse(JobResponseKind::Unknown, "the store has not confirmed the job"));
    }
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
    jobs_.MarkChanged(aJob);
    job.endedAt_ = clock_.Now();
    runs_.StopJob(aJob);
    Log(LogLevel::Info, "job.cancelled", { { "job", job.spec_.id_ } });
  }
  jobs_.Touch(aJob);
  const TimePoint begin = clock_.Now();
  journal_.AfterStored(aJob, [this, id = job.spec_.id_, begin, aRespond](JournalOutcome aOutcome) {
    const auto waited = clock_.Now() - begin;
    metrics_.Observe("cancel_wait", waited);
    Log(LogLevel::Info,
        "job.cancel_answered",
        { { "job", id },
          { "outcome", OutcomeName(aOutcome) },
          { "revision", journal_.Revision() },
          { "waited_ms", std::chrono::duration_cast<std::chrono::milliseconds>(waited).count() } });
    aRespond(
      aOutcome == JournalOutcome::Stored
        ? MakeResponse(JobResponseKind::Cancelled)
        : MakeResponse(JobResponseKind::Unknown, "the store has not confirmed the cancellation"));
  });
}

}
