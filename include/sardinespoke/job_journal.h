#pragma once

#include "sardinespoke/leadership.h"
#include "sardinespoke/metrics.h"
#include "sardinespoke/progress_queue.h"
#include "sardinespoke/run_tracker.h"
#include "sardinespoke/store_answers.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sardinespoke {

/// Outcome of a write to the store.
enum class JournalOutcome
{
  Stored,
  NotStored, ///< It is not in the store and will not get there.
  Unknown,   ///< It may be in the store or may still get there.
  Count
};

/// Writes jobs and their progress to the store, batched into one transaction at a time.
///
/// What a caller waits for goes into the next transaction; progress that nobody waits for fills the
/// rest. Each kind of entry has a share of its own, so that no backlog holds up the others.
///
/// Each transaction requires the leader's record and the journal's own record at their last known
/// revisions and rewrites the latter. A transaction without a response can therefore not take
/// effect after a later one. Once its answer is overdue, identical copies are sent beside it: at
/// most one of them can take effect, and the first that is answered tells whether one has.
class JobJournal
{
public:
  using Done = std::function<void(JournalOutcome)>;

  static constexpr const char* kPrefix = "sardinespoke/";

  JobJournal(RecordStoreI& aStore,
             const ClockI& aClock,
             JobTable& aJobs,
             BackendTable& aBackends,
             RunTracker& aRuns,
             Leadership& aLeadership,
             Metrics& aMetrics);

  /// Sets the revision of the journal's record as read by the new leader.
  void SetRevision(int64_t aRevision) { revision_ = aRevision; }

  /// @returns Revision of the last transaction that is known to have taken effect.
  int64_t Revision() const { return revision_; }

  /// @returns Revision of the last transaction of this leader that is known to have taken effect; 0
  /// if there is none. The record of any later leader has a higher one.
  int64_t OwnRevision() const { return ownRevision_; }

  /// Stores a job that was just added.
  void Submit(uint32_t aJob, Done aDone);

  /// Calls back when a job that is being stored is stored.
  void AwaitSubmission(uint32_t aJob, Done aDone);

  /// Calls back when the current progress of a job is stored.
  void AfterStored(uint32_t aJob, Done aDone);

  /// Adds a record that is written with the next transaction.
  /// @returns The number of the write; WritesStored() reaches it once the record is in the store.
  uint64_t Write(RecordWrite aWrite);
  uint64_t WritesStored() const { return writesStored_; }
  void Delete(const std::string& aKey);

  void Tick();

  /// @returns True while no transaction gets a response, so that no new job can be accepted.
  bool IsStalled() const { return answers_.IsStalled(clock_.Now()); }

  /// @returns True if no submission, progress or record waits for the store.
  bool IsIdle() const;

  /// @returns Number of jobs whose progress waits for a transaction.
  size_t QueuedProgress() const { return progress_.Size(); }

  /// @returns Number of callers that wait for the store.
  size_t Waiters() const { return waiters_.size(); }

  TimePoint NextDue() const;

  /// Reports all waiting writes as Unknown, and submissions that were never sent as NotStored.
  void Abandon();

  static std::string JobKey(const std::string& aId);
  static std::string ProgressKey(const std::string& aId);
  static std::string BackendKey(const std::string& aId);
  static std::string JournalKey();

private:
  struct Waiter
  {
    uint32_t job_ = 0;
    Done done_;
    TimePoint since_{};
    bool isSubmission_ = false;
    /// The present batch was sent with the write and may have taken effect. False for a call that
    /// came after the batch was encoded, even if the batch contains the job.
    bool sent_ = false;
    bool notified_ = false; ///< Unknown was reported to the caller; the job is kept.
  };
  /// Contents of one transaction.
  struct Batch
  {
    std::vector<uint32_t> jobs_;          ///< Jobs submitted in this transaction.
    std::vector<uint32_t> progress_;      ///< Jobs whose progress it contains.
    std::vector<uint64_t> numbers_;       ///< Their numbers in the queue, in the same order.
    std::vector<JobState> visibleStates_; ///< States of the jobs in progress_, in the same order.
    std::vector<std::set<std::string>> services_; ///< The services that their records name.
    std::vector<BackendHandle> recorded_;
    std::vector<RecordWrite> writes_;
    std::vector<std::string> deletes_;
    /// By backend server: the last end report whose effects it contains.
    std::map<uint32_t, int64_t> ends_;
  };

  /// Most entries that a kind of change may add to a transaction.
  struct Shares
  {
    size_t callers_ = 0; ///< Changes, and submissions, that callers wait for.
    size_t others_ = 0;  ///< Each other kind.
  };

  void CollectChanges();
  void StartBatch();
  void StartBatchIfUrgent();
  void FillBatch(Batch& aBatch, std::vector<BackendHandle>& aUnrecorded, Shares aShares);
  void AddProgress(Batch& aBatch, const ProgressQueue::Entry& aEntry);
  void TakeEnds(Batch& aBatch);
  RecordTransaction EncodeBatch();
  std::vector<RecordPrecondition> Preconditions() const;
  void SendBatch();
  void SendCopy();
  void OnReply(uint64_t aNumber, TimePoint aSent, const RecordReply& aReply);
  void OnConflict(const RecordReply& aReply);
  void OnFailed(RecordOutcome aOutcome);
  void OnStored(int64_t aRevision, bool aReadBack);
  void MeasureOutcome(bool aReadBack);
  void RequeueBatch();
  void ExpireWaiters();
  bool IsUrgent() const;
  size_t FreeEntries(const Batch& aBatch) const;

  RecordStoreI& store_;
  const ClockI& clock_;
  JobTable& jobs_;
  BackendTable& backends_;
  RunTracker& runs_;
  Leadership& leadership_;
  Metrics& metrics_;
  int64_t revision_ = 0;
  int64_t ownRevision_ = 0;
  std::vector<Waiter> waiters_;
  std::vector<uint32_t> submitted_; ///< Submitted jobs that are not yet in a batch.
  ProgressQueue progress_;          ///< Jobs with changed progress that are not yet in a batch.
  std::vector<RecordWrite> writes_;
  std::vector<std::string> deletes_;
  /// By backend server: the last end report whose effects are in the entries of progress_ up to
  /// endsNumber_ or in earlier transactions. Empty if all of them are.
  std::map<uint32_t, int64_t> pendingEnds_;
  uint64_t endsNumber_ = 0;
  uint64_t writesAdded_ = 0;
  uint64_t writesStored_ = 0;
  Batch batch_; ///< The batch whose outcome is not yet known.
  bool hasBatch_ = false;
  RecordTransaction transaction_; ///< Content of all copies of the batch.
  std::string mark_;              ///< Value that the batch writes to the journal's record.
  uint64_t number_ = 0;           ///< Of the batch or its last change; replies to others are late.
  size_t copies_ = 0;             ///< Copies of the batch that were sent.
  size_t open_ = 0;               ///< Of them, those without a reply.
  bool uncertain_ = false;        ///< A copy ended without a response.
  TimePoint firstSentAt_{};
  TimePoint nextSendAt_{};
  StoreAnswers answers_;
  bool stallLogged_ = false;
  TimePoint dirtySince_{};
  bool dirty_ = false;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
