#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/job.h"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace sardinespoke {

/// Index of a backend server in the BackendTable.
struct BackendHandle
{
  static constexpr uint32_t kInvalid = std::numeric_limits<uint32_t>::max();
  uint32_t index_ = kInvalid;

  bool IsValid() const { return index_ != kInvalid; }
  bool operator==(const BackendHandle& aOther) const { return index_ == aOther.index_; }
};

enum class TaskPhase
{
  Waiting, ///< Nothing of it runs or may run anywhere.
  Active,  ///< A run exists or may exist on a backend server.
  Done,
  Count
};

struct Task
{
  TaskPhase phase_ = TaskPhase::Waiting;
  int64_t run_ = 0;              ///< The active run.
  BackendHandle backend_;        ///< Where it is.
  BackendHandle avoidedBackend_; ///< Where the last run failed.
  TimePoint startedAt_{};        ///< Of the active run.
  std::string checkpoint_;
  std::vector<int64_t> failedRuns_; ///< Attempts used; a run counts once however often it is read.
};

struct Step
{
  std::vector<Task> tasks_;
  uint32_t done_ = 0;
  uint32_t active_ = 0;
  /// Mean measured duration of its finished tasks; zero while none has finished.
  std::chrono::milliseconds measured_{ 0 };
};

/// One time that the steps of a job run.
struct Occurrence
{
  std::vector<Step> steps_;
  uint32_t stepsDone_ = 0;
};

struct Job
{
  JobSpec spec_;
  QueuePolicy policy_;
  std::string originalService_;              ///< Of its queue when it was accepted.
  TimePoint accepted_{};                     ///< On this process's clock.
  std::chrono::milliseconds acceptedWall_{}; ///< Since 1970.
  std::vector<Occurrence> occurrences_;      ///< Those that are due or done, from the first.
  bool stored_ = false;                      ///< The store has it; only then its tasks may start.
  bool inherited_ = false;                   ///< Accepted by an earlier owner.
  bool started_ = false;                     ///< A task has started at some time.
  bool cancelled_ = false;
  bool failed_ = false;
  bool finished_ = false; ///< All tasks are done.
  bool touched_ = false;  ///< Progress differs from the stored record.
  JobState visibleState_ = JobState::Queued;
  TimePoint endedAt_{};

  bool HasEnded() const { return cancelled_ || failed_ || finished_; }
  bool HasContinuousSteps() const;
  uint32_t OccurrenceCount() const { return spec_.repeats_ == 0 ? 1 : spec_.repeats_; }
};

/// A task by position.
struct TaskRef
{
  uint32_t job_ = 0;
  uint32_t occurrence_ = 0;
  uint32_t step_ = 0;
  uint32_t index_ = 0;

  bool operator==(const TaskRef& aOther) const = default;
};

/// All jobs with the state of their tasks. Knows nothing of time limits, backend servers' state or
/// the store.
class JobTable
{
public:
  /// Adds a job that is not in the table.
  /// @returns Its index.
  uint32_t Add(JobSpec aSpec, QueuePolicy aPolicy, TimePoint aNow, std::chrono::milliseconds aWall);

  /// Forgets a job that has no active task.
  void Remove(uint32_t aJob);

  /// @returns nullptr if there is no such job.
  Job* Find(const std::string& aId);
  Job& At(uint32_t aJob) { return *jobs_[aJob]; }
  const Job& At(uint32_t aJob) const { return *jobs_[aJob]; }
  Task& At(const TaskRef& aRef);
  const StepSpec& SpecOf(const TaskRef& aRef) const;
  Step& StepOf(const TaskRef& aRef);
  TaskId IdOf(const TaskRef& aRef) const;

  /// @returns False if there is no such task. Opens the occurrence if it is not yet open.
  bool Locate(const TaskId& aId, TaskRef& aRef);

  /// Opens the occurrences that are due.
  /// @param aWall Time since 1970.
  void OpenDueOccurrences(Job& aJob, std::chrono::milliseconds aWall);

  /// @returns True if all earlier steps that it depends on are done.
  bool IsReady(const Job& aJob, uint32_t aOccurrence, uint32_t aStep) const;

  void Activate(const TaskRef& aRef, int64_t aRun, BackendHandle aBackend, TimePoint aNow);

  /// The active run is gone without a result.
  void Release(const TaskRef& aRef, const std::string& aCheckpoint);

  /// Marks a task, or all tasks of a group, as done.
  void Finish(const TaskRef& aRef, TimePoint aNow);

  /// Counts a failed run once.
  /// @returns True if the job has failed by it.
  bool Fail(const TaskRef& aRef, int64_t aRun, TimePoint aNow);

  /// Jobs in the order of their indices; empty places are nullptr.
  const std::vector<std::unique_ptr<Job>>& Jobs() const { return jobs_; }

  /// Indices of jobs that are not over.
  const std::vector<uint32_t>& Open();

  /// @returns Accepted jobs of a queue of which no task has started.
  size_t CountPending(const std::string& aQueue) const;

  /// Marks the stored progress of a job as outdated.
  void Touch(uint32_t aJob);

  /// Jobs whose progress differs from the stored one, in the order of their first change.
  std::vector<uint32_t> TakeTouched();

  /// State as the tasks are now; callers are shown it once it is stored.
  static JobState StateOf(const Job& aJob);

private:
  void FinishOne(Step& aStep, Task& aTask);
  void OpenOccurrence(Job& aJob);

  std::vector<std::unique_ptr<Job>> jobs_;
  std::vector<uint32_t> open_;
  std::vector<uint32_t> touched_;
  std::unordered_map<std::string, uint32_t> byId_;
};

}
