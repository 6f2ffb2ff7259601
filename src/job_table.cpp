#include "sardinespoke/job_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sardinespoke {

namespace {

// A task waits this long for room elsewhere before it returns to the backend server where it
// failed. Its own fault may be the cause, and most tasks of a busy pool end sooner.
constexpr std::chrono::milliseconds kAvoidTime{ 2000 };

std::set<std::string>
Intersection(const std::set<std::string>& aLeft, const std::set<std::string>& aRight)
{
  std::set<std::string> both;
  std::set_intersection(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), std::inserter(both, both.begin()));
  return both;
}

}

bool
Job::HasContinuousSteps() const
{
  return std::any_of(spec_.steps_.begin(), spec_.steps_.end(), [](const StepSpec& aStep) {
    return aStep.continuous_;
  });
}

uint32_t
JobTable::Add(JobSpec aSpec, QueuePolicy aPolicy, TimePoint aNow, std::chrono::milliseconds aWall)
{
  auto job = std::make_unique<Job>();
  job->spec_ = std::move(aSpec);
  job->originalService_ = aPolicy.service_;
  job->services_ = { aPolicy.service_ };
  job->storedServices_ = job->services_;
  job->policy_ = std::move(aPolicy);
  job->tenant_ = tenants_.IdOf(job->spec_.tenant_);
  job->accepted_ = aNow;
  job->acceptedWall_ = aWall;
  const auto index = static_cast<uint32_t>(jobs_.size());
  job->index_ = index;
  byId_[job->spec_.id_] = index;
  open_.push_back(index);
  jobs_.push_back(std::move(job));
  return index;
}

void
JobTable::Remove(uint32_t aJob)
{
  byId_.erase(jobs_[aJob]->spec_.id_);
  open_.erase(std::remove(open_.begin(), open_.end(), aJob), open_.end());
  jobs_[aJob].reset();
  MarkChanged(aJob);
}

Job*
JobTable::Find(const std::string& aId)
{
  const auto found = byId_.find(aId);
  return found == byId_.end() ? nullptr : jobs_[found->second].get();
}

std::optional<uint32_t>
JobTable::IndexOf(const std::string& aId) const
{
  const auto found = byId_.find(aId);
  return found == byId_.end() ? std::nullopt : std::optional<uint32_t>(found->second);
}

Task&
JobTable::At(const TaskRef& aRef)
{
  return StepOf(aRef).tasks_[aRef.index_];
}

const StepSpec&
JobTable::SpecOf(const TaskRef& aRef) const
{
  return jobs_[aRef.job_]->spec_.steps_[aRef.step_];
}

Step&
JobTable::StepOf(const TaskRef& aRef)
{
  return jobs_[aRef.job_]->occurrences_[aRef.occurrence_].steps_[aRef.step_];
}

TaskId
JobTable::IdOf(const TaskRef& aRef) const
{
  return TaskId{ jobs_[aRef.job_]->spec_.id_, aRef.occurrence_, aRef.step_, aRef.index_ };
}

bool
JobTable::Locate(const TaskId& aId, TaskRef& aRef)
{
  const auto found = byId_.find(aId.job_);
  if (found == byId_.end()) {
    return false;
  }
  Job& job = *jobs_[found->second];
  if (aId.occurrence_ >= job.OccurrenceCount() || aId.step_ >= job.spec_.steps_.size() ||
      aId.index_ >= job.spec_.steps_[aId.step_].taskCount_) {
    return false;
  }
  while (job.occurrences_.size() <= aId.occurrence_) {
    OpenOccurrence(job);
  }
  aRef = TaskRef{ found->second, aId.occurrence_, aId.step_, aId.index_ };
  return true;
}

void
JobTable::OpenOccurrence(Job& aJob)
{
  Occurrence occurrence;
  for (const StepSpec& spec : aJob.spec_.steps_) {
    Step step;
    step.tasks_.resize(spec.taskCount_);
    occurrence.steps_.push_back(std::move(step));
  }
  aJob.occurrences_.push_back(std::move(occurrence));
  ++aJob.progress_;
}

void
JobTable::OpenDueOccurrences(Job& aJob, std::chrono::milliseconds aWall)
{
  const uint32_t due = DueOccurrences(aJob.spec_, aWall);
  if (due > aJob.dueOccurrences_) {
    aJob.dueOccurrences_ = due;
    MarkChanged(aJob.index_);
  }
  while (aJob.occurrences_.size() < due) {
    OpenOccurrence(aJob);
  }
}

uint32_t
JobTable::DueOccurrences(const JobSpec& aSpec, std::chrono::milliseconds aWall)
{
  if (aSpec.repeats_ == 0) {
    return 1;
  }
  if (aSpec.firstDue_ > aWall) {
    return 0;
  }
  const bool allAtOnce = aSpec.interval_ <= std::chrono::milliseconds(0);
  return allAtOnce ? aSpec.repeats_
                   : static_cast<uint32_t>(std::min<int64_t>(
                       aSpec.repeats_, (aWall - aSpec.firstDue_) / aSpec.interval_ + 1));
}

bool
JobTable::IsReady(const Job& aJob, uint32_t aOccurrence, uint32_t aStep) const
{
  const auto& steps = aJob.occurrences_[aOccurrence].steps_;
  const auto& after = aJob.spec_.steps_[aStep].after_;
  return std::all_of(after.begin(), after.end(), [&steps](uint32_t aEarlier) {
    return steps[aEarlier].done_ == steps[aEarlier].tasks_.size();
  });
}

void
JobTable::Activate(const TaskRef& aRef, int64_t aRun, BackendHandle aBackend, TimePoint aNow)
{
  Task& task = At(aRef);
  Step& step = StepOf(aRef);
  if (task.phase_ != TaskPhase::Active) {
    ++step.active_;
    CountRunning(*jobs_[aRef.job_], aRef.step_, true);
  }
  task.phase_ = TaskPhase::Active;
  task.run_ = aRun;
  task.backend_ = aBackend;
  task.startedAt_ = aNow;
  jobs_[aRef.job_]->started_ = true;
  MarkChanged(aRef.job_);
  SetTrial(aRef, CrashesOf(aRef) > 0);
}

void
JobTable::Release(const TaskRef& aRef, const std::string& aCheckpoint)
{
  Task& task = At(aRef);
  if (task.phase_ != TaskPhase::Active) {
    return;
  }
  --StepOf(aRef).active_;
  CountRunning(*jobs_[aRef.job_], aRef.step_, false);
  task.phase_ = TaskPhase::Waiting;
  task.backend_ = BackendHandle{};
  MarkChanged(aRef.job_);
  EndTrial(aRef);
  std::string& checkpoint = At(FirstOfGroup(aRef)).checkpoint_;
  if (!aCheckpoint.empty() && aCheckpoint != checkpoint) {
    checkpoint = aCheckpoint;
    Touch(aRef.job_);
  }
}

void
JobTable::RestoreCheckpoint(const TaskRef& aRef, const std::string& aCheckpoint)
{
  // Earlier releases stored one for each task of a group; any of them is valid for all.
  std::string& checkpoint = At(FirstOfGroup(aRef)).checkpoint_;
  checkpoint = checkpoint.empty() ? aCheckpoint : checkpoint;
}

void
JobTable::DropCheckpoint(const TaskRef& aRef, int64_t aRun)
{
  Task& task = At(FirstOfGroup(aRef));
  if (task.run_ <= aRun && !task.checkpoint_.empty()) {
    task.checkpoint_.clear();
    Touch(aRef.job_);
  }
}

TaskRef
JobTable::FirstOfGroup(TaskRef aRef) const
{
  aRef.index_ = SpecOf(aRef).gang_ ? 0 : aRef.index_;
  return aRef;
}

void
JobTable::MarkDone(const TaskRef& aRef)
{
  Task& task = At(aRef);
  Step& step = StepOf(aRef);
  if (task.phase_ == TaskPhase::Done) {
    return;
  }
  if (task.phase_ == TaskPhase::Active) {
    --step.active_;
    CountRunning(*jobs_[aRef.job_], aRef.step_, false);
  }
  task.phase_ = TaskPhase::Done;
  task.checkpoint_.clear();
  ++step.done_;
}

void
JobTable::CountRunning(const Job& aJob, uint32_t aStep, bool aRuns)
{
  const Resources need = aJob.spec_.steps_[aStep].Declared();
  if (aRuns) {
    tenants_.Add(aJob.tenant_, aJob.policy_.service_, need);
  } else {
    tenants_.Remove(aJob.tenant_, aJob.policy_.service_, need);
  }
}

void
JobTable::SetPolicy(Job& aJob, const QueuePolicy& aPolicy)
{
  const auto countAll = [this, &aJob](bool aRuns) {
    for (const Occurrence& occurrence : aJob.occurrences_) {
      for (uint32_t step = 0; step < occurrence.steps_.size(); ++step) {
        for (uint32_t count = 0; count < occurrence.steps_[step].active_; ++count) {
          CountRunning(aJob, step, aRuns);
        }
      }
    }
  };
  const bool moves = aJob.policy_.service_ != aPolicy.service_;
  if (moves) {
    countAll(false);
  }
  aJob.policy_ = aPolicy;
  MarkChanged(aJob.index_);
  if (moves) {
    countAll(true);
  }
  AddService(aJob, aPolicy.service_);
}

void
JobTable::AddService(Job& aJob, const std::string& aService)
{
  if (aJob.services_.insert(aService).second && aJob.stored_) {
    Touch(aJob.index_);
  }
}

void
JobTable::RestoreServices(Job& aJob, const std::string& aPresent, std::set<std::string> aServices)
{
  aJob.policy_.service_ = aPresent;
  aJob.services_ = std::move(aServices);
  aJob.services_.insert(aPresent);
  aJob.storedServices_ = aJob.services_;
}

void
JobTable::KeepServices(Job& aJob, const std::set<std::string>& aKept)
{
  std::set<std::string> kept = Intersection(aJob.services_, aKept);
  if (kept != aJob.services_) {
    aJob.services_.swap(kept);
    Touch(aJob.index_);
  }
}

void
JobTable::OnServicesSent(Job& aJob)
{
  aJob.storedServices_ = Intersection(aJob.storedServices_, aJob.services_);
}

void
JobTable::OnServicesStored(Job& aJob, std::set<std::string> aServices)
{
  aJob.storedServices_ = std::move(aServices);
  if (aJob.storedServices_ != aJob.services_) {
    Touch(aJob.index_); // They have changed since the record was encoded.
  }
}

void
JobTable::Finish(const TaskRef& aRef, TimePoint aNow)
{
  Job& job = *jobs_[aRef.job_];
  Occurrence& occurrence = job.occurrences_[aRef.occurrence_];
  Step& step = occurrence.steps_[aRef.step_];
  Task& task = step.tasks_[aRef.index_];
  if (task.phase_ == TaskPhase::Done || SpecOf(aRef).continuous_) {
    return;
  }
  if (task.phase_ == TaskPhase::Active && task.startedAt_ != TimePoint{}) {
    const auto lasted =
      std::chrono::duration_cast<std::chrono::milliseconds>(aNow - task.startedAt_);
    const auto before = static_cast<int64_t>(step.done_);
    step.measured_ = (step.measured_ * before + lasted) / (before + 1);
  }
  Touch(aRef.job_);
  MarkChanged(aRef.job_);
  ++job.progress_;
  if (job.spec_.steps_[aRef.step_].gang_) {
    for (uint32_t member = 0; member < step.tasks_.size(); ++member) {
      MarkDone(TaskRef{ aRef.job_, aRef.occurrence_, aRef.step_, member });
    }
  } else {
    MarkDone(aRef);
  }
  if (step.done_ < step.tasks_.size()) {
    return;
  }
  ++occurrence.stepsDone_;
  const bool allOpen = job.occurrences_.size() == job.OccurrenceCount();
  job.finished_ =
    allOpen && std::all_of(job.occurrences_.begin(),
                           job.occurrences_.end(),
                           [](const Occurrence& aOccurrence) {
                             return aOccurrence.stepsDone_ == aOccurrence.steps_.size();
                           });
  if (job.finished_) {
    job.endedAt_ = aNow;
  }
}

void
JobTable::Avoid(const TaskRef& aRef, BackendHandle aBackend, TimePoint aNow)
{
  Task& task = At(aRef);
  task.avoidedBackend_ = aBackend;
  task.avoidedUntil_ = aNow + kAvoidTime;
}

bool
JobTable::Fail(const TaskRef& aRef, int64_t aRun, TimePoint aNow)
{
  Job& job = *jobs_[aRef.job_];
  if (SpecOf(aRef).continuous_) {
    return false;
  }
  // All tasks of a group fail together; the attempts are counted at its first task.
  auto& runs = At(FirstOfGroup(aRef)).failedRuns_;
  if (std::find(runs.begin(), runs.end(), aRun) != runs.end()) {
    return false;
  }
  runs.push_back(aRun);
  Touch(aRef.job_);
  if (!job.isPolicyRead_) {
    job.hasUncheckedFailure_ = true;
    return false;
  }
  return FailIfUsedUp(job, runs.size(), aNow);
}

bool
JobTable::FailIfUsedUp(Job& aJob, size_t aAttempts, TimePoint aNow)
{
  if (aJob.HasEnded() || aAttempts < aJob.policy_.maxAttempts_) {
    return false;
  }
  aJob.failed_ = true;
  MarkChanged(aJob.index_);
  aJob.endedAt_ = aNow;
  return true;
}

bool
JobTable::NotePolicyRead(Job& aJob, TimePoint aNow)
{
  aJob.isPolicyRead_ = true;
  if (!std::exchange(aJob.hasUncheckedFailure_, false)) {
    return false;
  }
  size_t most = 0;
  for (const Occurrence& occurrence : aJob.occurrences_) {
    for (const Step& step : occurrence.steps_) {
      for (const Task& task : step.tasks_) {
        most = std::max(most, task.phase_ == TaskPhase::Done ? 0 : task.failedRuns_.size());
      }
    }
  }
  if (!FailIfUsedUp(aJob, most, aNow)) {
    return false;
  }
  Touch(aJob.index_);
  return true;
}

void
JobTable::SetCrashes(const TaskRef& aRef, uint32_t aCrashes)
{
  Task& task = At(FirstOfGroup(aRef));
  if (task.crashes_ != aCrashes) {
    task.crashes_ = aCrashes;
    task.doubt_ = aCrashes == 0 ? 1.0 : task.doubt_;
    Touch(aRef.job_);
    MarkChanged(aRef.job_);
  }
}

void
JobTable::SetTrial(const TaskRef& aRef, bool aInTrial)
{
  bool& inTrial = At(FirstOfGroup(aRef)).inTrial_;
  if (inTrial != aInTrial) {
    inTrial = aInTrial;
    Touch(aRef.job_);
  }
}

void
JobTable::RestoreCrashes(const TaskRef& aRef, uint32_t aCrashes, bool aInTrial)
{
  SetCrashes(aRef, aCrashes);
  SetTrial(aRef, aInTrial);
}

bool
JobTable::GiveUp(const TaskRef& aRef, TimePoint aNow)
{
  Job& job = *jobs_[aRef.job_];
  if (job.HasEnded()) {
    return false;
  }
  job.failed_ = true;
  MarkChanged(job.index_);
  job.endedAt_ = aNow;
  Touch(aRef.job_);
  return true;
}

const std::vector<uint32_t>&
JobTable::Open()
{
  open_.erase(std::remove_if(open_.begin(),
                             open_.end(),
                             [this](uint32_t aJob) { return jobs_[aJob]->HasEnded(); }),
              open_.end());
  return open_;
}

size_t
JobTable::CountPending(const std::string& aQueue) const
{
  size_t count = 0;
  for (const auto& job : jobs_) {
    if (!job || job->started_ || job->HasEnded() || !job->stored_) {
      continue;
    }
    count += job->spec_.queue_ == aQueue ? 1 : 0;
  }
  return count;
}

void
JobTable::Touch(uint32_t aJob)
{
  if (!jobs_[aJob]->touched_) {
    jobs_[aJob]->touched_ = true;
    touched_.push_back(aJob);
  }
}

std::vector<uint32_t>
JobTable::TakeTouched()
{
  std::vector<uint32_t> touched;
  touched.swap(touched_);
  for (const uint32_t job : touched) {
    if (jobs_[job]) {
      jobs_[job]->touched_ = false;
    }
  }
  return touched;
}

void
JobTable::MarkChanged(uint32_t aJob)
{
  if (!jobs_[aJob]) {
    changed_.push_back(aJob);
  } else if (!jobs_[aJob]->changed_) {
    jobs_[aJob]->changed_ = true;
    changed_.push_back(aJob);
  }
}

std::vector<uint32_t>
JobTable::TakeChanged()
{
  std::vector<uint32_t> changed;
  changed.swap(changed_);
  for (const uint32_t job : changed) {
    if (jobs_[job]) {
      jobs_[job]->changed_ = false;
    }
  }
  return changed;
}

JobState
JobTable::StateOf(const Job& aJob)
{
  if (aJob.cancelled_) {
    return JobState::Cancelled;
  }
  if (aJob.failed_) {
    return JobState::Failed;
  }
  if (aJob.finished_) {
    return JobState::Done;
  }
  return aJob.started_ ? JobState::Running : JobState::Queued;
}

}
