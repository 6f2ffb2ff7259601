#include "load_replay.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kArrivalStep{ 10 };
constexpr milliseconds kPollPeriod{ 50 };
constexpr char kSparePool[] = "spare";
// Load-free time before the run; leaders observe the load for some seconds before they switch hosts
// off.
constexpr milliseconds kWarmUpTime{ 1000 };
// Latency objective of the queues of JobWorld: 1.6 times the critical path plus 600 ms.
constexpr double kLatencyStretch = 1.6;
constexpr milliseconds kLatencyTarget{ 600 };

std::string
HexId(size_t aNumber)
{
  constexpr size_t kDigits = 16;
  const std::string digits = std::to_string(aNumber);
  return std::string(kDigits - digits.size(), '0') + digits;
}

milliseconds
ObjectiveOf(const std::vector<StepSpec>& aSteps, milliseconds aDuration)
{
  const auto chain = static_cast<double>((aDuration * static_cast<int64_t>(aSteps.size())).count());
  return milliseconds(static_cast<int64_t>(kLatencyStretch * chain)) + kLatencyTarget;
}

double
WorkOf(const std::vector<StepSpec>& aSteps, milliseconds aDuration)
{
  constexpr double kMilli = 1000.0;
  double work = 0.0;
  for (const StepSpec& step : aSteps) {
    work += static_cast<double>(step.taskCount_) * static_cast<double>(step.cpuMilli_) / kMilli *
            static_cast<double>(aDuration.count()) / kMilli;
  }
  return work;
}

ReplayPlan
MakePlan(uint64_t aSeed, const std::array<size_t, 4>& aHosts, double aLoad, size_t aSpare)
{
  ReplayPlan plan;
  plan.seed_ = aSeed;
  plan.spareHosts_ = aSpare;
  ReplayQueue quick;
  ReplayQueue large;
  large.priority_ = 1;
  large.jobsPerSecond_ = 1.13;
  large.tasks_ = 8;
  large.cpuMilli_ = 1900;
  large.memoryMb_ = 5500;
  large.duration_ = milliseconds(1700);
  large.checkpointingShare_ = 0.8;
  large.estimateSpread_ = 0.5;
  constexpr std::array<const char*, 4> kNames{ "births", "permits", "market", "veterinary" };
  for (size_t index = 0; index < kNames.size(); ++index) {
    ReplayQueue queue = index % 2 == 0 ? quick : large;
    queue.pool_ = kNames[index];
    queue.hosts_ = aHosts[index];
    queue.jobsPerSecond_ *= aLoad * static_cast<double>(aHosts[index]) / 9.0;
    plan.queues_.push_back(queue);
  }
  return plan;
}

}

ReplayPlan
SmallReplayPlan(uint64_t aSeed)
{
  return MakePlan(aSeed, { 9, 9, 11, 12 }, 1.0, 8);
}

ReplayPlan
LargeReplayPlan(uint64_t aSeed)
{
  // With larger tasks, fewer jobs cause the same load per host.
  ReplayPlan plan = MakePlan(aSeed, { 62, 70, 77, 85 }, 0.5, 56);
  for (ReplayQueue& queue : plan.queues_) {
    queue.cpuMilli_ = queue.cpuMilli_ * 17 / 10;
    queue.tasks_ = 8;
  }
  plan.continuousTasks_ = 24;
  return plan;
}

LoadReplay::LoadReplay(ReplayPlan aPlan)
  : plan_(std::move(aPlan))
  , world_(1)
  , random_(plan_.seed_)
{
  for (const ReplayQueue& queue : plan_.queues_) {
    world_.AddPool(queue.pool_, queue.hosts_, plan_.hostCapacity_);
    world_.Config().queues_.back().priority_ = queue.priority_;
  }
  world_.AddPool(kSparePool, plan_.spareHosts_, plan_.hostCapacity_, 1, true);
  world_.Configure();
  PlanJobs();
}

LoadReplay::PlannedJob
LoadReplay::PlanJob(size_t aQueue, milliseconds aAt)
{
  const ReplayQueue& queue = plan_.queues_[aQueue];
  constexpr double kSpread = 0.5;
  std::lognormal_distribution<double> spread(-kSpread * kSpread / 2, kSpread);
  std::uniform_real_distribution<double> share(0.0, 1.0);
  PlannedJob job;
  job.at_ = aAt;
  job.queue_ = aQueue;
  job.id_ = HexId(jobs_.size() + 1);
  StepSpec step;
  const auto tasks = std::lround(queue.tasks_ * spread(random_));
  step.taskCount_ = static_cast<uint32_t>(std::clamp<int64_t>(tasks, 1, 32));
  step.cpuMilli_ =
    std::max<int64_t>(std::lround(static_cast<double>(queue.cpuMilli_) * spread(random_)), 100);
  step.memoryMb_ = queue.memoryMb_;
  const double factor = std::min(spread(random_), 2.5);
  job.duration_ = milliseconds(
    std::max<int64_t>(std::lround(static_cast<double>(queue.duration_.count()) * factor), 100));
  std::lognormal_distribution<double> error(0.0, queue.estimateSpread_);
  step.estimate_ = milliseconds(std::max<int64_t>(
    std::lround(static_cast<double>(job.duration_.count()) * error(random_)), 10));
  step.checkpointing_ = share(random_) < queue.checkpointingShare_;
  job.steps_.push_back(step);
  constexpr double kTwoSteps = 0.6;
  if (share(random_) < kTwoSteps) {
    step.after_ = { 0 };
    job.steps_.push_back(step);
  }
  return job;
}

void
LoadReplay::PlanJobs()
{
  const auto turns = static_cast<int64_t>(plan_.queues_.size());
  const double peak =
    static_cast<double>(turns) - plan_.offPeakShare_ * static_cast<double>(turns - 1);
  for (milliseconds at{ 0 }; at < plan_.length_; at += kArrivalStep) {
    const int64_t turn = (at / plan_.burstLength_) % turns;
    for (size_t index = 0; index < plan_.queues_.size(); ++index) {
      const double factor = static_cast<int64_t>(index) == turn ? peak : plan_.offPeakShare_;
      const double mean = plan_.queues_[index].jobsPerSecond_ * factor *
                          static_cast<double>(kArrivalStep.count()) / 1000.0;
      std::poisson_distribution<int> arrivals(mean);
      for (int count = arrivals(random_); count > 0; --count) {
        jobs_.push_back(PlanJob(index, at));
      }
    }
  }
}

void
LoadReplay::SendDue(milliseconds aElapsed)
{
  while (next_ < jobs_.size() && jobs_[next_].at_ <= aElapsed) {
    const PlannedJob& job = jobs_[next_++];
    world_.SetDuration(job.id_, job.duration_);
    const size_t position = open_.size();
    OpenJob open;
    open.plan_ = &job;
    open.sent_ = world_.Clock().Now();
    open_.push_back(open);
    world_.SendSubmit(plan_.queues_[job.queue_].pool_,
                      job.id_,
                      job.steps_,
                      [this, position](const JobResponse& aAnswer) {
                        open_[position].accepted_ = aAnswer.kind_ == JobResponseKind::Accepted;
                      });
  }
}

void
LoadReplay::PollJobs()
{
  for (OpenJob& open : open_) {
    if (open.done_ || !open.accepted_) {
      continue;
    }
    JobRequest call;
    call.host_ = "callers";
    call.path_ = "/" + plan_.queues_[open.plan_->queue_].pool_ + "/" + open.plan_->id_;
    world_.Send(call, [this, &open](const JobResponse& aAnswer) {
      open.done_ = aAnswer.state_ == JobState::Done;
      open.doneAt_ = world_.Clock().Now();
    });
  }
}

ReplayResult
LoadReplay::Run()
{
  for (size_t index = 0; index < plan_.queues_.size() && plan_.continuousTasks_ > 0; ++index) {
    StepSpec step;
    step.taskCount_ = plan_.continuousTasks_;
    step.cpuMilli_ = 1300;
    step.memoryMb_ = 6800;
    step.continuous_ = true;
    step.maxPerServer_ = 1;
    world_.Submit(plan_.queues_[index].pool_, "f" + HexId(index).substr(1), step);
  }
  world_.Run(kWarmUpTime);
  const TimePoint begin = world_.Clock().Now();
  const milliseconds total = plan_.length_ + plan_.drainTime_;
  milliseconds elapsed{ 0 };
  while (elapsed < total) {
    SendDue(elapsed);
    world_.Run(kArrivalStep);
    elapsed = std::chrono::duration_cast<milliseconds>(world_.Clock().Now() - begin);
    if (elapsed <= plan_.length_) {
      hostSeconds_ += static_cast<double>(world_.Fleet().CountHostsOutside(kSparePool)) *
                      static_cast<double>(kArrivalStep.count()) / 1000.0;
    }
    if (elapsed % kPollPeriod < kArrivalStep) {
      PollJobs();
    }
  }
  return Evaluate();
}

ReplayResult
LoadReplay::Evaluate() const
{
  ReplayResult result;
  for (const OpenJob& open : open_) {
    const PlannedJob& job = *open.plan_;
    const auto took = std::chrono::duration_cast<milliseconds>(open.doneAt_ - open.sent_);
    // Polling detects the end of a job up to one period late.
    const bool inTime = open.done_ && took <= ObjectiveOf(job.steps_, job.duration_) + kPollPeriod;
    const double work = WorkOf(job.steps_, job.duration_);
    for (ReplayOutcome* outcome :
         { &result.byPool_[plan_.queues_[job.queue_].pool_], &result.total_ }) {
      ++outcome->offered_;
      outcome->inTime_ += inTime ? 1 : 0;
      outcome->late_ += open.done_ && !inTime ? 1 : 0;
      outcome->unfinished_ += open.done_ ? 0 : 1;
      outcome->workOffered_ += work;
      outcome->workInTime_ += inTime ? work : 0.0;
    }
  }
  result.hostSeconds_ = hostSeconds_;
  result.starts_ = world_.Starts();
  result.polls_ = world_.Polls();
  result.storeCalls_ = world_.StoreCalls();
  return result;
}

}
