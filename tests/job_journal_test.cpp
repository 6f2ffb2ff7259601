#include "no_commands.h"
#include "sardinespoke/job_journal.h"

#include "sardinespoke/manual_clock.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <set>

namespace sardinespoke {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kJobs = 600;
constexpr size_t kEntriesPerTransaction = 29;
constexpr milliseconds kStoreTime{ 15 };

/// Grants the leader's lease at once; transactions wait until the test answers them.
class HeldStore final : public RecordStoreI
{
public:
  void Range(const std::string&, const std::string&, Done aDone) override { aDone(Ok()); }
  void Watch(const std::string&, int64_t, milliseconds, Done) override {}
  void Commit(const RecordTransaction& aChange, Done aDone) override
  {
    held_.emplace_back(aChange, std::move(aDone));
  }
  void Grant(milliseconds aTtl, Done aDone) override
  {
    RecordReply reply = Ok();
    reply.lease_ = 1;
    reply.ttl_ = aTtl;
    aDone(reply);
  }
  void Renew(uint64_t, Done aDone) override { aDone(Ok()); }

  RecordReply Ok()
  {
    RecordReply reply;
    reply.outcome_ = RecordOutcome::Ok;
    reply.revision_ = ++revision_;
    return reply;
  }

  std::deque<std::pair<RecordTransaction, Done>> held_;

private:
  int64_t revision_ = 0;
};

std::string
JobId(uint32_t aNumber)
{
  return "job-" + std::to_string(aNumber);
}

LeadershipSettings
LeaderSettings()
{
  LeadershipSettings settings;
  settings.name_ = "entry-0";
  settings.incarnation_ = "entry-0-1";
  settings.address_ = "10.0.1.1:1";
  settings.key_ = std::string(JobJournal::kPrefix) + "leader";
  return settings;
}

class JobJournalTest : public testing::Test
{
protected:
  void SetUp() override
  {
    leadership_.Tick();
    clock_.Advance(milliseconds(10));
    leadership_.Tick();
    ASSERT_EQ(store_.held_.size(), 1U);
    Answer();
    ASSERT_TRUE(leadership_.IsLeader());
    for (uint32_t number = 0; number < kJobs; ++number) {
      JobSpec spec;
      spec.id_ = JobId(number);
      jobs_.At(jobs_.Add(spec, QueuePolicy(), clock_.Now(), milliseconds(0))).stored_ = true;
    }
    BackendEntry entry;
    entry.id_ = "backend-0";
    backend_ = backends_.Add(entry);
  }

  /// Answers the transaction under way, if there is one.
  void Answer(RecordOutcome aOutcome = RecordOutcome::Ok)
  {
    if (store_.held_.empty()) {
      return;
    }
    const auto [change, done] = std::move(store_.held_.front());
    store_.held_.pop_front();
    RecordReply reply = store_.Ok();
    reply.outcome_ = aOutcome;
    done(reply);
    // As a store does: a copy conflicts with the one that took effect.
    reply.outcome_ = aOutcome == RecordOutcome::Ok ? RecordOutcome::Conflict : aOutcome;
    while (!store_.held_.empty() && IsCopy(store_.held_.front().first, change)) {
      const RecordStoreI::Done answerCopy = std::move(store_.held_.front().second);
      store_.held_.pop_front();
      answerCopy(reply);
    }
  }

  /// @returns True if both name the same change of the journal's record.
  static bool IsCopy(const RecordTransaction& aLeft, const RecordTransaction& aRight)
  {
    const RecordWrite& left = aLeft.writes_.front();
    const RecordWrite& right = aRight.writes_.front();
    return left.key_ == right.key_ && !left.value_.empty() && left.value_ == right.value_;
  }

  void TouchAll()
  {
    for (uint32_t number = 0; number < kJobs; ++number) {
      jobs_.Touch(number);
    }
  }

  /// Lets the journal send its next transaction; returns the keys that it writes.
  std::multiset<std::string> Next(milliseconds aTime = kStoreTime)
  {
    clock_.Advance(aTime);
    journal_.Tick();
    std::multiset<std::string> keys;
    if (store_.held_.empty()) {
      return keys;
    }
    for (const RecordWrite& write : store_.held_.front().first.writes_) {
      keys.insert(write.key_);
    }
    return keys;
  }

  ManualClock clock_;
  HeldStore store_;
  NoCommands commands_;
  JobTable jobs_;
  BackendTable backends_;
  BackendHandle backend_;
  RunTracker runs_{ jobs_, backends_, commands_, clock_, RunLimits(), 1 };
  Leadership leadership_{ store_, clock_, LeaderSettings() };
  Metrics metrics_;
  JobJournal journal_{ store_, clock_, jobs_, backends_, runs_, leadership_, metrics_ };
};

// A transaction must not write a key twice. Fault: a job that changed while its refused
// transaction was under way was queued a second time.
TEST_F(JobJournalTest, RefusedProgressIsQueuedOnce)
{
  jobs_.Touch(0);
  clock_.Advance(milliseconds(1));
  journal_.Tick();
  const std::string key = JobJournal::ProgressKey(JobId(0));
  EXPECT_EQ(Next(milliseconds(200)).count(key), 1U);
  jobs_.Touch(0);
  clock_.Advance(kStoreTime);
  journal_.Tick();
  Answer(RecordOutcome::Refused);
  EXPECT_EQ(Next(milliseconds(200)).count(key), 1U);
}

// An end report must not be acknowledged before the store has all its effects, also if a
// transaction is refused.
TEST_F(JobJournalTest, EndsAreNotAcknowledgedBeforeTheirEffectsAreStored)
{
  const std::string last = JobJournal::ProgressKey(JobId(kJobs - 1));
  TouchAll();
  backends_.At(backend_).endsApplied_ = 7;
  bool stored = false;
  for (size_t count = 0; count < kJobs && !stored; ++count) {
    const auto keys = Next(milliseconds(130));
    ASSERT_EQ(backends_.At(backend_).endsStored_, 0);
    const bool refused = count % 3 == 0;
    stored = !refused && keys.count(last) == 1;
    Answer(refused ? RecordOutcome::Refused : RecordOutcome::Ok);
  }
  EXPECT_TRUE(stored);
  EXPECT_EQ(backends_.At(backend_).endsStored_, 7);
}

// A caller must not wait until the changes of all other jobs are written. Fault: 600 changed jobs
// were written in the order of their first change, 29 at a time.
TEST_F(JobJournalTest, CancelsDoNotWaitForTheProgressOfOtherJobs)
{
  const uint32_t cancelled = kJobs - 1;
  std::optional<JournalOutcome> outcome;
  TouchAll();
  clock_.Advance(milliseconds(1));
  journal_.Tick();
  EXPECT_EQ(Next(milliseconds(200)).count(JobJournal::ProgressKey(JobId(cancelled))), 0U);
  jobs_.At(cancelled).cancelled_ = true;
  jobs_.Touch(cancelled);
  journal_.AfterStored(cancelled, [&](JournalOutcome aOutcome) { outcome = aOutcome; });
  TouchAll();
  Answer();
  EXPECT_FALSE(outcome.has_value());
  EXPECT_EQ(Next().count(JobJournal::ProgressKey(JobId(cancelled))), 1U);
  Answer();
  EXPECT_EQ(outcome, JournalOutcome::Stored);
}

// A roll-out must not wait for a backlog of progress either.
TEST_F(JobJournalTest, RecordsAreWrittenBesideABacklogOfProgress)
{
  TouchAll();
  journal_.Tick();
  Next(milliseconds(130));
  journal_.Write(RecordWrite{ "status", "running" });
  Answer();
  EXPECT_EQ(Next().count("status"), 1U);
}

// Cancels must not wait for the end of a flood of submissions.
TEST_F(JobJournalTest, CancelsAreWrittenBesideAFloodOfSubmissions)
{
  for (uint32_t number = 1; number < kJobs; ++number) {
    jobs_.At(number).stored_ = false;
    journal_.Submit(number, [](JournalOutcome) {});
  }
  jobs_.Touch(0);
  journal_.AfterStored(0, [](JournalOutcome) {});
  EXPECT_EQ(Next().count(JobJournal::ProgressKey(JobId(0))), 1U);
}

// A submission whose caller got Unknown must be written once the store answers again. Fault: it was
// dropped without a word when the store fell silent, and all later calls for it got Unknown.
TEST_F(JobJournalTest, SubmissionOfUnknownOutcomeIsWrittenAfterAStall)
{
  constexpr uint32_t kLast = 199;
  std::optional<JournalOutcome> first;
  std::optional<JournalOutcome> repeated;
  for (uint32_t number = 0; number < kLast; ++number) {
    jobs_.At(number).stored_ = false;
    journal_.Submit(number, [](JournalOutcome) {});
  }
  jobs_.At(kLast).stored_ = false;
  journal_.Submit(kLast, [&](JournalOutcome aOutcome) { first = aOutcome; });
  for (int count = 0; count < 5; ++count) { // The store is slow,
    Next(milliseconds(400));
    Answer();
  }
  ASSERT_EQ(first, JournalOutcome::Unknown);
  for (int count = 0; count < 10; ++count) { // then silent,
    Next(milliseconds(100));
  }
  ASSERT_TRUE(journal_.IsStalled());
  journal_.AwaitSubmission(kLast, [&](JournalOutcome aOutcome) { repeated = aOutcome; });
  Next(milliseconds(100));
  EXPECT_NE(repeated, JournalOutcome::NotStored); // The job may be stored later.
  for (int count = 0; count < 10; ++count) {      // then well.
    Answer();
    Next(milliseconds(100));
  }
  EXPECT_TRUE(jobs_.At(kLast).stored_);
}

// A backlog must be written as fast as the store allows. Fault: 29 jobs each 120 ms.
TEST_F(JobJournalTest, FullTransactionsAreNotDelayed)
{
  TouchAll();
  size_t written = 0;
  for (size_t count = 0; count <= kJobs / kEntriesPerTransaction; ++count) {
    const auto keys = Next();
    if (keys.empty()) {
      continue;
    }
    written += keys.size() - 1;
    Answer();
  }
  EXPECT_GE(written, kJobs - kEntriesPerTransaction);
}

// Ends must be acknowledged although new progress keeps coming. Fault: only when no progress was
// left to write.
TEST_F(JobJournalTest, EndsAreAcknowledgedUnderALastingBacklog)
{
  TouchAll();
  backends_.At(backend_).endsApplied_ = 7;
  uint32_t next = 0;
  for (size_t count = 0; count < 2 * kJobs / kEntriesPerTransaction; ++count) {
    Next(milliseconds(130));
    for (size_t index = 0; index < 2 * kEntriesPerTransaction; ++index) {
      jobs_.Touch(next++ % kJobs);
    }
    Answer();
  }
  EXPECT_EQ(backends_.At(backend_).endsStored_, 7);
}

// The same, while callers wait for more changes than a transaction holds.
TEST_F(JobJournalTest, EndsAreAcknowledgedUnderAFloodOfCancels)
{
  constexpr uint32_t kOld = 40;
  for (uint32_t number = 0; number < kOld; ++number) {
    jobs_.Touch(number);
  }
  backends_.At(backend_).endsApplied_ = 7;
  uint32_t next = 0;
  for (size_t count = 0; count < kOld; ++count) {
    Next(milliseconds(130));
    for (size_t index = 0; index < 2 * kEntriesPerTransaction; ++index) {
      const uint32_t job = kOld + next++ % (kJobs - kOld);
      jobs_.Touch(job);
      journal_.AfterStored(job, [](JournalOutcome) {});
    }
    Answer();
  }
  EXPECT_EQ(backends_.At(backend_).endsStored_, 7);
}

// A backlog must be written between the ticks of a busy leader. Fault: a leader at its processor
// limit ticked 16 times a second, with one transaction each; ends stayed unstored, so that backend
// servers listed them again in each answer, which made the leader slower still.
TEST_F(JobJournalTest, BacklogIsWrittenBetweenTheTicksOfABusyLeader)
{
  TouchAll();
  backends_.At(backend_).endsApplied_ = 7;
  ASSERT_FALSE(Next().empty());
  size_t transactions = 0;
  for (; !store_.held_.empty(); ++transactions) {
    Answer();
  }
  EXPECT_GE(transactions, kJobs / kEntriesPerTransaction);
  EXPECT_LT(journal_.QueuedProgress(), kEntriesPerTransaction);
  ASSERT_FALSE(Next(milliseconds(130)).empty());
  Answer();
  EXPECT_EQ(backends_.At(backend_).endsStored_, 7);
}

// Less than a full transaction waits, so that several changes of a job are written once.
TEST_F(JobJournalTest, SmallTransactionsWaitForTheTick)
{
  jobs_.Touch(0);
  clock_.Advance(milliseconds(1));
  journal_.Tick();
  EXPECT_EQ(Next(milliseconds(200)).size(), 2U);
  jobs_.Touch(1);
  Answer();
  EXPECT_TRUE(store_.held_.empty());
}

}
}
