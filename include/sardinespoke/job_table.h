#pragma once

#include "sardinespoke/clock.h"
#include "sardinespoke/job.h"
#include "sardinespoke/tenant_usage.h"

#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
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
  Waiting, ///< No run of it exists or may exist.
  Active,  ///< A run exists or may exist on a backend server.
  Done,    ///< Never the phase of a continuous task.
  Count
};

struct Task
{
  TaskPhase phase_ = TaskPhase::Waiting;
  int64_t run_ = 0;              ///< Number of the active run.
  BackendHandle backend_;        ///< Backend server of the active run.
  BackendHandle avoidedBackend_; ///< Backend server where the last run failed or got stuck.
  TimePoint avoidedUntil_{};     ///< Until then the task rather waits than runs there.
  TimePoint startedAt_{};        ///< Start of the active run.
  std::string checkpoint_;       ///< A group has one for all tasks, at its first.
  /// Numbers of failed runs; each uses one attempt, also if its end is reported twice.
  std::vector<int64_t> failedRuns_;
  /// Backend servers that crashed while it was in question; a group has one count, at its first.
  uint32_t crashes_ = 0;
  /// Chance that its crashes on trial had other causes; not stored.
  double doubt_ = 1.0;
  /// It was started although backend servers had crashed, and the outcome is not known yet.
  bool inTrial_ = false;
};

struct Step
{
  std::vector<Task> tasks_;
  uint32_t done_ = 0;
  uint32_t active_ = 0;
  /// Mean measured duration of its finished tasks; zero while none has finished.
  std::chrono::milliseconds measured_{ 0 };
};

/// One scheduled execution of all steps of a job.
struct Occurrence
{
  std::vector<Step> steps_;
  uint32_t stepsDone_ = 0;
};

struct Job
{
  uint32_t index_ = 0; ///< In the job table.
  JobSpec spec_;
  QueuePolicy policy_;
  TenantUsage::Id tenant_ = TenantUsage::kNoTenant;
  std::string originalService_; ///< Service of its queue when the job was accepted.
  /// Services on which a run of it may be: the present one, and those that its queue was sent to
  /// earlier until all runs there have ended.
  std::set<std::string> services_;
  /// Services that a successor finds in the records of the job, whichever version of them it reads.
  /// Tasks start only there, so that it knows where their runs may be.
  std::set<std::string> storedServices_;
  TimePoint accepted_{};                     ///< On this process's clock.
  std::chrono::milliseconds acceptedWall_{}; ///< Since the Unix epoch.
  /// Occurrences that are due, or of which a run or a record is known, from the first.
  std::vector<Occurrence> occurrences_;
  uint32_t dueOccurrences_ = 0; ///< Those whose tasks may start.
  bool stored_ = false;         ///< The store has the job; its tasks may start only then.
  bool inherited_ = false;      ///< Accepted by an earlier leader.
  /// Revision of the progress record that an inherited job was restored from; 0: there was none.
  int64_t restoredRevision_ = 0;
  bool resumed_ = false; ///< This leader has started a task of an inherited job.
  /// The leader has read the configuration; until then an inherited job has the policy of its
  /// record.
  bool isPolicyRead_ = true;
  bool hasUncheckedFailure_ = false; ///< A run has failed before the policy was read.
  bool started_ = false;             ///< At least one task has started.
  bool isAboveRate_ = false;         ///< Its tenant submitted more than its weight allows.
  bool cancelled_ = false;
  bool failed_ = false;
  bool finished_ = false;                    ///< All tasks are done.
  bool changed_ = false;                     ///< See JobTable::TakeChanged().
  bool touched_ = false;                     ///< Progress differs from the stored record.
  JobState visibleState_ = JobState::Queued; ///< State in the stored progress record.
  uint32_t progress_ = 0;                    ///< Grows when a task is done or an occurrence begins.
  TimePoint endedAt_{};

  bool HasEnded() const { return cancelled_ || failed_ || finished_; }
  /// @returns True if it only stands for a cancellation that came before its job.
  bool IsEarlyCancel() const { return spec_.steps_.empty(); }
  /// @returns True if its tasks may start in the service of its present policy.
  bool IsServiceStored() const { return storedServices_.count(policy_.service_) > 0; }
  bool HasContinuousSteps() const;
  uint32_t OccurrenceCount() const { return spec_.repeats_ == 0 ? 1 : spec_.repeats_; }
};

/// Position of a task in the job table.
struct TaskRef
{
  uint32_t job_ = 0;
  uint32_t occurrence_ = 0;
  uint32_t step_ = 0;
  uint32_t index_ = 0;

  bool operator==(const TaskRef& aOther) const = default;
};

/// All jobs with the state of their tasks. Independent of time limits, of the state of backend
/// servers and of the store.
class JobTable
{
public:
  /// Adds a job that is not in the table.
  /// @returns Its index.
  uint32_t Add(JobSpec aSpec, QueuePolicy aPolicy, TimePoint aNow, std::chrono::milliseconds aWall);

  /// Removes a job that has no active task.
  void Remove(uint32_t aJob);

  /// @returns nullptr if there is no such job.
  Job* Find(const std::string& aId);
  Job& At(uint32_t aJob) { return *jobs_[aJob]; }
  const Job& At(uint32_t aJob) const { return *jobs_[aJob]; }
  Task& At(const TaskRef& aRef);
  const StepSpec& SpecOf(const TaskRef& aRef) const;
  Step& StepOf(const TaskRef& aRef);
  TaskId IdOf(const TaskRef& aRef) const;

  /// @returns The index of a job; empty if there is none.
  std::optional<uint32_t> IndexOf(const std::string& aId) const;

  /// Locates a task of which a run or a record is known. Creates its occurrence if it does not
  /// exist yet; its tasks start only when it is due.
  /// @returns False if there is no such task.
  bool Locate(const TaskId& aId, TaskRef& aRef);

  /// Creates the occurrences that are due and lets their tasks start.
  /// @param aWall Time since the Unix epoch.
  void OpenDueOccurrences(Job& aJob, std::chrono::milliseconds aWall);

  /// @param aWall Time since the Unix epoch.
  /// @returns Number of occurrences that are due.
  static uint32_t DueOccurrences(const JobSpec& aSpec, std::chrono::milliseconds aWall);

  /// @returns True if all earlier steps that it depends on are done.
  bool IsReady(const Job& aJob, uint32_t aOccurrence, uint32_t aStep) const;

  void Activate(const TaskRef& aRef, int64_t aRun, BackendHandle aBackend, TimePoint aNow);

  /// Returns a task to waiting because its active run is gone without a result.
  void Release(const TaskRef& aRef, const std::string& aCheckpoint);

  /// @returns The newest known checkpoint of a task, or of its group; empty if there is none.
  const std::string& CheckpointOf(const TaskRef& aRef)
  {
    return At(FirstOfGroup(aRef)).checkpoint_;
  }

  /// Sets the checkpoint of a task, or of its group, from a record.
  void RestoreCheckpoint(const TaskRef& aRef, const std::string& aCheckpoint);

  /// Forgets the checkpoint of a task, or of its group, so that its next run begins anew. Does
  /// nothing if a later run has begun: the checkpoint may be of that one.
  /// @param aRun Number of the run that has ended.
  void DropCheckpoint(const TaskRef& aRef, int64_t aRun);

  /// Marks a task as done; all tasks of its step if they form a group. Continuous tasks are never
  /// done: they run until their job is cancelled.
  void Finish(const TaskRef& aRef, TimePoint aNow);

  /// Keeps a task away from a backend server where a run failed or got stuck, for a short time.
  /// Later it returns there if it finds no room elsewhere.
  void Avoid(const TaskRef& aRef, BackendHandle aBackend, TimePoint aNow);

  /// Uses one attempt for a failed run; a repeated call for the same run has no effect. Continuous
  /// tasks have no limit of attempts, and none is counted. The limit is checked by
  /// NotePolicyRead() if the policy of the job is not read yet.
  /// @returns True if this was the last attempt and the job has failed.
  bool Fail(const TaskRef& aRef, int64_t aRun, TimePoint aNow);

  /// Notes that an inherited job has its present policy. Call after SetPolicy().
  /// @returns True if the attempts of a task are used up and the job has failed.
  bool NotePolicyRead(Job& aJob, TimePoint aNow);

  /// @returns Backend servers that crashed while the task, or its group, was in question.
  uint32_t CrashesOf(const TaskRef& aRef) { return At(FirstOfGroup(aRef)).crashes_; }

  /// Multiplies the chance that the crashes of a task or its group on trial had other causes.
  /// @returns The product.
  double AddDoubt(const TaskRef& aRef, double aChance)
  {
    return At(FirstOfGroup(aRef)).doubt_ *= aChance;
  }

  /// @returns True if a run of it that may crash its backend server has no known outcome yet.
  bool IsInTrial(const TaskRef& aRef) { return At(FirstOfGroup(aRef)).inTrial_; }
  void EndTrial(const TaskRef& aRef) { SetTrial(aRef, false); }

  /// Sets the number of crashes of a task, or of its group.
  void SetCrashes(const TaskRef& aRef, uint32_t aCrashes);

  /// Sets what a record tells about the crashes of a task, or of its group.
  void RestoreCrashes(const TaskRef& aRef, uint32_t aCrashes, bool aInTrial);

  /// Ends a job as failed because of a task that crashes its backend servers.
  /// @returns False if the job had ended before.
  bool GiveUp(const TaskRef& aRef, TimePoint aNow);

  /// @returns The first task of a group; any other task itself.
  TaskRef FirstOfGroup(TaskRef aRef) const;

  /// What the tenants run by the state of their tasks.
  TenantUsage& Tenants() { return tenants_; }
  const TenantUsage& Tenants() const { return tenants_; }

  /// Gives a job the present policy of its queue, which may name another pool. Tasks start there
  /// once that is stored.
  void SetPolicy(Job& aJob, const QueuePolicy& aPolicy);

  /// Notes that a run of a job may be on a service, which is stored next.
  void AddService(Job& aJob, const std::string& aService);

  /// Sets the services that the record of a job's progress names. Call before a task is active.
  /// @param aPresent The service of the job's policy when the record was written.
  static void RestoreServices(Job& aJob,
                              const std::string& aPresent,
                              std::set<std::string> aServices);

  /// Forgets the services of a job that are not among these, which is stored next.
  void KeepServices(Job& aJob, const std::set<std::string>& aKept);

  /// Notes that a record of a job's progress is about to be written: a successor may read the new
  /// one or the one before.
  static void OnServicesSent(Job& aJob);

  /// Notes that the store has the record.
  /// @param aServices The services that it names.
  void OnServicesStored(Job& aJob, std::set<std::string> aServices);

  /// Jobs by index; removed ones are nullptr.
  const std::vector<std::unique_ptr<Job>>& Jobs() const { return jobs_; }

  /// Indices of jobs that have not ended.
  const std::vector<uint32_t>& Open();

  /// @returns Number of stored jobs of a queue that have not ended and of which no task has
  /// started.
  size_t CountPending(const std::string& aQueue) const;

  /// Marks the progress of a job as changed since it was last stored.
  void Touch(uint32_t aJob);

  /// Jobs marked by Touch(), in the order of their first change; clears the marks.
  std::vector<uint32_t> TakeTouched();

  /// Marks a job whose waiting tasks, order or pool may have changed. The table marks what it
  /// changes itself.
  void MarkChanged(uint32_t aJob);

  /// Jobs marked by MarkChanged(), also removed ones; clears the marks.
  std::vector<uint32_t> TakeChanged();

  /// State by the current progress; final states become visible to callers once stored.
  static JobState StateOf(const Job& aJob);

private:
  void MarkDone(const TaskRef& aRef);
  /// Counts a task of a step as running or not any more.
  void CountRunning(const Job& aJob, uint32_t aStep, bool aRuns);
  void SetTrial(const TaskRef& aRef, bool aInTrial);
  /// Ends a job as failed if a task has used this many attempts and there are no more.
  /// @returns True if it has.
  bool FailIfUsedUp(Job& aJob, size_t aAttempts, TimePoint aNow);
  void OpenOccurrence(Job& aJob);

  std::vector<std::unique_ptr<Job>> jobs_;
  std::vector<uint32_t> open_;
  std::vector<uint32_t> touched_;
  std::vector<uint32_t> changed_;
  TenantUsage tenants_;
  std::unordered_map<std::string, uint32_t> byId_;
};

}
