#pragma once

#include "sardinespoke/leadership.h"
#include "sardinespoke/run_tracker.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace sardinespoke {

/// What became of something that waits for the store.
enum class JournalOutcome
{
  Stored,
  NotStored, ///< It is not and will not be in the store.
  Unknown,   ///< It may be or may still get there.
  Count
};

/// Writes jobs and their progress to the store, many in one change and one change at a time.
///
/// Each change expects the owner's record and the journal's own record at its last revision, and
/// rewrites the latter. A change that got no answer therefore cannot take effect after a later one,
/// and it can be sent again until its fate is known.
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
             Leadership& aLeadership);

  /// Sets the revision of the journal's record, as read by the new owner.
  void SetRevision(int64_t aRevision) { revision_ = aRevision; }

  /// Stores a job that was just added.
  void Submit(uint32_t aJob, Done aDone);

  /// Calls back when the present progress of a job is stored.
  void AfterStored(uint32_t aJob, Done aDone);

  /// Adds a record that is written with the next change.
  /// @returns Its number; WritesStored() reaches it when the record is in the store.
  uint64_t Write(RecordWrite aWrite);
  uint64_t WritesStored() const { return writesStored_; }
  void Delete(const std::string& aKey);

  void Tick();

  /// @returns True while changes get no answer, so that nothing new can be accepted.
  bool IsStalled() const;

  /// @returns True if nothing waits for the store.
  bool IsIdle() const;

  TimePoint NextDue() const;

  /// Ends everything that waits with "unknown", or "not stored" if it was never sent.
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
    bool sent_ = false;     ///< A change with it was sent and may have taken effect.
    bool answered_ = false; ///< The caller was told "unknown"; the job itself is kept.
  };
  /// What one change carries.
  struct Batch
  {
    std::vector<uint32_t> jobs_;          ///< Submitted in this change.
    std::vector<uint32_t> progress_;      ///< Whose progress it carries.
    std::vector<JobState> visibleStates_; ///< Their states, in the same order.
    std::vector<BackendHandle> recorded_;
    std::vector<RecordWrite> writes_;
    std::vector<std::string> deletes_;
    std::map<uint32_t, int64_t> ends_; ///< Ends whose effects are all stored with it.
  };

  void CollectChanges();
  void StartBatch();
  void OnChanged(const RecordReply& aReply);
  void SendBatch();
  void Retry(bool aMayHaveChanged);
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
  int64_t revision_ = 0;
  std::vector<Waiter> waiters_;
  std::vector<uint32_t> submitted_; ///< Not yet in a batch.
  std::vector<uint32_t> progress_;  ///< Touched, not yet in a batch.
  std::vector<RecordWrite> writes_;
  std::vector<std::string> deletes_;
  uint64_t writesAdded_ = 0;
  uint64_t writesStored_ = 0;
  Batch batch_; ///< In flight or to be sent again.
  bool hasBatch_ = false;
  bool uncertain_ = false; ///< An attempt of the batch got no answer.
  bool inFlight_ = false;
  TimePoint dirtySince_{};
  bool dirty_ = false;
  TimePoint failingSince_{};
  bool failing_ = false;
  TimePoint nextRetryAt_{};
  TimePoint sentAt_{};
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}
