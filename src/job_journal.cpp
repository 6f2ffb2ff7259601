#include "sardinespoke/job_journal.h"

#include "sardinespoke/job_record.h"
#include "sardinespoke/logging.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace sardinespoke {

namespace {

using std::chrono::milliseconds;

// The store accepts 32 entries in a transaction. Three are the preconditions on the records of the
// leader and of the journal and the write of the latter.
constexpr size_t kEntriesPerTransaction = 29;
// Entries of a transaction that each kind of change gets before the others fill the rest: the
// changes and submissions that callers wait for, and each other kind.
constexpr size_t kCallerShare = 10;
constexpr size_t kOtherShare = 2;
// Progress that no caller waits for is written this long after its first change.
constexpr milliseconds kProgressDelay{ 120 };
constexpr milliseconds kRetryDelay{ 60 };
// Copies of a transaction that wait for a response at a time.
constexpr size_t kOpenCopies = 4;
// A caller that has waited this long for the store gets the outcome Unknown.
constexpr milliseconds kCallerWaitLimit{ 1500 };

/// @returns Whether the store needs a record before the first run there. Entries of other writers
/// name no backend server that responds.
bool
MustRecord(const Backend& aBackend)
{
  return aBackend.registered_ && aBackend.verified_ && !aBackend.recorded_;
}

}

JobJournal::JobJournal(RecordStoreI& aStore,
                       const ClockI& aClock,
                       JobTable& aJobs,
                       BackendTable& aBackends,
                       RunTracker& aRuns,
                       Leadership& aLeadership,
                       Metrics& aMetrics)
  : store_(aStore)
  , clock_(aClock)
  , jobs_(aJobs)
  , backends_(aBackends)
  , runs_(aRuns)
  , leadership_(aLeadership)
  , metrics_(aMetrics)
{
}

std::string
JobJournal::JobKey(const std::string& aId)
{
  return std::string(kPrefix) + "job/" + aId;
}

std::string
JobJournal::ProgressKey(const std::string& aId)
{
  return std::string(kPrefix) + "progress/" + aId;
}

std::string
JobJournal::BackendKey(const std::string& aId)
{
  return std::string(kPrefix) + "backend/" + aId;
}

std::string
JobJournal::JournalKey()
{
  return std::string(kPrefix) + "journal";
}

void
JobJournal::Submit(uint32_t aJob, Done aDone)
{
  submitted_.push_back(aJob);
  waiters_.push_back(Waiter{ aJob, std::move(aDone), clock_.Now(), true });
}

void
JobJournal::AwaitSubmission(uint32_t aJob, Done aDone)
{
  Waiter waiter{ aJob, std::move(aDone), clock_.Now(), true };
  // The content of a submission does not change, so that one in flight is the same.
  waiter.sent_ =
    hasBatch_ && std::find(batch_.jobs_.begin(), batch_.jobs_.end(), aJob) != batch_.jobs_.end();
  waiters_.push_back(std::move(waiter));
}

void
JobJournal::AfterStored(uint32_t aJob, Done aDone)
{
  waiters_.push_back(Waiter{ aJob, std::move(aDone), clock_.Now(), false });
}

uint64_t
JobJournal::Write(RecordWrite aWrite)
{
  writes_.push_back(std::move(aWrite));
  return ++writesAdded_;
}

void
JobJournal::Delete(const std::string& aKey)
{
  deletes_.push_back(aKey);
}

bool
JobJournal::IsIdle() const
{
  return !hasBatch_ && waiters_.empty() && progress_.IsEmpty() && writes_.empty();
}

bool
JobJournal::IsUrgent() const
{
  // After a refused transaction, a further one tells when the store accepts them again.
  if (!submitted_.empty() || !writes_.empty() || !waiters_.empty() || answers_.IsWaiting() ||
      progress_.Size() >= kEntriesPerTransaction) {
    return true;
  }
  const auto& queued = progress_.Jobs();
  const bool hasNewEnd = std::any_of(queued.begin(), queued.end(), [this](const auto& aEntry) {
    const Job& job = jobs_.At(aEntry.second);
    return job.HasEnded() && job.visibleState_ != JobTable::StateOf(job);
  });
  return hasNewEnd || (dirty_ && clock_.Now() - dirtySince_ >= kProgressDelay);
}

size_t
JobJournal::FreeEntries(const Batch& aBatch) const
{
  const size_t used = aBatch.jobs_.size() + aBatch.progress_.size() + aBatch.recorded_.size() +
                      aBatch.writes_.size() + aBatch.deletes_.size();
  return kEntriesPerTransaction - std::min(kEntriesPerTransaction, used);
}

void
JobJournal::CollectChanges()
{
  for (const uint32_t job : jobs_.TakeTouched()) {
    progress_.Add(job);
  }
  const auto hasUnrecorded = [this] {
    const auto& live = backends_.Live();
    return std::any_of(live.begin(), live.end(), [this](BackendHandle aBackend) {
      return MustRecord(backends_.At(aBackend));
    });
  };
  const bool dirty =
    !progress_.IsEmpty() || !deletes_.empty() || runs_.HasUnstoredEnds() || hasUnrecorded();
  if (dirty && !dirty_) {
    dirtySince_ = clock_.Now();
  }
  dirty_ = dirty;
}

void
JobJournal::AddProgress(Batch& aBatch, const ProgressQueue::Entry& aEntry)
{
  aBatch.progress_.push_back(aEntry.job_);
  aBatch.numbers_.push_back(aEntry.number_);
  aBatch.visibleStates_.push_back(JobTable::StateOf(jobs_.At(aEntry.job_)));
  aBatch.services_.push_back(jobs_.At(aEntry.job_).services_);
}

void
JobJournal::FillBatch(Batch& aBatch, std::vector<BackendHandle>& aUnrecorded, Shares aShares)
{
  const auto take = [&](auto& aFrom, size_t aShare, auto aInto) {
    const size_t count = std::min({ aFrom.size(), FreeEntries(aBatch), aShare });
    for (size_t index = 0; index < count; ++index) {
      aInto(aFrom[index]);
    }
    aFrom.erase(aFrom.begin(), aFrom.begin() + static_cast<ptrdiff_t>(count));
  };
  size_t left = std::min(aShares.callers_, FreeEntries(aBatch));
  for (const Waiter& waiter : waiters_) {
    ProgressQueue::Entry entry;
    if (left > 0 && !waiter.isSubmission_ && progress_.Take(waiter.job_, entry)) {
      AddProgress(aBatch, entry);
      --left;
    }
  }
  take(submitted_, aShares.callers_, [&](uint32_t aJob) { aBatch.jobs_.push_back(aJob); });
  take(writes_, aShares.others_, [&](RecordWrite& aWrite) {
    aBatch.writes_.push_back(std::move(aWrite));
  });
  take(aUnrecorded, aShares.others_, [&](BackendHandle aBackend) {
    aBatch.recorded_.push_back(aBackend);
    // A delete queued for an earlier incarnation with this id must not remove the new record.
    const std::string key = BackendKey(backends_.At(aBackend).entry_.id_);
    deletes_.erase(std::remove(deletes_.begin(), deletes_.end(), key), deletes_.end());
  });
  left = std::min(aShares.others_, FreeEntries(aBatch));
  for (; left > 0 && !progress_.IsEmpty(); --left) {
    AddProgress(aBatch, progress_.TakeFirst());
  }
  if (aUnrecorded.empty()) {
    take(deletes_, aShares.others_, [&](std::string& aKey) {
      aBatch.deletes_.push_back(std::move(aKey));
    });
  }
}

void
JobJournal::TakeEnds(Batch& aBatch)
{
  if (progress_.IsEmpty()) {
    aBatch.ends_ = runs_.EndsApplied();
    endsNumber_ = progress_.LastNumber();
    pendingEnds_.clear();
    return;
  }
  if (pendingEnds_.empty()) {
    pendingEnds_ = runs_.EndsApplied();
    endsNumber_ = progress_.LastNumber();
  }
  if (progress_.HasTakenUpTo(endsNumber_)) {
    aBatch.ends_.swap(pendingEnds_);
  }
}

void
JobJournal::StartBatch()
{
  std::vector<BackendHandle> unrecorded;
  for (const BackendHandle handle : backends_.Live()) {
    if (MustRecord(backends_.At(handle))) {
      unrecorded.push_back(handle);
    }
  }
  Batch batch;
  FillBatch(batch, unrecorded, Shares{ kCallerShare, kOtherShare });
  FillBatch(batch, unrecorded, Shares{ kEntriesPerTransaction, kEntriesPerTransaction });
  TakeEnds(batch);
  batch_ = std::move(batch);
  hasBatch_ = true;
  dirty_ = false;
  SendBatch();
}

std::vector<RecordPrecondition>
JobJournal::Preconditions() const
{
  return { leadership_.LeaderRecordPrecondition(), RecordPrecondition{ JournalKey(), revision_ } };
}

RecordTransaction
JobJournal::EncodeBatch()
{
  RecordTransaction change;
  change.preconditions_ = Preconditions();
  change.writes_.push_back(RecordWrite{ JournalKey(), mark_ });
  for (const uint32_t job : batch_.jobs_) {
    change.writes_.push_back(
      RecordWrite{ JobKey(jobs_.At(job).spec_.id_), EncodeJob(jobs_.At(job)) });
  }
  for (size_t index = 0; index < batch_.progress_.size(); ++index) {
    Job& job = jobs_.At(batch_.progress_[index]);
    batch_.visibleStates_[index] = JobTable::StateOf(job);
    batch_.services_[index] = job.services_;
    JobTable::OnServicesSent(job);
    change.writes_.push_back(RecordWrite{ ProgressKey(job.spec_.id_), EncodeProgress(job) });
  }
  for (const BackendHandle handle : batch_.recorded_) {
    const BackendEntry& entry = backends_.At(handle).entry_;
    change.writes_.push_back(RecordWrite{ BackendKey(entry.id_), EncodeBackend(entry) });
  }
  change.writes_.insert(change.writes_.end(), batch_.writes_.begin(), batch_.writes_.end());
  change.deletes_ = batch_.deletes_;
  return change;
}

void
JobJournal::SendBatch()
{
  ++number_;
  mark_ = std::to_string(leadership_.FencingToken()) + "/" + std::to_string(number_);
  transaction_ = EncodeBatch();
  for (Waiter& waiter : waiters_) {
    const auto& carried = waiter.isSubmission_ ? batch_.jobs_ : batch_.progress_;
    waiter.sent_ =
      waiter.sent_ || std::find(carried.begin(), carried.end(), waiter.job_) != carried.end();
  }
  copies_ = 0;
  open_ = 0;
  uncertain_ = false;
  firstSentAt_ = clock_.Now();
  SendCopy();
}

void
JobJournal::SendCopy()
{
  const TimePoint now = clock_.Now();
  ++copies_;
  ++open_;
  if (copies_ > 1) {
    metrics_.Count("journal_copies");
  }
  answers_.Sent(now);
  nextSendAt_ = now + std::chrono::ceil<milliseconds>(answers_.RepeatDelay(copies_));
  const std::weak_ptr<bool> alive = alive_;
  store_.Commit(transaction_, [this, alive, number = number_, now](const RecordReply& aReply) {
    if (alive.lock()) {
      OnReply(number, now, aReply);
    }
  });
}

void
JobJournal::OnReply(uint64_t aNumber, TimePoint aSent, const RecordReply& aReply)
{
  const TimePoint now = clock_.Now();
  metrics_.Observe("journal_commit", now - aSent);
  const bool stored = aReply.outcome_ == RecordOutcome::Ok;
  const bool conflict = aReply.outcome_ == RecordOutcome::Conflict;
  if (stored || conflict) {
    answers_.Answered(now, now - aSent);
  }
  if (aReply.outcome_ == RecordOutcome::Unknown) {
    metrics_.Count("journal_unanswered");
  }
  // The outcome of that transaction is known.
  if (!hasBatch_ || aNumber != number_) {
    return;
  }
  --open_;
  if (stored) {
    OnStored(aReply.revision_, false);
  } else if (conflict) {
    OnConflict(aReply);
  } else {
    OnFailed(aReply.outcome_);
  }
}

void
JobJournal::OnConflict(const RecordReply& aReply)
{
  const auto isJournal = [](const Record& aRecord) { return aRecord.key_ == JournalKey(); };
  for (const Record& record : aReply.records_) {
    if (!isJournal(record) && record.revision_ != leadership_.FencingToken()) {
      leadership_.StepDown("a transaction failed: the leader's record has changed");
      return;
    }
  }
  const auto& records = aReply.records_;
  const auto journal = std::find_if(records.begin(), records.end(), isJournal);
  if (journal != records.end() && journal->revision_ > revision_ && journal->value_ == mark_) {
    OnStored(journal->revision_, true);
    return;
  }
  // Copies that expect another revision can no longer take effect, but one may have.
  Log(LogLevel::Warn, "journal.conflict", { { "copies", copies_ }, { "expected", revision_ } });
  uncertain_ = uncertain_ || open_ > 0;
  revision_ = journal == records.end() ? revision_ : journal->revision_;
  transaction_.preconditions_ = Preconditions();
  ++number_;
  open_ = 0;
  nextSendAt_ = clock_.Now();
}

void
JobJournal::OnFailed(RecordOutcome aOutcome)
{
  // Other copies may have taken effect, or may still do so.
  uncertain_ = uncertain_ || aOutcome != RecordOutcome::Refused;
  if (uncertain_ || open_ > 0) {
    return;
  }
  RequeueBatch();
  nextSendAt_ = clock_.Now() + kRetryDelay;
}

void
JobJournal::MeasureOutcome(bool aReadBack)
{
  const auto took = clock_.Now() - firstSentAt_;
  metrics_.Observe("journal_outcome", took);
  if (copies_ < 2) {
    return;
  }
  Log(LogLevel::Info,
      "journal.repeated",
      { { "copies", copies_ },
        { "read_back", aReadBack },
        { "took_ms", std::chrono::duration_cast<milliseconds>(took).count() },
        { "waiters", waiters_.size() } });
}

void
JobJournal::OnStored(int64_t aRevision, bool aReadBack)
{
  MeasureOutcome(aReadBack);
  answers_.Settled();
  stallLogged_ = false;
  uncertain_ = false;
  revision_ = aRevision;
  ownRevision_ = aRevision;
  hasBatch_ = false;
  for (const uint32_t job : batch_.jobs_) {
    jobs_.At(job).stored_ = true;
    jobs_.MarkChanged(job);
    jobs_.OnServicesStored(jobs_.At(job), { jobs_.At(job).originalService_ });
  }
  for (size_t index = 0; index < batch_.progress_.size(); ++index) {
    Job& job = jobs_.At(batch_.progress_[index]);
    job.visibleState_ = batch_.visibleStates_[index];
    jobs_.OnServicesStored(job, std::move(batch_.services_[index]));
  }
  for (const BackendHandle handle : batch_.recorded_) {
    backends_.At(handle).recorded_ = true;
  }
  writesStored_ += batch_.writes_.size();
  runs_.EndsStored(batch_.ends_);
  std::vector<Waiter> done;
  std::vector<Waiter> remaining;
  for (Waiter& waiter : waiters_) {
    (waiter.sent_ ? done : remaining).push_back(std::move(waiter));
  }
  waiters_ = std::move(remaining);
  for (const Waiter& waiter : done) {
    if (!waiter.notified_) {
      waiter.done_(JournalOutcome::Stored);
    }
  }
  // On a busy leader, ticks are far apart: one transaction for each would be too few. Less than a
  // full one waits for the tick, so that several changes of a job are written once.
  if (leadership_.IsLeader()) {
    CollectChanges();
    if (submitted_.size() + progress_.Size() + writes_.size() >= kEntriesPerTransaction) {
      StartBatchIfUrgent();
    }
  }
}

void
JobJournal::StartBatchIfUrgent()
{
  if (!hasBatch_ && IsUrgent()) {
    StartBatch();
  }
}

void
JobJournal::RequeueBatch()
{
  const auto giveBack = [](auto& aTo, auto& aFrom) {
    aTo.insert(aTo.begin(), aFrom.begin(), aFrom.end());
  };
  for (Waiter& waiter : waiters_) {
    const auto& carried = waiter.isSubmission_ ? batch_.jobs_ : batch_.progress_;
    if (std::find(carried.begin(), carried.end(), waiter.job_) != carried.end()) {
      waiter.sent_ = false;
    }
  }
  giveBack(submitted_, batch_.jobs_);
  for (size_t index = 0; index < batch_.progress_.size(); ++index) {
    progress_.PutBack(ProgressQueue::Entry{ batch_.numbers_[index], batch_.progress_[index] });
  }
  if (!batch_.ends_.empty()) {
    pendingEnds_ = batch_.ends_;
  }
  giveBack(writes_, batch_.writes_);
  giveBack(deletes_, batch_.deletes_);
  hasBatch_ = false;
}

void
JobJournal::ExpireWaiters()
{
  const TimePoint now = clock_.Now();
  const bool stalled = IsStalled();
  std::vector<Waiter> remaining;
  std::vector<Waiter> refused;
  // A job that one caller takes for perhaps stored must not be refused to another one.
  std::set<uint32_t> kept;
  for (const Waiter& waiter : waiters_) {
    if (waiter.notified_ || waiter.sent_) {
      kept.insert(waiter.job_);
    }
  }
  for (Waiter& waiter : waiters_) {
    if (waiter.isSubmission_ && stalled && kept.count(waiter.job_) == 0) {
      submitted_.erase(std::remove(submitted_.begin(), submitted_.end(), waiter.job_),
                       submitted_.end());
      refused.push_back(std::move(waiter));
      continue;
    }
    if (!waiter.notified_ && now - waiter.since_ > kCallerWaitLimit) {
      waiter.notified_ = true;
      waiter.done_(JournalOutcome::Unknown);
    }
    remaining.push_back(std::move(waiter));
  }
  waiters_ = std::move(remaining);
  for (const Waiter& waiter : refused) {
    waiter.done_(JournalOutcome::NotStored);
  }
}

void
JobJournal::Abandon()
{
  std::vector<Waiter> waiters;
  waiters.swap(waiters_);
  for (const Waiter& waiter : waiters) {
    if (!waiter.notified_) {
      waiter.done_(waiter.sent_ || !waiter.isSubmission_ ? JournalOutcome::Unknown
                                                         : JournalOutcome::NotStored);
    }
  }
}

void
JobJournal::Tick()
{
  if (!leadership_.IsLeader()) {
    return;
  }
  CollectChanges();
  if (!waiters_.empty()) {
    ExpireWaiters();
  }
  if (IsStalled() && !stallLogged_) {
    stallLogged_ = true;
    Log(LogLevel::Warn, "journal.unanswered", { { "waiters", waiters_.size() } });
  }
  if (clock_.Now() < nextSendAt_ && (hasBatch_ || answers_.IsWaiting())) {
    return;
  }
  if (!hasBatch_) {
    StartBatchIfUrgent();
  } else if (open_ < kOpenCopies) {
    SendCopy();
  }
}

TimePoint
JobJournal::NextDue() const
{
  TimePoint due = dirty_ && !hasBatch_ ? dirtySince_ + kProgressDelay : TimePoint::max();
  if (hasBatch_ ? open_ < kOpenCopies : answers_.IsWaiting()) {
    due = std::min(due, nextSendAt_);
  }
  if (hasBatch_ && !waiters_.empty()) {
    due = std::min(due, std::max(answers_.StallsAt(), clock_.Now() + kRetryDelay));
  }
  return due;
}

}
