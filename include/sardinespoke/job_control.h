#pragma once

#include "sardinespoke/fleet_format.h"
#include "sardinespoke/host_allocator.h"
#include "sardinespoke/job_journal.h"
#include "sardinespoke/job_request.h"
#include "sardinespoke/metrics.h"
#include "sardinespoke/phase_times.h"
#include "sardinespoke/submission_rates.h"
#include "sardinespoke/task_scheduler.h"
#include "sardinespoke/tenant_keys.h"

namespace sardinespoke {

struct JobControlSettings
{
  RunLimits runs_;
  HostOperationTimes hosts_;
  /// How long the state of an ended job can be queried.
  std::chrono::milliseconds keepEnded_{ 120000 };
  /// Age of the configuration up to which it denies queues that it does not name. It counts from
  /// the read that last confirmed it.
  std::chrono::milliseconds denyLimit_{ 2000 };
  /// Age up to which requests for the queues that it names are handled, also by a leader that has
  /// lost most backend servers to a possible successor.
  std::chrono::milliseconds admitLimit_{ 7000 };
  /// Turns hopeless submissions away; see OverloadPolicy.
  bool refusesHopeless_ = false;
};

/// The control loop of the leader: accepts and stores jobs, places their tasks, tracks backend
/// servers, moves and maintains hosts. One instance exists for each term of leadership.
class JobControl
{
public:
  JobControl(RecordStoreI& aStore,
             BackendCommandsI& aCommands,
             const FleetFormatI& aFormat,
             const ClockI& aClock,
             Leadership& aLeadership,
             Metrics& aMetrics,
             JobControlSettings aSettings);
  ~JobControl();

  /// Responds to a caller, at once or when the store has responded. Call only after IsReady().
  void Handle(const JobRequest& aRequest, const JobResponseCallback& aRespond);

  /// @returns True once the configuration, the registry and the state of earlier leaders are read.
  bool IsReady() const;

  /// Runs all work that is due.
  /// @param aWall Time since the Unix epoch.
  void Tick(std::chrono::milliseconds aWall);

  TimePoint NextDue() const;

  /// @returns Time spent in Tick() since the last call.
  std::chrono::nanoseconds TakeBusyTime() { return std::exchange(busy_, {}); }

  /// Notes how much of its time the control loop has worked since the last call.
  void ReportUtilization(double aUtilization, std::chrono::nanoseconds aPeriod)
  {
    scheduler_.ReportUtilization(aUtilization, aPeriod);
  }

  /// @returns What the next leader needs to know if this one resigns now.
  Handover MakeHandover() const { return loaded_ ? runs_.MakeHandover() : Handover{}; }

  /// @returns True if no write waits for the store.
  bool IsJournalIdle() const { return journal_.IsIdle(); }

  /// Responds to all callers that wait for the store, because the leadership has ended.
  void Abandon() { journal_.Abandon(); }

private:
  void Load(const std::string& aPrefix, const std::string& aAfter, size_t aPart);
  void OnLoaded(size_t aPart, const RecordReply& aReply);
  void RestoreState();
  /// Applies what the operator has written, unless another leader may have been elected.
  /// @returns Whether it has been read.
  bool FollowOperator();
  void ReadOperator();
  /// @returns Time since the store last confirmed the configuration in force.
  std::chrono::milliseconds ConfigAge() const;
  /// @returns Whether requests for queues of the configuration are handled.
  bool MayAdmit() const;
  /// Logs when the configuration gets too old to deny queues, and when it is confirmed again.
  void LogConfigAge();
  void ReadRegistry();

  /// @returns Services of the configuration and of open jobs; entries of others are not used.
  std::set<std::string> NamedServices();
  /// @param aJob The job that the call names; nullptr if it is not known.
  /// @returns True if the call needs no key. A path of a public queue may name a job of another
  /// one.
  bool IsPublic(const QueuePolicy& aQueue, const Job* aJob) const;
  /// Finds the tenant that a call belongs to.
  /// @param aTenant Set to its name; empty if there is none, as for a public queue without a key.
  /// @returns The response that refuses the call; empty if the call may go on.
  std::optional<JobResponse> Authenticate(const JobRequest& aRequest,
                                          bool aIsPublic,
                                          std::string& aTenant);
  /// @returns True if the caller with the key of a tenant may not use a job.
  static bool IsOfOtherTenant(const Job& aJob, bool aIsPublic, const std::string& aTenant);
  void Submit(const JobRequest& aRequest,
              const QueuePolicy& aQueue,
              const std::string& aTenant,
              const JobResponseCallback& aRespond);
  /// @returns The refusal of a new job that is hopeless; empty if it is admitted.
  std::optional<JobResponse> RefuseHopeless(uint32_t aJob);
  /// Responds to a repeated submission of a job that is being stored.
  void AwaitSubmission(uint32_t aJob, const JobResponseCallback& aRespond);
  void CountArrival(const Job& aJob);
  void Cancel(uint32_t aJob, const JobResponseCallback& aRespond);
  JobResponse StateResponse(const Job& aJob) const;
  /// Responds about a job that is not in the table: only the store can deny it.
  /// @param aOnDenied Called once the store has no such job.
  void RespondToUnknownJob(const std::string& aId,
                           const JobResponseCallback& aRespond,
                           const std::function<void()>& aOnDenied);
  /// Stores a cancellation whose job is not known, so that a submission that arrives later, from a
  /// paused entry host for example, does not run.
  void CancelEarly(const std::string& aId,
                   const QueuePolicy& aQueue,
                   const JobResponseCallback& aRespond);
  void EndEarlyCancel(Job& aJob);
  const QueuePolicy* FindQueue(const std::string& aHost, const std::string& aPath) const;
  void StopStuckRuns();
  void EnforceLatencyTargets();
  void UpdateBestEffortLimit(Backend& aBackend);
  void ThrottleBestEffort(BackendHandle aBackend);
  void RemoveEndedJobs();
  void OnRunEnded(const RunEvent& aEvent);
  void PublishMetrics();
  void PublishTenants();
  void LogLoad();
  void TickLoaded();
  /// @returns Whether tasks may be started. Where a job may run and how much its tenant may use is
  /// in the configuration, so that a new leader reads it first.
  bool MayPlaceTasks() const { return config_.version_ != 0 && runs_.MayExtendRuns(); }
  void DoHousekeeping();

  RecordStoreI& store_;
  BackendCommandsI& commands_;
  const FleetFormatI& format_;
  const ClockI& clock_;
  Leadership& leadership_;
  Metrics& metrics_;
  const JobControlSettings settings_;

  JobTable jobs_;
  BackendTable backends_;
  RunTracker runs_;
  AdviceCache advice_;
  DurationModel durations_;
  ArrivalRate arrivals_;
  SubmissionRates submissionRates_;
  OverloadPolicy overload_;
  WaitOrder waitOrder_;
  TaskScheduler scheduler_;
  JobJournal journal_;
  HostDirectory directory_;
  RolloutRunner rolloutRunner_;
  HostAllocator allocator_;
  /// A decoded registry entry with its revision; entry_ is empty if the record is unusable.
  struct ReadEntry
  {
    int64_t revision_ = 0;
    std::optional<BackendEntry> entry_;
  };

  PrefixFeed registry_;
  std::map<std::string, ReadEntry> readEntries_; ///< By key.
  PrefixFeed operator_;
  FleetConfig config_;
  TenantKeys keys_;               ///< Of config_.
  bool operatorChanged_ = false;  ///< There are records that have not been applied.
  TimePoint configConfirmedAt_{}; ///< See PrefixFeed::ConfirmedAt().
  bool configOutdated_ = false;   ///< As last logged.
  std::map<int64_t, RolloutRequest> rollouts_;

  std::vector<PrefixFeed::Records> parts_;
  size_t partsLoaded_ = 0;
  bool loaded_ = false;
  size_t jobLookups_ = 0;   ///< Reads about unknown jobs that wait for the store.
  size_t earlyCancels_ = 0; ///< Jobs of the table for which IsEarlyCancel() holds.
  std::chrono::milliseconds wall_{ 0 };
  TimePoint nextHousekeeping_{};
  TimePoint nextMetrics_{};
  TimePoint nextSchedule_{};
  PhaseTimes phases_;
  std::chrono::nanoseconds busy_{ 0 }; ///< See TakeBusyTime().
  uint32_t ticks_ = 0;                 ///< Since the last report.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
